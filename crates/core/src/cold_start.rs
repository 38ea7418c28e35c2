//! Upstreams that have just started and bear fewer requests until they are warm.
//!
//! The limit concerns the sum over all instances, so it is kept like one that an upstream names itself.

use std::{collections, time};

use serde::Deserialize;

use crate::{ids, units};

/// Whether cold upstreams get fewer requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ColdUpstreamWay {
    /// As many as their service says that they bear.
    #[default]
    Limited,
    /// As many as warm ones.
    Full,
}

/// What a service says of its cold upstreams.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdPolicy {
    /// Requests that one bears, of all instances together.
    pub rate: units::RequestRate,
    /// For how long one is cold behind its start.
    pub lasts: time::Duration,
}

/// A cold start that goes on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdPhase {
    /// When it became known.
    pub since: units::MonoTime,
    /// When it is over.
    pub until: units::MonoTime,
}

/// Cold upstreams by their starts.
#[derive(Debug, Default)]
pub(crate) struct ColdTable {
    way: ColdUpstreamWay,
    policies: collections::BTreeMap<ids::ServiceId, ColdPolicy>,
    phases: collections::BTreeMap<ids::UpstreamId, (ids::ServiceId, ColdPhase)>,
    /// Goes up whenever another limit holds.
    changes: u64,
}

impl ColdTable {
    /// Sets whether cold upstreams get fewer requests.
    pub(crate) fn set_way(&mut self, way: ColdUpstreamWay) {
        self.way = way;
    }

    /// Sets the services whose upstreams may be cold.
    pub(crate) fn set_policies(
        &mut self,
        policies: collections::BTreeMap<ids::ServiceId, ColdPolicy>,
    ) {
        if self.policies != policies {
            self.policies = policies;
            self.changes += 1;
        }
    }

    /// Takes in for how much longer an upstream is cold; for as long as its service says where `left` is none.
    pub(crate) fn set(
        &mut self,
        now: units::MonoTime,
        name: &ids::UpstreamId,
        service: &ids::ServiceId,
        left: Option<time::Duration>,
    ) {
        let usual = self.policies.get(service).map(|policy| policy.lasts);
        let left = left.or(usual).unwrap_or_default();
        if left.is_zero() {
            self.changes += u64::from(self.phases.remove(name).is_some());
            return;
        }
        let phase = ColdPhase { since: now, until: now + left };
        self.phases.insert(name.clone(), (service.clone(), phase));
        self.changes += 1;
    }

    /// Forgets starts that are warm by now, or not listed any more.
    pub(crate) fn retain(
        &mut self,
        now: units::MonoTime,
        listed: impl Fn(&ids::UpstreamId) -> bool,
    ) {
        let before = self.phases.len();
        self.phases.retain(|name, (_, phase)| now < phase.until && listed(name));
        self.changes += u64::from(self.phases.len() != before);
    }

    /// The requests that a cold start bears; nothing where it is warm or its service has no bound.
    pub(crate) fn limit(&self, name: &ids::UpstreamId) -> Option<(units::RequestRate, ColdPhase)> {
        let (service, phase) = self.phases.get(name)?;
        let policy = self.policies.get(service)?;
        (self.way == ColdUpstreamWay::Limited).then_some((policy.rate, *phase))
    }

    /// Cold starts.
    pub(crate) fn names(&self) -> impl Iterator<Item = &ids::UpstreamId> {
        self.phases.keys()
    }

    /// Number of changes of limits so far.
    pub(crate) fn changes(&self) -> u64 {
        self.changes
    }
}
