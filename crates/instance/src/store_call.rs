//! Calls to the platform's store, whose answers tell its era.

use std::time;

use bytes::Bytes;
use slipturn_core::store_revision;
use snafu::{ResultExt as _, Snafu};

use crate::{border, context, document_call};

/// Why a call to the store failed.
#[derive(Debug, Snafu)]
pub(crate) enum StoreError {
    /// There is no answer, or not a good one.
    #[snafu(display("{source}"))]
    Call {
        /// What went wrong.
        source: document_call::CallError,
    },
    /// The answer's era is unreadable, so the answer cannot be ordered.
    #[snafu(display("{source}"))]
    Era {
        /// What is wrong with it.
        source: border::FormatError,
    },
    /// The changes from the revision on that was asked for are not remembered.
    #[snafu(display("history is gone in era {era}"))]
    HistoryGone {
        /// Era of the answer.
        era: store_revision::StoreEra,
    },
}

impl StoreError {
    /// Whether the store answered.
    pub(crate) fn is_answer(&self) -> bool {
        matches!(
            self,
            Self::HistoryGone { .. }
                | Self::Call { source: document_call::CallError::Status { .. } }
        )
    }
}

/// A good answer.
#[derive(Debug)]
pub(crate) struct StoreAnswer {
    /// Era of the store; the highest known where the answer tells none.
    pub(crate) era: store_revision::StoreEra,
    /// The body.
    pub(crate) body: Bytes,
}

/// Reads from the store.
pub(crate) async fn get(
    context: &context::InstanceContext,
    connection: &mut document_call::DocumentConnection,
    path: &str,
    limit: time::Duration,
) -> Result<StoreAnswer, StoreError> {
    let answer = connection.call_whole("GET", path, Bytes::new(), limit).await;
    let answer = answer.context(CallSnafu)?;
    let era = context.border.store_era(&answer.head).context(EraSnafu)?;
    let era = era.unwrap_or_else(|| context.belief.borrow().era());
    note_era(context, era);
    if answer.head.status == http::StatusCode::GONE {
        return HistoryGoneSnafu { era }.fail();
    }
    let body = answer.into_body().context(CallSnafu)?;
    Ok(StoreAnswer { era, body })
}

fn note_era(context: &context::InstanceContext, era: store_revision::StoreEra) {
    let changed = context.belief.borrow_mut().note_era(era);
    if let Some(before) = changed {
        log::warn!(era = era.0, before = before.0; "store.era_changed");
        context.stats.borrow_mut().count("store_eras", "changed");
    }
}
