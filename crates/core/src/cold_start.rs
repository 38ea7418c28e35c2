//! Cold starts: rate limits for upstreams that have just started.
//!
//! The limit applies to all instances together, so it is a shared quota like a limit that an upstream announces.

use std::{collections, time};

use serde::Deserialize;

use crate::{ids, units};

/// Whether the request rate of cold upstreams, which have just started, is limited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ColdUpstreamMode {
    /// Cold upstreams are limited to the cold-start rate of their service.
    #[default]
    Limited,
    /// Cold upstreams are treated like warm ones.
    Full,
}

/// How the upstreams of a service are limited while they are cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdPolicy {
    /// Request rate that a cold upstream can handle, over all instances.
    pub rate: units::RequestRate,
    /// Usual length of a cold phase, assumed where the remaining length is unknown.
    pub duration: time::Duration,
}

/// The period after an upstream's start in which its request rate is limited.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdPhase {
    /// When this process learned of the phase.
    pub since: units::MonoTime,
    /// When the upstream becomes warm.
    pub until: units::MonoTime,
}

/// Cold phases by upstream. A restarted upstream has an entry of its own, because the name of an upstream includes the
/// time at which its process started, if the upstream reports it.
#[derive(Debug, Default)]
pub(crate) struct ColdTable {
    mode: ColdUpstreamMode,
    policies: collections::BTreeMap<ids::ServiceId, ColdPolicy>,
    phases: collections::BTreeMap<ids::UpstreamId, (ids::ServiceId, ColdPhase)>,
    /// Number of changes so far to `policies` and `phases`, which determine the limits.
    changes: u64,
}

impl ColdTable {
    /// Sets whether cold upstreams are limited.
    pub(crate) fn set_mode(&mut self, mode: ColdUpstreamMode) {
        self.mode = mode;
    }

    /// Replaces the policies of all services; the upstreams of a service without a policy are not limited.
    pub(crate) fn set_policies(
        &mut self,
        policies: collections::BTreeMap<ids::ServiceId, ColdPolicy>,
    ) {
        if self.policies != policies {
            self.policies = policies;
            self.changes += 1;
        }
    }

    /// Sets the remaining cold phase of an upstream: `left`, or the usual length for its service if `left` is `None`.
    /// Without a remaining time or a usual length, the upstream counts as warm.
    pub(crate) fn set(
        &mut self,
        now: units::MonoTime,
        name: &ids::UpstreamId,
        service: &ids::ServiceId,
        left: Option<time::Duration>,
    ) {
        let usual_duration = self.policies.get(service).map(|policy| policy.duration);
        let left = left.or(usual_duration).unwrap_or_default();
        if left.is_zero() {
            self.changes += u64::from(self.phases.remove(name).is_some());
            return;
        }
        let phase = ColdPhase { since: now, until: now + left };
        self.phases.insert(name.clone(), (service.clone(), phase));
        self.changes += 1;
    }

    /// Drops phases that have ended and upstreams that are no longer listed.
    pub(crate) fn retain(
        &mut self,
        now: units::MonoTime,
        listed: impl Fn(&ids::UpstreamId) -> bool,
    ) {
        let before = self.phases.len();
        self.phases.retain(|name, (_, phase)| now < phase.until && listed(name));
        self.changes += u64::from(self.phases.len() != before);
    }

    /// The cold-start limit of an upstream; `None` if it is warm, its service has no policy or cold upstreams aren't
    /// limited.
    pub(crate) fn limit(&self, name: &ids::UpstreamId) -> Option<(units::RequestRate, ColdPhase)> {
        let (service, phase) = self.phases.get(name)?;
        let policy = self.policies.get(service)?;
        (self.mode == ColdUpstreamMode::Limited).then_some((policy.rate, *phase))
    }

    /// Names of the upstreams with a cold phase, whether it limits them or not.
    pub(crate) fn names(&self) -> impl Iterator<Item = &ids::UpstreamId> {
        self.phases.keys()
    }

    /// Number of changes so far to the policies and phases, which determine the limits. Changes of the mode don't
    /// count.
    pub(crate) fn changes(&self) -> u64 {
        self.changes
    }
}
