//! What operators are shown of the shares of customers.

use std::collections;

use crate::{ids, planner::waiting_job, units};

/// Why a request waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitReason {
    /// It waits for free capacity.
    Capacity,
    /// It comes after the requests of others, as its customer is above its share.
    OverShare,
}

impl WaitReason {
    /// Name of the reason for operators.
    pub fn label(self) -> &'static str {
        match self {
            Self::Capacity => "capacity",
            Self::OverShare => "over share",
        }
    }
}

/// Number of waiting requests by class and reason.
pub type WaitingCounts = collections::BTreeMap<(ids::ClassId, WaitReason), usize>;

/// State of one customer at one planner.
#[derive(Debug, Clone)]
pub struct ShareRow {
    /// The customer.
    pub customer: ids::CustomerId,
    /// Weight relative to the other customers.
    pub weight: f64,
    /// Engine time that the customer has requested recently, in engines.
    pub demand: f64,
    /// Work in progress, in engines.
    pub in_progress: f64,
    /// Largest use of slots that the customer is entitled to, in engines; `None` while slots are not divided.
    pub share: Option<f64>,
    /// Whether a request was refused within the last second because the customer was above its share.
    pub is_limited: bool,
    /// Requests refused for that reason since the planner has known the customer.
    pub refused: u64,
    /// Requests that wait for a placement.
    pub waiting: WaitingCounts,
}

/// State of the shares of one planner.
#[derive(Debug, Clone, Default)]
pub struct ShareSummary {
    /// Since when slots are divided among customers; `None` if they cover all demands.
    pub divided_since: Option<units::MonoTime>,
    /// Customers with recent requests, and those of which a request was refused for their share.
    pub rows: Vec<ShareRow>,
}

impl ShareSummary {
    /// Number of customers that are limited to their shares.
    pub fn limited_count(&self) -> usize {
        self.rows.iter().filter(|row| row.is_limited).count()
    }
}

/// Counts a customer's requests among `waiting`.
pub(crate) fn waiting_by_class(
    customer: &ids::CustomerId,
    waiting: &[waiting_job::WaitingJob],
) -> WaitingCounts {
    let mut counts = WaitingCounts::new();
    for job in waiting {
        let origin = job.request.origin.as_ref().filter(|origin| origin.customer == *customer);
        let reason =
            if job.over_share > 0.0 { WaitReason::OverShare } else { WaitReason::Capacity };
        if let Some(origin) = origin {
            *counts.entry((origin.class.clone(), reason)).or_default() += 1;
        }
    }
    counts
}
