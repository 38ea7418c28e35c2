//! Finds an attempt its place on an engine, and holds it for as long as the attempt lives.

use std::{rc, time};

use futures::future;
use slipturn_core::{decision, engine_directory, entry_router, ids, placement, refusal, units};

use crate::{event, group_place, request_context, upstream_call::EngineOrders as _};

/// Rounds of candidates before a request is refused.
const MAX_ROUNDS: usize = 3;
/// Pause before a release that failed is sent once more.
const RELEASE_PAUSE: time::Duration = time::Duration::from_millis(300);

/// What is asked for.
pub struct PlaceQuestion {
    /// The attempt.
    pub attempt: ids::AttemptId,
    /// What the router knows of the request.
    pub plan: entry_router::PlanQuestion,
    /// Settings in force for it.
    pub grant: entry_router::RequestGrant,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Estimated length of that prefix.
    pub prefix_tokens: units::TokenCount,
    /// Engines tried before.
    pub tried: Vec<ids::EngineId>,
    /// When the request must have finished.
    pub deadline: units::MonoTime,
}

impl PlaceQuestion {
    pub(crate) fn need(&self) -> units::TokenCount {
        self.plan.prompt + self.grant.output
    }

    pub(crate) fn request(
        &self,
        context: &request_context::EntryContext,
        target: &engine_directory::EngineTarget,
    ) -> placement::PlaceRequest {
        let cached = if target.warm { self.prefix_tokens } else { units::TokenCount::ZERO };
        placement::PlaceRequest {
            attempt: self.attempt.clone(),
            entry: context.local.instance.clone(),
            boot: context.boot,
            customer: self.grant.settings.customer.clone(),
            weight: self.grant.settings.weight.value,
            prompt: self.plan.prompt,
            cached: cached.min(self.plan.prompt),
            output: self.grant.output,
            memory: self.need(),
            grouped: false,
            deadline: self.deadline,
            patience: self.deadline,
        }
    }
}

/// A place on one engine, or on each of a group. Dropping it gives it back.
pub struct HeldPlace {
    context: rc::Rc<request_context::EntryContext>,
    attempt: ids::AttemptId,
    /// The first one gives the answer.
    pub members: Vec<engine_directory::EngineTarget>,
    /// What each of the others keeps memory for.
    pub member_memory: units::TokenCount,
    /// Whether schedulers hold leases for it.
    leased: bool,
    /// The priority that the first member's scheduler gave it.
    pub priority: Option<u8>,
    /// Candidates, offers and choice, for the record.
    pub row: decision::AttemptRow,
}

impl HeldPlace {
    /// The engine that gives the answer.
    pub fn engine(&self) -> &engine_directory::EngineTarget {
        &self.members[0]
    }

    /// Has the members that only keep memory give it back: the answer is whole, or nothing runs.
    ///
    /// The leases are released after that: a ledger counts the memory as free from then on.
    pub async fn free_members(&self) {
        let others = self.members.iter().skip(1);
        let freeing =
            others.map(|member| self.context.pool.cancel(member.address, self.attempt.clone()));
        for freed in future::join_all(freeing).await {
            // The engine's scheduler does the same once its report still lists the attempt.
            if let Err(fault) = freed {
                log::debug!("cancel: {}", fault.text);
            }
        }
    }

    /// Tells the engines to give the attempt up, without waiting for it.
    pub fn cancel(&self) {
        for member in &self.members {
            let context = rc::Rc::clone(&self.context);
            let (address, attempt) = (member.address, self.attempt.clone());
            monoio::spawn(async move {
                // The engine's scheduler does the same once its report still lists the attempt.
                if let Err(fault) = context.pool.cancel(address, attempt).await {
                    log::debug!("cancel: {}", fault.text);
                }
            });
        }
    }
}

impl Drop for HeldPlace {
    fn drop(&mut self) {
        for member in &self.members {
            let ended = event::EntryEvent::Ended(self.attempt.clone(), member.engine.clone());
            self.context.events.send_to(ended);
            if self.leased {
                let context = rc::Rc::clone(&self.context);
                monoio::spawn(release_lease(context, member.clone(), self.attempt.clone()));
            }
        }
    }
}

/// Finds a place; waits for it as long as the time limit allows.
pub async fn find(
    context: &rc::Rc<request_context::EntryContext>,
    question: &PlaceQuestion,
) -> Result<HeldPlace, refusal::RequestRefusal> {
    let mut tried = question.tried.clone();
    let mut refused = None;
    for _ in 0..MAX_ROUNDS {
        let targets = candidates(context, question, &tried).await;
        if targets.is_empty() {
            break;
        }
        if needs_group(question, &targets) {
            return group_place::find(context, question).await;
        }
        match try_candidates(context, question, targets, &mut tried).await {
            Ok(place) => return Ok(place),
            Err(refusal) => refused = Some(shorter_wait(refused, refusal)),
        }
    }
    Err(refused.unwrap_or_else(no_engine))
}

async fn candidates(
    context: &request_context::EntryContext,
    question: &PlaceQuestion,
    tried: &[ids::EngineId],
) -> Vec<engine_directory::EngineTarget> {
    let to_event = |answer| {
        let tree = rc::Rc::clone(&question.grant.fleet);
        let plan = question.plan.clone();
        event::EntryEvent::Candidates(plan, tree, question.prefix, tried.to_vec(), answer)
    };
    context.events.ask(to_event).await
}

/// Whether the prompt is larger than the largest of the engines can take.
fn needs_group(question: &PlaceQuestion, targets: &[engine_directory::EngineTarget]) -> bool {
    let headroom = question.grant.fleet.fleet.headroom.factor();
    let largest = targets.iter().map(|target| target.memory.scale(1.0 - headroom)).max();
    largest.is_some_and(|largest| question.need() > largest)
}

async fn try_candidates(
    context: &rc::Rc<request_context::EntryContext>,
    question: &PlaceQuestion,
    targets: Vec<engine_directory::EngineTarget>,
    tried: &mut Vec<ids::EngineId>,
) -> Result<HeldPlace, refusal::RequestRefusal> {
    let wants_offers = context.events.ask(event::EntryEvent::WantsOffers).await;
    if !wants_offers {
        return without_leases(context, question, targets, tried).await;
    }
    let answers = ask_offers(context, question, &targets).await;
    let rows = targets.iter().zip(&answers).map(offer_row).collect();
    let offers: Vec<_> = answers.iter().map(OfferOutcome::offer).collect();
    let to_event = |answer| event::EntryEvent::Choose(targets.clone(), offers, answer);
    let Some(choice) = context.events.ask(to_event).await else {
        return without_offers(context, question, targets, answers, rows, tried).await;
    };
    let target = targets[choice.index].clone();
    tried.push(target.engine.clone());
    acquire(context, question, target, rows, choice.reason.to_owned()).await
}

/// What came of asking one scheduler.
enum OfferOutcome {
    Offered(placement::EngineOffer),
    Refused(refusal::RequestRefusal),
    Silent(String),
}

impl OfferOutcome {
    fn offer(&self) -> Option<placement::EngineOffer> {
        match self {
            Self::Offered(offer) => Some(*offer),
            Self::Refused(_) | Self::Silent(_) => None,
        }
    }
}

async fn ask_offers(
    context: &request_context::EntryContext,
    question: &PlaceQuestion,
    targets: &[engine_directory::EngineTarget],
) -> Vec<OfferOutcome> {
    let now = context.clock.now();
    let asked = targets.iter().map(|target| async move {
        let request = question.request(context, target);
        match context.links.link(target.scheduler).offer(&target.engine, &request, now).await {
            Ok(Ok(offer)) => OfferOutcome::Offered(offer),
            Ok(Err(refusal)) => OfferOutcome::Refused(refusal),
            Err(error) => OfferOutcome::Silent(error.to_string()),
        }
    });
    future::join_all(asked).await
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
        OfferOutcome::Silent(text) => format!("no answer: {text}"),
    };
    decision::CandidateRow { name: target.engine.to_string(), offer }
}

/// No scheduler made an offer: refused where one refused, else the engine is used directly.
async fn without_offers(
    context: &rc::Rc<request_context::EntryContext>,
    question: &PlaceQuestion,
    targets: Vec<engine_directory::EngineTarget>,
    answers: Vec<OfferOutcome>,
    rows: Vec<decision::CandidateRow>,
    tried: &mut Vec<ids::EngineId>,
) -> Result<HeldPlace, refusal::RequestRefusal> {
    let mut refused = None;
    for (target, answer) in targets.into_iter().zip(answers) {
        tried.push(target.engine.clone());
        match answer {
            OfferOutcome::Refused(refusal) => refused = Some(shorter_wait(refused, refusal)),
            OfferOutcome::Offered(_) => {}
            OfferOutcome::Silent(_) => {
                let to_event =
                    |answer| event::EntryEvent::DirectShare(target.engine.clone(), answer);
                if context.events.ask(to_event).await {
                    let reason = "its scheduler is out of reach: direct share".to_owned();
                    return Ok(hold(context, question, vec![target], false, rows, reason));
                }
            }
        }
    }
    Err(refused.unwrap_or_else(no_engine))
}

/// The baselines' way: the entry's own choice, the engine's own queue.
async fn without_leases(
    context: &rc::Rc<request_context::EntryContext>,
    question: &PlaceQuestion,
    targets: Vec<engine_directory::EngineTarget>,
    tried: &mut Vec<ids::EngineId>,
) -> Result<HeldPlace, refusal::RequestRefusal> {
    let offers = vec![None; targets.len()];
    let to_event = |answer| event::EntryEvent::Choose(targets.clone(), offers, answer);
    let choice = context.events.ask(to_event).await.ok_or_else(no_engine)?;
    let target = targets[choice.index].clone();
    tried.push(target.engine.clone());
    Ok(hold(context, question, vec![target], false, Vec::new(), choice.reason.to_owned()))
}

async fn acquire(
    context: &rc::Rc<request_context::EntryContext>,
    question: &PlaceQuestion,
    target: engine_directory::EngineTarget,
    rows: Vec<decision::CandidateRow>,
    reason: String,
) -> Result<HeldPlace, refusal::RequestRefusal> {
    let started = context.clock.now();
    let request = question.request(context, &target);
    let link = context.links.link(target.scheduler);
    match link.acquire(&target.engine, &request, started).await {
        Ok(Ok(priority)) => {
            let mut place = hold(context, question, vec![target], true, rows, reason);
            place.priority = Some(priority);
            place.row.waited_ms = millis_since(context, started);
            Ok(place)
        }
        Ok(Err(refusal)) => Err(refusal),
        Err(error) => {
            // The lease may have been given all the same.
            let (attempt, context) = (question.attempt.clone(), rc::Rc::clone(context));
            monoio::spawn(release_lease(context, target, attempt));
            let code = refusal::RefusalCode::NoUpstream;
            Err(refusal::RequestRefusal::not_run(code, error.to_string()))
        }
    }
}

pub(crate) fn hold(
    context: &rc::Rc<request_context::EntryContext>,
    question: &PlaceQuestion,
    members: Vec<engine_directory::EngineTarget>,
    leased: bool,
    candidates: Vec<decision::CandidateRow>,
    reason: String,
) -> HeldPlace {
    let row = decision::AttemptRow {
        attempt: question.attempt.clone(),
        target: String::new(),
        candidates,
        reason,
        waited_ms: 0,
        end: None,
    };
    let mut place = HeldPlace {
        context: rc::Rc::clone(context),
        attempt: question.attempt.clone(),
        members: Vec::new(),
        member_memory: units::TokenCount::ZERO,
        leased,
        priority: None,
        row,
    };
    for member in members {
        let request = question.request(context, &member);
        add_member(context, question, &mut place, member, request);
    }
    place
}

pub(crate) fn add_member(
    context: &request_context::EntryContext,
    question: &PlaceQuestion,
    place: &mut HeldPlace,
    member: engine_directory::EngineTarget,
    request: placement::PlaceRequest,
) {
    if !place.row.target.is_empty() {
        place.row.target.push('+');
    }
    place.row.target.push_str(member.engine.as_str());
    let engine = member.engine.clone();
    let running = event::RunningPlace { engine, request, prefix: question.prefix };
    context.events.send_to(event::EntryEvent::Started(running));
    place.members.push(member);
}

async fn release_lease(
    context: rc::Rc<request_context::EntryContext>,
    target: engine_directory::EngineTarget,
    attempt: ids::AttemptId,
) {
    let link = context.links.link(target.scheduler);
    if link.release(&target.engine, &attempt).await.is_ok() {
        return;
    }
    // Lost for good, a release is made up for by the next renewal, which no longer names it.
    monoio::time::sleep(RELEASE_PAUSE).await;
    if let Err(error) = link.release(&target.engine, &attempt).await {
        log::debug!("release: {error}");
    }
}

/// Of two refusals the one that lets the caller come back sooner.
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

pub(crate) fn millis_since(
    context: &request_context::EntryContext,
    started: units::MonoTime,
) -> u64 {
    units::whole_millis(context.clock.now().since(started))
}
