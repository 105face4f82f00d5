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

/// Guards against a leader that handles the messages of the group only after thousands of replies of
/// workers, and stops leading since the replies of the other members seem to be missing.
#[test]
fn an_event_of_the_group_is_handled_before_queued_calls() {
    let (sender, events) = EventSender::new();
    for _ in 0..5_000 {
        let dump = Event::Dump(Box::new(|_| {}));
        assert!(sender.try_send_call(dump).is_ok());
    }
    sender.send_or_drop(Event::StorageHasSpace);
    let (first, _) = events.recv_timeout(Duration::from_secs(5)).unwrap();
    assert!(matches!(first, Event::StorageHasSpace));
    sender.send_or_drop(Event::StorageHasSpace);
    let (next, _) = events.try_recv().unwrap();
    assert!(matches!(next, Event::StorageHasSpace));
    assert!(matches!(events.try_recv(), Some((Event::Dump(_), _))));
}

/// Guards against a message of the group that is dropped since calls fill the channel.
#[test]
fn a_full_channel_of_calls_has_room_for_the_group() {
    let (sender, events) = EventSender::new();
    let mut calls = 0;
    while sender.try_send_call(Event::Dump(Box::new(|_| {}))).is_ok() {
        calls += 1;
    }
    sender.send_or_drop(Event::StorageHasSpace);
    assert_eq!(events.len(), calls + 1);
}
