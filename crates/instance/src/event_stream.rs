//! Splits a `text/event-stream` body into events, so that only complete ones are forwarded.

use bytes::BytesMut;

/// Received bytes of a stream that have not been forwarded.
#[derive(Debug, Default)]
pub struct EventBuffer {
    bytes: BytesMut,
}

impl EventBuffer {
    /// Appends received bytes, which may end in the middle of an event.
    pub fn push(&mut self, piece: &[u8]) {
        self.bytes.extend_from_slice(piece);
    }

    /// Removes and returns all complete events; empty if there are none.
    pub fn take_complete(&mut self) -> BytesMut {
        let end = event_ends(&self.bytes).last();
        end.map_or_else(BytesMut::new, |end| self.bytes.split_to(end))
    }

    /// Returns whether the buffer holds no bytes, not even those of an incomplete event.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}

/// Returns the complete events in `events`; an incomplete one at the end is left out.
pub fn split_events(events: &[u8]) -> Vec<&[u8]> {
    let mut start = 0;
    event_ends(events)
        .map(|end| {
            let event = &events[start..end];
            start = end;
            event
        })
        .collect()
}

/// Returns the position after each blank line, which ends an event.
fn event_ends(bytes: &[u8]) -> impl Iterator<Item = usize> {
    let mut line_start = 0;
    bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n').filter_map(move |(at, _)| {
        let line = &bytes[line_start..at];
        line_start = at + 1;
        (line.is_empty() || line == b"\r").then_some(at + 1)
    })
}
