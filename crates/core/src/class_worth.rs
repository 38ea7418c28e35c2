//! Relative worth of requests with streamed answers. Planners weigh requests that compete for engine time by their
//! worth.
//!
//! The worth of a class is relative to the most urgent class of its service, the one with the shortest first-token
//! goal. It is the geometric mean of two ratios: that of the first-token goals, which are published, and that of the
//! mean prompt lengths, which are observed. Within a class, worth grows with the prompt length.

use std::{collections, time};

use crate::ids;

/// Fraction of the worth of a class that an empty prompt of the class has; the rest grows with the prompt length.
const BASE_FRACTION: f64 = 0.3;
/// Range to which the worth of a class is clamped, in case of a goal of zero.
const WORTH_RANGE: (f64, f64) = (0.1, 1_000.0);
/// Smallest weight of the newest prompt in a mean, so that a mean of many prompts becomes a moving average.
const MEAN_WEIGHT: f64 = 0.02;
/// Largest number of classes with a mean. At the limit, a new class clears the means of all classes: nothing else
/// removes the classes of deleted routes.
const MAX_CLASSES: usize = 1_024;

/// The properties of a request that determine its worth.
#[derive(Debug, Clone, Copy)]
pub struct WorthQuery<'a> {
    /// Class of the request; the prompts of a class share one mean length.
    pub class: &'a ids::ClassId,
    /// Service of the request; its most urgent class is the reference for the worth.
    pub service: &'a ids::ServiceId,
    /// Prompt length, tokens.
    pub prompt: u64,
    /// Latency goal of the class for the first token.
    pub goal: time::Duration,
    /// Shortest first-token goal of the service.
    pub shortest_goal: time::Duration,
}

/// Mean of the prompt lengths added so far; a moving average once `1 / count` is below [`MEAN_WEIGHT`].
#[derive(Debug, Clone, Copy, Default)]
struct PromptMean {
    tokens: f64,
    /// Number of prompts added so far.
    count: f64,
}

impl PromptMean {
    fn add(&mut self, tokens: f64) {
        self.count += 1.0;
        self.tokens += (tokens - self.tokens) * (1.0 / self.count).max(MEAN_WEIGHT);
    }
}

/// Mean prompt lengths that one process has observed, from which it computes the worth of requests.
#[derive(Debug, Default)]
pub struct ClassWorth {
    /// Mean prompt length of each class.
    classes: collections::HashMap<ids::ClassId, PromptMean>,
    /// Mean prompt length, by service, of the requests with the shortest first-token goal of their service.
    urgent: collections::HashMap<ids::ServiceId, PromptMean>,
}

impl ClassWorth {
    /// Records a prompt and returns its worth, where 1 is an average request of the service's most urgent class.
    pub fn record_prompt(&mut self, query: &WorthQuery<'_>) -> f64 {
        let prompt = query.prompt as f64;
        if self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(query.class) {
            self.classes.clear();
        }
        let class_mean = self.classes.entry(query.class.clone()).or_default();
        class_mean.add(prompt);
        let mean = class_mean.tokens.max(1.0);
        if query.goal <= query.shortest_goal {
            self.urgent.entry(query.service.clone()).or_default().add(prompt);
        }
        let urgent = self.urgent.get(query.service).map(|urgent| urgent.tokens.max(1.0));
        let goal_ratio =
            query.goal.as_secs_f64() / query.shortest_goal.as_secs_f64().max(f64::EPSILON);
        let length_ratio = urgent.map_or(goal_ratio, |urgent| mean / urgent);
        let class_worth = (goal_ratio * length_ratio).sqrt().clamp(WORTH_RANGE.0, WORTH_RANGE.1);
        class_worth * (BASE_FRACTION + (1.0 - BASE_FRACTION) * prompt / mean)
    }
}
