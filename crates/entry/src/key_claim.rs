//! Claims an idempotency key for one request: the instances that rank highest for the key vote on
//! it.

use std::net;

use futures::future;
use slipturn_core::{ids, key_vote, units};

use crate::{event, request_context};

/// Asks the voters of a key, which are instances ranked by the key, for their votes and returns the
/// verdict.
///
/// The voter that ranks first for the key is asked before the others, alone. Of two requests with
/// the same key, the later one thus learns of the earlier one from its first query, and the votes
/// are not split between them.
pub async fn claim(
    context: &request_context::EntryContext,
    key: &key_vote::ScopedKey,
    request: &ids::RequestId,
) -> key_vote::VoteVerdict {
    let asked_at = context.clock.now();
    let list = context.events.ask(|answer| event::EntryEvent::Voters(key.clone(), answer)).await;
    let mut tally = key_vote::VoteTally::new(asked_at);
    let (first, others) = list.voters.split_at(list.voters.len().min(1));
    ask_all(context, key, request, first, &mut tally).await;
    let mut next = 0;
    loop {
        let now = context.clock.now();
        let verdict = tally.verdict(now);
        let end = (tally.group() - 1).min(others.len());
        let decided = !matches!(verdict, key_vote::VoteVerdict::InDoubt { .. });
        // A vote states how many voters the key has, as far as the voter knows. If the first voter
        // knows too few, its vote alone looks like a majority; only further votes can show the
        // larger number.
        if next >= end
            || matches!(verdict, key_vote::VoteVerdict::Taken(_))
            || (decided && next > 0)
        {
            return verdict;
        }
        ask_all(context, key, request, &others[next..end], &mut tally).await;
        next = end;
    }
}

/// Asks several voters at once and adds their answers to the tally. A voter that does not answer
/// adds nothing.
async fn ask_all(
    context: &request_context::EntryContext,
    key: &key_vote::ScopedKey,
    request: &ids::RequestId,
    voters: &[(ids::InstanceId, net::SocketAddr)],
    tally: &mut key_vote::VoteTally,
) {
    let queries = voters.iter().map(|(name, scheduler)| async move {
        (name, context.links.link(*scheduler).vote(key, request).await)
    });
    for (name, answer) in future::join_all(queries).await {
        match answer {
            Ok(answer) => tally.add(name, answer),
            Err(error) => log::debug!("vote request failed: {error}"),
        }
    }
}

/// Whether the verdict allows the call to be sent at `now`: a majority was granted and has not
/// expired.
pub fn permits_run(verdict: &key_vote::VoteVerdict, now: units::MonoTime) -> bool {
    matches!(verdict, key_vote::VoteVerdict::Run { until } if now < *until)
}
