//! What is sent to upstreams, and why something is not.

use std::{fmt, time};

use crate::{units, upstream_notice};

/// Whether a request may be the one that finds out whether an upstream takes work again behind its rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialTurn {
    /// It has another attempt left, should it be turned away.
    Yes,
    /// It has none, or has been turned away already: where two upstreams turn all away, a call would meet both, one
    /// behind the other, each time that their rests are over.
    No,
}

impl TrialTurn {
    /// Of a request that has made so many attempts of so many.
    pub fn of(made: usize, allowed: u32) -> Self {
        if made == 0 && allowed > 1 { Self::Yes } else { Self::No }
    }
}

/// What is sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendKind {
    /// A request, or one that names it for a part of its prompt.
    Request,
    /// An order that sets memory aside.
    Hold,
    /// An order that keeps it for a request under way.
    Renewal,
    /// An order that gives it back.
    Release,
    /// A question for its report.
    Report,
    /// A connection that shows whether it listens.
    Check,
}

impl fmt::Display for SendKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Request => "request",
            Self::Hold => "hold",
            Self::Renewal => "renewal",
            Self::Release => "release",
            Self::Report => "report",
            Self::Check => "check",
        })
    }
}

/// Why something is not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeptBack {
    /// The upstream leaves: by whose word, and for how long that is known.
    Leaves(upstream_notice::NoticeSource, time::Duration),
    /// It wants rest for so much longer.
    Rests(time::Duration),
    /// It takes so many requests of all instances, and whoever keeps that has given no leave for this one.
    Limited(units::RequestRate),
    /// Its data centre is under evacuation.
    Evacuated,
    /// It is not listed any more.
    Unlisted,
}

impl KeptBack {
    /// The case in one word, for counters.
    pub fn word(self) -> &'static str {
        match self {
            Self::Leaves(..) => "leaves",
            Self::Rests(_) => "rests",
            Self::Limited(_) => "limited",
            Self::Evacuated => "evacuated",
            Self::Unlisted => "unlisted",
        }
    }
}

impl fmt::Display for KeptBack {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Leaves(source, age) => {
                write!(
                    f,
                    "kept back: it leaves, by {source} {} ago",
                    upstream_notice::seconds(*age)
                )
            }
            Self::Rests(left) => {
                write!(f, "kept back: it rests {} more", upstream_notice::seconds(*left))
            }
            Self::Limited(rate) => {
                write!(f, "kept back: it takes {rate} of all, and there is no leave for this one")
            }
            Self::Evacuated => f.write_str("kept back: its data centre is evacuated"),
            Self::Unlisted => f.write_str("kept back: it is not listed any more"),
        }
    }
}
