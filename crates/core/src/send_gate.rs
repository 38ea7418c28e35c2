//! Kinds of sends to upstreams, and reasons to deny one.

use std::{fmt, time};

use crate::{units, upstream_notice};

/// Whether a request may probe an upstream after its backoff.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbePermission {
    /// It has another attempt left, should it be refused.
    Yes,
    /// It has none left, or was refused already: with two upstreams that refuse everything a call would meet both.
    No,
}

impl ProbePermission {
    /// For a request with `made` of `allowed` attempts.
    pub fn of(made: usize, allowed: u32) -> Self {
        if made == 0 && allowed > 1 { Self::Yes } else { Self::No }
    }
}

/// A kind of send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendKind {
    /// A request, also one that names the upstream as a helper.
    Request,
    /// A memory reservation.
    Hold,
    /// A renewal of a reservation in use.
    Renewal,
    /// The release of a reservation.
    Release,
    /// A request for the upstream's report.
    Report,
    /// A connection attempt that checks for a listener.
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

/// Why a send is denied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendDenial {
    /// The upstream is leaving: the source, and how long that has been known.
    Leaves(upstream_notice::NoticeSource, time::Duration),
    /// The upstream is in backoff for this much longer.
    Rests(time::Duration),
    /// The upstream has a limit, and this send has no permit.
    Limited(units::RequestRate),
    /// The data centre of the upstream is evacuated.
    Evacuated,
    /// The upstream is not listed.
    Unlisted,
}

impl SendDenial {
    /// Label for counters.
    pub fn label(self) -> &'static str {
        match self {
            Self::Leaves(..) => "leaves",
            Self::Rests(_) => "rests",
            Self::Limited(_) => "limited",
            Self::Evacuated => "evacuated",
            Self::Unlisted => "unlisted",
        }
    }
}

impl fmt::Display for SendDenial {
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
