//! Whole events of a `text/event-stream` body: half events are never passed on.

use bytes::BytesMut;

/// What has arrived of a stream and is not passed on yet.
#[derive(Debug, Default)]
pub struct EventBuffer {
    bytes: BytesMut,
}

impl EventBuffer {
    /// Adds what has arrived.
    pub fn push(&mut self, piece: &[u8]) {
        self.bytes.extend_from_slice(piece);
    }

    /// Takes the whole events out; empty when there is none.
    pub fn take_complete(&mut self) -> BytesMut {
        let end = event_ends(&self.bytes).last();
        end.map_or_else(BytesMut::new, |end| self.bytes.split_to(end))
    }

    /// Whether nothing is left of a half event.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}

/// Splits whole events apart.
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

/// Positions after each blank line.
fn event_ends(bytes: &[u8]) -> impl Iterator<Item = usize> {
    let mut line_start = 0;
    bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n').filter_map(move |(at, _)| {
        let line = &bytes[line_start..at];
        line_start = at + 1;
        (line.is_empty() || line == b"\r").then_some(at + 1)
    })
}
