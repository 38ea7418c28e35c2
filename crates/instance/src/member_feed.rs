//! Fetches newer routes and lists of upstreams from other members.

use std::{net, rc, time};

use rand::RngExt as _;
use slipturn_core::{document_source, ids, member_heartbeat, units};

use crate::{
    compressed_bytes, context, document_answers, document_call, heartbeats, store_contact,
    store_read,
};

/// Timeout for fetching routes from a member: 100 KB, compressed, take 0.04 s on a link of 20 Mbit/s, and eight such
/// answers at once 0.3 s. After a silent member there must be time to fetch them from other members or the store.
const ROUTES_TIMEOUT: time::Duration = time::Duration::from_millis(600);
/// Timeout for fetching the list of upstreams from a member.
const LIST_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Timeout for fetching routes and list from a member at the start of the process, when other members can provide them
/// as well.
const START_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Range, in seconds, of the random pause after a member has refused because it is sending documents to others.
const BUSY_PAUSE_S: std::ops::Range<f64> = 0.05..0.15;
/// Number of members to which a process announces that it has received a large document: enough that the number of
/// members known to have the document grows as fast as it can be sent.
const INFORMED_MEMBERS: usize = 3;
/// Path at which a member serves its documents.
pub const DOCUMENTS_PATH: &str = "/documents";

/// Fetches the routes whenever a member has newer ones: from such a member, or from the store.
pub async fn follow_routes(context: rc::Rc<context::InstanceContext>) {
    let mut source = document_source::DocumentSource::new(rand::random());
    // The member of the last fetch, if it did not provide the routes.
    let mut last_failed = None;
    loop {
        monoio::time::sleep(store_contact::poll_interval(&context)).await;
        // At the start of the process `follow_list` fetches the routes together with the list.
        if store_contact::trusts_own_watch(&context) || !context.fleet.borrow().has_list() {
            continue;
        }
        let Some((member, address)) = routes_source(&context, last_failed.as_ref()) else {
            source.note_complete();
            continue;
        };
        let now = context.now();
        match source.choose(now) {
            document_source::DocumentOrigin::Member => {
                let outcome = adopt_routes(&context, &member, address).await;
                last_failed = (outcome != CopyOutcome::Adopted).then_some(member);
                match outcome {
                    // The time for which only members are queried starts again, even if this process already lacks a
                    // newer version because changes follow each other quickly.
                    CopyOutcome::Adopted => source.note_complete(),
                    CopyOutcome::Missing => {}
                    CopyOutcome::Damaged => source.note_damaged_copy(),
                }
            }
            document_source::DocumentOrigin::Store => match store_read::read_routes(&context).await
            {
                Ok(()) => {
                    source.note_store_answer();
                    refute_routes(&context, now);
                }
                Err(error) => {
                    log::info!(error; "store.routes_failed");
                    source.note_store_failure(context.now());
                }
            },
        }
    }
}

/// Records that the store, read at `requested_at`, had no newer routes than this process has now: a newer version that
/// members claimed by then no longer counts as missing.
fn refute_routes(context: &context::InstanceContext, requested_at: units::MonoTime) {
    let own = context.versions().routes;
    context.store_tracker.borrow_mut().refute_routes(own, requested_at);
}

/// Outcome of fetching documents from a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CopyOutcome {
    /// The documents were adopted where they are newer.
    Adopted,
    /// The member did not provide the documents.
    Missing,
    /// The documents are damaged, or do not apply to those in force.
    Damaged,
}

/// Fetches and adopts a member's routes; returns [`CopyOutcome::Missing`] also if the member has no newer routes.
async fn adopt_routes(
    context: &context::InstanceContext,
    member: &ids::InstanceId,
    address: net::SocketAddr,
) -> CopyOutcome {
    let known = context.fleet.borrow().routes.version;
    let path = format!("{DOCUMENTS_PATH}?routes={known}");
    let outcome = adopt_from(context, member, address, &path, ROUTES_TIMEOUT).await;
    let newer = context.fleet.borrow().routes.version > known;
    if outcome == CopyOutcome::Adopted && !newer { CopyOutcome::Missing } else { outcome }
}

/// Fetches the list from members while other members watch the store for this process, or while the store is silent.
pub async fn follow_list(context: rc::Rc<context::InstanceContext>) {
    let mut behind_since = None;
    loop {
        monoio::time::sleep(store_contact::poll_interval(&context)).await;
        store_contact::log_lag(&context, &mut behind_since);
        if store_contact::trusts_own_watch(&context) {
            continue;
        }
        let has_list = context.fleet.borrow().has_list();
        let source = if has_list { list_source(&context) } else { any_source(&context) };
        let Some((member, address)) = source else {
            continue;
        };
        let routes = if has_list { u64::MAX } else { context.versions().routes };
        let list = context.fleet.borrow().sync_revision();
        let path = format!("{DOCUMENTS_PATH}?routes={routes}&list={list}");
        let limit = if has_list { LIST_TIMEOUT } else { START_TIMEOUT };
        adopt_from(&context, &member, address, &path, limit).await;
    }
}

/// Fetches and adopts the documents at `path` of a member; waits a moment if the member is busy.
async fn adopt_from(
    context: &context::InstanceContext,
    member: &ids::InstanceId,
    address: net::SocketAddr,
    path: &str,
    limit: time::Duration,
) -> CopyOutcome {
    let mut connection = document_call::DocumentConnection::new(address);
    let body = match connection.get(path, limit).await {
        Ok(body) => body,
        Err(error) => {
            log::info!(member:%, error:%; "member.documents_failed");
            if matches!(error, document_call::CallError::Status { status: 503 }) {
                let pause = rand::rng().random_range(BUSY_PAUSE_S);
                monoio::time::sleep(time::Duration::from_secs_f64(pause)).await;
            }
            return CopyOutcome::Missing;
        }
    };
    if let Err(error) = adopt(context, &body, member) {
        log::warn!(member:%, error:%; "member.documents_damaged");
        return CopyOutcome::Damaged;
    }
    if document_answers::is_large(&body) {
        heartbeats::announce_to_sample(context, INFORMED_MEMBERS);
    }
    CopyOutcome::Adopted
}

/// Decodes and adopts documents of a member.
fn adopt(
    context: &context::InstanceContext,
    body: &[u8],
    member: &ids::InstanceId,
) -> Result<(), compressed_bytes::CompressionError> {
    let documents = document_answers::decode(body)?;
    context.fleet.borrow_mut().adopt(context.now(), documents, member.as_str())
}

/// A random member with newer routes; another one than `last_failed`, if there are several.
fn routes_source(
    context: &context::InstanceContext,
    last_failed: Option<&ids::InstanceId>,
) -> Option<(ids::InstanceId, net::SocketAddr)> {
    let settings = context.settings();
    let known = context.store_tracker.borrow().known(context.versions()).routes;
    let members = context.members.borrow();
    let mut sources = members.routes_sources(context.now(), known, &settings.data_center);
    if sources.len() > 1 {
        sources.retain(|member| Some(&member.name) != last_failed);
    }
    pick_source(&sources, settings.listen.members.port())
}

/// A random member with a newer list.
fn list_source(context: &context::InstanceContext) -> Option<(ids::InstanceId, net::SocketAddr)> {
    let settings = context.settings();
    let known = context.store_tracker.borrow().known(context.versions()).list;
    let members = context.members.borrow();
    let sources = members.list_sources(context.now(), known, &settings.data_center);
    pick_source(&sources, settings.listen.members.port())
}

/// A random member that has routes and a list, for a process that has just started.
fn any_source(context: &context::InstanceContext) -> Option<(ids::InstanceId, net::SocketAddr)> {
    let settings = context.settings();
    let members = context.members.borrow();
    let sources = members.any_sources(context.now(), &settings.data_center);
    pick_source(&sources, settings.listen.members.port())
}

/// Picks one of `sources` at random; returns its name and the address of its documents.
fn pick_source(
    sources: &[&member_heartbeat::MemberHeartbeat],
    port: u16,
) -> Option<(ids::InstanceId, net::SocketAddr)> {
    let index = rand::rng().random_range(0..sources.len().max(1));
    let member = sources.get(index)?;
    let address = net::SocketAddrV4::new(*member.address.ip(), port);
    Some((member.name.clone(), net::SocketAddr::V4(address)))
}
