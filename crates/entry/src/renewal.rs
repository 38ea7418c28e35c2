//! Tells schedulers, now and then, which places are still in use.
//!
//! The scheduler asked may be another than the one that gave the place: whoever owns the engine by
//! the list in force learns of the attempt, and so does not take it for an abandoned one.

use std::{rc, time};

use futures::future;

use crate::{event, request_context};

/// Renewals in the time after which a silent entry's leases end, so that several may be lost.
const RENEWALS_PER_GRACE: u32 = 4;

/// Time between two looks at whether a renewal is due; settings may shorten the interval.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Renews for ever.
pub async fn run(context: rc::Rc<request_context::EntryContext>) {
    let mut last = context.clock.now();
    loop {
        monoio::time::sleep(POLL_INTERVAL).await;
        let tree = context.events.ask(event::EntryEvent::Settings).await;
        let fleet = tree.map(|tree| tree.fleet.clone()).unwrap_or_default();
        if context.clock.now().since(last) < fleet.orphan_grace.0 / RENEWALS_PER_GRACE {
            continue;
        }
        last = context.clock.now();
        let batches = context.events.ask(event::EntryEvent::Renewals).await;
        let now = context.clock.now();
        let context = &context;
        let renewals = batches.into_iter().map(|(scheduler, places)| async move {
            let link = context.links.link(scheduler);
            let renewed = link.renew(&context.local.instance, context.boot, &places, now).await;
            if let Err(error) = renewed {
                log::debug!("renewal: {error}");
            }
        });
        future::join_all(renewals).await;
    }
}
