//! Guards against a leader with a wrong clock that advances the clock of the state irreversibly,
//! and against a bound that limits a correct clock.

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use sapphirepost_leader::ClockBound;
use sapphirepost_leader::clock_bound::JUMP_MAX_MS;
use sapphirepost_protocol::claim::Claim;
use sapphirepost_protocol::claim::ClaimBatch;
use sapphirepost_protocol::claim::ClaimVerdict;
use sapphirepost_state::Command;
use sapphirepost_state::CommandResult;
use sapphirepost_state::Request;
use sapphirepost_state::State;
use sapphirepost_types::EntryId;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Millis;
use sapphirepost_types::RequestId;

const START_UNIX_MS: u64 = 1_700_000_000_000;
const HOUR_MS: u64 = 60 * 60 * 1_000;
const DAY_MS: u64 = 24 * HOUR_MS;

/// Guards against a wall clock far ahead that advances the state beyond the stated bound.
#[test]
fn a_clock_one_day_ahead_advances_the_state_slowly() {
    let mut bound = ClockBound::default();
    bound.observe(Millis(0), START_UNIX_MS);
    let mut read = |at_ms| {
        let wall_unix_ms = START_UNIX_MS + DAY_MS + at_ms;
        bound.read(Millis(at_ms), wall_unix_ms).unix_ms - START_UNIX_MS
    };
    assert_eq!(read(0), JUMP_MAX_MS);
    for at_ms in (0..HOUR_MS).step_by(20) {
        assert!(read(at_ms) <= at_ms + at_ms / 10 + JUMP_MAX_MS);
    }
}

/// Guards against a bound that grants each new leader a whole jump, so that frequent changes of
/// leaders advance the clock without limit.
#[test]
fn leader_changes_do_not_accumulate_clock_jumps() {
    let mut bound = ClockBound::default();
    let mut clock_unix_ms = START_UNIX_MS;
    bound.observe(Millis(0), clock_unix_ms);
    for term in 1..=100 {
        let now = Millis(term * 100);
        let reading = bound.read(now, clock_unix_ms + DAY_MS);
        clock_unix_ms = reading.unix_ms;
        bound.observe(now, clock_unix_ms);
    }
    let max_ms = 10_000 + 1_000 + JUMP_MAX_MS;
    assert!(clock_unix_ms <= START_UNIX_MS + max_ms);
}

/// Guards against a bound that limits a correct clock because of rounding or of a long time without
/// commands.
#[test]
fn a_correct_clock_is_never_held_back() {
    let mut rng = Pcg64::seed_from_u64(1);
    let mut bound = ClockBound::default();
    // Both clocks are read several times per millisecond and do not tick at the same moment.
    for at_us in (0..300_000_000).step_by(300) {
        let now = Millis(at_us / 1_000);
        let wall_unix_ms = START_UNIX_MS + (at_us + rng.random_range(0..900)) / 1_000;
        assert_eq!(bound.read(now, wall_unix_ms).ahead_ms, 0, "at {at_us} us");
    }
    // An hour without an applied command, as after a loss of the quorum.
    let reading = bound.read(Millis(300_000 + HOUR_MS), START_UNIX_MS + 300_000 + HOUR_MS);
    assert_eq!(reading.ahead_ms, 0);
}

/// Guards against a clock that is limited after a loss of the quorum, when a command that was
/// proposed before the loss is applied with its old clock.
#[test]
fn an_old_command_does_not_hold_back_a_correct_clock() {
    let mut bound = ClockBound::default();
    bound.observe(Millis(0), START_UNIX_MS);
    bound.observe(Millis(HOUR_MS), START_UNIX_MS + 10);
    let reading = bound.read(Millis(HOUR_MS), START_UNIX_MS + HOUR_MS);
    assert_eq!(reading.ahead_ms, 0);
}

/// Guards against a clock that stays days behind after the whole cluster was down.
#[test]
fn the_wall_clock_is_trusted_after_days_of_downtime() {
    let mut bound = ClockBound::default();
    assert!(bound.is_unknown());
    let wall_unix_ms = START_UNIX_MS + 5 * DAY_MS;
    assert_eq!(bound.read(Millis(0), wall_unix_ms).unix_ms, wall_unix_ms);
    assert!(!bound.is_unknown());
}

/// The result of a claim with a correct clock after a leader has written the given clock.
fn claim_result_after(at_unix_ms: u64) -> CommandResult {
    let mut state = State::new();
    let request = Request::Tick;
    state.apply(
        1,
        &Command {
            at_unix_ms,
            request,
        },
    );
    let batch = ClaimBatch {
        entry: EntryId(1),
        incarnation: Incarnation(1),
        claims: vec![Claim {
            service: "grades".parse().unwrap(),
            request: RequestId::new(START_UNIX_MS + 1_000, "composite-run").unwrap(),
            digest: 1,
            token: 1,
        }],
        outcomes: Vec::new(),
    };
    let at_unix_ms = START_UNIX_MS + 1_000;
    let request = Request::Claims(batch);
    state
        .apply(
            2,
            &Command {
                at_unix_ms,
                request,
            },
        )
        .result
}

/// Guards against requests with correct IDs that are refused as too old after a leader whose wall
/// clock was a day ahead. Without the bound they are refused.
#[test]
fn correct_requests_are_granted_after_a_leader_with_a_wrong_clock() {
    let wrong_unix_ms = START_UNIX_MS + DAY_MS;
    let mut bound = ClockBound::default();
    bound.observe(Millis(0), START_UNIX_MS);
    let bounded_unix_ms = bound.read(Millis(0), wrong_unix_ms).unix_ms;
    let granted = CommandResult::Claimed(vec![ClaimVerdict::Granted]);
    let too_old = CommandResult::Claimed(vec![ClaimVerdict::TooOld]);
    assert_eq!(claim_result_after(bounded_unix_ms), granted);
    assert_eq!(claim_result_after(wrong_unix_ms), too_old);
}
