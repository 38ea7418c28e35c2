//! Injects faults into a running fleet and records the periods that they disturb.

use std::{
    collections, ops, sync, thread,
    time::{Duration, Instant},
};

use slipturn_platform_standin::{
    engine_speed::EngineSpeed,
    fleet::Fleet,
    proxy::{LinkMode, Proxy},
    runner::{Rejection, RunnerMode},
    store::StoreMode,
};

use crate::{
    config_probe, engine_plan,
    evidence::{
        Disturbance, Evidence, InstancePartition, LinkFault, RECOVERY_MARGIN, UpstreamListing,
    },
    fault_plan::{Fault, PartitionScope, PlannedFault},
    late_traffic, process_watch, return_plan, store_drill,
    traffic::SentRequest,
};

/// Time from SIGTERM within which an instance must exit.
pub(crate) const STOP_GRACE_PERIOD: Duration = Duration::from_secs(8);

/// Entries that another writer may leave in the store and that list no usable upstream: invalid
/// encodings, an empty object and an entry with a malformed address.
const INVALID_ENTRIES: [&str; 4] = ["!", "e30=", "[[[[", r#"{"service":"plain","address":7}"#];

/// Depth of an entry that is nested deeply.
const NESTING: usize = 20_000;

/// Action that ends a fault. The names are written to the fault log.
#[derive(Debug, Clone, Copy)]
pub(crate) enum FaultEnd {
    /// Starts an instance again after a kill or a planned stop.
    Start(u8),
    /// Sends SIGCONT to an instance that SIGSTOP has paused.
    Continue(u8),
    /// Makes the store work again after a failure mode.
    StoreGood,
    /// Makes the link from one instance to the store work again, or those of all instances for
    /// `None`.
    StoreLinkGood(Option<u8>),
    /// Makes the link on which members fetch the routes and the list of upstreams from an instance
    /// work again.
    MemberLinkGood(u8),
    /// Makes an upstream work again.
    UpstreamGood(u8),
    /// Makes the link to an upstream work again.
    UpstreamLinkGood(u8),
    /// Makes the links from an instance to all upstreams work again.
    Reunite(u8),
    /// Lets the streams of an engine have chunks again.
    Framed(u8),
    /// Lets an engine work at the published speed.
    Published(u8),
    /// Lists an upstream as ready, after it was listed as leaving, has restarted, or its entry was
    /// overwritten.
    Return(u8),
    /// Restarts an upstream and lists it as ready.
    Restart(u8),
    /// Lets an upstream accept requests again.
    RestOver(u8),
    /// Stops an upstream from announcing a rate limit.
    LimitOver(u8),
    /// Ends the evacuation of the data centre of an upstream.
    Restore(u8),
    /// Lists an engine as no longer cold.
    Warm(u8),
    /// Restores the store from a copy whose age is the first duration, and plans
    /// [`Self::Rewrite`] for after the second duration.
    StoreReturn(Duration, Duration),
    /// Writes the entries again that the store lost in the restore.
    Rewrite,
    /// Lists all upstreams again after a loss of power.
    PowerBack,
    /// Lets the store answer all reads.
    ReadsUnlimited,
    /// Makes an upstream get no further requests.
    Withhold(u8, return_plan::WithheldState),
    /// Crashes an upstream.
    Crash(u8),
    /// Lets an upstream that has crashed be used as before.
    CrashOver(u8),
}

/// A fleet, the faults in force and the evidence recorded so far.
pub(crate) struct FaultInjector {
    pub(crate) fleet: Fleet,
    /// Observations of the run so far, and the periods that faults disturbed.
    pub(crate) evidence: Evidence,
    /// Configurations published so far.
    pub(crate) publication_log: config_probe::PublicationLog,
    /// Lines of the fault log: starts and ends of faults with their times.
    pub(crate) fault_log: Vec<String>,
    /// Pending ends of faults with the time at which each is due.
    pub(crate) ends: Vec<(Instant, FaultEnd)>,
    /// Index in [`Evidence::contact_losses`] of the loss that a planned stop causes, by number of
    /// the instance, until the instance is started again.
    stop_losses: collections::HashMap<u8, usize>,
    /// Recent copies of the store, if the plan has drills (restores of the store from a copy).
    copy_log: Option<store_drill::CopyLog>,
    pub(crate) process_watch: process_watch::ProcessWatch,
    /// Clients of instances that stop.
    late_clients: Vec<thread::JoinHandle<Vec<SentRequest>>>,
}

impl FaultInjector {
    /// Creates an injector for a fleet without faults.
    pub(crate) fn new(fleet: Fleet) -> Self {
        Self {
            fleet,
            evidence: Evidence::new(),
            publication_log: config_probe::PublicationLog::default(),
            fault_log: Vec::new(),
            ends: Vec::new(),
            stop_losses: collections::HashMap::new(),
            copy_log: None,
            process_watch: process_watch::ProcessWatch::default(),
            late_clients: Vec::new(),
        }
    }

    /// Returns the lowest number of the upstreams of the plain service, which run no model.
    pub(crate) fn first_plain(&self) -> u8 {
        self.fleet.engines.len() as u8
    }

    /// Injects and ends the faults of a plan at their times, for `length`.
    pub(crate) fn inject_all(&mut self, plan: &[PlannedFault], length: Duration) {
        if plan.iter().any(|planned| matches!(planned.fault, Fault::Evacuate(_))) {
            self.isolate_data_centers();
        }
        if plan.iter().any(|planned| matches!(planned.fault, Fault::Drill { .. })) {
            self.copy_log = Some(store_drill::CopyLog::default());
        }
        let started = Instant::now();
        let mut next = plan.iter().peekable();
        while started.elapsed() < length {
            while let Some(planned) = next.next_if(|planned| planned.at <= started.elapsed()) {
                self.inject(planned);
            }
            self.end_due(Instant::now());
            if let Some(copy_log) = &mut self.copy_log {
                copy_log.copy_if_due(Instant::now(), &self.fleet.store);
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.end_drills();
    }

    /// Ends pending drills now, before they are due, and writes lost entries again, so that the store
    /// has every published configuration.
    fn end_drills(&mut self) {
        let is_drill =
            |end: &FaultEnd| matches!(end, FaultEnd::StoreReturn(..) | FaultEnd::Rewrite);
        while let Some(index) = self.ends.iter().position(|(_, end)| is_drill(end)) {
            let (_, end) = self.ends.remove(index);
            self.end(end);
        }
    }

    /// Injects a fault now and records the periods that it disturbs.
    pub(crate) fn inject(&mut self, planned: &PlannedFault) {
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
            Fault::StopLate(number, seed) => self.stop_late(number, seed),
            Fault::Reload(number) => self.fleet.signal(number, "HUP"),
            Fault::Pause(number) => {
                self.record_outage(Some(number), until);
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
            Fault::Forget => self.fleet.store.drop_history(),
            Fault::Publish => self.publish(),
            Fault::Upstream(number, mode) => {
                self.fleet.runners()[usize::from(number)].set_mode(mode);
                self.record_external_fault(until);
                self.ends.push((until, FaultEnd::UpstreamGood(number)));
                if matches!(mode, RunnerMode::Cut(_)) {
                    // The upstream may have crashed, and its entry is to name its present start.
                    self.ends.push((until, FaultEnd::Return(number)));
                }
            }
            Fault::Leave(number) => self.leave(number, until),
            Fault::Evacuate(number) => self.evacuate(number, until),
            Fault::Cool(number) => {
                let engine = self.fleet.runners()[usize::from(number)].clone();
                self.fleet.cold_ms.insert(engine.name.clone(), planned.length.as_millis() as u64);
                self.list(number, false);
                self.ends.push((until, FaultEnd::Warm(number)));
            }
            Fault::Restart(number) => {
                self.restart(number);
                self.record_external_fault(until);
                self.ends.push((until, FaultEnd::Return(number)));
            }
            Fault::SayLeaving(number) => {
                self.fleet.runners()[usize::from(number)].announce_leaving(true);
                self.ends.push((until, FaultEnd::Restart(number)));
            }
            Fault::AskRest(number, millis) => {
                let seconds = format!("{:.3}", millis as f64 / 1_000.0);
                let rejection = Some(Rejection::with_retry_after(&seconds));
                self.fleet.runners()[usize::from(number)].set_rejection(rejection);
                self.record_external_fault(until);
                self.ends.push((until, FaultEnd::RestOver(number)));
            }
            Fault::NameLimit(number, thousandths) => {
                let rate = f64::from(thousandths) / 1_000.0;
                self.fleet.runners()[usize::from(number)].announce_limit(&rate.to_string());
                self.record_external_fault(until);
                self.ends.push((until, FaultEnd::LimitOver(number)));
            }
            Fault::Overwrite(number) => {
                self.overwrite_entry(number);
                self.ends.push((until, FaultEnd::Return(number)));
            }
            Fault::Litter(number) => self.write_invalid_entry(number),
            Fault::OddEntry(number) => self.write_odd_entry(number),
            Fault::PowerLoss(_) => self.lose_power(until),
            Fault::LimitReads(limit) => self.limit_reads(limit, until),
            Fault::CrashUnframed(number, state) => self.crash_unframed(number, state, until),
            link_fault => self.inject_link_fault(link_fault, until),
        }
    }

    /// Injects a fault of a link, or silences the connections open on it.
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
                self.fleet.runner_links[usize::from(number)].set_mode(mode);
                self.record_link_fault(number, until);
                self.record_external_fault(until);
                self.ends.push((until, FaultEnd::UpstreamLinkGood(number)));
            }
            Fault::Partition(number, scope, mode) => self.partition(number, scope, mode, until),
            Fault::Unframed(number) => {
                self.fleet.engines[usize::from(number)].set_unframed_streams(true);
                self.ends.push((until, FaultEnd::Framed(number)));
            }
            Fault::Slow(number, pace) => {
                self.record_external_fault(until);
                self.set_pace(number, f64::from(pace));
                self.ends.push((until, FaultEnd::Published(number)));
            }
            silence_fault => self.silence(silence_fault),
        }
    }

    /// Silences the open connections that a fault names, and records a loss of contact of all
    /// instances at this moment.
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
                (&[][..], &[][..], select_links(&fleet.runner_links, Some(number)))
            }
            Fault::SilenceAll => {
                (&fleet.store_links[..], &fleet.member_links[..], &fleet.runner_links[..])
            }
            _ => return,
        };
        store
            .iter()
            .chain(members)
            .chain(upstreams)
            .for_each(|link| link.silence_open_connections());
        let numbers = match fault {
            Fault::SilenceUpstream(number) => number..number + 1,
            Fault::SilenceAll => 0..self.fleet.runner_links.len() as u8,
            _ => return,
        };
        numbers.for_each(|number| self.record_link_fault(number, now));
        self.record_external_fault(now);
    }

    /// Ends the faults that are due, and restarts instances that have exited.
    pub(crate) fn end_due(&mut self, now: Instant) {
        let (due, later): (Vec<_>, Vec<_>) = self.ends.drain(..).partition(|(at, _)| *at <= now);
        self.ends = later;
        self.watch_memory(now);
        for (at, end) in due {
            self.evidence
                .extend_to_actual_end(at + RECOVERY_MARGIN, Instant::now() + RECOVERY_MARGIN);
            self.end(end);
        }
        for number in 0..self.fleet.instances.len() as u8 {
            // Starts an instance that exited after SIGTERM or in a crash; an instance that was
            // killed is started again by its pending `FaultEnd::Start`.
            if let Some(status) = self.fleet.wait_for_status(number, Duration::from_millis(1)) {
                if !self.stop_losses.contains_key(&number) {
                    let violation = format!("instance {number} ended by itself, {status}");
                    self.evidence.violations.push(violation);
                }
                self.end(FaultEnd::Start(number));
            }
        }
    }

    /// Ends all pending faults now, also those that are not due yet.
    pub(crate) fn end_all(&mut self) {
        let ends: Vec<_> = self.ends.drain(..).collect();
        ends.into_iter().for_each(|(_, end)| self.end(end));
    }

    /// Ends a fault and logs its end.
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
                if let Some(copy_log) = &self.copy_log {
                    copy_log.restore_copy(now, age, &self.fleet.store);
                }
                self.record_contact_loss(None, now + rewrite);
                self.ends.push((now + rewrite, FaultEnd::Rewrite));
            }
            FaultEnd::Rewrite => self.fleet.store.rewrite_lost(),
            FaultEnd::PowerBack => self.list_upstreams(),
            FaultEnd::ReadsUnlimited => {
                self.fleet.store.set_read_limit(None);
                self.record_contact_loss(None, now);
            }
            FaultEnd::Withhold(number, state) => self.withhold(number, state),
            FaultEnd::Crash(number) => self.crash(number),
            FaultEnd::CrashOver(number) => self.end_crash(number),
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
                self.fleet.runner_links[usize::from(number)].set_mode(LinkMode::Good);
                self.record_link_fault(number, now);
            }
            FaultEnd::Reunite(number) => {
                self.fleet.partition(number, None);
                let mut partitions = self.evidence.partitions.iter_mut();
                if let Some(last) = partitions.rfind(|partition| partition.instance == number) {
                    last.to = now;
                }
            }
            FaultEnd::Framed(number) => {
                self.fleet.engines[usize::from(number)].set_unframed_streams(false);
            }
            FaultEnd::Published(number) => self.set_pace(number, 1.0),
            FaultEnd::Return(number) => self.list(number, false),
            FaultEnd::Restore(number) => {
                self.fleet.evacuate(&data_center_of(usize::from(number)), false);
                let listing =
                    UpstreamListing { upstream: number, leaving: false, at: Instant::now() };
                self.evidence.listings.push(listing);
            }
            FaultEnd::Warm(number) => {
                let name = self.fleet.runners()[usize::from(number)].name.clone();
                self.fleet.cold_ms.remove(&name);
                self.list(number, false);
            }
            FaultEnd::Restart(number) => {
                // Failures are excused, as the restart loses running requests; what the upstream
                // announced before the restart no longer applies.
                self.restart(number);
                self.record_external_fault(now);
                self.list(number, false);
            }
            FaultEnd::LimitOver(number) => {
                self.fleet.runners()[usize::from(number)].announce_limit("");
            }
            FaultEnd::RestOver(number) => {
                self.fleet.runners()[usize::from(number)].set_rejection(None);
            }
        }
    }

    fn set_pace(&self, number: u8, pace: f64) {
        let speed = EngineSpeed { pace, ..engine_plan::speed() };
        self.fleet.engines[usize::from(number)].set_engine_speed(Some(speed));
    }

    /// Starts an instance, unless it runs, and records the restart.
    fn start(&mut self, number: u8) {
        if self.fleet.pid(number).is_some() {
            return;
        }
        self.evidence.instance_restarts.push((number, Instant::now()));
        if let Err(error) = self.fleet.start_instance(number) {
            self.evidence.violations.push(format!("instance {number} does not start: {error}"));
        }
        // The loss of contact is recorded only when the start is over: the start may take long on a
        // busy host and must not use up the margin for recovery.
        let now = Instant::now();
        self.record_contact_loss(Some(number), now);
        if let Some(index) = self.stop_losses.remove(&number) {
            self.evidence.contact_losses[index].to = now + RECOVERY_MARGIN;
        }
    }

    /// Partitions an instance from upstreams until `until`, unless it is partitioned already.
    fn partition(&mut self, number: u8, scope: PartitionScope, mode: LinkMode, until: Instant) {
        let is_same = |end: &FaultEnd| matches!(end, FaultEnd::Reunite(other) if *other == number);
        if self.ends.iter().any(|(_, end)| is_same(end)) {
            return;
        }
        let engines = self.first_plain();
        for (upstream, link) in (0..).zip(&self.fleet.runner_links) {
            if scope.contains(upstream, engines) {
                link.set_instance_mode(number, Some(mode));
                self.evidence.link_faults.push(link_fault(Some(number), upstream, until));
            }
        }
        let from = Instant::now();
        let disturbance = Disturbance { instance: Some(number), from, to: until + RECOVERY_MARGIN };
        self.evidence.external_faults.push(disturbance);
        self.evidence.partitions.push(InstancePartition { instance: number, from, to: until });
        self.ends.push((until, FaultEnd::Reunite(number)));
    }

    /// Sends SIGTERM to an instance and records the planned stop, which is also a loss of contact.
    fn stop(&mut self, number: u8) {
        let now = Instant::now();
        let disturbance =
            Disturbance { instance: Some(number), from: now, to: now + STOP_GRACE_PERIOD };
        self.evidence.planned_stops.push(disturbance);
        self.stop_losses.insert(number, self.evidence.contact_losses.len());
        self.record_contact_loss(Some(number), now + STOP_GRACE_PERIOD);
        self.fleet.signal(number, "TERM");
    }

    /// Stops an instance by plan while clients use it until its process is gone, unless it is down.
    pub(crate) fn stop_late(&mut self, number: u8, seed: u64) {
        if self.fleet.pid(number).is_none() {
            return;
        }
        let address = self.fleet.caller_address(number);
        self.late_clients.extend(late_traffic::start(number, address, seed));
        self.stop(number);
    }

    /// Waits for the clients of instances that stop, and adds their requests to the evidence.
    pub(crate) fn finish_late_clients(&mut self) {
        let clients = self.late_clients.drain(..);
        let sent = clients.filter_map(|client| client.join().ok()).flatten();
        self.evidence.sent.extend(sent);
    }

    /// Kills an instance, which is started again at `until`.
    pub(crate) fn kill(&mut self, number: u8, until: Instant) {
        self.record_outage(Some(number), until);
        self.fleet.kill(number);
        self.ends.push((until, FaultEnd::Start(number)));
    }

    /// Restarts an upstream and records the restart.
    pub(crate) fn restart(&mut self, number: u8) {
        self.evidence.upstream_restarts.push((number, Instant::now()));
        self.fleet.runners()[usize::from(number)].restart();
    }

    /// Lists an upstream as leaving until `until`.
    fn leave(&mut self, number: u8, until: Instant) {
        self.list(number, true);
        // With drills, the upstream must restart: after the store has been restored from a copy, a
        // process that was listed as leaving does not become ready again.
        let end = match self.copy_log {
            Some(_) => FaultEnd::Restart(number),
            None => FaultEnd::Return(number),
        };
        self.ends.push((until, end));
    }

    /// Lists each upstream in a data centre of its own, apart from the instances.
    fn isolate_data_centers(&mut self) {
        for (number, runner) in self.fleet.runners().into_iter().enumerate() {
            self.fleet.data_centers.insert(runner.name.clone(), data_center_of(number));
        }
        self.fleet.list_all();
    }

    /// Evacuates the data centre of an upstream and records the upstream as leaving: the time
    /// within which it may still get requests is that of an upstream listed as leaving.
    fn evacuate(&mut self, number: u8, until: Instant) {
        self.fleet.evacuate(&data_center_of(usize::from(number)), true);
        let listing = UpstreamListing { upstream: number, leaving: true, at: Instant::now() };
        self.evidence.listings.push(listing);
        self.ends.push((until, FaultEnd::Restore(number)));
    }

    /// Replaces the entry of an upstream by an invalid one and records the upstream as leaving, as
    /// instances must not use an upstream without a valid entry.
    fn overwrite_entry(&mut self, number: u8) {
        let name = self.fleet.runners()[usize::from(number)].identifier();
        let invalid = INVALID_ENTRIES[usize::from(number) % INVALID_ENTRIES.len()];
        self.fleet.store.put_raw(&format!("servers/{name}"), serde_json::json!(invalid));
        let listing = UpstreamListing { upstream: number, leaving: true, at: Instant::now() };
        self.evidence.listings.push(listing);
    }

    /// Writes an invalid entry under a key that belongs to no upstream.
    fn write_invalid_entry(&self, number: u8) {
        let invalid = INVALID_ENTRIES[usize::from(number) % INVALID_ENTRIES.len()];
        let key = format!("servers/odd-{number}");
        if number.is_multiple_of(2) {
            self.fleet.store.put_raw(&key, serde_json::json!(invalid));
        } else {
            self.fleet.store.put(&key, Some(invalid.to_owned()));
        }
    }

    /// Writes an entry with odd values under a key that belongs to no upstream.
    fn write_odd_entry(&self, number: u8) {
        let nested = "[".repeat(NESTING) + &"]".repeat(NESTING);
        let odd = match number % 3 {
            0 => nested,
            1 => r#"{"service":"plain","address":"127.0.0.1:99999"}"#.to_owned(),
            _ => r#"{"service":"plain","address":"127.0.0.1:1","slots":1e400}"#.to_owned(),
        };
        self.fleet.store.put(&format!("servers/odd-{number}"), Some(odd));
    }

    /// Lists an upstream as leaving or as ready, and records the change.
    pub(crate) fn list(&mut self, number: u8, leaving: bool) {
        let index = usize::from(number);
        let state = if leaving { "draining" } else { "ready" };
        self.fleet.list(&self.fleet.runners()[index], self.fleet.service(index), state);
        let listing = UpstreamListing { upstream: number, leaving, at: Instant::now() };
        self.evidence.listings.push(listing);
    }

    /// Publishes the next configuration, which adds a route.
    pub(crate) fn publish(&mut self) {
        self.publication_log.publish(&mut self.fleet);
    }

    fn set_store_links(&self, numbers: ops::Range<u8>, mode: LinkMode) {
        for number in numbers {
            self.fleet.store_links[usize::from(number)].set_mode(mode);
        }
    }

    /// Records that an instance, or all for `None`, is out of contact from now until `until` plus
    /// [`RECOVERY_MARGIN`].
    pub(crate) fn record_contact_loss(&mut self, instance: Option<u8>, until: Instant) {
        let disturbance =
            Disturbance { instance, from: Instant::now(), to: until + RECOVERY_MARGIN };
        self.evidence.contact_losses.push(disturbance);
    }

    /// Records that the link to an upstream fails from now until `until` plus [`RECOVERY_MARGIN`].
    fn record_link_fault(&mut self, upstream: u8, until: Instant) {
        let link_fault = link_fault(None, upstream, until);
        self.evidence.link_faults.push(link_fault);
    }

    /// Records an unplanned outage of an instance, or of all for `None`, which is also a loss of
    /// contact, from now until `until` plus [`RECOVERY_MARGIN`].
    fn record_outage(&mut self, instance: Option<u8>, until: Instant) {
        self.record_contact_loss(instance, until);
        let disturbance =
            Disturbance { instance, from: Instant::now(), to: until + RECOVERY_MARGIN };
        self.evidence.unplanned_outages.push(disturbance);
    }

    /// Records a fault of an upstream or a link from now until `until` plus [`RECOVERY_MARGIN`].
    pub(crate) fn record_external_fault(&mut self, until: Instant) {
        let disturbance =
            Disturbance { instance: None, from: Instant::now(), to: until + RECOVERY_MARGIN };
        self.evidence.external_faults.push(disturbance);
    }
}

/// Returns the link of the instance or upstream with a number, or all links for `None`.
fn select_links(links: &[sync::Arc<Proxy>], number: Option<u8>) -> &[sync::Arc<Proxy>] {
    number.map_or(links, |number| &links[usize::from(number)..][..1])
}

/// Returns a fault of the link from an instance, or from all for `None`, to an upstream, from now until `until` plus
/// [`RECOVERY_MARGIN`].
fn link_fault(instance: Option<u8>, upstream: u8, until: Instant) -> LinkFault {
    LinkFault { instance, upstream, from: Instant::now(), to: until + RECOVERY_MARGIN }
}

/// Returns the name of the data centre that only this upstream is in, if the plan has evacuations.
fn data_center_of(number: usize) -> String {
    format!("zone-{number}")
}
