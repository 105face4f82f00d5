//! A harness that drives one router, which knows one runner, step by step.

#![allow(dead_code)] // Each test crate uses a part of it.

use sapphirepost_protocol::gossip::Announcement;
use sapphirepost_protocol::gossip::UpstreamStatus;
use sapphirepost_routing::Action;
use sapphirepost_routing::Disabled;
use sapphirepost_routing::Event;
use sapphirepost_routing::NewRequest;
use sapphirepost_routing::RequestKey;
use sapphirepost_routing::ResponseSummary;
use sapphirepost_routing::Roster;
use sapphirepost_routing::RosterChange;
use sapphirepost_routing::RosterEntry;
use sapphirepost_routing::Router;
use sapphirepost_routing::RouterConfig;
use sapphirepost_types::EntryId;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use sapphirepost_types::RequestClass;

pub struct SingleRouter {
    pub router: Router,
    pub now: Millis,
    pub actions: Vec<Action>,
    history: Vec<Action>,
    next_request: u64,
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

impl SingleRouter {
    pub fn new(disabled: Disabled) -> SingleRouter {
        let domain = Name::new("a").unwrap();
        let roster = Roster {
            entries: vec![RosterEntry {
                id: EntryId(0),
                failure_domain: domain.clone(),
            }],
        };
        let roster = RosterChange::settled(roster);
        let mut config = RouterConfig::new(EntryId(0), Incarnation(1), domain, roster);
        config.disabled = disabled;
        let mut single = SingleRouter {
            router: Router::new(config, 1),
            now: Millis(100_000),
            actions: Vec::new(),
            history: Vec::new(),
            next_request: 0,
        };
        single.event(Event::Announced(announcement("runner-0", 1)));
        single
    }

    pub fn event(&mut self, event: Event) {
        let before = self.actions.len();
        self.router.handle(self.now, event, &mut self.actions);
        self.history.extend_from_slice(&self.actions[before..]);
    }

    /// Sends a lookup with a deadline 500 ms from now.
    pub fn lookup(&mut self) -> RequestKey {
        self.next_request += 1;
        let key = RequestKey(self.next_request);
        let request = NewRequest {
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
        self.event(Event::Arrived(request));
        key
    }

    /// Advances the time in steps of 1 ms and confirms the connections that the router closes.
    pub fn advance(&mut self, duration_ms: u64) {
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

    /// Opens the connection that the router asked for in the first attempt of a request, and
    /// answers the request. Assumes that each earlier request asked for one connection too.
    pub fn open_and_answer(&mut self, key: RequestKey) {
        let opened_connection = |action: &Action| match action {
            Action::Open { connection, .. } => Some(*connection),
            _ => None,
        };
        let opened: Vec<_> = self.history.iter().filter_map(opened_connection).collect();
        let connection = opened[key.0 as usize - 1];
        self.event(Event::Opened(connection));
        let matching_send = |action: &Action| match action {
            Action::Send { request, send, .. } if *request == key => Some(*send),
            _ => None,
        };
        let send = self.history.iter().find_map(matching_send).unwrap();
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
        self.history.iter().any(answers)
    }
}
