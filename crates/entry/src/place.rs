//! Finds a place on an engine for an attempt and holds it until the attempt ends.
//!
//! A place is the assignment of an attempt to an engine, or to each engine of a group. Usually the
//! engine's scheduler grants it with a lease.

use std::{rc, time};

use futures::future;
use slipturn_core::{decision, engine_directory, entry_router, ids, placement, refusal, units};

use crate::{event, group_place, request_context, upstream_call::EngineCommands as _};

/// Largest number of rounds, each with newly selected candidates, before the search for a place
/// ends with a refusal.
const MAX_ROUNDS: usize = 3;
/// Pause before a failed release of a lease is retried. There is only one retry.
const RELEASE_PAUSE: time::Duration = time::Duration::from_millis(300);

/// Request for a place for one attempt.
pub struct PlaceRequest {
    /// Attempt that needs the place.
    pub attempt: ids::AttemptId,
    /// Routing data of the request: API key, model, prompt length and requested limits.
    pub plan_query: entry_router::PlanQuery,
    /// Settings and output limit that the router resolved for the request.
    pub grant: entry_router::RequestGrant,
    /// Hash of the prompt's prefix, by which routing finds an engine that may have it cached.
    pub prefix: u64,
    /// Estimated length of the prompt's prefix.
    pub prefix_tokens: units::TokenCount,
    /// Engines used by earlier attempts, which are left out of the candidates.
    pub tried: Vec<ids::EngineId>,
    /// When the answer must be complete.
    pub deadline: units::MonoTime,
}

impl PlaceRequest {
    /// Memory needed for the prompt and the output together, on one engine or over all members of a
    /// group, in tokens.
    pub(crate) fn required_memory(&self) -> units::TokenCount {
        self.plan_query.prompt + self.grant.output
    }

    /// Builds the request to the scheduler of `target` for an engine that serves the prompt alone.
    /// For a member of a group, the caller adapts `memory`, `grouped` and `queue_deadline`.
    pub(crate) fn capacity_request(
        &self,
        context: &request_context::EntryContext,
        target: &engine_directory::EngineTarget,
    ) -> placement::CapacityRequest {
        let cached = if target.warm { self.prefix_tokens } else { units::TokenCount::ZERO };
        placement::CapacityRequest {
            attempt: self.attempt.clone(),
            entry: context.local.instance.clone(),
            boot: context.boot,
            customer: self.grant.settings.customer.clone(),
            weight: self.grant.settings.weight.value,
            prompt: self.plan_query.prompt,
            cached: cached.min(self.plan_query.prompt),
            output: self.grant.output,
            memory: self.required_memory(),
            grouped: false,
            deadline: self.deadline,
            queue_deadline: self.deadline,
        }
    }
}

/// A place on one engine or on each engine of a group. Dropping it releases its leases.
pub struct HeldPlace {
    context: rc::Rc<request_context::EntryContext>,
    attempt: ids::AttemptId,
    /// Engines of the place. The first one sends the answer, the others only reserve memory.
    pub members: Vec<engine_directory::EngineTarget>,
    /// Memory needed on each member of a group; zero for a single engine.
    pub member_memory: units::TokenCount,
    /// Whether schedulers may have granted leases for the place, which are then released on drop.
    /// False if the engine was chosen without a lease.
    leased: bool,
    /// Priority assigned by the first member's scheduler; `None` without a lease.
    pub priority: Option<u8>,
    /// Candidates, offers and choice, for the decision record.
    pub row: decision::AttemptRow,
}

impl HeldPlace {
    /// The engine that sends the answer.
    pub fn engine(&self) -> &engine_directory::EngineTarget {
        &self.members[0]
    }

    /// Frees the memory that the other members of a group have reserved. Called when the answer is
    /// complete, or when the attempt certainly did not run.
    ///
    /// The leases must be released only afterwards, because a ledger counts the memory as free as
    /// soon as its lease is released.
    pub async fn free_members(&self) {
        let others = self.members.iter().skip(1);
        let freeing =
            others.map(|member| self.context.pool.cancel(member.address, self.attempt.clone()));
        for freed in future::join_all(freeing).await {
            // If the cancel request fails, the engine continues to report the attempt, and its
            // scheduler cancels it.
            if let Err(fault) = freed {
                log::debug!("cannot free reserved memory: {}", fault.text);
            }
        }
    }

    /// Cancels the attempt on all members in the background.
    pub fn cancel(&self) {
        for member in &self.members {
            let context = rc::Rc::clone(&self.context);
            let (address, attempt) = (member.address, self.attempt.clone());
            monoio::spawn(async move {
                // If the cancel request fails, the engine continues to report the attempt, and its
                // scheduler cancels it.
                if let Err(fault) = context.pool.cancel(address, attempt).await {
                    log::debug!("cannot cancel an attempt: {}", fault.text);
                }
            });
        }
    }
}

impl Drop for HeldPlace {
    fn drop(&mut self) {
        for member in &self.members {
            let ended = event::EntryEvent::Ended(self.attempt.clone(), member.engine.clone());
            self.context.events.send(ended);
            if self.leased {
                let context = rc::Rc::clone(&self.context);
                monoio::spawn(release_lease(context, member.clone(), self.attempt.clone()));
            }
        }
    }
}

/// Finds a place and waits for it at most until the request's deadline.
///
/// # Errors
///
/// If no candidate in any round grants a place, returns the refusal with the shortest retry delay.
pub async fn find(
    context: &rc::Rc<request_context::EntryContext>,
    place_request: &PlaceRequest,
) -> Result<HeldPlace, refusal::RequestRefusal> {
    let mut tried = place_request.tried.clone();
    let mut refused = None;
    for _ in 0..MAX_ROUNDS {
        let targets = candidates(context, place_request, &tried).await;
        if targets.is_empty() {
            break;
        }
        if needs_group(place_request, &targets) {
            return group_place::find(context, place_request).await;
        }
        match try_candidates(context, place_request, targets, &mut tried).await {
            Ok(place) => return Ok(place),
            Err(refusal) => refused = Some(shorter_wait(refused, refusal)),
        }
    }
    Err(refused.unwrap_or_else(no_engine))
}

async fn candidates(
    context: &request_context::EntryContext,
    place_request: &PlaceRequest,
    tried: &[ids::EngineId],
) -> Vec<engine_directory::EngineTarget> {
    let to_event = |answer| {
        let tree = rc::Rc::clone(&place_request.grant.fleet);
        let plan_query = place_request.plan_query.clone();
        event::EntryEvent::Candidates(
            plan_query,
            tree,
            place_request.prefix,
            tried.to_vec(),
            answer,
        )
    };
    context.events.ask(to_event).await
}

/// Whether prompt and output together need more memory than any of the candidates offers. The share
/// `headroom` of an engine's memory is kept free and does not count.
fn needs_group(place_request: &PlaceRequest, targets: &[engine_directory::EngineTarget]) -> bool {
    let headroom = place_request.grant.fleet.fleet.headroom.factor();
    let largest = targets.iter().map(|target| target.memory.scale(1.0 - headroom)).max();
    largest.is_some_and(|largest| place_request.required_memory() > largest)
}

async fn try_candidates(
    context: &rc::Rc<request_context::EntryContext>,
    place_request: &PlaceRequest,
    targets: Vec<engine_directory::EngineTarget>,
    tried: &mut Vec<ids::EngineId>,
) -> Result<HeldPlace, refusal::RequestRefusal> {
    let wants_offers = context.events.ask(event::EntryEvent::WantsOffers).await;
    if !wants_offers {
        return choose_without_lease(context, place_request, targets, tried).await;
    }
    let outcomes = ask_offers(context, place_request, &targets).await;
    let rows = targets.iter().zip(&outcomes).map(offer_row).collect();
    let offers: Vec<_> = outcomes.iter().map(OfferOutcome::offer).collect();
    let to_event = |answer| event::EntryEvent::Choose(targets.clone(), offers, answer);
    let Some(choice) = context.events.ask(to_event).await else {
        return handle_no_choice(context, place_request, targets, outcomes, rows, tried).await;
    };
    let target = targets[choice.index].clone();
    tried.push(target.engine.clone());
    acquire(context, place_request, target, rows, choice.reason.to_owned()).await
}

/// Result of asking one scheduler for an offer.
enum OfferOutcome {
    Offered(placement::EngineOffer),
    Refused(refusal::RequestRefusal),
    /// The scheduler could not be reached, with the text of the error.
    Unreachable(String),
}

impl OfferOutcome {
    fn offer(&self) -> Option<placement::EngineOffer> {
        match self {
            Self::Offered(offer) => Some(*offer),
            Self::Refused(_) | Self::Unreachable(_) => None,
        }
    }
}

async fn ask_offers(
    context: &request_context::EntryContext,
    place_request: &PlaceRequest,
    targets: &[engine_directory::EngineTarget],
) -> Vec<OfferOutcome> {
    let now = context.clock.now();
    let queries = targets.iter().map(|target| async move {
        let request = place_request.capacity_request(context, target);
        match context.links.link(target.scheduler).offer(&target.engine, &request, now).await {
            Ok(Ok(offer)) => OfferOutcome::Offered(offer),
            Ok(Err(refusal)) => OfferOutcome::Refused(refusal),
            Err(error) => OfferOutcome::Unreachable(error.to_string()),
        }
    });
    future::join_all(queries).await
}

fn offer_row(
    (target, outcome): (&engine_directory::EngineTarget, &OfferOutcome),
) -> decision::CandidateRow {
    let offer = match outcome {
        OfferOutcome::Offered(offer) => format!(
            "first token in {:?}, {} free, {} running, {} waiting{}",
            offer.first_token,
            offer.free,
            offer.running,
            offer.waiting,
            if target.warm { ", prefix cached" } else { "" },
        ),
        OfferOutcome::Refused(refusal) => format!("refused: {}", refusal.message),
        OfferOutcome::Unreachable(text) => format!("no answer: {text}"),
    };
    decision::CandidateRow { name: target.engine.to_string(), offer }
}

/// Handles a round in which no candidate was chosen from the schedulers' offers.
///
/// An engine whose scheduler is unreachable is used without a lease if this entry has no other
/// attempt on it. If there is no such engine, returns the refusal with the shortest retry delay.
async fn handle_no_choice(
    context: &rc::Rc<request_context::EntryContext>,
    place_request: &PlaceRequest,
    targets: Vec<engine_directory::EngineTarget>,
    outcomes: Vec<OfferOutcome>,
    rows: Vec<decision::CandidateRow>,
    tried: &mut Vec<ids::EngineId>,
) -> Result<HeldPlace, refusal::RequestRefusal> {
    let mut refused = None;
    for (target, outcome) in targets.into_iter().zip(outcomes) {
        tried.push(target.engine.clone());
        match outcome {
            OfferOutcome::Refused(refusal) => refused = Some(shorter_wait(refused, refusal)),
            OfferOutcome::Offered(_) => {}
            OfferOutcome::Unreachable(_) => {
                let to_event =
                    |answer| event::EntryEvent::MaySendUnleased(target.engine.clone(), answer);
                if context.events.ask(to_event).await {
                    let reason = "its scheduler is out of reach: direct share".to_owned();
                    return Ok(create_held_place(
                        context,
                        place_request,
                        vec![target],
                        false,
                        rows,
                        reason,
                    ));
                }
            }
        }
    }
    Err(refused.unwrap_or_else(no_engine))
}

/// Chooses a candidate without asking schedulers, as the baseline routing policies do. The request
/// then waits in the engine's own queue.
async fn choose_without_lease(
    context: &rc::Rc<request_context::EntryContext>,
    place_request: &PlaceRequest,
    targets: Vec<engine_directory::EngineTarget>,
    tried: &mut Vec<ids::EngineId>,
) -> Result<HeldPlace, refusal::RequestRefusal> {
    let offers = vec![None; targets.len()];
    let to_event = |answer| event::EntryEvent::Choose(targets.clone(), offers, answer);
    let choice = context.events.ask(to_event).await.ok_or_else(no_engine)?;
    let target = targets[choice.index].clone();
    tried.push(target.engine.clone());
    Ok(create_held_place(
        context,
        place_request,
        vec![target],
        false,
        Vec::new(),
        choice.reason.to_owned(),
    ))
}

/// Acquires a lease from the scheduler of the chosen engine.
async fn acquire(
    context: &rc::Rc<request_context::EntryContext>,
    place_request: &PlaceRequest,
    target: engine_directory::EngineTarget,
    rows: Vec<decision::CandidateRow>,
    reason: String,
) -> Result<HeldPlace, refusal::RequestRefusal> {
    let started = context.clock.now();
    let request = place_request.capacity_request(context, &target);
    let link = context.links.link(target.scheduler);
    match link.acquire(&target.engine, &request, started).await {
        Ok(Ok(priority)) => {
            let mut place =
                create_held_place(context, place_request, vec![target], true, rows, reason);
            place.priority = Some(priority);
            place.row.waited_ms = millis_since(context, started);
            Ok(place)
        }
        Ok(Err(refusal)) => Err(refusal),
        Err(error) => {
            // The scheduler may have granted the lease although its answer did not arrive, so the
            // lease is released.
            let (attempt, context) = (place_request.attempt.clone(), rc::Rc::clone(context));
            monoio::spawn(release_lease(context, target, attempt));
            let code = refusal::RefusalCode::NoUpstream;
            Err(refusal::RequestRefusal::not_run(code, error.to_string()))
        }
    }
}

/// Creates a held place on `members` and counts the attempt as running on each of them.
pub(crate) fn create_held_place(
    context: &rc::Rc<request_context::EntryContext>,
    place_request: &PlaceRequest,
    members: Vec<engine_directory::EngineTarget>,
    leased: bool,
    candidates: Vec<decision::CandidateRow>,
    reason: String,
) -> HeldPlace {
    let row = decision::AttemptRow {
        attempt: place_request.attempt.clone(),
        target: String::new(),
        candidates,
        reason,
        waited_ms: 0,
        end: None,
    };
    let mut place = HeldPlace {
        context: rc::Rc::clone(context),
        attempt: place_request.attempt.clone(),
        members: Vec::new(),
        member_memory: units::TokenCount::ZERO,
        leased,
        priority: None,
        row,
    };
    for member in members {
        let request = place_request.capacity_request(context, &member);
        add_member(context, place_request, &mut place, member, request);
    }
    place
}

/// Adds an engine to a place and counts the attempt as running on it.
pub(crate) fn add_member(
    context: &request_context::EntryContext,
    place_request: &PlaceRequest,
    place: &mut HeldPlace,
    member: engine_directory::EngineTarget,
    request: placement::CapacityRequest,
) {
    if !place.row.target.is_empty() {
        place.row.target.push('+');
    }
    place.row.target.push_str(member.engine.as_str());
    let engine = member.engine.clone();
    let running = event::RunningPlace { engine, request, prefix: place_request.prefix };
    context.events.send(event::EntryEvent::Started(running));
    place.members.push(member);
}

/// Releases the lease of an attempt, with one retry.
async fn release_lease(
    context: rc::Rc<request_context::EntryContext>,
    target: engine_directory::EngineTarget,
    attempt: ids::AttemptId,
) {
    let link = context.links.link(target.scheduler);
    if link.release(&target.engine, &attempt).await.is_ok() {
        return;
    }
    // If the retry fails too, the lease ends with a later renewal by the entry, which no longer
    // names the attempt, or expires without renewal.
    monoio::time::sleep(RELEASE_PAUSE).await;
    if let Err(error) = link.release(&target.engine, &attempt).await {
        log::debug!("cannot release a lease: {error}");
    }
}

/// Returns the refusal with the shorter retry delay; one without a delay counts as the longest.
fn shorter_wait(
    earlier: Option<refusal::RequestRefusal>,
    later: refusal::RequestRefusal,
) -> refusal::RequestRefusal {
    let wait =
        |refusal: &refusal::RequestRefusal| refusal.retry_after.unwrap_or(time::Duration::MAX);
    match earlier {
        Some(earlier) if wait(&earlier) <= wait(&later) => earlier,
        _ => later,
    }
}

fn no_engine() -> refusal::RequestRefusal {
    let code = refusal::RefusalCode::NoUpstream;
    refusal::RequestRefusal::not_run(code, "no engine takes this request now")
        .retry_after(time::Duration::from_secs(1))
}

/// Whole milliseconds since `started`, the unit of waits in decision records.
pub(crate) fn millis_since(
    context: &request_context::EntryContext,
    started: units::MonoTime,
) -> u64 {
    units::whole_millis(context.clock.now().since(started))
}
