//! Tests of the safety and liveness mechanisms, several of them with and without the mechanism.

mod common;

use bytes::Bytes;

use sapphirepost_consensus::Body;
use sapphirepost_consensus::Config;
use sapphirepost_consensus::Entry;
use sapphirepost_consensus::Faults;
use sapphirepost_consensus::GroupId;
use sapphirepost_consensus::HardState;
use sapphirepost_consensus::Membership;
use sapphirepost_consensus::Message;
use sapphirepost_consensus::Node;
use sapphirepost_consensus::Payload;
use sapphirepost_consensus::Persisted;
use sapphirepost_consensus::PersistentState;
use sapphirepost_consensus::ProposeError;
use sapphirepost_consensus::Role;
use sapphirepost_consensus::Snapshot;
use sapphirepost_consensus::SnapshotMeta;
use sapphirepost_consensus::StepDown;
use sapphirepost_consensus::Term;
use sapphirepost_types::MemberId;
use sapphirepost_types::Millis;

use crate::common::Environment;
use crate::common::Sim;
use crate::common::checker::CheckResult;
use crate::common::checker::Checker;

/// Terms before and after a follower is isolated for a while.
fn terms_before_and_after_isolation(faults: Faults) -> (Term, Term) {
    let mut sim = Sim::new(1, 3, Environment::RELIABLE, faults);
    let leader = sim.elect();
    let before = sim.node(leader).term();
    sim.isolated.insert((leader + 1) % 3);
    sim.run(3_000).unwrap();
    sim.isolated.clear();
    sim.run(3_000).unwrap();
    let leader = sim.elect();
    (before, sim.node(leader).term())
}

/// Guards against an election each time an isolated member returns with a higher term.
#[test]
fn a_returning_member_does_not_depose_the_leader() {
    let (before, after) = terms_before_and_after_isolation(Faults::default());
    assert_eq!(before, after);
    let (before, after) = terms_before_and_after_isolation(Faults {
        no_pre_vote: true,
        ..Faults::default()
    });
    assert!(
        after > before,
        "without pre-vote the return must force an election"
    );
}

/// Whether an isolated leader still accepts proposals.
fn isolated_leader_accepts_proposals(faults: Faults) -> bool {
    let mut sim = Sim::new(1, 3, Environment::RELIABLE, faults);
    let leader = sim.elect();
    sim.isolated.insert(leader);
    sim.run(300).unwrap();
    sim.propose(leader, "late".to_owned()).unwrap()
}

/// Guards against a leader that accepts proposals without contact to a quorum.
#[test]
fn an_isolated_leader_refuses_proposals() {
    assert!(!isolated_leader_accepts_proposals(Faults::default()));
    assert!(isolated_leader_accepts_proposals(Faults {
        no_check_quorum: true,
        ..Faults::default()
    }));
}

/// Guards against a leader that accepts proposals after its process was paused, before its first
/// timer runs.
#[test]
fn a_resumed_leader_refuses_the_first_proposal() {
    let mut sim = Sim::new(1, 3, Environment::RELIABLE, Faults::default());
    let leader = sim.elect();
    sim.hosts[leader].paused_until_ms = sim.time_ms + 2_000;
    sim.run(1_999).unwrap();
    assert!(!sim.propose(leader, "late".to_owned()).unwrap());
}

/// Reads from an isolated leader after another leader has committed a newer entry. The clock of the
/// isolated leader is stopped, so it does not detect the loss of contact.
fn read_from_deposed_leader(faults: Faults) -> CheckResult {
    let mut sim = Sim::new(1, 3, Environment::RELIABLE, faults);
    let deposed = sim.elect();
    sim.stop_clock(deposed);
    sim.isolated.insert(deposed);
    sim.run(1_500)?;
    let leader = sim.elect();
    assert_ne!(leader, deposed);
    sim.propose(leader, "newer".to_owned())?;
    sim.run(100)?;
    assert_eq!(
        (sim.checker.acknowledged, sim.node(deposed).role()),
        (1, Role::Leader)
    );
    sim.read(deposed)?;
    sim.run(100)
}

/// Guards against stale reads that a leader serves because of a wrong clock.
#[test]
fn reads_are_confirmed_by_a_quorum() {
    assert_eq!(read_from_deposed_leader(Faults::default()), Ok(()));
    let faults = Faults {
        unconfirmed_reads: true,
        ..Faults::default()
    };
    assert!(
        read_from_deposed_leader(faults)
            .is_err_and(|error| error.contains("a read returned the state at"))
    );
}

/// Commits an entry on the leader and on a voter that then loses its disk. Then isolates the leader
/// and reconnects the voter that lacks the entry.
fn lose_a_disk(reuses_identity: bool) -> CheckResult {
    let mut sim = Sim::new(1, 3, Environment::RELIABLE, Faults::default());
    sim.reuses_identity = reuses_identity;
    let leader = sim.elect();
    let (wiped, lagging) = ((leader + 1) % 3, (leader + 2) % 3);
    sim.isolated.insert(lagging);
    sim.propose(leader, "kept".to_owned())?;
    sim.run(100)?;
    assert_eq!(sim.checker.acknowledged, 1);
    sim.crash(wiped);
    sim.lose_disk(wiped);
    sim.start(wiped);
    sim.run(100)?;
    sim.isolated = [leader].into();
    sim.run(3_000)
}

/// Guards against the loss of a committed entry because a member votes under its old identity after
/// it lost its disk.
#[test]
fn a_member_that_lost_its_disk_does_not_vote() {
    assert_eq!(lose_a_disk(false), Ok(()));
    let result = lose_a_disk(true);
    assert!(result.is_err_and(|error| error.contains("lacks committed entry")));
}

const GROUP: GroupId = GroupId(7);

fn restored(entry_terms: &[Term], term: Term) -> PersistentState {
    let voters = (1..=5).map(|id| (MemberId(id), String::new()));
    let membership = Payload::Membership(Membership::of_voters(voters));
    let mut entries = vec![Entry {
        index: 1,
        term: 1,
        payload: membership,
    }];
    for (offset, term) in entry_terms.iter().enumerate() {
        let payload = Payload::Command(format!("term {term}").into());
        entries.push(Entry {
            index: offset as u64 + 2,
            term: *term,
            payload,
        });
    }
    let hard_state = HardState {
        group: Some(GROUP),
        term,
        voted_for: None,
    };
    PersistentState {
        hard_state,
        snapshot: None,
        entries,
    }
}

/// Makes a node the leader with the votes of members 2 and 3.
fn elect(config: Config, restored: PersistentState) -> (Node, Millis) {
    let mut node = Node::new(config, restored, Millis(0));
    let mut now = node.next_due();
    node.tick(now);
    let term = node.term() + 1;
    for body in [
        Body::PreVoteReply { granted: true },
        Body::VoteReply { granted: true },
    ] {
        for member in [2, 3] {
            let message = Message {
                group: GROUP,
                term,
                body: body.clone(),
            };
            node.step(now, MemberId(member), message);
        }
        let number = node.ready().number;
        now = now + 1;
        node.persisted(now, Persisted { number });
    }
    assert_eq!((node.role(), node.term()), (Role::Leader, term));
    (node, now)
}

/// Member 1 created entry 2 in term 2 and leads again in term 4. Entry 2 is then stored on a
/// majority, but member 5, which has another entry 2 of term 3, can still win an election with the
/// votes of members 2 and 3, because its last entry is of a later term than theirs.
fn commit_entry_of_earlier_term(faults: Faults) -> CheckResult {
    let mut checker = Checker::default();
    let config = |id| Config {
        faults,
        ..Config::new(MemberId(id), 1)
    };
    let (mut first, now) = elect(config(1), restored(&[2], 3));
    for member in [2, 3] {
        let body = Body::Accepted {
            matched: 2,
            round: 0,
        };
        first.step(
            now,
            MemberId(member),
            Message {
                group: GROUP,
                term: 4,
                body,
            },
        );
    }
    for entry in first.ready().committed {
        checker.check_commit(MemberId(1), first.term(), &entry)?;
    }
    let mut voter = Node::new(config(3), restored(&[2], 4), Millis(0));
    let body = Body::Vote {
        last_index: 2,
        last_term: 3,
        transfer: false,
    };
    voter.step(
        Millis(1_000),
        MemberId(5),
        Message {
            group: GROUP,
            term: 5,
            body,
        },
    );
    let granted = |body: &Body| matches!(body, Body::VoteReply { granted: true });
    assert!(
        voter
            .ready()
            .messages_after_persist
            .iter()
            .any(|sent| granted(&sent.message.body))
    );
    let (fifth, _) = elect(config(5), restored(&[3], 4));
    checker.check_leader(&fifth)
}

/// Guards against commits of entries of an earlier term by counting replicas: such an entry may still
/// be replaced.
#[test]
fn only_entries_of_the_current_term_are_committed_by_counting() {
    assert_eq!(commit_entry_of_earlier_term(Faults::default()), Ok(()));
    let faults = Faults {
        commit_any_term: true,
        ..Faults::default()
    };
    assert!(commit_entry_of_earlier_term(faults).is_err());
}

/// Guards against split votes: of two members that ask for pre-votes at the same time, only one gets
/// the other's.
#[test]
fn simultaneous_candidates_do_not_split_the_vote() {
    let start = |id| {
        let mut node = Node::new(Config::new(MemberId(id), 1), restored(&[], 1), Millis(0));
        node.tick(Millis(1_000));
        assert_eq!(node.role(), Role::PreCandidate);
        node
    };
    let granted = |to: u64, from: u64| {
        let body = Body::PreVote {
            last_index: 1,
            last_term: 1,
        };
        let mut node = start(to);
        node.ready();
        node.step(
            Millis(1_001),
            MemberId(from),
            Message {
                group: GROUP,
                term: 2,
                body,
            },
        );
        let sent = node.ready().messages.pop().unwrap();
        sent.message.body == Body::PreVoteReply { granted: true }
    };
    assert!(granted(1, 2));
    assert!(!granted(2, 1));
}

/// Guards against a group that elects no leader, or keeps changing it, while disks are slower than an
/// election timeout.
#[test]
fn slow_disks_do_not_prevent_elections() {
    for seed in 0..20 {
        let environment = Environment {
            sync_ms: 300,
            ..Environment::RELIABLE
        };
        let mut sim = Sim::new(seed, 3, environment, Faults::default());
        let leader = sim.elect();
        let term = sim.node(leader).term();
        sim.propose(leader, "slow".to_owned()).unwrap();
        sim.run(5_000).unwrap();
        assert_eq!(
            (sim.node(leader).term(), sim.checker.acknowledged),
            (term, 1),
            "seed {seed}"
        );
    }
}

/// Guards against a member that handles messages of another group, for example after its address was
/// reused.
#[test]
fn messages_of_another_group_are_ignored() {
    let mut node = Node::new(Config::new(MemberId(1), 1), restored(&[], 1), Millis(0));
    let body = Body::Append {
        prev_index: 1,
        prev_term: 1,
        entries: vec![],
        commit: 1,
        round: 0,
    };
    node.step(
        Millis(1),
        MemberId(2),
        Message {
            group: GroupId(8),
            term: 9,
            body,
        },
    );
    assert_eq!(
        (node.term(), node.leader(), node.commit_index()),
        (1, None, 0)
    );
}

/// Guards against an entry that is too large for any message, so that nothing after it is replicated.
#[test]
fn an_oversized_entry_is_refused() {
    let (mut node, now) = elect(Config::new(MemberId(1), 1), restored(&[], 1));
    let result = node.propose(now, vec![0; 5 << 20].into());
    assert_eq!(result, Err(ProposeError::TooLarge(5 << 20)));
}

/// Guards against messages that the receiving process cannot decode.
#[test]
fn messages_round_trip_through_json() {
    let entry = Entry {
        index: 1,
        term: 2,
        payload: Payload::Command(vec![0, 255, 7].into()),
    };
    let entries = vec![entry];
    let body = Body::Append {
        prev_index: 0,
        prev_term: 0,
        entries,
        commit: 0,
        round: 3,
    };
    let message = Message {
        group: GROUP,
        term: 2,
        body,
    };
    let text = serde_json::to_string(&message).unwrap();
    assert_eq!(serde_json::from_str::<Message>(&text).unwrap(), message);
}

/// Guards against a leader whose log does not tell a silent quorum from its own pause.
#[test]
fn a_leader_that_stepped_down_reports_why() {
    let config = Config::new(MemberId(1), 1);
    let timeout_ms = config.election_timeout_ms;
    let step_down_after = |steps_ms: &[u64]| {
        let (mut node, mut now) = elect(config.clone(), restored(&[1], 1));
        node.ready();
        for step_ms in steps_ms {
            now = now + *step_ms;
            node.tick(now);
        }
        node.ready().role_change.and_then(|change| change.step_down)
    };
    let paused = step_down_after(&[2 * timeout_ms]);
    assert!(
        matches!(paused, Some(StepDown::QuorumSilent { unattended_ms, .. })
            if unattended_ms >= timeout_ms),
        "{paused:?}"
    );
    let silent = step_down_after(&vec![10; timeout_ms as usize]);
    assert!(
        matches!(silent, Some(StepDown::QuorumSilent { unattended_ms: 10, silent_ms })
            if silent_ms >= timeout_ms),
        "{silent:?}"
    );
}

/// The number of large entries of the leaders below.
const LARGE_ENTRIES: u64 = 30;
const LARGE_ENTRY_BYTES: usize = 500_000;
/// The index of the last one; before them are the membership and the first entry of the leader.
const LARGE_LOG: u64 = LARGE_ENTRIES + 2;

/// A leader of term 2 with large commands from index 3 on, which no other member has yet seen.
fn leader_with_large_entries(config: Config) -> (Node, Millis) {
    let (mut node, now) = elect(config, restored(&[], 1));
    for _ in 0..LARGE_ENTRIES {
        let command = vec![0; LARGE_ENTRY_BYTES].into();
        node.propose(now, command).unwrap();
    }
    assert_eq!(node.last_index(), LARGE_LOG);
    (node, now)
}

/// Such a leader after its entries were committed and a snapshot of them was saved.
fn compacted_leader(config: Config, data: Bytes) -> (Node, Millis) {
    let (mut node, now) = leader_with_large_entries(config);
    accept(&mut node, now, 2, LARGE_LOG, 0);
    accept(&mut node, now, 3, LARGE_LOG, 0);
    let mut handed_out = 0;
    for _ in 0..100 {
        let ready = node.ready();
        handed_out = ready.committed.last().map_or(handed_out, |e| e.index);
        let number = ready.number;
        node.persisted(now, Persisted { number });
    }
    assert_eq!(handed_out, LARGE_LOG);
    let meta = SnapshotMeta {
        index: LARGE_LOG,
        term: node.term(),
        membership: node.membership().clone(),
    };
    node.compact(Snapshot { meta, data });
    (node, now)
}

/// The reply of a member that it has synced the entries up to an index.
fn accept(node: &mut Node, now: Millis, member: u64, matched: u64, round: u64) {
    let message = Message {
        group: GROUP,
        term: node.term(),
        body: Body::Accepted { matched, round },
    };
    node.step(now, MemberId(member), message);
}

/// Guards against a leader, and a member that returns, whose memory is used up by what is sent at
/// once: up to 64 messages were, of whatever size.
#[test]
fn entries_on_the_way_to_a_member_are_bounded_in_bytes() {
    let config = Config::new(MemberId(1), 1);
    let bound = config.max_inflight_bytes + LARGE_ENTRY_BYTES + 1_000;
    let (mut node, now) = leader_with_large_entries(config);
    node.ready();
    let mut largest = 0;
    for matched in 1..LARGE_LOG {
        accept(&mut node, now, 2, matched, 0);
        let messages = node.ready().messages;
        let to_member = messages.iter().filter(|out| out.to == MemberId(2));
        let sent: usize = to_member.map(|out| out.message.size_bytes()).sum();
        largest = largest.max(sent);
    }
    assert!(largest > 0, "entries must have been sent");
    assert!(largest <= bound, "{largest} bytes on the way at once");
}

/// Guards against a log that stays in memory after its snapshot, for members that lag, with as many
/// entries as ever, however large.
#[test]
fn entries_that_stay_after_a_snapshot_are_bounded_in_bytes() {
    let config = Config::new(MemberId(1), 1);
    let kept = config.trailing_bytes / LARGE_ENTRY_BYTES;
    let (node, _) = compacted_leader(config, Bytes::from_static(b"state"));
    let in_memory = (1..=LARGE_LOG).filter(|index| node.term_at(*index).is_some());
    // The term of the last entry before the kept ones is known as well.
    let found = in_memory.count();
    assert!(found <= kept + 1, "{found} entries of 500 kB stay");
    assert!(found > kept / 2, "a member that lags slightly needs some");
}

/// Guards against a link, and a member that is sent a snapshot, which are used up by the chunk on its
/// way: it was sent once more with each round of reads.
#[test]
fn rounds_of_reads_do_not_send_the_chunk_of_a_snapshot_again() {
    const ROUNDS: u64 = 100;
    let mut config = Config::new(MemberId(1), 1);
    config.trailing_bytes = 0;
    let chunk_bytes = config.snapshot_chunk_bytes;
    let (mut node, now) = compacted_leader(config, vec![0; 3 * chunk_bytes].into());
    let rejection = Message {
        group: GROUP,
        term: node.term(),
        body: Body::Rejected {
            prev_index: node.last_index(),
            hint: 0,
            round: 0,
        },
    };
    node.step(now, MemberId(4), rejection);
    let (mut sent, mut size_bytes) = (0, 0);
    for token in 0..ROUNDS {
        node.read_index(now, token).unwrap();
        for out in node.ready().messages {
            match out.message.body {
                Body::SnapshotChunk { ref data, .. } if out.to == MemberId(4) => {
                    sent += 1;
                    size_bytes += data.len();
                }
                Body::Append { round, .. } => accept(&mut node, now, out.to.0, LARGE_LOG, round),
                _ => {}
            }
        }
    }
    assert!(sent >= ROUNDS, "each round asks the member as well");
    assert_eq!(size_bytes, chunk_bytes);
}

/// Guards against two votes in one term by a member whose full disk took a snapshot of a later term
/// but not the record of that term.
#[test]
fn a_snapshot_of_a_later_term_than_the_last_vote_counts_as_that_term() {
    let mut state = restored(&[1], 1);
    state.hard_state.voted_for = Some(MemberId(3));
    let meta = SnapshotMeta {
        index: 9,
        term: 4,
        membership: Membership::default(),
    };
    let data = Bytes::new();
    state.install(Snapshot { meta, data });
    assert_eq!(
        (state.hard_state.term, state.hard_state.voted_for),
        (4, None)
    );
    assert!(state.entries.is_empty());
}
