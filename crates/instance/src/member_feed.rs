//! Routes and the list of upstreams from members that know newer ones.

use std::{net, rc, time};

use rand::RngExt as _;
use slipturn_core::{document_source, ids, member_heartbeat, units};

use crate::{
    context, document_answers, document_call, heartbeats, packed_bytes, store_read, store_sight,
};

/// Time for a member's routes: 100 KB, packed, take 0.04 s on a link of 20 Mbit/s, eight at once 0.3 s.
/// One that is silent must leave time for others and the store.
const ROUTES_TIME: time::Duration = time::Duration::from_millis(600);
/// Time for a member's list.
const LIST_TIME: time::Duration = time::Duration::from_millis(1_500);
/// Timeout for both at a start, when other members have them as well.
const START_TIME: time::Duration = time::Duration::from_millis(500);
/// Pause after a member that is busy giving documents to others, with its spread.
const BUSY_PAUSE: std::ops::Range<f64> = 0.05..0.15;
/// Members informed by one that has received a large document from another: enough that the number of those who
/// are known to have it grows as fast as it can be sent.
const TOLD_MEMBERS: usize = 3;
/// Path of a member's documents.
pub const DOCUMENTS_PATH: &str = "/documents";

/// Follows newer routes that a member knows of: from members that have them, or from the store.
pub async fn follow_routes(context: rc::Rc<context::InstanceContext>) {
    let mut source = document_source::DocumentSource::new(rand::random());
    // A member that did not give them when it was last asked.
    let mut failing = None;
    loop {
        monoio::time::sleep(store_sight::look_interval(&context)).await;
        // At a start one call brings both documents.
        if store_sight::own_watch_leads(&context) || !context.fleet.borrow().is_listed() {
            continue;
        }
        let Some((member, address)) = routes_source(&context, failing.as_ref()) else {
            source.note_complete();
            continue;
        };
        let now = context.now();
        match source.choose(now) {
            document_source::DocumentOrigin::Member => {
                let copied = adopt_routes(&context, &member, address).await;
                failing = (copied != CopyOutcome::Taken).then_some(member);
                match copied {
                    // In a storm of changes the next may be missing already.
                    CopyOutcome::Taken => source.note_complete(),
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

/// Takes in that the store, asked at `asked`, has no newer routes than this process.
fn refute_routes(context: &context::InstanceContext, asked: units::MonoTime) {
    let own = context.versions().routes;
    context.belief.borrow_mut().refute_routes(own, asked);
}

/// What came of asking a member for what it has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CopyOutcome {
    /// Its documents are taken over, as far as they are newer.
    Taken,
    /// It did not give them.
    Missing,
    /// What it gave is of no use.
    Damaged,
}

/// Takes over a member's routes.
async fn adopt_routes(
    context: &context::InstanceContext,
    member: &ids::InstanceId,
    address: net::SocketAddr,
) -> CopyOutcome {
    let known = context.fleet.borrow().routes.version;
    let path = format!("{DOCUMENTS_PATH}?routes={known}");
    let copied = adopt_from(context, member, address, &path, ROUTES_TIME).await;
    let newer = context.fleet.borrow().routes.version > known;
    if copied == CopyOutcome::Taken && !newer { CopyOutcome::Missing } else { copied }
}

/// Follows the list of upstreams through members while others watch the store, or while it is
/// silent.
pub async fn follow_list(context: rc::Rc<context::InstanceContext>) {
    let mut behind_since = None;
    loop {
        monoio::time::sleep(store_sight::look_interval(&context)).await;
        store_sight::note_lag(&context, &mut behind_since);
        if store_sight::own_watch_leads(&context) {
            continue;
        }
        let listed = context.fleet.borrow().is_listed();
        let source = if listed { list_source(&context) } else { any_source(&context) };
        let Some((member, address)) = source else {
            continue;
        };
        let routes = if listed { u64::MAX } else { context.versions().routes };
        let list = context.fleet.borrow().wanted_from();
        let path = format!("{DOCUMENTS_PATH}?routes={routes}&list={list}");
        let limit = if listed { LIST_TIME } else { START_TIME };
        adopt_from(&context, &member, address, &path, limit).await;
    }
}

/// Takes over what a member knows.
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
                let pause = rand::rng().random_range(BUSY_PAUSE);
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
        heartbeats::announce_to_some(context, TOLD_MEMBERS);
    }
    CopyOutcome::Taken
}

fn adopt(
    context: &context::InstanceContext,
    body: &[u8],
    member: &ids::InstanceId,
) -> Result<(), packed_bytes::PackError> {
    let documents = document_answers::decode(body)?;
    context.fleet.borrow_mut().adopt(context.now(), documents, member.as_str())
}

/// A member, drawn, that has newer routes; another than `failing`, if there is one.
fn routes_source(
    context: &context::InstanceContext,
    failing: Option<&ids::InstanceId>,
) -> Option<(ids::InstanceId, net::SocketAddr)> {
    let settings = context.settings();
    let known = context.belief.borrow().known(context.versions()).routes;
    let members = context.members.borrow();
    let mut sources = members.routes_sources(context.now(), known, &settings.data_center);
    if sources.len() > 1 {
        sources.retain(|member| Some(&member.name) != failing);
    }
    pick_source(&sources, settings.listen.members.port())
}

fn list_source(context: &context::InstanceContext) -> Option<(ids::InstanceId, net::SocketAddr)> {
    let settings = context.settings();
    let known = context.belief.borrow().known(context.versions()).list;
    let members = context.members.borrow();
    let sources = members.list_sources(context.now(), known, &settings.data_center);
    pick_source(&sources, settings.listen.members.port())
}

/// A random member that has both documents, for a starting process.
fn any_source(context: &context::InstanceContext) -> Option<(ids::InstanceId, net::SocketAddr)> {
    let settings = context.settings();
    let members = context.members.borrow();
    let sources = members.any_sources(context.now(), &settings.data_center);
    pick_source(&sources, settings.listen.members.port())
}

fn pick_source(
    sources: &[&member_heartbeat::MemberHeartbeat],
    port: u16,
) -> Option<(ids::InstanceId, net::SocketAddr)> {
    let drawn = rand::rng().random_range(0..sources.len().max(1));
    let member = sources.get(drawn)?;
    let address = net::SocketAddrV4::new(*member.address.ip(), port);
    Some((member.name.clone(), net::SocketAddr::V4(address)))
}
