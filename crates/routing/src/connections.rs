//! The connections of this entry to one upstream.
//!
//! A connection is reused only after a complete response. After a timeout the connection is
//! closed and those that have been quiet since the request was sent become suspect; a suspect one
//! is not reused, and a new connection decides: if it gets a response, the suspects are closed
//! because old connections are silent while new ones work.

use sapphirepost_types::Millis;

use crate::event::ConnectionKey;
use crate::event::SendKey;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Being opened for a try.
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
    last_sign: Millis,
    opened: Millis,
    suspect: bool,
}

/// The connections to one upstream.
#[derive(Clone, Debug, Default)]
pub struct Connections {
    all: Vec<Connection>,
}

impl Connections {
    /// All connections that count towards the share, the closing ones included.
    pub fn count(&self) -> usize {
        self.all.len()
    }

    /// Takes the idle connection that was used last, if a clean one exists.
    pub fn reuse(&mut self, send: SendKey) -> Option<ConnectionKey> {
        let connection = self
            .all
            .iter_mut()
            .filter(|connection| !connection.suspect)
            .filter(|connection| matches!(connection.phase, Phase::Idle { .. }))
            .max_by_key(|connection| connection.last_sign)?;
        connection.phase = Phase::Busy(send);
        Some(connection.key)
    }

    /// Whether a clean idle connection exists.
    pub fn has_idle(&self) -> bool {
        self.all
            .iter()
            .any(|connection| !connection.suspect && matches!(connection.phase, Phase::Idle { .. }))
    }

    /// Adds a connection that is being opened for a try.
    pub fn add(&mut self, now: Millis, key: ConnectionKey, send: SendKey) {
        self.all.push(Connection {
            key,
            phase: Phase::Opening(send),
            last_sign: now,
            opened: now,
            suspect: false,
        });
    }

    /// A connection is open; returns the try that waits for it.
    pub fn opened(&mut self, now: Millis, key: ConnectionKey) -> Option<SendKey> {
        let connection = self.find(key)?;
        let Phase::Opening(send) = connection.phase else {
            return None;
        };
        connection.phase = Phase::Busy(send);
        connection.opened = now;
        connection.last_sign = now;
        Some(send)
    }

    /// The try for which a connection is being opened.
    pub fn opening_for(&self, key: ConnectionKey) -> Option<SendKey> {
        self.all
            .iter()
            .find(|connection| connection.key == key)
            .and_then(|connection| match connection.phase {
                Phase::Opening(send) => Some(send),
                _ => None,
            })
    }

    /// The try that a connection carries.
    pub fn carries(&self, key: ConnectionKey) -> Option<SendKey> {
        self.all
            .iter()
            .find(|connection| connection.key == key)
            .and_then(|connection| match connection.phase {
                Phase::Busy(send) => Some(send),
                _ => None,
            })
    }

    /// A sign of life on a connection. Returns the suspects that a newer connection has proved
    /// silent; they are to be closed.
    pub fn sign(&mut self, now: Millis, key: ConnectionKey) -> Vec<ConnectionKey> {
        let Some(connection) = self.find(key) else {
            return Vec::new();
        };
        connection.last_sign = now;
        connection.suspect = false;
        let opened = connection.opened;
        self.all
            .iter()
            .filter(|other| other.suspect && other.opened < opened)
            .filter(|other| matches!(other.phase, Phase::Idle { .. }))
            .map(|other| other.key)
            .collect()
    }

    /// A connection has finished a try cleanly, or its try was dropped before the first byte.
    pub fn release(&mut self, now: Millis, key: ConnectionKey) {
        if let Some(connection) = self.find(key) {
            connection.phase = Phase::Idle { since: now };
        }
    }

    /// A try on a connection timed out: connections without a sign of life since `sent` become
    /// suspect.
    pub fn suspect_quiet(&mut self, sent: Millis) {
        for connection in &mut self.all {
            let quiet = connection.last_sign <= sent;
            if quiet && !matches!(connection.phase, Phase::Closing) {
                connection.suspect = true;
            }
        }
    }

    /// A connection is to be closed. Returns whether it was not closing before.
    pub fn close(&mut self, key: ConnectionKey) -> bool {
        match self.find(key) {
            Some(connection) if connection.phase != Phase::Closing => {
                connection.phase = Phase::Closing;
                true
            }
            _ => false,
        }
    }

    /// A connection is closed.
    pub fn remove(&mut self, key: ConnectionKey) {
        self.all.retain(|connection| connection.key != key);
    }

    /// Idle connections that are older than `idle_timeout_ms`.
    pub fn idle_since(&self, now: Millis, idle_timeout_ms: u64) -> Vec<ConnectionKey> {
        self.all
            .iter()
            .filter(|connection| match connection.phase {
                Phase::Idle { since } => now.since(since) >= idle_timeout_ms,
                _ => false,
            })
            .map(|connection| connection.key)
            .collect()
    }

    /// An idle connection of any kind, to make room for a new one.
    pub fn any_idle(&self) -> Option<ConnectionKey> {
        self.all
            .iter()
            .find(|connection| matches!(connection.phase, Phase::Idle { .. }))
            .map(|connection| connection.key)
    }

    fn find(&mut self, key: ConnectionKey) -> Option<&mut Connection> {
        self.all.iter_mut().find(|connection| connection.key == key)
    }
}
