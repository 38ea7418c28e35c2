//! Customer token budgets, which a scheduler grants in expiring portions to the entries, the parts of instances that
//! receive requests. Covers debt of the bucket, expiry of portions, and entries that cannot reach the scheduler.

#![allow(clippy::unwrap_used)]

use std::time;

use slipturn_core::{budget, ids, units};

fn limit(rate: f64, burst: u64) -> budget::BudgetLimit {
    budget::BudgetLimit { rate: units::TokenRate(rate), burst: units::TokenCount(burst) }
}

fn customer() -> ids::CustomerId {
    "bluebonnet".parse().unwrap()
}

fn at(millis: u64) -> units::MonoTime {
    units::MonoTime(millis * 1_000)
}

/// Tokens that each request takes from the customer's budget.
const TOKENS: units::TokenCount = units::TokenCount(500);

/// Simulates entries that each draw from the scheduler the tokens of one request at a time and spend them. Returns the
/// tokens spent in `seconds`. With several `schedulers`, another one is responsible for the budget every ten seconds.
fn spend_for(seconds: u64, entries: usize, schedulers: usize) -> u64 {
    let limit = limit(10_000.0, 10_000);
    let mut ledgers: Vec<_> = (0..schedulers).map(|_| budget::BudgetLedger::default()).collect();
    let mut caches: Vec<_> = (0..entries).map(|_| budget::BudgetCache::default()).collect();
    let mut spent = 0;
    for millis in (0..seconds * 1_000).step_by(2) {
        // Every ten seconds another scheduler takes over the budget; it has no record of what its predecessor
        // granted.
        let current = usize::try_from(millis / 10_000).unwrap() % ledgers.len();
        if ledgers.len() > 1 && millis.is_multiple_of(10_000) {
            ledgers[current] = budget::BudgetLedger::default();
            ledgers[current].note_membership_change(at(millis));
        }
        for cache in &mut caches {
            if !cache.spend(at(millis), &customer(), TOKENS) {
                let Ok(portion) = ledgers[current].draw(at(millis), &customer(), limit, TOKENS)
                else {
                    continue;
                };
                cache.add(at(millis), &customer(), portion);
                assert!(cache.spend(at(millis), &customer(), TOKENS));
            }
            spent += TOKENS.0;
        }
    }
    spent
}

#[test]
fn spending_matches_the_limit_for_any_number_of_entries() {
    for entries in [1, 6, 24] {
        let spent = spend_for(60, entries, 1) as f64;
        let allowed = 10_000.0 * 60.0;
        assert!(
            (spent / allowed - 1.0).abs() <= 0.1,
            "{entries} entries spent {spent} of {allowed}"
        );
    }
}

#[test]
fn many_entries_with_few_requests_do_not_exhaust_the_limit_with_unspent_portions() {
    // 200 entries with one request each in two seconds use half the limit in total.
    let limit = limit(100_000.0, 100_000);
    let mut ledger = budget::BudgetLedger::default();
    let mut caches: Vec<_> = (0..200).map(|_| budget::BudgetCache::default()).collect();
    for millis in (0..20_000).step_by(10) {
        let cache = &mut caches[usize::try_from(millis / 10).unwrap() % 200];
        if !cache.spend(at(millis), &customer(), TOKENS) {
            let want = cache.draw_size(at(millis), &customer(), TOKENS);
            let portion = ledger.draw(at(millis), &customer(), limit, want).unwrap();
            cache.add(at(millis), &customer(), portion);
            assert!(cache.spend(at(millis), &customer(), TOKENS));
        }
    }
}

#[test]
fn spending_matches_the_limit_while_the_scheduler_changes() {
    let spent = spend_for(60, 6, 3) as f64;
    let allowed = 10_000.0 * 60.0;
    assert!((spent / allowed - 1.0).abs() <= 0.1, "spent {spent} of {allowed}");
}

#[test]
fn entries_that_cannot_reach_the_scheduler_spend_the_limit_together() {
    let limit = limit(10_000.0, 10_000);
    let mut caches: Vec<_> = (0..6).map(|_| budget::BudgetCache::default()).collect();
    let mut spent = 0;
    for millis in (0..60_000).step_by(5) {
        for cache in &mut caches {
            if cache.spend_own_share(at(millis), &customer(), limit, 6, TOKENS).is_ok() {
                spent += TOKENS.0;
            }
        }
    }
    let ratio = spent as f64 / 600_000.0;
    assert!((ratio - 1.0).abs() <= 0.1, "{ratio} of the limit");
}

#[test]
fn a_prompt_larger_than_the_bucket_starts_and_delays_later_requests() {
    let mut ledger = budget::BudgetLedger::default();
    let limit = limit(10_000.0, 10_000);
    let large = units::TokenCount(100_000);
    assert!(ledger.draw(at(0), &customer(), limit, large).is_ok());
    let Err(budget::BudgetExhausted(wait)) = ledger.draw(at(0), &customer(), limit, TOKENS) else {
        panic!("the bucket is in debt by 97,500 tokens");
    };
    assert!((9_700..9_800).contains(&wait.as_millis()), "{wait:?}");
    assert!(ledger.draw(at(9_800), &customer(), limit, TOKENS).is_ok());
}

#[test]
fn a_portion_expires() {
    let mut cache = budget::BudgetCache::default();
    let ttl = time::Duration::from_secs(2);
    cache.add(at(0), &customer(), budget::BudgetPortion { tokens: TOKENS, ttl });
    assert!(!cache.spend(at(2_000), &customer(), units::TokenCount(1)));
}

#[test]
fn a_scheduler_that_takes_over_grants_no_second_burst() {
    let limit = limit(1_000.0, 1_000_000);
    let mut ledger = budget::BudgetLedger::default();
    ledger.note_membership_change(at(500_000));
    let mut drawn = 0;
    while let Ok(portion) = ledger.draw(at(500_000), &customer(), limit, TOKENS) {
        drawn += portion.tokens.0;
    }
    assert!(drawn <= 1_500, "{drawn} tokens at once");
}

#[test]
fn a_customer_that_was_idle_under_one_scheduler_has_its_full_burst() {
    let limit = limit(1_000.0, 20_000);
    let mut ledger = budget::BudgetLedger::default();
    ledger.note_membership_change(at(0));
    ledger.draw(at(0), &customer(), limit, TOKENS).unwrap();
    ledger.prune(at(70_000));
    assert!(ledger.is_empty());
    let mut drawn = 0;
    while let Ok(portion) = ledger.draw(at(70_000), &customer(), limit, TOKENS) {
        drawn += portion.tokens.0;
    }
    assert_eq!(drawn, 20_000);
}

#[test]
fn buckets_of_idle_customers_are_dropped() {
    let mut ledger = budget::BudgetLedger::default();
    ledger.draw(at(0), &customer(), limit(1_000.0, 1_000), TOKENS).unwrap();
    ledger.prune(at(59_000));
    assert_eq!(ledger.len(), 1);
    ledger.prune(at(61_000));
    assert!(ledger.is_empty());
}
