//! Reads of a range of keys in pages.

use slipturn_core::{
    range_read::{PageError, RangeRead},
    store_revision::{StoreEra, StoreRevision},
};

fn revision(era: u64, number: u64) -> StoreRevision {
    StoreRevision::new(StoreEra(era), number)
}

#[test]
fn pages_follow_each_other_and_the_watch_starts_at_the_first() {
    let mut read = RangeRead::default();
    assert_eq!(read.after(), None);
    read.add_page([1, 2], Some("b".to_owned()), revision(1, 5)).expect("the first page");
    assert_eq!(read.after(), Some("b"));
    assert!(!read.is_complete());
    read.add_page([3], None, revision(1, 9)).expect("the last page");
    assert!(read.is_complete());
    assert_eq!(read.first_revision(), Some(revision(1, 5)));
    assert_eq!((read.pages(), read.into_items()), (2, vec![1, 2, 3]));
}

#[test]
fn a_page_of_another_era_does_not_continue_a_read() {
    for era in [1, 3] {
        let mut read = RangeRead::default();
        read.add_page([1], Some("b".to_owned()), revision(2, 5)).expect("the first page");
        let error = read.add_page([2], None, revision(era, 6));
        assert_eq!(error, Err(PageError::OtherEra { revision: revision(era, 6) }));
        assert!(!read.is_complete());
    }
}

#[test]
fn a_read_of_pages_that_do_not_ascend_fails_rather_than_going_on_without_end() {
    for next in ["b", "a", ""] {
        let mut read = RangeRead::default();
        read.add_page([1], Some("b".to_owned()), revision(1, 5)).expect("the first page");
        let error = read.add_page([2], Some(next.to_owned()), revision(1, 5));
        assert_eq!(error, Err(PageError::Unordered));
    }
}
