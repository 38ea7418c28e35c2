//! What upstreams say in passing, in the heads of their answers.

use std::{net, time};

use slipturn_core::{ids, units, upstream_notice};

use crate::{border, context, peer_message};

/// Takes in what the head of an answer says of the upstream that gave it, from the head's last byte on: an
/// answer that breaks behind it has said it all the same.
pub(crate) fn hear(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
    status: http::StatusCode,
    said: &border::UpstreamAnswer,
    source: upstream_notice::NoticeSource,
) {
    if said.leaving {
        hear_leaving(context, upstream, source);
    }
    if let Some(rest) = &said.rest {
        hear_rest(context, upstream, status, rest);
    }
}

/// The same of an engine's answer about itself, by where it was asked. An address at which two upstreams are
/// listed tells of neither.
pub(crate) fn hear_at(
    context: &context::InstanceContext,
    address: net::SocketAddrV4,
    head: &http::response::Parts,
    source: upstream_notice::NoticeSource,
) {
    let said = border::UpstreamBorder::read_answer(&*context.border, head);
    if said.misdirected || !(said.leaving || said.rest.is_some()) {
        return;
    }
    let name = context.fleet.borrow().list.name_at(address).cloned();
    if let Some(name) = name {
        hear(context, &name, head.status, &said, source);
    }
}

/// What is known of an upstream now, for the record of a request that goes there.
pub(crate) fn known(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
) -> Option<String> {
    context.fleet.borrow().list.notices().told(context.now(), upstream)
}

fn hear_leaving(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
    source: upstream_notice::NoticeSource,
) {
    let now = context.now();
    let mut fleet = context.fleet.borrow_mut();
    if fleet.list.hear_leaving(now, upstream, source, time::Duration::ZERO) {
        log::info!(upstream:%, source:%; "upstream.leaves");
        context.stats.borrow_mut().count("upstream_leaves", &source.to_string());
    }
}

/// Takes in a time for which an upstream wants to be left alone. Only who turns a request away asks for
/// rest: the header of other answers means other things, or nothing.
fn hear_rest(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
    status: http::StatusCode,
    rest: &Result<time::Duration, border::FormatError>,
) {
    let turned_away = [http::StatusCode::SERVICE_UNAVAILABLE, http::StatusCode::TOO_MANY_REQUESTS];
    if !turned_away.contains(&status) {
        return;
    }
    let asked = match rest {
        Ok(asked) => *asked,
        Err(error) => {
            log::info!(upstream:%, error:%; "upstream.rest_unreadable");
            context.stats.borrow_mut().count("upstream_rests", "unreadable");
            return;
        }
    };
    let news = context.fleet.borrow_mut().list.hear_rest(context.now(), upstream, asked);
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

/// Tells the other members that an upstream is gone from its address, so that each need not lose a
/// call to find out: six instances lost 17 of 380 calls to one of three upstreams, by the load that
/// the tests play, and 5 with the news. Only what an upstream answered is told; who cannot reach one
/// may be cut off itself.
pub(crate) fn tell_gone(context: &context::InstanceContext, upstream: &ids::UpstreamId) {
    let news = context.loads.borrow_mut().hear_gone(context.now(), upstream);
    if !news {
        return;
    }
    log::info!(upstream:%; "upstream.gone");
    for member in context.members.borrow().alive(context.now()) {
        let message = peer_message::PeerMessage::Gone(upstream.clone());
        context.tell(member.address, message);
    }
}
