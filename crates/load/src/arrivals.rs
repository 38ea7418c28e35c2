//! Generates seeded random arrival times, prompt lengths and keys.

use std::time;

use rand::{RngExt as _, SeedableRng as _};

/// Parameters of a random sequence of arrivals.
#[derive(Debug, Clone, PartialEq)]
pub struct ArrivalProfile {
    /// Mean arrival rate, in requests per second.
    pub rate: f64,
    /// Shortest prompt, in tokens.
    pub min_prompt: u64,
    /// Longest prompt, in tokens.
    pub max_prompt: u64,
    /// Share of prompts longer than [`LONG_PROMPT_TOKENS`], from 0 to 1.
    pub long_share: f64,
    /// Number of output tokens of each request.
    pub output: u64,
    /// Relative frequency of each API key; the sum is arbitrary.
    pub key_weights: Vec<f64>,
    /// Seed of the random number generator that draws times, prompt lengths and keys.
    pub seed: u64,
}

/// Prompt length in tokens above which a prompt counts as long.
pub const LONG_PROMPT_TOKENS: u64 = 100_000;

/// A request of the run, with the time at which it is sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Scheduled time, relative to the start of the run.
    pub at: time::Duration,
    /// Prompt length, in tokens.
    pub prompt: u64,
    /// Number of output tokens that the request asks for.
    pub output: u64,
    /// Index into [`ArrivalProfile::key_weights`] of the key to use.
    pub key: usize,
    /// Sequence number, starting at 1; makes the prompt unique within the run.
    pub number: u64,
}

/// An endless iterator of arrivals: a Poisson process, with prompt lengths that are log-uniform on
/// either side of [`LONG_PROMPT_TOKENS`].
pub struct ArrivalStream {
    profile: ArrivalProfile,
    rng: rand_chacha::ChaCha8Rng,
    elapsed_secs: f64,
    number: u64,
}

impl ArrivalStream {
    /// Creates the sequence for `profile`. Equal profiles give equal sequences.
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
