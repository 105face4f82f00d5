//! Tests the memory budget for requests and the reader of bodies, without a network.

use std::thread;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use sapphirepost_process::byte_budget::Account;
use sapphirepost_process::byte_budget::ByteBudget;
use sapphirepost_process::byte_budget::OverBudget;
use sapphirepost_process::byte_budget::Part;
use sapphirepost_process::byte_budget::Phase;
use sapphirepost_process::http::body::BodyBuffer;
use sapphirepost_process::http::body::BodyError;

const KIB: usize = 1024;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// Guards against bytes that are lost or not counted, and against bodies beyond a limit, for
    /// chunks of any size.
    #[test]
    fn a_body_in_any_chunks_is_whole_and_counted(
        chunks in vec(0_usize..20_000, 0..40),
        max_bytes in 1_usize..300_000,
        budget_bytes in 1_usize..300_000,
    ) {
        let budget = ByteBudget::new(budget_bytes);
        let account = budget.open(budget.listener());
        let mut buffer = BodyBuffer::new(&account, max_bytes);
        let mut sent = Vec::new();
        for (number, length) in chunks.into_iter().enumerate() {
            let chunk = vec![number as u8; length];
            let pushed = buffer.push(&chunk);
            let held = budget.held_bytes();
            prop_assert!(held <= budget_bytes && held <= max_bytes);
            match pushed {
                Ok(()) => sent.extend_from_slice(&chunk),
                Err(BodyError::TooLong(_)) => {
                    prop_assert!(sent.len() + length > max_bytes);
                    return Ok(());
                }
                // The buffer doubles, and large bodies may use three quarters of the budget.
                Err(_) => {
                    prop_assert!((sent.len() + length).max(4 * KIB) * 2 > budget_bytes / 4 * 3);
                    return Ok(());
                }
            }
            prop_assert!(held >= sent.len());
        }
        prop_assert_eq!(buffer.finish(), sent);
        drop(account);
        prop_assert_eq!(budget.held_bytes(), 0);
    }
}

/// Guards against large bodies that take the memory which small requests need.
#[test]
fn small_requests_have_memory_that_large_ones_cannot_take() {
    let budget = ByteBudget::new(400 * KIB);
    let listener = budget.listener();
    let large: Vec<_> = (0..10).map(|_| budget.open(listener)).collect();
    for account in &large {
        account.enter(Phase::Body);
        let _ = account.grow(Part::Body, 64 * KIB);
    }
    assert!(budget.held_bytes() <= 300 * KIB);
    let small = budget.open(listener);
    assert_eq!(small.grow(Part::Body, 10 * KIB), Ok(()));
}

/// Guards against stalled bodies that lock out all others until they time out.
#[test]
fn the_slowest_body_makes_room_for_a_newer_one() {
    let budget = ByteBudget::new(400 * KIB);
    let listener = budget.listener();
    let open = || {
        let account = budget.open(listener);
        account.enter(Phase::Body);
        account
    };
    let (slow, running, young) = (open(), open(), open());
    slow.grow(Part::Body, 100 * KIB).unwrap();
    running.grow(Part::Body, 100 * KIB).unwrap();
    running.enter(Phase::Running);
    assert_eq!(young.grow(Part::Body, 200 * KIB), Err(OverBudget));
    thread::sleep(Duration::from_millis(300));
    let newest = open();
    assert_eq!(newest.grow(Part::Body, 200 * KIB), Ok(()));
    assert!(is_told_to_close(&slow) && !is_told_to_close(&running));
    assert!(budget.held_bytes() <= 500 * KIB);
}

/// Guards against an idle crowd that takes all connections, and against closing a connection whose
/// request runs.
#[test]
fn idle_connections_make_room_before_those_that_serve() {
    let budget = ByteBudget::default();
    let listener = budget.listener();
    let (running, served, idle) = (
        budget.open(listener),
        budget.open(listener),
        budget.open(listener),
    );
    let other = budget.open(budget.listener());
    running.enter(Phase::Running);
    served.enter(Phase::Idle);
    thread::sleep(Duration::from_millis(60));
    assert!(budget.free_connection(listener) && is_told_to_close(&idle));
    assert!(budget.free_connection(listener) && is_told_to_close(&served));
    assert!(!budget.free_connection(listener));
    assert!(!is_told_to_close(&running) && !is_told_to_close(&other));
}

fn is_told_to_close(account: &Account) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .unwrap();
    let closed = async { tokio::time::timeout(Duration::from_millis(10), account.closed()).await };
    runtime.block_on(closed).is_ok()
}
