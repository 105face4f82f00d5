//! Scenarios in text files with expected output.
//!
//! `shares` guards against shares that add up to more than an upstream has; `table` against stale,
//! reordered and lost announcements, and against a lost gossip message that is never repaired;
//! `queue` against an unfair order and wrong estimates of the wait; `stop` against a planned stop
//! that interrupts requests; `router` against wrong answers.

mod single_router;

use std::fmt::Write;

use datadriven::TestCase;
use sapphirepost_protocol::gossip::UpstreamStatus;
use sapphirepost_routing::Action;
use sapphirepost_routing::AdmissionQueue;
use sapphirepost_routing::ClassLimits;
use sapphirepost_routing::Disabled;
use sapphirepost_routing::PlannedStop;
use sapphirepost_routing::QueuedRequest;
use sapphirepost_routing::RequestKey;
use sapphirepost_routing::Roster;
use sapphirepost_routing::RosterChange;
use sapphirepost_routing::RosterEntry;
use sapphirepost_routing::UpstreamTable;
use sapphirepost_types::EntryId;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use sapphirepost_types::RequestClass;

fn number(case: &TestCase, key: &str, default: u64) -> u64 {
    case.args
        .get(key)
        .and_then(|values| values.first())
        .map_or(default, |text| text.parse().unwrap())
}

fn roster(count: u64) -> Roster {
    let domains = ["a", "b", "c"].map(|text| Name::new(text).unwrap());
    Roster {
        entries: (0..count)
            .map(|index| RosterEntry {
                id: EntryId(index as u16),
                failure_domain: domains[index as usize % 3].clone(),
            })
            .collect(),
    }
}

#[test]
fn shares() {
    datadriven::walk("tests/scenarios/shares", |file| {
        file.run(|case| {
            let change = RosterChange {
                current: roster(number(case, "entries", 3)),
                next: case
                    .args
                    .get("next")
                    .map(|_| roster(number(case, "next", 3))),
            };
            let domain = Name::new("a").unwrap();
            let mut output = String::new();
            let (mut slots, mut lookups, mut connections) = (0, 0, 0);
            for entry in 0..number(case, "entries", 3).max(number(case, "next", 0)) {
                let runner = Name::new("runner-0").unwrap();
                let id = EntryId(entry as u16);
                let announced = number(case, "slots", 8) as u16;
                let share = change.share(id, &runner, &domain, announced, 64);
                slots += share.slots();
                lookups += share.lookup_only;
                connections += share.connections;
                let (general, lookup_only) = (share.general, share.lookup_only);
                writeln!(
                    output,
                    "{id}: {general}+{lookup_only}, {}",
                    share.connections
                )
                .unwrap();
            }
            writeln!(output, "sum: {slots}, {lookups} for lookups, {connections}").unwrap();
            output
        });
    });
}

/// The tables of three entries that exchange gossip.
struct Tables {
    tables: Vec<UpstreamTable>,
    incarnations: Vec<u64>,
    now: Millis,
}

impl Tables {
    fn new(request_on_mismatch: bool) -> Tables {
        let ids: Vec<EntryId> = (0..3).map(EntryId).collect();
        let tables = ids
            .iter()
            .map(|id| {
                let mut table = UpstreamTable::new(5_000, 2_500, request_on_mismatch);
                let peers: Vec<EntryId> = ids.iter().copied().filter(|peer| peer != id).collect();
                table.set_peers(&peers);
                table
            })
            .collect();
        Tables {
            tables,
            incarnations: vec![1; 3],
            now: Millis(100_000),
        }
    }

    /// Runs one gossip round. Messages from the entry `lost` are lost, and the entry is not told.
    fn exchange(&mut self, lost: Option<usize>) {
        for from in 0..self.tables.len() {
            let id = EntryId(from as u16);
            let incarnation = Incarnation(self.incarnations[from]);
            for (to, gossip) in self.tables[from].take_gossip(self.now, id, incarnation) {
                if lost == Some(from) {
                    continue;
                }
                let (reply, _) = self.tables[usize::from(to.0)].handle_gossip(self.now, gossip);
                self.tables[from].handle_reply(self.now, to, reply);
            }
        }
    }

    fn describe(&self) -> String {
        let mut output = String::new();
        for (index, table) in self.tables.iter().enumerate() {
            let known = if table.is_known(self.now) {
                "known"
            } else {
                "unknown"
            };
            write!(output, "entry{index} {known}:").unwrap();
            for announcement in table.announcements() {
                let age_ms = table.age_ms(self.now, &announcement.name).unwrap();
                let leaving_mark = if announcement.status == UpstreamStatus::Leaving {
                    "-"
                } else {
                    ""
                };
                let name = &announcement.name;
                let run = (announcement.incarnation.0, announcement.sequence);
                write!(output, " {leaving_mark}{name}{run:?}@{age_ms}").unwrap();
            }
            output.push('\n');
        }
        output
    }
}

fn table_step(tables: &mut Tables, case: &TestCase) -> String {
    let entry = number(case, "entry", 0) as usize;
    match case.directive.as_str() {
        "announce" => {
            let name = format!("runner-{}", number(case, "runner", 0));
            let mut announcement = single_router::announcement(&name, number(case, "sequence", 1));
            announcement.incarnation = Incarnation(number(case, "incarnation", 1));
            if case.args.contains_key("leaving") {
                announcement.status = UpstreamStatus::Leaving;
            }
            let changed = tables.tables[entry].apply_announcement(tables.now, announcement);
            return format!("changed: {changed}\n");
        }
        "exchange" => {
            let lost = case
                .args
                .get("lost")
                .map(|_| number(case, "lost", 0) as usize);
            for _ in 0..number(case, "rounds", 1) {
                tables.exchange(lost);
            }
        }
        "pass" => {
            tables.now = tables.now + number(case, "ms", 0);
            for table in &mut tables.tables {
                table.expire(tables.now);
            }
        }
        "restart" => {
            let request_on_mismatch = !case.args.contains_key("without_gap");
            tables.tables[entry] = Tables::new(request_on_mismatch).tables.remove(entry);
            tables.incarnations[entry] += 1;
        }
        "without_gap" => *tables = Tables::new(false),
        other => panic!("unknown directive {other}"),
    }
    tables.describe()
}

#[test]
fn table() {
    datadriven::walk("tests/scenarios/table", |file| {
        let mut tables = Tables::new(true);
        file.run(|case| table_step(&mut tables, case));
    });
}

#[test]
fn queue() {
    datadriven::walk("tests/scenarios/queue", |file| {
        let limits = ClassLimits {
            max_wait_ms: 100,
            max_queued: 8,
            attempt_timeout_ms: 250,
        };
        let mut queue = AdmissionQueue::new(RequestClass::Lookup, limits);
        let mut next = 0;
        file.run(|case| {
            let caller = number(case, "caller", 0);
            let now = Millis(1_000);
            match case.directive.as_str() {
                "push" => {
                    let mut output = String::new();
                    for _ in 0..number(case, "count", 1) {
                        next += 1;
                        let bytes = number(case, "bytes", 0) as u32;
                        let queued = QueuedRequest::new(RequestKey(next), now, caller, bytes);
                        if let Some(dropped) = queue.push(queued) {
                            writeln!(output, "dropped {} of {}", dropped.key.0, dropped.caller)
                                .unwrap();
                        }
                    }
                    format!("{output}{} wait\n", queue.len())
                }
                "pop" => {
                    let popped = std::iter::from_fn(|| queue.pop());
                    let popped: Vec<String> = popped
                        .take(number(case, "count", 1) as usize)
                        .map(|queued| format!("{}/{}", queued.caller, queued.key.0))
                        .collect();
                    format!("{}\n", popped.join(" "))
                }
                "served" => {
                    (0..50).for_each(|_| queue.record_service_time(number(case, "ms", 1)));
                    format!("{:.0} ms\n", queue.service_time_ms())
                }
                "arrive" => {
                    let deadline = now + number(case, "deadline", 1_000);
                    let slots = number(case, "slots", 1) as usize;
                    let wait_ms = queue.expected_wait_ms(caller, slots);
                    let refused = queue.should_refuse(now, deadline, caller, slots);
                    format!("wait {wait_ms:.0} ms, refused: {refused}\n")
                }
                other => panic!("unknown directive {other}"),
            }
        });
    });
}

#[test]
fn stop() {
    datadriven::walk("tests/scenarios/stop", |file| {
        let mut stop = PlannedStop::new(1_000, 10_000);
        let mut now = Millis(100_000);
        file.run(|case| {
            now = now + number(case, "ms", 0);
            if case.directive == "signal" {
                stop.signal(now);
            }
            format!(
                "{:?}\n",
                stop.tick(now, number(case, "in_flight", 0) as usize)
            )
        });
    });
}

#[test]
fn router() {
    datadriven::walk("tests/scenarios/router", |file| {
        let mut single = single_router::SingleRouter::new(Disabled::default());
        file.run(|case| {
            single.actions.clear();
            match case.directive.as_str() {
                "lookup" => {
                    single.lookup();
                }
                "answer" => single.open_and_answer(RequestKey(number(case, "request", 1))),
                "pass" => single.advance(number(case, "ms", 0)),
                other => panic!("unknown directive {other}"),
            }
            let visible = single
                .actions
                .iter()
                .filter(|action| !matches!(action, Action::Gossip { .. }));
            visible
                .map(|action| format!("{action:?}\n"))
                .collect::<String>()
        });
    });
}
