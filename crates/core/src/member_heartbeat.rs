//! Heartbeats of members: full ones, and short ones with only the fields that may change.

use std::net;

use serde::{Deserialize, Serialize};

use crate::{ids, store_revision};

/// Number of heartbeats after which one is sent in full to all members.
const FULL_HEARTBEAT_PERIOD: u64 = 16;

/// A full heartbeat: the state of a member as it describes itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberHeartbeat {
    /// Name of the member, which stays the same when it restarts.
    pub name: ids::InstanceId,
    /// Boot number of this start of the member, which is one run of its process.
    pub boot: u64,
    /// Incremented with each heartbeat of a start.
    pub sequence: u64,
    /// Address for heartbeats and for messages to and from planners, the members that assign requests to engines and
    /// coordinate quotas.
    pub address: net::SocketAddrV4,
    /// Data centre in which the member runs; other members there prefer it as a source of documents.
    pub data_center: ids::DataCenterId,
    /// CPU that the member may use, in thousandths of a core.
    pub cpu: u32,
    /// Whether the member may be a planner, which assigns requests of other members to engines and coordinates quotas:
    /// it is old enough, was not paused lately, and has routes and upstreams.
    pub plans: bool,
    /// Whether the member is leaving by plan.
    pub leaving: bool,
    /// Version of the routes that the member has; 0 before it has any.
    pub routes: u64,
    /// Revision of the list of upstreams that the member has; the default before it has any.
    pub list: store_revision::StoreRevision,
    /// Whether the member watches the platform's store and other members may rely on that.
    pub watches: bool,
    /// Addresses of some other members, from which receivers learn of members unknown to them.
    pub others: Vec<net::SocketAddrV4>,
}

/// A short heartbeat, for members that know this start of the sender: only the fields that may change, in a sixth of
/// the bytes of a full one.
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
    /// The short form of this heartbeat, for members that know this start of its sender.
    pub fn to_short(&self) -> ShortHeartbeat {
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

    /// Whether this heartbeat is sent in full even to members that know its sender, as addresses of other members spread
    /// by full heartbeats only.
    pub fn is_full(&self) -> bool {
        self.sequence.is_multiple_of(FULL_HEARTBEAT_PERIOD)
    }
}
