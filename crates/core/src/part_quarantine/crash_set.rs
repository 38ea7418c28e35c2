//! The crashes under prompts that have a certain part.

use std::collections;

use crate::{ids, part_quarantine::CrashedPrompt, quarantine::MOMENT_GAP, units};

/// Crashed prompts that have a part, by their index in the evidence.
#[derive(Debug, Clone, Default)]
pub(super) struct CrashSet {
    /// Ascending.
    prompts: Vec<usize>,
    /// By the engine that crashed.
    crashes: collections::BTreeMap<ids::UpstreamId, Crash>,
}

/// A crash under prompts of a set.
#[derive(Debug, Clone, Copy)]
struct Crash {
    /// When the first connection broke.
    ended: units::MonoTime,
    /// When the last of the prompts was sent.
    sent: units::MonoTime,
    /// Number of the prompts.
    prompts: usize,
}

impl CrashSet {
    pub(super) fn push(&mut self, index: usize, prompt: &CrashedPrompt) {
        self.prompts.push(index);
        let first = Crash { ended: prompt.ended, sent: prompt.sent, prompts: 0 };
        let crash = self.crashes.entry(prompt.upstream.clone()).or_insert(first);
        crash.ended = crash.ended.min(prompt.ended);
        crash.sent = crash.sent.max(prompt.sent);
        crash.prompts += 1;
    }

    /// Returns the engines that crashed, oldest crash first.
    pub(super) fn upstreams(&self) -> Vec<ids::UpstreamId> {
        let mut upstreams: Vec<_> = self.crashes.iter().collect();
        upstreams.sort_by_key(|(_, crash)| crash.ended);
        upstreams.into_iter().map(|(upstream, _)| upstream.clone()).collect()
    }

    pub(super) fn first_crash(&self) -> units::MonoTime {
        self.crashes.values().map(|crash| crash.ended).min().unwrap_or_default()
    }

    pub(super) fn last_crash(&self) -> units::MonoTime {
        self.crashes.values().map(|crash| crash.ended).max().unwrap_or_default()
    }

    /// Returns the number of crashes that count: those some time apart or, if `in_sequence`, those under prompts that
    /// were sent after the previous counted crash.
    pub(super) fn counted(&self, in_sequence: bool) -> usize {
        let mut times: Vec<_> =
            self.crashes.values().map(|crash| (crash.ended, crash.sent)).collect();
        times.sort_unstable();
        let mut last: Option<units::MonoTime> = None;
        let counted = times.into_iter().filter(|(ended, sent)| {
            let is_apart = |last: units::MonoTime| *ended >= last + MOMENT_GAP;
            let is_after = |last: units::MonoTime| *sent >= last && is_apart(last);
            let counts =
                last.is_none_or(|last| if in_sequence { is_after(last) } else { is_apart(last) });
            if counts {
                last = Some(*ended);
            }
            counts
        });
        counted.count()
    }

    /// Returns the number of crashes, each weighted by the share of the prompts on the engine that were not of this
    /// set: a part that all of them have is found at any crash. `prompts_on` is the number of prompts by engine.
    pub(super) fn weight(&self, prompts_on: &collections::BTreeMap<ids::UpstreamId, usize>) -> f64 {
        let weight = |(upstream, crash): (&ids::UpstreamId, &Crash)| {
            let all = prompts_on.get(upstream).copied().unwrap_or_default().max(crash.prompts);
            (all - crash.prompts + 1) as f64 / (all + 1) as f64
        };
        self.crashes.iter().map(weight).sum()
    }

    /// Returns the set without the crashes of `others`.
    pub(super) fn without(&self, others: &[&Self]) -> Self {
        let mut rest = self.clone();
        rest.crashes
            .retain(|upstream, _| !others.iter().any(|other| other.crashes.contains_key(upstream)));
        rest
    }

    /// Returns whether all prompts of this set, and not only these, are in `other`.
    pub(super) fn is_within(&self, other: &Self) -> bool {
        self.prompts.len() < other.prompts.len() && self.is_part_of(other)
    }

    /// Returns whether all prompts of this set are in `other`.
    pub(super) fn is_part_of(&self, other: &Self) -> bool {
        self.prompts.iter().all(|index| other.prompts.binary_search(index).is_ok())
    }

    /// Returns whether there are no crashes.
    pub(super) fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Returns whether two of `others` have all crashes of this set.
    pub(super) fn is_covered_by_two(&self, others: &[&Self]) -> bool {
        others.iter().enumerate().any(|(index, one)| {
            let rest = self.without(&[one]);
            rest.is_empty() || others[index + 1..].iter().any(|two| rest.without(&[two]).is_empty())
        })
    }

    /// Returns the number of prompts.
    pub(super) fn len(&self) -> usize {
        self.prompts.len()
    }
}
