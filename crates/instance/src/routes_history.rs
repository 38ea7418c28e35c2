//! The routes as members pass them on: the last changes as they were made, or the whole.
//!
//! A change is computed once, by the member that reads new routes from the store, and then passed on unchanged.
//! Whoever follows change by change hands on what it got.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::compressed_bytes;

/// Changes remembered: a member that missed more than a storm of them takes the whole.
const MAX_CACHED_CHANGES: usize = 16;
/// Bytes of changes remembered; a change of one route takes some 50.
const MAX_CACHED_CHANGE_BYTES: usize = 64 * 1024;

/// One change of the routes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutesChange {
    /// Version that it changes.
    pub from: u64,
    /// Version after it; newer.
    pub to: u64,
    /// The newer text as what differs from the older.
    text: compressed_bytes::CompressedBytes,
}

/// What a member gives another of its routes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RoutesCopy {
    /// All of them.
    Whole(compressed_bytes::CompressedBytes),
    /// The changes from the other's version on, oldest first, each from the one before.
    Changes(Vec<RoutesChange>),
}

impl RoutesCopy {
    /// The resulting text for a member that has `text` of `version`, and the changes applied.
    pub fn apply(
        &self,
        version: u64,
        text: &str,
    ) -> Result<(String, Vec<RoutesChange>), compressed_bytes::CompressionError> {
        let changes = match self {
            Self::Whole(packed) => return Ok((decompress_text(packed, "")?, Vec::new())),
            Self::Changes(changes) => changes,
        };
        // Its own watch may have brought some of them meanwhile. A gap shows itself: what differs from
        // another text has another digest.
        let missing: Vec<_> =
            changes.iter().skip_while(|change| change.to <= version).cloned().collect();
        let mut text = text.to_owned();
        for change in &missing {
            text = decompress_text(&change.text, &text)?;
        }
        Ok((text, missing))
    }
}

/// The last changes of the routes.
#[derive(Debug, Default)]
pub struct RoutesHistory {
    /// Oldest first, each from the one before.
    changes: collections::VecDeque<RoutesChange>,
    /// The whole, once somebody has asked for it; of the newest version.
    whole: Option<compressed_bytes::CompressedBytes>,
}

impl RoutesHistory {
    /// Takes in that routes of `from` were replaced by those of `to`.
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

    /// Takes in changes that came from a member; none where that gave the whole.
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
        while self.changes.len() > MAX_CACHED_CHANGES
            || size(&self.changes) > MAX_CACHED_CHANGE_BYTES
        {
            self.changes.pop_front();
        }
    }

    fn clear(&mut self) {
        self.changes.clear();
        self.whole = None;
    }

    /// What a member with routes of `version` lacks of `text`, the newest; nothing where that cannot be
    /// packed.
    pub fn copy_for(&mut self, version: u64, text: &str) -> Option<RoutesCopy> {
        let start = self.changes.iter().position(|change| change.from == version);
        if let Some(start) = start {
            return Some(RoutesCopy::Changes(self.changes.range(start..).cloned().collect()));
        }
        if self.whole.is_none() {
            let packed = compressed_bytes::CompressedBytes::compress(text.as_bytes(), &[]);
            self.whole = packed.inspect_err(|error| log::warn!(error:%; "routes.unpackable")).ok();
        }
        self.whole.clone().map(RoutesCopy::Whole)
    }
}

/// The text that was packed against `base`.
fn decompress_text(
    packed: &compressed_bytes::CompressedBytes,
    base: &str,
) -> Result<String, compressed_bytes::CompressionError> {
    let bytes = packed.decompress(base.as_bytes())?;
    String::from_utf8(bytes).map_err(compressed_bytes::CompressionError::codec)
}
