//! Seeded arrivals and prompt lengths.

use std::time;

use rand::{RngExt as _, SeedableRng as _};

/// Shape of a load.
#[derive(Debug, Clone, PartialEq)]
pub struct ArrivalProfile {
    /// Requests a second.
    pub rate: f64,
    /// Shortest prompt, in tokens.
    pub min_prompt: u64,
    /// Longest prompt, in tokens.
    pub max_prompt: u64,
    /// Share of prompts over [`LONG_PROMPT_TOKENS`].
    pub long_share: f64,
    /// Output tokens of each request.
    pub output: u64,
    /// Relative use of each caller's key.
    pub key_weights: Vec<f64>,
    /// Seed of all choices.
    pub seed: u64,
}

/// Prompts over this length are the long ones.
pub const LONG_PROMPT_TOKENS: u64 = 100_000;

/// One request to be made.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Time since the start.
    pub at: time::Duration,
    /// Prompt length, in tokens.
    pub prompt: u64,
    /// Output tokens.
    pub output: u64,
    /// Index of the caller's key.
    pub key: usize,
    /// Number, which makes its prompt unlike others.
    pub number: u64,
}

/// Arrivals without end: exponential gaps, lengths spread evenly over their logarithm.
pub struct ArrivalStream {
    profile: ArrivalProfile,
    rng: rand_chacha::ChaCha8Rng,
    elapsed_secs: f64,
    number: u64,
}

impl ArrivalStream {
    /// The arrivals of a shape; the same for the same seed.
    pub fn new(profile: ArrivalProfile) -> Self {
        let rng = rand_chacha::ChaCha8Rng::seed_from_u64(profile.seed);
        Self { profile, rng, elapsed_secs: 0.0, number: 0 }
    }

    fn sample_prompt_length(&mut self) -> u64 {
        let long = self.rng.random::<f64>() < self.profile.long_share;
        let threshold = LONG_PROMPT_TOKENS.clamp(self.profile.min_prompt, self.profile.max_prompt);
        let (low, high) = if long {
            (threshold, self.profile.max_prompt)
        } else {
            (self.profile.min_prompt, threshold)
        };
        let (low, high) = ((low as f64).ln(), (high as f64).ln());
        (low + (high - low) * self.rng.random::<f64>()).exp() as u64
    }

    fn sample_key_index(&mut self) -> usize {
        let total: f64 = self.profile.key_weights.iter().sum();
        let mut remaining = self.rng.random::<f64>() * total;
        for (index, weight) in self.profile.key_weights.iter().enumerate() {
            remaining -= weight;
            if remaining < 0.0 {
                return index;
            }
        }
        0
    }
}

impl Iterator for ArrivalStream {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.profile.rate;
        self.elapsed_secs += gap;
        self.number += 1;
        Some(Arrival {
            at: time::Duration::from_secs_f64(self.elapsed_secs),
            prompt: self.sample_prompt_length(),
            output: self.profile.output,
            key: self.sample_key_index(),
            number: self.number,
        })
    }
}
