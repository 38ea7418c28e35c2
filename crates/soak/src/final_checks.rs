//! Checks of the fleet after all faults have ended.

use std::{
    thread,
    time::{Duration, Instant},
};

use slipturn_platform_standin::{
    caller::{self, Outcome},
    store::StoreMode,
};

use crate::{
    config_check, endless_plan, engine_plan,
    evidence::RECOVERY_MARGIN,
    fault_injector::{FaultEnd, FaultInjector, STOP_GRACE_PERIOD},
    fault_plan::{Fault, PartitionScope, PlannedFault},
    framing_plan, grace_plan, leave_check, partition_plan, return_plan,
    traffic::{self, Traffic},
};

/// Time after the end of all faults within which all instances must be ready.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(8);
/// Time after the end of traffic within which upstreams must have no request running and no tokens
/// reserved.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(4);
/// Number of streams that are open when [`FaultInjector::check_planned_stop`] stops an instance.
const STOP_STREAMS: u64 = 3;
/// Time from sending the requests until the stop in [`FaultInjector::check_planned_stop`], so that
/// the answers have begun.
const STREAM_START_DELAY: Duration = Duration::from_millis(400);
/// Length of the store outage in [`FaultInjector::check_store_return`].
const STORE_OUTAGE: Duration = Duration::from_millis(1_500);
/// Duration of the partition in [`FaultInjector::check_partition`].
const PARTITION_TIME: Duration = Duration::from_secs(6);
/// Number of clients in [`FaultInjector::check_partition`].
const PARTITION_CLIENTS: u64 = 12;
/// Time after the store's return within which instances must apply the newest configuration: the
/// platform's bound.
const STORE_RECOVERY_BOUND: Duration = Duration::from_secs(3);

impl FaultInjector {
    /// Runs all checks in order; `seed` selects how the store and the links of an instance fail.
    pub(crate) fn run_final_checks(&mut self, seed: u64) {
        self.wait_for_recovery();
        self.check_store_return(seed);
        self.check_planned_stop();
        if seed >= grace_plan::FIRST_SEED {
            self.check_late_requests(seed);
        }
        self.check_routes();
        if seed >= partition_plan::FIRST_SEED {
            self.check_partition(seed);
        }
        if seed >= framing_plan::FIRST_SEED {
            self.check_crashing_part(seed);
        }
        if seed >= endless_plan::FIRST_SEED {
            self.check_rolling_restart(seed);
        }
        if seed >= return_plan::FIRST_SEED {
            self.check_power_return(seed);
            if !seed.is_multiple_of(2) {
                self.check_large_entries();
            }
        }
        self.check_release();
    }

    /// Ends all faults and checks that every instance is ready within [`RECOVERY_TIMEOUT`].
    pub(crate) fn wait_for_recovery(&mut self) {
        self.end_all();
        let deadline = Instant::now() + RECOVERY_TIMEOUT;
        let numbers = 0..self.fleet.instances.len() as u8;
        while !numbers.clone().all(|number| self.fleet.ready(number)) {
            if Instant::now() > deadline {
                self.evidence.violations.push(format!(
                    "not all instances were ready {RECOVERY_TIMEOUT:?} after the last fault"
                ));
                return;
            }
            self.end_due(Instant::now());
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Checks that a configuration published during a store outage takes effect within
    /// [`STORE_RECOVERY_BOUND`] after the outage.
    fn check_store_return(&mut self, seed: u64) {
        let modes = [StoreMode::Silent, StoreMode::Reset, StoreMode::Busy];
        self.fleet.store.set_mode(modes[(seed % 3) as usize]);
        thread::sleep(STORE_OUTAGE);
        self.publish();
        self.fleet.store.set_mode(StoreMode::Good);
        thread::sleep(STORE_RECOVERY_BOUND);
        let newest = self.publication_log.routes().pop().into_iter().collect::<Vec<_>>();
        self.probe_all("return", &newest);
    }

    /// Checks that a planned stop without other faults cuts no stream that ends within the grace
    /// period.
    fn check_planned_stop(&mut self) {
        let address = self.fleet.caller_address(0);
        let start = |number: u64| {
            let id = format!("probe-stop-{number}");
            let request = traffic::request(id, "draft", (1_000, traffic::LONG_ANSWER_TOKENS.start));
            thread::spawn(move || caller::send(address, &request))
        };
        let streams: Vec<_> = (0..STOP_STREAMS).map(start).collect();
        thread::sleep(STREAM_START_DELAY);
        self.fleet.signal(0, "TERM");
        for stream in streams {
            let outcome = stream.join();
            if !matches!(outcome, Ok(Outcome::Good)) {
                self.evidence
                    .violations
                    .push(format!("a planned stop ended a stream: {outcome:?}"));
            }
        }
        self.finish_stop(0);
    }

    /// Stops an instance without other faults while clients use it until its process is gone; their requests are
    /// checked with all others.
    fn check_late_requests(&mut self, seed: u64) {
        let number = (seed % self.fleet.instances.len() as u64) as u8;
        thread::sleep(RECOVERY_MARGIN);
        self.stop_late(number, seed);
        self.finish_stop(number);
        self.finish_late_clients();
    }

    /// Checks that a stopping instance exits in time, and starts it again.
    fn finish_stop(&mut self, number: u8) {
        match self.fleet.wait_for_exit(number, STOP_GRACE_PERIOD) {
            Some(_) => self.end(FaultEnd::Start(number)),
            None => self
                .evidence
                .violations
                .push(format!("instance {number} did not exit within {STOP_GRACE_PERIOD:?}")),
        }
        self.fleet.wait_ready();
    }

    /// Partitions an instance from all upstreams, without other faults, and records what its clients and those of
    /// another instance get, which `partition_check` compares.
    fn check_partition(&mut self, seed: u64) {
        let instances = self.fleet.instances.len() as u64;
        let partitioned = (seed % instances) as u8;
        let modes = &partition_plan::LINK_MODES;
        let mode = modes[(seed % modes.len() as u64) as usize];
        self.fleet.wait_ready();
        thread::sleep(RECOVERY_MARGIN);
        let fault = Fault::Partition(partitioned, PartitionScope::All, mode);
        self.inject(&PlannedFault { at: Duration::ZERO, length: PARTITION_TIME, fault });
        let addresses = (0..instances as u8).map(|number| self.fleet.caller_address(number));
        // Another seed than that of the first clients gives the requests ids of their own.
        let traffic = Traffic::start(
            !seed,
            PARTITION_CLIENTS,
            engine_plan::customers(seed),
            addresses.collect(),
        );
        thread::sleep(PARTITION_TIME);
        self.end_due(Instant::now());
        self.evidence.sent.extend(traffic.finish());
    }

    /// Checks that every instance knows all published routes and sends nothing to an upstream that
    /// is listed as leaving.
    fn check_routes(&mut self) {
        self.publish();
        self.list(self.first_plain(), true);
        thread::sleep(config_check::APPLY_BOUND.max(leave_check::LEAVE_BOUND));
        let runner = self.fleet.plain[0].clone();
        let runs_before = runner.runs().len();
        self.probe_all("end", &self.publication_log.routes());
        if runner.runs().len() > runs_before {
            self.evidence.violations.push(format!("{} got requests while leaving", runner.name));
        }
    }

    /// Sends a probe for each route to each instance, and records a violation for each that the
    /// instance rejects. `phase` names the check in probe ids and violations.
    pub(crate) fn probe_all(&mut self, phase: &str, routes: &[String]) {
        for number in 0..self.fleet.instances.len() as u8 {
            for route in routes {
                let id = format!("probe-{phase}-{number}-{route}");
                let mut probe = traffic::request(id, "safe", (0, 0));
                probe.path = format!("/{route}/");
                let outcome = caller::send(self.fleet.caller_address(number), &probe);
                if matches!(outcome, Outcome::Status(401 | 403 | 404, _)) {
                    let violation =
                        format!("{phase}: instance {number} does not know {route}: {outcome:?}");
                    self.evidence.violations.push(violation);
                }
            }
        }
    }

    /// Checks that all requests end and their tokens are released within [`RELEASE_TIMEOUT`].
    fn check_release(&mut self) {
        let deadline = Instant::now() + RELEASE_TIMEOUT;
        loop {
            let runners = self.fleet.runners();
            let reserved_tokens: u64 = runners.iter().map(|runner| runner.reserved_tokens()).sum();
            let running: u32 = runners.iter().map(|runner| runner.running()).sum();
            if reserved_tokens == 0 && running == 0 {
                return;
            }
            if Instant::now() > deadline {
                let violation = format!(
                    "{reserved_tokens} tokens reserved and {running} requests running at the end"
                );
                self.evidence.violations.push(violation);
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
}
