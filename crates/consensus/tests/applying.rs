//! Tests of how a node hands out committed entries when there are many of them.

use sapphirepost_consensus::Body;
use sapphirepost_consensus::Config;
use sapphirepost_consensus::Entry;
use sapphirepost_consensus::GroupId;
use sapphirepost_consensus::HardState;
use sapphirepost_consensus::Index;
use sapphirepost_consensus::Membership;
use sapphirepost_consensus::Message;
use sapphirepost_consensus::Node;
use sapphirepost_consensus::Payload;
use sapphirepost_consensus::Persisted;
use sapphirepost_consensus::PersistentState;
use sapphirepost_consensus::Ready;
use sapphirepost_consensus::Role;
use sapphirepost_consensus::Term;
use sapphirepost_types::MemberId;
use sapphirepost_types::Millis;

const GROUP: GroupId = GroupId(7);
const ENTRY_BYTES: usize = 1_000;
/// The index of the last entry that the members have in their logs when they start.
const LAST: Index = 4_000;
/// A part of the log that is small against the whole, 4 MB, and larger than any entry.
const PART_MAX_BYTES: usize = 128 * 1024;
/// The token of the reads.
const TOKEN: u64 = 99;

/// The log of a member of a group of three, which knows of no commit.
fn restored() -> PersistentState {
    let voters = (1..=3).map(|id| (MemberId(id), format!("member{id}")));
    let first = Entry {
        index: 1,
        term: 1,
        payload: Payload::Membership(Membership::of_voters(voters)),
    };
    let rest = (2..=LAST).map(|index| Entry {
        index,
        term: 1,
        payload: Payload::Command(vec![0; ENTRY_BYTES].into()),
    });
    PersistentState {
        hard_state: HardState {
            group: Some(GROUP),
            term: 1,
            voted_for: None,
        },
        snapshot: None,
        entries: std::iter::once(first).chain(rest).collect(),
    }
}

fn step(node: &mut Node, now: Millis, from: u64, term: Term, body: Body) {
    let message = Message {
        group: GROUP,
        term,
        body,
    };
    node.step(now, MemberId(from), message);
}

/// Handles the output, except that nothing is sent, and returns it.
fn handle_ready(node: &mut Node, now: Millis) -> Ready {
    let ready = node.ready();
    let number = ready.number;
    if ready.needs_storage() {
        node.persisted(now, Persisted { number });
    }
    ready
}

/// A leader that has just committed the first entry of its term, and with it its whole log, and has
/// handed out nothing. The time is that of the commit.
fn leader() -> (Node, Millis) {
    let mut node = Node::new(Config::new(MemberId(1), 1), restored(), Millis(0));
    let now = node.next_due();
    node.tick(now);
    for body in [
        Body::PreVoteReply { granted: true },
        Body::VoteReply { granted: true },
    ] {
        step(&mut node, now, 2, 2, body);
        handle_ready(&mut node, now);
    }
    assert_eq!((node.role(), node.term()), (Role::Leader, 2));
    handle_ready(&mut node, now);
    accept(&mut node, now, LAST + 1, 0);
    assert_eq!(node.commit_index(), LAST + 1);
    (node, now)
}

/// Lets member 2 accept the log up to an index, and confirm a round of reads.
fn accept(node: &mut Node, now: Millis, matched: Index, round: u64) {
    step(node, now, 2, 2, Body::Accepted { matched, round });
}

fn size_bytes(entries: &[Entry]) -> usize {
    entries.iter().map(Entry::size_bytes).sum()
}

/// Checks that a part of the committed entries is limited and follows the entries before it, and
/// returns the last index so far.
fn check_part(part: &[Entry], before: Index) -> Index {
    assert!(size_bytes(part) <= PART_MAX_BYTES, "{}", part.len());
    let expected = before + 1..=before + part.len() as u64;
    assert!(part.iter().map(|entry| entry.index).eq(expected));
    before + part.len() as u64
}

/// Guards against a leader that is silent for longer than an election timeout, because it hands out
/// its whole log in one step after its election.
#[test]
fn a_leader_sends_heartbeats_while_it_hands_out_a_long_log() {
    let (mut node, mut now) = leader();
    let mut handed_out = 0;
    while handed_out < node.commit_index() {
        now = node.next_due();
        node.tick(now);
        accept(&mut node, now, LAST + 1, 0);
        let ready = handle_ready(&mut node, now);
        assert!(!ready.is_empty() && !ready.committed.is_empty());
        handed_out = check_part(&ready.committed, handed_out);
        let mut receivers = ready.messages.iter().map(|sent| sent.to);
        assert!(receivers.any(|to| to == MemberId(2)), "no heartbeat");
    }
    assert!(handle_ready(&mut node, now).is_empty());
    assert_eq!((node.role(), node.term()), (Role::Leader, 2));
}

/// Guards against a follower that answers no heartbeat while it hands out a long log.
#[test]
fn a_follower_answers_while_it_hands_out_a_long_log() {
    let mut node = Node::new(Config::new(MemberId(3), 1), restored(), Millis(0));
    let mut handed_out = 0;
    let mut now = Millis(0);
    while handed_out < LAST {
        now = now + 1;
        let heartbeat = Body::Append {
            prev_index: LAST,
            prev_term: 1,
            entries: Vec::new(),
            commit: LAST,
            round: 0,
        };
        step(&mut node, now, 1, 2, heartbeat);
        let ready = handle_ready(&mut node, now);
        handed_out = check_part(&ready.committed, handed_out);
        let mut answers = ready.messages.iter().chain(&ready.messages_after_persist);
        assert!(answers.any(|sent| sent.to == MemberId(1)), "no answer");
    }
    assert!(handle_ready(&mut node, now).is_empty());
}

/// Guards against a read that is answered from a state without entries that were committed before
/// the read began.
#[test]
fn a_confirmed_read_waits_until_its_entries_are_handed_out() {
    let (mut node, now) = leader();
    node.read_index(now, TOKEN).unwrap();
    accept(&mut node, now, LAST + 1, 1);
    let mut handed_out = 0;
    let mut parts = 0;
    loop {
        let ready = handle_ready(&mut node, now);
        handed_out = check_part(&ready.committed, handed_out);
        parts += 1;
        if let Some(read) = ready.reads.first() {
            assert_eq!((read.token, read.index), (TOKEN, LAST + 1));
            break;
        }
        assert!(handed_out < LAST + 1, "the read is not reported");
    }
    assert_eq!(handed_out, LAST + 1);
    assert!(parts > 1);
}

/// Guards against a read that never ends, or that a former leader answers, because its leadership
/// ended between the confirmation and the entries that the read has to see.
#[test]
fn a_confirmed_read_is_aborted_if_the_leader_steps_down_before_its_entries() {
    let (mut node, now) = leader();
    node.read_index(now, TOKEN).unwrap();
    accept(&mut node, now, LAST + 1, 1);
    let first = handle_ready(&mut node, now);
    assert!(first.reads.is_empty() && first.aborted_reads.is_empty());
    step(&mut node, now, 3, 3, Body::PreVoteReply { granted: false });
    assert_eq!(node.role(), Role::Follower);
    let mut handed_out = first.committed.len() as Index;
    let mut aborted = Vec::new();
    while handed_out < LAST + 1 {
        let ready = handle_ready(&mut node, now);
        handed_out = check_part(&ready.committed, handed_out);
        assert!(ready.reads.is_empty());
        aborted.extend(ready.aborted_reads);
    }
    assert_eq!(aborted, [TOKEN]);
}
