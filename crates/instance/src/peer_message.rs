//! Messages between instances: UDP datagrams, encoded by `postcard`.
//!
//! `postcard` encodes variants and fields by their position, so their order must not change.

use futures::channel::mpsc;
use serde::{Deserialize, Serialize};
use slipturn_core::{
    engine_place, failure_detector, ids, member_heartbeat, part_quarantine, planner_key,
    prompt_part, quota_permit, request_digest, request_origin, units, upstream_speed,
};

/// Size of the largest datagram, in bytes. Senders split lists by [`MAX_LEASES`] and the similar limits, so that each
/// message fits.
pub const MAX_DATAGRAM: usize = 16 * 1024;
/// Most leases in one message.
pub const MAX_LEASES: usize = 24;
/// Most jobs renewed by one message; each takes some four bytes.
pub const MAX_RENEWED: usize = 256;

/// Most leaving upstreams in one message; each takes some 25 bytes.
pub const MAX_LEAVING: usize = 200;

/// Most limits in one message; each takes some 45 bytes.
pub const MAX_LIMITS: usize = 200;

/// Most speeds in one message; each takes some 30 bytes.
pub const MAX_SPEEDS: usize = 100;

/// Most [`CrashReport`]s in one message; each takes some 60 bytes.
pub const MAX_CRASH_REPORTS: usize = 200;

/// Most [`PromptCrashReport`]s in one message; each takes some 100 bytes, and up to 1.3 KB with the longest ids.
pub const MAX_PROMPT_REPORTS: usize = 12;

/// Most [`PartVerdictReport`]s in one message; each takes some 300 bytes, and up to 3 KB with the longest ids.
pub const MAX_VERDICT_REPORTS: usize = 5;

/// A message from one instance to another, sent as one datagram. Datagrams may be lost; senders that need an answer
/// retry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A complete heartbeat.
    Beat(Box<member_heartbeat::MemberHeartbeat>),
    /// A short heartbeat for members that have received a complete one.
    Alive(member_heartbeat::ShortHeartbeat),
    /// Requests a complete heartbeat, from an unknown member or to probe a silent one.
    Who,
    /// Requests a place (the assignment of a request to engines) from a planner.
    Ask(planner_key::PlannerKey, Box<engine_place::PlacementRequest>),
    /// Grants or refuses a place.
    Answer(Box<engine_place::PlaceAnswer>),
    /// The planner has queued the request; a [`Self::Answer`] follows.
    Queued(engine_place::JobId),
    /// Informs a planner of a change to a place, or of an engine's failure.
    Note(planner_key::PlannerKey, engine_place::PlaceNote),
    /// Renews the places that are in use by jobs (attempts) of a member; the number is the member's boot id, which
    /// changes with each start of its process.
    Renew(planner_key::PlannerKey, u64, Vec<RenewedJob>),
    /// Requests the leases of jobs that a planner does not know, by their sequence numbers.
    Unknown(planner_key::PlannerKey, Vec<u64>),
    /// Leases in use, in answer to [`Self::Unknown`] or [`Self::Census`].
    Leases(planner_key::PlannerKey, Vec<engine_place::PlaceLease>),
    /// Requests all leases for a planner key (service and cell), for a planner that has just taken the key over.
    Census(planner_key::PlannerKey),
    /// An upstream is gone: another one answered at its address.
    Gone(ids::UpstreamId),
    /// Runs during which their upstream crashed, for a member that stores the evidence against the requests.
    Ends(Vec<CrashReport>),
    /// Evidence against quarantined requests, for all members.
    Held(Vec<CrashReport>),
    /// Deletes the evidence against a request that was answered completely, or released by an operator, this many
    /// microseconds ago.
    Cleared(request_digest::RequestDigest, u64),
    /// Requests the evidence against quarantined requests, the leaving upstreams and the limits that a member knows.
    RequestGossip,
    /// Upstreams that have announced that they are leaving.
    Leaving(Vec<LeavingReport>),
    /// Request limits that upstreams have announced or ended.
    Limits(Vec<LimitReport>),
    /// Requests a permit from the coordinator of a quota.
    RequestPermit(Box<PermitRequestMessage>),
    /// The coordinator's response to the [`Self::RequestPermit`] with this number.
    Permit(u64, quota_permit::PermitResponse),
    /// A probe of the failure detector, or the reply to one.
    Probe(failure_detector::ProbeMessage),
    /// Members suspected to have failed.
    Suspects(Vec<failure_detector::SuspectReport>),
    /// Boot ids of members that are no longer suspected.
    Restored(Vec<u64>),
    /// Prompts during whose runs their engine crashed, for a member that stores the evidence against their parts.
    PartCrashes(Vec<PromptCrashReport>),
    /// Asks whether prompts with these parts were answered since an engine crashed under them; the number is the age of
    /// the first crash, in microseconds.
    PartQuery(u64, Vec<part_quarantine::PartSubject>),
    /// Answers to prompts, in reply to [`Self::PartQuery`] or after one.
    PartAnswers(PartAnswerReport),
    /// Quarantined parts, for all members.
    PartVerdicts(Vec<PartVerdictReport>),
    /// Ends a quarantine of parts.
    PartRelease(PartReleaseReport),
    /// The member tries a prompt with these quarantined parts now; the others wait for the result.
    PartTrial(part_quarantine::PartScope, prompt_part::SharedParts),
    /// A member's own measurements of upstreams' speeds that have changed; at most [`MAX_SPEEDS`].
    Speeds(Vec<upstream_speed::SpeedReport>),
    /// Temporary weights of customers; at most [`slipturn_core::share_factors::MAX_FACTORS`].
    ShareFactors(Vec<ShareFactorReport>),
    /// Asks how often requests were answered, and whether since an upstream crashed under them; each with the age of the
    /// first crash, in microseconds.
    RequestQuery(Vec<(request_digest::RequestDigest, u64)>),
    /// Answers to requests, in reply to [`Self::RequestQuery`].
    RequestAnswers(Vec<RequestAnswer>),
}

/// Complete answers of one member to a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestAnswer {
    /// Digest of the request.
    pub digest: request_digest::RequestDigest,
    /// Time in microseconds since the last answer; `None` if it was before the crash that was asked about.
    pub age_us: Option<u64>,
    /// Mean number of answers a second.
    pub rate: f64,
}

/// A temporary weight of a customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareFactorReport {
    /// The customer.
    pub customer: ids::CustomerId,
    /// Factor of the customer's weight.
    pub factor: f64,
    /// Number of the change; the highest holds.
    pub revision: u64,
    /// Time in milliseconds until the factor ends.
    pub left_ms: u64,
}

/// A prompt during whose run its engine crashed. Times are given as ages, as members' clocks differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptCrashReport {
    /// The service of the engine.
    pub service: ids::ServiceId,
    /// The prompt's customer, if known.
    pub customer: Option<ids::CustomerId>,
    /// The parts that the prompt shares with others.
    pub parts: prompt_part::SharedParts,
    /// Start (one life of the process) of the engine that crashed.
    pub upstream: ids::UpstreamId,
    /// Time in microseconds since the prompt was sent.
    pub sent_us: u64,
    /// Time in microseconds since the run ended.
    pub ended_us: u64,
}

/// Complete answers of one member.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PartAnswerReport {
    /// Services that have answered some prompt, with the time in microseconds since the last answer.
    pub services: Vec<(ids::ServiceId, u64)>,
    /// Parts of prompts.
    pub parts: Vec<PartAnswer>,
}

/// Complete answers of one member to prompts with a part.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PartAnswer {
    /// The part.
    pub subject: part_quarantine::PartSubject,
    /// Time in microseconds since the last answer; `None` if it was before the crash that was asked about.
    pub age_us: Option<u64>,
    /// Mean number of answers a second.
    pub rate: f64,
}

/// The end of a quarantine of parts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReleaseReport {
    /// The prompts that the quarantine applied to.
    pub scope: part_quarantine::PartScope,
    /// The parts that were quarantined.
    pub parts: prompt_part::SharedParts,
    /// Time in microseconds since the release.
    pub age_us: u64,
    /// Whether a prompt with all of these parts was answered completely, or an operator has released them: the evidence
    /// against them is dropped, too.
    pub cleared: bool,
}

/// A quarantine of prompts that have certain parts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartVerdictReport {
    /// The prompts that the quarantine applies to.
    pub scope: part_quarantine::PartScope,
    /// Parts of which a prompt must have all to be held back.
    pub parts: prompt_part::SharedParts,
    /// Starts (lives of the processes) of the engines that crashed, oldest crash first.
    pub upstreams: Vec<ids::UpstreamId>,
    /// Time in microseconds since the last crash.
    pub crashed_us: u64,
    /// Length of the quarantine in microseconds, counted from the last crash.
    pub term_us: u64,
}

/// A request limit that an upstream announced. Times are given as ages, as members' clocks differ.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Start (one life of the process) of the upstream that announced the limit.
    pub upstream: ids::UpstreamId,
    /// The limit; `None` if the upstream has ended it.
    pub rate: Option<units::RequestRate>,
    /// Time in microseconds since the request that the upstream answered was sent.
    pub asked_us: u64,
    /// Time in microseconds since the answer arrived.
    pub heard_us: u64,
}

/// A request for permits to send under a quota.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PermitRequestMessage {
    /// Number of the request, unique within a start of its member.
    pub number: u64,
    /// Boot id of the requesting member, which changes with each start of its process.
    pub boot: u64,
    /// The quota that the permits are taken from.
    pub subject: quota_permit::QuotaSubject,
    /// The requested number of permits, and how long the member can wait for them.
    #[serde(rename = "ask")]
    pub request: quota_permit::PermitRequest,
    /// The upstream's limit as the member knows it; the coordinator may have missed it.
    pub known: Option<LimitReport>,
}

/// An upstream's announcement that it is leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingReport {
    /// Start (one life of the process) of the upstream that is leaving.
    pub upstream: ids::UpstreamId,
    /// Time in milliseconds since the upstream's first announcement that it is leaving.
    pub age_ms: u64,
}

/// A run (execution of a request at an upstream) during which the upstream crashed. Times are given as ages, as
/// members' clocks differ; those of one message are relative to the same moment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Digest of the request that the upstream was running.
    pub digest: request_digest::RequestDigest,
    /// Start (one life of the process) of the upstream that crashed.
    pub upstream: ids::UpstreamId,
    /// Time in microseconds since the request was sent.
    pub sent_us: u64,
    /// Time in microseconds since the run ended.
    pub ended_us: u64,
}

/// Renewal of a place (the assignment of a request to engines) that is still in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewedJob {
    /// Sequence number of the attempt at its member.
    pub sequence: u64,
    /// Whether the engine is still processing the prompt.
    #[serde(rename = "reading")]
    pub prefilling: bool,
}

/// Reply of a planner to a request of this process that waits for a place (its assignment to engines).
#[derive(Debug, Clone, PartialEq)]
pub enum PlanReply {
    /// The planner's grant or refusal.
    Answer(Box<engine_place::PlaceAnswer>),
    /// The planner has queued the request.
    Queued,
}

/// Channel for the planner's replies to one request.
pub type ReplySender = mpsc::UnboundedSender<PlanReply>;

impl PeerMessage {
    /// Encodes the message as the content of one datagram; its size is not checked against [`MAX_DATAGRAM`].
    ///
    /// The origins of requests follow the message. Members of a version without origins ignore these bytes.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let bytes = postcard::to_stdvec(self)?;
        let origins: Vec<_> = match self {
            Self::Ask(_, request) => vec![request.origin.as_ref()],
            Self::Leases(_, leases) => {
                leases.iter().map(|lease| lease.request.origin.as_ref()).collect()
            }
            _ => Vec::new(),
        };
        if origins.iter().all(Option::is_none) {
            return Ok(bytes);
        }
        postcard::to_extend(&origins, bytes)
    }

    /// Decodes a datagram; the receiver logs and drops one that cannot be decoded.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let (mut message, rest) = postcard::take_from_bytes(bytes)?;
        if rest.is_empty() {
            return Ok(message);
        }
        match &mut message {
            Self::Ask(_, request) => attach_origins(std::iter::once(request.as_mut()), rest)?,
            Self::Leases(_, leases) => {
                attach_origins(leases.iter_mut().map(|lease| &mut lease.request), rest)?;
            }
            _ => {}
        }
        Ok(message)
    }
}

/// Sets the origins of `requests` to those encoded in `bytes`, in the same order.
fn attach_origins<'a>(
    requests: impl Iterator<Item = &'a mut engine_place::PlacementRequest>,
    bytes: &[u8],
) -> Result<(), postcard::Error> {
    let origins: Vec<Option<request_origin::RequestOrigin>> = postcard::from_bytes(bytes)?;
    for (request, origin) in requests.zip(origins) {
        request.origin = origin;
    }
    Ok(())
}
