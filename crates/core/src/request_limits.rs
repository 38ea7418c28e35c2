//! Request limits of listed upstreams: those that upstreams announce, and those after a cold start.

use std::collections;

use crate::{cold_start, ids, units, upstream_limit, upstream_list, upstream_notice};

impl upstream_list::UpstreamList {
    /// Sets whether upstreams are limited after a cold start.
    pub fn set_cold_mode(&mut self, mode: cold_start::ColdUpstreamMode) {
        self.cold.set_mode(mode);
    }

    /// Replaces the cold start policies of all services; upstreams of a service without one are not limited when cold.
    pub fn set_cold_policies(
        &mut self,
        policies: collections::BTreeMap<ids::ServiceId, cold_start::ColdPolicy>,
    ) {
        self.cold.set_policies(policies);
    }

    /// The limit of an upstream for all instances together: the lower of the announced limit and the cold start limit.
    pub fn limit(&self, name: &ids::UpstreamId) -> Option<upstream_limit::LimitNotice> {
        let announced = self.notices().limit(name);
        let Some((rate, phase)) = self.cold.limit(name) else {
            return announced;
        };
        let is_lower = |limit: &upstream_limit::LimitNotice| {
            limit.reading.rate.is_some_and(|announced| announced.per_second() <= rate.per_second())
        };
        announced.filter(is_lower).or(Some(upstream_limit::LimitNotice {
            reading: upstream_limit::LimitReading {
                rate: Some(rate),
                requested: phase.since,
                received: phase.since,
                source: upstream_notice::NoticeSource::List,
            },
            since: phase.since,
        }))
    }

    /// The limits in force, by upstream.
    pub fn limits(&self) -> collections::BTreeMap<&ids::UpstreamId, units::RequestRate> {
        let announced = self.notices().limits().map(|(name, _)| name);
        let names = announced.chain(self.cold.names());
        names.filter_map(|name| Some((name, self.limit(name)?.reading.rate?))).collect()
    }

    /// Number of changes so far to the announced limits and the cold start limits of all upstreams.
    pub fn limit_changes(&self) -> u64 {
        self.notices().limit_changes() + self.cold.changes()
    }
}
