//! A model of an engine with continuous batching: prefill in order of priority, decoding of all
//! prefilled requests at once.

use std::{collections, time};

/// Prompt tokens prefilled for one request before the next one is selected by priority.
const PREFILL_CHUNK_TOKENS: f64 = 2_048.0;
/// Maximum number of prefixes in the cache; beyond it, the least recently used one is evicted.
const MAX_CACHED_PREFIXES: usize = 64;

/// Speed and memory of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineParameters {
    /// KV cache capacity, in tokens.
    pub memory: u64,
    /// Prompt tokens prefilled per second.
    pub prefill_rate: f64,
    /// Time between two output tokens of a request when the batch is nearly empty.
    pub token_time: time::Duration,
    /// Number of decoding requests that doubles the time between tokens.
    pub doubling_batch_size: f64,
}

/// An attempt at a request, as an engine receives it.
#[derive(Debug, Clone)]
pub struct EngineRequest {
    /// Id of the attempt, which its outputs carry and by which it can be cancelled.
    pub attempt: String,
    /// Prompt length, in tokens.
    pub prompt: u64,
    /// Number of output tokens to generate.
    pub output: u64,
    /// Memory that the request takes on this engine, in tokens; less than prompt and output when
    /// peers hold parts of the KV cache.
    pub memory: u64,
    /// Prefill priority; 0 goes first.
    pub priority: u8,
    /// Hash and length in tokens of the prompt's prefix.
    pub prefix: (u64, u64),
}

/// An output of [`EngineModel::step`].
#[derive(Debug, Clone, PartialEq)]
pub enum EngineOutput {
    /// New output tokens: attempt id, index of the first token, number of tokens.
    Tokens(String, u64, u64),
    /// The attempt with this id has generated all its output and its memory is free.
    Done(String),
}

#[derive(Debug)]
struct RunningRequest {
    request: EngineRequest,
    /// Order of arrival; breaks ties between requests of one priority.
    sequence: u64,
    prefill_left: f64,
    tokens_sent: u64,
    tokens_generated: f64,
    /// Whether generation has stopped while the memory stays in use.
    hung: bool,
}

/// A simulated engine: its running requests, reservations and prefix cache.
#[derive(Debug)]
pub struct EngineModel {
    parameters: EngineParameters,
    running: Vec<RunningRequest>,
    /// Memory in tokens reserved by attempt, for requests whose output another engine generates.
    reserved: collections::BTreeMap<String, u64>,
    /// Hashes of the cached prefixes, least recently used first.
    prefixes: collections::VecDeque<u64>,
    arrivals: u64,
}

impl EngineModel {
    /// Creates an engine without requests or reservations, and with an empty prefix cache.
    pub fn new(parameters: EngineParameters) -> Self {
        Self {
            parameters,
            running: Vec::new(),
            reserved: collections::BTreeMap::new(),
            prefixes: collections::VecDeque::new(),
            arrivals: 0,
        }
    }

    /// Starts a request. Returns `false` if there is not enough free memory.
    pub fn start(&mut self, request: EngineRequest) -> bool {
        if self.held() + request.memory > self.parameters.memory {
            return false;
        }
        let (prefix, length) = request.prefix;
        let cached = if self.prefixes.contains(&prefix) { length.min(request.prompt) } else { 0 };
        self.cache_prefix(prefix);
        self.arrivals += 1;
        self.running.push(RunningRequest {
            prefill_left: (request.prompt - cached) as f64,
            sequence: self.arrivals,
            tokens_sent: 0,
            tokens_generated: 0.0,
            hung: false,
            request,
        });
        true
    }

    /// Reserves memory for an attempt whose output another engine generates. Returns `false` if
    /// there is not enough free memory.
    pub fn reserve(&mut self, attempt: &str, tokens: u64) -> bool {
        if self.held() + tokens > self.parameters.memory {
            return false;
        }
        self.reserved.insert(attempt.to_owned(), tokens);
        true
    }

    /// Aborts an attempt and frees its memory. Returns whether the engine had it.
    pub fn cancel(&mut self, attempt: &str) -> bool {
        let before = self.running.len();
        self.running.retain(|active| active.request.attempt != attempt);
        self.reserved.remove(attempt).is_some() || self.running.len() < before
    }

    /// Stops generation for an attempt, which keeps its memory.
    pub fn hang(&mut self, attempt: &str) {
        for active in self.running.iter_mut().filter(|active| active.request.attempt == attempt) {
            active.hung = true;
        }
    }

    /// Returns the memory in tokens that each running or reserved attempt takes.
    pub fn memory_by_attempt(&self) -> Vec<(String, u64)> {
        let running = self
            .running
            .iter()
            .map(|active| (active.request.attempt.clone(), active.request.memory));
        let reserved = self.reserved.iter().map(|(attempt, tokens)| (attempt.clone(), *tokens));
        running.chain(reserved).collect()
    }

    /// Returns the memory in use, reservations included, in tokens.
    pub fn held(&self) -> u64 {
        let running: u64 = self.running.iter().map(|active| active.request.memory).sum();
        running + self.reserved.values().sum::<u64>()
    }

    /// Returns the number of requests that have been started and have not ended, including hung
    /// ones.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of prompt tokens left to prefill, over all running requests.
    pub fn prefill_backlog(&self) -> u64 {
        self.running.iter().map(|active| active.prefill_left).sum::<f64>() as u64
    }

    /// Returns the KV cache capacity in tokens, whether in use or free.
    pub fn memory(&self) -> u64 {
        self.parameters.memory
    }

    /// Advances the engine by `elapsed` and returns its outputs.
    pub fn step(&mut self, elapsed: time::Duration) -> Vec<EngineOutput> {
        self.prefill(elapsed);
        self.decode(elapsed)
    }

    fn prefill(&mut self, elapsed: time::Duration) {
        let mut budget = self.parameters.prefill_rate * elapsed.as_secs_f64();
        while budget > 0.0 {
            let waiting = self.running.iter_mut().filter(|active| active.prefill_left > 0.0);
            let Some(first) =
                waiting.min_by_key(|active| (active.request.priority, active.sequence))
            else {
                return;
            };
            let chunk = budget.min(PREFILL_CHUNK_TOKENS).min(first.prefill_left);
            first.prefill_left -= chunk;
            budget -= chunk;
        }
    }

    fn decode(&mut self, elapsed: time::Duration) -> Vec<EngineOutput> {
        let decoding =
            self.running.iter().filter(|active| active.prefill_left <= 0.0).count() as f64;
        let interval = self.parameters.token_time.as_secs_f64()
            * (1.0 + decoding / self.parameters.doubling_batch_size);
        let tokens = elapsed.as_secs_f64() / interval;
        let mut outputs = Vec::new();
        let decoding = |active: &&mut RunningRequest| active.prefill_left <= 0.0 && !active.hung;
        for active in self.running.iter_mut().filter(decoding) {
            // The end of the prefill yields the first token.
            let step = if active.tokens_sent == 0 { tokens.max(1.0) } else { tokens };
            active.tokens_generated =
                (active.tokens_generated + step).min(active.request.output as f64);
            let available = active.tokens_generated as u64;
            if available > active.tokens_sent {
                let attempt = active.request.attempt.clone();
                outputs.push(EngineOutput::Tokens(
                    attempt,
                    active.tokens_sent,
                    available - active.tokens_sent,
                ));
                active.tokens_sent = available;
            }
        }
        let done = |active: &RunningRequest| {
            active.prefill_left <= 0.0 && active.tokens_sent >= active.request.output
        };
        outputs.extend(
            self.running
                .iter()
                .filter(|active| done(active))
                .map(|active| EngineOutput::Done(active.request.attempt.clone())),
        );
        self.running.retain(|active| !done(active));
        outputs
    }

    /// Makes `prefix` the most recently used, and evicts the least recently used one if necessary.
    fn cache_prefix(&mut self, prefix: u64) {
        self.prefixes.retain(|known| *known != prefix);
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > MAX_CACHED_PREFIXES {
            self.prefixes.pop_front();
        }
    }
}
