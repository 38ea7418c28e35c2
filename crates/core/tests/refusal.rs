//! When callers are asked back.

use std::time;

use slipturn_core::refusal;

fn millis(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

/// Of callers that arrive evenly over an outage of `outage` milliseconds and come back once, as they are
/// told, the share that comes back behind it.
fn returned(outage: u64, told: impl Fn(u64) -> u64) -> f64 {
    let back = (0..outage).filter(|away| away + told(*away) >= outage).count();
    back as f64 / outage as f64
}

/// At outages of 1 to 6 s; with 0.5 s for all it is 0.50, 0.25, 0.13 and 0.08.
#[test]
fn callers_of_an_outage_come_back_behind_it() {
    let told = |away| refusal::outage_retry_after(millis(away), millis(10_000)).as_millis() as u64;
    for (outage, least) in [(1_000, 0.5), (2_000, 0.5), (4_000, 0.5), (6_000, 0.45)] {
        let share = returned(outage, told);
        assert!(share >= least, "{share} of an outage of {outage} ms");
        let fixed = returned(outage, |_| 500);
        println!("{outage} ms: {share:.2}, with a fixed time {fixed:.2}");
    }
}

#[test]
fn nobody_is_asked_back_when_no_time_is_left() {
    let back = |away, patience| refusal::outage_retry_after(millis(away), millis(patience));
    assert_eq!(back(0, 10_000), millis(500), "a start takes a moment");
    assert_eq!(back(60_000, 9_000), millis(2_970));
    assert_eq!(back(2_000, 100), millis(500));
}

/// Callers that come back in the busiest tenth of a second, in shares of those that come anew, where so many
/// milliseconds of rest are told as `told` says.
fn busiest(rest: u64, told: impl Fn(u64) -> u64) -> f64 {
    let callers = 20;
    let mut counts = std::collections::BTreeMap::<u64, u64>::new();
    for caller in 0..rest * callers {
        let came = caller / callers;
        *counts.entry((came + told(rest - came)) / 100).or_default() += 1;
    }
    counts.values().max().copied().unwrap_or_default() as f64 / (100 * callers) as f64
}

/// Of a rest of 4 s: told its end alone, all that came in it return in one tenth of a second, 40 times the load
/// before; spread over half a second 8 times, over its length once.
#[test]
fn callers_that_came_in_a_rest_return_spread_over_its_length() {
    use rand::{RngExt as _, SeedableRng as _};
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    let mut half_second = rand_chacha::ChaCha8Rng::seed_from_u64(2);
    let spread = std::cell::RefCell::new(&mut random);
    let whole = busiest(4_000, |left| {
        let back =
            refusal::backoff_retry_after(millis(left), millis(4_000), &mut **spread.borrow_mut());
        assert!(back >= millis(left), "never within the rest");
        back.as_millis() as u64
    });
    let narrow = std::cell::RefCell::new(&mut half_second);
    let narrow = busiest(4_000, |left| left + narrow.borrow_mut().random_range(0..500));
    let fixed = busiest(4_000, |left| left);
    println!("busiest tenth of a second: {fixed:.1}, {narrow:.1} over 0.5 s, {whole:.1} over 4 s");
    assert!(whole <= 1.2 && narrow >= 5.0 && fixed >= 30.0, "{fixed}, {narrow}, {whole}");
}
