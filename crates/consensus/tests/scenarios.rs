//! Scenarios in text files, with a trace of the expected states. They guard against unintended
//! changes of the protocol's behaviour.

mod common;

use datadriven::TestCase;
use datadriven::walk;

use sapphirepost_consensus::Faults;
use sapphirepost_consensus::MembershipChange;
use sapphirepost_consensus::Snapshot;
use sapphirepost_types::MemberId;

use crate::common::Environment;
use crate::common::Sim;

fn argument(case: &TestCase, name: &str) -> Option<u64> {
    case.args
        .get(name)
        .and_then(|values| values.first())
        .map(|text| text.parse().unwrap())
}

fn host(case: &TestCase) -> usize {
    argument(case, "host").expect("host=<number>") as usize - 1
}

fn status(sim: &Sim) -> String {
    let describe = |(i, host): (usize, &common::Host)| {
        let Some(node) = &host.node else {
            return format!("host{}: stopped\n", i + 1);
        };
        let leader = node.leader().map_or("none".to_owned(), |id| id.to_string());
        let (role, term) = (node.role(), node.term());
        let (commit, last, applied) = (node.commit_index(), node.last_index(), host.applied.index);
        format!(
            "host{}: {} {role:?} term={term} leader={leader} commit={commit} last={last} shown={applied}\n",
            i + 1,
            host.id,
        )
    };
    sim.hosts.iter().enumerate().map(describe).collect()
}

fn members(sim: &Sim, host: usize) -> String {
    let members = sim.node(host).membership().members.iter();
    members
        .map(|(id, member)| format!("{id} {:?}\n", member.role))
        .collect()
}

fn change(sim: &mut Sim, change: MembershipChange) -> String {
    let leader = sim.leader().expect("there is a leader");
    match sim
        .with_node(leader, |node, now| node.propose_membership(now, change))
        .unwrap()
    {
        Ok(index) => format!("index {index}\n"),
        Err(error) => format!("refused: {error}\n"),
    }
}

fn execute(sim: &mut Sim, case: &TestCase) -> String {
    match case.directive.as_str() {
        "run" => sim.run(argument(case, "ms").unwrap()).unwrap(),
        "elect" => return format!("host{}\n", sim.elect() + 1),
        "status" => return status(sim),
        "members" => return members(sim, host(case)),
        "isolate" => drop(sim.isolated.insert(host(case))),
        "heal" => sim.isolated.clear(),
        "stop" => sim.crash(host(case)),
        "start" => sim.start(host(case)),
        "snapshots" => sim.snapshot_interval_entries = argument(case, "every").unwrap(),
        "new-host" => {
            let host = sim.add_host();
            sim.start(host);
        }
        "propose" => {
            for number in 0..argument(case, "count").unwrap() {
                let leader = sim.leader().expect("there is a leader");
                assert!(sim.propose(leader, format!("command {number}")).unwrap());
            }
        }
        "transfer" => {
            let leader = sim.leader().expect("there is a leader");
            let result = sim
                .with_node(leader, |node, now| node.transfer_leadership(now))
                .unwrap();
            return format!("{result:?}\n");
        }
        "add" => {
            let member = sim.hosts[host(case)].id;
            let promote = argument(case, "promote") != Some(0);
            return change(
                sim,
                MembershipChange::Add {
                    member,
                    address: String::new(),
                    promote,
                },
            );
        }
        "promote" => {
            let member = MemberId(argument(case, "member").unwrap());
            return change(sim, MembershipChange::Promote { member });
        }
        "remove" => {
            let member = MemberId(argument(case, "member").unwrap());
            return change(sim, MembershipChange::Remove { member });
        }
        other => panic!("unknown directive {other}"),
    }
    "ok\n".to_owned()
}

#[test]
fn scenarios() {
    walk("tests/scenarios", |file| {
        let mut sim = None;
        file.run(|case| {
            if case.directive == "voters" {
                let count = argument(case, "count").unwrap() as usize;
                sim = Some(Sim::new(1, count, Environment::RELIABLE, Faults::default()));
                return "ok\n".to_owned();
            }
            execute(sim.as_mut().expect("`voters` comes first"), case)
        });
    });
}

/// Guards against a member whose state goes back to an older one when a delayed snapshot arrives.
#[test]
fn an_outdated_snapshot_is_ignored() {
    let mut sim = Sim::new(1, 3, Environment::RELIABLE, Faults::default());
    sim.snapshot_interval_entries = 10;
    let leader = sim.elect();
    for number in 0..40 {
        sim.propose(leader, format!("command {number}")).unwrap();
    }
    sim.run(300).unwrap();
    let follower = (leader + 1) % 3;
    let applied = sim.hosts[follower].applied;
    let node = sim.node(leader);
    let meta = sapphirepost_consensus::SnapshotMeta {
        index: 5,
        term: 1,
        membership: node.membership().clone(),
    };
    let old = Snapshot {
        meta,
        data: "5 0".into(),
    };
    let body = sapphirepost_consensus::Body::SnapshotChunk {
        meta: old.meta,
        total_bytes: old.data.len() as u64,
        offset: 0,
        data: old.data,
        round: 0,
    };
    let group = node.group().unwrap();
    let message = sapphirepost_consensus::Message {
        group,
        term: node.term(),
        body,
    };
    let from = node.id();
    sim.with_node(follower, |node, now| node.step(now, from, message))
        .unwrap();
    assert_eq!(sim.hosts[follower].applied, applied);
}
