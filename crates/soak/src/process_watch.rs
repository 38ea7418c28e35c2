//! Watches the processes of the instances: their memory, and that none ends by itself.

use std::{
    collections, fs,
    time::{Duration, Instant},
};

use crate::fault_injector::FaultInjector;

/// Most resident memory of an instance at any time, in MB: the platform's bound.
const MEMORY_LIMIT_MB: u64 = 260;
/// Time between two looks at the memory of the instances.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);

/// State of the watch.
#[derive(Debug, Default)]
pub(crate) struct ProcessWatch {
    looked_at: Option<Instant>,
    /// Instances whose memory has exceeded the limit; each is reported once.
    reported: collections::BTreeSet<u8>,
}

impl FaultInjector {
    /// Records a violation for each instance whose memory exceeds [`MEMORY_LIMIT_MB`], if a look is due.
    pub(crate) fn watch_memory(&mut self, now: Instant) {
        let watch = &mut self.process_watch;
        if watch.looked_at.is_some_and(|at| now.duration_since(at) < WATCH_INTERVAL) {
            return;
        }
        watch.looked_at = Some(now);
        for number in 0..self.fleet.instances.len() as u8 {
            let resident = self.fleet.pid(number).map_or(0, resident_mb);
            if resident > MEMORY_LIMIT_MB && watch.reported.insert(number) {
                let at = self.evidence.seconds_since_start(now);
                let violation = format!("instance {number} took {resident} MB at {at:.2} s");
                self.evidence.violations.push(violation);
            }
        }
    }
}

/// Returns the resident memory of a process in MB; 0 if it has ended.
pub(crate) fn resident_mb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    let kilobytes = line.split_whitespace().nth(1).and_then(|text| text.parse::<u64>().ok());
    kilobytes.unwrap_or(0) / 1_024
}
