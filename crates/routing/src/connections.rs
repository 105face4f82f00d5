//! The connections of this entry to one upstream.
//!
//! A connection on which a request was sent is reused only after a complete response. After a
//! timeout the connection is closed, and every other connection without activity since the request
//! was sent becomes suspect: old connections may have been dropped silently while new ones work. A
//! suspect connection is not reused until something is received on it. If a newer connection gets a
//! response, the older idle suspect ones are closed.

use sapphirepost_types::Millis;

use crate::event::ConnectionKey;
use crate::event::SendKey;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Being opened for this attempt.
    Opening(SendKey),
    Idle {
        since: Millis,
    },
    Busy(SendKey),
    Closing,
}

#[derive(Clone, Debug)]
struct Connection {
    key: ConnectionKey,
    phase: Phase,
    last_activity: Millis,
    opened_at: Millis,
    suspect: bool,
}

/// The connections of this entry to one upstream.
#[derive(Clone, Debug, Default)]
pub struct Connections {
    connections: Vec<Connection>,
}

impl Connections {
    /// The number of connections that count towards the share, those being opened or closed
    /// included.
    pub fn count(&self) -> usize {
        self.connections.len()
    }

    /// Takes the idle connection with the latest activity for an attempt, if there is one that is
    /// not suspect.
    pub fn take_idle(&mut self, send: SendKey) -> Option<ConnectionKey> {
        let connection = self
            .connections
            .iter_mut()
            .filter(|connection| !connection.suspect)
            .filter(|connection| matches!(connection.phase, Phase::Idle { .. }))
            .max_by_key(|connection| connection.last_activity)?;
        connection.phase = Phase::Busy(send);
        Some(connection.key)
    }

    /// Whether there is an idle connection that is not suspect.
    pub fn has_idle(&self) -> bool {
        self.connections
            .iter()
            .any(|connection| !connection.suspect && matches!(connection.phase, Phase::Idle { .. }))
    }

    /// Adds a connection that is being opened for an attempt.
    pub fn add(&mut self, now: Millis, key: ConnectionKey, send: SendKey) {
        self.connections.push(Connection {
            key,
            phase: Phase::Opening(send),
            last_activity: now,
            opened_at: now,
            suspect: false,
        });
    }

    /// Marks a connection as open. Returns the attempt for which it was opened; the connection now
    /// carries that attempt.
    pub fn opened(&mut self, now: Millis, key: ConnectionKey) -> Option<SendKey> {
        let connection = self.find(key)?;
        let Phase::Opening(send) = connection.phase else {
            return None;
        };
        connection.phase = Phase::Busy(send);
        connection.opened_at = now;
        connection.last_activity = now;
        Some(send)
    }

    /// The attempt for which a connection is being opened; `None` in any other phase.
    pub fn opening_send(&self, key: ConnectionKey) -> Option<SendKey> {
        self.connections
            .iter()
            .find(|connection| connection.key == key)
            .and_then(|connection| match connection.phase {
                Phase::Opening(send) => Some(send),
                _ => None,
            })
    }

    /// The attempt that an open connection carries; `None` in any other phase.
    pub fn carried_send(&self, key: ConnectionKey) -> Option<SendKey> {
        self.connections
            .iter()
            .find(|connection| connection.key == key)
            .and_then(|connection| match connection.phase {
                Phase::Busy(send) => Some(send),
                _ => None,
            })
    }

    /// Records that something was received on a connection, which is then no longer suspect.
    /// Returns the idle suspect connections that are older than it, to be closed.
    pub fn record_activity(&mut self, now: Millis, key: ConnectionKey) -> Vec<ConnectionKey> {
        let Some(connection) = self.find(key) else {
            return Vec::new();
        };
        connection.last_activity = now;
        connection.suspect = false;
        let opened_at = connection.opened_at;
        self.connections
            .iter()
            .filter(|other| other.suspect && other.opened_at < opened_at)
            .filter(|other| matches!(other.phase, Phase::Idle { .. }))
            .map(|other| other.key)
            .collect()
    }

    /// Marks a connection as idle, after a complete response or after its attempt was dropped
    /// before the first byte.
    pub fn release(&mut self, now: Millis, key: ConnectionKey) {
        if let Some(connection) = self.find(key) {
            connection.phase = Phase::Idle { since: now };
        }
    }

    /// Marks connections without activity since `sent` as suspect, after an attempt that was sent
    /// then has timed out.
    pub fn suspect_inactive(&mut self, sent: Millis) {
        for connection in &mut self.connections {
            let inactive = connection.last_activity <= sent;
            if inactive && !matches!(connection.phase, Phase::Closing) {
                connection.suspect = true;
            }
        }
    }

    /// Marks a connection as closing. Returns false if it was closing already or is unknown.
    pub fn close(&mut self, key: ConnectionKey) -> bool {
        match self.find(key) {
            Some(connection) if connection.phase != Phase::Closing => {
                connection.phase = Phase::Closing;
                true
            }
            _ => false,
        }
    }

    /// Removes a connection that is closed.
    pub fn remove(&mut self, key: ConnectionKey) {
        self.connections.retain(|connection| connection.key != key);
    }

    /// The connections that have been idle for at least `idle_timeout_ms`.
    pub fn idle_longer_than(&self, now: Millis, idle_timeout_ms: u64) -> Vec<ConnectionKey> {
        self.connections
            .iter()
            .filter(|connection| match connection.phase {
                Phase::Idle { since } => now.since(since) >= idle_timeout_ms,
                _ => false,
            })
            .map(|connection| connection.key)
            .collect()
    }

    /// An idle connection, suspect or not, that can be closed so that another can be opened.
    pub fn any_idle(&self) -> Option<ConnectionKey> {
        self.connections
            .iter()
            .find(|connection| matches!(connection.phase, Phase::Idle { .. }))
            .map(|connection| connection.key)
    }

    fn find(&mut self, key: ConnectionKey) -> Option<&mut Connection> {
        self.connections
            .iter_mut()
            .find(|connection| connection.key == key)
    }
}
