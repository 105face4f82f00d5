//! Placement of the tasks of one step.
//!
//! Tasks of many sizes compete for nearly full workers. Among workers that suit a step equally
//! well, a task goes to the one that it leaves with the least free processor capacity (best fit),
//! so that large tasks still fit. Gangs are placed by the module `gangs`, and the module `rounds`
//! decides the order of the steps.

use sapphirepost_types::Millis;
use sapphirepost_types::Resources;

use crate::command::Placement;
use crate::command::QueueCommand;
use crate::crash::Isolation;
use crate::job::Job;
use crate::scheduler::Scheduler;
use crate::scheduler::gangs::Hold;
use crate::scheduler::isolation::task_isolation;
use crate::scheduler::placement_counts::AttemptResult;
use crate::scheduler::placement_counts::VisitKind;
use crate::scheduler::reservations::ReservationTurn;
use crate::scheduler::reservations::Reservations;
use crate::scheduler::speed_choice::set_speed_order;
use crate::scheduler::speeds::speed_class;
use crate::scheduler::step_permits::Permission;
use crate::scheduler::steps::StepView;
use crate::scheduler::withheld_time::WithheldTime;
use crate::scheduler::workers::RunStage;
use crate::scheduler::workers::RunView;
use crate::scheduler::workers::WorkerIndex;
use crate::scheduler::workers::WorkerView;
use crate::state::QueueState;

/// A worker that has the resources for a task of a step now.
pub(crate) struct Candidate {
    pub(crate) index: WorkerIndex,
    pub(crate) permission: Permission,
    /// The number of tasks of the step that may be placed on it.
    pub(crate) fits: u32,
    /// The number of tasks that its free resources suffice for, whatever is reserved.
    pub(crate) fits_free: u32,
    /// Whether a run of the step failed or stalled there.
    pub(crate) is_avoided: bool,
    /// Whether it is closed to other jobs for the step's job.
    pub(crate) is_held: bool,
    /// Whether a task may start there now with the isolation that it needs.
    pub(crate) allows_isolation: bool,
    /// The processor capacity left after one task is placed, for the choice of the tightest worker.
    pub(crate) left_millicores: u64,
    /// Whether the worker is on the preferred rack of the step.
    pub(crate) is_preferred: bool,
    /// How much longer than usual runs take there, as a factor.
    pub(crate) slowdown: f64,
    /// What the slowdown means for the order of preference.
    pub(crate) speed_order: SpeedOrder,
}

/// How the slowdown of a worker counts in the order of preference.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SpeedOrder {
    /// The service is not known to be uneven: the slowdown is that against the estimates, and only
    /// coarse differences count.
    ByEstimates,
    /// The step takes workers of any speed.
    Any,
    /// The step takes fast workers first.
    FastFirst,
}

/// Workers of a service that is not known to be uneven differ if their slowdowns do by this much.
const SLOWDOWN_STEP: f64 = 0.5;

impl Candidate {
    /// Whether the policy allows the worker, also if the permit has expired.
    pub(crate) fn is_allowed(&self) -> bool {
        matches!(self.permission, Permission::Granted | Permission::Expired)
    }

    /// The place of the worker's speed in the order of preference.
    pub(crate) fn speed_rank(&self) -> i32 {
        match self.speed_order {
            SpeedOrder::ByEstimates => (self.slowdown / SLOWDOWN_STEP) as i32,
            SpeedOrder::Any => 0,
            SpeedOrder::FastFirst => speed_class(self.slowdown),
        }
    }
}

impl Scheduler {
    pub(crate) fn permission(
        &self,
        view: &StepView,
        index: WorkerIndex,
        now: Millis,
    ) -> Permission {
        match view.queue.permits {
            None => Permission::Granted,
            Some(cost) => view.permits.permission(index, cost.valid_ms, now),
        }
    }

    /// Workers that the policy has allowed for the step, even if the permit has expired; all
    /// workers if the queue needs no permits.
    pub(crate) fn possible_workers<'a>(
        &'a self,
        view: &'a StepView,
    ) -> Box<dyn Iterator<Item = (WorkerIndex, &'a WorkerView)> + 'a> {
        if view.queue.permits.is_none() {
            return Box::new(self.workers.iter());
        }
        let allowed = view.permits.allowed();
        Box::new(allowed.filter_map(|index| Some((index, self.workers.get(index)?))))
    }

    /// Workers on which at least one task of the step could be placed now, including those whose
    /// permit has expired and must be renewed first.
    pub(crate) fn candidates(
        &self,
        view: &StepView,
        reservations: &Reservations,
        isolation: Isolation,
        now: Millis,
    ) -> Vec<Candidate> {
        let spec = view.spec();
        let exclusive_ms = self.exclusive_ms();
        let takes_withheld_room = self.takes_withheld_room(view);
        let is_uneven = self.speeds.are_uneven(&view.queue.service);
        let mut found = Vec::new();
        if !spec.resources.fits_in(&self.rounds.max_free) {
            return found;
        }
        for (index, worker) in self.possible_workers(view) {
            self.count_visits(VisitKind::Candidate, 1);
            // Most workers lack the resources, and this check is the cheapest.
            let has_room = spec.resources.fits_in(&worker.free());
            if !has_room || !worker.accepts_tasks(now) || !view.can_run_on(worker) {
                continue;
            }
            let fits_free = count_fitting(spec.resources, worker.free());
            if view.rejections.is_paused(index, now) || worker.is_closed_to(view.key.job, now) {
                self.tally.count_withheld(fits_free);
                continue;
            }
            if !self.may_use(view, index) || self.is_settling(view, index, now) {
                self.tally.count_withheld(fits_free);
                continue;
            }
            let permission = self.permission(view, index, now);
            if permission == Permission::Denied {
                continue;
            }
            if !takes_withheld_room && worker.is_kept_from(view.key.job) {
                let fits = self.fits(view, worker, worker.free(), now);
                self.tally.count_withheld_for_others(fits);
                self.tally.count_withheld(fits_free);
                continue;
            }
            let available = self.available_to(view, index, worker, reservations, now);
            let fits = self.fits(view, worker, available, now);
            if available != worker.free() {
                let fits_unreserved = self.fits(view, worker, worker.free(), now);
                self.tally.count_withheld_for_others(fits_unreserved - fits);
            }
            if fits == 0 {
                self.tally.count_withheld(fits_free);
                continue;
            }
            let remaining = available.saturating_sub(&spec.resources);
            let (slowdown, speed_order) = if is_uneven {
                (worker.health.speed.slowdown(), SpeedOrder::Any)
            } else {
                (worker.health.slowdown(), SpeedOrder::ByEstimates)
            };
            let is_preferred = spec
                .preferred_rack
                .as_ref()
                .is_some_and(|rack| worker.record.has_label(rack));
            found.push(Candidate {
                index,
                permission,
                fits,
                fits_free,
                is_avoided: view.avoided.contains(&index),
                is_held: worker.is_reserved_for(view.key.job, now),
                allows_isolation: worker.allows_isolation(
                    isolation,
                    view.key.job,
                    exclusive_ms,
                    now,
                ),
                left_millicores: remaining.millicores,
                is_preferred,
                slowdown,
                speed_order,
            });
        }
        set_speed_order(view, &mut found, now);
        self.keep_job_together(view, &mut found);
        found
    }

    /// The free resources of a worker that are not reserved for others while a task of the step
    /// would run, or all of them once reservations have withheld room from the step for too long.
    pub(crate) fn available_to(
        &self,
        view: &StepView,
        index: WorkerIndex,
        worker: &WorkerView,
        reservations: &Reservations,
        now: Millis,
    ) -> Resources {
        if self.takes_withheld_room(view) {
            return worker.free();
        }
        let remote_factor = self.remote_factor(self.is_remote(view, worker));
        let factor = self.duration_factor(&view.queue_name, worker) * remote_factor;
        let task_ms = (view.usual_ms as f64 * factor) as u64;
        reservations.available(index, worker, view.key, task_ms, now)
    }

    /// How many tasks of the step fit into the available resources of a worker, within the limits
    /// of the step and of the worker's health.
    fn fits(&self, view: &StepView, worker: &WorkerView, available: Resources, now: Millis) -> u32 {
        let spec = view.spec();
        let mut fits = count_fitting(spec.resources, available);
        if let Some(limit) = spec.per_worker_max {
            let already_running = worker.runs_by_step.get(&view.key).copied().unwrap_or(0);
            fits = fits.min(limit.saturating_sub(already_running));
        }
        let tasks_max = worker.health.tasks_max(now);
        let open_slots = tasks_max.saturating_sub(worker.runs.len());
        fits.min(u32::try_from(open_slots).unwrap_or(u32::MAX))
    }

    /// Places tasks of a step that is no gang.
    pub(crate) fn place_tasks(
        &mut self,
        state: &QueueState,
        view: &mut StepView,
        reservations: &Reservations,
        now: Millis,
    ) {
        let begin = self.begin_attempt();
        let waiting = view.waiting.len();
        let candidates = self.place_on_candidates(state, view, reservations, now);
        let result = if view.waiting.len() < waiting {
            AttemptResult::Placed
        } else if view.locality.is_waiting() {
            AttemptResult::LocalityWait
        } else {
            self.failed_result(view, &candidates, begin)
        };
        self.record_withheld_time(view, result, begin, now);
        view.retry = self.retry_after(view, result, begin, None, now);
        self.end_attempt(begin, result);
    }

    /// Places tasks of a step, and requests the permits that it lacks. Returns the workers that had
    /// room.
    fn place_on_candidates(
        &mut self,
        state: &QueueState,
        view: &mut StepView,
        reservations: &Reservations,
        now: Millis,
    ) -> Vec<Candidate> {
        let mut candidates = self.candidates(view, reservations, Isolation::None, now);
        candidates.sort_unstable_by_key(|c| {
            (
                c.is_avoided,
                !c.is_preferred,
                c.speed_rank(),
                c.left_millicores,
                c.index,
            )
        });
        let job = state.job(view.key.job).filter(|_| view.is_committed);
        let placements = job.map_or(Vec::new(), |job| {
            self.assign_tasks(job, view, &candidates, reservations, now)
        });
        if let Some(job) = job.filter(|_| !placements.is_empty()) {
            self.start(job, view, &placements, now);
        }
        if let Some(job) = job {
            self.place_isolated_tasks(job, view, reservations, now);
            if self.waits_for_isolation(job, view, &candidates, now) {
                return candidates;
            }
        }
        if self.is_at_quota(view) {
            return candidates;
        }
        self.request_useful_permits(view, &candidates, now);
        candidates
    }

    /// Places the tasks that were on a worker when it crashed, each on a worker that is closed to
    /// other starts. If no worker allows that yet, the best one is closed until it does.
    fn place_isolated_tasks(
        &mut self,
        job: &Job,
        view: &mut StepView,
        reservations: &Reservations,
        now: Millis,
    ) {
        let waiting: Vec<u32> = view.waiting.iter().copied().collect();
        view.is_without_turn = false;
        for task in waiting {
            let isolation = task_isolation(job, view.key, task);
            if isolation == Isolation::None {
                continue;
            }
            if self.is_at_quota(view) {
                return;
            }
            let isolation = self.isolation_now(view, isolation);
            view.is_without_turn = !self.take_isolation_turn(view, now);
            if view.is_without_turn {
                let needs_worker = isolation == Isolation::ExclusiveWorker;
                self.tally.count_withheld_for_others(needs_worker.into());
                return;
            }
            let candidates = self.candidates(view, reservations, isolation, now);
            let granted = candidates
                .iter()
                .filter(|c| c.permission == Permission::Granted);
            let best = granted.min_by_key(|c| {
                (
                    !c.is_held,
                    !c.allows_isolation,
                    c.is_avoided,
                    std::cmp::Reverse(c.left_millicores),
                    c.index,
                )
            });
            let Some(best) = best else {
                return;
            };
            self.close_for(view, best.index, now);
            if best.allows_isolation {
                self.end_isolation_turn(view);
                self.start(job, view, &[(task, best.index)], now);
            } else if isolation == Isolation::ExclusiveWorker {
                self.tally.count_withheld_for_others(best.fits);
            }
        }
    }

    /// Chooses workers for tasks of a step, in the order of the candidates.
    fn assign_tasks(
        &mut self,
        job: &Job,
        view: &mut StepView,
        candidates: &[Candidate],
        reservations: &Reservations,
        now: Millis,
    ) -> Vec<(u32, WorkerIndex)> {
        let waiting = view.waiting.iter().copied();
        let waiting: Vec<u32> = waiting
            .filter(|task| task_isolation(job, view.key, *task) == Isolation::None)
            .take(self.start_limit(view) as usize)
            .collect();
        let mut remote_left =
            self.remote_starts_max(view, candidates, waiting.len(), reservations, now);
        let mut waiting = waiting.into_iter();
        let mut placements = Vec::new();
        let granted = candidates
            .iter()
            .filter(|c| c.permission == Permission::Granted);
        for candidate in granted {
            let mut fits = candidate.fits;
            if !candidate.is_preferred {
                fits = fits.min(remote_left);
                remote_left -= fits;
            }
            let tasks = waiting.by_ref().take(fits as usize);
            placements.extend(tasks.map(|task| (task, candidate.index)));
        }
        placements
    }

    /// Records that `tasks` tasks of a step start, and ends what kept them waiting.
    fn end_wait(&mut self, view: &mut StepView, tasks: usize, now: Millis) {
        self.tally.counts.tasks += tasks as u64;
        if self.takes_withheld_room(view) {
            self.tally.counts.tasks_after_withholding += tasks as u64;
        }
        view.permits.note_placement();
        view.blocked_since = None;
        view.withheld_time = WithheldTime::default();
        view.last_wait_ms = view
            .waiting_since
            .take()
            .map_or(0, |since| now.since(since));
        view.hold = Hold::default();
        if view.tenant.is_some() && !view.spec().is_gang {
            view.reservation_turn = ReservationTurn::default();
        }
    }

    /// Proposes runs of the given tasks and takes their resources on the workers.
    pub(crate) fn start(
        &mut self,
        job: &Job,
        view: &mut StepView,
        placements: &[(u32, WorkerIndex)],
        now: Millis,
    ) {
        self.end_wait(view, placements.len(), now);
        let spec = view.spec().clone();
        let tasks = &job.steps[usize::from(view.key.step)].tasks;
        let gang_run = tasks.iter().map(|task| task.run).max().unwrap_or(0) + 1;
        let exclusive_ms = self.exclusive_ms();
        let mut proposed = Vec::with_capacity(placements.len());
        let gang_slowdown = self.gang_slowdown(view, placements);
        let is_spread = self.is_spread(view, placements);
        let mean_ratio = self.speeds.mean_ratio(&view.queue_name);
        let is_uneven = self.speeds.are_uneven(&view.queue.service);
        for (task, index) in placements {
            let worker = self.workers.get(*index);
            let is_remote = is_spread || worker.is_some_and(|worker| self.is_remote(view, worker));
            let remote_factor = self.remote_factor(is_remote);
            self.count_locality(view, is_remote, now);
            let Some(worker) = self.workers.get_mut(*index) else {
                continue;
            };
            let run = if spec.is_gang {
                gang_run
            } else {
                tasks[*task as usize].run + 1
            };
            worker.record_start(view.key.job, exclusive_ms, now);
            let factor = if is_uneven {
                gang_slowdown.unwrap_or(worker.health.speed.slowdown()) * mean_ratio
            } else {
                worker.health.slowdown()
            };
            let expected_ms = (view.usual_ms as f64 * factor * remote_factor) as u64;
            let run_view = RunView {
                run,
                resources: spec.resources,
                tenant: None,
                stage: RunStage::Proposed,
                since: now,
                is_adopted: false,
                isolation: task_isolation(job, view.key, *task),
                is_service: spec.is_service,
                usual_ms: view.usual_ms,
                expected_ms,
                checkpoint: None,
                checkpointed: None,
                is_needless: false,
                is_remote,
                progress_percent: 0,
                progressed: now,
                unlisted_since: None,
                has_begun: false,
                confirmed: now,
            };
            proposed.push(Placement {
                index: *task,
                run,
                worker: worker.record.id.clone(),
                incarnation: worker.record.incarnation,
            });
            let tenant = view.tenant.map(|tenant| tenant.index);
            self.workers
                .add_run(*index, view.key.task(*task), run_view, tenant);
            view.waiting.remove(task);
            view.proposed.insert(*task);
        }
        view.end_locality_wait();
        if view.waiting.is_empty() {
            self.locality.release(view.key);
        }
        self.propose(QueueCommand::Start {
            step: view.key,
            placements: proposed,
        });
    }
}

/// How often `each` fits into the available resources.
pub(crate) fn count_fitting(each: Resources, available: Resources) -> u32 {
    let times = |available: u64, each: u64| available.checked_div(each).unwrap_or(u64::MAX);
    let millicores = times(available.millicores, each.millicores);
    let memory = times(available.memory_mib, each.memory_mib);
    let accelerators = times(available.accelerators.into(), each.accelerators.into());
    let fits = millicores.min(memory).min(accelerators);
    u32::try_from(fits).unwrap_or(u32::MAX)
}
