//! When prompts with certain parts were last answered.

use std::{collections, time};

use crate::{ids, part_quarantine, prompt_part, units};

/// Most parts for which the time is kept; about 100 bytes each.
const MAX_PARTS: usize = 4096;
/// Number of parts that are kept when there are too many: those that were answered last.
const KEPT_PARTS: usize = 3072;

/// Most services for which the time is kept; the one that answered longest ago is dropped first.
const MAX_SERVICES: usize = 1_024;

/// Time constant of the mean rate of answers.
const RATE_WINDOW: time::Duration = time::Duration::from_secs(10);

/// Answers to prompts with a part.
#[derive(Debug, Default, Clone, Copy)]
struct AnswerCount {
    /// When the last answer was complete.
    last: units::MonoTime,
    /// Number of own answers, which decays with [`RATE_WINDOW`]; as of `counted`.
    count: f64,
    counted: units::MonoTime,
}

impl AnswerCount {
    fn count_at(&self, now: units::MonoTime) -> f64 {
        let windows = now.since(self.counted).as_secs_f64() / RATE_WINDOW.as_secs_f64();
        self.count * (-windows).exp()
    }
}

/// Complete answers by part and by service.
#[derive(Debug, Default)]
pub struct AnsweredParts {
    parts: collections::HashMap<part_quarantine::PartSubject, AnswerCount>,
    /// At most [`MAX_SERVICES`].
    services: collections::BTreeMap<ids::ServiceId, units::MonoTime>,
}

impl AnsweredParts {
    /// Records a complete answer of this process to a prompt.
    pub fn note_prompt(
        &mut self,
        at: units::MonoTime,
        service: &ids::ServiceId,
        customer: Option<&ids::CustomerId>,
        parts: &prompt_part::SharedParts,
    ) {
        self.note_service(at, service.clone());
        for scope in part_quarantine::PartScope::of_prompt(service, customer) {
            for subject in scope.subjects(parts) {
                let answers = self.parts.entry(subject).or_default();
                let count = answers.count_at(at) + 1.0;
                *answers = AnswerCount { last: at.max(answers.last), count, counted: at };
            }
        }
        self.drop_oldest();
    }

    /// Records that a member has answered a prompt with a part.
    pub fn note_part(&mut self, at: units::MonoTime, subject: part_quarantine::PartSubject) {
        let answers = self.parts.entry(subject).or_default();
        answers.last = at.max(answers.last);
        self.drop_oldest();
    }

    /// Records that a service has answered some prompt.
    pub fn note_service(&mut self, at: units::MonoTime, service: ids::ServiceId) {
        if self.services.len() >= MAX_SERVICES && !self.services.contains_key(&service) {
            let oldest = self.services.iter().min_by_key(|(_, last)| **last);
            let oldest = oldest.map(|(oldest, _)| oldest.clone());
            oldest.and_then(|oldest| self.services.remove(&oldest));
        }
        let last = self.services.entry(service).or_default();
        *last = at.max(*last);
    }

    /// Returns when a prompt with the part was last answered, as far as known.
    pub fn part(&self, subject: &part_quarantine::PartSubject) -> Option<units::MonoTime> {
        self.parts.get(subject).map(|answers| answers.last)
    }

    /// Returns the mean number of own answers a second to prompts with the part.
    pub fn rate(&self, now: units::MonoTime, subject: &part_quarantine::PartSubject) -> f64 {
        let count = self.parts.get(subject).map_or(0.0, |answers| answers.count_at(now));
        count / RATE_WINDOW.as_secs_f64()
    }

    /// Returns when the service last answered any prompt, as far as known.
    pub fn service(&self, service: &ids::ServiceId) -> Option<units::MonoTime> {
        self.services.get(service).copied()
    }

    fn drop_oldest(&mut self) {
        if self.parts.len() <= MAX_PARTS {
            return;
        }
        let mut times: Vec<_> = self.parts.values().map(|answers| answers.last).collect();
        times.sort_unstable_by(|one, other| other.cmp(one));
        let oldest = times[KEPT_PARTS];
        self.parts.retain(|_, answers| answers.last > oldest);
    }
}
