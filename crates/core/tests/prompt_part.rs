//! Ids of parts of prompts, and the parts that a prompt may share with others.

use slipturn_core::prompt_part::{MAX_ID_DIGITS, MAX_SHARED_PARTS, PartId, SharedParts};

fn part(text: &str) -> PartId {
    text.parse().expect("a valid id")
}

fn shared(text: &str) -> SharedParts {
    SharedParts::of_prompt(text.split(',').map(|id| id.parse().ok()))
}

#[test]
fn upper_and_lower_case_name_the_same_part() {
    assert_eq!(part("5C1E07A2"), part("5c1e07a2"));
    assert_ne!(part("05c1e07a2"), part("5c1e07a2"));
}

#[test]
fn ids_that_are_not_hexadecimal_are_invalid() {
    for text in ["", "0x12", "5c1e 07a2", "-1", "é"] {
        assert!(text.parse::<PartId>().is_err(), "{text:?}");
    }
}

#[test]
fn long_ids_are_hashed_to_the_longest_length() {
    let (long, longer) = ("a".repeat(MAX_ID_DIGITS + 1), "a".repeat(100_000));
    assert_eq!(part(&long).to_string().len(), MAX_ID_DIGITS);
    assert_ne!(part(&long), part(&longer));
    assert_eq!(part(&long.to_ascii_uppercase()), part(&long));
    assert_eq!(part(&"b".repeat(MAX_ID_DIGITS)).to_string(), "b".repeat(MAX_ID_DIGITS));
}

#[test]
fn the_last_part_and_repeated_or_invalid_ones_are_not_shared() {
    assert_eq!(shared("a1,b2,c3").to_string(), "a1+b2");
    assert_eq!(shared("b2,a1,B2,c3").to_string(), "a1+b2");
    assert_eq!(shared("a1,not hex,c3").to_string(), "a1");
    // The last part is the request's own, whether its id is valid or not.
    assert_eq!(shared("a1,b2,not hex").to_string(), "a1+b2");
    assert!(shared("a1").is_empty());
    assert!(shared("").is_empty());
}

#[test]
fn endless_parts_are_cut() {
    let text: Vec<_> = (0..10_000).map(|number| format!("{number:x}")).collect();
    assert_eq!(shared(&text.join(",")).iter().count(), MAX_SHARED_PARTS);
}

#[test]
fn a_list_of_parts_is_read_as_it_is_written() {
    let parts = shared("a1,b2,c3");
    assert_eq!(parts.to_string().parse::<SharedParts>(), Ok(parts));
    assert!("a1+".parse::<SharedParts>().is_err());
}
