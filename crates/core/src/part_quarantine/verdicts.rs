//! The quarantines of parts that are in force.

use std::{collections, time};

use crate::{
    ids,
    part_quarantine::{PartScope, PartVerdict},
    prompt_part, units,
};

/// Length of a first quarantine, counted from the last crash.
pub const FIRST_TERM: time::Duration = time::Duration::from_secs(60);
/// Length of a first quarantine that may be wrong: of a part that was answered regularly before, whose crashes other
/// parts may have caused, or while no prompt is answered.
pub const SHORT_TERM: time::Duration = time::Duration::from_secs(3);
/// Factor by which each crash after the end of a quarantine makes the next one longer.
const TERM_FACTOR: u32 = 8;
/// Longest quarantine.
const MAX_QUARANTINE_TIME: time::Duration = time::Duration::from_secs(4_800);
/// Time after a quarantine in which single prompts are tried.
const TRIAL_TIME: time::Duration = time::Duration::from_secs(300);
/// Time within which members may try prompts one after the other, so that not all try at once.
const TRIAL_SPREAD: time::Duration = time::Duration::from_secs(30);
/// Time after the start of a trial before another one: it may take that long to prove that its engine has crashed.
const TRIAL_INTERVAL: time::Duration = time::Duration::from_secs(10);
/// Most verdicts, up to two kilobytes each; the one that ends first is dropped.
const MAX_VERDICTS: usize = 64;
/// Most engines that a verdict names: the first ones that crashed.
const MAX_UPSTREAMS: usize = 16;

/// What a verdict means for a prompt now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VerdictPhase {
    /// The prompt is held back.
    Quarantine,
    /// The prompt is held back, except that a member may try one at a time from [`trial_start`] on.
    Trial,
}

/// Returns when the member with this `rank` among `members` may try a prompt.
pub fn trial_start(verdict: &PartVerdict, rank: usize, members: usize) -> units::MonoTime {
    let spread = TRIAL_SPREAD.min(verdict.term / 2);
    verdict.until() + spread.mul_f64(rank as f64 / members.max(1) as f64)
}

/// Verdicts in force.
#[derive(Debug, Default)]
pub struct PartVerdicts {
    verdicts: Vec<PartVerdict>,
    /// Start of the last trial of a verdict, at any member; at most [`MAX_VERDICTS`].
    trials: collections::BTreeMap<(PartScope, prompt_part::SharedParts), units::MonoTime>,
}

impl PartVerdicts {
    /// Returns whether there are none, whether in quarantine or on trial.
    pub fn is_empty(&self) -> bool {
        self.verdicts.is_empty()
    }

    /// Returns all verdicts.
    pub fn iter(&self) -> impl Iterator<Item = &PartVerdict> {
        self.verdicts.iter()
    }

    /// Returns whether all prompts that a verdict holds back are held back as long already.
    pub fn covers(&self, verdict: &PartVerdict) -> bool {
        self.verdicts.iter().any(|known| known.covers(verdict))
    }

    /// Adds a verdict and drops those that it makes needless; returns whether more prompts are held back, or longer.
    pub fn insert(&mut self, now: units::MonoTime, mut verdict: PartVerdict) -> bool {
        self.drop_expired(now);
        verdict.upstreams.truncate(MAX_UPSTREAMS);
        let is_expired = verdict.until() + TRIAL_TIME <= now;
        if is_expired || self.covers(&verdict) {
            return false;
        }
        self.verdicts.retain(|known| !verdict.covers(known));
        self.verdicts.push(verdict);
        if self.verdicts.len() > MAX_VERDICTS {
            let first = (0..self.verdicts.len()).min_by_key(|index| self.verdicts[*index].until());
            first.map(|index| self.verdicts.swap_remove(index));
        }
        true
    }

    /// Drops a verdict whose last crash was at `at` or earlier; returns whether there was one.
    pub fn release(
        &mut self,
        scope: &PartScope,
        parts: &prompt_part::SharedParts,
        at: units::MonoTime,
    ) -> bool {
        let before = self.verdicts.len();
        self.verdicts.retain(|verdict| {
            verdict.scope != *scope || verdict.parts != *parts || verdict.last_crash > at
        });
        self.verdicts.len() < before
    }

    /// Returns the verdict that applies to a prompt, and what it means now: a quarantine before a trial.
    pub fn find(
        &self,
        now: units::MonoTime,
        service: &ids::ServiceId,
        customer: Option<&ids::CustomerId>,
        parts: &prompt_part::SharedParts,
    ) -> Option<(&PartVerdict, VerdictPhase)> {
        let applies = |verdict: &&PartVerdict| {
            verdict.scope.contains(service, customer) && parts.contains_all(&verdict.parts)
        };
        let verdict = self.verdicts.iter().filter(applies).max_by_key(|verdict| verdict.until())?;
        if now < verdict.until() {
            return Some((verdict, VerdictPhase::Quarantine));
        }
        let is_on_trial = now < verdict.until() + TRIAL_TIME;
        is_on_trial.then_some((verdict, VerdictPhase::Trial))
    }

    /// Returns the length of a quarantine that begins with a crash at `crashed`, if there was one of these parts before.
    pub(super) fn next_term(
        &self,
        scope: &PartScope,
        parts: &prompt_part::SharedParts,
        crashed: units::MonoTime,
    ) -> Option<time::Duration> {
        let is_same = |verdict: &&PartVerdict| verdict.scope == *scope && verdict.parts == *parts;
        let known = self.verdicts.iter().find(is_same)?;
        let is_repeated = crashed >= known.until();
        let term = if is_repeated { known.term * TERM_FACTOR } else { known.term };
        Some(term.min(MAX_QUARANTINE_TIME))
    }

    /// Records that a member tries a prompt now.
    pub fn note_trial(
        &mut self,
        now: units::MonoTime,
        scope: PartScope,
        parts: prompt_part::SharedParts,
    ) {
        let subject = (scope, parts);
        if self.trials.len() >= MAX_VERDICTS && !self.trials.contains_key(&subject) {
            let oldest = self.trials.iter().min_by_key(|(_, at)| **at);
            let oldest = oldest.map(|(oldest, _)| oldest.clone());
            oldest.and_then(|oldest| self.trials.remove(&oldest));
        }
        self.trials.insert(subject, now);
    }

    /// Returns whether a prompt was tried so recently that its result may not be known yet.
    pub fn is_tried(&self, now: units::MonoTime, verdict: &PartVerdict) -> bool {
        let trial = self.trials.get(&(verdict.scope.clone(), verdict.parts.clone()));
        trial.is_some_and(|at| now.since(*at) < TRIAL_INTERVAL)
    }

    fn drop_expired(&mut self, now: units::MonoTime) {
        self.verdicts.retain(|verdict| now < verdict.until() + TRIAL_TIME);
        self.trials.retain(|_, at| now.since(*at) < TRIAL_INTERVAL);
    }
}
