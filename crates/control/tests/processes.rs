//! Faults of real processes: killed, paused, partitioned, on a full disk or with a lost disk.

mod common;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use sapphirepost_process::RpcError;
use sapphirepost_protocol::operator::OperatorReply;
use sapphirepost_protocol::operator::OperatorRequest;

use crate::common::Cluster;

/// The longest time to an answer to a change while a quorum is well.
const ACK_MAX: Duration = Duration::from_secs(4);

/// Guards against accepted operations that get lost, or are applied twice, when leaders die.
#[test]
fn accepted_operations_survive_kills() {
    let mut cluster = Cluster::start(3, &["--snapshot-entries", "20", "--segment-bytes", "4096"]);
    cluster.set_config_value();
    let mut waits = Vec::new();
    for _ in 0..number("SAPPHIREPOST_TEST_KILLS", 6) {
        (0..10).for_each(|_| cluster.set_config_value());
        let leader = cluster.leader();
        let start = Instant::now();
        cluster.kill(leader);
        cluster.set_config_value();
        waits.push(start.elapsed().as_millis());
        cluster.spawn(leader);
    }
    println!("ms from kill to the next accepted operation: {waits:?}");
    cluster.check_accepted();
    cluster.wait_until_converged();
    // All at once, as in an outage of the whole site.
    (0..3).for_each(|index| cluster.kill(index));
    (0..3).for_each(|index| cluster.spawn(index));
    cluster.check_accepted();
    cluster.set_config_value();
    cluster.check_accepted();
}

fn number(variable: &str, default: u64) -> u64 {
    std::env::var(variable).map_or(default, |text| text.parse().unwrap())
}

/// Guards against the loss of accepted operations when several faults overlap.
#[test]
fn accepted_operations_survive_combined_faults() {
    let seed = number("SAPPHIREPOST_TEST_SEED", 1);
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut cluster = Cluster::start(3, &["--snapshot-entries", "20"]);
    for round in 0..number("SAPPHIREPOST_TEST_ROUNDS", 6) {
        println!("seed {seed} round {round}");
        let first = rng.random_range(0..3);
        cluster.inject_fault(first, rng.random_range(0..5));
        cluster.set_config_value();
        // The second fault may leave no quorum, or hit the same process again.
        cluster.inject_fault(rng.random_range(0..3), rng.random_range(0..5));
        thread::sleep(Duration::from_millis(rng.random_range(0..600)));
        (0..3).for_each(|index| cluster.clear_faults(index));
        (0..5).for_each(|_| cluster.set_config_value());
    }
    cluster.check_accepted();
    cluster.wait_until_converged();
}

/// Starts a group whose processes get an error when a file grows beyond a size limit, as on a full
/// disk.
fn start_ignoring_sigxfsz() -> Cluster {
    let mut cluster = Cluster::start(3, &["--snapshot-entries", "20", "--segment-bytes", "4096"]);
    cluster.set_config_value();
    (0..3).for_each(|index| cluster.kill(index));
    (0..3).for_each(|index| cluster.spawn_ignoring_sigxfsz(index));
    cluster.set_config_value();
    cluster
}

/// Guards against a process that ends, or a leader that blocks all operations, because its disk is
/// full.
#[test]
fn a_member_with_a_full_disk_steps_down_and_recovers() {
    let mut cluster = start_ignoring_sigxfsz();
    let leader = cluster.leader();
    cluster.limit_file_size(leader, Some(1));
    (0..10).for_each(|_| cluster.set_config_value());
    assert_ne!(cluster.leader(), leader, "it must step down");
    assert!(cluster.is_running(leader), "it must stay up");
    cluster.limit_file_size(leader, None);
    cluster.check_accepted();
    cluster.wait_until_converged();
}

/// Makes the disk of the leader full for a time, beside many reads, and returns the process.
fn fill_the_disk_of_the_leader(cluster: &mut Cluster, time: Duration, readers: usize) -> usize {
    let full = cluster.leader();
    let until = Instant::now() + time;
    cluster.limit_file_size(full, Some(1));
    // The leader notices only by a write.
    cluster.set_config_value();
    let cluster = &*cluster;
    thread::scope(|scope| {
        for _ in 0..readers {
            scope.spawn(|| cluster.read_until(until));
        }
    });
    cluster.limit_file_size(full, None);
    full
}

/// Guards against members that stay unusable after their disks were full, one after another, while
/// the others served reads: the group would have no quorum although all processes run.
#[test]
fn members_whose_disks_were_full_in_turn_beside_reads_answer_again() {
    let mut cluster = start_ignoring_sigxfsz();
    let time = Duration::from_millis(number("SAPPHIREPOST_TEST_FULL_MS", 8_000));
    for turn in 0..3 {
        let full = fill_the_disk_of_the_leader(&mut cluster, time, 16);
        let since = Instant::now();
        cluster.set_config_value();
        let took = since.elapsed();
        println!("turn {turn}: process {full} was full, a change took {took:?} afterwards");
        assert!(took < ACK_MAX, "turn {turn}: a change took {took:?}");
        cluster.wait_for("the member does not answer", |cluster| {
            cluster.dump(full).is_some()
        });
    }
    cluster.check_accepted();
    cluster.wait_until_converged();
}

/// Guards against a group that does not recover once all disks have space again, and against a
/// process that does not start, or not stop, on a full disk.
#[test]
fn a_group_with_full_disks_recovers_when_space_is_freed() {
    let mut cluster = start_ignoring_sigxfsz();
    let leader = cluster.leader();
    (0..3).for_each(|index| cluster.limit_file_size(index, Some(1)));
    let proposal = cluster.proposal();
    let refused = cluster.call(leader, &proposal);
    assert!(refused.is_err(), "{refused:?}");
    thread::sleep(Duration::from_millis(1_500));
    (0..3).for_each(|index| assert!(cluster.is_running(index), "{index} must stay up"));
    let refused = cluster.call(leader, &OperatorRequest::GetConfig);
    assert!(refused.is_err(), "{refused:?}");
    cluster.signal(1, "-TERM");
    cluster.wait(1);
    cluster.spawn_ignoring_sigxfsz(1);
    cluster.limit_file_size(1, Some(1));
    thread::sleep(Duration::from_millis(500));
    assert!(cluster.is_running(1), "it must wait for space");
    (0..3).for_each(|index| cluster.limit_file_size(index, None));
    cluster.set_config_value();
    cluster.check_accepted();
    cluster.wait_until_converged();
}

/// Guards against answers of a leader that was paused while another one took over.
#[test]
fn a_resumed_leader_does_not_answer() {
    let mut cluster = Cluster::start(3, &[]);
    cluster.set_config_value();
    let paused = cluster.leader();
    cluster.signal(paused, "-STOP");
    thread::sleep(Duration::from_millis(1_000));
    cluster.set_config_value();
    cluster.signal(paused, "-CONT");
    let reply = cluster.call(paused, &OperatorRequest::GetConfig);
    match reply {
        // It may already know the new leader, or not yet.
        Err(RpcError::NotLeader { .. } | RpcError::NoQuorum) => {}
        other => panic!("the resumed leader answered {other:?}"),
    }
    cluster.check_accepted();
    cluster.wait_until_converged();
}

/// Guards against votes of a member that lost its disk, and against a group in which such a member
/// cannot be replaced.
#[test]
fn a_lost_disk_is_replaced_by_a_new_member() {
    let mut cluster = Cluster::start(3, &["--snapshot-entries", "20"]);
    (0..30).for_each(|_| cluster.set_config_value());
    let lost = (cluster.leader() + 1) % 3;
    let former = cluster.processes[lost].member;
    cluster.kill(lost);
    std::fs::remove_dir_all(&cluster.processes[lost].data_dir).unwrap();
    // Started with the same flags, including `--bootstrap`, the process must neither create a group
    // nor return as the same member.
    cluster.spawn(lost);
    cluster.wait_for("no dump", |cluster| cluster.dump(lost).is_some());
    let dump = cluster.dump(lost).unwrap();
    assert_eq!(dump["group"], serde_json::Value::Null);
    let member = dump["member"].as_str().unwrap().parse().unwrap();
    assert_ne!(member, former);
    cluster.processes[lost].member = member;
    cluster.set_config_value();

    let address = cluster.processes[lost].relay.address.to_string();
    let reply = cluster.operate(&OperatorRequest::AddMember { member, address });
    assert!(
        matches!(reply, OperatorReply::MembershipChanged { .. }),
        "{reply:?}"
    );
    cluster.wait_for("the new member was not promoted", |cluster| {
        cluster
            .members()
            .iter()
            .any(|status| status.member == member && status.voter)
    });
    let reply = cluster.operate(&OperatorRequest::RemoveMember { member: former });
    assert!(
        matches!(reply, OperatorReply::MembershipChanged { .. }),
        "{reply:?}"
    );
    assert_eq!(cluster.members().len(), 3);
    // When another member fails right after, the new voter must be part of the quorum.
    let leader = cluster.leader();
    let second = (0..3)
        .find(|index| *index != lost && *index != leader)
        .unwrap_or(leader);
    cluster.kill(second);
    cluster.set_config_value();
    cluster.check_accepted();
}

/// Guards against a removal whose answer was lost and that is refused when it is sent again.
#[test]
fn a_removal_that_is_sent_again_is_acknowledged() {
    let cluster = Cluster::start(3, &[]);
    let follower = (cluster.leader() + 1) % 3;
    let member = cluster.processes[follower].member;
    for _ in 0..2 {
        let reply = cluster.operate(&OperatorRequest::RemoveMember { member });
        assert!(
            matches!(reply, OperatorReply::MembershipChanged { .. }),
            "{reply:?}"
        );
    }
    assert_eq!(cluster.members().len(), 2);
}

/// Guards against a leader whose heartbeats arrive although nobody can reach it, which keeps the
/// others from electing a new one.
#[test]
fn a_leader_without_incoming_connections_is_replaced() {
    let mut cluster = Cluster::start(3, &[]);
    cluster.set_config_value();
    let cut = cluster.leader();
    cluster.processes[cut].relay.cut();
    cluster.wait_for("no other leader", |cluster| cluster.leader() != cut);
    cluster.set_config_value();
    cluster.processes[cut].relay.heal();
    cluster.check_accepted();
    cluster.wait_until_converged();
}

/// Guards against a group that waits on connections that lose all data although new ones work.
#[test]
fn stalled_connections_are_replaced() {
    let mut cluster = Cluster::start(3, &[]);
    cluster.set_config_value();
    let start = Instant::now();
    cluster
        .processes
        .iter()
        .for_each(|process| process.relay.silence_open());
    cluster.set_config_value();
    println!(
        "ms from silence to the next accepted operation: {}",
        start.elapsed().as_millis()
    );
    cluster.check_accepted();
    cluster.wait_until_converged();
}

/// Guards against a planned stop that fails or loses operations. The printed times show whether the
/// transfer saved the wait for an election timeout.
#[test]
fn a_stopping_leader_transfers_leadership() {
    let mut cluster = Cluster::start(3, &[]);
    cluster.set_config_value();
    let leader = cluster.leader();
    let start = Instant::now();
    cluster.signal(leader, "-TERM");
    assert!(cluster.wait(leader), "a graceful stop reports success");
    println!(
        "ms from SIGTERM to the end: {}",
        start.elapsed().as_millis()
    );
    cluster.set_config_value();
    println!(
        "ms from SIGTERM to the next accepted operation: {}",
        start.elapsed().as_millis()
    );
    cluster.spawn(leader);
    cluster.check_accepted();
    cluster.wait_until_converged();
}

/// Guards against answers without a quorum, and against an error that does not name the reason.
#[test]
fn a_leader_without_a_quorum_reports_that() {
    let mut cluster = Cluster::start(3, &[]);
    cluster.set_config_value();
    let leader = cluster.leader();
    (0..3)
        .filter(|index| *index != leader)
        .for_each(|index| cluster.kill(index));
    cluster.wait_for("no error for the lost quorum", |cluster| {
        cluster.call(leader, &OperatorRequest::GetConfig) == Err(RpcError::NoQuorum)
    });
}

/// Guards against two processes that write to one data directory.
#[test]
fn a_second_process_on_a_directory_is_refused() {
    let mut cluster = Cluster::start(1, &[]);
    cluster.set_config_value();
    let output = cluster.run_second_process(0);
    assert!(!output.status.success());
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("locked by another process"), "{text}");
    cluster.set_config_value();
    cluster.check_accepted();
}
