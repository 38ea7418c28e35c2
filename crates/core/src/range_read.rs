//! Progress of reading a range of the store's keys in pages.

use snafu::{Snafu, ensure};

use crate::store_revision;

/// Why a page does not continue a read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum PageError {
    /// The store was restored from an older copy between two pages.
    #[snafu(display("the store was restored from a copy during a read, at {revision}"))]
    OtherEra {
        /// Revision of the page.
        revision: store_revision::StoreRevision,
    },
    /// The last key of the page is not above that of the page before, so the read would not end.
    #[snafu(display("the pages of the store do not ascend"))]
    Unordered,
}

/// A range of keys that is read in pages. After a failed call only the failed page is read again.
#[derive(Debug)]
pub struct RangeRead<T> {
    /// Items of the pages that have been read.
    items: Vec<T>,
    /// Key after which the next page starts, higher with each page; `None` before the first page.
    after: Option<String>,
    /// Revision of the first page; all pages are of its era.
    first_revision: Option<store_revision::StoreRevision>,
    /// Number of pages that have been read.
    pages: u64,
    /// Whether the last page has been read.
    is_complete: bool,
}

impl<T> Default for RangeRead<T> {
    fn default() -> Self {
        Self { items: Vec::new(), after: None, first_revision: None, pages: 0, is_complete: false }
    }
}

impl<T> RangeRead<T> {
    /// Key after which the next page starts; `None` for the first page.
    pub fn after(&self) -> Option<&str> {
        self.after.as_deref()
    }

    /// Whether all pages have been read.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Number of pages that have been read.
    pub fn pages(&self) -> u64 {
        self.pages
    }

    /// Revision of the first page, from which to watch: pages are not a snapshot, so later pages may contain later
    /// changes. `None` before the first page.
    pub fn first_revision(&self) -> Option<store_revision::StoreRevision> {
        self.first_revision
    }

    /// Adds the next page. `next` is the key after which another page starts, if there is one.
    pub fn add_page(
        &mut self,
        items: impl IntoIterator<Item = T>,
        next: Option<String>,
        revision: store_revision::StoreRevision,
    ) -> Result<(), PageError> {
        let first = *self.first_revision.get_or_insert(revision);
        ensure!(first.era == revision.era, OtherEraSnafu { revision });
        ensure!(next.is_none() || next > self.after, UnorderedSnafu);
        self.items.extend(items);
        self.pages += 1;
        self.is_complete = next.is_none();
        self.after = next;
        Ok(())
    }

    /// Returns the items of all pages in the order of the pages.
    pub fn into_items(self) -> Vec<T> {
        self.items
    }
}
