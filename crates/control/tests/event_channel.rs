//! Events that are sent while the channel to the core thread is full.

use std::time::Duration;
use std::time::Instant;

use sapphirepost_control::Event;
use sapphirepost_control::EventSender;

/// More events than the channel holds.
const FLOOD: usize = 20_000;

/// Guards against a SIGTERM that is lost while the channel is full, and against one that blocks the
/// thread that has to handle the next signal.
#[test]
fn a_shutdown_request_survives_a_full_channel() {
    let (sender, events) = EventSender::new();
    for _ in 0..FLOOD {
        sender.send_or_drop(Event::StorageHasSpace);
    }
    assert!(events.len() < FLOOD, "the channel is full");
    let began = Instant::now();
    sender.request_shutdown().unwrap();
    assert!(began.elapsed() < Duration::from_secs(1));
    let is_shutdown = |(event, _)| matches!(event, Event::Shutdown);
    let mut received = std::iter::from_fn(|| events.recv_timeout(Duration::from_secs(5)).ok());
    assert!(received.any(is_shutdown), "the request was lost");
}
