//! How often this process has lately answered each of the requests that callers send alike.

use std::{collections, time};

use crate::{request_digest, units};

/// Most requests whose answers are counted; about 50 bytes each.
const MAX_REQUESTS: usize = 2048;
/// Number of requests that are kept when there are too many: those that were answered most often.
const KEPT_REQUESTS: usize = 1024;
/// Time constant of the mean rate of answers.
const RATE_WINDOW: time::Duration = time::Duration::from_secs(10);

/// Complete answers to one request.
#[derive(Debug, Clone, Copy)]
struct AnswerCount {
    /// Number of answers, which decays with [`RATE_WINDOW`]; as of `last`.
    count: f64,
    /// When the last answer was complete.
    last: units::MonoTime,
}

impl AnswerCount {
    fn count_at(&self, now: units::MonoTime) -> f64 {
        let windows = now.since(self.last).as_secs_f64() / RATE_WINDOW.as_secs_f64();
        self.count * (-windows).exp()
    }
}

/// Complete answers of this process, by request.
#[derive(Debug, Default)]
pub struct AnsweredRequests {
    answers: collections::HashMap<request_digest::RequestDigest, AnswerCount>,
}

impl AnsweredRequests {
    /// Records a complete answer to a request.
    pub fn note(&mut self, now: units::MonoTime, digest: request_digest::RequestDigest) {
        let answers = self.answers.entry(digest).or_insert(AnswerCount { count: 0.0, last: now });
        *answers = AnswerCount { count: answers.count_at(now) + 1.0, last: now };
        if self.answers.len() > MAX_REQUESTS {
            self.drop_rarest(now);
        }
    }

    /// Returns the mean number of answers a second to a request.
    pub fn rate(&self, now: units::MonoTime, digest: request_digest::RequestDigest) -> f64 {
        let count = self.answers.get(&digest).map_or(0.0, |answers| answers.count_at(now));
        count / RATE_WINDOW.as_secs_f64()
    }

    /// Returns when a request was last answered, as far as known.
    pub fn last(&self, digest: request_digest::RequestDigest) -> Option<units::MonoTime> {
        self.answers.get(&digest).map(|answers| answers.last)
    }

    /// Returns the number of requests whose answers are counted.
    pub fn len(&self) -> usize {
        self.answers.len()
    }

    /// Returns whether no answers are counted.
    pub fn is_empty(&self) -> bool {
        self.answers.is_empty()
    }

    fn drop_rarest(&mut self, now: units::MonoTime) {
        let weight = |answers: &AnswerCount| (answers.count_at(now), answers.last);
        let mut kept: Vec<_> =
            self.answers.iter().map(|(digest, answers)| (weight(answers), *digest)).collect();
        kept.sort_unstable_by(|((one, one_at), _), ((other, other_at), _)| {
            other.total_cmp(one).then(other_at.cmp(one_at))
        });
        for (_, digest) in kept.drain(KEPT_REQUESTS..) {
            self.answers.remove(&digest);
        }
    }
}
