//! Routing decisions of an instance for its callers' requests: identification of the caller, settings in force, and
//! choice of engines.

use std::{collections, net, rc, time};

use rand::{SeedableRng as _, seq::IndexedRandom as _};

use crate::{
    budget, engine_directory, fleet_list, ids, live_settings, pause_detector, placement, refusal,
    rendezvous, retry, routing, settings, settings_resolve, units,
};

/// Largest number of prompt prefixes whose last engine is remembered, to benefit from that engine's prefix cache. At
/// the limit, the next attempt clears all of them.
const MAX_AFFINITY: usize = 20_000;

/// Properties of a model request that determine its settings and engines.
#[derive(Debug, Clone)]
pub struct PlanQuery {
    /// API key of the caller, which determines its customer and settings.
    pub key: String,
    /// Requested model; refused unless the settings allow it and the published list has an engine for it.
    pub model: ids::ModelId,
    /// Estimated prompt length.
    pub prompt: units::TokenCount,
    /// Limit on the output length that the caller requested; `None` if it requested none.
    pub output: Option<units::TokenCount>,
    /// Time limit requested by the caller; it can only shorten the one in the settings.
    pub requested_limit: Option<time::Duration>,
}

/// Settings and limits of an admitted request.
#[derive(Debug, Clone)]
pub struct RequestGrant {
    /// Settings for the whole duration of the request.
    pub settings: settings_resolve::ResolvedSettings,
    /// Settings tree in force, with the fleet-wide options.
    pub fleet: rc::Rc<settings::SettingsTree>,
    /// Largest output length: the requested one, but at most that in the settings.
    pub output: units::TokenCount,
    /// Revision of the published list in force when the request was admitted.
    pub list_revision: u64,
}

/// Result of drawing a request's tokens from its customer's budget.
#[derive(Debug, Clone)]
pub enum BudgetStep {
    /// The tokens have been drawn; the request may proceed.
    Spent,
    /// A portion must first be drawn from the instance that owns the customer's budget.
    Draw {
        /// Address of the owner's scheduler.
        owner: net::SocketAddr,
        /// Limit of the customer's budget by this instance's settings, to send with the draw.
        limit: budget::BudgetLimit,
        /// Size of the portion to draw.
        want: units::TokenCount,
    },
    /// The budget is exhausted; holds the time until tokens are available again.
    Empty(time::Duration),
}

/// Load that this instance has outstanding on one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OutstandingLoad {
    /// Number of requests that this instance has outstanding on the engine.
    pub requests: usize,
    /// Summed memory that the outstanding requests need on the engine.
    pub tokens: units::TokenCount,
}

/// State for an instance's routing decisions, owned by a single task.
pub struct EntryRouter {
    instance: ids::InstanceId,
    data_center: ids::DataCenterId,
    list: fleet_list::FleetList,
    live_settings: live_settings::LiveSettings,
    pause_detector: pause_detector::PauseDetector,
    policy: Box<dyn routing::RoutingPolicy>,
    policy_kind: settings::RoutingKind,
    budget_cache: budget::BudgetCache,
    retries: retry::RetryBudget,
    outstanding: collections::HashMap<ids::EngineId, OutstandingLoad>,
    /// Engines that are ejected after a refusal or failure, with the time until which they are. They are considered
    /// only if no others are left.
    ejected: collections::HashMap<ids::EngineId, units::MonoTime>,
    /// Last engine of each prompt prefix, by the prefix's hash. Invariant: at most [`MAX_AFFINITY`] entries.
    affinity: collections::HashMap<u64, ids::EngineId>,
    random: rand_chacha::ChaCha8Rng,
}

/// How long an engine that refused or failed is not considered, unless no others are left.
const EJECTION_TIME: time::Duration = time::Duration::from_secs(3);

impl EntryRouter {
    /// Creates a router without settings and without a list; it is not ready before it has both.
    pub fn new(
        instance: ids::InstanceId,
        data_center: ids::DataCenterId,
        sleep_bound: time::Duration,
        seed: u64,
    ) -> Self {
        let fleet = settings::FleetOptions::default();
        Self {
            instance,
            data_center,
            list: fleet_list::FleetList::default(),
            live_settings: live_settings::LiveSettings::default(),
            pause_detector: pause_detector::PauseDetector::new(sleep_bound),
            policy: routing::policy_for(fleet.routing),
            policy_kind: fleet.routing,
            budget_cache: budget::BudgetCache::default(),
            retries: retry::RetryBudget::new(fleet.retry_share),
            outstanding: collections::HashMap::new(),
            ejected: collections::HashMap::new(),
            affinity: collections::HashMap::new(),
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Puts a settings document in force, with its fleet-wide options, if it is valid and newer than the one in force.
    pub fn offer_settings(
        &mut self,
        now: units::MonoTime,
        text: &str,
    ) -> live_settings::OfferOutcome {
        let outcome = self.live_settings.offer(now, text);
        if let Some(tree) = self.live_settings.tree() {
            self.retries.set_share(tree.fleet.retry_share);
            if tree.fleet.routing != self.policy_kind {
                self.policy_kind = tree.fleet.routing;
                self.policy = routing::policy_for(self.policy_kind);
            }
        }
        outcome
    }

    /// Records that a source (the platform or a scheduler) has no newer settings. `age` is the time since the source's
    /// own settings were last confirmed; zero for the platform.
    pub fn confirm_settings(&mut self, now: units::MonoTime, age: time::Duration) {
        self.live_settings.confirm(now, age);
    }

    /// Number of pauses of this process detected so far.
    ///
    /// Callers read it before they query a source of settings, and pass it to [`Self::note_sources_queried`] with the
    /// answer.
    pub fn pause_count(&self) -> u64 {
        self.pause_detector.pause_count
    }

    /// Records that the sources of settings have been queried, whether one answered or all were silent.
    ///
    /// `pause_count` is the value of [`Self::pause_count`] before the query: if the process was paused since, the
    /// answer may be outdated and does not count.
    pub fn note_sources_queried(&mut self, now: units::MonoTime, pause_count: u64) {
        self.pause_detector.record_event(now);
        if pause_count == self.pause_detector.pause_count {
            self.pause_detector.unrefreshed = false;
        }
    }

    /// Replaces the published list, unless the one in force is newer.
    pub fn offer_list(&mut self, list: fleet_list::FleetList) {
        if list.revision >= self.list.revision {
            self.list = list;
        }
    }

    /// The settings in force, and the error of the last invalid document.
    pub fn live_settings(&self) -> &live_settings::LiveSettings {
        &self.live_settings
    }

    /// The published list in force; empty before the first.
    pub fn list(&self) -> &fleet_list::FleetList {
        &self.list
    }

    /// Whether requests may be accepted: settings and list are known, and the process has queried the sources of
    /// settings since its last pause.
    pub fn ready(&mut self, now: units::MonoTime) -> bool {
        self.pause_detector.record_event(now);
        !self.pause_detector.unrefreshed
            && self.live_settings.tree().is_some()
            && !self.list.instances.is_empty()
    }

    /// Identifies the caller of a model request, resolves its settings, and checks the request against them.
    pub fn plan(
        &mut self,
        now: units::MonoTime,
        query: &PlanQuery,
    ) -> Result<RequestGrant, refusal::RequestRefusal> {
        let (tree, mut resolved) = self.resolve(now, &query.key, query.prompt)?;
        if let Some(requested_limit) = query.requested_limit {
            resolved.shorten_limit(requested_limit);
        }
        check_model(&resolved, &query.model)?;
        if !self.list.engines.iter().any(|engine| engine.model == query.model) {
            return Err(unknown_model(&query.model));
        }
        let max_prompt = resolved.max_prompt_tokens.value;
        if query.prompt > max_prompt {
            let text =
                format!("the prompt has about {}, at most {max_prompt} are allowed", query.prompt);
            return Err(refusal::RequestRefusal::not_run(refusal::RefusalCode::TooLarge, text));
        }
        let max_output = resolved.max_output_tokens.value;
        let output = query.output.map_or(max_output, |requested| requested.min(max_output));
        self.retries.count_request(now);
        Ok(RequestGrant {
            settings: resolved,
            fleet: tree,
            output,
            list_revision: self.list.revision,
        })
    }

    /// Identifies the caller and resolves its settings.
    pub fn resolve(
        &mut self,
        now: units::MonoTime,
        key: &str,
        prompt: units::TokenCount,
    ) -> Result<
        (rc::Rc<settings::SettingsTree>, settings_resolve::ResolvedSettings),
        refusal::RequestRefusal,
    > {
        let refuse = refusal::RequestRefusal::not_run;
        let ready = self.ready(now);
        let Some(tree) = self.live_settings.tree().filter(|_| ready) else {
            let text = "the settings are not known or not confirmed yet";
            let refusal = refuse(refusal::RefusalCode::NotReady, text);
            return Err(refusal.retry_after(time::Duration::from_secs(1)));
        };
        let unauthorized = || refuse(refusal::RefusalCode::Unauthorized, "the key is not known");
        let caller = tree.identify(key).ok_or_else(unauthorized)?;
        let resolved = tree.resolve(&caller, prompt).ok_or_else(unauthorized)?;
        Ok((tree, resolved))
    }

    /// Draws the request's tokens from the portion of the customer's budget that this instance holds. If the portion is
    /// too small, returns the draw to send to the budget's owner, or uses this instance's share if no instance is the
    /// owner.
    pub fn spend(
        &mut self,
        now: units::MonoTime,
        resolved: &settings_resolve::ResolvedSettings,
        want: units::TokenCount,
    ) -> BudgetStep {
        let customer = &resolved.customer;
        if self.budget_cache.spend(now, customer, want) {
            return BudgetStep::Spent;
        }
        match rendezvous::budget_owner(&self.list, customer) {
            Some(owner) => BudgetStep::Draw {
                owner: owner.scheduler,
                limit: limit_of(resolved),
                want: self.budget_cache.draw_size(now, customer, want),
            },
            None => self.spend_own_share(now, resolved, want),
        }
    }

    /// Adds a portion drawn from the owner of the customer's budget.
    pub fn add_portion(
        &mut self,
        now: units::MonoTime,
        customer: &ids::CustomerId,
        portion: budget::BudgetPortion,
    ) {
        self.budget_cache.add(now, customer, portion);
    }

    /// Draws the request's tokens from this instance's own share of the budget, while the owner is unreachable.
    pub fn spend_own_share(
        &mut self,
        now: units::MonoTime,
        resolved: &settings_resolve::ResolvedSettings,
        want: units::TokenCount,
    ) -> BudgetStep {
        let live = self.list.live_instances().count();
        let limit = limit_of(resolved);
        match self.budget_cache.spend_own_share(now, &resolved.customer, limit, live, want) {
            Ok(()) => BudgetStep::Spent,
            Err(budget::BudgetExhausted(wait)) => BudgetStep::Empty(wait),
        }
    }

    /// Engines to consider for a request, without those in `tried`. `prefix` is the hash of its prompt's prefix.
    pub fn candidates(
        &mut self,
        now: units::MonoTime,
        query: &PlanQuery,
        fleet: &settings::FleetOptions,
        prefix: u64,
        tried: &[ids::EngineId],
    ) -> Vec<engine_directory::EngineTarget> {
        self.ejected.retain(|_, until| *until > now);
        let warm = self.affinity.get(&prefix).cloned();
        let sampled = self.policy.wants_offers();
        let long = sampled && query.prompt > fleet.long_tokens;
        let directory = engine_directory::EngineDirectory::new(&self.list, &self.data_center);
        let share = if long { fleet.long_engines.factor() } else { 1.0 };
        let eligible = directory.share_of(&query.model, share);
        let untried = eligible.into_iter().filter(|engine| !tried.contains(&engine.name));
        let (ejected, mut open): (Vec<_>, Vec<_>) =
            untried.partition(|engine| self.ejected.contains_key(&engine.name));
        if open.is_empty() {
            // An engine that failed recently is better than none.
            open = ejected;
        }
        if sampled {
            let count = if long { fleet.long_candidates } else { fleet.candidates };
            open = directory.sample(&open, count, warm.as_ref(), &mut self.random);
        }
        open.iter().filter_map(|engine| directory.target(engine, warm.as_ref())).collect()
    }

    /// A random group of engines of one data centre that together can hold a prompt too large for one engine; empty if
    /// there is no such group.
    pub fn group(
        &mut self,
        model: &ids::ModelId,
        need: units::TokenCount,
        fleet: &settings::FleetOptions,
    ) -> Vec<engine_directory::EngineTarget> {
        let groups = self.directory().groups(model, need, fleet);
        groups.choose(&mut self.random).cloned().unwrap_or_default()
    }

    /// Chooses among `targets`, given the `offers` of their schedulers in the same order; `None` if the routing policy
    /// finds none suitable.
    pub fn choose(
        &mut self,
        targets: &[engine_directory::EngineTarget],
        offers: &[Option<placement::EngineOffer>],
    ) -> Option<routing::RouteChoice> {
        let candidates: Vec<_> = targets
            .iter()
            .zip(offers)
            .map(|(target, offer)| {
                let outstanding = self.outstanding.get(&target.engine).copied().unwrap_or_default();
                routing::RouteCandidate {
                    engine: target.engine.clone(),
                    offer: *offer,
                    own_requests: outstanding.requests,
                    own_tokens: outstanding.tokens,
                    near: target.near,
                }
            })
            .collect();
        self.policy.choose(&candidates)
    }

    /// Whether the routing policy in force needs offers from schedulers.
    pub fn wants_offers(&self) -> bool {
        self.policy.wants_offers()
    }

    /// Whether an engine whose scheduler is unreachable may be used without a lease: only while this instance has no
    /// other request outstanding on the engine.
    pub fn may_send_unleased(&self, engine: &ids::EngineId) -> bool {
        self.outstanding.get(engine).is_none_or(|outstanding| outstanding.requests == 0)
    }

    /// Counts an attempt as outstanding on an engine, and remembers the engine for the prompt prefix of the attempt.
    pub fn count_start(&mut self, engine: &ids::EngineId, tokens: units::TokenCount, prefix: u64) {
        let outstanding = self.outstanding.entry(engine.clone()).or_default();
        outstanding.requests += 1;
        outstanding.tokens += tokens;
        if self.affinity.len() >= MAX_AFFINITY {
            self.affinity.clear();
        }
        self.affinity.insert(prefix, engine.clone());
    }

    /// Removes an ended attempt from the load outstanding on an engine; `tokens` must be as in [`Self::count_start`].
    pub fn count_end(&mut self, engine: &ids::EngineId, tokens: units::TokenCount) {
        let Some(outstanding) = self.outstanding.get_mut(engine) else {
            return;
        };
        outstanding.requests = outstanding.requests.saturating_sub(1);
        outstanding.tokens -= tokens;
        if outstanding.requests == 0 {
            self.outstanding.remove(engine);
        }
    }

    /// Stops considering an engine for a while after it refused or failed, unless no others are left.
    pub fn eject(&mut self, now: units::MonoTime, engine: &ids::EngineId) {
        self.ejected.insert(engine.clone(), now + EJECTION_TIME);
    }

    /// Decides whether a request gets another attempt after a failed one, and if so, takes it from the retry budget.
    pub fn decide_retry(
        &mut self,
        now: units::MonoTime,
        failed: retry::FailedAttempt,
    ) -> retry::RetryVerdict {
        self.retries.decide(now, failed)
    }

    /// Counts a request that does not pass through [`Self::plan`], so that it adds to the retry budget.
    pub fn count_request(&mut self, now: units::MonoTime) {
        self.retries.count_request(now);
    }

    /// Live upstreams of a plain service (one whose upstreams run no model) in random order, those in this data centre
    /// first.
    pub fn upstreams(&mut self, service: &ids::ServiceId) -> Vec<fleet_list::UpstreamRecord> {
        use rand::seq::SliceRandom as _;
        let live = |upstream: &&fleet_list::UpstreamRecord| {
            upstream.service == *service && upstream.state == fleet_list::ListState::Live
        };
        let mut upstreams: Vec<_> = self.list.upstreams.iter().filter(live).cloned().collect();
        upstreams.shuffle(&mut self.random);
        upstreams.sort_by_key(|upstream| upstream.data_center != self.data_center);
        upstreams
    }

    /// Adds jitter to a retry delay, so that callers do not retry at the same time.
    pub fn spread_retry(&mut self, expected: time::Duration) -> time::Duration {
        refusal::spread_retry(expected, &mut self.random)
    }

    /// Drops expired budget portions and ejections. Called periodically, so that a pause of the process is detected.
    pub fn tick(&mut self, now: units::MonoTime) {
        self.pause_detector.record_event(now);
        self.budget_cache.prune(now);
        self.ejected.retain(|_, until| *until > now);
    }

    fn directory(&self) -> engine_directory::EngineDirectory<'_> {
        engine_directory::EngineDirectory::new(&self.list, &self.data_center)
    }

    /// Name of the instance that this router decides for.
    pub fn instance(&self) -> &ids::InstanceId {
        &self.instance
    }
}

fn check_model(
    resolved: &settings_resolve::ResolvedSettings,
    model: &ids::ModelId,
) -> Result<(), refusal::RequestRefusal> {
    match &resolved.models.value {
        Some(allowed) if !allowed.contains(model) => Err(unknown_model(model)),
        _ => Ok(()),
    }
}

fn unknown_model(model: &ids::ModelId) -> refusal::RequestRefusal {
    let text = format!("model '{model}' is not served here");
    refusal::RequestRefusal::not_run(refusal::RefusalCode::NotFound, text)
}

fn limit_of(resolved: &settings_resolve::ResolvedSettings) -> budget::BudgetLimit {
    budget::BudgetLimit { rate: resolved.token_rate.value, burst: resolved.token_burst.value }
}
