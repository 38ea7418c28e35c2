//! Exchange of evidence against parts of prompts under which engines crashed.
//!
//! The evidence for a service is stored by a few live members, which rendezvous hashing of the service's name selects. Of
//! a part under which engines crashed repeatedly, they ask all members whether it was answered meanwhile; if it was not,
//! they inform all members that prompts with it are quarantined.

use std::{collections, net, rc, time};

use slipturn_core::{
    ids,
    part_quarantine::{self, answered_parts, evidence, verdicts},
    prompt_part, units,
};
use slipturn_net::process;

use crate::{context, incoming_call, peer_message, quarantine_gossip, upstream_ends};

/// How long a member that was asked about a part reports the next answer to a prompt with it.
const WATCH_TIME: time::Duration = time::Duration::from_secs(60);
/// Most parts whose next answer is reported; about 100 bytes each.
const MAX_WATCHED: usize = 512;
/// Delay of an evaluation, within which evidence is collected.
const EVALUATION_DELAY: time::Duration = time::Duration::from_millis(20);
/// Most withdrawn quarantines that are remembered.
const MAX_WITHDRAWN: usize = 64;

/// Evidence, answers and quarantines that this process knows.
#[derive(Debug, Default)]
pub struct PartState {
    /// Complete answers of this process, and those that members have reported.
    answered: answered_parts::AnsweredParts,
    evidence: evidence::PartEvidence,
    /// Quarantines in force.
    pub(crate) verdicts: verdicts::PartVerdicts,
    /// Parts whose next answer is reported to the members that store the evidence, with the end of that.
    watched: collections::BTreeMap<part_quarantine::PartSubject, units::MonoTime>,
    /// Whether an evaluation of the evidence is scheduled.
    is_scheduled: bool,
    /// Quarantines that were withdrawn, oldest first: members that have missed that may still report them.
    withdrawn: collections::VecDeque<(
        part_quarantine::PartScope,
        prompt_part::SharedParts,
        units::MonoTime,
    )>,
}

/// Handles runs of this process during which their engine crashed.
pub(crate) fn report(
    context: &rc::Rc<context::InstanceContext>,
    runs: &[upstream_ends::BrokenRun],
) {
    let with_parts = runs.iter().filter(|run| !run.parts.is_empty());
    let crashed = with_parts.map(|run| part_quarantine::CrashedPrompt {
        service: run.service.clone(),
        customer: run.customer.clone(),
        parts: run.parts.clone(),
        upstream: run.upstream.clone(),
        sent: run.sent,
        ended: run.broke_at,
    });
    let crashed: Vec<_> = crashed.collect();
    let Some(first) = crashed.first() else {
        return;
    };
    let now = context.now();
    for to in quarantine_gossip::replicas(context, first.service.as_str()) {
        for reports in crashed.chunks(peer_message::MAX_PROMPT_REPORTS) {
            let reports = reports.iter().map(|prompt| crash_report(now, prompt)).collect();
            context.send_to(to, peer_message::PeerMessage::PartCrashes(reports));
        }
    }
    record_crashes(context, crashed);
}

/// Handles evidence that this member is to store.
pub(crate) fn receive_crashes(
    context: &rc::Rc<context::InstanceContext>,
    reports: Vec<peer_message::PromptCrashReport>,
) {
    let now = context.now();
    let crashed = reports.into_iter().map(|report| part_quarantine::CrashedPrompt {
        service: report.service,
        customer: report.customer,
        parts: report.parts,
        upstream: report.upstream,
        sent: ago(now, report.sent_us.max(report.ended_us)),
        ended: ago(now, report.ended_us),
    });
    record_crashes(context, crashed.collect());
}

/// Replies to a member that asks about parts, and watches for the next answer to a prompt with one of them.
pub(crate) fn receive_query(
    context: &context::InstanceContext,
    from: net::SocketAddrV4,
    first_us: u64,
    subjects: Vec<part_quarantine::PartSubject>,
) {
    let now = context.now();
    let first_crash = ago(now, first_us);
    let mut state = context.part_state.borrow_mut();
    let services: collections::BTreeSet<_> =
        subjects.iter().map(|subject| subject.scope.service.clone()).collect();
    let service_age = |service: ids::ServiceId| {
        Some((service.clone(), age(now, state.answered.service(&service)?)))
    };
    let services = services.into_iter().filter_map(service_age).collect();
    let answer = |subject: &part_quarantine::PartSubject| {
        let last = state.answered.part(subject)?;
        let age_us = (last > first_crash).then(|| age(now, last));
        let rate = state.answered.rate(now, subject);
        Some(peer_message::PartAnswer { subject: subject.clone(), age_us, rate })
    };
    let parts = subjects.iter().filter_map(answer).collect();
    let report = peer_message::PartAnswerReport { services, parts };
    state.watch(now, subjects);
    context.send_to(from, peer_message::PeerMessage::PartAnswers(report));
}

/// Handles answers to prompts, as another member has reported them.
pub(crate) fn receive_answers(
    context: &rc::Rc<context::InstanceContext>,
    report: peer_message::PartAnswerReport,
) {
    let now = context.now();
    {
        let fleet = context.fleet.borrow();
        let is_known = |service: &ids::ServiceId| fleet.routes.services.contains_key(service);
        let mut state = context.part_state.borrow_mut();
        // Unknown names would use memory.
        for (service, age_us) in report.services.into_iter().filter(|(name, _)| is_known(name)) {
            state.answered.note_service(ago(now, age_us), service);
        }
        for answer in report.parts {
            state.evidence.note_rate(&answer.subject, answer.rate);
            if let Some(age_us) = answer.age_us {
                state.answered.note_part(ago(now, age_us), answer.subject);
            }
        }
    }
    schedule_evaluation(context);
}

/// Handles quarantines that another member knows; replies with the release of those that this process knows to have ended since.
pub(crate) fn receive_verdicts(
    context: &context::InstanceContext,
    from: net::SocketAddrV4,
    reports: Vec<peer_message::PartVerdictReport>,
) {
    let now = context.now();
    for report in reports {
        let verdict = part_quarantine::PartVerdict {
            scope: report.scope,
            parts: report.parts,
            upstreams: report.upstreams,
            last_crash: ago(now, report.crashed_us),
            term: time::Duration::from_micros(report.term_us),
        };
        if verdict.parts.is_empty() {
            continue;
        }
        let released = context.part_state.borrow().released_since(&verdict);
        match released {
            Some((at, cleared)) => {
                let (scope, parts, age_us) = (verdict.scope, verdict.parts, age(now, at));
                let report = peer_message::PartReleaseReport { scope, parts, age_us, cleared };
                context.send_to(from, peer_message::PeerMessage::PartRelease(report));
            }
            None => apply(context, verdict, "member"),
        }
    }
}

/// Ends the quarantine of parts, as another member has done.
pub(crate) fn receive_release(
    context: &context::InstanceContext,
    report: &peer_message::PartReleaseReport,
) {
    let at = ago(context.now(), report.age_us);
    context.part_state.borrow_mut().release(&report.scope, &report.parts, at, report.cleared);
}

/// Records that this process or another member tries a prompt with quarantined parts.
pub(crate) fn note_trial(
    context: &context::InstanceContext,
    scope: part_quarantine::PartScope,
    parts: prompt_part::SharedParts,
) {
    context.part_state.borrow_mut().verdicts.note_trial(context.now(), scope, parts);
}

/// Informs all members that this process tries a prompt with quarantined parts.
pub(crate) fn announce_trial(
    context: &context::InstanceContext,
    scope: &part_quarantine::PartScope,
    parts: &prompt_part::SharedParts,
) {
    let message = peer_message::PeerMessage::PartTrial(scope.clone(), parts.clone());
    send_to_all(context, &message);
}

/// Sends a member all quarantines of parts.
pub(crate) fn send_verdicts(context: &context::InstanceContext, to: net::SocketAddrV4) {
    let reports: Vec<_> = {
        let (now, state) = (context.now(), context.part_state.borrow());
        state.verdicts.iter().map(|verdict| verdict_report(now, verdict)).collect()
    };
    for reports in reports.chunks(peer_message::MAX_VERDICT_REPORTS) {
        context.send_to(to, peer_message::PeerMessage::PartVerdicts(reports.to_vec()));
    }
}

/// Records that a prompt was answered completely: its parts are cleared of earlier crashes.
pub(crate) fn answered(context: &context::InstanceContext, call: &incoming_call::IncomingCall) {
    let (service, parts) = (&call.service, &call.request.parts);
    let now = context.now();
    let customer = call.customer.as_ref();
    let mut state = context.part_state.borrow_mut();
    state.answered.note_prompt(now, service, customer, parts);
    if parts.is_empty() {
        return;
    }
    let watched = state.take_watched(service, customer, parts);
    let released =
        state.verdicts.find(now, service, customer, parts).map(|(verdict, _)| verdict.clone());
    drop(state);
    if !watched.is_empty() {
        let report =
            peer_message::PartAnswerReport { services: vec![(service.clone(), 0)], parts: watched };
        for to in quarantine_gossip::replicas(context, service.as_str()) {
            context.send_to(to, peer_message::PeerMessage::PartAnswers(report.clone()));
        }
    }
    if let Some(verdict) = released {
        release(context, &verdict, true);
    }
}

/// Ends the quarantines of exactly these parts, for an operator; returns whether there were any.
pub(crate) fn release_parts(
    context: &context::InstanceContext,
    parts: &prompt_part::SharedParts,
) -> bool {
    let found: Vec<_> = {
        let state = context.part_state.borrow();
        state.verdicts.iter().filter(|verdict| verdict.parts == *parts).cloned().collect()
    };
    found.iter().for_each(|verdict| release(context, verdict, true));
    !found.is_empty()
}

/// Ends a quarantine here and at all members; if the parts are `cleared`, the evidence against them is dropped, too.
fn release(
    context: &context::InstanceContext,
    verdict: &part_quarantine::PartVerdict,
    cleared: bool,
) {
    let (scope, parts) = (&verdict.scope, &verdict.parts);
    context.part_state.borrow_mut().release(scope, parts, context.now(), cleared);
    let report = peer_message::PartReleaseReport {
        scope: scope.clone(),
        parts: parts.clone(),
        age_us: 0,
        cleared,
    };
    let message = peer_message::PeerMessage::PartRelease(report);
    send_to_all(context, &message);
    log::warn!(scope:%, parts:%, cleared; "part.released");
}

/// Records evidence and schedules its evaluation.
fn record_crashes(
    context: &rc::Rc<context::InstanceContext>,
    crashed: Vec<part_quarantine::CrashedPrompt>,
) {
    let mut guard = context.part_state.borrow_mut();
    let state = &mut *guard;
    state.evidence.note_crashes(context.now(), &state.answered, crashed);
    drop(guard);
    schedule_evaluation(context);
}

/// Evaluates the evidence soon, and once for all that arrives until then: a failure of many engines is reported by many
/// members, and so are answers.
fn schedule_evaluation(context: &rc::Rc<context::InstanceContext>) {
    let mut state = context.part_state.borrow_mut();
    if state.evidence.is_empty() || std::mem::replace(&mut state.is_scheduled, true) {
        return;
    }
    drop(state);
    let context = rc::Rc::clone(context);
    process::spawn_isolated(async move {
        monoio::time::sleep(EVALUATION_DELAY).await;
        context.part_state.borrow_mut().is_scheduled = false;
        ask_and_evaluate(&context);
    });
}

/// Asks the members about parts that have become suspect, and evaluates the evidence now and after their replies.
fn ask_and_evaluate(context: &rc::Rc<context::InstanceContext>) {
    let suspects = {
        let mut guard = context.part_state.borrow_mut();
        let state = &mut *guard;
        state.evidence.take_suspects(context.now(), &state.answered)
    };
    if !suspects.is_empty() {
        ask(context, suspects);
        let context = rc::Rc::clone(context);
        process::spawn_isolated(async move {
            monoio::time::sleep(evidence::REPLY_TIME).await;
            evaluate(&context);
        });
    }
    evaluate(context);
}

/// Asks all members whether they have answered prompts with these parts.
fn ask(context: &context::InstanceContext, suspects: Vec<part_quarantine::PartSubject>) {
    let now = context.now();
    let mut state = context.part_state.borrow_mut();
    let first = state.evidence.first_crash();
    let named: Vec<_> = suspects.iter().map(|subject| subject.part.to_string()).collect();
    log::info!(suspects = named.join(" "); "part.suspected");
    state.watch(now, suspects.clone());
    drop(state);
    let message = peer_message::PeerMessage::PartQuery(age(now, first), suspects);
    send_to_all(context, &message);
}

/// Quarantines the parts that the evidence of this process suffices for, here and at all members.
fn evaluate(context: &rc::Rc<context::InstanceContext>) {
    let now = context.now();
    let (found, withdrawn) = {
        let mut guard = context.part_state.borrow_mut();
        let state = &mut *guard;
        state.evidence.drop_cleared(now, &state.answered);
        if state.evidence.is_empty() {
            return;
        }
        let judgement = state.evidence.judge(now, &state.answered, &state.verdicts);
        let known = state.verdicts.iter();
        let withdrawn: Vec<_> = known.filter(|known| judgement.withdraws(known)).cloned().collect();
        let is_new = |verdict: &part_quarantine::PartVerdict| !state.verdicts.covers(verdict);
        let found: Vec<_> = judgement.verdicts.into_iter().filter(is_new).collect();
        (found, withdrawn)
    };
    withdrawn.iter().for_each(|verdict| release(context, verdict, false));
    if found.is_empty() {
        return;
    }
    let reports: Vec<_> = found.iter().map(|verdict| verdict_report(now, verdict)).collect();
    for to in context.members.borrow().targets(context.settings().member_address) {
        for reports in reports.chunks(peer_message::MAX_VERDICT_REPORTS) {
            context.send_to(to, peer_message::PeerMessage::PartVerdicts(reports.to_vec()));
        }
    }
    found.into_iter().for_each(|verdict| apply(context, verdict, "evidence"));
}

/// Puts a quarantine in force, and signals it to requests in progress.
fn apply(context: &context::InstanceContext, verdict: part_quarantine::PartVerdict, source: &str) {
    let now = context.now();
    let (scope, parts, upstreams) = (verdict.scope.clone(), verdict.parts.clone(), verdict.names());
    let for_ms = units::whole_millis(verdict.until().since(now));
    if !context.part_state.borrow_mut().verdicts.insert(now, verdict) {
        return;
    }
    log::warn!(scope:%, parts:%, source, upstreams, for_ms; "part.quarantined");
    context.stats.borrow_mut().count("parts_quarantined", source);
    context.verdicts.notify_all();
}

impl PartState {
    /// Returns when a verdict was released after its last crash, if it was, and whether its parts were cleared then.
    fn released_since(
        &self,
        verdict: &part_quarantine::PartVerdict,
    ) -> Option<(units::MonoTime, bool)> {
        let withdrawn = self.withdrawn.iter().find(|(scope, parts, at)| {
            *scope == verdict.scope && *parts == verdict.parts && *at > verdict.last_crash
        });
        if let Some((_, _, at)) = withdrawn {
            return Some((*at, false));
        }
        let subjects = verdict.scope.subjects(&verdict.parts);
        let answered = subjects.map(|subject| self.answered.part(&subject));
        let answered = answered.min().flatten().filter(|at| *at > verdict.last_crash);
        answered.map(|at| (at, true))
    }

    fn watch(
        &mut self,
        now: units::MonoTime,
        subjects: impl IntoIterator<Item = part_quarantine::PartSubject>,
    ) {
        self.watched.retain(|_, until| now < *until);
        self.watched.extend(subjects.into_iter().map(|subject| (subject, now + WATCH_TIME)));
        while self.watched.len() > MAX_WATCHED {
            self.watched.pop_first();
        }
    }

    /// Removes the parts of an answered prompt that are watched, and returns them as they are reported.
    fn take_watched(
        &mut self,
        service: &ids::ServiceId,
        customer: Option<&ids::CustomerId>,
        parts: &prompt_part::SharedParts,
    ) -> Vec<peer_message::PartAnswer> {
        if self.watched.is_empty() {
            return Vec::new();
        }
        let scopes = part_quarantine::PartScope::of_prompt(service, customer);
        let subjects: Vec<_> = scopes.iter().flat_map(|scope| scope.subjects(parts)).collect();
        let watched = subjects.into_iter().filter(|subject| self.watched.remove(subject).is_some());
        let watched: Vec<_> = watched.collect();
        let answer = |subject| peer_message::PartAnswer { subject, age_us: Some(0), rate: 0.0 };
        watched.into_iter().map(answer).collect()
    }

    fn release(
        &mut self,
        scope: &part_quarantine::PartScope,
        parts: &prompt_part::SharedParts,
        at: units::MonoTime,
        cleared: bool,
    ) {
        self.verdicts.release(scope, parts, at);
        if cleared {
            for subject in scope.subjects(parts) {
                self.answered.note_part(at, subject);
            }
            return;
        }
        self.withdrawn.push_back((scope.clone(), parts.clone(), at));
        if self.withdrawn.len() > MAX_WITHDRAWN {
            self.withdrawn.pop_front();
        }
    }
}

/// Sends a message to all members.
fn send_to_all(context: &context::InstanceContext, message: &peer_message::PeerMessage) {
    for to in context.members.borrow().targets(context.settings().member_address) {
        context.send_to(to, message.clone());
    }
}

fn crash_report(
    now: units::MonoTime,
    prompt: &part_quarantine::CrashedPrompt,
) -> peer_message::PromptCrashReport {
    peer_message::PromptCrashReport {
        service: prompt.service.clone(),
        customer: prompt.customer.clone(),
        parts: prompt.parts.clone(),
        upstream: prompt.upstream.clone(),
        sent_us: age(now, prompt.sent),
        ended_us: age(now, prompt.ended),
    }
}

fn verdict_report(
    now: units::MonoTime,
    verdict: &part_quarantine::PartVerdict,
) -> peer_message::PartVerdictReport {
    peer_message::PartVerdictReport {
        scope: verdict.scope.clone(),
        parts: verdict.parts.clone(),
        upstreams: verdict.upstreams.clone(),
        crashed_us: age(now, verdict.last_crash),
        term_us: u64::try_from(verdict.term.as_micros()).unwrap_or(u64::MAX),
    }
}

/// Age of a moment, in microseconds.
fn age(now: units::MonoTime, at: units::MonoTime) -> u64 {
    u64::try_from(now.since(at).as_micros()).unwrap_or(u64::MAX)
}

/// The moment `micros` microseconds ago by this process's clock; times before its start become its start.
fn ago(now: units::MonoTime, micros: u64) -> units::MonoTime {
    now.earlier_by(time::Duration::from_micros(micros))
}
