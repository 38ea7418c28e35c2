//! Follows the platform's store: reads its documents and watches them for changes, or relies on members that do.

use std::{ops, rc, time};

use rand::RngExt as _;
use slipturn_core::{store_revision, units};

use crate::{
    context, document_call, heartbeats, member_gossip, store_call, store_contact, store_read,
    store_watch,
};

/// Random factor of the pause after a failure, so that members do not all reconnect at once.
const RETRY_SPREAD: std::ops::Range<f64> = 0.7..1.3;
/// Pause after a watch that brought changes, so that changes in quick succession take one call; a share of the time within
/// which requests to a leaving upstream must stop.
const CHANGE_PAUSE_SHARE: f64 = 0.075;
/// First pause after a failure; doubles up to [`MAX_RETRY_PAUSE`].
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Longest pause after a failure, and so the longest time after which the end of an outage is detected.
const MAX_RETRY_PAUSE: time::Duration = time::Duration::from_millis(800);
/// Duration from which a failed attempt counts as a pause by itself: the pause after it is [`RETRY_PAUSE`] again.
const SLOW_FAILURE: time::Duration = time::Duration::from_millis(900);
/// Range of process ages in which a process without documents may wait for members that watch the store. Before it the
/// process has received no heartbeats; after it the members evidently do not provide the documents.
const START_WAIT: ops::Range<time::Duration> =
    time::Duration::from_millis(60)..time::Duration::from_millis(1_200);

/// Follows the store; never returns.
pub async fn follow_store(context: rc::Rc<context::InstanceContext>) {
    let mut pause = RETRY_PAUSE;
    let mut failed = false;
    let mut read = store_read::FullRead::default();
    loop {
        wait_until_needed(&context, failed).await;
        let store = context.settings().store;
        let mut connection = document_call::DocumentConnection::new(store);
        let started = context.now();
        let error = match follow(&context, &mut connection, &mut read).await {
            Ok(()) => {
                context.store_tracker.borrow_mut().stop_watching();
                log::info!("store.left_to_others");
                read = store_read::FullRead::default();
                failed = false;
                continue;
            }
            Err(error) => error,
        };
        failed = true;
        if store_contact::mark_lost(&context, &error) {
            pause = RETRY_PAUSE;
        }
        let spread = rand::rng().random_range(RETRY_SPREAD);
        if read.take_progress() || context.now().since(started) >= SLOW_FAILURE {
            pause = RETRY_PAUSE;
        }
        monoio::time::sleep(pause.mul_f64(spread)).await;
        pause = (pause * 2).min(MAX_RETRY_PAUSE);
    }
}

/// Waits until this process should watch the store itself; `failed` is whether its last attempt failed.
async fn wait_until_needed(context: &context::InstanceContext, failed: bool) {
    let mut missing_since = None;
    while !is_needed(context, &mut missing_since, failed) {
        monoio::time::sleep(store_contact::poll_interval(context)).await;
    }
}

/// Whether this process should watch the store itself. `missing_since` keeps, between calls, since when its data centre
/// has had too few watchers; `failed` is whether the last attempt of this process failed.
fn is_needed(
    context: &context::InstanceContext,
    missing_since: &mut Option<units::MonoTime>,
    failed: bool,
) -> bool {
    if context.store_tracker.borrow().is_watching() {
        return true;
    }
    let now = context.now();
    let own = context.own_heartbeat();
    let members = context.members.borrow();
    let missing = members.watchers_missing(now, &own);
    if !context.fleet.borrow().is_known() {
        if context.settings().is_seed() && !failed {
            // All members contact the seeds first, and receive the documents that the seeds have read. If the store
            // rejects some of them, the first in order go on, so that one of them soon completes its read.
            return true;
        }
        // In a large fleet a new member fetches the list from other members: if all read the store at once, a simultaneous
        // start would be limited by the store's rate.
        let age = now.since(units::MonoTime::default());
        if age < START_WAIT.start || (age < START_WAIT.end && !members.is_settled(now)) {
            return false;
        }
        if age >= START_WAIT.end && !missing {
            // Members that watch the store have the documents, but have not provided them.
            return true;
        }
    }
    *missing_since = missing.then(|| missing_since.unwrap_or(now));
    let missing_for = missing_since.map_or(time::Duration::ZERO, |since| now.since(since));
    members.should_watch(now, &own, missing_for, failed)
}

/// Whether enough other members watch the store for this process to stop.
fn others_watch(context: &context::InstanceContext) -> bool {
    let own = context.own_heartbeat();
    let missing_for = time::Duration::ZERO;
    let needed = context.members.borrow().should_watch(context.now(), &own, missing_for, false);
    context.fleet.borrow().is_known() && !needed
}

/// Follows the store until a call fails, or until enough other members watch it (`Ok`). A `read` that fails is continued by
/// the next call.
async fn follow(
    context: &context::InstanceContext,
    connection: &mut document_call::DocumentConnection,
    read: &mut store_read::FullRead,
) -> Result<(), String> {
    let mut revision = first_revision(context, connection, read).await?;
    context.store_tracker.borrow_mut().watch();
    loop {
        let answers = context.store_tracker.borrow().answers();
        if answers && others_watch(context) {
            return Ok(());
        }
        context.store_tracker.borrow_mut().set_watched(revision);
        let requested_at = context.now();
        let answer = match store_watch::watch(context, connection, revision).await {
            Ok(answer) if answer.era == revision.era => answer,
            // The store's era has changed. The answer lacks the changes between the restored copy and the watched
            // revision without reporting an error.
            Ok(answer) => {
                revision = read_again(context, connection, read, answer.era).await?;
                continue;
            }
            Err(store_call::StoreError::HistoryGone { era }) => {
                log::info!(era = era.0, revision:%; "store.history_gone");
                revision = read_again(context, connection, read, era).await?;
                continue;
            }
            // The same watch would get the same answer, while a read in pages gets the present values only.
            Err(error @ store_call::StoreError::Unreadable { era, .. }) => {
                let error = error.to_string();
                log::warn!(era = era.0, revision:%, error; "store.watch_unreadable");
                context.stats.borrow_mut().count("store_watches", "unreadable");
                revision = read_again(context, connection, read, era).await?;
                continue;
            }
            Err(error) => return Err(error.to_string()),
        };
        let (changes, next) = answer.content;
        store_contact::mark_answered(context);
        let next = store_revision::StoreRevision::new(answer.era, next);
        let unchanged = changes.is_empty();
        let now = context.now();
        if !unchanged {
            context.fleet.borrow_mut().apply(now, changes, next);
            heartbeats::announce(context);
        }
        revision = revision.max(next);
        if unchanged {
            let own = context.versions().list;
            context.store_tracker.borrow_mut().refute_list(own, requested_at);
        } else {
            monoio::time::sleep(context.settings().bounds.leave.0.mul_f64(CHANGE_PAUSE_SHARE))
                .await;
        }
    }
}

/// Determines the revision from which to watch, and reads the documents up to it if they are not known.
async fn first_revision(
    context: &context::InstanceContext,
    connection: &mut document_call::DocumentConnection,
    read: &mut store_read::FullRead,
) -> Result<store_revision::StoreRevision, String> {
    let watched = context.store_tracker.borrow().watched();
    let listed = context.fleet.borrow().revision();
    let known = context.fleet.borrow().is_known();
    // The watch that began an unfinished read would only begin it again, and takes a call from it.
    if !known || listed.is_none() || read.has_begun() {
        let revision = read_or_adopt(context, connection, read).await?;
        context.store_tracker.borrow_mut().watch();
        store_contact::mark_answered(context);
        return Ok(revision);
    }
    if watched.is_none() {
        return revision_from_members(context).await;
    }
    Ok(watched)
}

/// Reads all documents, unless members provide them meanwhile; returns the revision from which to watch. Informs members
/// of a new era.
async fn read_or_adopt(
    context: &context::InstanceContext,
    connection: &mut document_call::DocumentConnection,
    read: &mut store_read::FullRead,
) -> Result<store_revision::StoreRevision, String> {
    let before = context.fleet.borrow().revision();
    let revision = match store_read::read_all(context, connection, read).await? {
        Some(revision) => revision,
        None => revision_from_members(context).await?,
    };
    if !before.is_none() && before.era < context.fleet.borrow().revision().era {
        heartbeats::announce(context);
        // Members may know of leaving upstreams that the older copy, from which the store was restored, does not list
        // as leaving.
        member_gossip::request(context);
    }
    Ok(revision)
}

/// Returns the revision of the list that members have provided, from which to watch, after reading the routes.
async fn revision_from_members(
    context: &context::InstanceContext,
) -> Result<store_revision::StoreRevision, String> {
    let listed = context.fleet.borrow().revision();
    // The watch does not bring routes that were published before the revision of the list.
    store_read::read_routes(context).await?;
    Ok(listed)
}

/// Reads the documents again when a watch cannot continue, as the store's history is gone or its era has changed.
async fn read_again(
    context: &context::InstanceContext,
    connection: &mut document_call::DocumentConnection,
    read: &mut store_read::FullRead,
    era: store_revision::StoreEra,
) -> Result<store_revision::StoreRevision, String> {
    let before = context.fleet.borrow().revision().era;
    // The end of an outage is recorded before the read, so that entries that expired during the outage are not removed
    // at once.
    store_contact::mark_answered(context);
    if before == era && context.store_tracker.borrow().watched().era < era {
        revision_from_members(context).await
    } else {
        read_or_adopt(context, connection, read).await
    }
}
