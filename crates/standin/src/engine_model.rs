//! A model of an engine that batches continuously: prefill by priority, decode for all.

use std::{collections, time};

/// Tokens of prompt worked through before priorities are looked at again.
const PREFILL_CHUNK_TOKENS: f64 = 2_048.0;
/// Prefixes kept in the cache.
const MAX_CACHED_PREFIXES: usize = 64;

/// How fast and how large an engine is.
#[derive(Debug, Clone, Copy)]
pub struct EngineParameters {
    /// Memory, in tokens.
    pub memory: u64,
    /// Prompt tokens worked through in a second.
    pub prefill_rate: f64,
    /// Time from one output token to the next with an empty batch.
    pub token_time: time::Duration,
    /// Requests at which the time between tokens has doubled.
    pub doubling_batch_size: f64,
}

/// One request on the engine.
#[derive(Debug, Clone)]
pub struct EngineRequest {
    /// Attempt id.
    pub attempt: String,
    /// Prompt tokens.
    pub prompt: u64,
    /// Output tokens to generate.
    pub output: u64,
    /// Memory it holds here; less than prompt and output when peers hold parts.
    pub memory: u64,
    /// 0 goes first.
    pub priority: u8,
    /// Hash of its prefix, and that prefix's length.
    pub prefix: (u64, u64),
}

/// Something the engine did.
#[derive(Debug, Clone, PartialEq)]
pub enum EngineOutput {
    /// The next output tokens, from this one on.
    Tokens(String, u64, u64),
    /// The request is done and its memory free.
    Done(String),
}

#[derive(Debug)]
struct RunningRequest {
    request: EngineRequest,
    sequence: u64,
    prefill_left: f64,
    tokens_sent: u64,
    tokens_generated: f64,
    /// It makes no more tokens, but keeps its memory.
    hung: bool,
}

/// The state of one engine.
#[derive(Debug)]
pub struct EngineModel {
    parameters: EngineParameters,
    running: Vec<RunningRequest>,
    /// Memory kept for prompts whose answer another engine gives.
    reserved: collections::BTreeMap<String, u64>,
    prefixes: collections::VecDeque<u64>,
    arrivals: u64,
}

impl EngineModel {
    /// An idle engine.
    pub fn new(parameters: EngineParameters) -> Self {
        Self {
            parameters,
            running: Vec::new(),
            reserved: collections::BTreeMap::new(),
            prefixes: collections::VecDeque::new(),
            arrivals: 0,
        }
    }

    /// Takes a request in, or refuses it for want of memory.
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

    /// Keeps memory for a part of a prompt, or refuses.
    pub fn reserve(&mut self, attempt: &str, tokens: u64) -> bool {
        if self.held() + tokens > self.parameters.memory {
            return false;
        }
        self.reserved.insert(attempt.to_owned(), tokens);
        true
    }

    /// Gives an attempt up and frees its memory. Returns whether it was there.
    pub fn cancel(&mut self, attempt: &str) -> bool {
        let before = self.running.len();
        self.running.retain(|active| active.request.attempt != attempt);
        self.reserved.remove(attempt).is_some() || self.running.len() < before
    }

    /// Has an attempt make no more tokens.
    pub fn hang(&mut self, attempt: &str) {
        for active in self.running.iter_mut().filter(|active| active.request.attempt == attempt) {
            active.hung = true;
        }
    }

    /// Attempts and the memory each holds.
    pub fn memory_by_attempt(&self) -> Vec<(String, u64)> {
        let running = self
            .running
            .iter()
            .map(|active| (active.request.attempt.clone(), active.request.memory));
        let reserved = self.reserved.iter().map(|(attempt, tokens)| (attempt.clone(), *tokens));
        running.chain(reserved).collect()
    }

    /// Memory held.
    pub fn held(&self) -> u64 {
        let running: u64 = self.running.iter().map(|active| active.request.memory).sum();
        running + self.reserved.values().sum::<u64>()
    }

    /// Requests running.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Prompt tokens not worked through.
    pub fn prefill_backlog(&self) -> u64 {
        self.running.iter().map(|active| active.prefill_left).sum::<f64>() as u64
    }

    /// Memory in all.
    pub fn memory(&self) -> u64 {
        self.parameters.memory
    }

    /// Works for a length of time.
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
            // The first token comes with the end of the prefill.
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

    fn cache_prefix(&mut self, prefix: u64) {
        self.prefixes.retain(|known| *known != prefix);
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > MAX_CACHED_PREFIXES {
            self.prefixes.pop_front();
        }
    }
}
