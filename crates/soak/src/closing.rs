//! What is asked of the fleet when all faults have ended.

use std::{
    thread,
    time::{Duration, Instant},
};

use slipturn_platform_standin::{
    caller::{self, Outcome},
    store::StoreMode,
};

use crate::{
    config_check, leave_check,
    struck_fleet::{FaultEnd, GRACE, StruckFleet},
    traffic,
};

/// Time within which all instances must be ready when faults have ended.
const RECOVERY: Duration = Duration::from_secs(8);
/// Time within which upstreams must be free again when traffic has ended.
const RELEASE: Duration = Duration::from_secs(4);
/// Streams that are open while an instance is stopped.
const STOP_STREAMS: u64 = 3;
/// Time in which they begin.
const STREAM_START: Duration = Duration::from_millis(400);
/// Time for which the store is away before its return is judged.
const STORE_AWAY: Duration = Duration::from_millis(1_500);
/// Time after its return by which instances must be up to date: the platform's bound.
const RETURN: Duration = Duration::from_secs(3);

impl StruckFleet {
    /// All of it, in order.
    pub(crate) fn close(&mut self, seed: u64) {
        self.recover();
        self.return_to_store(seed);
        self.stop_under_streams();
        self.probe_routes();
        self.wait_release();
    }

    /// Ends all faults; every instance must be ready again in time.
    fn recover(&mut self) {
        self.end_all();
        let until = Instant::now() + RECOVERY;
        let all = 0..self.fleet.instances.len() as u8;
        while !all.clone().all(|number| self.fleet.ready(number)) {
            if Instant::now() > until {
                self.evidence
                    .found
                    .push(format!("not all ready {RECOVERY:?} after the last fault"));
                return;
            }
            self.end_due(Instant::now());
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// What was published while the store was away is in force soon after its return.
    fn return_to_store(&mut self, seed: u64) {
        let modes = [StoreMode::Silent, StoreMode::Reset, StoreMode::Busy];
        self.fleet.store.set_mode(modes[(seed % 3) as usize]);
        thread::sleep(STORE_AWAY);
        self.publish();
        self.fleet.store.set_mode(StoreMode::Good);
        thread::sleep(RETURN);
        let newest = self.published.routes().pop().into_iter().collect::<Vec<_>>();
        self.probe_all("return", &newest);
    }

    /// A planned stop in calm times cuts no stream that ends inside the grace period.
    fn stop_under_streams(&mut self) {
        let address = self.fleet.callers(0);
        let start = |number: u64| {
            let id = format!("probe-stop-{number}");
            let request = traffic::request(id, "draft", (1_000, traffic::LONG_ANSWER.start));
            thread::spawn(move || caller::send(address, &request))
        };
        let streams: Vec<_> = (0..STOP_STREAMS).map(start).collect();
        thread::sleep(STREAM_START);
        self.fleet.signal(0, "TERM");
        for stream in streams {
            let outcome = stream.join();
            if !matches!(outcome, Ok(Outcome::Good)) {
                self.evidence.found.push(format!("a planned stop ended a stream: {outcome:?}"));
            }
        }
        match self.fleet.wait_for_exit(0, GRACE) {
            Some(_) => self.end(FaultEnd::Start(0)),
            None => self.evidence.found.push(format!("instance 0 has not ended in {GRACE:?}")),
        }
        self.fleet.wait_ready();
    }

    /// Every route ever added is served everywhere, and a leaving upstream gets nothing.
    fn probe_routes(&mut self) {
        self.publish();
        self.list(self.first_plain(), true);
        thread::sleep(config_check::APPLY.max(leave_check::LEAVE));
        let leaving = self.fleet.plain[0].clone();
        let before = leaving.runs().len();
        self.probe_all("end", &self.published.routes());
        if leaving.runs().len() > before {
            self.evidence.found.push(format!("{} got requests while leaving", leaving.name));
        }
    }

    fn probe_all(&mut self, when: &str, routes: &[String]) {
        for number in 0..self.fleet.instances.len() as u8 {
            for route in routes {
                let id = format!("probe-{when}-{number}-{route}");
                let mut probe = traffic::request(id, "safe", (0, 0));
                probe.path = format!("/{route}/");
                let outcome = caller::send(self.fleet.callers(number), &probe);
                if matches!(outcome, Outcome::Status(401 | 403 | 404, _)) {
                    let fault =
                        format!("{when}: instance {number} does not know {route}: {outcome:?}");
                    self.evidence.found.push(fault);
                }
            }
        }
    }

    fn wait_release(&mut self) {
        let until = Instant::now() + RELEASE;
        loop {
            let runners = self.fleet.runners();
            let reserved_tokens: u64 = runners.iter().map(|runner| runner.reserved_tokens()).sum();
            let running: u32 = runners.iter().map(|runner| runner.running()).sum();
            if reserved_tokens == 0 && running == 0 {
                return;
            }
            if Instant::now() > until {
                let fault = format!(
                    "{reserved_tokens} tokens set aside and {running} requests running at the end"
                );
                self.evidence.found.push(fault);
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
}
