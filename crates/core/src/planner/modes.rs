//! Experiment switches: variants of individual decisions. One variant of each is the default, the others exist for
//! comparison.

use std::fmt;

use serde::Deserialize;

use crate::{cold_start, retry_need, route_table, upstream_notice};

/// Packing target of [`PackingMode::Fixed`]: two of 16 slots stay free for bursts.
const FIXED_PACKING_TARGET: usize = 14;
/// Packing target of [`PackingMode::SlotShare`] as a fraction of an engine's slots.
const PACKING_TARGET_FRACTION: f64 = 0.875;

/// How short requests are packed onto few engines, so that the others stay free for long prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PackingMode {
    /// Each engine gets up to a fixed number of short requests before the next one is used.
    #[default]
    Fixed,
    /// Each engine gets short requests up to a share of its slots before the next one is used.
    SlotShare,
    /// Short requests are not packed.
    Off,
}

impl PackingMode {
    /// Number of short requests that an engine gets before the next engine is used; `None` without packing.
    pub(crate) fn packing_target(self, shape: &route_table::EngineShape) -> Option<usize> {
        match self {
            Self::Fixed => Some(FIXED_PACKING_TARGET),
            Self::SlotShare => {
                Some(((shape.slots as f64 * PACKING_TARGET_FRACTION) as usize).max(1))
            }
            Self::Off => None,
        }
    }
}

/// How an engine gets work again after a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineFaultMode {
    /// After its ejection time, the engine gets a single request until the first token of that request. A refusal for
    /// lack of capacity also ejects the engine.
    #[default]
    Probe,
    /// After its ejection time, the engine gets work without restrictions. Refusals for lack of capacity are ignored.
    Pause,
}

/// When a short request that finds no engine within all its limits is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ShortRefusalMode {
    /// The request is refused if its caller would give up before the first token, or if most slots are in use and the
    /// request would be queued or late.
    #[default]
    Crowded,
    /// The request is refused only if its caller would give up before the first token.
    Hopeless,
}

/// How other instances learn that an upstream is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeavingNoticeMode {
    /// The member that the upstream informed notifies all others at once.
    #[default]
    All,
    /// Each member learns it from the upstream itself or from the published list.
    Heard,
}

/// How a planner learns that a member must not send to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClosedEngineMode {
    /// The planner learns it from each placement request of that member.
    #[default]
    Asked,
    /// The planner does not learn it: the member holds the request back and requests another placement.
    KeptBack,
}

/// Which upstream takes a call to a plain service (one whose upstreams run no model). The load that is compared
/// includes surcharges for failures, ejection and another data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadChoiceMode {
    /// One of the least loaded upstreams, at random.
    #[default]
    Random,
    /// The less loaded of two random upstreams.
    TwoChoices,
    /// The least loaded upstream; ties go by an order that differs between instances.
    OwnOrder,
    /// The least loaded upstream; ties go by list order.
    First,
}

/// Order of the retries that draw on the budget shared by all members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryOrderMode {
    /// Retries come in the order of what is lost without them, the largest loss first, see [`retry_need::RetryNeed`].
    #[default]
    ByNeed,
    /// Retries come in the order of their arrival.
    Arrival,
}

impl RetryOrderMode {
    /// The need by which a retry is ordered. With [`Self::Arrival`], all retries get the highest need.
    pub fn need(self, need: retry_need::RetryNeed) -> retry_need::RetryNeed {
        match self {
            Self::ByNeed => need,
            Self::Arrival => retry_need::RetryNeed::Begun,
        }
    }
}

/// Which engines are polled for a report in each round.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportMode {
    /// Engines with work are polled in each round, idle engines less often.
    #[default]
    Used,
    /// All engines are polled in each round.
    All,
}

/// How an instance serves its callers while it does not reach upstreams over its own links.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamPathMode {
    /// Other members relay its connections to upstreams.
    #[default]
    Relayed,
    /// It is not ready and closes callers' connections, so that the load balancer sends them to other instances.
    Unready,
    /// It tries its own links only.
    Direct,
}

/// The selected variant of each decision.
// `expecting` fixes the error text for a value that is not a map.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "struct PlannerWays")]
pub struct PlannerModes {
    /// Up to which number short requests are packed onto an engine before the next one is used.
    pub packing: PackingMode,
    /// How an engine gets work again after its ejection time, and whether refusals for lack of capacity eject it.
    pub engine_faults: EngineFaultMode,
    /// When a short request that finds no engine within all its limits is refused.
    pub short_refusal: ShortRefusalMode,
    /// How requests to an upstream resume after a backoff.
    pub rest_return: upstream_notice::BackoffReturnMode,
    /// Whether the member that an upstream informs of its leaving notifies the other members.
    pub leaving_news: LeavingNoticeMode,
    /// How planners learn which engines a member must not send to.
    pub closed_engines: ClosedEngineMode,
    /// Choice among the upstreams of a plain service.
    pub load_choice: LoadChoiceMode,
    /// Order of the retries that draw on the budget shared by all members.
    pub retry_order: RetryOrderMode,
    /// Whether the request rate of upstreams that have just started is limited.
    pub cold_upstreams: cold_start::ColdUpstreamMode,
    /// Whether idle engines are polled for reports less often than engines with work.
    pub reports: ReportMode,
    /// Path to upstreams that this instance does not reach over its own links.
    pub upstream_path: UpstreamPathMode,
}

impl fmt::Display for PlannerModes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "packing {:?}, engine faults {:?}, short refusal {:?}, rest return {:?}, leaving news {:?}, \
             closed engines {:?}, load choice {:?}, retry order {:?}, cold upstreams {:?}, \
             reports {:?}, upstream path {:?}",
            self.packing,
            self.engine_faults,
            self.short_refusal,
            self.rest_return,
            self.leaving_news,
            self.closed_engines,
            self.load_choice,
            self.retry_order,
            self.cold_upstreams,
            self.reports,
            self.upstream_path
        )
    }
}
