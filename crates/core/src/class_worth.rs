//! What a streamed request is worth against others, from what operators publish and what is seen.
//!
//! A class is worth the more the longer it may take to its first token, and the more it asks for: the
//! geometric mean of its goal and its mean prompt, each against the service's most urgent class. Of
//! one class the larger prompt is worth more.

use std::{collections, time};

use crate::ids;

/// Part of its class's worth that any prompt has, however small; the rest grows with its size.
const BASE_FRACTION: f64 = 0.3;
/// Worths of a class that are believed: a goal of nothing is no reason to divide by it.
const WORTH_RANGE: (f64, f64) = (0.1, 1_000.0);
/// Least weight of the newest prompt in a mean.
const MEAN_WEIGHT: f64 = 0.02;
/// Classes that are remembered; routes come and go.
const MAX_CLASSES: usize = 1_024;

/// A request as its worth is asked for.
#[derive(Debug, Clone, Copy)]
pub struct WorthQuery<'a> {
    /// Its class.
    pub class: &'a ids::ClassId,
    /// Its service.
    pub service: &'a ids::ServiceId,
    /// Tokens of its prompt.
    pub prompt: u64,
    /// Time to its first token that is in time.
    pub goal: time::Duration,
    /// The shortest of its service.
    pub shortest_goal: time::Duration,
}

/// Mean of the prompts seen.
#[derive(Debug, Clone, Copy, Default)]
struct PromptMean {
    tokens: f64,
    count: f64,
}

impl PromptMean {
    fn add(&mut self, tokens: f64) {
        self.count += 1.0;
        self.tokens += (tokens - self.tokens) * (1.0 / self.count).max(MEAN_WEIGHT);
    }
}

/// Mean prompts that one process has seen.
#[derive(Debug, Default)]
pub struct ClassWorth {
    classes: collections::HashMap<ids::ClassId, PromptMean>,
    /// Of each service's most urgent requests.
    urgent: collections::HashMap<ids::ServiceId, PromptMean>,
}

impl ClassWorth {
    /// Counts a prompt; its worth against a mean request of the service's most urgent class.
    pub fn count(&mut self, ask: &WorthQuery<'_>) -> f64 {
        let prompt = ask.prompt as f64;
        if self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(ask.class) {
            self.classes.clear();
        }
        let class = self.classes.entry(ask.class.clone()).or_default();
        class.add(prompt);
        let mean = class.tokens.max(1.0);
        if ask.goal <= ask.shortest_goal {
            self.urgent.entry(ask.service.clone()).or_default().add(prompt);
        }
        let urgent = self.urgent.get(ask.service).map(|urgent| urgent.tokens.max(1.0));
        let goals = ask.goal.as_secs_f64() / ask.shortest_goal.as_secs_f64().max(f64::EPSILON);
        let sizes = urgent.map_or(goals, |urgent| mean / urgent);
        let class = (goals * sizes).sqrt().clamp(WORTH_RANGE.0, WORTH_RANGE.1);
        class * (BASE_FRACTION + (1.0 - BASE_FRACTION) * prompt / mean)
    }
}
