//! The version of the settings in force never decreases, whatever documents arrive in whatever order.

#![allow(clippy::unwrap_used)]

use std::time;

use proptest::{prelude::any, test_runner};
use slipturn_core::{live_settings, settings, units};

fn document(version: u64) -> String {
    format!("version: {version}\ndefaults: {{weight: {}.0}}\n", version + 1)
}

fn at(millis: u64) -> units::MonoTime {
    units::MonoTime(millis * 1_000)
}

#[test]
fn an_older_document_after_a_newer_one_is_dropped() {
    let mut settings = live_settings::LiveSettings::default();
    assert_eq!(settings.offer(at(0), &document(5)), live_settings::OfferOutcome::Accepted);
    assert_eq!(settings.offer(at(1), &document(4)), live_settings::OfferOutcome::Older);
    assert_eq!(settings.offer(at(2), &document(5)), live_settings::OfferOutcome::Same);
    assert_eq!(settings.version(), settings::SettingsVersion(5));
}

#[test]
fn an_invalid_document_is_dropped_as_a_whole_and_its_error_is_kept() {
    let mut settings = live_settings::LiveSettings::default();
    settings.offer(at(0), &document(5));
    let bad = "version: 6\ndefaults: {weight: 9.0, max_attempts: 99}\n";
    assert!(matches!(settings.offer(at(1), bad), live_settings::OfferOutcome::Invalid(_)));
    assert_eq!(settings.tree().unwrap().defaults.weight, Some(6.0));
    assert!(settings.rejected().unwrap().contains("max_attempts"));
    assert_eq!(settings.offer(at(2), &document(7)), live_settings::OfferOutcome::Accepted);
    assert_eq!(settings.rejected(), None);
}

#[test]
fn a_second_document_with_the_same_version_is_rejected() {
    let mut settings = live_settings::LiveSettings::default();
    settings.offer(at(0), "version: 5\n");
    let other = settings.offer(at(1), "version: 5\ndefaults: {weight: 2.0}\n");
    assert!(matches!(other, live_settings::OfferOutcome::Invalid(_)));
    assert_eq!(settings.tree().unwrap().defaults.weight, None);
}

#[test]
fn a_confirmation_by_a_member_counts_from_when_that_member_was_confirmed() {
    let mut settings = live_settings::LiveSettings::default();
    settings.offer(at(0), &document(5));
    settings.confirm(at(60_000), time::Duration::from_secs(50));
    assert_eq!(settings.age(at(60_000)), time::Duration::from_secs(50));
    settings.confirm(at(61_000), time::Duration::from_secs(58));
    assert_eq!(settings.age(at(61_000)), time::Duration::from_secs(51));
}

#[test]
fn versions_never_decrease_in_any_order_of_arrival() {
    let config =
        test_runner::Config { cases: 300, failure_persistence: None, ..Default::default() };
    let random = test_runner::TestRng::deterministic_rng(test_runner::RngAlgorithm::ChaCha);
    let mut runner = test_runner::TestRunner::new_with_rng(config, random);
    let arrivals = proptest::collection::vec((1_u64..20, any::<bool>()), 0..60);
    let checked = runner.run(&arrivals, |arrivals| {
        let mut settings = live_settings::LiveSettings::default();
        let mut highest = 0;
        for (version, valid) in arrivals {
            let text =
                if valid { document(version) } else { format!("version: {version}\nx: 1\n") };
            settings.offer(at(0), &text);
            if valid {
                highest = highest.max(version);
            }
            proptest::prop_assert_eq!(settings.version().0, highest);
        }
        Ok(())
    });
    checked.unwrap();
}
