//! What a member says of itself, again and again: whole, or only what may have changed.

use std::net;

use serde::{Deserialize, Serialize};

use crate::{ids, store_revision};

/// Period, in heartbeats, of a complete one.
const FULL_HEARTBEAT_PERIOD: u64 = 16;

/// What a member says of itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberHeartbeat {
    /// Its name.
    pub name: ids::InstanceId,
    /// This start of it.
    pub boot: u64,
    /// Goes up with each heartbeat of a start.
    pub sequence: u64,
    /// Address for heartbeats and planner messages.
    pub address: net::SocketAddrV4,
    /// Its data centre.
    pub data_center: ids::DataCenterId,
    /// Thousandths of a core that it may use.
    pub cpu: u32,
    /// Whether it may plan for others: old enough, awake, knowing routes and upstreams.
    pub plans: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Version of its routes.
    pub routes: u64,
    /// Revision of its list of upstreams.
    pub list: store_revision::StoreRevision,
    /// Whether it watches the platform's store itself.
    pub watches: bool,
    /// Addresses of some other members.
    pub others: Vec<net::SocketAddrV4>,
}

/// A heartbeat for those who have heard this start of the member before: what may change, a sixth
/// of the whole one's bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShortHeartbeat {
    /// See [`MemberHeartbeat::boot`].
    pub boot: u64,
    /// See [`MemberHeartbeat::sequence`].
    pub sequence: u64,
    /// See [`MemberHeartbeat::plans`].
    pub plans: bool,
    /// See [`MemberHeartbeat::leaving`].
    pub leaving: bool,
    /// See [`MemberHeartbeat::watches`].
    pub watches: bool,
    /// See [`MemberHeartbeat::routes`].
    pub routes: u64,
    /// See [`MemberHeartbeat::list`].
    pub list: store_revision::StoreRevision,
}

impl MemberHeartbeat {
    /// The part of it that may change.
    pub fn alive(&self) -> ShortHeartbeat {
        ShortHeartbeat {
            boot: self.boot,
            sequence: self.sequence,
            plans: self.plans,
            leaving: self.leaving,
            watches: self.watches,
            routes: self.routes,
            list: self.list,
        }
    }

    /// Whether it is to be sent whole, also to those who know its member: addresses spread by it.
    pub fn is_full(&self) -> bool {
        self.sequence.is_multiple_of(FULL_HEARTBEAT_PERIOD)
    }
}
