//! Reads of the platform's store: all that an instance must know, or the routes alone.

use std::time;

use crate::{border, context, document_call, fleet_state};

/// Time for the store's answer to a read.
const READ_TIME: time::Duration = time::Duration::from_millis(1_500);
/// Most pages of upstreams read at once.
const MAX_PAGES: usize = 64;

/// Reads routes and upstreams; the revision of the store that they belong to.
pub(crate) async fn read_all(
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
        for item in page.items {
            if let border::StoreKey::Upstream(name) = border.key(&item.key) {
                documents.push((name, fleet_state::text_of(item)));
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
    for item in routes {
        fleet.put_routes_item(item, "store");
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
    page.items.into_iter().for_each(|item| fleet.put_routes_item(item, "store"));
    Ok(())
}
