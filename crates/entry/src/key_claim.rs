//! Claims an idempotency key for one request, by the votes of the key's voters.

use std::net;

use futures::future;
use slipturn_core::{ids, key_vote, units};

use crate::{event, request_context};

/// Asks the voters and counts their answers.
///
/// The one that ranks first for the key is asked alone before the others: of two requests with one
/// key the later then learns of the earlier at once, and the votes are not split between them.
pub async fn claim(
    context: &request_context::EntryContext,
    key: &key_vote::ScopedKey,
    request: &ids::RequestId,
) -> key_vote::VoteVerdict {
    let asked = context.clock.now();
    let list = context.events.ask(|answer| event::EntryEvent::Voters(key.clone(), answer)).await;
    let mut tally = key_vote::VoteTally::new(asked);
    let (first, others) = list.voters.split_at(list.voters.len().min(1));
    ask_all(context, key, request, first, &mut tally).await;
    let mut next = 0;
    loop {
        let now = context.clock.now();
        let verdict = tally.verdict(now);
        let all = (tally.group() - 1).min(others.len());
        let decided = !matches!(verdict, key_vote::VoteVerdict::InDoubt { .. });
        // One vote may be enough by its own count of voters; it takes all of them to know.
        if next >= all
            || matches!(verdict, key_vote::VoteVerdict::Taken(_))
            || (decided && next > 0)
        {
            return verdict;
        }
        ask_all(context, key, request, &others[next..all], &mut tally).await;
        next = all;
    }
}

async fn ask_all(
    context: &request_context::EntryContext,
    key: &key_vote::ScopedKey,
    request: &ids::RequestId,
    voters: &[(ids::InstanceId, net::SocketAddr)],
    tally: &mut key_vote::VoteTally,
) {
    let asked = voters.iter().map(|(name, scheduler)| async move {
        (name, context.links.link(*scheduler).vote(key, request).await)
    });
    for (name, answer) in future::join_all(asked).await {
        match answer {
            Ok(answer) => tally.add(name, answer),
            Err(error) => log::debug!("vote: {error}"),
        }
    }
}

/// Whether a majority may still be used.
pub fn permits_run(verdict: &key_vote::VoteVerdict, now: units::MonoTime) -> bool {
    matches!(verdict, key_vote::VoteVerdict::Run { until } if now < *until)
}
