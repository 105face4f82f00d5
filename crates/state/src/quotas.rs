//! Quotas of teams, and the resources that count against them.

use std::collections::BTreeMap;

use sapphirepost_types::Name;
use sapphirepost_types::ObjectVersion;
use sapphirepost_types::PlanId;
use sapphirepost_types::Resources;
use sapphirepost_types::resources::ResourceKind;
use serde::Deserialize;
use serde::Serialize;

/// Once the table has this many teams, no quota can be set for a further one. A further team whose
/// tasks are placed is still added.
pub const TEAMS_MAX: usize = 10_000;

/// The quota and the usage of one team.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// The resources that the team's tasks may use together; `None` means no limit.
    pub limit: Option<Resources>,
    /// The resources of the team's placed tasks. Unreachable tasks do not count, so that a service
    /// at its quota can still get replicas that replace the unreachable ones.
    pub used: Resources,
    /// The resources of the team's unreachable tasks.
    pub unreachable: Resources,
    /// The version of the limit; 0 if it was never set.
    pub version: ObjectVersion,
    /// The plan that set the limit, if one did.
    pub changed_by: Option<PlanId>,
}

impl Quota {
    /// A resource of which too little is left for `more`; `None` if the quota allows it.
    pub fn limiting(&self, more: &Resources) -> Option<ResourceKind> {
        let limit = self.limit?;
        match self.used.checked_add(more) {
            Some(sum) => sum.limiting(&limit),
            None => Some(ResourceKind::Processor),
        }
    }
}

/// The quotas of all teams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quotas {
    teams: BTreeMap<Name, Quota>,
}

impl Quotas {
    /// The quota of a team; `None` if it never had one and uses nothing.
    pub fn get(&self, team: &Name) -> Option<&Quota> {
        self.teams.get(team)
    }

    /// All teams that have had a quota or use resources, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Quota)> {
        self.teams.iter()
    }

    /// Number of teams that have had a quota or use resources.
    pub fn len(&self) -> usize {
        self.teams.len()
    }

    /// Whether no team has had a quota or uses resources.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// A resource of which the team has too little left for `more`; `None` if its quota allows it.
    pub fn limiting(&self, team: &Name, more: &Resources) -> Option<ResourceKind> {
        self.teams.get(team)?.limiting(more)
    }

    pub(crate) fn set(
        &mut self,
        team: &Name,
        limit: Option<Resources>,
        version: ObjectVersion,
        plan: PlanId,
    ) {
        let quota = self.teams.entry(team.clone()).or_default();
        quota.limit = limit;
        quota.version = version;
        quota.changed_by = Some(plan);
    }

    pub(crate) fn charge(&mut self, team: &Name, amount: &Resources) {
        let quota = self.teams.entry(team.clone()).or_default();
        quota.used = quota.used.checked_add(amount).unwrap_or(quota.used);
    }

    pub(crate) fn release(&mut self, team: &Name, amount: &Resources) {
        if let Some(quota) = self.teams.get_mut(team) {
            quota.used = quota.used.saturating_sub(amount);
        }
        self.drop_if_empty(team);
    }

    /// Counts resources as held by unreachable tasks instead of as used.
    pub(crate) fn move_to_unreachable(&mut self, team: &Name, amount: &Resources) {
        let quota = self.teams.entry(team.clone()).or_default();
        quota.used = quota.used.saturating_sub(amount);
        let sum = quota.unreachable.checked_add(amount);
        quota.unreachable = sum.unwrap_or(quota.unreachable);
    }

    /// Releases resources that an unreachable task held.
    pub(crate) fn release_unreachable(&mut self, team: &Name, amount: &Resources) {
        if let Some(quota) = self.teams.get_mut(team) {
            quota.unreachable = quota.unreachable.saturating_sub(amount);
        }
        self.drop_if_empty(team);
    }

    fn drop_if_empty(&mut self, team: &Name) {
        let is_empty = self.teams.get(team).is_some_and(|quota| {
            let holds_nothing = quota.used.is_zero() && quota.unreachable.is_zero();
            holds_nothing && quota.version == ObjectVersion::default()
        });
        if is_empty {
            self.teams.remove(team);
        }
    }
}
