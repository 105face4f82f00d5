//! Periodic announcements of one upstream to the entries.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use sapphirepost_protocol::gossip::AnnounceReply;
use sapphirepost_protocol::gossip::Announcement;
use sapphirepost_protocol::gossip::UpstreamStatus;
use sapphirepost_types::Clock;
use sapphirepost_types::Millis;

use crate::upstream::Upstream;

const ANNOUNCE_PATH: &str = "/v1/upstreams/announce";
const INTERVAL_MS: u64 = 1000;
const TIMEOUT: Duration = Duration::from_millis(800);
/// How often the thread checks whether the upstream has started to leave.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of attempts for one announcement. After each failure, the next entry is tried.
const ATTEMPTS: u64 = 3;

/// Announces the upstream at each interval until the process exits. A change of its status is
/// announced at once.
pub(crate) fn announce_forever(upstream: &Arc<Upstream>, index: usize) {
    let entries = upstream.options.entries.starting_at(index);
    let mut sequence = 0;
    loop {
        let started_at = upstream.clock.now();
        let was_leaving = upstream.leaving_ms().is_some();
        for _ in 0..ATTEMPTS {
            sequence += 1;
            let announcement = announcement(upstream, sequence);
            match entries.post::<_, AnnounceReply>(ANNOUNCE_PATH, &announcement, TIMEOUT) {
                Ok(_) => break,
                Err(error) => log::debug!("announcement failed: {error:#}"),
            }
        }
        // The next announcement goes to another entry, so that the loss of one entry delays the
        // announcements by at most one interval.
        entries.advance();
        wait_for_next(upstream, started_at, was_leaving);
    }
}

fn wait_for_next(upstream: &Upstream, started_at: Millis, was_leaving: bool) {
    while upstream.clock.now().since(started_at) < INTERVAL_MS {
        if upstream.leaving_ms().is_some() != was_leaving {
            return;
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn announcement(upstream: &Upstream, sequence: u64) -> Announcement {
    let options = &upstream.options;
    Announcement {
        name: upstream.name.clone(),
        service: options.service.clone(),
        address: upstream.address.to_string(),
        failure_domain: options.failure_domain.clone(),
        slots: options.slots,
        connections: options.connections,
        incarnation: upstream.incarnation,
        sequence,
        status: match upstream.leaving_ms() {
            Some(_) => UpstreamStatus::Leaving,
            None => UpstreamStatus::Serving,
        },
    }
}
