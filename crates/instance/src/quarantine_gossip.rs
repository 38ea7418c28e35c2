//! What members tell each other of requests that upstreams end under.
//!
//! Evidence goes to a few members, found by hashing the request's digest over those that are alive:
//! a storm of crashes costs each member some datagrams, however many there are. Who sees there that a
//! request is quarantined informs all.

use std::{net, time};

use slipturn_core::{quarantine, rendezvous, request_digest, units};

use crate::{context, peer_message, upstream_ends};

/// Members that keep the evidence against one request: with four of them gone or cut off, one is left.
const KEEPERS: usize = 5;
/// Members up to which all keep it: a small fleet needs no choice, and who serves a request knows then
/// that it is a suspect.
const SMALL_FLEET: usize = 12;
/// Digests that a log line names in full; more are counted.
const MAX_LOGGED: usize = 16;

/// Takes in runs of this process under which an upstream ended.
pub(crate) fn report(context: &context::InstanceContext, runs: &[upstream_ends::BrokenRun]) {
    let ended = |run: &upstream_ends::BrokenRun| quarantine::CrashedRun {
        digest: run.digest,
        upstream: run.upstream.clone(),
        sent: run.sent,
        ended: run.broke,
    };
    hold_new(context, runs.iter().map(ended).collect());
    let now = context.now();
    for (keeper, digests) in members_for(context, runs.iter().map(|run| run.digest)) {
        // All that is known here of these requests, so that the times fit each other.
        let ends = ends_of(context, &digests);
        for reports in reports(now, &ends) {
            context.send_to(keeper, peer_message::PeerMessage::Ends(reports));
        }
    }
}

/// Takes in evidence that this member is to keep.
pub(crate) fn receive_ends(
    context: &context::InstanceContext,
    reports: Vec<peer_message::EndReport>,
) {
    hold_new(context, ended_runs(context.now(), reports));
}

/// Takes in evidence against requests that another member holds back.
pub(crate) fn receive_held(
    context: &context::InstanceContext,
    from: net::SocketAddrV4,
    reports: Vec<peer_message::EndReport>,
) {
    let now = context.now();
    let ends = ended_runs(now, reports);
    tell_answered(context, from, &ends);
    let held = context.quarantine.borrow_mut().note_crashes(now, ends);
    log_held(context, &held, "member");
}

/// Takes in that a request is not the cause of ends before.
pub(crate) fn receive_cleared(
    context: &context::InstanceContext,
    digest: request_digest::RequestDigest,
    micros_ago: u64,
) {
    let age = time::Duration::from_micros(micros_ago);
    context.quarantine.borrow_mut().clear(digest, context.now().earlier_by(age));
}

/// Tells a member what is held back here.
pub(crate) fn send_held(context: &context::InstanceContext, to: net::SocketAddrV4) {
    let now = context.now();
    let held = context.quarantine.borrow().quarantined_at(now);
    for reports in reports(now, &ends_of(context, &held)) {
        context.send_to(to, peer_message::PeerMessage::Held(reports));
    }
}

/// Records that an upstream has answered a request to the end, where crashes are evidence against it; `digest` is
/// asked for only then.
pub(crate) fn answered(
    context: &context::InstanceContext,
    digest: impl FnOnce() -> request_digest::RequestDigest,
) {
    if context.quarantine.borrow().is_empty() {
        return;
    }
    let digest = digest();
    if context.quarantine.borrow().suspects(digest) {
        clear(context, digest);
    }
}

/// Lets a request go, here and at all members; whether anything was known of it.
pub(crate) fn clear(
    context: &context::InstanceContext,
    digest: request_digest::RequestDigest,
) -> bool {
    let now = context.now();
    let held = context.quarantine.borrow().verdict(now, digest).is_some();
    let known = context.quarantine.borrow_mut().clear(digest, now);
    let told: Vec<_> = if held {
        context.members.borrow().targets(context.settings().member_address)
    } else {
        members_for(context, [digest].into_iter()).into_iter().map(|(to, _)| to).collect()
    };
    for to in told {
        context.send_to(to, peer_message::PeerMessage::Cleared(digest, 0));
    }
    if held {
        log::warn!(digest:%; "request.released");
    }
    known
}

/// Adds evidence, and informs all members of new quarantines.
fn hold_new(context: &context::InstanceContext, ends: Vec<quarantine::CrashedRun>) {
    let now = context.now();
    let held = context.quarantine.borrow_mut().note_crashes(now, ends);
    if held.is_empty() {
        return;
    }
    log_held(context, &held, "evidence");
    let against = ends_of(context, &held);
    for to in context.members.borrow().targets(context.settings().member_address) {
        for reports in reports(now, &against) {
            context.send_to(to, peer_message::PeerMessage::Held(reports));
        }
    }
}

/// Tells a member that holds back what was answered here since.
fn tell_answered(
    context: &context::InstanceContext,
    to: net::SocketAddrV4,
    ends: &[quarantine::CrashedRun],
) {
    let now = context.now();
    let table = context.quarantine.borrow();
    let mut digests: Vec<_> = ends.iter().map(|end| end.digest).collect();
    digests.dedup();
    for digest in digests {
        let Some(age) = table.answered_age(now, digest) else {
            continue;
        };
        let of_digest = ends.iter().filter(|end| end.digest == digest);
        if of_digest.map(|end| now.since(end.ended)).all(|ended| ended >= age) {
            let message = peer_message::PeerMessage::Cleared(digest, micros(age));
            context.send_to(to, message);
        }
    }
}

/// The evidence against these requests.
fn ends_of(
    context: &context::InstanceContext,
    digests: &[request_digest::RequestDigest],
) -> Vec<quarantine::CrashedRun> {
    let table = context.quarantine.borrow();
    digests.iter().flat_map(|digest| table.ends(*digest).to_vec()).collect()
}

/// Members that keep the evidence against these requests, each with its part of them.
fn members_for(
    context: &context::InstanceContext,
    digests: impl Iterator<Item = request_digest::RequestDigest>,
) -> Vec<(net::SocketAddrV4, Vec<request_digest::RequestDigest>)> {
    let members = context.members.borrow();
    let alive: Vec<_> = members.alive(context.now()).collect();
    let mut keepers = std::collections::BTreeMap::<_, Vec<_>>::new();
    let mut digests: Vec<_> = digests.collect();
    digests.sort_unstable();
    digests.dedup();
    for digest in digests {
        let subject = digest.to_string();
        let ranked = rendezvous::ranked(&subject, alive.iter(), |beat| beat.name.as_str());
        let count = if alive.len() <= SMALL_FLEET { alive.len() } else { KEEPERS };
        for keeper in ranked.into_iter().take(count) {
            keepers.entry(keeper.address).or_default().push(digest);
        }
    }
    keepers.into_iter().collect()
}

/// Messages' worth of reports.
fn reports(
    now: units::MonoTime,
    ends: &[quarantine::CrashedRun],
) -> Vec<Vec<peer_message::EndReport>> {
    let report = |end: &quarantine::CrashedRun| peer_message::EndReport {
        digest: end.digest,
        upstream: end.upstream.clone(),
        sent_us: micros(now.since(end.sent)),
        ended_us: micros(now.since(end.ended)),
    };
    let message = |ends: &[quarantine::CrashedRun]| ends.iter().map(report).collect();
    ends.chunks(peer_message::MAX_ENDS).map(message).collect()
}

/// Runs with their times by this process's clock; those before its start lie at its start.
fn ended_runs(
    now: units::MonoTime,
    reports: Vec<peer_message::EndReport>,
) -> Vec<quarantine::CrashedRun> {
    let ago = |micros: u64| now.earlier_by(time::Duration::from_micros(micros));
    let run = |report: peer_message::EndReport| quarantine::CrashedRun {
        digest: report.digest,
        upstream: report.upstream,
        sent: ago(report.sent_us.max(report.ended_us)),
        ended: ago(report.ended_us),
    };
    reports.into_iter().map(run).collect()
}

fn micros(span: time::Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn log_held(
    context: &context::InstanceContext,
    held: &[request_digest::RequestDigest],
    source: &str,
) {
    let table = context.quarantine.borrow();
    for digest in held.iter().take(MAX_LOGGED) {
        let Some(verdict) = table.verdict(context.now(), *digest) else {
            continue;
        };
        let for_ms = units::whole_millis(verdict.until.since(context.now()));
        log::warn!(digest:%, source, upstreams = verdict.names(), for_ms; "request.quarantined");
    }
    drop(table);
    for _ in held {
        context.stats.borrow_mut().count("quarantined", source);
    }
    if !held.is_empty() {
        context.verdicts.ring();
    }
}
