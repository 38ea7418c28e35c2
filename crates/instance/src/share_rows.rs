//! Rows, metrics and log lines on the division of engine time among customers.

use std::{collections, fmt::Write as _};

use slipturn_core::{ids, planner::share_summary, planner_key, share_factors, units};

use crate::{context, planner_set};

/// Largest number of customers with a metric of their own; the others are counted together.
const MAX_SERIES: usize = 32;
/// Label of the customers without a metric of their own. Not a valid name of a customer.
const OTHERS: &str = "(others)";

/// Logs when planners begin and cease to divide capacity.
#[derive(Debug, Default)]
pub(crate) struct ShareLog {
    /// The planners that divide capacity, and since when, as of the last call of [`Self::update`].
    divided: collections::BTreeMap<planner_key::PlannerKey, units::MonoTime>,
}

impl ShareLog {
    /// Logs the changes since the last call.
    pub(crate) fn update(&mut self, now: units::MonoTime, planners: &planner_set::PlannerSet) {
        let divided = planners.shares_divided(now);
        for key in divided.keys().filter(|key| !self.divided.contains_key(*key)) {
            let summary = planners.share_summary(now, key).unwrap_or_default();
            log::info!(planner:% = key, customers = summary.limited_count(); "shares.began");
        }
        for (key, since) in self.divided.iter().filter(|(key, _)| !divided.contains_key(*key)) {
            let lasted_ms = units::whole_millis(now.since(*since));
            log::info!(planner:% = key, lasted_ms; "shares.ended");
        }
        self.divided = divided;
    }
}

/// Returns the temporary weights that this process knows, and a row for each customer with recent requests at each
/// planner of this process.
pub(crate) fn shares(context: &context::InstanceContext) -> serde_json::Value {
    serde_json::json!({ "temporary_weights": factors(context), "customers": customers(context) })
}

fn factors(context: &context::InstanceContext) -> Vec<serde_json::Value> {
    let now = context.now();
    let factors = context.share_factors.borrow();
    let row = |(customer, setting): (&ids::CustomerId, &share_factors::FactorSetting)| {
        serde_json::json!({
            "customer": customer,
            "factor": setting.factor.value(),
            "left_s": setting.until.since(now).as_secs(),
        })
    };
    factors.in_force(now).map(row).collect()
}

fn customers(context: &context::InstanceContext) -> Vec<serde_json::Value> {
    let now = context.now();
    let planners = context.planners.borrow();
    let row = |key: &planner_key::PlannerKey, row: &share_summary::ShareRow| {
        serde_json::json!({
            "planner": key.to_string(),
            "customer": row.customer,
            "weight": rounded(row.weight),
            "demand_engines": rounded(row.demand),
            "in_progress_engines": rounded(row.in_progress),
            "share_engines": row.share.filter(|share| share.is_finite()).map(rounded),
            "limited": row.is_limited,
            "refused": row.refused,
            "waiting": waiting_text(&row.waiting),
        })
    };
    let summaries = planners.share_summaries(now).into_iter();
    summaries
        .flat_map(|(key, summary)| {
            let rows = summary.rows.iter();
            rows.map(|share| row(key, share)).collect::<Vec<_>>()
        })
        .collect()
}

/// Returns for each planner of this process that divides capacity for how long it has done so, in milliseconds.
pub(crate) fn divided_ms(context: &context::InstanceContext) -> collections::BTreeMap<String, u64> {
    let now = context.now();
    let divided = context.planners.borrow().shares_divided(now).into_iter();
    divided.map(|(key, since)| (key.to_string(), units::whole_millis(now.since(since)))).collect()
}

/// Counters of the requests refused because their customer was above its share.
pub(crate) fn refused_counters(context: &context::InstanceContext) -> String {
    let mut refused = collections::BTreeMap::<ids::CustomerId, u64>::new();
    for (_, summary) in context.planners.borrow().share_summaries(context.now()) {
        for row in summary.rows.into_iter().filter(|row| row.refused > 0) {
            *refused.entry(row.customer).or_default() += row.refused;
        }
    }
    let mut refused: Vec<_> = refused.into_iter().collect();
    refused.sort_by(|left, right| right.1.cmp(&left.1).then(left.0.cmp(&right.0)));
    let (own, others) = refused.split_at(refused.len().min(MAX_SERIES));
    let mut text = String::new();
    let mut push = |customer: &str, count: u64| {
        let _ = writeln!(text, "slipturn_share_refused{{customer=\"{customer}\"}} {count}");
    };
    own.iter().for_each(|(customer, count)| push(customer.as_str(), *count));
    if !others.is_empty() {
        push(OTHERS, others.iter().map(|(_, count)| count).sum());
    }
    text
}

/// Numbers of waiting requests by class, each with the reason.
fn waiting_text(waiting: &share_summary::WaitingCounts) -> String {
    let counts = waiting.iter();
    let texts =
        counts.map(|((class, reason), count)| format!("{count} {class} ({})", reason.label()));
    texts.collect::<Vec<_>>().join(", ")
}

/// Rounds to hundredths.
fn rounded(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}
