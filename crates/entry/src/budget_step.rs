//! Charging of a request's tokens to its customer's budget.

use std::net;

use futures::channel::oneshot;
use slipturn_core::{budget, decision, entry_router, refusal, settings_resolve, units};

use crate::{event, request_context};

/// Takes `want` tokens for a request from the portion of the customer's budget that this entry has
/// drawn in advance.
///
/// If the portion doesn't suffice, a new one is drawn from the owner of the customer's budget, the
/// instance that holds the customer's token bucket. While the owner is unreachable, this entry's
/// own share is used: the customer's limit divided by the number of live instances.
///
/// # Errors
///
/// Refuses with `OverBudget` if the budget is exhausted.
pub async fn take(
    context: &request_context::EntryContext,
    grant: &entry_router::RequestGrant,
    want: units::TokenCount,
    record: &mut decision::DecisionRecord,
) -> Result<(), refusal::RequestRefusal> {
    let settings = &grant.settings;
    let spend = |answer| event::EntryEvent::Spend(settings.clone(), want, answer);
    let mut step = context.events.ask(spend).await;
    if matches!(step, entry_router::BudgetStep::Draw { .. }) {
        let lock = context.draw_locks.for_customer(&settings.customer);
        let _guard = lock.lock().await;
        // Another request may have drawn a sufficient portion while this one waited for the lock.
        step = context.events.ask(spend).await;
        if let entry_router::BudgetStep::Draw { owner, limit, want } = step {
            step = draw(context, settings, (owner, limit, want), spend, record).await;
        }
    }
    match step {
        // `Draw` as the result of a draw means that the new portion expired before it was spent.
        // The owner has charged it to the customer, so the request proceeds.
        entry_router::BudgetStep::Spent | entry_router::BudgetStep::Draw { .. } => Ok(()),
        entry_router::BudgetStep::Empty(wait) => {
            let text = format!("customer {} has used its tokens", settings.customer);
            let code = refusal::RefusalCode::OverBudget;
            Err(refusal::RequestRefusal::not_run(code, text).retry_after(wait))
        }
    }
}

/// Draws a portion from the owner of the customer's budget and takes the request's tokens from it.
async fn draw(
    context: &request_context::EntryContext,
    settings: &settings_resolve::ResolvedSettings,
    (owner, limit, want): (net::SocketAddr, budget::BudgetLimit, units::TokenCount),
    spend: impl Fn(oneshot::Sender<entry_router::BudgetStep>) -> event::EntryEvent,
    record: &mut decision::DecisionRecord,
) -> entry_router::BudgetStep {
    let customer = &settings.customer;
    match context.links.link(owner).draw(customer, limit, want).await {
        Ok(Ok(portion)) => {
            record.notes.push(format!("budget: {} drawn from {owner}", portion.tokens));
            context.events.send(event::EntryEvent::Portion(customer.clone(), portion));
            context.events.ask(spend).await
        }
        Ok(Err(empty)) => entry_router::BudgetStep::Empty(empty.0),
        Err(error) => {
            record.notes.push(format!("budget: keeper out of reach ({error}), own part used"));
            let spend_own_share =
                |answer| event::EntryEvent::SpendOwnShare(settings.clone(), want, answer);
            context.events.ask(spend_own_share).await
        }
    }
}
