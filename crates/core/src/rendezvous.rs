//! Rendezvous hashing: all processes with the same list compute the same owner without communication.
//!
//! Processes with different lists may compute different owners for a while. No guarantee depends on a unique owner:
//! two owners cost throughput, never safety.

use std::hash;

use crate::{fleet_list, ids};

/// FNV-1a hasher; the result is the same in every build and process.
struct StableHasher(u64);

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

impl hash::Hasher for StableHasher {
    fn finish(&self) -> u64 {
        // FNV-1a mixes the high bits poorly for short inputs.
        mixed_hash(self.0)
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }
}

/// Mixes `value` so that all bits of the result depend on all of its bits (the finalizer of MurmurHash3).
pub fn mixed_hash(value: u64) -> u64 {
    let mut mixed = value;
    mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mixed ^ (mixed >> 33)
}

/// Hashes a sequence of strings; the result is the same in every build and on every instance.
pub fn stable_hash(parts: &[&str]) -> u64 {
    use hash::Hasher as _;
    let mut hasher = StableHasher(FNV_OFFSET);
    for part in parts {
        hasher.write(part.as_bytes());
        hasher.write(&[0]);
    }
    hasher.finish()
}

/// Hashes bytes; the result is the same in every build and on every instance. Not cryptographic: it does not protect
/// against forgery.
pub fn stable_digest(bytes: &[u8]) -> u64 {
    use hash::Hasher as _;
    let mut hasher = StableHasher(FNV_OFFSET);
    hasher.write(bytes);
    hasher.finish()
}

/// Sorts `candidates` by their rendezvous hash with `subject`, most preferred first.
pub fn ranked<'a, T>(
    subject: &str,
    candidates: impl Iterator<Item = &'a T>,
    name: impl Fn(&T) -> &str,
) -> Vec<&'a T> {
    let mut scored: Vec<_> =
        candidates.map(|candidate| (stable_hash(&[subject, name(candidate)]), candidate)).collect();
    scored.sort_by(|left, right| right.0.cmp(&left.0).then(name(left.1).cmp(name(right.1))));
    scored.into_iter().map(|(_, candidate)| candidate).collect()
}

/// The instance whose scheduler owns an engine: a live one in the engine's data centre, or if there is none, in any
/// other. `None` if no instance is live.
pub fn engine_owner<'a>(
    list: &'a fleet_list::FleetList,
    engine: &ids::EngineId,
    data_center: &ids::DataCenterId,
) -> Option<&'a fleet_list::InstanceRecord> {
    let near = list.live_instances().filter(|instance| instance.data_center == *data_center);
    highest_ranked(engine.as_str(), near)
        .or_else(|| highest_ranked(engine.as_str(), list.live_instances()))
}

/// The instance whose scheduler owns a customer's token budget; `None` if none is live.
pub fn budget_owner<'a>(
    list: &'a fleet_list::FleetList,
    customer: &ids::CustomerId,
) -> Option<&'a fleet_list::InstanceRecord> {
    highest_ranked(customer.as_str(), list.live_instances())
}

/// The live instances of a data centre, in an order that is the same for all processes with the same list.
pub fn data_center_order<'a>(
    list: &'a fleet_list::FleetList,
    data_center: &ids::DataCenterId,
) -> Vec<&'a fleet_list::InstanceRecord> {
    let near = list.live_instances().filter(|instance| instance.data_center == *data_center);
    ranked(data_center.as_str(), near, |instance| instance.name.as_str())
}

fn highest_ranked<'a>(
    subject: &str,
    instances: impl Iterator<Item = &'a fleet_list::InstanceRecord>,
) -> Option<&'a fleet_list::InstanceRecord> {
    instances.max_by(|left, right| {
        let score =
            |record: &fleet_list::InstanceRecord| stable_hash(&[subject, record.name.as_str()]);
        score(left).cmp(&score(right)).then(right.name.cmp(&left.name))
    })
}

/// The bucket of a key by jump consistent hashing: adding a bucket moves keys only to the new bucket.
pub fn jump_bucket(key: u64, buckets: u16) -> u16 {
    let mut state = key;
    let mut bucket = 0;
    let mut next = 0.0;
    while next < f64::from(buckets) {
        bucket = next as u16;
        state = state.wrapping_mul(2_862_933_555_777_941_757).wrapping_add(1);
        let drawn = ((state >> 33) + 1) as f64;
        next = (f64::from(bucket) + 1.0) * ((1_u64 << 31) as f64 / drawn);
        next = next.floor();
    }
    bucket
}
