//! Periodic renewal of the leases that attempts hold on engines.
//!
//! A renewal goes to the scheduler that owns the engine according to the list in force, which may
//! differ from the one that granted the lease. After a change of the owner, the new owner thus
//! learns of the attempt and doesn't treat it as abandoned.

use std::{rc, time};

use futures::future;

use crate::{event, request_context};

/// Number of renewals within the setting `orphan_grace`, the time after which the leases of an
/// unresponsive entry end. More than one, so that leases survive the loss of several renewals in a
/// row.
const RENEWALS_PER_GRACE: u32 = 4;

/// Interval of the checks whether a renewal is due. Short, because a change of the settings can
/// shorten the renewal interval at any time.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Renews the leases of all running attempts until the process ends.
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
                log::debug!("cannot renew leases: {error}");
            }
        });
        future::join_all(renewals).await;
    }
}
