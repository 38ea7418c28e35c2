//! A customer's tokens: portions, debt, expiry, and the part of an entry that is cut off.

#![allow(clippy::unwrap_used)]

use std::time;

use slipturn_core::{budget, ids, units};

fn limit(rate: f64, burst: u64) -> budget::BudgetLimit {
    budget::BudgetLimit { rate: units::TokenRate(rate), burst: units::TokenCount(burst) }
}

fn customer() -> ids::CustomerId {
    "bluebonnet".parse().unwrap()
}

fn now(millis: u64) -> units::MonoTime {
    units::MonoTime(millis * 1_000)
}

const TOKENS: units::TokenCount = units::TokenCount(500);

/// Draws and spends as entries do, and returns the tokens spent in `seconds`.
fn spend_for(seconds: u64, entries: usize, keepers: usize) -> u64 {
    let limit = limit(10_000.0, 10_000);
    let mut keepers: Vec<_> = (0..keepers).map(|_| budget::BudgetLedger::default()).collect();
    let mut purses: Vec<_> = (0..entries).map(|_| budget::BudgetCache::default()).collect();
    let mut spent = 0;
    for millis in (0..seconds * 1_000).step_by(2) {
        // The keeper is handed over every ten seconds, to one that knows nothing.
        let term = usize::try_from(millis / 10_000).unwrap() % keepers.len();
        if keepers.len() > 1 && millis.is_multiple_of(10_000) {
            keepers[term] = budget::BudgetLedger::default();
            keepers[term].note_membership_change(now(millis));
        }
        for purse in &mut purses {
            if !purse.spend(now(millis), &customer(), TOKENS) {
                let Ok(portion) = keepers[term].draw(now(millis), &customer(), limit, TOKENS)
                else {
                    continue;
                };
                purse.add(now(millis), &customer(), portion);
                assert!(purse.spend(now(millis), &customer(), TOKENS));
            }
            spent += TOKENS.0;
        }
    }
    spent
}

#[test]
fn a_limit_is_held_however_many_entries_spend() {
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
fn many_entries_with_few_requests_each_waste_nothing_of_the_limit() {
    // 200 entries, one request of each in two seconds: half the limit in all.
    let limit = limit(100_000.0, 100_000);
    let mut keeper = budget::BudgetLedger::default();
    let mut purses: Vec<_> = (0..200).map(|_| budget::BudgetCache::default()).collect();
    for millis in (0..20_000).step_by(10) {
        let purse = &mut purses[usize::try_from(millis / 10).unwrap() % 200];
        if !purse.spend(now(millis), &customer(), TOKENS) {
            let want = purse.draw_size(now(millis), &customer(), TOKENS);
            let portion = keeper.draw(now(millis), &customer(), limit, want).unwrap();
            purse.add(now(millis), &customer(), portion);
            assert!(purse.spend(now(millis), &customer(), TOKENS));
        }
    }
}

#[test]
fn a_limit_is_held_while_its_keeper_changes() {
    let spent = spend_for(60, 6, 3) as f64;
    let allowed = 10_000.0 * 60.0;
    assert!((spent / allowed - 1.0).abs() <= 0.1, "spent {spent} of {allowed}");
}

#[test]
fn entries_cut_off_from_the_keeper_spend_their_part_together_the_limit() {
    let limit = limit(10_000.0, 10_000);
    let mut purses: Vec<_> = (0..6).map(|_| budget::BudgetCache::default()).collect();
    let mut spent = 0;
    for millis in (0..60_000).step_by(5) {
        for purse in &mut purses {
            if purse.spend_alone(now(millis), &customer(), limit, 6, TOKENS).is_ok() {
                spent += TOKENS.0;
            }
        }
    }
    let ratio = spent as f64 / 600_000.0;
    assert!((ratio - 1.0).abs() <= 0.1, "{ratio} of the limit");
}

#[test]
fn a_prompt_larger_than_the_bucket_starts_and_delays_what_follows() {
    let mut keeper = budget::BudgetLedger::default();
    let limit = limit(10_000.0, 10_000);
    let large = units::TokenCount(100_000);
    assert!(keeper.draw(now(0), &customer(), limit, large).is_ok());
    let Err(budget::BudgetExhausted(wait)) = keeper.draw(now(0), &customer(), limit, TOKENS) else {
        panic!("in debt by 97,500 tokens");
    };
    assert!((9_700..9_800).contains(&wait.as_millis()), "{wait:?}");
    assert!(keeper.draw(now(9_800), &customer(), limit, TOKENS).is_ok());
}

#[test]
fn a_portion_expires() {
    let mut purse = budget::BudgetCache::default();
    let ttl = time::Duration::from_secs(2);
    purse.add(now(0), &customer(), budget::BudgetPortion { tokens: TOKENS, ttl });
    assert!(!purse.spend(now(2_000), &customer(), units::TokenCount(1)));
}

#[test]
fn a_keeper_that_takes_over_hands_out_no_second_burst() {
    let limit = limit(1_000.0, 1_000_000);
    let mut fresh = budget::BudgetLedger::default();
    fresh.note_membership_change(now(500_000));
    let mut drawn = 0;
    while let Ok(portion) = fresh.draw(now(500_000), &customer(), limit, TOKENS) {
        drawn += portion.tokens.0;
    }
    assert!(drawn <= 1_500, "{drawn} tokens at once");
}

#[test]
fn a_customer_idle_under_its_keeper_has_its_burst() {
    let limit = limit(1_000.0, 20_000);
    let mut keeper = budget::BudgetLedger::default();
    keeper.note_membership_change(now(0));
    keeper.draw(now(0), &customer(), limit, TOKENS).unwrap();
    keeper.prune(now(70_000));
    assert!(keeper.is_empty());
    let mut drawn = 0;
    while let Ok(portion) = keeper.draw(now(70_000), &customer(), limit, TOKENS) {
        drawn += portion.tokens.0;
    }
    assert_eq!(drawn, 20_000);
}

#[test]
fn idle_customers_are_forgotten() {
    let mut keeper = budget::BudgetLedger::default();
    keeper.draw(now(0), &customer(), limit(1_000.0, 1_000), TOKENS).unwrap();
    keeper.prune(now(59_000));
    assert_eq!(keeper.len(), 1);
    keeper.prune(now(61_000));
    assert!(keeper.is_empty());
}
