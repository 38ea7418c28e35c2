//! Notices that upstreams send with their answers: that they are leaving, a backoff, and a limit.
//!
//! A leaving notice concerns all instances, a backoff only the one that received it, and a limit all instances together.
//! Each belongs to one start of an upstream, which is one life of its process, and ends with it. Leaving is final.
//! After a backoff one request probes the upstream, and the others follow its result.

use std::{collections, fmt, time};

use crate::{ids, send_gate, units, upstream_limit};

/// Longest accepted backoff. An instance that sends nothing cannot receive a correction of a longer one.
pub const MAX_ACCEPTED_BACKOFF: time::Duration = time::Duration::from_secs(300);
/// How long notices of an unlisted start are kept: its entry may expire in an outage of the list's source and return.
pub(crate) const NOTICE_MEMORY: time::Duration = time::Duration::from_secs(120);
/// Timeout of a probe: its request may end without a result, because its caller has left.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Time after a backoff within which the first request is a probe.
const RETURN_TIME: time::Duration = time::Duration::from_secs(10);
/// How long after the end of a limit older readings of it may arrive.
const ENDED_LIMIT_MEMORY: time::Duration = time::Duration::from_secs(30);
/// Most starts with notices, some 100 bytes each: enough for a fleet with 2,000 upstreams that all send a notice at
/// once. Beyond that the oldest notices are dropped, and received again with the next answer.
const MAX_NOTICES: usize = 2_048;

/// Origin of a notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeSource {
    /// The published list, in the present era.
    List,
    /// The published list of a previous era, which the present list cannot revoke.
    FormerList,
    /// The upstream, in the head of an answer to a request.
    Answer,
    /// The upstream, in a report of itself.
    Report,
    /// The upstream, in an answer to an order such as a memory reservation.
    Order,
    /// Another instance, which received it from the upstream.
    Member,
}

impl fmt::Display for NoticeSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::List => "list",
            Self::FormerList => "list of a former era",
            Self::Answer => "answer",
            Self::Report => "report",
            Self::Order => "order",
            Self::Member => "member",
        })
    }
}

/// A notice that a start of an upstream is leaving, and so takes no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeavingNotice {
    /// Origin of the notice. An origin in the present list is replaced by that of a later notice.
    pub source: NoticeSource,
    /// When an instance first received the notice.
    pub since: units::MonoTime,
}

/// A backoff that a start of an upstream requested from this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackoffNotice {
    /// Length of the backoff that the upstream requested.
    pub requested: time::Duration,
    /// When the notice was received.
    pub since: units::MonoTime,
    /// End of the backoff: at most [`MAX_ACCEPTED_BACKOFF`] after `since`.
    pub until: units::MonoTime,
    /// When the pending probe was sent; not before `until`.
    probe_sent: Option<units::MonoTime>,
}

impl BackoffNotice {
    /// Length of the backoff as accepted, which may be shorter than requested.
    pub fn duration(&self) -> time::Duration {
        self.until.since(self.since)
    }
}

/// How requests resume after a backoff.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackoffReturnMode {
    /// One request probes the upstream, and the others follow once it has been accepted.
    #[default]
    One,
    /// All requests resume at once.
    All,
}

/// Change made by a backoff notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackoffChange {
    /// A backoff began.
    Begun,
    /// The backoff in force ends later than before.
    Longer,
    /// Nothing changed, as a backoff in force ends no earlier.
    Known,
}

/// Notices of one start of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct UpstreamNotice {
    leaving: Option<LeavingNotice>,
    backoff: Option<BackoffNotice>,
    /// The request limit that the start announced; also kept after the limit has ended, while older readings may
    /// arrive.
    limit: Option<upstream_limit::LimitNotice>,
    /// When the start was last listed or sent a notice.
    known: units::MonoTime,
}

/// Notices of all upstreams by their starts.
#[derive(Debug, Default)]
pub struct NoticeTable {
    notices: collections::BTreeMap<ids::UpstreamId, UpstreamNotice>,
    return_mode: BackoffReturnMode,
    /// Incremented with each change of any start's limit.
    limit_changes: u64,
}

impl NoticeTable {
    /// Sets how requests resume after a backoff.
    pub fn set_return_mode(&mut self, mode: BackoffReturnMode) {
        self.return_mode = mode;
    }

    /// Records a leaving notice of a start; returns whether it is new.
    ///
    /// A notice of the upstream itself, also one relayed by a member, is final. A notice of the list can be revoked by the
    /// list, and is replaced by one of the upstream.
    pub fn receive_leaving(
        &mut self,
        now: units::MonoTime,
        name: &ids::UpstreamId,
        source: NoticeSource,
        age: time::Duration,
    ) -> bool {
        let since = now.earlier_by(age);
        // The notice counts as received when the first instance received it: repeated gossip must not preserve a start
        // that is not listed.
        let notice = self.notice(since, name);
        match &mut notice.leaving {
            Some(known) if known.source == NoticeSource::List => {
                known.source = source;
                false
            }
            Some(_) => false,
            None => {
                notice.leaving = Some(LeavingNotice { source, since });
                true
            }
        }
    }

    /// Revokes the list's leaving notice of a start. A notice of the upstream itself stays in force, as the writes of the
    /// upstream to the list may be late.
    pub fn receive_live(&mut self, name: &ids::UpstreamId) {
        if let Some(notice) = self.notices.get_mut(name) {
            let by_list = |known: &LeavingNotice| known.source == NoticeSource::List;
            notice.leaving = notice.leaving.filter(|known| !by_list(known));
        }
    }

    /// Makes the list's leaving notices final, after the list's source was restored from an older copy.
    pub fn finalize_listed(&mut self) {
        let leaving = self.notices.values_mut().filter_map(|notice| notice.leaving.as_mut());
        leaving
            .filter(|known| known.source == NoticeSource::List)
            .for_each(|known| known.source = NoticeSource::FormerList);
    }

    /// Whether something may be sent to a start now.
    ///
    /// Renewals and releases always may: they serve requests in progress. A leaving upstream may also be asked for its
    /// report, but not be checked, as a check would take a planned end for a crash. An upstream in backoff may be sent
    /// only renewals and releases.
    pub fn permits(
        &self,
        now: units::MonoTime,
        name: &ids::UpstreamId,
        kind: send_gate::SendKind,
    ) -> Result<(), send_gate::SendDenial> {
        if matches!(kind, send_gate::SendKind::Renewal | send_gate::SendKind::Release) {
            return Ok(());
        }
        let Some(notice) = self.notices.get(name) else {
            return Ok(());
        };
        if let Some(leaving) = notice.leaving.filter(|_| kind != send_gate::SendKind::Report) {
            return Err(send_gate::SendDenial::Leaves(leaving.source, now.since(leaving.since)));
        }
        match notice.backoff.filter(|backoff| now < backoff.until) {
            Some(backoff) => Err(send_gate::SendDenial::Backoff(backoff.until.since(now))),
            None => Ok(()),
        }
    }

    /// Whether a request should avoid a start whose backoff ended recently and that has not accepted a request since: yes,
    /// unless the request may probe and no other probe is pending. In [`BackoffReturnMode::All`] no start is avoided.
    pub fn is_avoided(
        &self,
        now: units::MonoTime,
        name: &ids::UpstreamId,
        permission: send_gate::ProbePermission,
    ) -> bool {
        let backoff = self.notices.get(name).and_then(|notice| notice.backoff);
        let ended =
            backoff.filter(|backoff| backoff.until <= now && now < backoff.until + RETURN_TIME);
        let Some(backoff) = ended.filter(|_| self.return_mode == BackoffReturnMode::One) else {
            return false;
        };
        let probed = backoff.probe_sent.is_some_and(|at| now.since(at) < PROBE_TIMEOUT);
        probed || permission == send_gate::ProbePermission::No
    }

    /// Records a send to a start; returns whether it is a probe.
    pub fn begin(&mut self, now: units::MonoTime, name: &ids::UpstreamId) -> bool {
        let backoff = self.notices.get_mut(name).and_then(|notice| notice.backoff.as_mut());
        let Some(backoff) = backoff.filter(|backoff| backoff.until <= now) else {
            return false;
        };
        backoff.probe_sent = Some(now);
        true
    }

    /// Ends a probe, so that another request may probe if the backoff is still recorded.
    pub fn end_probe(&mut self, name: &ids::UpstreamId) {
        if let Some(backoff) = self.notices.get_mut(name).and_then(|notice| notice.backoff.as_mut())
        {
            backoff.probe_sent = None;
        }
    }

    /// Records that a start has accepted a request; returns whether that ends its backoff.
    pub fn receive_accepted(&mut self, now: units::MonoTime, name: &ids::UpstreamId) -> bool {
        let Some(notice) = self.notices.get_mut(name) else {
            return false;
        };
        // Answers to requests sent before the backoff do not show its end.
        let has_ended = notice.backoff.is_some_and(|backoff| backoff.until <= now);
        if has_ended {
            notice.backoff = None;
        }
        has_ended
    }

    /// Records a backoff. A backoff that ends no later than the one in force changes nothing.
    pub fn receive_backoff(
        &mut self,
        now: units::MonoTime,
        name: &ids::UpstreamId,
        requested: time::Duration,
    ) -> BackoffChange {
        let until = now + requested.min(MAX_ACCEPTED_BACKOFF);
        let notice = self.notice(now, name);
        let known = notice.backoff.map_or(now, |backoff| backoff.until).max(now);
        if until <= known {
            return BackoffChange::Known;
        }
        notice.backoff = Some(BackoffNotice { requested, since: now, until, probe_sent: None });
        if known <= now { BackoffChange::Begun } else { BackoffChange::Longer }
    }

    /// Records the limit in an answer, or its absence.
    pub fn receive_limit(
        &mut self,
        name: &ids::UpstreamId,
        reading: upstream_limit::LimitReading,
    ) -> upstream_limit::LimitChange {
        let known = self.notices.get(name).and_then(|notice| notice.limit);
        if known.is_none() && reading.rate.is_none() {
            // Most answers announce no limit.
            return upstream_limit::LimitChange::Known;
        }
        let before = known.and_then(|known| known.reading.rate);
        let reading = known.map_or(reading, |known| known.reading.or(reading));
        let change = upstream_limit::LimitChange::of(before, reading.rate);
        let unchanged = known.filter(|_| before.is_some() == reading.rate.is_some());
        let since = unchanged.map_or(reading.received, |known| known.since);
        self.notice(reading.received, name).limit =
            Some(upstream_limit::LimitNotice { reading, since });
        self.limit_changes += u64::from(change != upstream_limit::LimitChange::Known);
        change
    }

    /// Number of readings so far that changed the limit of a start.
    pub fn limit_changes(&self) -> u64 {
        self.limit_changes
    }

    /// Starts that have announced a limit, and the reading in force for each; it has no rate if the limit ended recently.
    pub fn limit_readings(
        &self,
    ) -> impl Iterator<Item = (&ids::UpstreamId, upstream_limit::LimitReading)> {
        self.notices.iter().filter_map(|(name, notice)| Some((name, notice.limit?.reading)))
    }

    /// The reading in force for a start that has announced a limit; it has no rate if the limit ended recently.
    pub fn limit_reading(&self, name: &ids::UpstreamId) -> Option<upstream_limit::LimitReading> {
        Some(self.notices.get(name)?.limit?.reading)
    }

    /// Starts with a limit in force, and that limit.
    pub fn limits(&self) -> impl Iterator<Item = (&ids::UpstreamId, units::RequestRate)> {
        self.limit_readings().filter_map(|(name, reading)| Some((name, reading.rate?)))
    }

    /// The limit in force for a start; `None` if it has announced none, or if its limit has ended.
    pub fn limit(&self, name: &ids::UpstreamId) -> Option<upstream_limit::LimitNotice> {
        self.notices.get(name)?.limit.filter(|limit| limit.reading.rate.is_some())
    }

    /// The leaving notice of a start; `None` if the start is not known to be leaving.
    pub fn leaving(&self, name: &ids::UpstreamId) -> Option<LeavingNotice> {
        self.notices.get(name)?.leaving
    }

    /// The backoff in force for a start.
    pub fn backoff(&self, now: units::MonoTime, name: &ids::UpstreamId) -> Option<BackoffNotice> {
        self.notices.get(name)?.backoff.filter(|backoff| now < backoff.until)
    }

    /// The notices of a start with origin and age, for operators; `None` without any.
    pub fn describe(&self, now: units::MonoTime, name: &ids::UpstreamId) -> Option<String> {
        let leaving = self.leaving(name).map(|leaving| {
            let age = seconds(now.since(leaving.since));
            format!("leaves, by {} {age} ago", leaving.source)
        });
        let backoff = self.backoff(now, name).map(|backoff| {
            let (left, age) = (backoff.until.since(now), now.since(backoff.since));
            format!(
                "rests {} more, asked for {} {} ago",
                seconds(left),
                seconds(backoff.requested),
                seconds(age)
            )
        });
        let limit = self.limit(name).and_then(|limit| {
            let rate = limit.reading.rate?;
            let (age, duration) = (now.since(limit.reading.received), now.since(limit.since));
            let source = limit.reading.source;
            Some(format!(
                "takes {rate} of all, by {source} {} ago, limited for {}",
                seconds(age),
                seconds(duration)
            ))
        });
        let parts: Vec<_> = leaving.into_iter().chain(backoff).chain(limit).collect();
        (!parts.is_empty()).then(|| parts.join("; "))
    }

    /// Starts whose leaving notice is final, which is any notice but one of the present list.
    pub fn final_leaving(&self) -> impl Iterator<Item = (&ids::UpstreamId, LeavingNotice)> {
        let leaving =
            self.notices.iter().filter_map(|(name, notice)| Some((name, notice.leaving?)));
        leaving.filter(|(_, leaving)| leaving.source != NoticeSource::List)
    }

    /// Starts with a notice that is in force or still remembered.
    pub fn names(&self) -> impl Iterator<Item = &ids::UpstreamId> {
        self.notices.keys()
    }

    /// Drops starts without a notice that is in force or remembered, and starts that have neither been listed nor sent a
    /// notice for `NOTICE_MEMORY`.
    pub fn retain(&mut self, now: units::MonoTime, listed: impl Fn(&ids::UpstreamId) -> bool) {
        self.notices.retain(|name, notice| {
            if listed(name) {
                notice.known = now;
            }
            let remembered = |backoff: BackoffNotice| now < backoff.until + RETURN_TIME;
            let is_limited = |limit: upstream_limit::LimitNotice| {
                limit.reading.rate.is_some()
                    || now.since(limit.reading.received) < ENDED_LIMIT_MEMORY
            };
            let has_notices = notice.leaving.is_some()
                || notice.backoff.is_some_and(remembered)
                || notice.limit.is_some_and(is_limited);
            has_notices && now.since(notice.known) < NOTICE_MEMORY
        });
    }

    /// The notices of a start, created if there are none. If the table is full, the oldest ones are dropped.
    fn notice(&mut self, known: units::MonoTime, name: &ids::UpstreamId) -> &mut UpstreamNotice {
        if self.notices.len() >= MAX_NOTICES && !self.notices.contains_key(name) {
            let oldest = self.notices.iter().min_by_key(|(_, notice)| notice.known);
            let oldest = oldest.map(|(name, _)| name.clone());
            oldest.and_then(|oldest| self.notices.remove(&oldest));
        }
        let notice = self.notices.entry(name.clone()).or_default();
        notice.known = notice.known.max(known);
        notice
    }
}

/// Formats a duration in seconds with one decimal, for operators.
pub(crate) fn seconds(span: time::Duration) -> String {
    format!("{:.1} s", span.as_secs_f64())
}
