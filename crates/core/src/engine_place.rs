//! Places on engines: how they are asked for, given, held and ended.

use std::{fmt, time};

use serde::{Deserialize, Serialize};

use crate::ids;

/// Most helpers of one prompt; engines accept no more.
pub const MAX_HELPERS: usize = 16;

/// One request as the planner knows it, unique among all members and their starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId {
    /// Start of the member that holds the caller's connection.
    pub boot: u64,
    /// Number of the attempt at that member.
    pub sequence: u64,
}

/// What is asked of the planner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlaceAsk {
    /// The attempt.
    pub job: JobId,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Most tokens of the answer.
    pub output: u64,
    /// Longest pause between events in time, milliseconds.
    pub pause_ms: u32,
    /// Time from arrival within which the first token is in time, milliseconds.
    pub goal_ms: u32,
    /// Time left until the first token is late, milliseconds; 0 when it is.
    pub goal_left_ms: u32,
    /// Time left until the caller gives up, milliseconds.
    pub patience_ms: u32,
    /// Whether it is a short request: one engine reads it in time, and its pauses are among the
    /// shortest of its service, so that it suffers from long parts.
    pub tight: bool,
    /// What it is worth in time, against a short request's 1.
    pub worth: f32,
    /// Whether it may be refused: it has not been refused before.
    pub refusable: bool,
    /// Whether an engine has had it before: what was begun goes on at once, wherever there is room.
    pub resumed: bool,
    /// Engines that must not be used.
    pub excluded: Vec<ids::UpstreamId>,
}

impl PlaceAsk {
    /// The same request, made that much later.
    pub fn after(&self, spent: time::Duration) -> Self {
        let spent_ms = u32::try_from(spent.as_millis()).unwrap_or(u32::MAX);
        Self {
            goal_left_ms: self.goal_left_ms.saturating_sub(spent_ms),
            patience_ms: self.patience_ms.saturating_sub(spent_ms),
            ..self.clone()
        }
    }
}

/// Memory set aside on an engine for a prompt that another answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldPart {
    /// The engine.
    pub engine: ids::UpstreamId,
    /// Tokens.
    pub tokens: u64,
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlaceGrant {
    /// The attempt.
    pub job: JobId,
    /// The engine that answers.
    pub engine: ids::UpstreamId,
    /// Engines that read parts.
    pub helpers: Vec<ids::UpstreamId>,
    /// Memory to set aside first.
    pub held: Vec<HeldPart>,
    /// Expected time to the first token, milliseconds.
    pub first_token_ms: u32,
    /// Time it has waited for the place, milliseconds.
    pub waited_ms: u32,
}

/// A request for which there is no place in time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlaceRefusal {
    /// The attempt.
    pub job: JobId,
    /// When a place is likely, milliseconds from now.
    pub back_after_ms: u32,
    /// Expected time to the first token of a long prompt, milliseconds.
    pub expected_ms: Option<u32>,
    /// Running requests and the most that can run.
    pub running: u32,
    /// Requests that all engines together could run.
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

/// What the planner says to a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PlaceAnswer {
    /// It has a place.
    Grant(PlaceGrant),
    /// It will have none in time.
    Refuse(PlaceRefusal),
    /// It has a place, and leave to send to those of its engines that have a limit.
    Paced(PlaceGrant, Vec<ids::UpstreamId>),
}

impl PlaceAnswer {
    /// The attempt.
    pub fn job(&self) -> JobId {
        match self {
            Self::Grant(grant) | Self::Paced(grant, _) => grant.job,
            Self::Refuse(refusal) => refusal.job,
        }
    }
}

/// A place in use, as its member repeats it: enough for a planner that has just taken over.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlaceLease {
    /// The request as it was asked for.
    pub ask: PlaceAsk,
    /// Its place.
    pub grant: PlaceGrant,
    /// Whether its prompt has been read.
    pub reading: bool,
}

/// How an attempt ended for its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlaceEnd {
    /// Well, or by the caller's own wish.
    Done,
    /// The engine had no room.
    Full,
    /// The engine failed.
    Failed,
    /// The engine was silent for long; it may be gone, or only busy.
    Silent,
}

/// What a planner learns about a place that it granted, or about an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlaceNote {
    /// The prompt has been read; the answer begins. With it, the requests that its engine ran and
    /// held in its queue just then, if the engine reports it.
    FirstToken(JobId, Option<u16>),
    /// The attempt is over, or waits no longer.
    Ended(JobId, PlaceEnd),
    /// An engine has failed, or refused as another's cause.
    Eject(ids::UpstreamId),
}
