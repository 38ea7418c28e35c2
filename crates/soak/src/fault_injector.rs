//! A fleet that faults strike, and what was noted of them.

use std::{
    collections, ops, sync, thread,
    time::{Duration, Instant},
};

use slipturn_platform_standin::{
    fleet::Fleet,
    proxy::{LinkMode, Proxy},
    runner::{RunnerMode, TurnAway},
    store::StoreMode,
};

use crate::{
    config_probe,
    evidence::{Disturbance, Evidence, LinkFault, UpstreamListing},
    fault_plan::{Fault, PlannedFault},
    store_drill,
};

/// Time from SIGTERM within which an instance has ended.
pub(crate) const STOP_GRACE_PERIOD: Duration = Duration::from_secs(8);
/// Time after a disturbance that still counts as disturbed: the platform's bound.
const RECOVERY_MARGIN: Duration = Duration::from_millis(3_000);

/// What another writer writes: no code of any text, no entry, an entry of nobody.
const INVALID_ENTRIES: [&str; 4] = ["!", "e30=", "[[[[", r#"{"service":"plain","address":7}"#];

/// What ends a fault.
#[derive(Debug, Clone, Copy)]
pub(crate) enum FaultEnd {
    Start(u8),
    Continue(u8),
    StoreGood,
    StoreLinkGood(Option<u8>),
    MemberLinkGood(u8),
    UpstreamGood(u8),
    UpstreamLinkGood(u8),
    Return(u8),
    Restart(u8),
    RestOver(u8),
    LimitOver(u8),
    Restore(u8),
    Warm(u8),
    StoreReturn(Duration, Duration),
    Rewrite,
}

/// A fleet with its faults.
pub(crate) struct FaultInjector {
    /// The fleet.
    pub(crate) fleet: Fleet,
    /// What has been seen.
    pub(crate) evidence: Evidence,
    /// Configurations so far.
    pub(crate) published: config_probe::PublicationLog,
    /// Faults as they struck, for whoever looks for a cause.
    pub(crate) fault_log: Vec<String>,
    /// Faults that have not ended.
    ends: Vec<(Instant, FaultEnd)>,
    /// Losses of contact by instances that were told to end, until they are started again.
    stopping: collections::HashMap<u8, usize>,
    /// Copies of the store, where the plan has drills.
    copies: Option<store_drill::CopyLog>,
}

impl FaultInjector {
    /// A fleet that nothing has struck.
    pub(crate) fn new(fleet: Fleet) -> Self {
        Self {
            fleet,
            evidence: Evidence::new(),
            published: config_probe::PublicationLog::default(),
            fault_log: Vec::new(),
            ends: Vec::new(),
            stopping: collections::HashMap::new(),
            copies: None,
        }
    }

    /// The first upstream of the plain service.
    pub(crate) fn first_plain(&self) -> u8 {
        self.fleet.engines.len() as u8
    }

    /// Lets all faults of a plan strike and end in their time.
    pub(crate) fn inject_all(&mut self, plan: &[PlannedFault], length: Duration) {
        if plan.iter().any(|planned| matches!(planned.fault, Fault::Evacuate(_))) {
            self.isolate_data_centers();
        }
        if plan.iter().any(|planned| matches!(planned.fault, Fault::Drill { .. })) {
            self.copies = Some(store_drill::CopyLog::default());
        }
        let started = Instant::now();
        let mut next = plan.iter().peekable();
        while started.elapsed() < length {
            while let Some(planned) = next.next_if(|planned| planned.at <= started.elapsed()) {
                self.inject(planned);
            }
            self.end_due(Instant::now());
            if let Some(copies) = &mut self.copies {
                copies.take(Instant::now(), &self.fleet.store);
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.end_drills();
    }

    /// Ends drills at once, and writes again what they lost: until then the store lacks what was published.
    fn end_drills(&mut self) {
        let is_drill =
            |end: &FaultEnd| matches!(end, FaultEnd::StoreReturn(..) | FaultEnd::Rewrite);
        while let Some(index) = self.ends.iter().position(|(_, end)| is_drill(end)) {
            let (_, end) = self.ends.remove(index);
            self.end(end);
        }
    }

    fn inject(&mut self, planned: &PlannedFault) {
        let now = Instant::now();
        let until = now + planned.length;
        self.fault_log
            .push(format!("{:>6.2} s: {planned}", self.evidence.seconds_since_start(now)));
        match planned.fault {
            Fault::Kill(number) => self.kill(number, until),
            Fault::KillAll => {
                for number in 0..self.fleet.instances.len() as u8 {
                    self.kill(number, until);
                }
            }
            Fault::Stop(number) => self.stop(number),
            Fault::Reload(number) => self.fleet.signal(number, "HUP"),
            Fault::Pause(number) => {
                self.record_disturbance(Some(number), until);
                self.fleet.signal(number, "STOP");
                self.ends.push((until, FaultEnd::Continue(number)));
            }
            Fault::Store(mode) => {
                self.record_contact_loss(None, until);
                self.fleet.store.set_mode(mode);
                self.ends.push((until, FaultEnd::StoreGood));
            }
            Fault::Drill { age_ms, rewrite_ms } => {
                self.record_contact_loss(None, until);
                self.fleet.store.set_mode(StoreMode::Reset);
                let [age, rewrite] = [age_ms, rewrite_ms].map(Duration::from_millis);
                self.ends.push((until, FaultEnd::StoreReturn(age, rewrite)));
            }
            Fault::Forget => self.fleet.store.forget(),
            Fault::Publish => self.publish(),
            Fault::Upstream(number, mode) => {
                self.fleet.runners()[usize::from(number)].set_mode(mode);
                self.record_external_fault(until);
                self.ends.push((until, FaultEnd::UpstreamGood(number)));
            }
            Fault::Leave(number) => self.leave(number, until),
            Fault::Evacuate(number) => self.evacuate(number, until),
            Fault::Cool(number) => {
                let engine = self.fleet.runners()[usize::from(number)].clone();
                self.fleet.cold.insert(engine.name.clone(), planned.length.as_millis() as u64);
                self.list(number, false);
                self.ends.push((until, FaultEnd::Warm(number)));
            }
            Fault::Restart(number) => {
                self.restart(number);
                self.record_external_fault(until);
                self.ends.push((until, FaultEnd::Return(number)));
            }
            Fault::SayLeaving(number) => {
                self.fleet.runners()[usize::from(number)].say_leaving(true);
                self.ends.push((until, FaultEnd::Restart(number)));
            }
            Fault::AskRest(number, millis) => {
                let seconds = format!("{:.3}", millis as f64 / 1_000.0);
                let how = Some(TurnAway::for_seconds(&seconds));
                self.fleet.runners()[usize::from(number)].turn_away(how);
                self.record_external_fault(until);
                self.ends.push((until, FaultEnd::RestOver(number)));
            }
            Fault::NameLimit(number, thousandths) => {
                let rate = f64::from(thousandths) / 1_000.0;
                self.fleet.runners()[usize::from(number)].name_limit(&rate.to_string());
                self.record_external_fault(until);
                self.ends.push((until, FaultEnd::LimitOver(number)));
            }
            Fault::Overwrite(number) => {
                self.overwrite_entry(number);
                self.ends.push((until, FaultEnd::Return(number)));
            }
            Fault::Litter(number) => self.write_invalid_entry(number),
            link => self.inject_link_fault(link, until),
        }
    }

    /// Strikes a link, or the connections that are open on it.
    fn inject_link_fault(&mut self, fault: Fault, until: Instant) {
        let all = 0..self.fleet.instances.len() as u8;
        match fault {
            Fault::StoreLink(mode) => {
                self.record_contact_loss(None, until);
                self.set_store_links(all, mode);
                self.ends.push((until, FaultEnd::StoreLinkGood(None)));
            }
            Fault::StoreLinkOf(number, mode) => {
                self.record_contact_loss(Some(number), until);
                self.set_store_links(number..number + 1, mode);
                self.ends.push((until, FaultEnd::StoreLinkGood(Some(number))));
            }
            Fault::MemberLink(number, mode) => {
                self.record_contact_loss(Some(number), until);
                self.fleet.member_links[usize::from(number)].set_mode(mode);
                self.ends.push((until, FaultEnd::MemberLinkGood(number)));
            }
            Fault::UpstreamLink(number, mode) => {
                self.fleet.links[usize::from(number)].set_mode(mode);
                self.record_link_fault(number, until);
                self.record_external_fault(until);
                self.ends.push((until, FaultEnd::UpstreamLinkGood(number)));
            }
            silence => self.silence(silence),
        }
    }

    /// Lets open connections fall silent, which counts as a reset of all instances' connections.
    fn silence(&mut self, fault: Fault) {
        let now = Instant::now();
        self.record_contact_loss(None, now);
        let fleet = &self.fleet;
        let (store, members, upstreams) = match fault {
            Fault::SilenceStore(number) => {
                (select_links(&fleet.store_links, number), &[][..], &[][..])
            }
            Fault::SilenceMembers(number) => {
                (&[][..], select_links(&fleet.member_links, number), &[][..])
            }
            Fault::SilenceUpstream(number) => {
                (&[][..], &[][..], select_links(&fleet.links, Some(number)))
            }
            Fault::SilenceAll => {
                (&fleet.store_links[..], &fleet.member_links[..], &fleet.links[..])
            }
            _ => return,
        };
        store.iter().chain(members).chain(upstreams).for_each(|link| link.silence_open());
        let numbers = match fault {
            Fault::SilenceUpstream(number) => number..number + 1,
            Fault::SilenceAll => 0..self.fleet.links.len() as u8,
            _ => return,
        };
        numbers.for_each(|number| self.record_link_fault(number, now));
        self.record_external_fault(now);
    }

    /// Ends what is due, and starts again what has ended.
    pub(crate) fn end_due(&mut self, now: Instant) {
        let (due, later): (Vec<_>, Vec<_>) = self.ends.drain(..).partition(|(at, _)| *at <= now);
        self.ends = later;
        for (at, end) in due {
            self.evidence
                .extend_to_actual_end(at + RECOVERY_MARGIN, Instant::now() + RECOVERY_MARGIN);
            self.end(end);
        }
        for number in 0..self.fleet.instances.len() as u8 {
            // One that was asked to end and has is started again.
            if self.fleet.wait_end(number, Duration::from_millis(1)).is_some() {
                self.end(FaultEnd::Start(number));
            }
        }
    }

    /// Ends all faults.
    pub(crate) fn end_all(&mut self) {
        let ends: Vec<_> = self.ends.drain(..).collect();
        ends.into_iter().for_each(|(_, end)| self.end(end));
    }

    /// Ends a fault.
    pub(crate) fn end(&mut self, end: FaultEnd) {
        let now = Instant::now();
        self.fault_log
            .push(format!("{:>6.2} s: end, {end:?}", self.evidence.seconds_since_start(now)));
        match end {
            FaultEnd::Start(number) => self.start(number),
            FaultEnd::Continue(number) => {
                self.fleet.signal(number, "CONT");
                self.record_contact_loss(Some(number), now);
            }
            FaultEnd::StoreGood => {
                self.fleet.store.set_mode(StoreMode::Good);
                self.record_contact_loss(None, now);
            }
            FaultEnd::StoreReturn(age, rewrite) => {
                if let Some(copies) = &self.copies {
                    copies.return_from(now, age, &self.fleet.store);
                }
                self.record_contact_loss(None, now + rewrite);
                self.ends.push((now + rewrite, FaultEnd::Rewrite));
            }
            FaultEnd::Rewrite => self.fleet.store.write_again(),
            FaultEnd::StoreLinkGood(None) => {
                self.set_store_links(0..self.fleet.instances.len() as u8, LinkMode::Good);
                self.record_contact_loss(None, now);
            }
            FaultEnd::StoreLinkGood(Some(number)) => {
                self.set_store_links(number..number + 1, LinkMode::Good);
                self.record_contact_loss(Some(number), now);
            }
            FaultEnd::MemberLinkGood(number) => {
                self.fleet.member_links[usize::from(number)].set_mode(LinkMode::Good);
                self.record_contact_loss(Some(number), now);
            }
            FaultEnd::UpstreamGood(number) => {
                self.fleet.runners()[usize::from(number)].set_mode(RunnerMode::Good);
            }
            FaultEnd::UpstreamLinkGood(number) => {
                self.fleet.links[usize::from(number)].set_mode(LinkMode::Good);
                self.record_link_fault(number, now);
            }
            FaultEnd::Return(number) => self.list(number, false),
            FaultEnd::Restore(number) => {
                self.fleet.evacuate(&data_center_of(usize::from(number)), false);
                let listing =
                    UpstreamListing { upstream: number, leaving: false, at: Instant::now() };
                self.evidence.listings.push(listing);
            }
            FaultEnd::Warm(number) => {
                let name = self.fleet.runners()[usize::from(number)].name.clone();
                self.fleet.cold.remove(&name);
                self.list(number, false);
            }
            FaultEnd::Restart(number) => {
                // Another start has said nothing; what ran at the one before is lost.
                self.restart(number);
                self.record_external_fault(now);
                self.list(number, false);
            }
            FaultEnd::LimitOver(number) => {
                self.fleet.runners()[usize::from(number)].name_limit("");
            }
            FaultEnd::RestOver(number) => {
                self.fleet.runners()[usize::from(number)].turn_away(None);
            }
        }
    }

    fn start(&mut self, number: u8) {
        if self.fleet.pid(number).is_some() {
            return;
        }
        self.evidence.starts.push((number, Instant::now()));
        if let Err(error) = self.fleet.start_instance(number) {
            self.evidence.violations.push(format!("instance {number} does not start: {error}"));
        }
        // On a busy machine the start itself takes a while.
        let now = Instant::now();
        self.record_contact_loss(Some(number), now);
        if let Some(stop) = self.stopping.remove(&number) {
            self.evidence.contact_losses[stop].to = now + RECOVERY_MARGIN;
        }
    }

    fn stop(&mut self, number: u8) {
        let now = Instant::now();
        let stop = Disturbance { instance: Some(number), from: now, to: now + STOP_GRACE_PERIOD };
        self.evidence.planned_stops.push(stop);
        self.stopping.insert(number, self.evidence.contact_losses.len());
        self.record_contact_loss(Some(number), now + STOP_GRACE_PERIOD);
        self.fleet.signal(number, "TERM");
    }

    fn kill(&mut self, number: u8, until: Instant) {
        self.record_disturbance(Some(number), until);
        self.fleet.kill(number);
        self.ends.push((until, FaultEnd::Start(number)));
    }

    /// Starts an upstream again.
    fn restart(&mut self, number: u8) {
        self.evidence.upstream_restarts.push((number, Instant::now()));
        self.fleet.runners()[usize::from(number)].restart();
    }

    fn leave(&mut self, number: u8, until: Instant) {
        self.list(number, true);
        // A start that has said that it leaves is not ready again after a drill.
        let end = match self.copies {
            Some(_) => FaultEnd::Restart(number),
            None => FaultEnd::Return(number),
        };
        self.ends.push((until, end));
    }

    /// Puts each upstream into a data centre of its own, away from the instances.
    fn isolate_data_centers(&mut self) {
        for (number, runner) in self.fleet.runners().into_iter().enumerate() {
            self.fleet.zones.insert(runner.name.clone(), data_center_of(number));
        }
        self.fleet.list_all();
    }

    /// Evacuates the data centre of an upstream; like one that leaves it must get no more work in time.
    fn evacuate(&mut self, number: u8, until: Instant) {
        self.fleet.evacuate(&data_center_of(usize::from(number)), true);
        let listing = UpstreamListing { upstream: number, leaving: true, at: Instant::now() };
        self.evidence.listings.push(listing);
        self.ends.push((until, FaultEnd::Restore(number)));
    }

    /// Another writer's entry stands where an upstream's did: it names nobody to use.
    fn overwrite_entry(&mut self, number: u8) {
        let name = self.fleet.runners()[usize::from(number)].name.clone();
        let invalid = INVALID_ENTRIES[usize::from(number) % INVALID_ENTRIES.len()];
        self.fleet.store.put_raw(&format!("servers/{name}"), serde_json::json!(invalid));
        let listing = UpstreamListing { upstream: number, leaving: true, at: Instant::now() };
        self.evidence.listings.push(listing);
    }

    /// Writes an entry that names nobody under a key of its own.
    fn write_invalid_entry(&self, number: u8) {
        let invalid = INVALID_ENTRIES[usize::from(number) % INVALID_ENTRIES.len()];
        let key = format!("servers/odd-{number}");
        if number.is_multiple_of(2) {
            self.fleet.store.put_raw(&key, serde_json::json!(invalid));
        } else {
            self.fleet.store.put(&key, Some(invalid.to_owned()));
        }
    }

    /// Lists an upstream as leaving, or as ready.
    pub(crate) fn list(&mut self, number: u8, leaving: bool) {
        let index = usize::from(number);
        let state = if leaving { "draining" } else { "ready" };
        self.fleet.list(&self.fleet.runners()[index], self.fleet.service(index), state);
        let listing = UpstreamListing { upstream: number, leaving, at: Instant::now() };
        self.evidence.listings.push(listing);
    }

    /// Publishes the next configuration.
    pub(crate) fn publish(&mut self) {
        self.published.publish(&mut self.fleet);
    }

    fn set_store_links(&self, numbers: ops::Range<u8>, mode: LinkMode) {
        for number in numbers {
            self.fleet.store_links[usize::from(number)].set_mode(mode);
        }
    }

    /// Notes that an instance, or all, is out of contact until some time, and a while longer.
    fn record_contact_loss(&mut self, instance: Option<u8>, until: Instant) {
        let lost = Disturbance { instance, from: Instant::now(), to: until + RECOVERY_MARGIN };
        self.evidence.contact_losses.push(lost);
    }

    fn record_link_fault(&mut self, upstream: u8, until: Instant) {
        let trouble = LinkFault { upstream, from: Instant::now(), to: until + RECOVERY_MARGIN };
        self.evidence.link_faults.push(trouble);
    }

    fn record_disturbance(&mut self, instance: Option<u8>, until: Instant) {
        self.record_contact_loss(instance, until);
        let disturbance =
            Disturbance { instance, from: Instant::now(), to: until + RECOVERY_MARGIN };
        self.evidence.unplanned_outages.push(disturbance);
    }

    fn record_external_fault(&mut self, until: Instant) {
        let disturbance =
            Disturbance { instance: None, from: Instant::now(), to: until + RECOVERY_MARGIN };
        self.evidence.external_faults.push(disturbance);
    }
}

/// The link of one number, or all.
fn select_links(links: &[sync::Arc<Proxy>], number: Option<u8>) -> &[sync::Arc<Proxy>] {
    number.map_or(links, |number| &links[usize::from(number)..][..1])
}

/// The data centre of an upstream by its number.
fn data_center_of(number: usize) -> String {
    format!("zone-{number}")
}
