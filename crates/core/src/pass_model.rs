//! How long an engine takes: a pass reads what waits and plays the steps of those that write.
//!
//! All times are milliseconds as `f64`: they are sums of many small parts, never points in time.

use crate::route_table;

/// Reading time of a whole prompt on one engine, milliseconds.
pub fn prefill_ms(shape: &route_table::EngineShape, prompt: u64) -> f64 {
    part_ms(shape, prompt, 1)
}

/// Reading time of one of `parts` even parts, each with its share of the pairs.
pub fn part_ms(shape: &route_table::EngineShape, prompt: u64, parts: usize) -> f64 {
    let tokens = prompt as f64;
    let million_pairs = tokens * tokens / 2.0 / 1e6;
    let whole = tokens / shape.read_per_ms + million_pairs * shape.read_per_pairs_ms;
    whole / parts.max(1) as f64
}

/// Time of the token steps of one pass, without what is read in it.
pub fn steps_ms(shape: &route_table::EngineShape, decoding: usize, context: u64) -> f64 {
    if decoding == 0 {
        return shape.step_ms;
    }
    let step = shape.step_ms
        + shape.step_per_writer_ms * decoding as f64
        + shape.step_per_context_ms * context as f64 / 1_000.0;
    step * shape.stride
}

/// Time to write `tokens` on an engine with these writers, without what others read meanwhile.
pub fn decode_ms(
    shape: &route_table::EngineShape,
    decoding: usize,
    context: u64,
    tokens: u64,
) -> f64 {
    let passes = (tokens as f64 / shape.stride.max(1.0)).ceil();
    passes * steps_ms(shape, decoding.max(1), context)
}
