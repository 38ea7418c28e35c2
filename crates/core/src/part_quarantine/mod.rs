//! Detection of parts of prompts that crash the engines that answer them.
//!
//! Requests that share nothing but such a part are new to the quarantine of requests. Evidence against parts is
//! collected beside it:
//!
//! - *Crash.* A crash counts against all parts of the prompts that ran on the engine.
//! - *Answer.* A prompt that was answered completely clears its parts of all earlier crashes.
//! - *Control.* Three crashes are enough only if some prompt of the service was answered after the first one. If all
//!   fail, the parts that all have may not be the reason: it takes five, and the part is tried again soon.
//! - *Specificity.* A part is not blamed for crashes that a more specific one explains, and is blamed together with the
//!   parts that all its crashed prompts had as well. A prompt is held back only if it has all of them, so that prompts
//!   with some of them still run and clear those.
//!
//! Evidence is kept for each customer, as the ids of parts are the callers' own. Prompts of other customers are held back
//! only after crashes under prompts of two customers.

use std::{fmt, time};

use crate::{ids, prompt_part, units};

pub mod answered_parts;
mod crash_set;
pub mod evidence;
pub mod verdicts;

/// Customers whose prompts a verdict applies to, or whose answers clear a part.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub enum CustomerScope {
    /// One customer; `None` for prompts without one.
    One(Option<ids::CustomerId>),
    /// All customers.
    All,
}

/// Prompts that are judged together.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct PartScope {
    /// The service that runs the prompts.
    pub service: ids::ServiceId,
    /// The customers that send them.
    pub customers: CustomerScope,
}

impl PartScope {
    /// Returns the scopes that a prompt is in: that of its customer, and that of all customers.
    pub fn of_prompt(service: &ids::ServiceId, customer: Option<&ids::CustomerId>) -> [Self; 2] {
        [CustomerScope::One(customer.cloned()), CustomerScope::All]
            .map(|customers| Self { service: service.clone(), customers })
    }

    /// Returns the parts of a prompt within this scope.
    pub fn subjects(&self, parts: &prompt_part::SharedParts) -> impl Iterator<Item = PartSubject> {
        parts.iter().map(|part| PartSubject { scope: self.clone(), part: part.clone() })
    }

    /// Returns whether a prompt is in this scope.
    fn contains(&self, service: &ids::ServiceId, customer: Option<&ids::CustomerId>) -> bool {
        let customers = match &self.customers {
            CustomerScope::One(one) => one.as_ref() == customer,
            CustomerScope::All => true,
        };
        customers && self.service == *service
    }

    /// Returns whether all prompts in `other` are in this scope.
    fn covers(&self, other: &Self) -> bool {
        self.service == other.service
            && (self.customers == CustomerScope::All || self.customers == other.customers)
    }
}

impl fmt::Display for PartScope {
    /// Writes the service and the customer, `*` for all and `-` for none.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let customer = match &self.customers {
            CustomerScope::One(Some(customer)) => customer.as_str(),
            CustomerScope::One(None) => "-",
            CustomerScope::All => "*",
        };
        write!(f, "{}/{customer}", self.service)
    }
}

/// A part within a scope.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct PartSubject {
    /// The prompts that are considered.
    pub scope: PartScope,
    /// The part of these prompts.
    pub part: prompt_part::PartId,
}

/// A prompt that was running on an engine as it crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashedPrompt {
    /// The service of the engine.
    pub service: ids::ServiceId,
    /// The prompt's customer, if known.
    pub customer: Option<ids::CustomerId>,
    /// The parts that the prompt shares with others.
    pub parts: prompt_part::SharedParts,
    /// The start (one life of its process) of the engine that crashed.
    pub upstream: ids::UpstreamId,
    /// When the prompt was sent to the engine.
    pub sent: units::MonoTime,
    /// When its connection broke; not before `sent`.
    pub ended: units::MonoTime,
}

/// A quarantine of prompts that have certain parts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartVerdict {
    /// The prompts that the verdict applies to.
    pub scope: PartScope,
    /// Parts of which a prompt must have all to be held back; not empty.
    pub parts: prompt_part::SharedParts,
    /// Engines that crashed, oldest crash first.
    pub upstreams: Vec<ids::UpstreamId>,
    /// Time of the last crash.
    pub last_crash: units::MonoTime,
    /// Length of the quarantine, counted from the last crash.
    pub term: time::Duration,
}

impl PartVerdict {
    /// Returns the end of the quarantine.
    pub fn until(&self) -> units::MonoTime {
        self.last_crash + self.term
    }

    /// Returns whether this verdict holds back all prompts that `other` does, as long.
    fn covers(&self, other: &Self) -> bool {
        self.scope.covers(&other.scope)
            && other.parts.contains_all(&self.parts)
            && self.until() >= other.until()
    }

    /// Returns the names of the engines that crashed, separated by spaces.
    pub fn names(&self) -> String {
        let names: Vec<_> = self.upstreams.iter().map(ToString::to_string).collect();
        names.join(" ")
    }
}

/// How crashes are attributed. Modes other than the default are baselines for tests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum BlameMode {
    /// By the rules of this module.
    #[default]
    Specific,
    /// Each part on its own: neither specificity nor the parts that prompts have in common are considered.
    Independent,
}

/// Which crashes count against a part. Modes other than the default are baselines for tests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PartCountMode {
    /// [`Self::Moments`] if the lack of answers is significant: the part had none before either, or many would be
    /// expected by now. Otherwise [`Self::Sequence`].
    #[default]
    ByRate,
    /// Crashes that are some time apart: those of a rack are simultaneous.
    Moments,
    /// Crashes under prompts that were sent after the previous counted crash.
    Sequence,
}
