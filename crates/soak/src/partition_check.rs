//! Checks that clients of instances partitioned from upstreams are served like those of the others.

use std::time;

use slipturn_platform_standin::caller::Outcome;

use crate::{
    evidence::{Evidence, InstancePartition},
    traffic::SentRequest,
};

/// Time from the start of a partition until its clients must be served: the platform's bound for recovery.
const CONTACT_TIME: time::Duration = time::Duration::from_secs(3);
/// Share of the requests served at a partitioned instance, relative to the others, below which its clients are served
/// too rarely, by the platform's rule.
const MIN_RELATIVE_SHARE: f64 = 2.0 / 3.0;
/// Number of failed requests allowed at a partitioned instance, by the platform's rule, besides
/// [`ALLOWED_FAILED_SHARE`] of all.
const ALLOWED_FAILED: f64 = 10.0;
/// Share of failed requests allowed at a partitioned instance, by the platform's rule.
const ALLOWED_FAILED_SHARE: f64 = 0.02;

/// Numbers of requests sent, and served among them.
#[derive(Debug, Clone, Copy, Default)]
struct ServedCount {
    served: usize,
    sent: usize,
}

impl ServedCount {
    fn of<'a>(requests: impl Iterator<Item = &'a SentRequest>) -> Self {
        requests.fold(Self::default(), |count, request| Self {
            served: count.served + usize::from(request.outcome == Some(Outcome::Good)),
            sent: count.sent + 1,
        })
    }

    fn share(self) -> f64 {
        self.served as f64 / self.sent as f64
    }

    fn failed(self) -> f64 {
        (self.sent - self.served) as f64
    }
}

/// Returns the partitions whose clients were served too rarely.
pub(crate) fn violations(evidence: &Evidence) -> Vec<String> {
    evidence
        .partitions
        .iter()
        .filter_map(|partition| partition_violation(evidence, partition))
        .collect()
}

fn partition_violation(evidence: &Evidence, partition: &InstancePartition) -> Option<String> {
    let window = partition.from + CONTACT_TIME..partition.to;
    let counted = |request: &&SentRequest| {
        window.contains(&request.from)
            && request.outcome.is_some()
            && all_in_contact(evidence, request)
    };
    let requests: Vec<_> = evidence.sent.iter().filter(counted).collect();
    let is_partitioned = |instance: u8| {
        let mut partitions = evidence.partitions.iter();
        partitions.any(|other| {
            other.instance == instance && other.from < partition.to && other.to > window.start
        })
    };
    let requests = || requests.iter().copied();
    let cut = ServedCount::of(requests().filter(|request| request.instance == partition.instance));
    let others = ServedCount::of(requests().filter(|request| !is_partitioned(request.instance)));
    if cut.sent == 0 || others.sent == 0 {
        return None;
    }
    let allowed = ALLOWED_FAILED + ALLOWED_FAILED_SHARE * cut.sent as f64;
    let is_violation = cut.share() < others.share() * MIN_RELATIVE_SHARE && cut.failed() > allowed;
    is_violation.then(|| {
        let [from, to] = [partition.from, partition.to].map(|at| evidence.seconds_since_start(at));
        format!(
            "instance {}, partitioned from {from:.2} to {to:.2} s, served {} of {}, the others {} of {}",
            partition.instance, cut.served, cut.sent, others.served, others.sent
        )
    })
}

/// Returns whether all instances were in contact with the store and each other from sending a request to its end.
fn all_in_contact(evidence: &Evidence, request: &SentRequest) -> bool {
    !evidence.contact_losses.iter().any(|loss| loss.from <= request.to && loss.to >= request.from)
}
