//! Checks the return after a loss of power, and the memory that entries of other writers take.

use std::{
    thread,
    time::{Duration, Instant},
};

use slipturn_platform_standin::caller::{self, Outcome};

use crate::{
    engine_plan,
    evidence::RECOVERY_MARGIN,
    fault_injector::FaultInjector,
    fault_plan::{Fault, PlannedFault},
    process_watch, return_plan,
    traffic::{self, Traffic},
};

/// Time after the return of the power within which every instance must serve.
const RETURN_BOUND: Duration = Duration::from_secs(12);
/// Number of clients during the loss of power.
const CLIENTS: u64 = 12;
/// Memory that an instance may take for entries of other writers, in MB beyond what it had before.
const ENTRY_MEMORY_MB: u64 = 64;
/// Size of a large entry, bytes.
const LARGE_ENTRY: usize = 1 << 20;
/// Numbers of large entries that are written at one moment.
const LARGE_ENTRIES: [u32; 2] = [1, 8];
/// How often large entries are written again.
const REWRITES: u32 = 6;
/// Time between two of these writes.
const REWRITE_INTERVAL: Duration = Duration::from_millis(1_200);
/// Time from the last write until every instance must know the newest configuration.
const APPLY_TIME: Duration = Duration::from_secs(3);

impl FaultInjector {
    /// Checks that all instances serve soon after a loss of power of all instances and upstreams, under traffic; `seed`
    /// selects how long the power is lost and how the store limits reads.
    pub(crate) fn check_power_return(&mut self, seed: u64) {
        let instances = self.fleet.instances.len() as u8;
        self.fleet.wait_ready();
        thread::sleep(RECOVERY_MARGIN);
        let addresses = (0..instances).map(|number| self.fleet.caller_address(number)).collect();
        let customers = engine_plan::customers(seed);
        let traffic = Traffic::start(seed.rotate_left(16), CLIENTS, customers, addresses);
        let limit = return_plan::read_limit(seed);
        let length = Duration::from_millis(100 + seed % 1_400);
        self.inject(&PlannedFault { at: Duration::ZERO, length, fault: Fault::PowerLoss(limit) });
        if let Some(fault) = limit.map(Fault::LimitReads) {
            let length = length + RETURN_BOUND;
            self.inject(&PlannedFault { at: Duration::ZERO, length, fault });
        }
        thread::sleep(length);
        self.end_due(Instant::now());
        let returned = Instant::now();
        let mut waiting: Vec<_> = (0..instances).collect();
        while !waiting.is_empty() && returned.elapsed() < RETURN_BOUND {
            waiting.retain(|number| !self.serves(*number));
            self.end_due(Instant::now());
            thread::sleep(Duration::from_millis(20));
        }
        let seconds = returned.elapsed().as_secs_f64();
        self.fault_log.push(format!("all serve {seconds:.2} s after the power, but {waiting:?}"));
        if !waiting.is_empty() {
            let violation = format!(
                "instances {waiting:?} do not serve {RETURN_BOUND:?} after the power, {limit:?}"
            );
            self.evidence.violations.push(violation);
        }
        self.end_all();
        self.evidence.sent.extend(traffic.finish());
        self.wait_for_recovery();
    }

    /// Returns whether an instance is ready and serves requests of both services.
    fn serves(&self, number: u8) -> bool {
        let is_served = |route| {
            let id = format!("probe-power-{number}-{route}-{:?}", Instant::now());
            let request = traffic::request(id, route, (1_000, 50));
            caller::send(self.fleet.caller_address(number), &request) == Outcome::Good
        };
        self.fleet.ready(number) && ["safe", "draft"].into_iter().all(is_served)
    }

    /// Checks that large entries of other writers, written again and again, take little memory and don't keep instances
    /// from the newest configuration.
    pub(crate) fn check_large_entries(&mut self) {
        self.fleet.wait_ready();
        let before = self.resident_mb();
        let mut peaks = before.clone();
        for rewrite in 0..REWRITES {
            let count = LARGE_ENTRIES[rewrite as usize % LARGE_ENTRIES.len()];
            for number in 0..count {
                let value = format!("{rewrite}").repeat(LARGE_ENTRY);
                self.fleet.store.put(&format!("servers/large-{number}"), Some(value));
            }
            let until = Instant::now() + REWRITE_INTERVAL;
            while Instant::now() < until {
                for (peak, now) in peaks.iter_mut().zip(self.resident_mb()) {
                    *peak = now.max(*peak);
                }
                self.end_due(Instant::now());
                thread::sleep(Duration::from_millis(20));
            }
        }
        let growth = peaks.iter().zip(&before).map(|(peak, before)| peak - before);
        let growth: Vec<_> = growth.collect();
        self.fault_log.push(format!("MB for large entries: {growth:?}, from {before:?}"));
        if growth.iter().any(|growth| *growth > ENTRY_MEMORY_MB) {
            let violation = format!("large entries took {growth:?} MB, from {before:?}");
            self.evidence.violations.push(violation);
        }
        self.publish();
        thread::sleep(APPLY_TIME);
        let newest = self.publication_log.routes().pop().into_iter().collect::<Vec<_>>();
        self.probe_all("large entries", &newest);
        (0..LARGE_ENTRIES[1])
            .for_each(|number| self.fleet.store.put(&format!("servers/large-{number}"), None));
    }

    /// Returns the resident memory of each instance in MB; 0 for one that does not run.
    fn resident_mb(&self) -> Vec<u64> {
        let numbers = 0..self.fleet.instances.len() as u8;
        numbers.map(|number| self.fleet.pid(number).map_or(0, process_watch::resident_mb)).collect()
    }
}
