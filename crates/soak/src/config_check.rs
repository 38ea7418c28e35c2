//! Checks that each configuration takes effect in time, and that no instance falls back to an older
//! one.

use std::time;

use slipturn_platform_standin::caller::Outcome;

use crate::{
    config_probe::{ConfigProbe, ProbeTarget},
    evidence::{self, Evidence},
};

/// Time within which a new configuration must take effect at instances in contact with the store
/// and other members: the platform's bound of 2 s plus scheduling delays of the test host.
pub const APPLY_BOUND: time::Duration = time::Duration::from_millis(2_300);
/// Statuses with which an instance rejects the route or the API key of a probe.
const DENIAL_STATUSES: [u16; 3] = [401, 403, 404];

/// Returns the configurations that took effect late or were undone, summarized by kind and
/// instance.
pub(crate) fn violations(evidence: &Evidence) -> Vec<String> {
    let late_activation =
        evidence.probes.iter().filter_map(|probe| late_activation(evidence, probe));
    let mut found = evidence::summarize_by_kind(late_activation);
    found.extend(evidence::summarize_by_kind(regressions(evidence).into_iter()));
    found
}

/// Returns the number of the publication that the instance had not applied when it answered a
/// probe, or `None` if the answer shows no such publication.
fn denied_publication(probe: &ConfigProbe) -> Option<usize> {
    match (probe.target, &probe.outcome) {
        (ProbeTarget::Route(number), Outcome::Status(status, _))
            if DENIAL_STATUSES.contains(status) =>
        {
            Some(number)
        }
        // A key is removed by the publication after the one that added it.
        (ProbeTarget::RemovedKey(number), Outcome::Good) => Some(number + 1),
        _ => None,
    }
}

/// Returns the violation if an instance in contact with the store and other members answered a
/// probe without a publication that was older than [`APPLY_BOUND`].
fn late_activation(evidence: &Evidence, probe: &ConfigProbe) -> Option<(String, String)> {
    let number = denied_publication(probe)?;
    let published = evidence.publications.get(number)?.at;
    let is_due = probe.from >= published + APPLY_BOUND;
    if !is_due || !evidence.in_contact(probe.instance, probe.from, probe.to) {
        return None;
    }
    let kind = format!("not in force at instance {}", probe.instance);
    Some((kind, describe(evidence, probe, published)))
}

/// Returns the violations in which an instance answered a probe from an older configuration than it
/// had used for an earlier probe, without a restart in between.
fn regressions(evidence: &Evidence) -> Vec<(String, String)> {
    let mut found = Vec::new();
    let mut seen: Option<(u8, usize, time::Instant)> = None;
    for probe in &evidence.probes {
        seen = seen.filter(|(instance, _, since)| {
            *instance == probe.instance && !restarted(evidence, *instance, *since, probe.to)
        });
        if let (Some((_, newest, _)), Some(number)) = (seen, denied_publication(probe))
            && number <= newest
        {
            let published = evidence.publications[number].at;
            let kind = format!("fell back at instance {}", probe.instance);
            found.push((kind, describe(evidence, probe, published)));
        }
        if let (ProbeTarget::Route(number), Outcome::Good) = (probe.target, &probe.outcome) {
            let newest = seen.map_or(number, |(_, newest, _)| newest.max(number));
            seen = Some((probe.instance, newest, probe.from));
        }
    }
    found
}

/// Returns whether an instance was restarted between `from` and `to`.
fn restarted(evidence: &Evidence, instance: u8, from: time::Instant, to: time::Instant) -> bool {
    let mut restarts = evidence.instance_restarts.iter();
    restarts.any(|(restarted, at)| *restarted == instance && (from..=to).contains(at))
}

fn describe(evidence: &Evidence, probe: &ConfigProbe, published: time::Instant) -> String {
    format!(
        "{:?} asked at {:.2} s, published at {:.2} s, {:?}",
        probe.target,
        evidence.seconds_since_start(probe.from),
        evidence.seconds_since_start(published),
        probe.outcome
    )
}
