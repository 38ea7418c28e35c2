//! Which upstreams this instance may send to now: the list's answers that go by what upstreams have said.

use crate::{fleet_list, ids, send_leave, send_permit, units, upstream_list, upstream_notice};

impl upstream_list::UpstreamList {
    /// Upstreams of a service that this instance may send a request to now: usable ones that want no rest of
    /// it; and of these, where there are any, those that it need not avoid behind a rest.
    pub fn open<'a>(
        &'a self,
        now: units::MonoTime,
        service: &'a ids::ServiceId,
        turn: send_permit::TrialTurn,
    ) -> Vec<&'a upstream_list::UpstreamEntry> {
        let mut open = self.usable(service);
        open.retain(|entry| self.notices().rest(now, &entry.name).is_none());
        let avoided = |entry: &&upstream_list::UpstreamEntry| {
            self.notices().is_avoided(now, &entry.name, turn)
        };
        if !open.iter().all(avoided) {
            open.retain(|entry| !avoided(entry));
        }
        open
    }

    /// Upstreams of a service that the list names as live and that are not [`Self::open`] now.
    pub fn closed<'a>(
        &'a self,
        now: units::MonoTime,
        service: &'a ids::ServiceId,
        turn: send_permit::TrialTurn,
    ) -> Vec<&'a ids::UpstreamId> {
        // Few upstreams have said anything; mostly none of a service has.
        let listed = |name: &&ids::UpstreamId| {
            let entry = self.entry(name).filter(|entry| entry.name == **name);
            entry.is_some_and(|entry| {
                entry.service == *service && entry.state == fleet_list::ListState::Live
            })
        };
        let mut closed: Vec<_> = self.notices().names().filter(listed).collect();
        if !closed.is_empty() {
            let open = self.open(now, service, turn);
            closed.retain(|name| open.iter().all(|entry| entry.name != **name));
        }
        closed
    }

    /// When the first of a service's upstreams ends its rest, and how long a rest it had asked for; nothing
    /// where none that is usable rests.
    pub fn first_back(
        &self,
        now: units::MonoTime,
        service: &ids::ServiceId,
    ) -> Option<upstream_notice::RestNotice> {
        let usable = self.usable(service).into_iter();
        let rests = usable.filter_map(|entry| self.notices().rest(now, &entry.name));
        rests.min_by_key(|rest| rest.until)
    }

    /// Whether something may be sent to an upstream now, whichever its present start is. What begins work there
    /// needs it to be listed, and leave where it has a limit.
    pub fn permits(
        &self,
        now: units::MonoTime,
        name: &ids::UpstreamId,
        kind: send_permit::SendKind,
        leaves: &[send_leave::SendLeave],
    ) -> Result<(), send_permit::KeptBack> {
        use send_permit::SendKind;

        let present = self.entry(name).map_or(name, |entry| &entry.name);
        self.notices().permits(now, present, kind)?;
        let begins = matches!(kind, SendKind::Request | SendKind::Hold);
        let evacuated = self.entry(name).is_some_and(|entry| self.is_evacuated(entry));
        if evacuated && (begins || kind == SendKind::Report) {
            return Err(send_permit::KeptBack::Evacuated);
        }
        if begins && !self.is_usable(name) {
            return Err(send_permit::KeptBack::Unlisted);
        }
        let limit = self.notices().limit(present).filter(|_| begins);
        match limit.and_then(|limit| limit.word.rate) {
            Some(rate) if !leaves.iter().any(|leave| leave.is_good(now, present)) => {
                Err(send_permit::KeptBack::Limited(rate))
            }
            _ => Ok(()),
        }
    }
}
