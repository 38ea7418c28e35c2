//! Seeded arrivals and prompt lengths.

use std::time;

use rand::{RngExt as _, SeedableRng as _};

/// Shape of a load.
#[derive(Debug, Clone, PartialEq)]
pub struct ArrivalShape {
    /// Requests a second.
    pub rate: f64,
    /// Shortest prompt, in tokens.
    pub min_prompt: u64,
    /// Longest prompt, in tokens.
    pub max_prompt: u64,
    /// Share of prompts over [`LONG_PROMPT`].
    pub long_share: f64,
    /// Output tokens of each request.
    pub output: u64,
    /// Relative use of each caller's key.
    pub key_weights: Vec<f64>,
    /// Seed of all choices.
    pub seed: u64,
}

/// Prompts over this length are the long ones.
pub const LONG_PROMPT: u64 = 100_000;

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
    shape: ArrivalShape,
    random: rand_chacha::ChaCha8Rng,
    clock: f64,
    number: u64,
}

impl ArrivalStream {
    /// The arrivals of a shape; the same for the same seed.
    pub fn new(shape: ArrivalShape) -> Self {
        let random = rand_chacha::ChaCha8Rng::seed_from_u64(shape.seed);
        Self { shape, random, clock: 0.0, number: 0 }
    }

    fn prompt(&mut self) -> u64 {
        let long = self.random.random::<f64>() < self.shape.long_share;
        let split = LONG_PROMPT.clamp(self.shape.min_prompt, self.shape.max_prompt);
        let (low, high) =
            if long { (split, self.shape.max_prompt) } else { (self.shape.min_prompt, split) };
        let (low, high) = ((low as f64).ln(), (high as f64).ln());
        (low + (high - low) * self.random.random::<f64>()).exp() as u64
    }

    fn key(&mut self) -> usize {
        let total: f64 = self.shape.key_weights.iter().sum();
        let mut left = self.random.random::<f64>() * total;
        for (index, weight) in self.shape.key_weights.iter().enumerate() {
            left -= weight;
            if left < 0.0 {
                return index;
            }
        }
        0
    }
}

impl Iterator for ArrivalStream {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let gap = -(1.0 - self.random.random::<f64>()).ln() / self.shape.rate;
        self.clock += gap;
        self.number += 1;
        Some(Arrival {
            at: time::Duration::from_secs_f64(self.clock),
            prompt: self.prompt(),
            output: self.shape.output,
            key: self.key(),
            number: self.number,
        })
    }
}
