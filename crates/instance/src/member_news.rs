//! What members tell each other that must outlast a lost datagram, a start and a pause: requests that are held
//! back, and upstreams that leave.
//!
//! What is new is told to all at once by who found it out. Whoever has just started, woken or met others asks,
//! and all repeat what they know to another one each second.

use std::{net, rc, time};

use rand::seq::IteratorRandom as _;
use slipturn_core::units;

use crate::{context, peer_message, quarantine_news, upstream_news};

/// Members that are asked by one that knows nothing.
const ASKED: usize = 3;
/// Time between two repeats of what is known.
const REPEAT_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Tells a member what is known here.
pub(crate) fn tell(context: &context::InstanceContext, to: net::SocketAddrV4) {
    quarantine_news::tell_held(context, to);
    upstream_news::tell_leaving(context, to);
}

/// Asks a member that has just been met, if few were asked in this second: all are met at once behind a
/// start and behind a cut.
pub(crate) fn ask_met(context: &context::InstanceContext, to: net::SocketAddrV4) {
    let second = context.now().since(units::MonoTime::default()).as_secs();
    let (last, count) = context.asked_news.get();
    let count = if last == second { count } else { 0 };
    if count < ASKED {
        context.asked_news.set((second, count + 1));
        context.tell(to, peer_message::PeerMessage::AskNews);
    }
}

/// Repeats what is known to one member after the other, drawn; asks some behind a pause.
pub(crate) async fn repeat(context: rc::Rc<context::InstanceContext>) {
    let mut woken = context.woke.get();
    loop {
        monoio::time::sleep(REPEAT_INTERVAL).await;
        if context.woke.get() != woken {
            woken = context.woke.get();
            ask(&context);
        }
        some_members(&context, 1).into_iter().for_each(|to| tell(&context, to));
    }
}

/// Asks some members what is known there.
fn ask(context: &context::InstanceContext) {
    for to in some_members(context, ASKED) {
        context.tell(to, peer_message::PeerMessage::AskNews);
    }
}

fn some_members(context: &context::InstanceContext, count: usize) -> Vec<net::SocketAddrV4> {
    let members = context.members.borrow();
    let alive = members.alive(context.now()).map(|beat| beat.address);
    alive.sample(&mut rand::rng(), count)
}
