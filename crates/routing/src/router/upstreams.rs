//! Upstreams of the router: shares, health and connections, and the periodic work.

use rustc_hash::FxHashMap;
use sapphirepost_protocol::gossip::Announcement;
use sapphirepost_protocol::gossip::UpstreamStatus;
use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use smallvec::SmallVec;

use crate::admission::QueuedRequest;
use crate::connections::Connections;
use crate::event::Action;
use crate::event::ConnectionKey;
use crate::event::RefusalReason;
use crate::health::Health;
use crate::roster::RosterChange;
use crate::roster::Share;
use crate::router::Attempt;
use crate::router::PERIOD_MS;
use crate::router::Router;
use crate::router::Upstream;
use crate::router::UpstreamKey;

/// One in this many of the upstreams of a service may be ejected at a time; of two upstreams, one.
const UPSTREAMS_PER_EJECTION: usize = 3;
/// The time for which an attempt counts as recent in the detection of a local fault.
const RECENT_ATTEMPT_MS: u64 = 10_000;

impl Router {
    pub(super) fn roster_changed(
        &mut self,
        now: Millis,
        roster: RosterChange,
        actions: &mut Vec<Action>,
    ) {
        self.table.set_peers(&roster.peers(self.config.entry));
        self.roster = roster;
        self.sync_upstreams(now, actions);
    }

    /// Updates the upstreams from the table, and dispatches requests to slots that became free.
    pub(super) fn sync_upstreams(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let table: FxHashMap<Name, Announcement> = self
            .table
            .announcements()
            .map(|announcement| (announcement.name.clone(), announcement.clone()))
            .collect();
        self.retire_replaced(&table, actions);
        let mut services: Vec<Name> = Vec::new();
        let mut announced: Vec<&Announcement> = table.values().collect();
        announced.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        for announcement in announced {
            self.sync_upstream(announcement, actions);
            if !services.contains(&announcement.service) {
                services.push(announcement.service.clone());
            }
        }
        for service in services {
            self.dispatch(now, &service, actions);
        }
    }

    /// Stops using upstreams that were removed from the table or have a new address or service.
    fn retire_replaced(
        &mut self,
        table: &FxHashMap<Name, Announcement>,
        actions: &mut Vec<Action>,
    ) {
        let mut retired: Vec<(Name, UpstreamKey)> = Vec::new();
        for (name, &key) in &self.upstream_by_name {
            let same = table.get(name).is_some_and(|announcement| {
                let upstream = &self.upstreams[&key];
                upstream.address == announcement.address && upstream.service == announcement.service
            });
            if !same {
                retired.push((name.clone(), key));
            }
        }
        retired.sort_unstable();
        for (name, key) in retired {
            self.upstream_by_name.remove(&name);
            if let Some(upstream) = self.upstreams.get_mut(&key) {
                upstream.serving = false;
            }
            self.close_idle(key, Millis(u64::MAX), 0, actions);
        }
    }

    fn sync_upstream(&mut self, announcement: &Announcement, actions: &mut Vec<Action>) {
        let key = match self.upstream_by_name.get(&announcement.name) {
            Some(&key) => key,
            None => self
                .restore_retired(announcement)
                .unwrap_or_else(|| self.add_upstream(announcement)),
        };
        if self.upstreams[&key].incarnation != announcement.incarnation {
            self.handle_restart(key, announcement, actions);
        }
        let share = self.share_for(announcement);
        let leaving = announcement.status == UpstreamStatus::Leaving;
        let serving = !leaving || self.config.disabled.leaving_status;
        let upstream = self
            .upstreams
            .get_mut(&key)
            .expect("found by name or just added");
        upstream.share = share;
        upstream.serving = serving;
    }

    /// Handles the restart of an upstream at the same address. Its used slots are not freed,
    /// because a request that was sent before the announcement arrived may run in the new process.
    fn handle_restart(
        &mut self,
        key: UpstreamKey,
        announcement: &Announcement,
        actions: &mut Vec<Action>,
    ) {
        if let Some(upstream) = self.upstreams.get_mut(&key) {
            upstream.incarnation = announcement.incarnation;
            upstream.health = Health::default();
        }
        self.close_idle(key, Millis(u64::MAX), 0, actions);
    }

    /// Restores a retired upstream that is announced again while some of its earlier requests or
    /// connections remain; these count towards its share.
    fn restore_retired(&mut self, announcement: &Announcement) -> Option<UpstreamKey> {
        let same = |upstream: &Upstream| {
            upstream.name == announcement.name
                && upstream.address == announcement.address
                && upstream.service == announcement.service
        };
        let key = *self
            .upstreams
            .iter()
            .find(|(_, upstream)| same(upstream))?
            .0;
        self.upstream_by_name.insert(announcement.name.clone(), key);
        Some(key)
    }

    fn add_upstream(&mut self, announcement: &Announcement) -> UpstreamKey {
        let key = UpstreamKey(self.next_upstream);
        self.next_upstream += 1;
        let upstream = Upstream {
            name: announcement.name.clone(),
            service: announcement.service.clone(),
            address: announcement.address.clone(),
            failure_domain: announcement.failure_domain.clone(),
            incarnation: announcement.incarnation,
            serving: false,
            share: Share::default(),
            general_used: 0,
            lookup_used: 0,
            health: Health::default(),
            connections: Connections::default(),
            outstanding: SmallVec::new(),
        };
        self.upstreams.insert(key, upstream);
        self.upstream_by_name.insert(announcement.name.clone(), key);
        key
    }

    fn share_for(&self, announcement: &Announcement) -> Share {
        let disabled = self.config.disabled;
        let roster = if disabled.two_step_roster {
            RosterChange::settled(match &self.roster.next {
                Some(next) => next.clone(),
                None => self.roster.current.clone(),
            })
        } else {
            self.roster.clone()
        };
        let mut share = roster.share(
            self.config.entry,
            &announcement.name,
            &announcement.failure_domain,
            announcement.slots,
            announcement.connections,
        );
        if disabled.shares {
            share.general = announcement.slots;
            share.connections = announcement.connections;
        }
        if disabled.lookup_slots {
            share.general += share.lookup_only;
            share.lookup_only = 0;
        }
        share
    }

    /// Whether no upstream is used beyond this entry's share, which is the condition for confirming
    /// the first step of a roster change.
    pub fn is_within_shares(&self) -> bool {
        self.upstreams.values().all(|upstream| {
            upstream.general_used <= upstream.share.general
                && upstream.lookup_used <= upstream.share.lookup_only
                && upstream.connections.count() <= usize::from(upstream.share.connections)
        })
    }

    /// Dispatches requests of the upstream's service after one of its slots became free.
    pub(super) fn dispatch_upstream(
        &mut self,
        now: Millis,
        key: UpstreamKey,
        actions: &mut Vec<Action>,
    ) {
        if let Some(upstream) = self.upstreams.get(&key) {
            let service = upstream.service.clone();
            self.dispatch(now, &service, actions);
        }
    }

    pub(super) fn record_success(&mut self, now: Millis, attempt: Attempt) {
        let took_ms = attempt.sent_at.map_or(0, |sent| now.since(sent));
        let Some(upstream) = self.upstreams.get_mut(&attempt.upstream) else {
            return;
        };
        upstream.health.record_success(now, attempt.class, took_ms);
        let service = upstream.service.clone();
        self.service(&service).queues[attempt.class as usize].record_service_time(took_ms);
    }

    pub(super) fn record_failure(&mut self, now: Millis, attempt: Attempt) {
        let Some(upstream) = self.upstreams.get_mut(&attempt.upstream) else {
            return;
        };
        upstream.health.record_failure(now);
        if self.config.disabled.ejection || !upstream.health.should_eject() {
            return;
        }
        let service = upstream.service.clone();
        if self.may_eject(&service)
            && let Some(upstream) = self.upstreams.get_mut(&attempt.upstream)
        {
            self.stats.ejections += 1;
            upstream.health.eject(now);
        }
    }

    fn may_eject(&self, service: &Name) -> bool {
        let count = self.serving(service).count();
        let ejected = self
            .serving(service)
            .filter(|(_, upstream)| upstream.health.is_ejected())
            .count();
        let limit = if count < 2 {
            0
        } else {
            (count / UPSTREAMS_PER_EJECTION).max(1)
        };
        ejected < limit && !self.local_fault_suspected
    }

    pub(super) fn periodic(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if now >= self.next_gossip {
            // Half a period less, so that gossip is sent in the round closest to the interval.
            self.next_gossip = now + self.config.gossip_interval_ms - PERIOD_MS.start() / 2;
            self.gossip(now, actions);
        }
        if !self.table.expire(now).is_empty() {
            self.sync_upstreams(now, actions);
        }
        self.claims.resume_outcomes();
        self.detect_local_fault(now);
        for upstream in self.upstreams.values_mut() {
            upstream.health.tick(now);
        }
        self.close_unused(now, actions);
        self.remove_retired();
        let mut services: Vec<Name> = self.services.keys().cloned().collect();
        services.sort_unstable();
        for service in services {
            if self.serving(&service).next().is_none() {
                self.refuse_queued(now, &service, actions);
            } else {
                self.dispatch(now, &service, actions);
            }
        }
    }

    fn gossip(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let from = self.config.entry;
        let incarnation = self.config.incarnation;
        let messages = self.table.take_gossip(now, from, incarnation);
        actions.extend(
            messages
                .into_iter()
                .map(|(peer, gossip)| Action::Gossip { peer, gossip }),
        );
    }

    /// Suspects a fault of this entry as long as all upstreams with recent attempts, at least two,
    /// appear down. Ejections then end, and errors do not count in the selection of an upstream. An
    /// upstream whose ejection has ended does not appear down until two more attempts have failed.
    fn detect_local_fault(&mut self, now: Millis) {
        let mut tried = 0;
        let mut down = 0;
        for &key in self.upstream_by_name.values() {
            let health = &self.upstreams[&key].health;
            let recent = health
                .last_attempt()
                .is_some_and(|last| now.since(last) < RECENT_ATTEMPT_MS);
            if recent {
                tried += 1;
                down += usize::from(health.appears_down());
            }
        }
        self.local_fault_suspected = tried >= 2 && down == tried;
        if self.local_fault_suspected {
            for upstream in self.upstreams.values_mut() {
                upstream.health.reinstate();
            }
        }
    }

    fn refuse_queued(&mut self, now: Millis, name: &Name, actions: &mut Vec<Action>) {
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        let mut waiting: Vec<QueuedRequest> = Vec::new();
        for queue in &mut service.queues {
            waiting.extend(std::iter::from_fn(|| queue.pop()));
        }
        for queued in waiting {
            self.refuse(now, queued.key, RefusalReason::NoUpstream, actions);
        }
    }

    fn close_unused(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let mut keys: Vec<UpstreamKey> = self.upstreams.keys().copied().collect();
        keys.sort_unstable();
        for key in keys {
            let upstream = &self.upstreams[&key];
            let excess = upstream.connections.count() > usize::from(upstream.share.connections);
            if !upstream.serving || excess {
                self.close_idle(key, now, 0, actions);
            } else {
                self.close_idle(key, now, self.config.idle_timeout_ms, actions);
            }
        }
    }

    fn close_idle(
        &mut self,
        key: UpstreamKey,
        now: Millis,
        idle_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(upstream) = self.upstreams.get(&key) else {
            return;
        };
        for connection in upstream.connections.idle_longer_than(now, idle_ms) {
            self.close(connection, actions);
        }
    }

    fn remove_retired(&mut self) {
        let current = &self.upstream_by_name;
        self.upstreams.retain(|key, upstream| {
            current.get(&upstream.name) == Some(key)
                || upstream.used() > 0
                || upstream.connections.count() > 0
        });
    }

    /// Records activity on a connection and closes the older idle connections that are suspect.
    pub(super) fn record_activity(
        &mut self,
        now: Millis,
        connection: ConnectionKey,
        actions: &mut Vec<Action>,
    ) {
        let Some(owner) = self.connection_owner.get(&connection) else {
            return;
        };
        let Some(upstream) = self.upstreams.get_mut(owner) else {
            return;
        };
        for silent in upstream.connections.record_activity(now, connection) {
            self.close(silent, actions);
        }
    }

    pub(super) fn close(&mut self, connection: ConnectionKey, actions: &mut Vec<Action>) {
        let Some(owner) = self.connection_owner.get(&connection) else {
            return;
        };
        if let Some(upstream) = self.upstreams.get_mut(owner)
            && upstream.connections.close(connection)
        {
            actions.push(Action::Close(connection));
        }
    }

    pub(super) fn release_connection(&mut self, now: Millis, connection: ConnectionKey) {
        if let Some(owner) = self.connection_owner.get(&connection)
            && let Some(upstream) = self.upstreams.get_mut(owner)
        {
            upstream.connections.release(now, connection);
        }
    }

    pub(super) fn remove_connection(&mut self, connection: ConnectionKey) {
        if let Some(owner) = self.connection_owner.remove(&connection)
            && let Some(upstream) = self.upstreams.get_mut(&owner)
        {
            upstream.connections.remove(connection);
        }
    }
}
