//! What upstreams say of themselves in passing: that they leave, for how long they want rest, and how many
//! requests they take.
//!
//! Leaving concerns all instances alike, rest only the one that was asked for it, and a limit the sum over all
//! instances. All belong to one start of an upstream and end with it. Leaving does not end otherwise: no upstream that has said that it leaves comes
//! back. A rest ends with its time; then one request finds out whether the upstream takes work again, and the
//! others follow its answer.

use std::{collections, fmt, time};

use crate::{ids, send_permit, units, upstream_limit};

/// Longest rest that is believed. Longer ones are mistakes more likely than wishes, and nobody who gets no
/// requests can take them back; service proxies bound what they are asked for at the same five minutes.
pub const MAX_REST: time::Duration = time::Duration::from_secs(300);
/// How long words of a start are kept that is not listed: its entry may lapse with the list's source and come
/// back, while it serves on for many seconds.
pub(crate) const NOTICE_MEMORY: time::Duration = time::Duration::from_secs(120);
/// A request that finds out whether an upstream takes work again is waited for so long; its caller may have left.
const TRIAL_TIME: time::Duration = time::Duration::from_secs(2);
/// How long behind a rest the first request there is one that finds out; later nothing is left of what made the
/// upstream ask.
const RETURN_TIME: time::Duration = time::Duration::from_secs(10);
/// How long behind the end of a limit words on it may come that were given before.
const ENDED_LIMIT_MEMORY: time::Duration = time::Duration::from_secs(30);
/// Starts of which words are kept at most, some 100 bytes each: those of a fleet with 2,000 upstreams that all say
/// something at once. Beyond that the oldest are forgotten, and learned anew from the next answer.
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
    /// When the request was sent that finds out whether the upstream takes work again; not before `until`.
    trial: Option<units::MonoTime>,
}

impl RestNotice {
    /// How long it lasts: what was asked for, as far as that is believed.
    pub fn lasts(&self) -> time::Duration {
        self.until.since(self.since)
    }
}

/// How requests come back to an upstream behind its rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RestReturnWay {
    /// One first, the others once it is answered.
    #[default]
    One,
    /// All at once.
    All,
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
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct UpstreamNotice {
    leaving: Option<LeavingNotice>,
    rest: Option<RestNotice>,
    /// Also one that has ended, for as long as late words on it may come.
    limit: Option<upstream_limit::LimitNotice>,
    /// When the start was last listed, or spoke.
    known: units::MonoTime,
}

/// What upstreams have said, by their starts.
#[derive(Debug, Default)]
pub struct NoticeTable {
    notices: collections::BTreeMap<ids::UpstreamId, UpstreamNotice>,
    rest_return: RestReturnWay,
    /// Goes up whenever another limit holds.
    limit_changes: u64,
}

impl NoticeTable {
    /// Sets how requests come back behind a rest.
    pub fn set_return(&mut self, way: RestReturnWay) {
        self.rest_return = way;
    }

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
        // What members repeat to each other keeps nothing known that nobody lists any more.
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

    /// Takes in that the list names a start as one that takes work: its own earlier word is taken back, not
    /// that of the upstream, whose writes to the list's source may come seconds late.
    pub fn hear_live(&mut self, name: &ids::UpstreamId) {
        if let Some(notice) = self.notices.get_mut(name) {
            let by_list = |known: &LeavingNotice| known.source == NoticeSource::List;
            notice.leaving = notice.leaving.filter(|known| !by_list(known));
        }
    }

    /// Whether something may be sent to a start now.
    ///
    /// What ends work there goes at any time: memory is given back, and what a request under way holds is kept
    /// for it. A report disturbs nobody who leaves; who wants rest wants nothing. A check shows whether a start
    /// has ended under what it ran, which one that leaves does by plan.
    pub fn permits(
        &self,
        now: units::MonoTime,
        name: &ids::UpstreamId,
        kind: send_permit::SendKind,
    ) -> Result<(), send_permit::KeptBack> {
        if matches!(kind, send_permit::SendKind::Renewal | send_permit::SendKind::Release) {
            return Ok(());
        }
        let Some(notice) = self.notices.get(name) else {
            return Ok(());
        };
        if let Some(leaving) = notice.leaving.filter(|_| kind != send_permit::SendKind::Report) {
            return Err(send_permit::KeptBack::Leaves(leaving.source, now.since(leaving.since)));
        }
        match notice.rest.filter(|rest| now < rest.until) {
            Some(rest) => Err(send_permit::KeptBack::Rests(rest.until.since(now))),
            None => Ok(()),
        }
    }

    /// Whether requests keep away from a start, where they can, that has rested and has not taken one since.
    pub fn is_avoided(
        &self,
        now: units::MonoTime,
        name: &ids::UpstreamId,
        turn: send_permit::TrialTurn,
    ) -> bool {
        let rest = self.notices.get(name).and_then(|notice| notice.rest);
        let rested = rest.filter(|rest| rest.until <= now && now < rest.until + RETURN_TIME);
        let Some(rest) = rested.filter(|_| self.rest_return == RestReturnWay::One) else {
            return false;
        };
        let tried = rest.trial.is_some_and(|at| now.since(at) < TRIAL_TIME);
        tried || turn == send_permit::TrialTurn::No
    }

    /// Notes that a request goes to a start; whether it is the one that finds out behind a rest.
    pub fn begin(&mut self, now: units::MonoTime, name: &ids::UpstreamId) -> bool {
        let rest = self.notices.get_mut(name).and_then(|notice| notice.rest.as_mut());
        let Some(rest) = rest.filter(|rest| rest.until <= now) else {
            return false;
        };
        rest.trial = Some(now);
        true
    }

    /// The request that finds out has ended; without an answer, another one may.
    pub fn end_trial(&mut self, name: &ids::UpstreamId) {
        if let Some(rest) = self.notices.get_mut(name).and_then(|notice| notice.rest.as_mut()) {
            rest.trial = None;
        }
    }

    /// Takes in that a start has taken a request behind its rest; returns whether that ends it.
    pub fn hear_taken(&mut self, now: units::MonoTime, name: &ids::UpstreamId) -> bool {
        let Some(notice) = self.notices.get_mut(name) else {
            return false;
        };
        // What was under way as it asked for rest takes nothing back.
        let over = notice.rest.is_some_and(|rest| rest.until <= now);
        if over {
            notice.rest = None;
        }
        over
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
        let known = notice.rest.map_or(now, |rest| rest.until).max(now);
        if until <= known {
            return RestNews::Known;
        }
        notice.rest = Some(RestNotice { asked, since: now, until, trial: None });
        if known <= now { RestNews::Begun } else { RestNews::Longer }
    }

    /// Takes in what an answer said of a start's limit, or left out.
    pub fn hear_limit(
        &mut self,
        name: &ids::UpstreamId,
        word: upstream_limit::LimitWord,
    ) -> upstream_limit::LimitNews {
        let known = self.notices.get(name).and_then(|notice| notice.limit);
        if known.is_none() && word.rate.is_none() {
            // As nearly all answers say.
            return upstream_limit::LimitNews::Known;
        }
        let before = known.and_then(|known| known.word.rate);
        let word = known.map_or(word, |known| known.word.or(word));
        let news = upstream_limit::LimitNews::of(before, word.rate);
        let goes_on = known.filter(|_| before.is_some() == word.rate.is_some());
        let since = goes_on.map_or(word.heard, |known| known.since);
        self.notice(word.heard, name).limit = Some(upstream_limit::LimitNotice { word, since });
        self.limit_changes += u64::from(news != upstream_limit::LimitNews::Known);
        news
    }

    /// Number of changes of limits so far.
    pub fn limit_changes(&self) -> u64 {
        self.limit_changes
    }

    /// Words on limits, also those that have ended them lately.
    pub fn limit_words(
        &self,
    ) -> impl Iterator<Item = (&ids::UpstreamId, upstream_limit::LimitWord)> {
        self.notices.iter().filter_map(|(name, notice)| Some((name, notice.limit?.word)))
    }

    /// The word on a start's limit, also one that has ended it lately.
    pub fn limit_word(&self, name: &ids::UpstreamId) -> Option<upstream_limit::LimitWord> {
        Some(self.notices.get(name)?.limit?.word)
    }

    /// Starts with a limit.
    pub fn limits(&self) -> impl Iterator<Item = (&ids::UpstreamId, units::RequestRate)> {
        self.limit_words().filter_map(|(name, word)| Some((name, word.rate?)))
    }

    /// The limit that a start has named and not ended.
    pub fn limit(&self, name: &ids::UpstreamId) -> Option<upstream_limit::LimitNotice> {
        self.notices.get(name)?.limit.filter(|limit| limit.word.rate.is_some())
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
        let limit = self.limit(name).and_then(|limit| {
            let rate = limit.word.rate?;
            let (age, lasts) = (now.since(limit.word.heard), now.since(limit.since));
            let source = limit.word.source;
            Some(format!(
                "takes {rate} of all, by {source} {} ago, limited for {}",
                seconds(age),
                seconds(lasts)
            ))
        });
        let told: Vec<_> = leaving.into_iter().chain(rest).chain(limit).collect();
        (!told.is_empty()).then(|| told.join("; "))
    }

    /// Starts that have said themselves that they leave, to this instance or another.
    pub fn own_words(&self) -> impl Iterator<Item = (&ids::UpstreamId, LeavingNotice)> {
        let leaving =
            self.notices.iter().filter_map(|(name, notice)| Some((name, notice.leaving?)));
        leaving.filter(|(_, leaving)| leaving.source != NoticeSource::List)
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
            let remembered = |rest: RestNotice| now < rest.until + RETURN_TIME;
            let is_limited = |limit: upstream_limit::LimitNotice| {
                limit.word.rate.is_some() || now.since(limit.word.heard) < ENDED_LIMIT_MEMORY
            };
            let said = notice.leaving.is_some()
                || notice.rest.is_some_and(remembered)
                || notice.limit.is_some_and(is_limited);
            said && now.since(notice.known) < NOTICE_MEMORY
        });
    }

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

/// A span for people.
pub(crate) fn seconds(span: time::Duration) -> String {
    format!("{:.1} s", span.as_secs_f64())
}
