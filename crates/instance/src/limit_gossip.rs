//! What upstreams say of how many requests they take, heard from them and from members, and passed on.
//!
//! That an upstream has a limit, or has it no more, concerns all members; which one it is concerns the one that keeps
//! it. Where words may have been lost each repeats what it knows to some others.

use std::{collections, net, time};

use slipturn_core::{ids, send_leave, units, upstream_limit, upstream_notice};

use crate::{border, context, member_news, peer_message, sum_keeping, upstream_news};

/// Time between two lines on changes of one upstream's limit.
const CHANGE_LOG_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// When the last line on a change of each upstream's limit was written.
pub(crate) type LimitLog = collections::BTreeMap<ids::UpstreamId, units::MonoTime>;

/// Takes in what an answer says of its upstream's limit. That it leaves one out counts where it answers a
/// request: nobody says that other answers carry it.
pub(crate) fn hear(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
    said: &border::UpstreamAnswer,
    asked: upstream_news::AskedWord,
) {
    let rate = match &said.limit {
        Some(Ok(rate)) => Some(*rate),
        Some(Err(error)) => {
            log::info!(upstream:%, error:%; "upstream.limit_unreadable");
            context.stats.borrow_mut().count("upstream_limits", "unreadable");
            return;
        }
        None if asked.source == upstream_notice::NoticeSource::Answer => None,
        None => return,
    };
    let (heard, source) = (context.now(), asked.source);
    let word = upstream_limit::LimitWord { rate, asked: asked.at, heard, source };
    match note(context, upstream, word) {
        upstream_limit::LimitNews::Known => {}
        upstream_limit::LimitNews::Changed(..) => tell_keeper(context, upstream),
        upstream_limit::LimitNews::Begun(_) | upstream_limit::LimitNews::Ended => {
            if let Some(report) = report(context, upstream) {
                let message = peer_message::PeerMessage::Limits(vec![report]);
                member_news::tell_all(context, &message);
            }
        }
    }
}

/// Takes in what upstreams told other members.
pub(crate) fn hear_members(
    context: &context::InstanceContext,
    reports: Vec<peer_message::LimitReport>,
) {
    let now = context.now();
    let ago = |micros| now.earlier_by(time::Duration::from_micros(micros));
    for report in reports {
        let heard = ago(report.heard_us);
        let word = upstream_limit::LimitWord {
            rate: report.rate,
            asked: ago(report.asked_us).min(heard),
            heard,
            source: upstream_notice::NoticeSource::Member,
        };
        note(context, &report.upstream, word);
    }
}

/// Tells a member which upstreams have a limit, and which had one until lately.
pub(crate) fn tell(context: &context::InstanceContext, to: net::SocketAddrV4) {
    let now = context.now();
    let told: Vec<_> = {
        let fleet = context.fleet.borrow();
        let words = fleet.list.notices().limit_words();
        words.map(|(upstream, word)| report_of(now, upstream, &word)).collect()
    };
    for reports in told.chunks(peer_message::MAX_LIMITS) {
        context.tell(to, peer_message::PeerMessage::Limits(reports.to_vec()));
    }
}

/// Tells the member that keeps an upstream's limit what is known of it here.
pub(crate) fn tell_keeper(context: &context::InstanceContext, upstream: &ids::UpstreamId) {
    let subject = send_leave::LeaveSubject::Upstream(upstream.clone());
    let keeper = sum_keeping::keeper_of(context, &subject);
    if let (Some(keeper), Some(report)) = (keeper, report(context, upstream)) {
        context.tell(keeper.address, peer_message::PeerMessage::Limits(vec![report]));
    }
}

/// What is known here of an upstream's limit, for others.
pub(crate) fn report(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
) -> Option<peer_message::LimitReport> {
    let fleet = context.fleet.borrow();
    let word = fleet.list.notices().limit_word(upstream)?;
    Some(report_of(context.now(), upstream, &word))
}

fn report_of(
    now: units::MonoTime,
    upstream: &ids::UpstreamId,
    word: &upstream_limit::LimitWord,
) -> peer_message::LimitReport {
    let micros = |at| u64::try_from(now.since(at).as_micros()).unwrap_or(u64::MAX);
    peer_message::LimitReport {
        upstream: upstream.clone(),
        rate: word.rate,
        asked_us: micros(word.asked),
        heard_us: micros(word.heard),
    }
}

/// Notes what a word says of an upstream's limit.
fn note(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
    word: upstream_limit::LimitWord,
) -> upstream_limit::LimitNews {
    let news = context.fleet.borrow_mut().list.notices_mut().hear_limit(upstream, word);
    let source = word.source;
    let change = match news {
        upstream_limit::LimitNews::Known => return news,
        upstream_limit::LimitNews::Begun(rate) => {
            log::info!(upstream:%, source:%, rate:%; "upstream.limited");
            "begun"
        }
        upstream_limit::LimitNews::Changed(rate, before) => {
            if may_log_change(context, upstream) {
                log::info!(upstream:%, source:%, rate:%, before:%; "upstream.limit_changed");
            }
            "changed"
        }
        upstream_limit::LimitNews::Ended => {
            log::info!(upstream:%, source:%; "upstream.unlimited");
            "ended"
        }
    };
    context.stats.borrow_mut().count("upstream_limits", &format!("{change}/{source}"));
    sum_keeping::refresh(context);
    let subject = send_leave::LeaveSubject::Upstream(upstream.clone());
    context.sums.desk.borrow_mut().reopen(&subject);
    news
}

/// Whether a line on a change is due: a limit may be another one in each answer.
fn may_log_change(context: &context::InstanceContext, upstream: &ids::UpstreamId) -> bool {
    let now = context.now();
    let mut log = context.sums.limit_log.borrow_mut();
    let due = log.get(upstream).is_none_or(|last| now.since(*last) >= CHANGE_LOG_INTERVAL);
    if due {
        log.insert(upstream.clone(), now);
    }
    due
}
