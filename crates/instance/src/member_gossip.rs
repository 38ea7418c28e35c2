//! What members tell each other that must outlast a lost datagram, a start and a pause: requests that are held
//! back, upstreams that leave, and limits.
//!
//! To whom and how often: `slipturn_core::news_spread`.

use std::{net, rc};

use slipturn_core::{news_spread, units};

use crate::{context, limit_news, peer_message, quarantine_news, upstream_news};

/// Tells a member what is known here.
pub(crate) fn tell(context: &context::InstanceContext, to: net::SocketAddrV4) {
    quarantine_news::tell_held(context, to);
    upstream_news::tell_leaving(context, to);
    limit_news::tell(context, to);
}

/// Asks a member that has just been met, if few were asked in this second: all are met at once behind a
/// start and behind a cut.
pub(crate) fn ask_met(context: &context::InstanceContext, to: net::SocketAddrV4) {
    let second = context.now().since(units::MonoTime::default()).as_secs();
    let (last, count) = context.asked_news.get();
    let count = if last == second { count } else { 0 };
    if news_spread::asks_met(count) {
        context.asked_news.set((second, count + 1));
        context.tell(to, peer_message::PeerMessage::AskNews);
    }
}

/// Tells all that something has been found out.
pub(crate) fn tell_all(context: &context::InstanceContext, message: &peer_message::PeerMessage) {
    for to in drawn(context, news_spread::SpreadCause::Found) {
        context.tell(to, message.clone());
    }
}

/// Repeats what is known; asks behind a pause.
pub(crate) async fn repeat(context: rc::Rc<context::InstanceContext>) {
    let mut woken = context.woke.get();
    loop {
        monoio::time::sleep(news_spread::REPEAT_INTERVAL).await;
        if context.woke.get() != woken {
            woken = context.woke.get();
            for to in drawn(&context, news_spread::SpreadCause::Woke) {
                context.tell(to, peer_message::PeerMessage::AskNews);
            }
        }
        let told = drawn(&context, news_spread::SpreadCause::Repeat);
        for to in &told {
            upstream_news::tell_leaving(&context, *to);
            limit_news::tell(&context, *to);
        }
        // Evidence against requests is larger, and nobody needs it for what it was sent already.
        told.first().into_iter().for_each(|to| quarantine_news::tell_held(&context, *to));
    }
}

/// Members that are told or asked.
fn drawn(
    context: &context::InstanceContext,
    cause: news_spread::SpreadCause,
) -> Vec<net::SocketAddrV4> {
    let members = context.members.borrow();
    let alive = members.alive(context.now()).map(|beat| beat.address);
    news_spread::targets(cause, alive, &mut rand::rng())
}
