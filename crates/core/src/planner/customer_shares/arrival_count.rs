//! Upper bounds of the number of requests that arrive within a time.

/// Mean from which the number of arrivals is taken as normally distributed. The terms of the exact distribution
/// underflow at means above 700.
const LARGE_MEAN: f64 = 100.0;
/// Standard deviations above its mean that a normally distributed number exceeds with [`MISS_PROBABILITY`].
const LARGE_DEVIATIONS: f64 = 1.88;
/// Probability with which more requests arrive than the bound says. Below the 0.05 by which a customer within its share
/// may get less than alone.
const MISS_PROBABILITY: f64 = 0.03;

/// Number of requests that is exceeded with [`MISS_PROBABILITY`] if `mean` are expected, as in a Poisson process.
pub(crate) fn upper_bound(mean: f64) -> f64 {
    if mean > LARGE_MEAN {
        return (mean + LARGE_DEVIATIONS * mean.sqrt()).ceil();
    }
    let mut probability = (-mean).exp();
    let (mut covered, mut count) = (probability, 0.0);
    while covered < 1.0 - MISS_PROBABILITY {
        count += 1.0;
        probability *= mean / count;
        covered += probability;
    }
    count
}
