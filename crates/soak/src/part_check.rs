//! Checks, after all other faults, that prompts with a part which crashes engines soon reach none any more.

use std::{
    thread,
    time::{Duration, Instant},
};

use slipturn_platform_standin::{
    caller::{self, Outcome, Request},
    fleet::MODELS,
    part_sends::PartSends,
    runner::{CrashPoint, CrashingPart},
};

use crate::{
    engine_plan,
    fault_injector::FaultInjector,
    traffic::{self, Traffic},
};

/// How long prompts with the part are sent.
const CRASHING_TIME: Duration = Duration::from_secs(9);
/// Time between two of them.
const CRASHING_INTERVAL: Duration = Duration::from_millis(120);
/// Downtime of an engine after a crash. Behind a proxy only its next start shows that it crashed.
const CRASH_DOWNTIME: Duration = Duration::from_millis(500);
/// Most prompts with the part that may reach engines late: the platform's bound.
const MAX_LATE: usize = 3;
/// Number of clients that send sound requests meanwhile.
const SOUND_CLIENTS: u64 = 8;
/// Number of sound prompts that share the first part, sent at the end.
const SOUND_PROMPTS: u64 = 8;
/// Id of the part.
const PART: &str = "0dead0be";
/// Id of a part that sound prompts have as well.
const FIRST_PART: &str = "5c1e07a2";

fn prompt(id: String, parts: String) -> Request {
    let body = id.clone().into_bytes();
    Request { parts, body, ..traffic::request(id, "draft", (1_000, 500)) }
}

impl FaultInjector {
    /// Sends prompts with a crashing part to one instance after the other, beside other requests; `seed` selects when the
    /// engines crash, the position of the part, and whether streams have a length.
    pub(crate) fn check_crashing_part(&mut self, seed: u64) {
        let points =
            [CrashPoint::BeforeHead, CrashPoint::AfterHead, CrashPoint::AfterEvents(seed % 5)];
        let point = points[(seed % 3) as usize];
        let part = CrashingPart { id: PART.to_owned(), point, since: Instant::now() };
        for engine in &self.fleet.engines {
            engine.set_crash_downtime(CRASH_DOWNTIME);
            engine.set_unframed_streams(seed % 2 == 1);
            engine.set_crashing_parts(std::slice::from_ref(&part));
        }
        let until = Instant::now() + CRASHING_TIME;
        self.record_external_fault(until);
        let instances = self.fleet.instances.len() as u8;
        let addresses: Vec<_> =
            (0..instances).map(|number| self.fleet.caller_address(number)).collect();
        let sound = Traffic::start(
            seed.rotate_left(8),
            SOUND_CLIENTS,
            engine_plan::customers(seed),
            addresses.clone(),
        );
        let mut senders = Vec::new();
        while Instant::now() < until {
            let number = senders.len();
            let parts = match seed % 4 {
                0 => format!("{PART}:40,b{number}:900"),
                _ => format!("{FIRST_PART}:40,{PART}:300,b{number}:900"),
            };
            let crashing = prompt(format!("probe-part-{number}"), parts);
            let address = addresses[number % addresses.len()];
            senders.push(thread::spawn(move || caller::send(address, &crashing)));
            self.list_running_engines();
            thread::sleep(CRASHING_INTERVAL);
        }
        for sender in senders {
            if let Ok(Outcome::Wrong(what)) = sender.join() {
                self.evidence.violations.push(format!("a prompt with a crashing part got {what}"));
            }
        }
        self.evidence.sent.extend(sound.finish());
        let sends = PartSends::count(&self.fleet.engines, PART);
        if sends.late > MAX_LATE {
            self.evidence.violations.push(format!("a crashing part, {point:?}: {sends:?}"));
        }
        self.check_sound_prompts();
    }

    /// Updates the list entries of the engines that are not down, as their heartbeats would.
    fn list_running_engines(&self) {
        let running = self.fleet.engines.iter().filter(|engine| !engine.is_down());
        running.for_each(|engine| self.fleet.list(engine, MODELS, "ready"));
    }

    /// Checks that prompts which share only the first part with the crashing ones are served.
    fn check_sound_prompts(&mut self) {
        let instances = self.fleet.instances.len() as u64;
        let send = |number: u64| {
            let address = self.fleet.caller_address((number % instances) as u8);
            let parts = format!("{FIRST_PART}:40,a{number}:900");
            caller::send(address, &prompt(format!("probe-sound-{number}"), parts))
        };
        let outcomes: Vec<_> = (0..SOUND_PROMPTS).map(send).collect();
        if outcomes.iter().any(|outcome| *outcome != Outcome::Good) {
            let violation = format!("sound prompts beside a crashing part got {outcomes:?}");
            self.evidence.violations.push(violation);
        }
    }
}
