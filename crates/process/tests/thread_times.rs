//! Tests the processor time of threads.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use sapphirepost_process::process_metrics::thread_times;

/// Guards against a busy thread whose time is not seen or counted for another one.
#[test]
fn the_time_of_a_busy_thread_is_found_by_its_name() {
    let (sender, receiver) = flume::bounded::<()>(0);
    let busy = thread::Builder::new().name("group network".to_owned());
    let busy = busy.spawn(move || while receiver.is_empty() && !receiver.is_disconnected() {});
    let until = Instant::now() + Duration::from_secs(10);
    let has_time = || {
        let mut threads = thread_times().into_iter();
        threads.any(|thread| thread.name == "group network" && thread.processor_ms >= 50)
    };
    while !has_time() {
        assert!(Instant::now() < until, "no time of the thread within 10 s");
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(
        thread_times()
            .iter()
            .filter(|thread| thread.is_main)
            .count(),
        1
    );
    drop(sender);
    busy.unwrap().join().unwrap();
}
