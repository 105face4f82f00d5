//! From the queue to a connection.

use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use sapphirepost_types::RequestClass;

use crate::choice::Candidate;
use crate::choice::choose;
use crate::event::Action;
use crate::event::ConnectionKey;
use crate::event::RefusalReason;
use crate::event::RequestKey;
use crate::event::SendKey;
use crate::retry::TRIES_MAX;
use crate::router::Lane;
use crate::router::Phase;
use crate::router::Router;
use crate::router::Send;
use crate::router::Upstream;
use crate::router::UpstreamKey;
use crate::timers::Timer;

/// While all classes wait, one general slot in this many goes to another class than lookups.
const TURNS: u32 = 4;
/// A response is overdue after this many times the usual latency.
const OVERDUE_FACTOR: f64 = 4.0;
/// Added to the limit for overdue responses, because short latencies vary more.
const OVERDUE_MIN_MS: f64 = 20.0;
/// An idempotent lookup is tried elsewhere after this many times the usual latency.
const LOOKUP_TIMEOUT_FACTOR: f64 = 10.0;
/// The shortest time after which a lookup is tried elsewhere; a scheduling delay of a busy VM
/// is shorter.
const LOOKUP_TIMEOUT_MIN_MS: u64 = 50;

/// Close to the deadline, a try is given at least this many times the usual latency; a second try
/// would not finish either.
const PATIENCE_FACTOR: f64 = 3.0;

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
    /// Starts as many waiting requests of a service as slots allow.
    pub(super) fn dispatch(&mut self, now: Millis, name: &Name, actions: &mut Vec<Action>) {
        self.dispatch_retries(now, name, actions);
        while self.dispatch_one(now, name, actions) {}
    }

    fn dispatch_retries(&mut self, now: Millis, name: &Name, actions: &mut Vec<Action>) {
        let waiting = match self.services.get_mut(name) {
            Some(service) => std::mem::take(&mut service.retries),
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
                service.retries.push_back(key);
            }
        }
    }

    fn dispatch_one(&mut self, now: Millis, name: &Name, actions: &mut Vec<Action>) -> bool {
        let Some(service) = self.services.get(name) else {
            return false;
        };
        let order = match service.turn % (2 * TURNS) {
            turn if turn == TURNS - 1 => STANDARD_FIRST,
            turn if turn == 2 * TURNS - 1 => RECALCULATIONS_FIRST,
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
        let waits = self
            .services
            .get(name)
            .is_some_and(|service| !service.queues[class as usize].is_empty());
        if !waits || !self.has_room(name, class) {
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
        // Only requests that may not be used on trial, or that were tried everywhere, get here.
        if let Some(request) = self.requests.get_mut(&queued.key) {
            request.phase = Phase::Retrying;
            self.service(name).retries.push_back(queued.key);
        }
        false
    }

    /// Whether the usual service time no longer fits before the deadline. A request that did not
    /// have to wait is not refused, so that a service time measured too long is corrected.
    fn cannot_finish(&self, now: Millis, key: RequestKey) -> bool {
        let Some(request) = self.requests.get(&key) else {
            return true;
        };
        if now >= request.new.deadline {
            return !self.config.without.time_check;
        }
        let waited = now > request.arrived;
        let left_ms = request.new.deadline.since(now) as f64;
        let usual_ms = self.usual_ms(&request.new.service, request.new.class);
        waited && usual_ms > left_ms && !self.config.without.admission
    }

    pub(super) fn usual_ms(&self, name: &Name, class: RequestClass) -> f64 {
        self.services.get(name).map_or(0.0, |service| {
            service.queues[class as usize].service_time_ms()
        })
    }

    fn has_room(&self, name: &Name, class: RequestClass) -> bool {
        self.serving(name)
            .any(|(_, upstream)| is_usable(upstream, class))
    }

    /// Slots that serve a class, without those that other classes occupy.
    pub(super) fn slots_for(&self, name: &Name, class: RequestClass) -> usize {
        self.serving(name)
            .filter(|(_, upstream)| !upstream.health.is_ejected())
            .map(|(_, upstream)| {
                let others = upstream
                    .outstanding
                    .iter()
                    .filter_map(|send| self.sends.get(send))
                    .filter(|send| send.class != class && send.lane == Lane::General)
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
        self.current.values().filter_map(move |&key| {
            let upstream = self.upstreams.get(&key)?;
            (upstream.serving && upstream.service == *name).then_some((key, upstream))
        })
    }

    /// Gives the request a slot of an upstream, if one is free.
    fn try_start(&mut self, now: Millis, key: RequestKey, actions: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(&key) else {
            return true;
        };
        let class = request.new.class;
        let usual_ms = self.usual_ms(&request.new.service, class);
        let mut candidates: Vec<Candidate<UpstreamKey>> = self
            .serving(&request.new.service)
            .filter(|(_, upstream)| is_usable(upstream, class))
            .filter(|(_, upstream)| request.new.idempotent || !upstream.health.is_on_trial())
            .map(|(key, upstream)| {
                let tried = request.tried.contains(&key);
                self.candidate(now, key, upstream, class, tried, usual_ms)
            })
            .collect();
        candidates.sort_unstable_by_key(|candidate| candidate.key);
        if candidates.iter().all(|candidate| candidate.tried) && self.has_untried(key) {
            return false;
        }
        let Some(chosen) = choose(&candidates, usual_ms.max(1.0), &mut self.rng) else {
            return false;
        };
        self.start(now, key, chosen, actions);
        true
    }

    /// Whether a retry may hope for a slot of an upstream that has not failed it before.
    fn has_untried(&self, key: RequestKey) -> bool {
        let Some(request) = self.requests.get(&key) else {
            return false;
        };
        self.serving(&request.new.service)
            .filter(|(_, upstream)| upstream.free_slots_at_all(request.new.class))
            .any(|(key, upstream)| !upstream.health.is_ejected() && !request.tried.contains(&key))
    }

    fn candidate(
        &self,
        now: Millis,
        key: UpstreamKey,
        upstream: &Upstream,
        class: RequestClass,
        tried: bool,
        usual_ms: f64,
    ) -> Candidate<UpstreamKey> {
        let ignore_errors = self.own_fault || self.config.without.ejection;
        Candidate {
            key,
            own_domain: upstream.failure_domain == self.config.failure_domain,
            outstanding: upstream.used(),
            share: upstream.share.slots(),
            latency_ms: upstream.health.latency_ms(class),
            error_share: if ignore_errors {
                0.0
            } else {
                upstream.health.error_share(now)
            },
            overdue: self.overdue(now, upstream, usual_ms),
            tried,
        }
    }

    fn overdue(&self, now: Millis, upstream: &Upstream, usual_ms: f64) -> u16 {
        let limit_ms = OVERDUE_FACTOR * usual_ms + OVERDUE_MIN_MS;
        let overdue = |sent: Millis| now.since(sent) as f64 > limit_ms;
        upstream
            .outstanding
            .iter()
            .filter_map(|send| self.sends.get(send)?.sent)
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
        let class = request.new.class;
        request.phase = Phase::Trying(send);
        request.tried.push(chosen);
        request.tries += 1;
        let name = request.new.service.clone();
        let upstream = self.upstreams.get_mut(&chosen).expect("a candidate exists");
        let lane = upstream.free_lane(class).expect("a candidate has a slot");
        *upstream.used_in(lane) += 1;
        upstream.outstanding.push(send);
        if lane == Lane::General {
            self.service(&name).turn += 1;
        }
        let upstream = self.upstreams.get_mut(&chosen).expect("a candidate exists");
        let reused = upstream.connections.reuse(send);
        let connection = match reused {
            Some(connection) => connection,
            None => self.open(now, chosen, send, actions),
        };
        let state = Send {
            request: key,
            class,
            upstream: chosen,
            lane,
            connection,
            sent: None,
        };
        self.sends.insert(send, state);
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
        self.timers.set(
            now + self.config.connect_timeout_ms,
            Timer::Connect(connection),
        );
        actions.push(Action::Open {
            connection,
            address: upstream.address.clone(),
        });
        connection
    }

    /// Hands the request to its open connection. From here on it may run.
    pub(super) fn hand_over(&mut self, now: Millis, send: SendKey, actions: &mut Vec<Action>) {
        let Some(state) = self.sends.get_mut(&send) else {
            return;
        };
        state.sent = Some(now);
        let state = *state;
        let Some(request) = self.requests.get(&state.request) else {
            return;
        };
        let not_after = if self.config.without.time_check {
            request.new.deadline + u64::from(u32::MAX)
        } else {
            request.new.deadline
        };
        actions.push(Action::Send {
            connection: state.connection,
            send,
            request: state.request,
            not_after,
            keep: request.granted.is_some(),
        });
        if request.new.idempotent && request.tries < TRIES_MAX {
            let left_ms = request.new.deadline.since(now);
            let limit_ms = self.attempt_limit_ms(&request.new.service, state.class);
            let usual_ms = self.usual_ms(&request.new.service, state.class);
            let patience_ms = (PATIENCE_FACTOR * usual_ms) as u64;
            let limit_ms = limit_ms.min((left_ms / 2).max(patience_ms));
            if limit_ms < left_ms {
                self.timers.set(now + limit_ms, Timer::Attempt(send));
            }
        }
    }

    fn attempt_limit_ms(&self, name: &Name, class: RequestClass) -> u64 {
        let limit_ms = self.config.limits(class).attempt_timeout_ms;
        match class {
            RequestClass::Lookup => {
                let usual_ms = self.usual_ms(name, class);
                if usual_ms == 0.0 {
                    return limit_ms;
                }
                let timeout_ms = (LOOKUP_TIMEOUT_FACTOR * usual_ms) as u64;
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
        && upstream.free_lane(class).is_some()
}
