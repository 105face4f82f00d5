//! Results of attempts: connection events, responses and timeouts.
//!
//! An event is ignored as late unless its attempt is still active on the same connection.

use sapphirepost_protocol::claim::ClaimOutcome;
use sapphirepost_types::Millis;

use crate::event::Action;
use crate::event::Answer;
use crate::event::ConnectionKey;
use crate::event::ResponseSummary;
use crate::event::SendKey;
use crate::event::UnknownReason;
use crate::router::Attempt;
use crate::router::Router;
use crate::timers::Timer;

/// The slot of a dropped attempt stays in use for this long after its connection was closed, which
/// covers the time until the upstream notices.
const SLOT_HOLD_MS: u64 = 100;

impl Router {
    /// The attempt, if it is active and uses this connection.
    fn active_attempt(&self, connection: ConnectionKey, send: SendKey) -> Option<Attempt> {
        let attempt = *self.attempts.get(&send)?;
        (attempt.connection == connection).then_some(attempt)
    }

    pub(super) fn opened(
        &mut self,
        now: Millis,
        connection: ConnectionKey,
        actions: &mut Vec<Action>,
    ) {
        let Some(owner) = self.connection_owner.get(&connection).copied() else {
            return;
        };
        let Some(upstream) = self.upstreams.get_mut(&owner) else {
            return;
        };
        let Some(send) = upstream.connections.opened(now, connection) else {
            return;
        };
        let serving = upstream.serving;
        let Some(attempt) = self.attempts.get(&send).copied() else {
            self.release_connection(now, connection);
            return;
        };
        if serving {
            self.hand_over(now, send, actions);
            return;
        }
        // The upstream stopped serving while the connection was being opened; nothing was sent.
        self.release_connection(now, connection);
        self.free_slot(send);
        self.restart_now(now, attempt.request, 0, actions);
    }

    pub(super) fn open_failed(
        &mut self,
        now: Millis,
        connection: ConnectionKey,
        actions: &mut Vec<Action>,
    ) {
        let send = self.opening_send(connection);
        self.remove_connection(connection);
        if let Some(send) = send {
            self.connect_failed(now, send, actions);
        }
    }

    pub(super) fn connect_timeout(
        &mut self,
        now: Millis,
        connection: ConnectionKey,
        actions: &mut Vec<Action>,
    ) {
        if let Some(send) = self.opening_send(connection) {
            self.close(connection, actions);
            self.connect_failed(now, send, actions);
        }
    }

    fn opening_send(&self, connection: ConnectionKey) -> Option<SendKey> {
        let owner = self.connection_owner.get(&connection)?;
        self.upstreams
            .get(owner)?
            .connections
            .opening_send(connection)
    }

    fn connect_failed(&mut self, now: Millis, send: SendKey, actions: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.get(&send).copied() else {
            return;
        };
        self.free_slot(send);
        self.record_failure(now, attempt);
        self.failed_not_run(now, attempt.request, actions);
    }

    pub(super) fn closed(
        &mut self,
        now: Millis,
        connection: ConnectionKey,
        actions: &mut Vec<Action>,
    ) {
        if let Some(send) = self.dropped_sends.remove(&connection) {
            self.timers
                .schedule(now + SLOT_HOLD_MS, Timer::SlotHold(send));
        }
        let opening = self.opening_send(connection);
        let carried = self.carried_send(connection);
        self.remove_connection(connection);
        if let Some(send) = opening {
            self.connect_failed(now, send, actions);
        } else if let Some(send) = carried {
            self.connection_lost(now, send, actions);
        }
    }

    pub(super) fn not_sent(
        &mut self,
        now: Millis,
        connection: ConnectionKey,
        send: SendKey,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.active_attempt(connection, send) else {
            return;
        };
        self.close(connection, actions);
        self.free_slot(send);
        self.failed_not_run(now, attempt.request, actions);
    }

    pub(super) fn bytes_sent(&mut self, now: Millis, send: SendKey) {
        if let Some(attempt) = self.attempts.get_mut(&send) {
            attempt.sent_at = Some(now);
        }
    }

    pub(super) fn response_head(
        &mut self,
        now: Millis,
        connection: ConnectionKey,
        send: SendKey,
        actions: &mut Vec<Action>,
    ) {
        if self.active_attempt(connection, send).is_some() {
            self.record_activity(now, connection, actions);
        }
    }

    pub(super) fn response_end(
        &mut self,
        now: Millis,
        connection: ConnectionKey,
        send: SendKey,
        summary: ResponseSummary,
        actions: &mut Vec<Action>,
    ) {
        let (answered_send, attempt) = match self.active_attempt(connection, send) {
            Some(attempt) => (send, attempt),
            None if self.config.disabled.response_matching => {
                let carried = self.carried_send(connection);
                match carried.and_then(|carried| Some((carried, *self.attempts.get(&carried)?))) {
                    Some(found) => found,
                    None => return,
                }
            }
            None => return,
        };
        self.record_activity(now, connection, actions);
        if summary.reusable {
            self.release_connection(now, connection);
        } else {
            self.close(connection, actions);
        }
        self.free_slot(answered_send);
        if summary.not_run {
            self.record_failure(now, attempt);
            if let Some(request) = self.requests.get_mut(&attempt.request) {
                request.upstream_refused = true;
            }
            self.failed_not_run(now, attempt.request, actions);
        } else if summary.status >= 500 {
            self.record_failure(now, attempt);
            self.server_error(now, attempt, send, &summary, actions);
        } else {
            self.record_success(now, attempt);
            self.forward_response(now, attempt, send, &summary, actions);
        }
        self.dispatch_upstream(now, attempt.upstream, actions);
    }

    /// Handles a complete response that reports an error of the upstream: the request is retried if
    /// that is allowed, otherwise the response is passed on.
    fn server_error(
        &mut self,
        now: Millis,
        attempt: Attempt,
        send: SendKey,
        summary: &ResponseSummary,
        actions: &mut Vec<Action>,
    ) {
        if let Some(request) = self.requests.get_mut(&attempt.request) {
            request.may_have_run = true;
        }
        if self.may_retry(attempt.request, true) {
            self.retry(now, attempt.request);
        } else {
            self.forward_response(now, attempt, send, summary, actions);
        }
    }

    fn forward_response(
        &mut self,
        now: Millis,
        attempt: Attempt,
        send: SendKey,
        summary: &ResponseSummary,
        actions: &mut Vec<Action>,
    ) {
        let outcome = ClaimOutcome::Done {
            status: summary.status,
            content_type: summary.content_type.clone(),
            body: summary.body.clone(),
        };
        let answer = Answer::Forward(send);
        self.finish(now, attempt.request, answer, Some(outcome), actions);
    }

    pub(super) fn response_truncated(
        &mut self,
        now: Millis,
        connection: ConnectionKey,
        send: SendKey,
        actions: &mut Vec<Action>,
    ) {
        if self.active_attempt(connection, send).is_some() {
            self.close(connection, actions);
            self.connection_lost(now, send, actions);
        }
    }

    /// Handles the loss of a connection after the request was handed to it.
    fn connection_lost(&mut self, now: Millis, send: SendKey, actions: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.get(&send).copied() else {
            return;
        };
        self.free_slot(send);
        self.record_failure(now, attempt);
        self.failed_may_have_run(now, attempt.request, UnknownReason::Broken, actions);
        self.dispatch_upstream(now, attempt.upstream, actions);
    }

    pub(super) fn attempt_timeout(
        &mut self,
        now: Millis,
        send: SendKey,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.attempts.get(&send).copied() else {
            return;
        };
        // Without a retry the request waits for its response until the deadline.
        if !self.may_retry(attempt.request, true) {
            return;
        }
        self.stats.timeouts += 1;
        self.drop_send(now, send, true, actions);
        if let Some(request) = self.requests.get_mut(&attempt.request) {
            request.may_have_run = true;
        }
        self.retry(now, attempt.request);
    }

    /// Drops an attempt that was handed to its connection. The connection is closed, since a late
    /// response may still arrive on it, and the slot stays in use until the upstream has noticed.
    pub(super) fn drop_send(
        &mut self,
        now: Millis,
        send: SendKey,
        timed_out: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.attempts.get(&send).copied() else {
            return;
        };
        if timed_out {
            self.record_failure(now, attempt);
            if let (Some(sent), Some(upstream)) =
                (attempt.sent_at, self.upstreams.get_mut(&attempt.upstream))
                && !self.config.disabled.suspect_connections
            {
                upstream.connections.suspect_inactive(sent);
            }
        }
        if self.config.disabled.response_matching {
            self.release_connection(now, attempt.connection);
            self.free_slot(send);
            return;
        }
        self.attempts.remove(&send);
        if let Some(upstream) = self.upstreams.get_mut(&attempt.upstream) {
            upstream.outstanding.retain(|other| *other != send);
        }
        self.dropped_sends.insert(attempt.connection, send);
        self.held_slots
            .insert(send, (attempt.upstream, attempt.pool));
        self.close(attempt.connection, actions);
    }

    pub(super) fn release_held_slot(
        &mut self,
        now: Millis,
        send: SendKey,
        actions: &mut Vec<Action>,
    ) {
        if let Some((key, pool)) = self.held_slots.remove(&send)
            && let Some(upstream) = self.upstreams.get_mut(&key)
        {
            *upstream.used_in_pool(pool) -= 1;
            self.dispatch_upstream(now, key, actions);
        }
    }

    pub(super) fn carried_send(&self, connection: ConnectionKey) -> Option<SendKey> {
        let owner = self.connection_owner.get(&connection)?;
        self.upstreams
            .get(owner)?
            .connections
            .carried_send(connection)
    }

    pub(super) fn free_slot(&mut self, send: SendKey) {
        if let Some(attempt) = self.attempts.remove(&send)
            && let Some(upstream) = self.upstreams.get_mut(&attempt.upstream)
        {
            *upstream.used_in_pool(attempt.pool) -= 1;
            upstream.outstanding.retain(|other| *other != send);
        }
    }
}
