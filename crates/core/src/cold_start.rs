//! Cold starts: upstreams that bear fewer requests until they are warm.
//!
//! The limit holds for all instances together, so it is a shared quota like an announced limit.

use std::{collections, time};

use serde::Deserialize;

use crate::{ids, units};

/// Whether cold upstreams are limited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ColdUpstreamWay {
    /// To the rate of their service.
    #[default]
    Limited,
    /// Not at all.
    Full,
}

/// The cold start policy of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdPolicy {
    /// Requests that a cold upstream bears, from all instances together.
    pub rate: units::RequestRate,
    /// Usual length of a cold phase.
    pub lasts: time::Duration,
}

/// A cold phase of an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdPhase {
    /// When it was learned.
    pub since: units::MonoTime,
    /// Its end.
    pub until: units::MonoTime,
}

/// Cold phases by the starts of their upstreams.
#[derive(Debug, Default)]
pub(crate) struct ColdTable {
    way: ColdUpstreamWay,
    policies: collections::BTreeMap<ids::ServiceId, ColdPolicy>,
    phases: collections::BTreeMap<ids::UpstreamId, (ids::ServiceId, ColdPhase)>,
    /// Incremented with each change of a limit.
    changes: u64,
}

impl ColdTable {
    /// Sets whether cold upstreams are limited.
    pub(crate) fn set_way(&mut self, way: ColdUpstreamWay) {
        self.way = way;
    }

    /// Sets the policies of services.
    pub(crate) fn set_policies(
        &mut self,
        policies: collections::BTreeMap<ids::ServiceId, ColdPolicy>,
    ) {
        if self.policies != policies {
            self.policies = policies;
            self.changes += 1;
        }
    }

    /// Sets the rest of an upstream's cold phase: `left`, or the usual length without it.
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

    /// Drops phases that are over, and starts that are not listed.
    pub(crate) fn retain(
        &mut self,
        now: units::MonoTime,
        listed: impl Fn(&ids::UpstreamId) -> bool,
    ) {
        let before = self.phases.len();
        self.phases.retain(|name, (_, phase)| now < phase.until && listed(name));
        self.changes += u64::from(self.phases.len() != before);
    }

    /// The limit of a cold start; `None` when it is warm or its service has no policy.
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
