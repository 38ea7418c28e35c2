//! A scheduler's ledger of the memory of one engine: leases, queue order, engine reports, and lost or late messages.

#![allow(clippy::unwrap_used)]

use std::time;

use slipturn_core::{engine_ledger, ids, placement, refusal, service_rank, settings, units};

const CAPACITY: u64 = 100_000;
const RATE: f64 = 50_000.0;

fn at(millis: u64) -> units::MonoTime {
    units::MonoTime(millis * 1_000)
}

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().unwrap()
}

fn ledger() -> engine_ledger::EngineLedger {
    let options = settings::FleetOptions::default();
    let (capacity, rate) = (units::TokenCount(CAPACITY), units::TokenRate(RATE));
    let mut ledger = engine_ledger::EngineLedger::new(at(0), capacity, rate, options);
    assert_eq!(ledger.report(at(0), &idle()), vec![]);
    ledger
}

/// The report of an idle engine.
fn idle() -> placement::EngineReport {
    placement::EngineReport { memory: units::TokenCount(CAPACITY), ..Default::default() }
}

/// The report of an engine that holds these attempts, each with its tokens.
fn holding(held: &[(&str, u64)]) -> placement::EngineReport {
    let held = held.iter().map(|(attempt, tokens)| (name(attempt), units::TokenCount(*tokens)));
    placement::EngineReport { held: held.collect(), ..idle() }
}

fn request(attempt: &str, prompt: u64, deadline_ms: u64) -> placement::CapacityRequest {
    placement::CapacityRequest {
        attempt: name(attempt),
        entry: name("instance-1"),
        boot: ids::BootId(1),
        customer: name("bluebonnet"),
        weight: 1.0,
        prompt: units::TokenCount(prompt),
        cached: units::TokenCount::ZERO,
        output: units::TokenCount(100),
        memory: units::TokenCount(prompt + 100),
        grouped: false,
        deadline: at(deadline_ms),
        queue_deadline: at(deadline_ms),
    }
}

fn granted(attempt: &str) -> placement::LedgerAction {
    // By the default options, prompts over 32,000 tokens are long. Those of 1,000 to 4,000 tokens in these tests are
    // short; `granted_short` returns their grants.
    ranked(attempt, service_rank::LengthBand::Long)
}

fn granted_short(attempt: &str) -> placement::LedgerAction {
    ranked(attempt, service_rank::LengthBand::Short)
}

fn ranked(attempt: &str, band: service_rank::LengthBand) -> placement::LedgerAction {
    let rank = service_rank::ServiceRank { band, over_share: false };
    placement::LedgerAction::Grant(name(attempt), rank)
}

fn cancelled(attempt: &str, reason: placement::CancelReason) -> placement::LedgerAction {
    placement::LedgerAction::Cancel(name(attempt), reason)
}

fn refusals(actions: &[placement::LedgerAction]) -> Vec<&refusal::RequestRefusal> {
    let mut refused = Vec::new();
    for action in actions {
        if let placement::LedgerAction::Refuse(_, refusal) = action {
            refused.push(refusal);
        }
    }
    refused
}

#[test]
fn an_engine_without_a_report_gets_no_requests() {
    let options = settings::FleetOptions::default();
    let (capacity, rate) = (units::TokenCount(CAPACITY), units::TokenRate(RATE));
    let mut ledger = engine_ledger::EngineLedger::new(at(0), capacity, rate, options);
    let actions = ledger.enqueue(at(0), request("a:1:1:1", 1_000, 60_000));
    assert_eq!(refusals(&actions)[0].code, refusal::RefusalCode::NoUpstream);
}

#[test]
fn a_scheduler_that_was_paused_grants_nothing_before_a_fresh_report() {
    let mut ledger = ledger();
    assert_eq!(
        ledger.enqueue(at(0), request("a:1:2:1", 60_000, 600_000)),
        vec![granted("a:1:2:1")]
    );
    assert_eq!(ledger.enqueue(at(0), request("a:1:3:1", 60_000, 600_000)), vec![]);
    // The scheduler is paused for a minute; the release arrives first, from the socket's buffer.
    assert_eq!(ledger.release(at(60_000), &name("a:1:2:1")), vec![]);
    assert_eq!(ledger.waiting(), 1);
    // Another scheduler has filled the engine meanwhile.
    assert_eq!(ledger.report(at(60_010), &holding(&[("b:1:1:1", 80_000)])), vec![]);
    assert_eq!(ledger.running(), 0);
    let actions = ledger.report(at(60_500), &idle());
    assert_eq!(actions, vec![granted("a:1:3:1")]);
}

#[test]
fn a_request_too_large_for_the_engine_is_refused_at_once() {
    let mut ledger = ledger();
    let actions = ledger.enqueue(at(0), request("a:1:1:1", 90_000, 600_000));
    assert_eq!(refusals(&actions)[0].code, refusal::RefusalCode::TooLarge);
    assert_eq!(refusals(&actions)[0].ran, refusal::RanState::No);
}

#[test]
fn a_duplicate_request_gets_no_second_lease() {
    let mut ledger = ledger();
    assert_eq!(
        ledger.enqueue(at(0), request("a:1:1:1", 1_000, 60_000)),
        vec![granted_short("a:1:1:1")]
    );
    assert_eq!(ledger.enqueue(at(1), request("a:1:1:1", 1_000, 60_000)), vec![]);
    assert_eq!(ledger.running(), 1);
    assert_eq!(ledger.free(), units::TokenCount(CAPACITY - 1_100));
}

#[test]
fn duplicate_late_and_unknown_releases_are_ignored() {
    let mut ledger = ledger();
    ledger.enqueue(at(0), request("a:1:1:1", 1_000, 60_000));
    ledger.release(at(5), &name("a:1:1:1"));
    ledger.release(at(6), &name("a:1:1:1"));
    ledger.release(at(7), &name("never:1:1:1"));
    assert_eq!(ledger.free(), units::TokenCount(CAPACITY));
    // A renewal that was in flight does not restore the lease.
    ledger.renew(at(8), &name("instance-1"), ids::BootId(1), &[request("a:1:1:1", 1_000, 60_000)]);
    assert_eq!(ledger.running(), 0);
}

#[test]
fn only_short_requests_use_the_headroom() {
    let mut ledger = ledger();
    assert_eq!(
        ledger.enqueue(at(0), request("a:1:1:1", 60_000, 600_000)),
        vec![granted("a:1:1:1")]
    );
    assert_eq!(ledger.enqueue(at(1), request("a:1:2:1", 25_000, 600_000)), vec![]);
    assert_eq!(
        ledger.enqueue(at(2), request("a:1:3:1", 3_000, 60_000)),
        vec![granted_short("a:1:3:1")]
    );
}

#[test]
fn memory_is_reserved_for_an_overdue_request_while_short_ones_continue() {
    let mut ledger = ledger();
    ledger.enqueue(at(0), request("a:1:1:1", 60_000, 600_000));
    // The second request has a deadline of 20 s, so it becomes overdue after about 8 s.
    ledger.enqueue(at(0), request("a:1:2:1", 60_000, 20_000));
    for millis in (500..9_500).step_by(500) {
        ledger.report(at(millis), &holding(&[("a:1:1:1", 60_100)]));
        ledger.renew(
            at(millis),
            &name("instance-1"),
            ids::BootId(1),
            &[request("a:1:1:1", 60_000, 600_000)],
        );
    }
    assert_eq!(ledger.enqueue(at(9_500), request("a:1:3:1", 20_000, 600_000)), vec![]);
    assert_eq!(
        ledger.enqueue(at(9_500), request("a:1:4:1", 3_000, 600_000)),
        vec![granted_short("a:1:4:1")]
    );
    let actions = ledger.release(at(9_600), &name("a:1:1:1"));
    let medium = ranked("a:1:3:1", service_rank::LengthBand::Medium);
    assert_eq!(actions, vec![granted("a:1:2:1"), medium]);
}

#[test]
fn a_request_that_cannot_finish_in_time_is_refused_at_once_with_retry_after() {
    let mut ledger = ledger();
    for number in 0..6 {
        ledger.enqueue(at(0), request(&format!("a:1:{number}:1"), 50_000, 600_000));
    }
    let actions = ledger.enqueue(at(0), request("b:1:1:1", 50_000, 5_000));
    let refused = refusals(&actions);
    assert_eq!(refused[0].code, refusal::RefusalCode::Overloaded);
    assert_eq!(refused[0].ran, refusal::RanState::No);
    assert!(refused[0].retry_after.unwrap() > time::Duration::ZERO);
}

#[test]
fn a_waiting_request_is_refused_at_its_latest_start() {
    let mut ledger = ledger();
    ledger.enqueue(at(0), request("a:1:1:1", 60_000, 600_000));
    assert_eq!(ledger.enqueue(at(0), request("a:1:2:1", 60_000, 30_000)), vec![]);
    // Prefill takes 1.2 s and the answer 3 s, so the waiting request must start by 25.8 s.
    ledger.report(at(25_700), &holding(&[("a:1:1:1", 60_100)]));
    ledger.renew(
        at(25_700),
        &name("instance-1"),
        ids::BootId(1),
        &[request("a:1:1:1", 60_000, 600_000)],
    );
    assert_eq!(ledger.waiting(), 1);
    let actions = ledger.advance(at(25_800));
    assert_eq!(refusals(&actions).len(), 1);
    assert_eq!(ledger.waiting(), 0);
}

#[test]
fn an_attempt_without_a_lease_is_cancelled_after_the_grace_until_it_is_gone() {
    let mut ledger = ledger();
    let lost = holding(&[("lost:1:1:1", 40_000)]);
    assert_eq!(ledger.report(at(1_000), &lost), vec![]);
    assert_eq!(ledger.free(), units::TokenCount(CAPACITY - 40_000));
    assert_eq!(ledger.report(at(15_900), &lost), vec![]);
    assert_eq!(
        ledger.report(at(16_000), &lost),
        vec![cancelled("lost:1:1:1", placement::CancelReason::Unexplained)]
    );
    // The engine still reports the attempt, as if the first cancel had been lost.
    assert_eq!(
        ledger.report(at(16_500), &lost),
        vec![cancelled("lost:1:1:1", placement::CancelReason::Unexplained)]
    );
    assert_eq!(ledger.report(at(17_000), &idle()), vec![]);
    assert_eq!(ledger.free(), units::TokenCount(CAPACITY));
}

#[test]
fn a_released_attempt_that_the_engine_still_holds_is_cancelled_soon() {
    let mut ledger = ledger();
    ledger.enqueue(at(0), request("a:1:1:1", 40_000, 600_000));
    ledger.release(at(1_000), &name("a:1:1:1"));
    // A report from before the release does not show that the engine still holds the attempt.
    let old = placement::EngineReport {
        age: time::Duration::from_secs(1),
        ..holding(&[("a:1:1:1", 40_100)])
    };
    assert_eq!(ledger.report(at(1_500), &old), vec![]);
    assert_eq!(ledger.free(), units::TokenCount(CAPACITY));
    let fresh = holding(&[("a:1:1:1", 40_100)]);
    let reason = placement::CancelReason::StillHeld;
    assert_eq!(ledger.report(at(3_100), &fresh), vec![cancelled("a:1:1:1", reason)]);
    assert_eq!(ledger.free(), units::TokenCount(CAPACITY - 40_100));
}

#[test]
fn a_new_ledger_adopts_attempts_that_entries_are_streaming() {
    let mut ledger = ledger();
    let held = holding(&[("a:1:1:1", 40_100)]);
    ledger.report(at(100), &held);
    let streaming = [request("a:1:1:1", 40_000, 600_000)];
    ledger.renew(at(200), &name("instance-1"), ids::BootId(1), &streaming);
    assert_eq!((ledger.running(), ledger.orphan_count()), (1, 0));
    for millis in (4_000..60_000).step_by(4_000) {
        assert_eq!(ledger.report(at(millis), &held), vec![]);
        ledger.renew(at(millis), &name("instance-1"), ids::BootId(1), &streaming);
    }
    assert_eq!(ledger.free(), units::TokenCount(CAPACITY - 40_100));
}

#[test]
fn leases_of_a_restarted_entry_end_with_its_first_renewal() {
    let mut ledger = ledger();
    ledger.enqueue(at(0), request("a:1:1:1", 40_000, 600_000));
    ledger.renew(at(500), &name("instance-1"), ids::BootId(2), &[]);
    assert_eq!(ledger.running(), 0);
    // The memory counts as free only once the engine no longer reports it.
    assert_eq!(ledger.free(), units::TokenCount(CAPACITY - 40_100));
    let held = holding(&[("a:1:1:1", 40_100)]);
    let reason = placement::CancelReason::StillHeld;
    assert_eq!(ledger.report(at(3_000), &held), vec![cancelled("a:1:1:1", reason)]);
    ledger.report(at(3_500), &idle());
    assert_eq!(ledger.free(), units::TokenCount(CAPACITY));
}

#[test]
fn leases_of_a_silent_entry_end_after_the_grace() {
    let mut ledger = ledger();
    ledger.enqueue(at(0), request("a:1:1:1", 40_000, 600_000));
    assert_eq!(ledger.advance(at(14_900)), vec![]);
    let reason = placement::CancelReason::EntrySilent;
    assert_eq!(ledger.advance(at(15_000)), vec![cancelled("a:1:1:1", reason)]);
}

#[test]
fn a_lease_ends_after_its_time_limit_even_if_renewed() {
    let mut ledger = ledger();
    ledger.enqueue(at(0), request("a:1:1:1", 40_000, 9_000));
    for millis in (1_000..11_000).step_by(1_000) {
        ledger.renew(
            at(millis),
            &name("instance-1"),
            ids::BootId(1),
            &[request("a:1:1:1", 40_000, 9_000)],
        );
        assert_eq!(ledger.running(), 1);
    }
    let reason = placement::CancelReason::PastLimit;
    assert_eq!(ledger.advance(at(11_000)), vec![cancelled("a:1:1:1", reason)]);
}

#[test]
fn a_leaving_engine_refuses_waiting_and_new_requests() {
    let mut ledger = ledger();
    ledger.enqueue(at(0), request("a:1:1:1", 60_000, 600_000));
    ledger.enqueue(at(0), request("a:1:2:1", 60_000, 600_000));
    let leaving = placement::EngineReport { draining: true, ..holding(&[("a:1:1:1", 60_100)]) };
    let actions = ledger.report(at(500), &leaving);
    assert_eq!(refusals(&actions)[0].code, refusal::RefusalCode::NoUpstream);
    assert_eq!(refusals(&actions)[0].ran, refusal::RanState::No);
    let actions = ledger.enqueue(at(600), request("a:1:3:1", 1_000, 600_000));
    assert_eq!(refusals(&actions).len(), 1);
    // The running request continues.
    assert_eq!(ledger.running(), 1);
}

#[test]
fn two_groups_never_share_an_engine_and_the_second_waits_within_its_patience() {
    let mut ledger = ledger();
    let grouped = |attempt: &str, queue_deadline: u64| placement::CapacityRequest {
        grouped: true,
        memory: units::TokenCount(30_000),
        queue_deadline: at(queue_deadline),
        ..request(attempt, 60_000, 600_000)
    };
    assert_eq!(ledger.enqueue(at(0), grouped("a:1:1:1", 20_000)), vec![granted("a:1:1:1")]);
    assert_eq!(ledger.enqueue(at(0), grouped("b:1:1:1", 2_000)), vec![]);
    let actions = ledger.advance(at(2_000));
    assert_eq!(refusals(&actions).len(), 1);
    assert_eq!(ledger.enqueue(at(2_000), grouped("b:1:2:1", 600_000)), vec![]);
    ledger.report(at(2_500), &holding(&[("a:1:1:1", 30_000)]));
    assert_eq!(ledger.release(at(2_600), &name("a:1:1:1")), vec![granted("b:1:2:1")]);
}

#[test]
fn the_expected_first_token_includes_work_without_a_lease() {
    let mut ledger = ledger();
    let request = request("a:1:1:1", 2_000, 60_000);
    let before = ledger.offer(at(0), &request).unwrap().first_token;
    let loaded = placement::EngineReport { prefill_backlog: units::TokenCount(50_000), ..idle() };
    ledger.report(at(0), &loaded);
    let after = ledger.offer(at(0), &request).unwrap().first_token;
    assert_eq!(after - before, time::Duration::from_secs(1));
}

#[test]
fn renewing_a_waiting_request_creates_no_lease() {
    let mut ledger = ledger();
    ledger.enqueue(at(0), request("a:1:1:1", 60_000, 600_000));
    ledger.enqueue(at(0), request("a:1:2:1", 60_000, 600_000));
    let renewed = [request("a:1:1:1", 60_000, 600_000), request("a:1:2:1", 60_000, 600_000)];
    ledger.renew(at(1_000), &name("instance-1"), ids::BootId(1), &renewed);
    assert_eq!((ledger.running(), ledger.waiting()), (1, 1));
    assert_eq!(ledger.free(), units::TokenCount(CAPACITY - 60_100));
}

#[test]
fn an_old_report_is_compared_with_the_state_at_its_time() {
    let mut ledger = ledger();
    ledger.enqueue(at(0), request("a:1:1:1", 50_000, 60_000));
    // The report is half a second old: it shows the whole prompt as backlog, of which half has been prefilled since.
    let old = placement::EngineReport {
        age: time::Duration::from_millis(500),
        prefill_backlog: units::TokenCount(50_000),
        ..holding(&[("a:1:1:1", 50_100)])
    };
    ledger.report(at(500), &old);
    let request = request("a:1:2:1", 40_000, 60_000);
    // The first token comes after the prefill of 25,000 tokens of the first prompt and 40,000 of the second, at 50,000
    // tokens per second.
    let expected = ledger.offer(at(500), &request).unwrap().first_token;
    assert_eq!(expected, time::Duration::from_millis(1_300));
}
