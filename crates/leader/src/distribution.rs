//! Distribution of the configuration: held calls of entries, and who has applied what.

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

/// How often the contact with an entry is recorded in the state.
const NOTE_INTERVAL_MS: u64 = 60 * 60 * 1_000;

struct Watcher {
    watch: WatchConfig,
    token: ReplyToken,
    until: Millis,
}

struct InForceCall {
    version: ConfigVersion,
    token: ReplyToken,
    until: Millis,
}

/// Calls that wait for a version.
#[derive(Default)]
pub(crate) struct Distribution {
    watchers: BTreeMap<EntryId, Watcher>,
    applied: BTreeMap<EntryId, Option<ConfigVersion>>,
    noted: BTreeMap<EntryId, Millis>,
    in_force: Vec<InForceCall>,
}

impl Leader {
    /// Takes a configuration call of an entry; it is held while the entry is up to date. The
    /// caller must confirm its leadership with a quorum before it passes on a reply that says
    /// that the applied version is the current one.
    pub fn watch_config(
        &mut self,
        ctx: &Context<'_>,
        watch: WatchConfig,
        token: ReplyToken,
        out: &mut Output,
    ) {
        self.distribution.applied.insert(watch.entry, watch.applied);
        self.note_entry(ctx, watch.entry, out);
        self.answer_in_force(ctx, out);
        let entry = watch.entry;
        let until = ctx.now + watch.wait_ms.min(self.config.watch_max_ms);
        let watcher = Watcher {
            watch,
            token,
            until,
        };
        if is_answered_at_once(ctx, &watcher) {
            answer(ctx, &watcher, out);
            return;
        }
        if let Some(earlier) = self.distribution.watchers.insert(entry, watcher) {
            answer(ctx, &earlier, out);
        }
    }

    pub(crate) fn answer_watchers(&mut self, ctx: &Context<'_>, out: &mut Output) {
        for watcher in std::mem::take(&mut self.distribution.watchers).into_values() {
            answer(ctx, &watcher, out);
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
        if self.distribution.in_force.len() >= self.config.waiting_calls_max {
            out.reply(token, Reply::Busy);
            return;
        }
        self.distribution.in_force.push(InForceCall {
            version,
            token,
            until: ctx.now + wait_ms.min(self.config.watch_max_ms),
        });
        self.answer_in_force(ctx, out);
    }

    pub(crate) fn tick_distribution(&mut self, ctx: &Context<'_>, out: &mut Output) {
        let watchers = std::mem::take(&mut self.distribution.watchers);
        for (entry, watcher) in watchers {
            match ctx.now >= watcher.until {
                true => answer(ctx, &watcher, out),
                false => {
                    self.distribution.watchers.insert(entry, watcher);
                }
            }
        }
        self.answer_in_force(ctx, out);
    }

    /// Entries of the state and those heard from since, by whether they have applied `version`.
    fn in_force(&self, ctx: &Context<'_>, version: ConfigVersion) -> (Vec<Name>, Vec<Name>) {
        let (mut applied, mut lacking) = (Vec::new(), Vec::new());
        let recorded = ctx.state.roster().entries().keys();
        let heard = self.distribution.applied.keys();
        let entries: BTreeSet<&EntryId> = recorded.chain(heard).collect();
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

    fn answer_in_force(&mut self, ctx: &Context<'_>, out: &mut Output) {
        for call in std::mem::take(&mut self.distribution.in_force) {
            let (applied, lacking) = self.in_force(ctx, call.version);
            if !lacking.is_empty() && ctx.now < call.until {
                self.distribution.in_force.push(call);
                continue;
            }
            let reply = OperatorReply::InForce {
                version: call.version,
                applied,
                lacking,
            };
            out.operator(call.token, reply);
        }
    }

    fn note_entry(&mut self, ctx: &Context<'_>, entry: EntryId, out: &mut Output) {
        let seen = ctx.state.roster().entries().get(&entry).copied();
        let is_recent = seen.is_some_and(|seen| seen + NOTE_INTERVAL_MS > ctx.wall_ms());
        let noted = self.distribution.noted.get(&entry);
        let was_proposed =
            noted.is_some_and(|at| ctx.now.since(*at) < self.config.proposal_timeout_ms);
        if !is_recent && !was_proposed {
            self.distribution.noted.insert(entry, ctx.now);
            out.propose(ctx, Request::NoteEntry { entry });
        }
    }
}

fn is_answered_at_once(ctx: &Context<'_>, watcher: &Watcher) -> bool {
    let update = ctx.state.config().update_since(watcher.watch.applied);
    update != ConfigUpdate::Current || ctx.now >= watcher.until
}

fn answer(ctx: &Context<'_>, watcher: &Watcher, out: &mut Output) {
    let config = ctx.state.config();
    let reply = ConfigReply {
        version: config.version(),
        update: config.update_since(watcher.watch.applied),
    };
    out.reply(watcher.token, Reply::Config(reply));
}
