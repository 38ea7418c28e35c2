//! Evacuated data centres: their upstreams take no new work until the evacuation ends.

use std::time;

use crate::{ids, units, upstream_list};

impl upstream_list::UpstreamList {
    /// Data centres whose upstreams take no new work, in the order of their names.
    pub fn evacuated(&self) -> impl Iterator<Item = &ids::DataCenterId> {
        self.evacuated.keys()
    }

    /// Whether the data centre of an upstream is evacuated.
    pub fn is_evacuated(&self, entry: &upstream_list::UpstreamEntry) -> bool {
        self.evacuated.contains_key(&entry.data_center)
    }

    /// Time since the start of the latest evacuation that affects a service; `None` without any.
    pub fn evacuated_for(
        &self,
        now: units::MonoTime,
        service: &ids::ServiceId,
    ) -> Option<time::Duration> {
        let entries = self.entries.values().filter(|entry| entry.service == *service);
        let since = entries.filter_map(|entry| self.evacuated.get(&entry.data_center)).max()?;
        Some(now.since(*since))
    }

    /// Begins the evacuation of a data centre; returns false if it is already evacuated.
    pub(crate) fn evacuate(
        &mut self,
        now: units::MonoTime,
        data_center: ids::DataCenterId,
    ) -> bool {
        let began = !self.evacuated.contains_key(&data_center);
        if began {
            self.evacuated.insert(data_center, now);
            self.changes += 1;
        }
        began
    }

    /// Ends the evacuation of a data centre; returns false if there was none. Its upstreams are considered cold
    /// (just started, so limited to a lower request rate), as they may be cold without announcing it.
    pub(crate) fn restore(
        &mut self,
        now: units::MonoTime,
        data_center: &ids::DataCenterId,
    ) -> bool {
        if self.evacuated.remove(data_center).is_none() {
            return false;
        }
        let entries = self.entries.values().filter(|entry| entry.data_center == *data_center);
        for entry in entries {
            self.cold.set(now, &entry.name, &entry.service, None);
        }
        self.changes += 1;
        true
    }
}
