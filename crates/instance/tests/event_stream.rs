//! Event streams are split into complete events, whatever the sizes of the received pieces.

use proptest::prelude::*;
use slipturn_instance::event_stream::{EventBuffer, MAX_EVENT_BYTES, split_events};

#[test]
fn incomplete_events_are_not_returned() {
    let mut buffer = EventBuffer::default();
    buffer.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(&buffer.take_complete().unwrap()[..], b"id: 1\ndata: a\n\n");
    assert!(!buffer.is_empty());
    buffer.push(b"ta: b\r\n\r\n");
    assert_eq!(&buffer.take_complete().unwrap()[..], b"id: 2\ndata: b\r\n\r\n");
    assert!(buffer.is_empty());
}

#[test]
fn split_events_returns_complete_events_only() {
    let events = split_events(b"id: 1\n\nid: 2\ndata: x\n\nhalf");
    assert_eq!(events, vec![&b"id: 1\n\n"[..], &b"id: 2\ndata: x\n\n"[..]]);
}

/// Guards against an event without end that takes more and more memory and time.
#[test]
fn an_event_without_end_is_rejected_after_each_byte_was_searched_once() {
    let mut buffer = EventBuffer::default();
    let piece = [b'x'; 1024];
    let pieces = (1..).take_while(|_| {
        buffer.push(&piece);
        buffer.take_complete().is_ok()
    });
    let accepted = pieces.count();
    assert_eq!(accepted, MAX_EVENT_BYTES / piece.len());
    assert_eq!(buffer.total_searched(), ((accepted + 1) * piece.len()) as u64);
}

proptest! {
    #[test]
    fn no_bytes_are_lost_or_repeated(events in 1_usize..20, cuts in prop::collection::vec(1_usize..9, 1..80)) {
        let whole: String =
            (1..=events).map(|number| format!("id: {number}\ndata: {number}\n\n")).collect();
        let mut buffer = EventBuffer::default();
        let mut passed = Vec::new();
        let mut rest = whole.as_bytes();
        for cut in cuts {
            let (piece, later) = rest.split_at(cut.min(rest.len()));
            rest = later;
            buffer.push(piece);
            let taken = buffer.take_complete().unwrap();
            prop_assert!(taken.is_empty() || taken.ends_with(b"\n\n"));
            passed.extend_from_slice(&taken);
        }
        prop_assert!(whole.as_bytes().starts_with(&passed));
        buffer.push(rest);
        passed.extend_from_slice(&buffer.take_complete().unwrap());
        prop_assert_eq!(passed, whole.as_bytes());
        prop_assert_eq!(buffer.total_searched(), whole.len() as u64);
    }
}
