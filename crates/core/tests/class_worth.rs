//! Worth of requests, by which planners weigh those that compete for engine time. It depends on the class of a request
//! (its first-token goal and mean prompt length) and on its own prompt length.

use std::time;

use slipturn_core::class_worth::{ClassWorth, WorthQuery};

/// Records a request and returns its worth. `goal` is the first-token goal of its class and `shortest` the shortest one
/// of the service, both in milliseconds; `prompt` is in tokens.
fn worth(classes: &mut ClassWorth, class: &str, prompt: u64, goal: u64, shortest: u64) -> f64 {
    classes.record_prompt(&WorthQuery {
        class: &class.parse().expect("a valid name"),
        service: &"service".parse().expect("a valid name"),
        prompt,
        goal: time::Duration::from_millis(goal),
        shortest_goal: time::Duration::from_millis(shortest),
    })
}

#[test]
fn worth_of_a_class_grows_with_its_goal_and_its_mean_prompt() {
    let mut classes = ClassWorth::default();
    for _ in 0..10 {
        assert!((worth(&mut classes, "short", 5_000, 300, 300) - 1.0).abs() < 1e-9);
    }
    let long = worth(&mut classes, "long", 180_000, 3_000, 300);
    assert!((long - 360_f64.sqrt()).abs() < 1e-9, "{long}");
    let medium = worth(&mut classes, "medium", 45_000, 1_500, 300);
    assert!(medium > 1.0 && medium < long, "{medium}");
}

#[test]
fn within_a_class_worth_grows_with_the_prompt_and_is_never_zero() {
    let mut classes = ClassWorth::default();
    for _ in 0..50 {
        worth(&mut classes, "class", 100_000, 2_000, 2_000);
    }
    let (small, large) = (
        worth(&mut classes, "class", 1_000, 2_000, 2_000),
        worth(&mut classes, "class", 400_000, 2_000, 2_000),
    );
    assert!(small > 0.29 && small < 0.4, "{small}");
    assert!(large > 2.5 && large < 3.2, "{large}");
}

#[test]
fn without_an_urgent_request_worth_follows_the_goals_alone() {
    let mut classes = ClassWorth::default();
    assert!((worth(&mut classes, "long", 180_000, 3_000, 300) - 10.0).abs() < 1e-9);
}

#[test]
fn more_classes_than_the_limit_are_accepted() {
    let mut classes = ClassWorth::default();
    for number in 0..5_000 {
        assert!(worth(&mut classes, &format!("class-{number}"), 1_000, 300, 300) > 0.0);
    }
}

#[test]
fn zero_goals_give_a_finite_positive_worth() {
    let mut classes = ClassWorth::default();
    for (goal, shortest) in [(0, 0), (3_000, 0), (0, 300)] {
        let worth = worth(&mut classes, "class", 0, goal, shortest);
        assert!(worth > 0.0 && worth.is_finite(), "{goal} {shortest}: {worth}");
    }
}
