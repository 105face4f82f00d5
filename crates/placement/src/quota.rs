//! Team quotas and their usage.

use rustc_hash::FxHashMap;
use sapphirepost_types::Name;
use sapphirepost_types::Resources;
use sapphirepost_types::resources::ResourceKind;

/// The index of a team in [`Quotas`].
pub(crate) type TeamId = u32;

/// A team with its quota.
pub(crate) struct Team {
    pub(crate) name: Name,
    pub(crate) limit: Option<Resources>,
    /// The sum of the declared resources of the team's bound tasks.
    pub(crate) used: Resources,
}

/// All teams; a team is added when its name is first seen.
#[derive(Default)]
pub(crate) struct Quotas {
    teams: Vec<Team>,
    ids: FxHashMap<Name, TeamId>,
}

impl Quotas {
    pub(crate) fn id(&mut self, name: &Name) -> TeamId {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let id = self.teams.len() as TeamId;
        self.teams.push(Team {
            name: name.clone(),
            limit: None,
            used: Resources::ZERO,
        });
        self.ids.insert(name.clone(), id);
        id
    }

    pub(crate) fn find(&self, name: &Name) -> Option<&Team> {
        self.ids.get(name).map(|&id| self.team(id))
    }

    pub(crate) fn team(&self, id: TeamId) -> &Team {
        &self.teams[id as usize]
    }

    pub(crate) fn set_limit(&mut self, name: &Name, limit: Option<Resources>) {
        let id = self.id(name);
        self.teams[id as usize].limit = limit;
    }

    /// Returns the resource of which the team has too little quota left for `need`, if any.
    pub(crate) fn limiting(&self, id: TeamId, need: &Resources) -> Option<ResourceKind> {
        let team = self.team(id);
        let limit = team.limit.as_ref()?;
        need.limiting(&limit.saturating_sub(&team.used))
    }

    pub(crate) fn charge(&mut self, id: TeamId, amount: &Resources) {
        let used = &mut self.teams[id as usize].used;
        *used = used.checked_add(amount).unwrap_or(*used);
    }

    pub(crate) fn credit(&mut self, id: TeamId, amount: &Resources) {
        let used = &mut self.teams[id as usize].used;
        *used = used.saturating_sub(amount);
    }
}
