//! Limits of upstreams, announced by themselves or due to a cold start.

use std::collections;

use crate::{cold_start, ids, units, upstream_limit, upstream_list, upstream_notice};

impl upstream_list::UpstreamList {
    /// Sets whether cold upstreams are limited.
    pub fn set_cold_way(&mut self, way: cold_start::ColdUpstreamWay) {
        self.cold.set_way(way);
    }

    /// Sets the cold start policies of services.
    pub fn set_cold_policies(
        &mut self,
        policies: collections::BTreeMap<ids::ServiceId, cold_start::ColdPolicy>,
    ) {
        self.cold.set_policies(policies);
    }

    /// The limit of an upstream for all instances together: the lower of the announced one and that of a cold start.
    pub fn limit(&self, name: &ids::UpstreamId) -> Option<upstream_limit::LimitNotice> {
        let named = self.notices().limit(name);
        let Some((rate, phase)) = self.cold.limit(name) else {
            return named;
        };
        let lower = |limit: &upstream_limit::LimitNotice| {
            limit.reading.rate.is_some_and(|named| named.per_second() <= rate.per_second())
        };
        named.filter(lower).or(Some(upstream_limit::LimitNotice {
            reading: upstream_limit::LimitReading {
                rate: Some(rate),
                asked: phase.since,
                heard: phase.since,
                source: upstream_notice::NoticeSource::List,
            },
            since: phase.since,
        }))
    }

    /// Upstreams with a limit.
    pub fn limits(&self) -> collections::BTreeMap<&ids::UpstreamId, units::RequestRate> {
        let named = self.notices().limits().map(|(name, _)| name);
        let names = named.chain(self.cold.names());
        names.filter_map(|name| Some((name, self.limit(name)?.reading.rate?))).collect()
    }

    /// Number of changes of limits so far.
    pub fn limit_changes(&self) -> u64 {
        self.notices().limit_changes() + self.cold.changes()
    }
}
