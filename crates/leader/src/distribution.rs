//! Distribution of the configuration: polls of entries, and which version each entry has applied.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use sapphirepost_protocol::config::ConfigReply;
use sapphirepost_protocol::config::ConfigUpdate;
use sapphirepost_protocol::config::WatchConfig;
use sapphirepost_protocol::operator::OperatorReply;
use sapphirepost_state::Request;
use sapphirepost_types::ConfigVersion;
use sapphirepost_types::EntryId;
use sapphirepost_types::Millis;
use sapphirepost_types::Name;

use crate::leader::Leader;
use crate::message::Context;
use crate::message::Output;
use crate::message::Reply;
use crate::message::ReplyToken;

/// Shortest interval between two records of the contact with an entry in the state.
const CONTACT_INTERVAL_MS: u64 = 60 * 60 * 1_000;

/// A held configuration poll of an entry.
struct Watcher {
    watch: WatchConfig,
    token: ReplyToken,
    until: Millis,
}

/// An operator's call that waits until every entry has applied `version`.
struct WaitConfigCall {
    version: ConfigVersion,
    token: ReplyToken,
    until: Millis,
}

/// Held calls that concern the configuration, and what is known of each entry.
#[derive(Default)]
pub(crate) struct Distribution {
    watchers: BTreeMap<EntryId, Watcher>,
    /// The version that each entry has applied, according to its last poll in this term.
    applied: BTreeMap<EntryId, Option<ConfigVersion>>,
    /// When a record of the contact with each entry was last proposed.
    contact_proposed: BTreeMap<EntryId, Millis>,
    wait_calls: Vec<WaitConfigCall>,
}

impl Leader {
    /// Processes the configuration poll of an entry; it is held while the entry is up to date.
    ///
    /// A reply may state that the applied version is the current one, so the control process must
    /// have confirmed its leadership with a quorum before the call. It must not send the reply to a
    /// held poll once it no longer leads.
    pub fn watch_config(
        &mut self,
        ctx: &Context<'_>,
        watch: WatchConfig,
        token: ReplyToken,
        out: &mut Output,
    ) {
        self.distribution.applied.insert(watch.entry, watch.applied);
        self.propose_contact(ctx, watch.entry, out);
        self.answer_wait_calls(ctx, out);
        let entry = watch.entry;
        let until = ctx.now + watch.wait_ms.min(self.config.watch_max_ms);
        let watcher = Watcher {
            watch,
            token,
            until,
        };
        if is_reply_due(ctx, &watcher) {
            answer_watcher(ctx, &watcher, out);
            return;
        }
        if let Some(earlier) = self.distribution.watchers.insert(entry, watcher) {
            answer_watcher(ctx, &earlier, out);
        }
    }

    pub(crate) fn answer_watchers(&mut self, ctx: &Context<'_>, out: &mut Output) {
        for watcher in std::mem::take(&mut self.distribution.watchers).into_values() {
            answer_watcher(ctx, &watcher, out);
        }
    }

    pub(crate) fn wait_config(
        &mut self,
        ctx: &Context<'_>,
        version: ConfigVersion,
        wait_ms: u64,
        token: ReplyToken,
        out: &mut Output,
    ) {
        if self.distribution.wait_calls.len() >= self.config.waiting_calls_max {
            out.reply(token, Reply::Busy);
            return;
        }
        self.distribution.wait_calls.push(WaitConfigCall {
            version,
            token,
            until: ctx.now + wait_ms.min(self.config.watch_max_ms),
        });
        self.answer_wait_calls(ctx, out);
    }

    pub(crate) fn tick_distribution(&mut self, ctx: &Context<'_>, out: &mut Output) {
        let watchers = std::mem::take(&mut self.distribution.watchers);
        for (entry, watcher) in watchers {
            match ctx.now >= watcher.until {
                true => answer_watcher(ctx, &watcher, out),
                false => {
                    self.distribution.watchers.insert(entry, watcher);
                }
            }
        }
        self.answer_wait_calls(ctx, out);
    }

    /// Entries that have applied `version`, and entries that have not, among those recorded in the
    /// state and those that polled in this term.
    fn entries_by_applied(
        &self,
        ctx: &Context<'_>,
        version: ConfigVersion,
    ) -> (Vec<Name>, Vec<Name>) {
        let (mut applied, mut lacking) = (Vec::new(), Vec::new());
        let recorded = ctx.state.entry_contacts().last_contacts().keys();
        let polled = self.distribution.applied.keys();
        let entries: BTreeSet<&EntryId> = recorded.chain(polled).collect();
        for entry in entries {
            let Ok(name) = Name::new(&entry.to_string()) else {
                continue;
            };
            let known = self.distribution.applied.get(entry).copied().flatten();
            match known.is_some_and(|known| known >= version) {
                true => applied.push(name),
                false => lacking.push(name),
            }
        }
        (applied, lacking)
    }

    fn answer_wait_calls(&mut self, ctx: &Context<'_>, out: &mut Output) {
        for call in std::mem::take(&mut self.distribution.wait_calls) {
            let (applied, lacking) = self.entries_by_applied(ctx, call.version);
            if !lacking.is_empty() && ctx.now < call.until {
                self.distribution.wait_calls.push(call);
                continue;
            }
            let reply = OperatorReply::InForce {
                version: call.version,
                applied,
                lacking,
            };
            out.reply_operator(call.token, reply);
        }
    }

    fn propose_contact(&mut self, ctx: &Context<'_>, entry: EntryId, out: &mut Output) {
        let seen = ctx
            .state
            .entry_contacts()
            .last_contacts()
            .get(&entry)
            .copied();
        let is_recent = seen.is_some_and(|seen| seen + CONTACT_INTERVAL_MS > ctx.wall_ms());
        let contact_proposed = self.distribution.contact_proposed.get(&entry);
        let was_proposed =
            contact_proposed.is_some_and(|at| ctx.now.since(*at) < self.config.proposal_timeout_ms);
        if !is_recent && !was_proposed {
            self.distribution.contact_proposed.insert(entry, ctx.now);
            out.propose(ctx, Request::NoteEntry { entry });
        }
    }
}

fn is_reply_due(ctx: &Context<'_>, watcher: &Watcher) -> bool {
    let update = ctx.state.config().update_since(watcher.watch.applied);
    update != ConfigUpdate::Current || ctx.now >= watcher.until
}

fn answer_watcher(ctx: &Context<'_>, watcher: &Watcher, out: &mut Output) {
    let config = ctx.state.config();
    let reply = ConfigReply {
        version: config.version(),
        update: config.update_since(watcher.watch.applied),
    };
    out.reply(watcher.token, Reply::Config(reply));
}
