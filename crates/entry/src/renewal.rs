//! Tells schedulers, now and then, which places are still in use.
//!
//! The scheduler asked may be another than the one that gave the place: whoever owns the engine by
//! the list in force learns of the attempt, and so does not take it for one nobody wants.

use std::{rc, time};

use futures::future;

use crate::{event, request_context};

/// Time between two renewals; a fraction of the time after which a silent entry's leases end.
const RENEW_INTERVAL: time::Duration = time::Duration::from_secs(4);

/// Renews for ever.
pub async fn run(context: rc::Rc<request_context::EntryContext>) {
    loop {
        monoio::time::sleep(RENEW_INTERVAL).await;
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
