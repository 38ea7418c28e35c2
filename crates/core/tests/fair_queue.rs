//! Order in which the fair queue serves waiting requests: by weight between customers, shortest first within one.

#![allow(clippy::unwrap_used)]

use slipturn_core::{fair_queue, ids, units};

fn item(
    customer: &str,
    weight: f64,
    cost: u64,
    overdue: u64,
    payload: u32,
) -> fair_queue::QueueItem<u32> {
    let customer: ids::CustomerId = customer.parse().unwrap();
    let (cost, overdue) = (units::TokenCount(cost), units::MonoTime(overdue));
    fair_queue::QueueItem { customer, weight, cost, overdue, payload }
}

fn drain(queue: &mut fair_queue::FairQueue<u32>, now: u64) -> Vec<u32> {
    std::iter::from_fn(|| queue.pop_where(units::MonoTime(now), |_| false, |_, _| true))
        .map(|item| item.payload)
        .collect()
}

/// Overdue time of items that never become overdue in these tests, in microseconds.
const NEVER: u64 = u64::MAX - 1;

#[test]
fn within_a_customer_the_shortest_goes_first() {
    let mut queue = fair_queue::FairQueue::default();
    for (cost, payload) in [(900, 1), (10, 2), (100, 3)] {
        queue.push(item("a", 1.0, cost, NEVER, payload));
    }
    assert_eq!(drain(&mut queue, 0), vec![2, 3, 1]);
}

#[test]
fn a_customer_that_floods_the_queue_does_not_delay_others() {
    let mut queue = fair_queue::FairQueue::default();
    for number in 0..100 {
        queue.push(item("flood", 1.0, 100, NEVER, number));
    }
    for _ in 0..10 {
        queue.pop_where(units::MonoTime(0), |_| false, |_, _| true).unwrap();
    }
    queue.push(item("small", 1.0, 100, NEVER, 1_000));
    // A new customer starts level with the flooding one, so at most one item of the latter goes first.
    assert!(drain(&mut queue, 0)[..2].contains(&1_000));
}

#[test]
fn service_is_shared_by_weight() {
    let mut queue = fair_queue::FairQueue::default();
    for number in 0..60 {
        queue.push(item("heavy", 3.0, 100, NEVER, number));
        queue.push(item("light", 1.0, 100, NEVER, 100 + number));
    }
    let served = drain(&mut queue, 0);
    let heavy = served[..40].iter().filter(|payload| **payload < 100).count();
    assert_eq!(heavy, 30);
}

#[test]
fn idling_earns_no_credit() {
    let mut queue = fair_queue::FairQueue::default();
    for number in 0..50 {
        queue.push(item("busy", 1.0, 100, NEVER, number));
    }
    for _ in 0..25 {
        queue.pop_where(units::MonoTime(0), |_| false, |_, _| true).unwrap();
    }
    for number in 100..125 {
        queue.push(item("idler", 1.0, 100, NEVER, number));
    }
    let served = drain(&mut queue, 0);
    let idler = served[..20].iter().filter(|payload| **payload >= 100).count();
    assert!((9..=11).contains(&idler), "the idler got {idler} of 20");
}

#[test]
fn overdue_items_come_first_and_the_longest_overdue_before_the_others() {
    let mut queue = fair_queue::FairQueue::default();
    queue.push(item("a", 1.0, 10, NEVER, 1));
    queue.push(item("a", 1.0, 90_000, 50, 2));
    queue.push(item("b", 1.0, 90_000, 40, 3));
    assert_eq!(drain(&mut queue, 60), vec![3, 2, 1]);
}

#[test]
fn an_item_that_does_not_fit_is_skipped_and_stays_queued() {
    let mut queue = fair_queue::FairQueue::default();
    queue.push(item("a", 1.0, 10, NEVER, 1));
    queue.push(item("a", 1.0, 20, NEVER, 2));
    let taken =
        queue.pop_where(units::MonoTime(0), |_| false, |item, _| item.payload != 1).unwrap();
    assert_eq!((taken.payload, queue.len()), (2, 1));
}
