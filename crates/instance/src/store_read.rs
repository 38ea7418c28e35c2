//! Reads from the platform's store: routes, evacuations and upstreams together, or the routes alone.

use std::{collections, time};

use slipturn_core::{ids, store_revision};

use crate::{adapter, context, document_call, list_update, store_call};

/// Timeout of a call that reads one page, or the routes alone.
const READ_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Most pages read of one range of keys; items on further pages are left out.
const MAX_PAGES: usize = 64;

/// Items of a range of keys, and the revision of the store when the first page was read.
struct RangeRead {
    items: Vec<adapter::StoreItem>,
    revision: store_revision::StoreRevision,
}

/// Reads routes, evacuations and upstreams; returns the revision of the store from which to watch for changes.
pub(crate) async fn read_all(
    context: &context::InstanceContext,
    connection: &mut document_call::DocumentConnection,
) -> Result<store_revision::StoreRevision, String> {
    let adapter = &context.adapter;
    let upstreams = read_range(context, connection, |after| adapter.upstreams_path(after)).await?;
    let operator_documents =
        read_range(context, connection, |after| adapter.operator_path(after)).await?;
    if upstreams.revision.era != operator_documents.revision.era {
        return Err(format!(
            "the store was restored from a copy during a read, at {}",
            operator_documents.revision
        ));
    }
    // Pages are not a snapshot: the watch starts at the first page, and repeats changes that later pages contain.
    let revision = upstreams.revision;
    let documents = upstreams.items.into_iter().filter_map(|item| match adapter.key(&item.key) {
        adapter::StoreKey::Upstream(name) => Some((name, list_update::item_text(item))),
        _ => None,
    });
    let documents = documents.collect();
    let now = context.now();
    let mut fleet = context.fleet.borrow_mut();
    let mut evacuated = collections::BTreeSet::<ids::DataCenterId>::new();
    for item in operator_documents.items {
        match adapter.key(&item.key) {
            adapter::StoreKey::Routes => fleet.put_routes_item(item, "store"),
            adapter::StoreKey::Evacuation(data_center) => {
                evacuated.insert(data_center);
            }
            adapter::StoreKey::Upstream(_) | adapter::StoreKey::Other => {}
        }
    }
    fleet.replace_list(now, documents, evacuated, revision, "store");
    Ok(revision)
}

/// Reads all pages of a range; `path` returns the path of the page that starts after a key.
async fn read_range(
    context: &context::InstanceContext,
    connection: &mut document_call::DocumentConnection,
    path: impl Fn(Option<&str>) -> String,
) -> Result<RangeRead, String> {
    let mut items = Vec::new();
    let mut first_revision: Option<store_revision::StoreRevision> = None;
    let mut after = None;
    for _ in 0..MAX_PAGES {
        let answer =
            store_call::get(context, connection, &path(after.as_deref()), READ_TIMEOUT).await;
        let answer = answer.map_err(|error| error.to_string())?;
        let page = context.adapter.parse_page(&answer.body).map_err(|error| error.to_string())?;
        let revision = store_revision::StoreRevision::new(answer.era, page.revision);
        let first = *first_revision.get_or_insert(revision);
        if first.era != revision.era {
            return Err(format!("the store was restored from a copy during a read, at {revision}"));
        }
        items.extend(page.items);
        after = page.next;
        if after.is_none() {
            break;
        }
    }
    Ok(RangeRead { items, revision: first_revision.unwrap_or_default() })
}

/// Reads the routes alone from the store, and adopts them if they are newer.
pub(crate) async fn read_routes(context: &context::InstanceContext) -> Result<(), String> {
    let mut connection = document_call::DocumentConnection::new(context.settings().store);
    let path = context.adapter.routes_path();
    let answer = store_call::get(context, &mut connection, &path, READ_TIMEOUT).await;
    let answer = answer.map_err(|error| error.to_string())?;
    let page = context.adapter.parse_page(&answer.body).map_err(|error| error.to_string())?;
    let mut fleet = context.fleet.borrow_mut();
    page.items.into_iter().for_each(|item| fleet.put_routes_item(item, "store"));
    Ok(())
}
