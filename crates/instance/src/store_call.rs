//! Calls to the platform's store, whose answers tell its era.

use std::time;

use bytes::Bytes;
use slipturn_core::store_revision;
use snafu::{ResultExt as _, Snafu};

use crate::{adapter, context, document_call};

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
        source: adapter::FormatError,
    },
    /// The answer is of an era before the one that is known: a late one, or one of a copy that is out of use.
    #[snafu(display("answer of era {era}, known is {known}"))]
    FormerEra {
        /// Era of the answer.
        era: store_revision::StoreEra,
        /// The later one.
        known: store_revision::StoreEra,
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
    let era = context.adapter.store_era(&answer.head).context(EraSnafu)?;
    let known = known_era(context);
    let era = era.unwrap_or(known);
    if era < known {
        return FormerEraSnafu { era, known }.fail();
    }
    note_era(context, era);
    if answer.head.status == http::StatusCode::GONE {
        return HistoryGoneSnafu { era }.fail();
    }
    let body = answer.into_body().context(CallSnafu)?;
    Ok(StoreAnswer { era, body })
}

/// The latest era that the store or members have told of.
fn known_era(context: &context::InstanceContext) -> store_revision::StoreEra {
    context.belief.borrow().era().max(context.fleet.borrow().revision().era)
}

fn note_era(context: &context::InstanceContext, era: store_revision::StoreEra) {
    let changed = context.belief.borrow_mut().note_era(context.now(), era);
    if let Some(before) = changed {
        log::warn!(era = era.0, before = before.0; "store.era_changed");
        context.stats.borrow_mut().count("store_eras", "changed");
    }
}
