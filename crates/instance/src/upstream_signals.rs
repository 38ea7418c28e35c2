//! What upstreams say in passing, in the heads of their answers.

use std::{net, time};

use slipturn_core::{fleet_list, ids, planner::ways, units, upstream_notice};

use crate::{border, context, limit_news, member_news, peer_message};

/// When and how an upstream was asked.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AskedWord {
    /// When what it answers was sent.
    pub(crate) at: units::MonoTime,
    /// What kind of answer it is.
    pub(crate) source: upstream_notice::NoticeSource,
}

/// Takes in what the head of an answer says of the upstream that gave it, from the head's last byte on: an
/// answer that breaks behind it has said it all the same.
pub(crate) fn hear(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
    status: http::StatusCode,
    said: &border::UpstreamAnswer,
    asked: AskedWord,
) {
    let source = asked.source;
    if said.leaving {
        hear_leaving(context, upstream, source);
    }
    limit_news::hear(context, upstream, said, asked);
    let turned_away = [http::StatusCode::SERVICE_UNAVAILABLE, http::StatusCode::TOO_MANY_REQUESTS];
    if turned_away.contains(&status) {
        if let Some(rest) = &said.rest {
            hear_rest(context, upstream, rest);
        }
    } else if source == upstream_notice::NoticeSource::Answer {
        hear_taken(context, upstream);
    }
}

/// The same of an engine's answer about itself, by where it was asked. An address at which two upstreams are
/// listed tells of neither.
pub(crate) fn hear_at(
    context: &context::InstanceContext,
    address: net::SocketAddrV4,
    head: &http::response::Parts,
    asked: AskedWord,
) {
    let said = border::UpstreamBorder::read_answer(&*context.border, head);
    if said.misdirected || !(said.leaving || said.rest.is_some() || said.limit.is_some()) {
        return;
    }
    let name = context.fleet.borrow().list.name_at(address).cloned();
    if let Some(name) = name {
        hear(context, &name, head.status, &said, asked);
    }
}

/// What is known of an upstream now, for the record of a request that goes there.
pub(crate) fn known(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
) -> Option<String> {
    context.fleet.borrow().list.notices().told(context.now(), upstream)
}

/// Takes in what an upstream told another member.
pub(crate) fn hear_members(
    context: &context::InstanceContext,
    reports: Vec<peer_message::LeavingReport>,
) {
    for report in reports {
        let age = time::Duration::from_millis(report.age_ms);
        note_leaving(context, &report.upstream, upstream_notice::NoticeSource::Member, age);
    }
}

/// Tells a member which upstreams have said that they leave while the list goes on naming them, or lacks them.
pub(crate) fn tell_leaving(context: &context::InstanceContext, to: net::SocketAddrV4) {
    if context.settings().experiments.leaving_news == ways::LeavingNewsWay::Heard {
        return;
    }
    let now = context.now();
    let told = {
        let fleet = context.fleet.borrow();
        let notices = fleet.list.notices();
        // Where the list says so too, it tells the others.
        let is_listed_live = |(upstream, _): &(&ids::UpstreamId, _)| {
            let entry = fleet.list.entry(upstream);
            entry.is_none_or(|entry| entry.state == fleet_list::ListState::Live)
        };
        let report = |(upstream, leaving): (&ids::UpstreamId, upstream_notice::LeavingNotice)| {
            let age_ms = units::whole_millis(now.since(leaving.since));
            peer_message::LeavingReport { upstream: upstream.clone(), age_ms }
        };
        notices.own_words().filter(is_listed_live).map(report).collect::<Vec<_>>()
    };
    for reports in told.chunks(peer_message::MAX_LEAVING) {
        context.tell(to, peer_message::PeerMessage::Leaving(reports.to_vec()));
    }
}

/// Takes in an upstream's own word that it leaves, and tells all members: the list may be late by as long as its
/// source is away, and whoever else sends there would need an answer of its own to know.
fn hear_leaving(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
    source: upstream_notice::NoticeSource,
) {
    let news = note_leaving(context, upstream, source, time::Duration::ZERO);
    if !news || context.settings().experiments.leaving_news == ways::LeavingNewsWay::Heard {
        return;
    }
    let report = peer_message::LeavingReport { upstream: upstream.clone(), age_ms: 0 };
    member_news::tell_all(context, &peer_message::PeerMessage::Leaving(vec![report]));
}

/// Notes that an upstream leaves; whether that is news.
fn note_leaving(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
    source: upstream_notice::NoticeSource,
    age: time::Duration,
) -> bool {
    let mut fleet = context.fleet.borrow_mut();
    let news = fleet.list.hear_leaving(context.now(), upstream, source, age);
    if news {
        let age_ms = units::whole_millis(age);
        log::info!(upstream:%, source:%, age_ms; "upstream.leaves");
        context.stats.borrow_mut().count("upstream_leaves", &source.to_string());
        if let Some(entry) = fleet.list.entry(upstream) {
            // Nothing goes over them any more.
            context.pool.forget(entry.address);
        }
    }
    news
}

/// Takes in that an upstream has taken a request.
fn hear_taken(context: &context::InstanceContext, upstream: &ids::UpstreamId) {
    let mut fleet = context.fleet.borrow_mut();
    if fleet.list.notices_mut().hear_taken(context.now(), upstream) {
        log::info!(upstream:%; "upstream.rested");
    }
}

/// Takes in a time for which an upstream wants to be left alone. Only who turns a request away asks for
/// rest: the header of other answers means other things, or nothing.
fn hear_rest(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
    rest: &Result<time::Duration, border::FormatError>,
) {
    let asked = match rest {
        Ok(asked) => *asked,
        Err(error) => {
            log::info!(upstream:%, error:%; "upstream.rest_unreadable");
            context.stats.borrow_mut().count("upstream_rests", "unreadable");
            return;
        }
    };
    let news = {
        let mut fleet = context.fleet.borrow_mut();
        fleet.list.notices_mut().hear_rest(context.now(), upstream, asked)
    };
    let asked_ms = units::whole_millis(asked);
    let for_ms = units::whole_millis(asked.min(upstream_notice::MAX_REST));
    match news {
        upstream_notice::RestNews::Known => return,
        upstream_notice::RestNews::Begun => {
            log::info!(upstream:%, asked_ms, for_ms; "upstream.rests");
        }
        upstream_notice::RestNews::Longer => {
            log::debug!(upstream:%, asked_ms, for_ms; "upstream.rests_longer");
        }
    }
    context.stats.borrow_mut().count("upstream_rests", "asked");
}

/// Tells the other members that an upstream is gone from its address, so that each need not lose a call to find
/// out. Only what an upstream answered is told; who cannot reach one may be cut off itself.
pub(crate) fn tell_gone(context: &context::InstanceContext, upstream: &ids::UpstreamId) {
    let news = context.loads.borrow_mut().hear_gone(context.now(), upstream);
    if !news {
        return;
    }
    log::info!(upstream:%; "upstream.gone");
    member_news::tell_all(context, &peer_message::PeerMessage::Gone(upstream.clone()));
}
