//! Routes and upstreams from the platform's store.

use std::{ops, rc, time};

use rand::RngExt as _;
use slipturn_core::units;

use crate::{border, context, document_call, heartbeats, member_feed, store_watch};

/// Spread of pauses behind failures, so that members do not return together.
const RETRY_SPREAD: std::ops::Range<f64> = 0.7..1.3;
/// Time for the store's answer to a read.
const READ_TIME: time::Duration = time::Duration::from_millis(1_500);
/// Pause between two watches that brought something, so that changes in quick succession cost
/// one call; well under the time within which changes must be in force.
const CHANGE_PAUSE: time::Duration = time::Duration::from_millis(150);
/// First pause after a failure; doubles up to [`MAX_RETRY_PAUSE`].
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Longest pause after failures: the store's return is noticed within it.
const MAX_RETRY_PAUSE: time::Duration = time::Duration::from_millis(800);
/// A try that took this long before it failed has been its own pause.
const SLOW_FAILURE: time::Duration = time::Duration::from_millis(900);
/// Ages at which a process that knows nothing leaves the store to others that watch it: before, it has
/// not heard from them; behind, they do not give it what they know.
const START_PATIENCE: ops::Range<time::Duration> =
    time::Duration::from_millis(60)..time::Duration::from_millis(1_200);
/// Most pages of upstreams read at once.
const MAX_PAGES: usize = 64;

/// Follows the store for ever.
pub async fn follow_store(context: rc::Rc<context::InstanceContext>) {
    let mut pause = RETRY_PAUSE;
    let mut failed = false;
    loop {
        wait_for_turn(&context, failed).await;
        let store = context.settings().store;
        let mut connection = document_call::DocumentConnection::new(store);
        let tried = context.now();
        let error = match follow(&context, &mut connection).await {
            Ok(()) => {
                context.watching.set(false);
                context.watched.set(0);
                context.store.set(context::StoreContact::Away);
                log::info!("store.left_to_others");
                failed = false;
                continue;
            }
            Err(error) => error,
        };
        failed = true;
        if lose(&context, &error) {
            pause = RETRY_PAUSE;
        }
        let spread = rand::rng().random_range(RETRY_SPREAD);
        if context.now().since(tried) >= SLOW_FAILURE {
            pause = RETRY_PAUSE;
        }
        monoio::time::sleep(pause.mul_f64(spread)).await;
        pause = (pause * 2).min(MAX_RETRY_PAUSE);
    }
}

/// Waits until this member should watch the store itself.
async fn wait_for_turn(context: &context::InstanceContext, failed: bool) {
    let mut missing_since = None;
    while !is_own_turn(context, &mut missing_since, failed) {
        monoio::time::sleep(member_feed::look_interval(context)).await;
    }
}

fn is_own_turn(
    context: &context::InstanceContext,
    missing_since: &mut Option<units::MonoTime>,
    failed: bool,
) -> bool {
    if context.watching.get() {
        return true;
    }
    let now = context.now();
    let own = context.own_beat();
    let members = context.members.borrow();
    let missing = members.watchers_missing(now, &own);
    if !context.fleet.borrow().is_known() {
        // Whoever starts in a large fleet has the list from members: with all reading it at
        // once, a mass start would take as long as the store's rate allows.
        let age = now.since(units::MonoTime::default());
        if age < START_PATIENCE.start || (age < START_PATIENCE.end && !members.is_settled(now)) {
            return false;
        }
        if age >= START_PATIENCE.end && !missing {
            // Those that watch know what this one lacks, and do not give it.
            return true;
        }
    }
    *missing_since = missing.then(|| missing_since.unwrap_or(now));
    let missing_for = missing_since.map_or(time::Duration::ZERO, |since| now.since(since));
    members.should_watch(now, &own, missing_for, failed)
}

/// Whether enough others watch for this member to leave it to them.
fn others_watch(context: &context::InstanceContext) -> bool {
    let own = context.own_beat();
    let missing_for = time::Duration::ZERO;
    let needed = context.members.borrow().should_watch(context.now(), &own, missing_for, false);
    context.fleet.borrow().is_known() && !needed
}

/// Follows the store until it fails, or until enough others do (`Ok`).
async fn follow(
    context: &context::InstanceContext,
    connection: &mut document_call::DocumentConnection,
) -> Result<(), String> {
    let mut revision = context.watched.get();
    let listed = context.fleet.borrow().revision();
    let known = context.fleet.borrow().is_known();
    if !known || listed == 0 {
        revision = read_all(context, connection).await?;
        context.watching.set(true);
        regained(context);
    } else if revision == 0 {
        // The list is a member's: routes of before its revision would not come by the watch.
        revision = listed;
        read_routes(context).await?;
    }
    context.watching.set(true);
    loop {
        if answers(context) && others_watch(context) {
            return Ok(());
        }
        context.watched.set(revision);
        let asked = context.now();
        let body = match store_watch::watch(context, connection, revision).await {
            Ok(body) => body,
            Err(document_call::CallError::Status { status: 410 }) => {
                log::info!(revision; "store.history_gone");
                revision = read_all(context, connection).await?;
                regained(context);
                continue;
            }
            Err(error) => return Err(error.to_string()),
        };
        let (changes, next) =
            context.border.read_changes(&body).map_err(|error| error.to_string())?;
        regained(context);
        let quiet = changes.is_empty();
        let now = context.now();
        if !quiet {
            context.fleet.borrow_mut().apply(now, changes, next);
            heartbeats::announce(context);
        }
        revision = revision.max(next);
        if quiet {
            context.refute_list(asked);
        } else {
            monoio::time::sleep(CHANGE_PAUSE).await;
        }
    }
}

/// Notes that the store does not answer; whether that is new.
pub(crate) fn lose(context: &context::InstanceContext, error: &str) -> bool {
    let since = context.store_away.get().unwrap_or(context.now());
    context.store_away.set(Some(since));
    let lost = context.store.replace(context::StoreContact::Away) != context::StoreContact::Away;
    if lost {
        log::warn!(error; "store.lost");
        heartbeats::announce(context);
    }
    lost
}

fn regained(context: &context::InstanceContext) {
    let now = context.now();
    if let Some(since) = context.store_away.take() {
        let away_ms = now.since(since).as_millis() as u64;
        log::info!(away_ms; "store.regained");
        context.fleet.borrow_mut().source_returned(now);
    }
    context.store_heard.set(now);
    let before = context.store.replace(context::StoreContact::Answering);
    if before == context::StoreContact::Away && context.watching.get() {
        // The others count on this one from now on.
        heartbeats::announce(context);
    }
}

async fn read_all(
    context: &context::InstanceContext,
    connection: &mut document_call::DocumentConnection,
) -> Result<u64, String> {
    let border = &context.border;
    let text = |error: document_call::CallError| error.to_string();
    let mut first_revision = None;
    let mut documents = Vec::new();
    let mut after = None;
    for _ in 0..MAX_PAGES {
        let path = border.upstreams_path(after.as_deref());
        let body = connection.get(&path, READ_TIME).await.map_err(text)?;
        let page = border.read_page(&body).map_err(|error| error.to_string())?;
        // Pages are no snapshot: changes behind the first one are watched again.
        first_revision.get_or_insert(page.revision);
        for (key, value) in page.items {
            if let border::StoreKey::Upstream(name) = border.key(&key) {
                documents.push((name, value));
            }
        }
        after = page.next;
        if after.is_none() {
            break;
        }
    }
    let revision = first_revision.unwrap_or_default();
    let routes = match connection.get(&border.routes_path(), READ_TIME).await {
        Ok(body) => border.read_page(&body).map_err(|error| error.to_string())?.items,
        // Nothing has been published yet; the watch tells when it is.
        Err(document_call::CallError::Status { status: 404 }) => Vec::new(),
        Err(error) => return Err(text(error)),
    };
    let now = context.now();
    let mut fleet = context.fleet.borrow_mut();
    for (_, value) in routes {
        fleet.put_routes(value, "store");
    }
    fleet.replace_upstreams(now, documents, revision, "store");
    Ok(revision)
}

/// Reads the routes from the store.
pub(crate) async fn read_routes(context: &context::InstanceContext) -> Result<(), String> {
    let mut connection = document_call::DocumentConnection::new(context.settings().store);
    let body = connection.get(&context.border.routes_path(), READ_TIME).await;
    let body = body.map_err(|error| error.to_string())?;
    let page = context.border.read_page(&body).map_err(|error| error.to_string())?;
    let mut fleet = context.fleet.borrow_mut();
    page.items.into_iter().for_each(|(_, text)| fleet.put_routes(text, "store"));
    Ok(())
}

/// Whether the store answers this process, as far as is known.
pub(crate) fn answers(context: &context::InstanceContext) -> bool {
    context.store.get() == context::StoreContact::Answering
}
