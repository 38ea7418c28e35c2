//! Plans instances that are partitioned from all or some upstreams, while clients, the store and other members reach
//! them.

use std::ops;

use rand::RngExt as _;
use slipturn_platform_standin::proxy::LinkMode;

use crate::{
    contact_plan,
    fault_plan::{self, Fault, PartitionScope, PlanSize, PlannedFault},
    fault_series,
};

/// First seed whose plan has partitions: some plans of lower seeds are kept as tests and must not
/// change.
pub(crate) const FIRST_SEED: u64 = 80_000;
/// Number of the random stream that draws the partitions.
const PARTITION_STREAM: u64 = 9;
/// Time between the starts of two partitions, milliseconds.
const GAP_MS: ops::Range<u64> = 800..4_000;
/// How long a partition lasts, milliseconds; `partition_check` counts requests from 3 s on.
const LENGTH_MS: ops::Range<u64> = 500..9_000;

/// How the links of a partitioned instance fail.
pub(crate) const LINK_MODES: [LinkMode; 5] =
    [LinkMode::Hang, LinkMode::Reset, LinkMode::Refuse, LinkMode::DropForth, LinkMode::DropBack];
/// What instances are partitioned from; most often from all upstreams.
const SCOPES: [PartitionScope; 5] = [
    PartitionScope::All,
    PartitionScope::All,
    PartitionScope::Engines,
    PartitionScope::Plain,
    PartitionScope::EvenNumbers,
];

/// Returns the partitions of a seed, spread over the whole run. They overlap, so that most or all instances may be
/// partitioned at the same time.
pub(crate) fn faults(seed: u64, size: PlanSize) -> Vec<PlannedFault> {
    let series = fault_series::FaultSeries {
        first_seed: FIRST_SEED,
        stream: PARTITION_STREAM,
        end: size.length + contact_plan::scenes_length(size),
        gap_ms: GAP_MS,
        length_ms: LENGTH_MS,
    };
    series.faults(seed, |random| {
        let instance = random.random_range(0..size.instances);
        let scope = fault_plan::pick(random, &SCOPES);
        Fault::Partition(instance, scope, fault_plan::pick(random, &LINK_MODES))
    })
}
