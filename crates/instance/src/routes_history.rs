//! Routes in the form in which members pass them on: as recent changes, or as a whole.
//!
//! A change is computed once, by the member that reads new routes from the store. Members that receive it pass it on
//! unchanged.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::compressed_bytes;

/// Most remembered changes; a member that has missed more of them receives the whole routes.
const MAX_REMEMBERED_CHANGES: usize = 16;
/// Most compressed bytes of remembered changes; a change of one route takes some 50.
const MAX_REMEMBERED_BYTES: usize = 64 * 1024;

/// A change from one version of the routes to another, as the difference between their texts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutesChange {
    /// Version before the change.
    pub from: u64,
    /// Version after the change; newer than `from`.
    pub to: u64,
    /// The newer text, compressed against the older one.
    text: compressed_bytes::CompressedBytes,
}

/// Routes in the form in which one member sends them to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RoutesCopy {
    /// The whole text, compressed without a base, whatever version the receiver has.
    Whole(compressed_bytes::CompressedBytes),
    /// The changes from the receiver's version on, oldest first, each based on the one before.
    Changes(Vec<RoutesChange>),
}

impl RoutesCopy {
    /// Applies the copy to `text` of `version`; returns the resulting text, and the changes that were applied.
    pub fn apply(
        &self,
        version: u64,
        text: &str,
    ) -> Result<(String, Vec<RoutesChange>), compressed_bytes::CompressionError> {
        let changes = match self {
            Self::Whole(compressed) => return Ok((decompress_text(compressed, "")?, Vec::new())),
            Self::Changes(changes) => changes,
        };
        // The receiver's own watch may have brought some of the changes in the meantime. If a change is missing, the
        // digest of the next one does not match.
        let missing: Vec<_> =
            changes.iter().skip_while(|change| change.to <= version).cloned().collect();
        let mut text = text.to_owned();
        for change in &missing {
            text = decompress_text(&change.text, &text)?;
        }
        Ok((text, missing))
    }
}

/// The last changes of the routes, for members with older ones.
#[derive(Debug, Default)]
pub struct RoutesHistory {
    /// The changes, oldest first, each based on the one before.
    changes: collections::VecDeque<RoutesChange>,
    /// The whole text of the newest version, compressed when a member first needs it.
    whole: Option<compressed_bytes::CompressedBytes>,
}

impl RoutesHistory {
    /// Records that the routes `from` were replaced by the routes `to`, each a version and a text.
    pub fn replace(&mut self, from: (u64, &str), to: (u64, &str)) {
        if from.0 == 0 {
            self.clear();
            return;
        }
        match compressed_bytes::CompressedBytes::compress(to.1.as_bytes(), from.1.as_bytes()) {
            Ok(text) => self.push(RoutesChange { from: from.0, to: to.0, text }),
            Err(error) => {
                log::warn!(version = to.0, error:%; "routes.unpackable");
                self.clear();
            }
        }
    }

    /// Records changes that a member sent; without any, as after a whole copy, the history is cleared.
    pub fn extend(&mut self, changes: Vec<RoutesChange>) {
        if changes.is_empty() {
            self.clear();
        }
        changes.into_iter().for_each(|change| self.push(change));
    }

    fn push(&mut self, change: RoutesChange) {
        self.whole = None;
        if self.changes.back().is_some_and(|last| last.to != change.from) {
            self.changes.clear();
        }
        self.changes.push_back(change);
        let size = |changes: &collections::VecDeque<RoutesChange>| {
            changes.iter().map(|change| change.text.size()).sum::<usize>()
        };
        while self.changes.len() > MAX_REMEMBERED_CHANGES
            || size(&self.changes) > MAX_REMEMBERED_BYTES
        {
            self.changes.pop_front();
        }
    }

    fn clear(&mut self) {
        self.changes.clear();
        self.whole = None;
    }

    /// The copy of the newest `text` for a member with routes of `version`; `None` if it cannot be compressed.
    pub fn copy_for(&mut self, version: u64, text: &str) -> Option<RoutesCopy> {
        let start = self.changes.iter().position(|change| change.from == version);
        if let Some(start) = start {
            return Some(RoutesCopy::Changes(self.changes.range(start..).cloned().collect()));
        }
        if self.whole.is_none() {
            let compressed = compressed_bytes::CompressedBytes::compress(text.as_bytes(), &[]);
            self.whole =
                compressed.inspect_err(|error| log::warn!(error:%; "routes.unpackable")).ok();
        }
        self.whole.clone().map(RoutesCopy::Whole)
    }
}

/// Decompresses a text that was compressed against `base`.
fn decompress_text(
    compressed: &compressed_bytes::CompressedBytes,
    base: &str,
) -> Result<String, compressed_bytes::CompressionError> {
    let bytes = compressed.decompress(base.as_bytes())?;
    String::from_utf8(bytes).map_err(compressed_bytes::CompressionError::codec)
}
