//! Performance model of an engine: each pass prefills the pending parts of prompts and runs the decode steps of the
//! requests that are decoding.
//!
//! All times are durations in milliseconds as `f64`, because they are sums of many small terms.

use crate::route_table;

/// Time to prefill a whole prompt of `prompt` tokens on one engine, milliseconds.
pub fn prefill_ms(shape: &route_table::EngineShape, prompt: u64) -> f64 {
    part_ms(shape, prompt, 1)
}

/// Time to prefill one of `parts` equal parts of a prompt, milliseconds. The quadratic cost of token pairs is also
/// divided equally.
pub fn part_ms(shape: &route_table::EngineShape, prompt: u64, parts: usize) -> f64 {
    let tokens = prompt as f64;
    let million_pairs = tokens * tokens / 2.0 / 1e6;
    let whole =
        tokens / shape.prefill_tokens_per_ms + million_pairs * shape.prefill_per_million_pairs_ms;
    whole / parts.max(1) as f64
}

/// Time of the decode steps of one pass without its prefill, milliseconds; a single step if no request is decoding.
/// `context` is the summed number of prompt tokens of the requests that are decoding.
pub fn steps_ms(shape: &route_table::EngineShape, decoding: usize, context: u64) -> f64 {
    if decoding == 0 {
        return shape.step_ms;
    }
    let step = shape.step_ms
        + shape.step_per_decoding_ms * decoding as f64
        + shape.step_per_context_ms * context as f64 / 1_000.0;
    step * shape.stride
}

/// Time to decode `tokens` output tokens of each of `decoding` requests on one engine, without any prefill in between,
/// milliseconds. `context` is the summed number of prompt tokens of these requests.
pub fn decode_ms(
    shape: &route_table::EngineShape,
    decoding: usize,
    context: u64,
    tokens: u64,
) -> f64 {
    let passes = (tokens as f64 / shape.stride.max(1.0)).ceil();
    passes * steps_ms(shape, decoding.max(1), context)
}
