//! Checks that a rolling restart cuts no stream that pauses, at an instance whose connections the others relay.

use std::{
    thread,
    time::{Duration, Instant},
};

use slipturn_platform_standin::{
    caller::{self, Outcome},
    proxy::LinkMode,
};

use crate::{
    evidence::RECOVERY_MARGIN,
    fault_injector::{FaultEnd, FaultInjector, STOP_GRACE_PERIOD},
    fault_plan::{Fault, PartitionScope, PlannedFault},
    traffic,
};

/// Time for which the instance is partitioned, which covers the restarts.
const PARTITION_TIME: Duration = Duration::from_secs(30);
/// Time in which the partitioned instance finds out that members must relay.
const DETECTION_TIME: Duration = Duration::from_secs(3);
/// Number of streams that begin before each stop.
const STREAMS: u64 = 4;
/// Prompt and output tokens of a stream, which takes some seconds with its pauses.
const STREAM_TOKENS: (u64, u64) = (1_000, 6_000);
/// Time from sending streams until the next stop, so that their answers have begun.
const STREAM_START_DELAY: Duration = Duration::from_millis(300);
/// Shortest time between two stops, and how many times longer it can be.
const STOP_GAP: (Duration, u64) = (Duration::from_millis(700), 4);
/// Lengths of a pause of all answers, and of the time between two.
const ANSWER_PAUSE: (Duration, Duration) =
    (Duration::from_millis(1_300), Duration::from_millis(1_500));
/// Time from sending a stream within which a cut is none of the relay's end of grace time.
const GRACE_TIME: Duration = Duration::from_secs(6);

impl FaultInjector {
    /// Partitions an instance from all upstreams, restarts the others in turn while its streams pause, and checks that
    /// none of them is cut.
    pub(crate) fn check_rolling_restart(&mut self, seed: u64) {
        let instances = self.fleet.instances.len() as u8;
        let partitioned = (seed % u64::from(instances)) as u8;
        let (shortest, factors) = STOP_GAP;
        let gap = shortest * (1 + (seed / u64::from(instances) % factors) as u32) / 2;
        self.fleet.wait_ready();
        thread::sleep(RECOVERY_MARGIN);
        let fault = Fault::Partition(partitioned, PartitionScope::All, LinkMode::Reset);
        self.inject(&PlannedFault { at: Duration::ZERO, length: PARTITION_TIME, fault });
        thread::sleep(DETECTION_TIME);
        let engines = self.fleet.engines.clone();
        let began = Instant::now();
        let pauses = thread::spawn(move || {
            while began.elapsed() < PARTITION_TIME / 2 {
                engines.iter().for_each(|engine| engine.pause_answers(true));
                thread::sleep(ANSWER_PAUSE.0);
                engines.iter().for_each(|engine| engine.pause_answers(false));
                thread::sleep(ANSWER_PAUSE.1);
            }
        });
        let mut streams = Vec::new();
        let others: Vec<_> = (0..instances).filter(|number| *number != partitioned).collect();
        for other in &others {
            streams
                .extend((0..STREAMS).map(|number| self.send_stream(partitioned, *other, number)));
            thread::sleep(STREAM_START_DELAY);
            self.fleet.signal(*other, "TERM");
            thread::sleep(gap);
        }
        for stream in streams {
            let (outcome, time) = stream.join().expect("a sender panicked");
            if matches!(outcome, Outcome::Cut(true)) && time < GRACE_TIME {
                let violation = format!("a rolling restart cut a stream after {time:?}");
                self.evidence.violations.push(violation);
            }
        }
        for other in others {
            if self.fleet.wait_for_exit(other, STOP_GRACE_PERIOD).is_none() {
                self.evidence.violations.push(format!("instance {other} did not exit in time"));
            }
            self.end(FaultEnd::Start(other));
        }
        pauses.join().expect("the pauses don't panic");
        self.end_all();
        self.fleet.wait_ready();
    }

    /// Sends a stream that must not be resumed; returns its outcome and the time that it took.
    fn send_stream(
        &self,
        instance: u8,
        stopped: u8,
        number: u64,
    ) -> thread::JoinHandle<(Outcome, Duration)> {
        let address = self.fleet.caller_address(instance);
        let id = format!("probe-restart-{stopped}-{number}");
        let request = traffic::request(id, "once", STREAM_TOKENS);
        thread::spawn(move || {
            let sent_at = Instant::now();
            (caller::send(address, &request), sent_at.elapsed())
        })
    }
}
