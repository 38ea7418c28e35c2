//! Splits a `text/event-stream` body into events, so that only complete ones are forwarded.

use bytes::BytesMut;
use snafu::Snafu;

/// Maximum size of an event in bytes. Events carry a few tokens each, or at most one structured answer.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Error of an event that is larger than [`MAX_EVENT_BYTES`].
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("an event has more than {MAX_EVENT_BYTES} bytes"))]
pub struct EventTooLarge;

/// Received bytes of a stream that have not been forwarded.
#[derive(Debug, Default)]
pub struct EventBuffer {
    bytes: BytesMut,
    /// Number of bytes of the incomplete event that have been searched for its end; at most `bytes.len()`.
    searched: usize,
    /// Start of the last line that has been searched in part; at most `searched`.
    line_start: usize,
    /// Number of all bytes that were searched, which is the number of bytes received.
    total_searched: u64,
}

impl EventBuffer {
    /// Appends received bytes, which may end in the middle of an event.
    pub fn push(&mut self, piece: &[u8]) {
        self.bytes.extend_from_slice(piece);
    }

    /// Removes and returns all complete events; empty if there are none. Fails if there is only an incomplete event that
    /// is too large. Each byte is searched once, however the events were cut into pieces.
    pub fn take_complete(&mut self) -> Result<BytesMut, EventTooLarge> {
        let mut complete = 0;
        let unsearched = &self.bytes[self.searched..];
        for (offset, _) in unsearched.iter().enumerate().filter(|(_, byte)| **byte == b'\n') {
            let at = self.searched + offset;
            if is_blank(&self.bytes[self.line_start..at]) {
                complete = at + 1;
            }
            self.line_start = at + 1;
        }
        self.total_searched += unsearched.len() as u64;
        self.searched = self.bytes.len() - complete;
        self.line_start -= complete;
        if complete == 0 && self.bytes.len() > MAX_EVENT_BYTES {
            return EventTooLargeSnafu.fail();
        }
        Ok(self.bytes.split_to(complete))
    }

    /// Returns whether the buffer holds no bytes, not even those of an incomplete event.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the number of bytes that were searched for the ends of events.
    pub fn total_searched(&self) -> u64 {
        self.total_searched
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
        is_blank(line).then_some(at + 1)
    })
}

/// Returns whether a line, without its line feed, ends an event.
fn is_blank(line: &[u8]) -> bool {
    line.is_empty() || line == b"\r"
}
