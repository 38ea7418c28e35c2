//! What instances say to each other: datagrams, coded by `postcard`.

use futures::channel::mpsc;
use serde::{Deserialize, Serialize};
use slipturn_core::{
    engine_place, failure_detector, ids, member_heartbeat, planner_key, quota_permit,
    request_digest, units,
};

/// Largest datagram; larger messages are split by their sender.
pub const MAX_DATAGRAM: usize = 16 * 1024;
/// Most leases in one message.
pub const MAX_LEASES: usize = 24;
/// Most jobs renewed by one message; each takes some four bytes.
pub const MAX_RENEWED: usize = 256;

/// Most upstreams in one message that leave; each takes some 25 bytes.
pub const MAX_LEAVING: usize = 200;

/// Most limits in one message; each takes some 45 bytes.
pub const MAX_LIMITS: usize = 200;

/// Most end reports in one message; each takes some 60 bytes.
pub const MAX_ENDS: usize = 200;

/// One message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A whole heartbeat.
    Beat(Box<member_heartbeat::MemberHeartbeat>),
    /// A heartbeat for those who have heard a whole one.
    Alive(member_heartbeat::ShortHeartbeat),
    /// Asks for a whole heartbeat: the member is not known.
    Who,
    /// Asks a planner for a place.
    Ask(planner_key::PlannerKey, Box<engine_place::PlaceAsk>),
    /// Gives a place, or refuses one.
    Answer(Box<engine_place::PlaceAnswer>),
    /// The request waits for a place; the answer follows.
    Queued(engine_place::JobId),
    /// What has become of a place, or of an engine.
    Note(planner_key::PlannerKey, engine_place::PlaceNote),
    /// Places still in use by jobs of the start of a member.
    Renew(planner_key::PlannerKey, u64, Vec<RenewedJob>),
    /// Asks for the leases of jobs that this planner does not know, by their numbers.
    Unknown(planner_key::PlannerKey, Vec<u64>),
    /// Leases in use, for a planner that does not know them.
    Leases(planner_key::PlannerKey, Vec<engine_place::PlaceLease>),
    /// Asks for all leases of a planner's key, of one that has just begun to plan.
    Census(planner_key::PlannerKey),
    /// An upstream is gone from its address: another one answered there.
    Gone(ids::UpstreamId),
    /// Runs under which upstreams ended, for a member that keeps the evidence against their requests.
    Ends(Vec<EndReport>),
    /// The evidence against requests that are held back, for all.
    Held(Vec<EndReport>),
    /// A request that upstreams had ended under was answered to the end so many microseconds ago, or an
    /// operator lets it go.
    Cleared(request_digest::RequestDigest, u64),
    /// Asks what is held back and which upstreams leave, of a member that may know more.
    RequestGossip,
    /// Upstreams have said that they leave.
    Leaving(Vec<LeavingReport>),
    /// Upstreams have named limits, or ended them.
    Limits(Vec<LimitReport>),
    /// Requests a permit from the coordinator of a quota.
    RequestPermit(Box<PermitQuestion>),
    /// The response to the request of this number.
    Permit(u64, quota_permit::PermitResponse),
    /// A probe of the failure detector, or its answer.
    Probe(failure_detector::ProbeMessage),
    /// Members that do not answer.
    Suspects(Vec<failure_detector::SuspectReport>),
    /// Starts of members that answer again.
    Restored(Vec<u64>),
}

/// What an upstream has said of its limit. Times are microseconds ago, as members' clocks differ.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The start of the upstream.
    pub upstream: ids::UpstreamId,
    /// The limit; `None` where it has ended it.
    pub rate: Option<units::RequestRate>,
    /// When it was asked.
    pub asked_us: u64,
    /// When its answer was heard.
    pub heard_us: u64,
}

/// A question for leave.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PermitQuestion {
    /// Number of the question at its member.
    pub number: u64,
    /// Start of the member.
    pub boot: u64,
    /// What it is about.
    pub subject: quota_permit::QuotaSubject,
    /// What is asked.
    pub ask: quota_permit::PermitRequest,
    /// What the member knows of an upstream's limit: the coordinator may have missed it.
    pub known: Option<LimitReport>,
}

/// That an upstream has said that it leaves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingReport {
    /// The start of the upstream.
    pub upstream: ids::UpstreamId,
    /// How long ago it said so first, milliseconds.
    pub age_ms: u64,
}

/// A run under which an upstream ended. Times are microseconds ago, as members' clocks differ; those of
/// one message fit each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndReport {
    /// The request.
    pub digest: request_digest::RequestDigest,
    /// The start of the upstream.
    pub upstream: ids::UpstreamId,
    /// When the request was sent.
    pub sent_us: u64,
    /// When the run ended.
    pub ended_us: u64,
}

/// A place that is still in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewedJob {
    /// Number of the attempt at its member.
    pub sequence: u64,
    /// Whether its prompt is still being read.
    pub reading: bool,
}

/// Messages to a request that waits for its place.
#[derive(Debug, Clone, PartialEq)]
pub enum PlanReply {
    /// It has a place, or gets none.
    Answer(Box<engine_place::PlaceAnswer>),
    /// It waits in the planner.
    Queued,
}

/// Where replies to one request go.
pub type ReplySender = mpsc::UnboundedSender<PlanReply>;

impl PeerMessage {
    /// The message as a datagram.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Reads a datagram.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
