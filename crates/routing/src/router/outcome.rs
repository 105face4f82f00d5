//! From a connection back to the caller.
//!
//! An event counts only if its connection still carries its try; anything else is late.

use sapphirepost_protocol::claim::ClaimOutcome;
use sapphirepost_types::Millis;

use crate::event::Action;
use crate::event::Answer;
use crate::event::ConnectionKey;
use crate::event::ResponseSummary;
use crate::event::SendKey;
use crate::event::UnknownReason;
use crate::router::Router;
use crate::router::Send;
use crate::timers::Timer;

/// A slot of a dropped try is kept this long after its connection was closed, which covers the
/// time until the upstream notices.
const SLOT_HOLD_MS: u64 = 100;

impl Router {
    /// The try, if its connection still carries it.
    fn current(&self, connection: ConnectionKey, send: SendKey) -> Option<Send> {
        let state = *self.sends.get(&send)?;
        (state.connection == connection).then_some(state)
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
        let Some(state) = self.sends.get(&send).copied() else {
            self.release_connection(now, connection);
            return;
        };
        if serving {
            self.hand_over(now, send, actions);
            return;
        }
        // The upstream began to leave while the connection was opened; nothing was sent.
        self.release_connection(now, connection);
        self.free_slot(send);
        self.again(now, state.request, 0, actions);
    }

    pub(super) fn open_failed(
        &mut self,
        now: Millis,
        connection: ConnectionKey,
        actions: &mut Vec<Action>,
    ) {
        let send = self.opening(connection);
        self.forget_connection(connection);
        if let Some(send) = send {
            self.open_lost(now, send, actions);
        }
    }

    pub(super) fn connect_timeout(
        &mut self,
        now: Millis,
        connection: ConnectionKey,
        actions: &mut Vec<Action>,
    ) {
        if let Some(send) = self.opening(connection) {
            self.close(connection, actions);
            self.open_lost(now, send, actions);
        }
    }

    fn opening(&self, connection: ConnectionKey) -> Option<SendKey> {
        let owner = self.connection_owner.get(&connection)?;
        self.upstreams
            .get(owner)?
            .connections
            .opening_for(connection)
    }

    fn open_lost(&mut self, now: Millis, send: SendKey, actions: &mut Vec<Action>) {
        let Some(state) = self.sends.get(&send).copied() else {
            return;
        };
        self.free_slot(send);
        self.note_failure(now, state);
        self.failed_unsent(now, state.request, actions);
    }

    pub(super) fn closed(
        &mut self,
        now: Millis,
        connection: ConnectionKey,
        actions: &mut Vec<Action>,
    ) {
        if let Some(send) = self.held.remove(&connection) {
            self.timers.set(now + SLOT_HOLD_MS, Timer::SlotHold(send));
        }
        let opening = self.opening(connection);
        let carried = self.carried(connection);
        self.forget_connection(connection);
        if let Some(send) = opening {
            self.open_lost(now, send, actions);
        } else if let Some(send) = carried {
            self.broken(now, send, actions);
        }
    }

    pub(super) fn not_sent(
        &mut self,
        now: Millis,
        connection: ConnectionKey,
        send: SendKey,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.current(connection, send) else {
            return;
        };
        self.close(connection, actions);
        self.free_slot(send);
        self.failed_unsent(now, state.request, actions);
    }

    pub(super) fn bytes_sent(&mut self, now: Millis, send: SendKey) {
        if let Some(state) = self.sends.get_mut(&send) {
            state.sent = Some(now);
        }
    }

    pub(super) fn response_head(
        &mut self,
        now: Millis,
        connection: ConnectionKey,
        send: SendKey,
        actions: &mut Vec<Action>,
    ) {
        if self.current(connection, send).is_some() {
            self.sign(now, connection, actions);
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
        let (answered, state) = match self.current(connection, send) {
            Some(state) => (send, state),
            None if self.config.without.send_match => {
                let carried = self.carried(connection);
                match carried.and_then(|carried| Some((carried, *self.sends.get(&carried)?))) {
                    Some(found) => found,
                    None => return,
                }
            }
            None => return,
        };
        self.sign(now, connection, actions);
        if summary.reusable {
            self.release_connection(now, connection);
        } else {
            self.close(connection, actions);
        }
        self.free_slot(answered);
        if summary.not_run {
            self.note_failure(now, state);
            if let Some(request) = self.requests.get_mut(&state.request) {
                request.upstream_refused = true;
            }
            self.failed_unsent(now, state.request, actions);
        } else if summary.status >= 500 {
            self.note_failure(now, state);
            self.server_error(now, state, send, &summary, actions);
        } else {
            self.note_success(now, state);
            self.done(now, state, send, &summary, actions);
        }
        self.dispatch_upstream(now, state.upstream, actions);
    }

    /// A complete response that reports an error of the upstream: tried elsewhere if that is
    /// allowed, otherwise passed on.
    fn server_error(
        &mut self,
        now: Millis,
        state: Send,
        send: SendKey,
        summary: &ResponseSummary,
        actions: &mut Vec<Action>,
    ) {
        if let Some(request) = self.requests.get_mut(&state.request) {
            request.may_have_run = true;
        }
        if self.may_retry(state.request, true) {
            self.retry(now, state.request);
        } else {
            self.done(now, state, send, summary, actions);
        }
    }

    fn done(
        &mut self,
        now: Millis,
        state: Send,
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
        self.finish(now, state.request, answer, Some(outcome), actions);
    }

    pub(super) fn truncated(
        &mut self,
        now: Millis,
        connection: ConnectionKey,
        send: SendKey,
        actions: &mut Vec<Action>,
    ) {
        if self.current(connection, send).is_some() {
            self.close(connection, actions);
            self.broken(now, send, actions);
        }
    }

    /// The connection of a try is lost after the request was handed over.
    fn broken(&mut self, now: Millis, send: SendKey, actions: &mut Vec<Action>) {
        let Some(state) = self.sends.get(&send).copied() else {
            return;
        };
        self.free_slot(send);
        self.note_failure(now, state);
        self.failed_sent(now, state.request, UnknownReason::Broken, actions);
        self.dispatch_upstream(now, state.upstream, actions);
    }

    pub(super) fn attempt_timeout(
        &mut self,
        now: Millis,
        send: SendKey,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.sends.get(&send).copied() else {
            return;
        };
        // Without budget the request waits for its response until the deadline.
        if !self.may_retry(state.request, true) {
            return;
        }
        self.stats.timeouts += 1;
        self.drop_send(now, send, true, actions);
        if let Some(request) = self.requests.get_mut(&state.request) {
            request.may_have_run = true;
        }
        self.retry(now, state.request);
    }

    /// Drops a try that was handed over: the connection is closed, since its response is still
    /// outstanding, and the slot is held until the upstream has noticed.
    pub(super) fn drop_send(
        &mut self,
        now: Millis,
        send: SendKey,
        silent: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.sends.get(&send).copied() else {
            return;
        };
        if silent {
            self.note_failure(now, state);
            if let (Some(sent), Some(upstream)) =
                (state.sent, self.upstreams.get_mut(&state.upstream))
                && !self.config.without.suspects
            {
                upstream.connections.suspect_quiet(sent);
            }
        }
        if self.config.without.send_match {
            self.release_connection(now, state.connection);
            self.free_slot(send);
            return;
        }
        self.sends.remove(&send);
        if let Some(upstream) = self.upstreams.get_mut(&state.upstream) {
            upstream.outstanding.retain(|other| *other != send);
        }
        self.held.insert(state.connection, send);
        self.held_slots.insert(send, (state.upstream, state.lane));
        self.close(state.connection, actions);
    }

    pub(super) fn release_held(&mut self, now: Millis, send: SendKey, actions: &mut Vec<Action>) {
        if let Some((key, lane)) = self.held_slots.remove(&send)
            && let Some(upstream) = self.upstreams.get_mut(&key)
        {
            *upstream.used_in(lane) -= 1;
            self.dispatch_upstream(now, key, actions);
        }
    }

    pub(super) fn carried(&self, connection: ConnectionKey) -> Option<SendKey> {
        let owner = self.connection_owner.get(&connection)?;
        self.upstreams.get(owner)?.connections.carries(connection)
    }

    pub(super) fn free_slot(&mut self, send: SendKey) {
        if let Some(state) = self.sends.remove(&send)
            && let Some(upstream) = self.upstreams.get_mut(&state.upstream)
        {
            *upstream.used_in(state.lane) -= 1;
            upstream.outstanding.retain(|other| *other != send);
        }
    }
}
