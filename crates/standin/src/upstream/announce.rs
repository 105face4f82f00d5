//! Announcements of one upstream.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use sapphirepost_protocol::gossip::AnnounceReply;
use sapphirepost_protocol::gossip::Announcement;
use sapphirepost_protocol::gossip::UpstreamStatus;
use sapphirepost_types::Clock;
use sapphirepost_types::Millis;

use crate::upstream::Upstream;

const PATH: &str = "/v1/upstreams/announce";
const INTERVAL_MS: u64 = 1000;
const TIMEOUT: Duration = Duration::from_millis(800);
/// How often the thread looks whether the upstream leaves.
const POLL: Duration = Duration::from_millis(20);
/// A failed announcement is repeated at the next entry, this often at most.
const ATTEMPTS: u64 = 3;

/// Announces until the process ends; a change of status is announced at once.
pub(crate) fn announce_forever(upstream: &Arc<Upstream>, index: usize) {
    let entries = upstream.options.entries.starting_at(index);
    let mut sequence = 0;
    loop {
        let began = upstream.clock.now();
        let was_leaving = upstream.leaving_ms().is_some();
        for _ in 0..ATTEMPTS {
            sequence += 1;
            let announcement = announcement(upstream, sequence);
            match entries.post::<_, AnnounceReply>(PATH, &announcement, TIMEOUT) {
                Ok(_) => break,
                Err(error) => log::debug!("announcement failed: {error:#}"),
            }
        }
        // The next one goes to another entry, so that the loss of one entry costs one interval.
        entries.advance();
        wait(upstream, began, was_leaving);
    }
}

fn wait(upstream: &Upstream, began: Millis, was_leaving: bool) {
    while upstream.clock.now().since(began) < INTERVAL_MS {
        if upstream.leaving_ms().is_some() != was_leaving {
            return;
        }
        thread::sleep(POLL);
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
