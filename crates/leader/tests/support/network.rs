//! A simulated network between the leader and workers, operators and entries. It loses, duplicates
//! and delays messages.

use std::collections::BTreeMap;

use rand::Rng;
use rand_pcg::Pcg64;
use sapphirepost_leader::Reply;
use sapphirepost_protocol::claim::ClaimBatch;
use sapphirepost_protocol::config::WatchConfig;
use sapphirepost_protocol::operator::OperatorRequest;
use sapphirepost_protocol::worker::WorkerSync;

/// The sender of a call. The first field is its index; the second identifies the call, or for a
/// worker its incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    Worker(usize, u64),
    Operator(usize, u64),
    Watcher(usize, u64),
    Claimer(usize, u64),
}

#[derive(Clone, Debug)]
pub enum Call {
    Sync(WorkerSync),
    Operator(OperatorRequest),
    Watch(WatchConfig),
    Claims(ClaimBatch),
}

#[derive(Clone, Debug)]
pub enum Message {
    Call(Sender, Call),
    Reply(Sender, Reply),
}

/// Probability of each fault per message, in thousandths.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub lost: u32,
    pub duplicated: u32,
    pub delayed: u32,
}

#[derive(Default)]
pub struct Network {
    queue: BTreeMap<(u64, u64), Message>,
    sent: u64,
    pub faults: Faults,
}

impl Network {
    pub fn send(&mut self, now_ms: u64, rng: &mut Pcg64, message: Message) {
        if rng.random_range(0..1_000) < self.faults.lost {
            return;
        }
        let is_duplicated = rng.random_range(0..1_000) < self.faults.duplicated;
        for _ in 0..1 + usize::from(is_duplicated) {
            let is_delayed = rng.random_range(0..1_000) < self.faults.delayed;
            let delay_ms = match is_delayed {
                true => rng.random_range(100..4_000),
                false => rng.random_range(1..6),
            };
            self.sent += 1;
            self.queue
                .insert((now_ms + delay_ms, self.sent), message.clone());
        }
    }

    pub fn due(&mut self, now_ms: u64) -> Vec<Message> {
        let later = self.queue.split_off(&(now_ms + 1, 0));
        std::mem::replace(&mut self.queue, later)
            .into_values()
            .collect()
    }
}
