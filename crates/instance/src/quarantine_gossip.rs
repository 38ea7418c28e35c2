//! Exchange of evidence against requests during whose runs upstreams crashed.
//!
//! The evidence against a request is stored by a few live members, which rendezvous hashing of the request's digest
//! selects: a series of crashes costs each member some datagrams, however large the fleet is. A member whose evidence
//! suffices to quarantine a request informs all members.

use std::{net, time};

use slipturn_core::{quarantine, rendezvous, request_digest, units};

use crate::{context, incoming_call, peer_message, upstream_ends};

/// Number of members that store the evidence against one request: with four of them gone or unreachable, one is left.
const EVIDENCE_REPLICAS: usize = 5;
/// Number of members up to which all of them store all evidence: the member that serves a request then knows without a
/// message that the request is suspected.
const SMALL_FLEET_MEMBERS: usize = 12;
/// Size in bytes of the largest body of requests whose answers are counted, which takes a digest of each.
const MAX_COUNTED_BODY: usize = 4 * 1024;
/// Most quarantined requests that are logged one by one; all are counted.
const MAX_LOGGED_DIGESTS: usize = 16;

/// Handles runs of this process during which their upstream crashed.
pub(crate) fn report(context: &context::InstanceContext, runs: &[upstream_ends::BrokenRun]) {
    let crashed_run = |run: &upstream_ends::BrokenRun| quarantine::CrashedRun {
        digest: run.digest,
        upstream: run.upstream.clone(),
        sent: run.sent.into(),
        ended: run.broke_at.into(),
    };
    record_evidence(context, runs.iter().map(crashed_run).collect());
    let now = context.now();
    for (replica, digests) in replicas_of(context, runs.iter().map(|run| run.digest)) {
        // All evidence against these requests is sent, so that its times are relative to the same moment.
        let crashes = crashes_of(context, &digests);
        for reports in report_batches(now, &crashes) {
            context.send_to(replica, peer_message::PeerMessage::Ends(reports));
        }
    }
}

/// Handles evidence that this member is to store.
pub(crate) fn receive_crashes(
    context: &context::InstanceContext,
    reports: Vec<peer_message::CrashReport>,
) {
    record_evidence(context, crashed_runs(context.now(), reports));
}

/// Handles evidence against requests that another member has quarantined.
pub(crate) fn receive_quarantine(
    context: &context::InstanceContext,
    from: net::SocketAddrV4,
    reports: Vec<peer_message::CrashReport>,
) {
    let now = context.now();
    let crashes = crashed_runs(now, reports);
    report_cleared(context, from, &crashes);
    let quarantined = context.quarantine.borrow_mut().note_crashes(now, crashes);
    log_quarantined(context, &quarantined, "member");
}

/// Deletes the evidence of crashes that happened at least `micros_ago` microseconds ago, against the request `digest`.
pub(crate) fn receive_cleared(
    context: &context::InstanceContext,
    digest: request_digest::RequestDigest,
    micros_ago: u64,
) {
    let age = time::Duration::from_micros(micros_ago);
    context.quarantine.borrow_mut().clear(digest, context.now().earlier_by(age));
}

/// Sends a member the evidence against all requests that this process has quarantined.
pub(crate) fn send_quarantine(context: &context::InstanceContext, to: net::SocketAddrV4) {
    let now = context.now();
    let quarantined = context.quarantine.borrow().quarantined_at(now);
    for reports in report_batches(now, &crashes_of(context, &quarantined)) {
        context.send_to(to, peer_message::PeerMessage::Held(reports));
    }
}

/// Records that an upstream has answered a request completely, and deletes the evidence against it.
pub(crate) fn answered(context: &context::InstanceContext, call: &incoming_call::IncomingCall) {
    let is_counted = call.body.len() <= MAX_COUNTED_BODY;
    if !is_counted && context.quarantine.borrow().is_empty() {
        return;
    }
    let digest = call.digest();
    if is_counted {
        context.quarantine.borrow_mut().note_answer(context.now(), digest);
    }
    if context.quarantine.borrow().suspects(digest) {
        clear(context, digest);
    }
}

/// Replies to a member that asks how often this process has answered requests.
pub(crate) fn receive_query(
    context: &context::InstanceContext,
    from: net::SocketAddrV4,
    requests: Vec<(request_digest::RequestDigest, u64)>,
) {
    let now = context.now();
    let answer = |(digest, first_us): (request_digest::RequestDigest, u64)| {
        let (rate, last) = context.quarantine.borrow().answers_to(now, digest);
        let age_us = micros(now.since(last?));
        let age_us = (age_us < first_us).then_some(age_us);
        Some(peer_message::RequestAnswer { digest, age_us, rate })
    };
    let answers: Vec<_> =
        requests.into_iter().take(quarantine::MAX_SUSPECTS).filter_map(answer).collect();
    if !answers.is_empty() {
        context.send_to(from, peer_message::PeerMessage::RequestAnswers(answers));
    }
}

/// Handles how often another member has answered requests.
pub(crate) fn receive_answers(
    context: &context::InstanceContext,
    answers: Vec<peer_message::RequestAnswer>,
) {
    let now = context.now();
    let members = context.members.borrow().alive(now).count();
    // The members that were asked stand for all.
    let represented = members.max(1) as f64 / members.clamp(1, SMALL_FLEET_MEMBERS) as f64;
    let mut table = context.quarantine.borrow_mut();
    for answer in answers {
        table.note_member_rate(answer.digest, answer.rate * represented);
        if let Some(age_us) = answer.age_us {
            table.clear(answer.digest, now.earlier_by(time::Duration::from_micros(age_us)));
        }
    }
}

/// Asks members how often they have answered the requests that have become suspect: all, or some of them in a large fleet.
fn ask(context: &context::InstanceContext) {
    let now = context.now();
    let suspects = context.quarantine.borrow_mut().take_suspects();
    if suspects.is_empty() {
        return;
    }
    let requests: Vec<_> =
        suspects.into_iter().map(|(digest, first)| (digest, micros(first.age(now)))).collect();
    // Members other than those that store the evidence, and others for each request.
    let subject = format!("answers to {}", requests[0].0);
    for to in ranked_members(context, &subject).into_iter().take(SMALL_FLEET_MEMBERS) {
        context.send_to(to, peer_message::PeerMessage::RequestQuery(requests.clone()));
    }
}

/// Deletes the evidence against a request, in this process and at the members that store it, or at all members if the
/// request is quarantined. Returns whether this process had any evidence.
pub(crate) fn clear(
    context: &context::InstanceContext,
    digest: request_digest::RequestDigest,
) -> bool {
    let now = context.now();
    let quarantined = context.quarantine.borrow().verdict(now, digest).is_some();
    let known = context.quarantine.borrow_mut().clear(digest, now);
    let recipients: Vec<_> = if quarantined {
        context.members.borrow().targets(context.settings().member_address)
    } else {
        replicas_of(context, [digest].into_iter()).into_iter().map(|(to, _)| to).collect()
    };
    for to in recipients {
        context.send_to(to, peer_message::PeerMessage::Cleared(digest, 0));
    }
    if quarantined {
        log::warn!(digest:%; "request.released");
    }
    known
}

/// Records evidence, and informs all members of the requests that are quarantined because of it.
fn record_evidence(context: &context::InstanceContext, crashes: Vec<quarantine::CrashedRun>) {
    let now = context.now();
    let quarantined = context.quarantine.borrow_mut().note_crashes(now, crashes);
    ask(context);
    if quarantined.is_empty() {
        return;
    }
    log_quarantined(context, &quarantined, "evidence");
    let evidence = crashes_of(context, &quarantined);
    for to in context.members.borrow().targets(context.settings().member_address) {
        for reports in report_batches(now, &evidence) {
            context.send_to(to, peer_message::PeerMessage::Held(reports));
        }
    }
}

/// Informs a member that has reported `crashes` of those requests that, as this process knows, were answered or
/// released after all reported crashes.
fn report_cleared(
    context: &context::InstanceContext,
    to: net::SocketAddrV4,
    crashes: &[quarantine::CrashedRun],
) {
    let now = context.now();
    let table = context.quarantine.borrow();
    let mut digests: Vec<_> = crashes.iter().map(|crash| crash.digest).collect();
    digests.dedup();
    for digest in digests {
        let Some(age) = table.answered_age(now, digest) else {
            continue;
        };
        let of_digest = crashes.iter().filter(|crash| crash.digest == digest);
        if of_digest.map(|crash| crash.ended.age(now)).all(|ended| ended >= age) {
            let message = peer_message::PeerMessage::Cleared(digest, micros(age));
            context.send_to(to, message);
        }
    }
}

/// Evidence of this process against the requests with these `digests`.
fn crashes_of(
    context: &context::InstanceContext,
    digests: &[request_digest::RequestDigest],
) -> Vec<quarantine::CrashedRun> {
    let table = context.quarantine.borrow();
    digests.iter().flat_map(|digest| table.crashes_of(*digest).to_vec()).collect()
}

/// Addresses of the members that store the evidence against the requests with these `digests`, each with the digests
/// whose evidence it stores.
fn replicas_of(
    context: &context::InstanceContext,
    digests: impl Iterator<Item = request_digest::RequestDigest>,
) -> Vec<(net::SocketAddrV4, Vec<request_digest::RequestDigest>)> {
    let mut replicas_by_address = std::collections::BTreeMap::<_, Vec<_>>::new();
    let mut digests: Vec<_> = digests.collect();
    digests.sort_unstable();
    digests.dedup();
    for digest in digests {
        for address in replicas(context, &digest.to_string()) {
            replicas_by_address.entry(address).or_default().push(digest);
        }
    }
    replicas_by_address.into_iter().collect()
}

/// Addresses of the members that store the evidence against `subject`.
pub(crate) fn replicas(
    context: &context::InstanceContext,
    subject: &str,
) -> Vec<net::SocketAddrV4> {
    let mut replicas = ranked_members(context, subject);
    if replicas.len() > SMALL_FLEET_MEMBERS {
        replicas.truncate(EVIDENCE_REPLICAS);
    }
    replicas
}

/// Addresses of all live members, in an order that depends on `subject`.
fn ranked_members(context: &context::InstanceContext, subject: &str) -> Vec<net::SocketAddrV4> {
    let members = context.members.borrow();
    let alive: Vec<_> = members.alive(context.now()).collect();
    let ranked = rendezvous::ranked(subject, alive.iter(), |heartbeat| heartbeat.name.as_str());
    ranked.into_iter().map(|member| member.address).collect()
}

/// Reports of `crashes` for other members, split into batches that each fit into a message.
fn report_batches(
    now: units::MonoTime,
    crashes: &[quarantine::CrashedRun],
) -> Vec<Vec<peer_message::CrashReport>> {
    let report = |crash: &quarantine::CrashedRun| peer_message::CrashReport {
        digest: crash.digest,
        upstream: crash.upstream.clone(),
        sent_us: micros(crash.sent.age(now)),
        ended_us: micros(crash.ended.age(now)),
    };
    let message = |crashes: &[quarantine::CrashedRun]| crashes.iter().map(report).collect();
    crashes.chunks(peer_message::MAX_CRASH_REPORTS).map(message).collect()
}

/// Converts reports to runs with times of this process's clock.
fn crashed_runs(
    now: units::MonoTime,
    reports: Vec<peer_message::CrashReport>,
) -> Vec<quarantine::CrashedRun> {
    let run = |report: peer_message::CrashReport| quarantine::CrashedRun {
        digest: report.digest,
        upstream: report.upstream,
        sent: quarantine::CrashTime::before(now, report.sent_us.max(report.ended_us)),
        ended: quarantine::CrashTime::before(now, report.ended_us),
    };
    reports.into_iter().map(run).collect()
}

fn micros(span: time::Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// Logs and counts requests that have just been quarantined, and signals the verdict to requests in progress.
fn log_quarantined(
    context: &context::InstanceContext,
    quarantined: &[request_digest::RequestDigest],
    source: &str,
) {
    let table = context.quarantine.borrow();
    for digest in quarantined.iter().take(MAX_LOGGED_DIGESTS) {
        let Some(verdict) = table.verdict(context.now(), *digest) else {
            continue;
        };
        let for_ms = units::whole_millis(verdict.until.since(context.now()));
        log::warn!(digest:%, source, upstreams = verdict.names(), for_ms; "request.quarantined");
    }
    drop(table);
    for _ in quarantined {
        context.stats.borrow_mut().count("quarantined", source);
    }
    if !quarantined.is_empty() {
        context.verdicts.notify_all();
    }
}
