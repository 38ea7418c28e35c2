//! Selects the upstreams that this instance may send to now, by the list and their notices.

use crate::{fleet_list, ids, quota_permit, send_gate, units, upstream_list, upstream_notice};

impl upstream_list::UpstreamList {
    /// Upstreams of a service that may take a request now: usable ones without a backoff, and among these preferably
    /// those that need no probe.
    pub fn open<'a>(
        &'a self,
        now: units::MonoTime,
        service: &'a ids::ServiceId,
        permission: send_gate::ProbePermission,
    ) -> Vec<&'a upstream_list::UpstreamEntry> {
        let mut open = self.usable(service);
        open.retain(|entry| self.notices().backoff(now, &entry.name).is_none());
        let avoided = |entry: &&upstream_list::UpstreamEntry| {
            self.notices().is_avoided(now, &entry.name, permission)
        };
        if !open.iter().all(avoided) {
            open.retain(|entry| !avoided(entry));
        }
        open
    }

    /// Upstreams of a service that the list declares live but that are not [`Self::open`] now, among those with notices and
    /// those withheld by a recovery.
    pub fn closed<'a>(
        &'a self,
        now: units::MonoTime,
        service: &'a ids::ServiceId,
        permission: send_gate::ProbePermission,
    ) -> Vec<&'a ids::UpstreamId> {
        // The upstreams with notices and the withheld ones are few, and mostly none is of this service.
        let listed = |name: &&ids::UpstreamId| {
            let entry = self.entry(name).filter(|entry| entry.name == **name);
            entry.is_some_and(|entry| {
                entry.service == *service && entry.state == fleet_list::ListState::Live
            })
        };
        let named = self.notices().names().chain(&self.recovery.withheld);
        let mut closed: Vec<_> = named.filter(listed).collect();
        if !closed.is_empty() {
            let open = self.open(now, service, permission);
            closed.retain(|name| open.iter().all(|entry| entry.name != **name));
        }
        closed
    }

    /// Of the backoffs of a service's usable upstreams, the one that ends first.
    pub fn first_backoff_to_end(
        &self,
        now: units::MonoTime,
        service: &ids::ServiceId,
    ) -> Option<upstream_notice::BackoffNotice> {
        let usable = self.usable(service).into_iter();
        let backoffs = usable.filter_map(|entry| self.notices().backoff(now, &entry.name));
        backoffs.min_by_key(|backoff| backoff.until)
    }

    /// Whether something may be sent to an upstream now, whichever its present start is. New work requires the upstream to be
    /// usable, and a permit if it has announced a limit.
    pub fn permits(
        &self,
        now: units::MonoTime,
        name: &ids::UpstreamId,
        kind: send_gate::SendKind,
        permits: &[quota_permit::SendPermit],
    ) -> Result<(), send_gate::SendDenial> {
        use send_gate::SendKind;

        let present = self.entry(name).map_or(name, |entry| &entry.name);
        self.notices().permits(now, present, kind)?;
        let begins = matches!(kind, SendKind::Request | SendKind::Hold);
        let evacuated = self.entry(name).is_some_and(|entry| self.is_evacuated(entry));
        if evacuated && (begins || kind == SendKind::Report) {
            return Err(send_gate::SendDenial::Evacuated);
        }
        if begins && !self.is_usable(name) {
            return Err(send_gate::SendDenial::Unlisted);
        }
        let limit = self.notices().limit(present).filter(|_| begins);
        match limit.and_then(|limit| limit.reading.rate) {
            Some(rate) if !permits.iter().any(|permit| permit.is_valid(now, present)) => {
                Err(send_gate::SendDenial::Limited(rate))
            }
            _ => Ok(()),
        }
    }
}
