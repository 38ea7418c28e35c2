//! What upstreams say of themselves in passing: that they leave, and for how long they want rest.
//!
//! Leaving concerns all instances, rest only the one that was asked for it. Both belong to one start of
//! an upstream and end with it. A rest ends with its time, too; leaving does not end otherwise: no upstream
//! that has said that it leaves comes back.

use std::{collections, fmt, time};

use crate::{ids, units};

/// Longest rest that is believed. Longer ones are mistakes more likely than wishes, and nobody who gets no
/// requests can take them back; service proxies bound what they are asked for at the same five minutes.
pub const MAX_REST: time::Duration = time::Duration::from_secs(300);
/// How long words of a start are kept that is not listed: its entry may lapse with the list's source and come
/// back, while it serves on for many seconds.
const NOTICE_MEMORY: time::Duration = time::Duration::from_secs(120);
/// Starts of which words are kept at most, some 100 bytes each: more than thrice as many as the largest planned
/// fleet has upstreams.
const MAX_NOTICES: usize = 2_048;

/// Who said it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeSource {
    /// The published list.
    List,
    /// The upstream, in the head of an answer to a request.
    Answer,
    /// The upstream, in a report of itself.
    Report,
    /// The upstream, in an answer to an order.
    Order,
    /// Another instance, which was told by the upstream.
    Member,
}

impl fmt::Display for NoticeSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::List => "list",
            Self::Answer => "answer",
            Self::Report => "report",
            Self::Order => "order",
            Self::Member => "member",
        })
    }
}

/// That a start of an upstream leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeavingNotice {
    /// Whose word it is.
    pub source: NoticeSource,
    /// When it was said first, to whoever passed it on.
    pub since: units::MonoTime,
}

/// That a start of an upstream wants nothing from this instance for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RestNotice {
    /// What it asked for.
    pub asked: time::Duration,
    /// When it was heard.
    pub since: units::MonoTime,
    /// When it is over: [`MAX_REST`] behind `since` at most.
    pub until: units::MonoTime,
}

/// What a word on rest changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RestNews {
    /// The upstream was not at rest.
    Begun,
    /// Its rest ends later than was known.
    Longer,
    /// Nothing.
    Known,
}

/// What one start of an upstream has said.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct UpstreamNotice {
    leaving: Option<LeavingNotice>,
    rest: Option<RestNotice>,
    /// When the start was last listed, or spoke.
    known: units::MonoTime,
}

/// What upstreams have said, by their starts.
#[derive(Debug, Default)]
pub struct NoticeTable {
    notices: collections::BTreeMap<ids::UpstreamId, UpstreamNotice>,
}

impl NoticeTable {
    /// Takes in that a start leaves; returns whether that is news.
    ///
    /// The upstream's own word, also passed on by a member, stands from then on. The list's may be taken back
    /// by the list alone, and where both say it the upstream's is the one to keep.
    pub fn hear_leaving(
        &mut self,
        now: units::MonoTime,
        name: &ids::UpstreamId,
        source: NoticeSource,
        age: time::Duration,
    ) -> bool {
        let since = now.earlier_by(age);
        let notice = self.notice(now, name);
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

    /// Takes in that the list names a start as one that takes work: its own earlier word is taken back, not
    /// that of the upstream, whose writes to the list's source may come seconds late.
    pub fn hear_live(&mut self, name: &ids::UpstreamId) {
        if let Some(notice) = self.notices.get_mut(name) {
            let by_list = |known: &LeavingNotice| known.source == NoticeSource::List;
            notice.leaving = notice.leaving.filter(|known| !by_list(known));
        }
    }

    /// Takes in for how long a start wants rest. A shorter one inside a longer changes nothing: the longer
    /// was asked for and not taken back.
    pub fn hear_rest(
        &mut self,
        now: units::MonoTime,
        name: &ids::UpstreamId,
        asked: time::Duration,
    ) -> RestNews {
        let until = now + asked.min(MAX_REST);
        let notice = self.notice(now, name);
        let known = notice.rest.map_or(now, |rest| rest.until);
        if until <= known {
            return RestNews::Known;
        }
        notice.rest = Some(RestNotice { asked, since: now, until });
        if known <= now { RestNews::Begun } else { RestNews::Longer }
    }

    /// Whether, and by whose word, a start leaves.
    pub fn leaving(&self, name: &ids::UpstreamId) -> Option<LeavingNotice> {
        self.notices.get(name)?.leaving
    }

    /// The rest that a start has asked for, while it lasts.
    pub fn rest(&self, now: units::MonoTime, name: &ids::UpstreamId) -> Option<RestNotice> {
        self.notices.get(name)?.rest.filter(|rest| now < rest.until)
    }

    /// What is known of a start, since when and by whose word, for people; nothing where nothing is.
    pub fn told(&self, now: units::MonoTime, name: &ids::UpstreamId) -> Option<String> {
        let leaving = self.leaving(name).map(|leaving| {
            let age = seconds(now.since(leaving.since));
            format!("leaves, by {} {age} ago", leaving.source)
        });
        let rest = self.rest(now, name).map(|rest| {
            let (left, age) = (rest.until.since(now), now.since(rest.since));
            format!(
                "rests {} more, asked for {} {} ago",
                seconds(left),
                seconds(rest.asked),
                seconds(age)
            )
        });
        let told: Vec<_> = leaving.into_iter().chain(rest).collect();
        (!told.is_empty()).then(|| told.join("; "))
    }

    /// Starts of which something is known.
    pub fn names(&self) -> impl Iterator<Item = &ids::UpstreamId> {
        self.notices.keys()
    }

    /// Forgets starts that have not been listed, and have said nothing, for long.
    pub fn retain(&mut self, now: units::MonoTime, listed: impl Fn(&ids::UpstreamId) -> bool) {
        self.notices.retain(|name, notice| {
            if listed(name) {
                notice.known = now;
            }
            let said = notice.leaving.is_some() || notice.rest.is_some_and(|rest| now < rest.until);
            said && now.since(notice.known) < NOTICE_MEMORY
        });
    }

    fn notice(&mut self, now: units::MonoTime, name: &ids::UpstreamId) -> &mut UpstreamNotice {
        if self.notices.len() >= MAX_NOTICES && !self.notices.contains_key(name) {
            let oldest = self.notices.iter().min_by_key(|(_, notice)| notice.known);
            let oldest = oldest.map(|(name, _)| name.clone());
            oldest.and_then(|oldest| self.notices.remove(&oldest));
        }
        let notice = self.notices.entry(name.clone()).or_default();
        notice.known = now;
        notice
    }
}

fn seconds(span: time::Duration) -> String {
    format!("{:.1} s", span.as_secs_f64())
}
