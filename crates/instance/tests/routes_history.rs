//! Routes as members pass them on: changes, whole copies, and copies that are damaged or do not apply.

use proptest::prelude::*;
use slipturn_instance::{
    compressed_bytes::{CompressedBytes, CompressionError},
    routes_history::{RoutesCopy, RoutesHistory},
};

/// Routes of a version as an operator publishes them: 40 similar routes and `extra_routes` more, one of which differs
/// between versions, and 400 keys that have little in common.
fn routes(version: u64, extra_routes: usize) -> String {
    let route = |number: usize| {
        let timeout = if number == 7 { 100 * version } else { 800 };
        format!(r#"{{"name":"r{number}","path_prefix":"/p{number}/","timeout_ms":{timeout}}}"#)
    };
    let key = |number: u64| format!(r#""k{:016x}""#, number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let routes: Vec<_> = (0..40 + extra_routes).map(route).collect();
    let keys: Vec<_> = (0..400).map(key).collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"keys":[{}]}}"#,
        routes.join(","),
        keys.join(",")
    )
}

/// History and text of a member that has read these versions one by one from the store.
fn follower(versions: &[u64]) -> (RoutesHistory, String) {
    let mut history = RoutesHistory::default();
    let mut before = (0, String::new());
    for version in versions {
        let text = routes(*version, 0);
        history.replace((before.0, &before.1), (*version, &text));
        before = (*version, text);
    }
    (history, before.1)
}

fn size(copy: &RoutesCopy) -> usize {
    postcard::to_stdvec(copy).expect("a copy that can be encoded").len()
}

#[test]
fn a_copy_for_a_known_version_holds_only_the_changes() {
    let (mut history, text) = follower(&[3, 5, 9]);
    let copy = history.copy_for(3, &text).expect("a copy");
    assert!(matches!(&copy, RoutesCopy::Changes(changes) if changes.len() == 2), "{copy:?}");
    assert!(size(&copy) < 400, "{} of {} bytes", size(&copy), text.len());
    let (result, changes) = copy.apply(3, &routes(3, 0)).expect("a valid copy");
    assert_eq!(result, text);
    assert_eq!(changes.len(), 2, "changes must be passed on unmodified");
}

#[test]
fn members_pass_changes_on_unmodified() {
    let (mut first, text) = follower(&[3, 5, 9]);
    let copy = first.copy_for(3, &text).expect("a copy");
    let mut second = RoutesHistory::default();
    second.extend(copy.apply(3, &routes(3, 0)).expect("a valid copy").1);
    assert_eq!(second.copy_for(3, &text), Some(copy));
    let last = second.copy_for(5, &text).expect("a copy");
    assert_eq!(last.apply(5, &routes(5, 0)).expect("a valid copy").0, text);
}

#[test]
fn a_member_with_an_unknown_version_gets_the_whole_text() {
    let (mut history, text) = follower(&[3, 5, 9]);
    for version in [0, 2, 4] {
        let copy = history.copy_for(version, &text).expect("a copy");
        assert!(matches!(copy, RoutesCopy::Whole(_)), "{version}: {copy:?}");
        let (result, changes) = copy.apply(version, "what it had").expect("a valid copy");
        assert_eq!((result, changes.len()), (text.clone(), 0));
    }
    // After a whole copy no earlier changes are known.
    let mut receiver = RoutesHistory::default();
    receiver.extend(Vec::new());
    assert!(matches!(receiver.copy_for(5, &text), Some(RoutesCopy::Whole(_))));
}

#[test]
fn a_change_applied_to_another_text_is_an_error() {
    let (mut history, text) = follower(&[3, 5]);
    let copy = history.copy_for(3, &text).expect("a copy");
    let other = routes(3, 0).replace("r12", "r99");
    let outcome = copy.apply(3, &other);
    assert!(
        matches!(outcome, Err(CompressionError::Digest { .. } | CompressionError::Codec { .. })),
        "{outcome:?}"
    );
}

#[test]
fn changes_that_the_receiver_has_already_are_skipped() {
    let (mut history, text) = follower(&[3, 5, 9]);
    let copy = history.copy_for(3, &text).expect("a copy");
    let (result, changes) = copy.apply(5, &routes(5, 0)).expect("a valid copy");
    assert_eq!((result, changes.len()), (text.clone(), 1));
    let (result, changes) = copy.apply(9, &text).expect("a valid copy");
    assert_eq!((result, changes.len()), (text, 0));
}

#[test]
fn the_number_of_remembered_changes_is_bounded() {
    let versions: Vec<_> = (1..200).collect();
    let (mut history, text) = follower(&versions);
    assert!(matches!(history.copy_for(190, &text), Some(RoutesCopy::Changes(_))));
    assert!(matches!(history.copy_for(100, &text), Some(RoutesCopy::Whole(_))));
}

#[test]
fn large_routes_shrink_to_less_than_a_fifth() {
    let text = routes(1, 1_400);
    let compressed = CompressedBytes::compress(text.as_bytes(), &[]).expect("compressed bytes");
    println!("{} of {} bytes", compressed.size(), text.len());
    assert!(compressed.size() * 5 < text.len(), "{} of {} bytes", compressed.size(), text.len());
}

proptest! {
    #[test]
    fn damaged_bytes_are_an_error_and_do_not_panic(at in any::<prop::sample::Index>(), mask in 1_u8..=255) {
        let text = routes(4, 0);
        let compressed = CompressedBytes::compress(text.as_bytes(), &[]).expect("compressed bytes");
        let mut bytes = postcard::to_stdvec(&compressed).expect("encoded bytes");
        let at = at.index(bytes.len());
        bytes[at] ^= mask;
        if let Ok(damaged) = postcard::from_bytes::<CompressedBytes>(&bytes) {
            // Damage to a flag without effect on the decompressed bytes need not be detected.
            prop_assert!(damaged.decompress(&[]).map_or(true, |result| result == text.as_bytes()));
        }
    }
}
