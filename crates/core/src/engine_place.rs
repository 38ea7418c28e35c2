//! Messages between members (instances of the fleet) and planners about placements. A placement assigns a request to
//! the engine that answers it, and to helpers, which are engines that prefill parts of its prompt.

use std::{fmt, time};

use serde::{Deserialize, Serialize};

use crate::{ids, request_origin, units};

/// Largest number of helpers for one prompt; engines accept no more.
pub const MAX_HELPERS: usize = 16;

/// Identifies an attempt in messages to and from planners; unique across all members and their restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId {
    /// Boot id of the member that holds the caller's connection.
    pub boot: u64,
    /// Sequence number of the attempt at that member.
    pub sequence: u64,
}

/// A member's request to place an attempt on the engines of a planner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// The attempt to place. A repeated request for a placed attempt gets the same answer.
    pub job: JobId,
    /// Prompt length, tokens; at most [`units::MAX_TOKENS`].
    #[serde(deserialize_with = "units::read_claimed_tokens")]
    pub prompt: u64,
    /// Largest answer length, tokens; at most [`units::MAX_TOKENS`].
    #[serde(deserialize_with = "units::read_claimed_tokens")]
    pub output: u64,
    /// Pause goal: the pause between two events of the answer should not be longer, milliseconds.
    pub pause_ms: u32,
    /// First-token goal, from the arrival of the request, milliseconds.
    pub goal_ms: u32,
    /// Time left until the first token is late, milliseconds; 0 if it is late already.
    pub goal_left_ms: u32,
    /// Time left until the caller gives up, milliseconds.
    pub patience_ms: u32,
    /// Whether the request is short: one engine can prefill it in time, and its pause goal is among the shortest of
    /// its service, so that long prefills on the same engine delay it too much.
    pub tight: bool,
    /// Relative worth of an answer in time; 1 for a short request.
    pub worth: f32,
    /// Whether this is a first attempt, which is refused sooner than a retry; `false` after a refusal or an earlier
    /// attempt.
    pub refusable: bool,
    /// Whether an earlier attempt reached an engine. Such a request is placed as soon as any engine has capacity,
    /// and never refused.
    pub resumed: bool,
    /// Engines that must not be used for this attempt, for example because one requested a backoff from the member.
    pub excluded: Vec<ids::UpstreamId>,
    /// Origin of the request. Not part of the encoded request: datagrams carry origins after the message, where members
    /// of an older version ignore them.
    #[serde(skip)]
    pub origin: Option<request_origin::RequestOrigin>,
}

impl PlacementRequest {
    /// Returns the same request with its time limits reduced by `spent`.
    pub fn after(&self, spent: time::Duration) -> Self {
        let spent_ms = u32::try_from(spent.as_millis()).unwrap_or(u32::MAX);
        Self {
            goal_left_ms: self.goal_left_ms.saturating_sub(spent_ms),
            patience_ms: self.patience_ms.saturating_sub(spent_ms),
            ..self.clone()
        }
    }
}

/// Memory reserved on an engine for a prompt that another engine answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldPart {
    /// Helper that holds the memory.
    pub engine: ids::UpstreamId,
    /// Reserved memory, tokens; at most [`units::MAX_TOKENS`].
    #[serde(deserialize_with = "units::read_claimed_tokens")]
    pub tokens: u64,
}

/// The placement of an attempt, as granted by its planner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlaceGrant {
    /// The placed attempt, from [`PlacementRequest::job`].
    pub job: JobId,
    /// Engine that answers, and prefills a part of the prompt.
    pub engine: ids::UpstreamId,
    /// Other engines that prefill a part of the prompt.
    pub helpers: Vec<ids::UpstreamId>,
    /// Memory to reserve on helpers before the request is sent.
    pub held: Vec<HeldPart>,
    /// Expected time to the first token, milliseconds.
    pub first_token_ms: u32,
    /// Time that the request waited at the planner, milliseconds.
    pub waited_ms: u32,
}

/// The refusal of a request that cannot be placed in time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlaceRefusal {
    /// The refused attempt, from [`PlacementRequest::job`].
    pub job: JobId,
    /// Time after which a retry is likely to succeed, milliseconds.
    pub back_after_ms: u32,
    /// Expected time to the first token, milliseconds, if this is the reason for the refusal.
    pub expected_ms: Option<u32>,
    /// Number of requests that all engines together are running.
    pub running: u32,
    /// Number of requests that all engines together can run.
    pub slots: u32,
}

impl fmt::Display for PlaceRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(expected) = self.expected_ms {
            write!(f, "the first token is expected in {expected} ms, too late; ")?;
        }
        write!(f, "{} of {} places are taken", self.running, self.slots)
    }
}

/// The planner's answer to a [`PlacementRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PlaceAnswer {
    /// The request is placed and holds no rate-limit permits.
    Grant(PlaceGrant),
    /// The request cannot be placed in time.
    Refuse(PlaceRefusal),
    /// The request is placed and holds a rate-limit permit for each of the listed engines.
    Paced(PlaceGrant, Vec<ids::UpstreamId>),
    /// Room is short and the request's customer uses its share of it; other cells would refuse the request, too. Only
    /// requests with an origin get this answer.
    OverShare(PlaceRefusal),
}

impl PlaceAnswer {
    /// The attempt that the planner placed or refused.
    pub fn job(&self) -> JobId {
        match self {
            Self::Grant(grant) | Self::Paced(grant, _) => grant.job,
            Self::Refuse(refusal) | Self::OverShare(refusal) => refusal.job,
        }
    }
}

/// A placement in use, as its member reports it to a planner that has just taken over.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlaceLease {
    /// The placed request. Members leave `excluded` empty, as it matters only for the choice of engines.
    #[serde(rename = "ask")]
    pub request: PlacementRequest,
    /// The placement, as granted by the planner that chose the engines.
    pub grant: PlaceGrant,
    /// Whether the prompt is still being prefilled.
    #[serde(rename = "reading")]
    pub prefilling: bool,
}

/// How an attempt ended, for the planner's estimate of the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlaceEnd {
    /// The answer is complete, or the caller cancelled.
    Done,
    /// The engine refused for lack of capacity.
    Full,
    /// The engine failed; the planner excludes it for a while.
    Failed,
    /// The engine sent nothing for a long time; it may have failed or be busy, so it is polled.
    Silent,
}

/// An update to a planner about a placement that it granted, or about an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlaceNote {
    /// The first token was sent. Includes the number of requests that the engine was running and queueing at that
    /// time; `None` if the engine did not report the number.
    FirstToken(JobId, Option<u16>),
    /// The attempt has ended, or no longer waits for a placement.
    Ended(JobId, PlaceEnd),
    /// An engine refused to prefill a part for another engine, or failed to; the planner excludes it for a while.
    Eject(ids::UpstreamId),
}
