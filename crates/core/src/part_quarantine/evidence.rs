//! Evidence against parts of prompts, and the verdicts that follow from it.

use std::{cmp, collections, time};

use crate::{
    ids,
    part_quarantine::{
        BlameMode, CrashedPrompt, CustomerScope, PartCountMode, PartScope, PartSubject,
        PartVerdict,
        answered_parts::AnsweredParts,
        crash_set::CrashSet,
        verdicts::{FIRST_TERM, PartVerdicts, SHORT_TERM},
    },
    prompt_part, units,
};

/// Counted crashes from which members are asked whether they have answered prompts with the part.
const SUSPECT_CRASHES: usize = 2;
/// Counted crashes from which a part is blamed.
const VERDICT_CRASHES: usize = 3;
/// Counted crashes from which a part is blamed although the service has answered no prompt since the first of them.
const UNANSWERED_CRASHES: usize = 5;
/// Time for members to reply before a part is blamed.
pub const REPLY_TIME: time::Duration = time::Duration::from_millis(100);
/// How long a crash is kept as evidence.
const EVIDENCE_TTL: time::Duration = time::Duration::from_secs(600);
/// Most prompts that are kept as evidence, up to a kilobyte each; the oldest are dropped first.
const MAX_PROMPTS: usize = 512;
/// Expected number of answers from which their lack is significant.
const SIGNIFICANT_ANSWERS: f64 = 4.0;
/// Answers a second below which a part counts as not answered before.
const MIN_RATE: f64 = 0.05;
/// Most parts about which members are asked at once.
pub const MAX_SUSPECTS: usize = 48;

/// Evidence against all parts.
#[derive(Debug, Default)]
pub struct PartEvidence {
    blame: BlameMode,
    count: PartCountMode,
    /// Crashed prompts, each with a part that was not answered since; each upstream and prompt occurs once.
    prompts: Vec<CrashedPrompt>,
    /// Parts about which members were asked.
    asked: collections::BTreeMap<PartSubject, AskedPart>,
}

/// What follows from the evidence.
#[derive(Debug, Default)]
pub struct PartJudgement {
    /// Parts to be quarantined.
    pub verdicts: Vec<PartVerdict>,
    /// Parts whose crashes these verdicts explain: a quarantine of such a part is to be withdrawn.
    explained: Vec<PartSubject>,
}

impl PartJudgement {
    /// Returns whether a quarantine in force is to be withdrawn, as other parts explain its crashes.
    pub fn withdraws(&self, known: &PartVerdict) -> bool {
        let is_explained = |part: &prompt_part::PartId| {
            let mut explained = self.explained.iter();
            explained.any(|subject| subject.scope == known.scope && subject.part == *part)
        };
        let is_upheld = self.verdicts.iter().any(|verdict| {
            verdict.scope == known.scope && known.parts.contains_all(&verdict.parts)
        });
        !is_upheld && known.parts.iter().any(is_explained)
    }
}

/// A part about which members were asked.
#[derive(Debug, Clone, Copy)]
struct AskedPart {
    at: units::MonoTime,
    /// Mean number of answers a second to prompts with the part, by the members that have replied.
    rate: f64,
}

/// What the evidence says of one part in a scope.
struct PartSuspicion<'a> {
    scope: &'a PartScope,
    part: &'a prompt_part::PartId,
    set: &'a CrashSet,
    /// Whether crashes count only in sequence.
    in_sequence: bool,
    /// Whether the members have had time to reply.
    confirmed: bool,
    /// Whether prompts with the part were answered regularly before.
    answered_before: bool,
    weight: f64,
}

impl PartSuspicion<'_> {
    fn subject(&self) -> PartSubject {
        PartSubject { scope: self.scope.clone(), part: self.part.clone() }
    }

    /// Returns how many crashes of a set count against this part.
    fn counted(&self, set: &CrashSet) -> usize {
        set.counted(self.in_sequence)
    }

    /// Orders parts by how likely they are the cause: those never answered before, then by the weight of their crashes,
    /// then the more specific ones.
    fn order(&self, other: &Self) -> cmp::Ordering {
        let by_weight = other.weight.total_cmp(&self.weight);
        let by_length = self.set.len().cmp(&other.set.len());
        self.answered_before.cmp(&other.answered_before).then(by_weight).then(by_length)
    }
}

/// Crashes that more likely causes explain.
#[derive(Default)]
struct ExplainedCrashes<'a> {
    /// By parts that are blamed, or will be unless they were answered.
    by_causes: Vec<&'a CrashSet>,
    /// By suspects that were never answered before; only parts that were are spared for them.
    by_suspects: Vec<&'a CrashSet>,
}

impl<'a> ExplainedCrashes<'a> {
    fn note_suspect(&mut self, suspicion: &PartSuspicion<'a>) {
        if !suspicion.answered_before {
            self.by_suspects.push(suspicion.set);
        }
    }

    /// Returns the crashes of a part that are not explained.
    fn rest(&self, suspicion: &PartSuspicion<'_>) -> CrashSet {
        let rest = suspicion.set.without(&self.by_causes);
        if suspicion.answered_before { rest.without(&self.by_suspects) } else { rest }
    }
}

impl PartEvidence {
    /// Creates a table without evidence that attributes and counts crashes as given.
    pub fn new(blame: BlameMode, count: PartCountMode) -> Self {
        Self { blame, count, ..Self::default() }
    }

    /// Returns whether there is no evidence.
    pub fn is_empty(&self) -> bool {
        self.prompts.is_empty()
    }

    /// Returns the time of the first crash that is kept.
    pub fn first_crash(&self) -> units::MonoTime {
        self.prompts.iter().map(|prompt| prompt.ended).min().unwrap_or_default()
    }

    /// Adds crashed prompts, and drops those that are too old or whose parts were all answered since.
    pub fn note_crashes(
        &mut self,
        now: units::MonoTime,
        answered: &AnsweredParts,
        prompts: impl IntoIterator<Item = CrashedPrompt>,
    ) {
        for prompt in prompts {
            let is_same = |known: &CrashedPrompt| {
                known.upstream == prompt.upstream
                    && known.parts == prompt.parts
                    && known.customer == prompt.customer
                    && known.sent.max(prompt.sent).since(known.sent.min(prompt.sent))
                        < REPLY_TIME / 10
            };
            if !prompt.parts.is_empty() && !self.prompts.iter().any(is_same) {
                self.prompts.push(prompt);
            }
        }
        self.drop_cleared(now, answered);
        let excess = self.prompts.len().saturating_sub(MAX_PROMPTS);
        self.prompts.sort_by_key(|prompt| prompt.ended);
        self.prompts.drain(..excess);
    }

    /// Drops evidence that is too old or against parts that were all answered since.
    pub fn drop_cleared(&mut self, now: units::MonoTime, answered: &AnsweredParts) {
        self.prompts.retain(|prompt| {
            let scopes = PartScope::of_prompt(&prompt.service, prompt.customer.as_ref());
            let mut subjects = scopes.iter().flat_map(|scope| scope.subjects(&prompt.parts));
            now.since(prompt.ended) < EVIDENCE_TTL
                && subjects.any(|subject| !is_cleared(answered, &subject, prompt.ended))
        });
        let prompts = &self.prompts;
        self.asked.retain(|subject, asked| {
            now.since(asked.at) < EVIDENCE_TTL
                && prompts.iter().any(|prompt| is_evidence(prompt, subject))
        });
    }

    /// Records the mean number of answers a second of a member that was asked about a part.
    pub fn note_rate(&mut self, subject: &PartSubject, rate: f64) {
        if let Some(asked) = self.asked.get_mut(subject) {
            asked.rate += rate.max(0.0);
        }
    }

    /// Returns the parts about which members are to be asked now, and records that they are.
    pub fn take_suspects(
        &mut self,
        now: units::MonoTime,
        answered: &AnsweredParts,
    ) -> Vec<PartSubject> {
        let mut suspects = Vec::new();
        for (scope, prompts) in self.scopes() {
            for (part, set) in self.crash_sets(&scope, &prompts, answered) {
                let subject = PartSubject { scope: scope.clone(), part };
                let is_asked =
                    self.asked.get(&subject).is_some_and(|asked| asked.at >= set.first_crash());
                if !is_asked && set.counted(false) >= SUSPECT_CRASHES {
                    suspects.push(subject);
                }
            }
        }
        suspects.truncate(MAX_SUSPECTS);
        let asked = |subject: &PartSubject| {
            (subject.clone(), AskedPart { at: now, rate: answered.rate(now, subject) })
        };
        self.asked.extend(suspects.iter().map(asked));
        suspects
    }

    /// Returns what follows from the evidence; `known` are the verdicts in force.
    pub fn judge(
        &self,
        now: units::MonoTime,
        answered: &AnsweredParts,
        known: &PartVerdicts,
    ) -> PartJudgement {
        let scopes = self.scopes();
        let sets = scopes
            .iter()
            .map(|(scope, prompts)| (scope, self.crash_sets(scope, prompts, answered)));
        let sets: Vec<_> = sets.collect();
        let prompts_on = self.prompts_on();
        let suspicions = sets.iter().flat_map(|(scope, sets)| {
            let suspicion = |(part, set)| self.suspicion(now, scope, part, set, &prompts_on);
            sets.iter().filter_map(suspicion).map(move |suspicion| (suspicion, sets))
        });
        let mut suspicions: Vec<_> = suspicions.collect();
        suspicions.sort_by(|(one, _), (other, _)| one.order(other));
        let mut explained = ExplainedCrashes::default();
        let mut judgement = PartJudgement::default();
        let mut judged: Vec<&CrashSet> = Vec::new();
        for (suspicion, sets) in &suspicions {
            let PartSuspicion { scope, part, set, .. } = suspicion;
            let others = suspicions.iter().filter(|(other, _)| other.part != suspicion.part);
            let others = others.map(|(other, _)| other.set);
            if !self.is_cause(suspicion, others, &explained) {
                explained.note_suspect(suspicion);
                if set.without(&judged).is_empty() {
                    judgement.explained.push(suspicion.subject());
                }
                continue;
            }
            if self.blame == BlameMode::Specific {
                explained.by_causes.push(set);
            }
            let control = answered.service(&scope.service);
            let has_control = control.is_some_and(|at| at > set.first_crash());
            let is_enough = has_control || suspicion.counted(set) >= UNANSWERED_CRASHES;
            if !is_enough || !suspicion.confirmed {
                continue;
            }
            let parts = self.parts_in_common(part, set, sets);
            let (upstreams, last_crash) = (set.upstreams(), set.last_crash());
            let is_doubtful =
                !has_control || suspicion.answered_before || is_covered(suspicion, &suspicions);
            let first = if is_doubtful { SHORT_TERM } else { FIRST_TERM };
            let term =
                known.next_term(scope, &parts, last_crash).map_or(first, |term| term.max(first));
            let scope = (*scope).clone();
            judgement.verdicts.push(PartVerdict { scope, parts, upstreams, last_crash, term });
            judged.push(set);
        }
        judgement
    }

    /// Returns what the crashes say of a part; `None` if too few count.
    fn suspicion<'a>(
        &self,
        now: units::MonoTime,
        scope: &'a PartScope,
        part: &'a prompt_part::PartId,
        set: &'a CrashSet,
        prompts_on: &collections::BTreeMap<ids::UpstreamId, usize>,
    ) -> Option<PartSuspicion<'a>> {
        let subject = PartSubject { scope: scope.clone(), part: part.clone() };
        let asked = self.asked.get(&subject)?;
        let expected = asked.rate * now.since(set.first_crash()).as_secs_f64();
        let answered_before = asked.rate >= MIN_RATE;
        let in_sequence = match self.count {
            PartCountMode::Moments => false,
            PartCountMode::Sequence => true,
            PartCountMode::ByRate => answered_before && expected < SIGNIFICANT_ANSWERS,
        };
        let confirmed = asked.at + REPLY_TIME <= now;
        let is_suspect = set.counted(in_sequence) >= SUSPECT_CRASHES;
        let weight = set.weight(prompts_on);
        let suspicion =
            PartSuspicion { scope, part, set, in_sequence, confirmed, answered_before, weight };
        is_suspect.then_some(suspicion)
    }

    /// Returns whether a part is the cause of crashes that neither other parts (`explained`) nor a few more specific
    /// suspects explain.
    fn is_cause<'a>(
        &self,
        suspicion: &PartSuspicion<'_>,
        others: impl Iterator<Item = &'a CrashSet>,
        explained: &ExplainedCrashes<'_>,
    ) -> bool {
        let counted = |set: &CrashSet| suspicion.counted(set);
        let rest = explained.rest(suspicion);
        if counted(&rest) < VERDICT_CRASHES {
            return false;
        }
        if self.blame == BlameMode::Independent {
            return true;
        }
        let nested: Vec<_> = others.filter(|other| other.is_within(suspicion.set)).collect();
        let by_one = nested.iter().any(|one| counted(&rest.without(&[one])) < VERDICT_CRASHES);
        !by_one && !rest.is_covered_by_two(&nested)
    }

    /// Returns the number of crashed prompts by engine.
    fn prompts_on(&self) -> collections::BTreeMap<ids::UpstreamId, usize> {
        let mut counts = collections::BTreeMap::new();
        for prompt in &self.prompts {
            *counts.entry(prompt.upstream.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns a part together with the other parts that all its crashed prompts have.
    fn parts_in_common(
        &self,
        part: &prompt_part::PartId,
        set: &CrashSet,
        sets: &collections::BTreeMap<prompt_part::PartId, CrashSet>,
    ) -> prompt_part::SharedParts {
        if self.blame == BlameMode::Independent {
            return [part.clone()].into_iter().collect();
        }
        let common = sets.iter().filter(|(_, other)| set.is_part_of(other));
        common.map(|(part, _)| part.clone()).collect()
    }

    /// Returns the crashes by part of the `prompts` in a scope, without those that the part was cleared of.
    fn crash_sets(
        &self,
        scope: &PartScope,
        prompts: &[usize],
        answered: &AnsweredParts,
    ) -> collections::BTreeMap<prompt_part::PartId, CrashSet> {
        let mut sets = collections::BTreeMap::<_, CrashSet>::new();
        for index in prompts {
            let prompt = &self.prompts[*index];
            for subject in scope.subjects(&prompt.parts) {
                if !is_cleared(answered, &subject, prompt.ended) {
                    sets.entry(subject.part).or_default().push(*index, prompt);
                }
            }
        }
        if scope.customers == CustomerScope::All {
            sets.retain(|part, _| self.has_two_customers(scope, part));
        }
        sets
    }

    /// Returns whether prompts of two customers with the part have crashed engines.
    fn has_two_customers(&self, scope: &PartScope, part: &prompt_part::PartId) -> bool {
        let subject = PartSubject { scope: scope.clone(), part: part.clone() };
        let prompts = self.prompts.iter().filter(|prompt| is_evidence(prompt, &subject));
        let customers: collections::BTreeSet<_> = prompts.map(|prompt| &prompt.customer).collect();
        customers.len() > 1
    }

    /// Returns the scopes with enough crashes for a suspicion, each with the indices of its prompts.
    fn scopes(&self) -> collections::BTreeMap<PartScope, Vec<usize>> {
        let mut scopes = collections::BTreeMap::<_, Vec<usize>>::new();
        for (index, prompt) in self.prompts.iter().enumerate() {
            for scope in PartScope::of_prompt(&prompt.service, prompt.customer.as_ref()) {
                scopes.entry(scope).or_default().push(index);
            }
        }
        scopes.retain(|_, prompts| prompts.len() >= SUSPECT_CRASHES);
        scopes
    }
}

/// Returns whether at most two other suspects were present at all crashes of a part, so that these may be the causes.
fn is_covered<T>(suspicion: &PartSuspicion<'_>, all: &[(PartSuspicion<'_>, T)]) -> bool {
    let others = all
        .iter()
        .map(|(other, _)| other)
        .filter(|other| other.part != suspicion.part && !suspicion.set.is_part_of(other.set));
    suspicion.set.is_covered_by_two(&others.map(|other| other.set).collect::<Vec<_>>())
}

/// Returns whether a part was answered after a crash.
fn is_cleared(answered: &AnsweredParts, subject: &PartSubject, crashed: units::MonoTime) -> bool {
    answered.part(subject).is_some_and(|at| at > crashed)
}

/// Returns whether a crashed prompt is evidence against a part.
fn is_evidence(prompt: &CrashedPrompt, subject: &PartSubject) -> bool {
    subject.scope.contains(&prompt.service, prompt.customer.as_ref())
        && prompt.parts.iter().any(|part| *part == subject.part)
}
