//! Placement: giving waiting tasks to workers.
//!
//! Answers the load pattern in which work of many sizes competes for nearly full workers. Steps
//! are served in their order; a task goes to the worker on which the least room is left over, so
//! that wide tasks find room. Gangs are placed by the module `gangs`.

use sapphirepost_types::Millis;
use sapphirepost_types::Resources;

use crate::command::Placement;
use crate::command::QueueCommand;
use crate::ids::StepKey;
use crate::job::Job;
use crate::scheduler::Scheduler;
use crate::scheduler::order::Lateness;
use crate::scheduler::order::Rank;
use crate::scheduler::permits::Permission;
use crate::scheduler::permits::WORKERS_PER_QUESTION_MAX;
use crate::scheduler::permits::Wanted;
use crate::scheduler::preempt::MadeRoom;
use crate::scheduler::reserve::Reservations;
use crate::scheduler::steps::StepView;
use crate::scheduler::workers::RunStage;
use crate::scheduler::workers::RunView;
use crate::scheduler::workers::WorkerIndex;
use crate::scheduler::workers::WorkerView;
use crate::state::QueueState;

/// Gangs that may hold reservations at a time.
const RESERVATIONS_MAX: usize = 6;
/// Workers that a question names at least, as far as there are any.
const WORKERS_PER_QUESTION_MIN: usize = 30;
/// Workers that a question names for each task that waits.
const WORKERS_PER_TASK: usize = 4;
/// A dependent step is asked for when the steps before it are expected to end within this time.
const ASK_AHEAD_MS: u64 = 1_200;

/// The shortest time between two rounds of placement, so that ends that come together share one.
const PLACEMENT_PAUSE_MIN_MS: u64 = 4;
/// The longest time between two rounds while something changes.
const PLACEMENT_PAUSE_MAX_MS: u64 = 24;
/// Gangs times workers that make the time until gangs are placed again a millisecond longer. All
/// workers have to be looked through for a gang. Between, other work may take what a gang needs.
const GANG_CHECKS_PER_PAUSE_MS: u64 = 1_500;
/// The longest time until gangs are placed again.
const GANG_PAUSE_MAX_MS: u64 = 10;
/// Waiting steps that make the pause a millisecond longer.
const STEPS_PER_PAUSE_MS: u64 = 25;

/// A worker that may take a task now.
pub(crate) struct Candidate {
    pub(crate) index: WorkerIndex,
    pub(crate) permission: Permission,
    /// Tasks of the step that fit.
    pub(crate) fits: u32,
    /// Whether a run of the step failed or stood still there.
    pub(crate) is_avoided: bool,
    /// What is left when one task is placed, for the choice of the tightest worker.
    pub(crate) left_millicores: u64,
    /// Whether it is on the preferred rack.
    pub(crate) is_preferred: bool,
    /// Time that runs take there against their estimates, in hundredths.
    pub(crate) pace_percent: u64,
}

impl Scheduler {
    /// Places what can be placed.
    pub(crate) fn place(&mut self, state: &QueueState, now: Millis) {
        let mut ranks: Vec<Rank> = self
            .steps
            .values()
            .filter(|view| !view.waiting.is_empty())
            .map(|view| Rank::of(view, now))
            .collect();
        ranks.sort_unstable();
        self.pause_placement(ranks.len());
        self.most_free = self.most_free_room(now);
        let has_gangs = now.since(self.gangs_placed_at) >= self.gang_pause_ms;
        let mut reservations = if has_gangs {
            self.made_room(now)
        } else {
            std::mem::take(&mut self.reservations)
        };
        let mut gangs = 0;
        let mut reserved = 0;
        for rank in ranks {
            let Some(mut view) = self.steps.remove(&rank.key) else {
                continue;
            };
            if !view.is_due {
                self.ask_ahead(&mut view, now);
            } else if !view.spec().is_gang {
                self.place_tasks(state, &mut view, &reservations, now);
            } else if has_gangs || view.is_urgent() {
                gangs += 1;
                let may_reserve = has_gangs && reserved < RESERVATIONS_MAX;
                let keeps = self.place_gang(state, &mut view, &mut reservations, may_reserve, now);
                reserved += usize::from(keeps);
            }
            self.steps.insert(rank.key, view);
        }
        self.reservations = reservations;
        if has_gangs {
            self.gangs_placed_at = now;
            let checks = gangs * self.workers.len() as u64;
            self.gang_pause_ms = (checks / GANG_CHECKS_PER_PAUSE_MS).min(GANG_PAUSE_MAX_MS);
        }
    }

    /// Places steps of the most urgent queues as soon as their permits are there. A round serves all
    /// steps in their order, but a short job has no time to wait for it.
    pub(crate) fn place_urgent(&mut self, state: &QueueState, now: Millis) {
        for key in std::mem::take(&mut self.answered_steps) {
            let Some(mut view) = self.steps.remove(&key) else {
                continue;
            };
            let is_in_time = Rank::of(&view, now).lateness == Lateness::InTime;
            let mut reservations = std::mem::take(&mut self.reservations);
            if view.is_urgent() && view.is_due && is_in_time {
                if view.spec().is_gang {
                    self.place_gang(state, &mut view, &mut reservations, false, now);
                } else {
                    self.place_tasks(state, &mut view, &reservations, now);
                }
            }
            self.reservations = reservations;
            self.steps.insert(key, view);
        }
    }

    /// Sets the time to the next round. A round costs time for each step that waits, and the leader
    /// has to commit and to give orders between rounds.
    fn pause_placement(&mut self, waiting_steps: usize) {
        let more_ms = waiting_steps as u64 / STEPS_PER_PAUSE_MS;
        self.placement_pause_ms = (PLACEMENT_PAUSE_MIN_MS + more_ms).min(PLACEMENT_PAUSE_MAX_MS);
    }

    /// The most of each resource that is free on any worker.
    fn most_free_room(&self, now: Millis) -> Resources {
        let open = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.is_open(now));
        open.fold(Resources::ZERO, |most, (_, worker)| {
            let free = worker.free();
            Resources {
                millicores: most.millicores.max(free.millicores),
                memory_mib: most.memory_mib.max(free.memory_mib),
                accelerators: most.accelerators.max(free.accelerators),
            }
        })
    }

    /// Asks for the permits of a step that depends on others shortly before its turn.
    fn ask_ahead(&mut self, view: &mut StepView, now: Millis) {
        if view.queue.permits.is_none() || !view.permits.is_unasked() {
            return;
        }
        let is_soon = view.spec().after.iter().all(|&after| {
            let key = StepKey {
                job: view.key.job,
                step: after,
            };
            self.ends_soon(key, now)
        });
        if is_soon {
            view.permits.want(Wanted::More, now);
        }
    }

    fn ends_soon(&self, key: StepKey, now: Millis) -> bool {
        let Some(view) = self.steps.get(&key) else {
            return true;
        };
        let ends_soon = |(task, (_, worker)): (&u32, &(u32, WorkerIndex))| {
            let run = self
                .workers
                .get(*worker)
                .and_then(|w| w.runs.get(&key.task(*task)));
            run.is_some_and(|run| run.expected_end(now) <= now + ASK_AHEAD_MS)
        };
        let is_placed = view.waiting.is_empty() && view.proposed.is_empty();
        is_placed && view.placed.iter().all(ends_soon)
    }

    pub(crate) fn permission(
        &self,
        view: &StepView,
        index: WorkerIndex,
        now: Millis,
    ) -> Permission {
        match view.queue.permits {
            None => Permission::Granted,
            Some(cost) => view.permits.of(index, cost.valid_ms, now),
        }
    }

    /// Workers that may run the step as far as its permits are known.
    fn possible<'a>(
        &'a self,
        view: &'a StepView,
    ) -> Box<dyn Iterator<Item = (WorkerIndex, &'a WorkerView)> + 'a> {
        if view.queue.permits.is_none() {
            return Box::new(self.workers.iter());
        }
        let allowed = view.permits.allowed();
        Box::new(allowed.filter_map(|index| Some((index, self.workers.get(index)?))))
    }

    /// Workers with room for at least one task of the step.
    pub(crate) fn candidates(
        &self,
        view: &StepView,
        reservations: &Reservations,
        now: Millis,
    ) -> Vec<Candidate> {
        let spec = view.spec();
        let mut found = Vec::new();
        if !spec.resources.fits_in(&self.most_free) {
            return found;
        }
        for (index, worker) in self.possible(view) {
            // Most workers have no room, which is the cheapest to find out.
            let has_room = spec.resources.fits_in(&worker.free());
            if !has_room || !worker.is_open(now) || !view.suits(worker) {
                continue;
            }
            let permission = self.permission(view, index, now);
            if permission == Permission::Denied {
                continue;
            }
            let pace = worker.health.pace();
            let task_ms = (spec.estimate_ms as f64 * pace) as u64;
            let room = reservations.room(index, worker, view.key, task_ms, now);
            let fits = self.fits(view, worker, room, now);
            if fits == 0 {
                continue;
            }
            let left = room.saturating_sub(&spec.resources);
            let is_preferred = spec
                .preferred_rack
                .as_ref()
                .is_some_and(|rack| worker.record.has_label(rack));
            found.push(Candidate {
                index,
                permission,
                fits,
                is_avoided: view.avoided.contains(&index),
                left_millicores: left.millicores,
                is_preferred,
                pace_percent: (pace * 100.0) as u64,
            });
        }
        found
    }

    /// How many tasks of the step fit into the room of a worker.
    fn fits(&self, view: &StepView, worker: &WorkerView, room: Resources, now: Millis) -> u32 {
        let spec = view.spec();
        let mut fits = how_many(spec.resources, room);
        if let Some(most) = spec.per_worker_max {
            let there = worker.runs_by_step.get(&view.key).copied().unwrap_or(0);
            fits = fits.min(most.saturating_sub(there));
        }
        let tasks_max = worker.health.tasks_max(now);
        let open = tasks_max.saturating_sub(worker.runs.len());
        fits.min(u32::try_from(open).unwrap_or(u32::MAX))
    }

    fn place_tasks(
        &mut self,
        state: &QueueState,
        view: &mut StepView,
        reservations: &Reservations,
        now: Millis,
    ) {
        let mut candidates = self.candidates(view, reservations, now);
        candidates.sort_unstable_by_key(|c| {
            (
                c.is_avoided,
                !c.is_preferred,
                c.pace_percent / 50,
                c.left_millicores,
                c.index,
            )
        });
        let job = state.job(view.key.job).filter(|_| view.is_committed);
        let mut placements = Vec::new();
        if job.is_some() {
            let mut waiting = view.waiting.iter().copied().collect::<Vec<_>>().into_iter();
            let granted = candidates
                .iter()
                .filter(|c| c.permission == Permission::Granted);
            'workers: for candidate in granted {
                for _ in 0..candidate.fits {
                    let Some(task) = waiting.next() else {
                        break 'workers;
                    };
                    placements.push((task, candidate.index));
                }
            }
        }
        if let Some(job) = job.filter(|_| !placements.is_empty()) {
            self.start(job, view, &placements, now);
        }
        self.want_permits(view, &candidates, now);
    }

    /// Asks for what keeps the waiting tasks from a start.
    fn want_permits(&mut self, view: &mut StepView, candidates: &[Candidate], now: Millis) {
        if view.waiting.is_empty() || view.queue.permits.is_none() || view.permits.is_asking() {
            return;
        }
        let of = |permission: Permission| {
            candidates
                .iter()
                .filter(move |c| c.permission == permission)
        };
        let needed = view.waiting.len();
        let expired: Vec<WorkerIndex> = of(Permission::Expired).map(|c| c.index).collect();
        let expired_fits: u32 = of(Permission::Expired).map(|c| c.fits).sum();
        if expired_fits as usize >= needed {
            let most = expired.len().min(needed * 2);
            let renewal = Wanted::Renewal(expired[..most].to_vec());
            return view.permits.want(renewal, now);
        }
        if view.spec().resources.fits_in(&self.most_free) {
            view.permits.want(Wanted::More, now);
        }
    }

    /// The workers to ask about: those that may run the step and were not asked about or need a
    /// fresh permit, first the ones with the most room.
    pub(crate) fn question(&self, view: &StepView, now: Millis) -> Vec<WorkerIndex> {
        let is_useful = |(index, worker): &(WorkerIndex, &WorkerView)| {
            let has_room = view.spec().resources.fits_in(&worker.free());
            let is_wanted = match self.permission(view, *index, now) {
                Permission::Unknown => has_room || view.spec().is_gang,
                Permission::Expired => has_room && !view.spec().is_gang,
                Permission::Granted | Permission::Denied => false,
            };
            is_wanted && worker.is_open(now) && view.suits(worker)
        };
        let workers = self.workers.iter().filter(is_useful);
        let mut workers: Vec<(u64, WorkerIndex)> = workers
            .map(|(index, worker)| (u64::MAX - worker.free().millicores, index))
            .collect();
        workers.sort_unstable();
        workers.truncate(self.question_size(view));
        workers.into_iter().map(|(_, index)| index).collect()
    }

    /// How many workers a question about a step names at most.
    pub(crate) fn question_size(&self, view: &StepView) -> usize {
        let wanted = view.waiting.len() * WORKERS_PER_TASK;
        wanted.clamp(WORKERS_PER_QUESTION_MIN, WORKERS_PER_QUESTION_MAX)
    }

    /// Proposes runs of the given tasks and takes their room.
    pub(crate) fn start(
        &mut self,
        job: &Job,
        view: &mut StepView,
        placements: &[(u32, WorkerIndex)],
        now: Millis,
    ) {
        view.waits_since = None;
        view.made_room = MadeRoom::default();
        let spec = view.spec().clone();
        let tasks = &job.steps[usize::from(view.key.step)].tasks;
        let gang_run = tasks.iter().map(|task| task.run).max().unwrap_or(0) + 1;
        let mut proposed = Vec::with_capacity(placements.len());
        for (task, index) in placements {
            let Some(worker) = self.workers.get_mut(*index) else {
                continue;
            };
            let run = if spec.is_gang {
                gang_run
            } else {
                tasks[*task as usize].run + 1
            };
            let expected_ms = (spec.estimate_ms as f64 * worker.health.pace()) as u64;
            let run_view = RunView {
                run,
                resources: spec.resources,
                stage: RunStage::Proposed,
                since: now,
                expected_ms,
                checkpoint: None,
                progress_percent: 0,
                progressed: now,
            };
            worker.add_run(view.key.task(*task), run_view);
            view.waiting.remove(task);
            view.proposed.insert(*task);
            proposed.push(Placement {
                index: *task,
                run,
                worker: worker.record.id.clone(),
            });
        }
        self.propose(QueueCommand::Start {
            step: view.key,
            placements: proposed,
        });
    }
}

/// How many times an amount fits into the room.
fn how_many(each: Resources, room: Resources) -> u32 {
    let times = |room: u64, each: u64| room.checked_div(each).unwrap_or(u64::MAX);
    let millicores = times(room.millicores, each.millicores);
    let memory = times(room.memory_mib, each.memory_mib);
    let accelerators = times(room.accelerators.into(), each.accelerators.into());
    let fits = millicores.min(memory).min(accelerators);
    u32::try_from(fits).unwrap_or(u32::MAX)
}
