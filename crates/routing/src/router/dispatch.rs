//! Dispatch: assigns waiting requests to upstreams and hands them to connections.

use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use sapphirepost_types::RequestClass;

use crate::event::Action;
use crate::event::ConnectionKey;
use crate::event::RefusalReason;
use crate::event::RequestKey;
use crate::event::SendKey;
use crate::retry::ATTEMPTS_MAX;
use crate::router::Attempt;
use crate::router::Phase;
use crate::router::Router;
use crate::router::SlotPool;
use crate::router::Upstream;
use crate::router::UpstreamKey;
use crate::selection::Candidate;
use crate::selection::select_upstream;
use crate::timers::Timer;

/// While requests of all classes wait, one general slot in this many goes to a class other than
/// lookups, alternately to standard requests and to recalculations.
const NON_LOOKUP_INTERVAL: u32 = 4;
/// A response is overdue after this many times the average service time.
const OVERDUE_FACTOR: f64 = 4.0;
/// Added to the limit for overdue responses, because short service times vary relatively more.
const OVERDUE_MIN_MS: f64 = 20.0;
/// An idempotent lookup is retried after this many times the average service time.
const LOOKUP_TIMEOUT_FACTOR: f64 = 10.0;
/// The shortest time after which a lookup is retried, unless its deadline is close. Longer than the
/// scheduling delays of a busy VM.
const LOOKUP_TIMEOUT_MIN_MS: u64 = 50;

/// Close to the deadline, an attempt gets at least this many times the average service time,
/// because another attempt would not finish either.
const MIN_ATTEMPT_FACTOR: f64 = 3.0;

const LOOKUPS_FIRST: [RequestClass; 3] = RequestClass::ALL;
const STANDARD_FIRST: [RequestClass; 3] = [
    RequestClass::Standard,
    RequestClass::Recalculation,
    RequestClass::Lookup,
];
const RECALCULATIONS_FIRST: [RequestClass; 3] = [
    RequestClass::Recalculation,
    RequestClass::Standard,
    RequestClass::Lookup,
];

impl Router {
    /// Starts as many waiting requests of a service as there are free slots, retries first.
    pub(super) fn dispatch(&mut self, now: Millis, name: &Name, actions: &mut Vec<Action>) {
        self.dispatch_retries(now, name, actions);
        while self.dispatch_one(now, name, actions) {}
    }

    fn dispatch_retries(&mut self, now: Millis, name: &Name, actions: &mut Vec<Action>) {
        let waiting = match self.services.get_mut(name) {
            Some(service) => std::mem::take(&mut service.retry_queue),
            None => return,
        };
        for key in waiting {
            let retrying = self
                .requests
                .get(&key)
                .is_some_and(|request| request.phase == Phase::Retrying);
            if retrying
                && !self.try_start(now, key, actions)
                && let Some(service) = self.services.get_mut(name)
            {
                service.retry_queue.push_back(key);
            }
        }
    }

    fn dispatch_one(&mut self, now: Millis, name: &Name, actions: &mut Vec<Action>) -> bool {
        let Some(service) = self.services.get(name) else {
            return false;
        };
        let order = match service.general_dispatches % (2 * NON_LOOKUP_INTERVAL) {
            count if count == NON_LOOKUP_INTERVAL - 1 => STANDARD_FIRST,
            count if count == 2 * NON_LOOKUP_INTERVAL - 1 => RECALCULATIONS_FIRST,
            _ => LOOKUPS_FIRST,
        };
        order
            .into_iter()
            .any(|class| self.dispatch_class(now, name, class, actions))
    }

    fn dispatch_class(
        &mut self,
        now: Millis,
        name: &Name,
        class: RequestClass,
        actions: &mut Vec<Action>,
    ) -> bool {
        let has_waiting = self
            .services
            .get(name)
            .is_some_and(|service| !service.queues[class as usize].is_empty());
        if !has_waiting || !self.has_usable_upstream(name, class) {
            return false;
        }
        let service = self.service(name);
        let Some(queued) = service.queues[class as usize].pop() else {
            return false;
        };
        if self.cannot_finish(now, queued.key) {
            self.refuse(now, queued.key, RefusalReason::Deadline, actions);
            return true;
        }
        if self.try_start(now, queued.key, actions) {
            return true;
        }
        // The request is not idempotent, and every usable upstream is on trial.
        if let Some(request) = self.requests.get_mut(&queued.key) {
            request.phase = Phase::Retrying;
            self.service(name).retry_queue.push_back(queued.key);
        }
        false
    }

    /// Whether the average service time no longer fits before the deadline. A request that did not
    /// have to wait is not refused, so that new samples can correct an average that is too long.
    fn cannot_finish(&self, now: Millis, key: RequestKey) -> bool {
        let Some(request) = self.requests.get(&key) else {
            return true;
        };
        if now >= request.params.deadline {
            return !self.config.disabled.deadline_check;
        }
        let had_to_wait = now > request.arrived;
        let remaining_ms = request.params.deadline.since(now) as f64;
        let average_ms =
            self.average_service_time_ms(&request.params.service, request.params.class);
        had_to_wait && average_ms > remaining_ms && !self.config.disabled.admission
    }

    pub(super) fn average_service_time_ms(&self, name: &Name, class: RequestClass) -> f64 {
        self.services.get(name).map_or(0.0, |service| {
            service.queues[class as usize].service_time_ms()
        })
    }

    fn has_usable_upstream(&self, name: &Name, class: RequestClass) -> bool {
        self.serving(name)
            .any(|(_, upstream)| is_usable(upstream, class))
    }

    /// The number of slots that serve a class, without those that other classes use.
    pub(super) fn slots_for(&self, name: &Name, class: RequestClass) -> usize {
        self.serving(name)
            .filter(|(_, upstream)| !upstream.health.is_ejected())
            .map(|(_, upstream)| {
                let others = upstream
                    .outstanding
                    .iter()
                    .filter_map(|send| self.attempts.get(send))
                    .filter(|attempt| attempt.class != class && attempt.pool == SlotPool::General)
                    .count();
                let general = usize::from(upstream.share.general).saturating_sub(others);
                match class {
                    RequestClass::Lookup => general + usize::from(upstream.share.lookup_only),
                    _ => general.max(usize::from(upstream.share.general > 0)),
                }
            })
            .sum()
    }

    pub(super) fn serving<'a>(
        &'a self,
        name: &'a Name,
    ) -> impl Iterator<Item = (UpstreamKey, &'a Upstream)> {
        self.upstream_by_name.values().filter_map(move |&key| {
            let upstream = self.upstreams.get(&key)?;
            (upstream.serving && upstream.service == *name).then_some((key, upstream))
        })
    }

    /// Starts an attempt of a request if a suitable upstream has a free slot. Returns whether the
    /// request no longer waits.
    fn try_start(&mut self, now: Millis, key: RequestKey, actions: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(&key) else {
            return true;
        };
        let class = request.params.class;
        let average_ms = self.average_service_time_ms(&request.params.service, class);
        let mut candidates: Vec<Candidate<UpstreamKey>> = self
            .serving(&request.params.service)
            .filter(|(_, upstream)| is_usable(upstream, class))
            .filter(|(_, upstream)| request.params.idempotent || !upstream.health.is_on_trial())
            .map(|(key, upstream)| {
                let tried = request.tried_upstreams.contains(&key);
                self.candidate(now, key, upstream, class, tried, average_ms)
            })
            .collect();
        candidates.sort_unstable_by_key(|candidate| candidate.key);
        if candidates.iter().all(|candidate| candidate.tried) && self.has_untried(key) {
            return false;
        }
        let Some(chosen) = select_upstream(&candidates, average_ms.max(1.0), &mut self.rng) else {
            return false;
        };
        self.start(now, key, chosen, actions);
        true
    }

    /// Whether an upstream that the request has not tried may become free for it.
    fn has_untried(&self, key: RequestKey) -> bool {
        let Some(request) = self.requests.get(&key) else {
            return false;
        };
        self.serving(&request.params.service)
            .filter(|(_, upstream)| upstream.has_slots_for(request.params.class))
            .any(|(key, upstream)| {
                !upstream.health.is_ejected() && !request.tried_upstreams.contains(&key)
            })
    }

    fn candidate(
        &self,
        now: Millis,
        key: UpstreamKey,
        upstream: &Upstream,
        class: RequestClass,
        tried: bool,
        average_ms: f64,
    ) -> Candidate<UpstreamKey> {
        let ignore_errors = self.local_fault_suspected || self.config.disabled.ejection;
        Candidate {
            key,
            same_domain: upstream.failure_domain == self.config.failure_domain,
            outstanding: upstream.used(),
            share: upstream.share.slots(),
            latency_ms: upstream.health.latency_ms(class),
            error_rate: if ignore_errors {
                0.0
            } else {
                upstream.health.error_rate(now)
            },
            overdue: self.overdue(now, upstream, average_ms),
            tried,
        }
    }

    fn overdue(&self, now: Millis, upstream: &Upstream, average_ms: f64) -> u16 {
        let limit_ms = OVERDUE_FACTOR * average_ms + OVERDUE_MIN_MS;
        let overdue = |sent: Millis| now.since(sent) as f64 > limit_ms;
        upstream
            .outstanding
            .iter()
            .filter_map(|send| self.attempts.get(send)?.sent_at)
            .filter(|&sent| overdue(sent))
            .count() as u16
    }

    fn start(
        &mut self,
        now: Millis,
        key: RequestKey,
        chosen: UpstreamKey,
        actions: &mut Vec<Action>,
    ) {
        let send = SendKey(self.next_send);
        self.next_send += 1;
        let request = self.requests.get_mut(&key).expect("checked by try_start");
        let class = request.params.class;
        request.phase = Phase::Trying(send);
        request.tried_upstreams.push(chosen);
        request.attempt_count += 1;
        let name = request.params.service.clone();
        let upstream = self.upstreams.get_mut(&chosen).expect("a candidate exists");
        let pool = upstream.free_pool(class).expect("a candidate has a slot");
        *upstream.used_in_pool(pool) += 1;
        upstream.outstanding.push(send);
        if pool == SlotPool::General {
            self.service(&name).general_dispatches += 1;
        }
        let upstream = self.upstreams.get_mut(&chosen).expect("a candidate exists");
        let reused = upstream.connections.take_idle(send);
        let connection = match reused {
            Some(connection) => connection,
            None => self.open(now, chosen, send, actions),
        };
        let attempt = Attempt {
            request: key,
            class,
            upstream: chosen,
            pool,
            connection,
            sent_at: None,
        };
        self.attempts.insert(send, attempt);
        if reused.is_some() {
            self.hand_over(now, send, actions);
        }
    }

    fn open(
        &mut self,
        now: Millis,
        chosen: UpstreamKey,
        send: SendKey,
        actions: &mut Vec<Action>,
    ) -> ConnectionKey {
        let connection = ConnectionKey(self.next_connection);
        self.next_connection += 1;
        let upstream = self.upstreams.get_mut(&chosen).expect("a candidate exists");
        upstream.connections.add(now, connection, send);
        self.connection_owner.insert(connection, chosen);
        self.timers.schedule(
            now + self.config.connect_timeout_ms,
            Timer::ConnectTimeout(connection),
        );
        actions.push(Action::Open {
            connection,
            address: upstream.address.clone(),
        });
        connection
    }

    /// Hands a request to its open connection. From here on the request may run.
    pub(super) fn hand_over(&mut self, now: Millis, send: SendKey, actions: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.get_mut(&send) else {
            return;
        };
        attempt.sent_at = Some(now);
        let attempt = *attempt;
        let Some(request) = self.requests.get(&attempt.request) else {
            return;
        };
        let not_after = if self.config.disabled.deadline_check {
            request.params.deadline + u64::from(u32::MAX)
        } else {
            request.params.deadline
        };
        actions.push(Action::Send {
            connection: attempt.connection,
            send,
            request: attempt.request,
            not_after,
            keep: request.granted_claim.is_some(),
        });
        if request.params.idempotent && request.attempt_count < ATTEMPTS_MAX {
            let remaining_ms = request.params.deadline.since(now);
            let limit_ms = self.attempt_limit_ms(&request.params.service, attempt.class);
            let average_ms = self.average_service_time_ms(&request.params.service, attempt.class);
            let min_attempt_ms = (MIN_ATTEMPT_FACTOR * average_ms) as u64;
            let limit_ms = limit_ms.min((remaining_ms / 2).max(min_attempt_ms));
            if limit_ms < remaining_ms {
                self.timers
                    .schedule(now + limit_ms, Timer::AttemptTimeout(send));
            }
        }
    }

    fn attempt_limit_ms(&self, name: &Name, class: RequestClass) -> u64 {
        let limit_ms = self.config.limits(class).attempt_timeout_ms;
        match class {
            RequestClass::Lookup => {
                let average_ms = self.average_service_time_ms(name, class);
                if average_ms == 0.0 {
                    return limit_ms;
                }
                let timeout_ms = (LOOKUP_TIMEOUT_FACTOR * average_ms) as u64;
                timeout_ms.max(LOOKUP_TIMEOUT_MIN_MS).min(limit_ms)
            }
            _ => limit_ms,
        }
    }
}

fn is_usable(upstream: &Upstream, class: RequestClass) -> bool {
    let connections = &upstream.connections;
    let has_connection =
        connections.has_idle() || connections.count() < usize::from(upstream.share.connections);
    let trial_busy = upstream.health.is_on_trial() && upstream.used() > 0;
    has_connection
        && !upstream.health.is_ejected()
        && !trial_busy
        && upstream.free_pool(class).is_some()
}
