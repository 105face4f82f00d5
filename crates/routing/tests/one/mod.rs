//! One router with one runner, driven step by step.

#![allow(dead_code)] // Each test crate uses a part of it.

use sapphirepost_protocol::gossip::Announcement;
use sapphirepost_protocol::gossip::UpstreamStatus;
use sapphirepost_routing::Action;
use sapphirepost_routing::Event;
use sapphirepost_routing::NewRequest;
use sapphirepost_routing::RequestKey;
use sapphirepost_routing::ResponseSummary;
use sapphirepost_routing::Roster;
use sapphirepost_routing::RosterChange;
use sapphirepost_routing::RosterEntry;
use sapphirepost_routing::Router;
use sapphirepost_routing::RouterConfig;
use sapphirepost_routing::Without;
use sapphirepost_types::EntryId;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use sapphirepost_types::RequestClass;

pub struct OneRouter {
    pub router: Router,
    pub now: Millis,
    pub actions: Vec<Action>,
    all: Vec<Action>,
    next: u64,
}

pub fn announcement(name: &str, sequence: u64) -> Announcement {
    Announcement {
        name: Name::new(name).unwrap(),
        service: Name::new("logbook").unwrap(),
        address: String::from("127.0.0.1:20000"),
        failure_domain: Name::new("a").unwrap(),
        slots: 8,
        connections: 64,
        incarnation: Incarnation(1),
        sequence,
        status: UpstreamStatus::Serving,
    }
}

impl OneRouter {
    pub fn new(without: Without) -> OneRouter {
        let domain = Name::new("a").unwrap();
        let roster = Roster {
            entries: vec![RosterEntry {
                id: EntryId(0),
                failure_domain: domain.clone(),
            }],
        };
        let roster = RosterChange::settled(roster);
        let mut config = RouterConfig::new(EntryId(0), Incarnation(1), domain, roster);
        config.without = without;
        let mut one = OneRouter {
            router: Router::new(config, 1),
            now: Millis(100_000),
            actions: Vec::new(),
            all: Vec::new(),
            next: 0,
        };
        one.event(Event::Announced(announcement("runner-0", 1)));
        one
    }

    pub fn event(&mut self, event: Event) {
        let before = self.actions.len();
        self.router.handle(self.now, event, &mut self.actions);
        self.all.extend_from_slice(&self.actions[before..]);
    }

    /// A lookup with a deadline of 500 ms.
    pub fn lookup(&mut self) -> RequestKey {
        self.next += 1;
        let key = RequestKey(self.next);
        let new = NewRequest {
            key,
            service: Name::new("logbook").unwrap(),
            class: RequestClass::Lookup,
            deadline: self.now + 500,
            idempotent: true,
            id: None,
            digest: 0,
            caller: 0,
            body_bytes: 0,
        };
        self.event(Event::Arrived(new));
        key
    }

    /// Lets time pass; closed connections are confirmed.
    pub fn pass(&mut self, duration_ms: u64) {
        let end = self.now + duration_ms;
        while self.now < end {
            self.now = self.now + 1;
            let before = self.actions.len();
            self.event(Event::Timer);
            let new: Vec<Action> = self.actions[before..].to_vec();
            for action in new {
                if let Action::Close(connection) = action {
                    self.event(Event::Closed(connection));
                }
            }
        }
    }

    /// Opens the connection that was asked for a request, and answers it.
    pub fn open_and_answer(&mut self, key: RequestKey) {
        let opens = |action: &Action| match action {
            Action::Open { connection, .. } => Some(*connection),
            _ => None,
        };
        let opened: Vec<_> = self.all.iter().filter_map(opens).collect();
        let connection = opened[key.0 as usize - 1];
        self.event(Event::Opened(connection));
        let sends = |action: &Action| match action {
            Action::Send { request, send, .. } if *request == key => Some(*send),
            _ => None,
        };
        let send = self.all.iter().find_map(sends).unwrap();
        let summary = ResponseSummary {
            status: 200,
            not_run: false,
            reusable: true,
            content_type: None,
            body: None,
        };
        self.event(Event::ResponseEnd {
            connection,
            send,
            summary,
        });
    }

    pub fn was_answered(&self, key: RequestKey) -> bool {
        let answers = |action: &Action| match action {
            Action::Respond { request, .. } => *request == key,
            _ => false,
        };
        self.all.iter().any(answers)
    }
}
