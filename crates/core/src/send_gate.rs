//! Kinds of sends to upstreams, and the reasons for which a send is denied.

use std::{fmt, time};

use crate::{units, upstream_notice};

/// Whether a request may probe an upstream after its backoff.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbePermission {
    /// The request has another attempt left if the upstream refuses it.
    Yes,
    /// The request has no further attempt left, or has already made an attempt. With two upstreams that refuse
    /// everything, a request could otherwise probe both and fail.
    No,
}

impl ProbePermission {
    /// The permission of a request that has made `made` of `allowed` attempts.
    pub fn of(made: usize, allowed: u32) -> Self {
        if made == 0 && allowed > 1 { Self::Yes } else { Self::No }
    }
}

/// Purpose of a send to an upstream, which determines the reasons for which it may be denied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendKind {
    /// A request for the upstream to run, or to prefill part of a prompt for another engine.
    Request,
    /// A request to reserve memory on an engine.
    Hold,
    /// A renewal of a memory reservation in use.
    Renewal,
    /// The release of a memory reservation.
    Release,
    /// A request for the upstream's report.
    Report,
    /// A connection attempt that checks whether the upstream is listening.
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

/// Reason for which a send is denied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendDenial {
    /// The upstream is leaving. Holds the source and the age of the leaving notice.
    Leaves(upstream_notice::NoticeSource, time::Duration),
    /// The upstream is in backoff. Holds the time until its end.
    Backoff(time::Duration),
    /// The upstream has a rate limit, and the send has no permit. Holds the limit.
    Limited(units::RequestRate),
    /// The data centre of the upstream is evacuated.
    Evacuated,
    /// The upstream is not listed.
    Unlisted,
    /// This instance stops, and the request is not expected to end before its exit.
    Stopping,
}

impl SendDenial {
    /// Label of the denial in counters.
    pub fn label(self) -> &'static str {
        match self {
            Self::Leaves(..) => "leaves",
            Self::Backoff(_) => "rests",
            Self::Limited(_) => "limited",
            Self::Evacuated => "evacuated",
            Self::Unlisted => "unlisted",
            Self::Stopping => "stopping",
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
            Self::Backoff(left) => {
                write!(f, "kept back: it rests {} more", upstream_notice::seconds(*left))
            }
            Self::Limited(rate) => {
                write!(f, "kept back: it takes {rate} of all, and there is no leave for this one")
            }
            Self::Evacuated => f.write_str("kept back: its data centre is evacuated"),
            Self::Unlisted => f.write_str("kept back: it is not listed any more"),
            Self::Stopping => f.write_str("kept back: the instance is stopping"),
        }
    }
}
