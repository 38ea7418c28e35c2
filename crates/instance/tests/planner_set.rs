//! Planners of an instance: panics, also while another panic unwinds, and requests that are withdrawn.

use std::{cell, panic, rc, time};

use bytes::Bytes;
use futures::channel::{mpsc, oneshot};
use slipturn_core::{
    engine_place, fleet_list, ids, planner, planner_key, route_table, settings, store_revision,
    units, upstream_list,
};
use slipturn_instance::{
    adapter::{self, CallerAdapter, FormatError, StoreAdapter, UpstreamAdapter},
    context, instance_settings, planner_guard, planner_set,
};
use slipturn_net::process;

/// An adapter without a platform.
struct NoPlatform;

fn unused() -> FormatError {
    FormatError::new("document", "there is no platform")
}

impl CallerAdapter for NoPlatform {
    fn parse_request(
        &self,
        _: &http::request::Parts,
    ) -> Result<adapter::CallerRequest, FormatError> {
        Err(unused())
    }

    fn answer_headers(&self, _: &str, _: Option<time::Duration>) -> http::HeaderMap {
        http::HeaderMap::new()
    }

    fn is_readiness(&self, _: &str) -> bool {
        false
    }
}

impl UpstreamAdapter for NoPlatform {
    fn call_head(&self, call: &adapter::UpstreamCall<'_>) -> http::request::Parts {
        call.head.clone()
    }

    fn parse_answer(&self, _: &http::response::Parts) -> adapter::UpstreamAnswer {
        adapter::UpstreamAnswer::default()
    }

    fn memory_order(&self, _: &adapter::MemoryOrder) -> (String, Bytes) {
        (String::new(), Bytes::new())
    }

    fn order_start(&self, _: &[u8]) -> Option<ids::UpstreamStart> {
        None
    }

    fn report_path(&self) -> String {
        String::new()
    }

    fn parse_report(&self, _: &[u8]) -> Result<adapter::EngineReport, FormatError> {
        Err(unused())
    }

    fn event_id(&self, _: &[u8]) -> Option<String> {
        None
    }
}

impl StoreAdapter for NoPlatform {
    fn upstreams_path(&self, _: Option<&str>) -> String {
        String::new()
    }

    fn routes_path(&self) -> String {
        String::new()
    }

    fn operator_path(&self, _: Option<&str>) -> String {
        String::new()
    }

    fn watch_path(&self, _: u64, _: time::Duration) -> String {
        String::new()
    }

    fn store_era(
        &self,
        _: &http::response::Parts,
    ) -> Result<Option<store_revision::StoreEra>, FormatError> {
        Err(unused())
    }

    fn page_reader(&self) -> Box<dyn adapter::AnswerReader<adapter::StorePage>> {
        unreachable!("there is no platform")
    }

    fn key_reader(&self) -> Box<dyn adapter::AnswerReader<adapter::StorePage>> {
        unreachable!("there is no platform")
    }

    fn changes_reader(&self) -> Box<dyn adapter::AnswerReader<adapter::StoreChanges>> {
        unreachable!("there is no platform")
    }

    fn key(&self, _: &str) -> adapter::StoreKey {
        adapter::StoreKey::Other
    }

    fn parse_routes(&self, _: &str) -> Result<route_table::RouteTable, FormatError> {
        Err(unused())
    }

    fn parse_upstream(
        &self,
        _: &str,
        _: &str,
    ) -> Result<upstream_list::UpstreamEntry, FormatError> {
        Err(unused())
    }
}

impl adapter::InstanceAdapter for NoPlatform {}

/// Returns the context of an instance that has not started any task.
fn new_context() -> rc::Rc<context::InstanceContext> {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/settings_cases/machine/input.yaml");
    let settings = instance_settings::InstanceSettings::load(file.as_ref()).expect("it is valid");
    let parts = context::ContextParts {
        settings,
        adapter: rc::Rc::new(NoPlatform),
        stop: process::StopSignal::install().expect("the handlers can be installed"),
        closing: oneshot::channel().1,
        exiting: oneshot::channel().1,
        outgoing: mpsc::unbounded().0,
        runs: mpsc::unbounded().0,
    };
    rc::Rc::new(context::InstanceContext::new(parts))
}

/// Panics while it holds the planners, as a fault in a planner would.
fn fail(context: &context::InstanceContext) {
    let _planners = context.planners.borrow_mut();
    panic!("a fault of the test");
}

/// Guards against planners that stay borrowed or half changed after a panic.
#[test]
fn planners_begin_anew_after_a_panic() {
    let context = new_context();
    let options = planner::PlannerOptions {
        routing: settings::RoutingKind::ExpectedStart,
        modes: Default::default(),
        sharing: Default::default(),
    };
    let former = planner_set::PlannerSet::new("former".parse().expect("a name"), options);
    *context.planners.borrow_mut() = former;
    let shown = || format!("{:?}", context.planners.borrow());
    assert!(shown().contains("former"));
    assert_eq!(planner_guard::run(&context, || 7), Some(7));
    assert_eq!(planner_guard::run(&context, || fail(&context)), None);
    assert!(!shown().contains("former"), "the state is kept");
    assert!(context.panics.borrow().may_plan(context.now()));
    (0..2).for_each(|_| assert_eq!(planner_guard::run(&context, || fail(&context)), None));
    assert!(!context.panics.borrow().may_plan(context.now()));
    assert!(!context.own_heartbeat().plans);
}

/// Uses the planners when it is dropped, as a place does.
struct FailingPlace(rc::Rc<context::InstanceContext>, rc::Rc<cell::Cell<bool>>);

impl Drop for FailingPlace {
    fn drop(&mut self) {
        planner_guard::run(&self.0, || fail(&self.0));
        self.1.set(true);
    }
}

/// Guards against a second panic during the first one's unwinding, which would end the process.
#[test]
fn a_panic_of_a_planner_while_another_panic_unwinds_does_not_end_the_process() {
    let context = new_context();
    let dropped = rc::Rc::new(cell::Cell::new(false));
    let place = FailingPlace(rc::Rc::clone(&context), rc::Rc::clone(&dropped));
    let work = panic::AssertUnwindSafe(move || {
        let _place = place;
        panic!("a fault of the test");
    });
    assert!(panic::catch_unwind(work).is_err());
    assert!(dropped.get());
    assert!(context.planners.try_borrow_mut().is_ok(), "the planners stay borrowed");
}

/// A service of engines without limits of its upstreams.
fn engine_service(name: &ids::ServiceId) -> route_table::ServicePolicy {
    let shape = route_table::EngineShape {
        slots: 16,
        memory: units::TokenCount(315_000),
        stride: 51.0,
        step_ms: 0.85,
        step_per_decoding_ms: 0.004_25,
        step_per_context_ms: 0.002_85,
        prefill_tokens_per_ms: 177.0,
        prefill_per_million_pairs_ms: 0.184,
        report_lag_ms: 200.0,
    };
    let name = name.clone();
    route_table::ServicePolicy { name, connection_limit: 9, engine: Some(shape), cold: None }
}

/// Returns a request that waits for a place as long as none is free.
fn patient_request(number: u64) -> engine_place::PlacementRequest {
    engine_place::PlacementRequest {
        job: engine_place::JobId { boot: 1, sequence: number },
        prompt: 5_000,
        output: 1_700,
        pause_ms: 250,
        goal_ms: 60_000,
        goal_left_ms: 60_000,
        patience_ms: 60_000,
        tight: false,
        worth: 1.0,
        refusable: false,
        resumed: false,
        excluded: Vec::new(),
        origin: None,
    }
}

fn request(
    planners: &mut planner_set::PlannerSet,
    key: &planner_key::PlannerKey,
    number: u64,
) -> Option<engine_place::PlaceAnswer> {
    let now = units::MonoTime::default();
    planners.request(now, key, patient_request(number), planner_set::PlacementOrigin::Local)
}

/// Guards against memory that grows with each request withdrawn while others always wait.
#[test]
fn withdrawn_requests_leave_nothing_behind_under_steady_load() {
    let context = new_context();
    let service: ids::ServiceId = "models".parse().expect("a name");
    let key = planner_key::PlannerKey { service: service.clone(), cell: 0 };
    let now = units::MonoTime::default();
    let engine = upstream_list::UpstreamEntry {
        name: "engine@1".parse().expect("a name"),
        service: service.clone(),
        data_center: "a".parse().expect("a name"),
        address: "10.0.0.1:80".parse().expect("an address"),
        slots: 16,
        state: fleet_list::ListState::Live,
        cold: time::Duration::ZERO,
    };
    let mut fleet = context.fleet.borrow_mut();
    let mut routes = route_table::RouteTable::default();
    routes.version = settings::SettingsVersion(1);
    routes.services.insert(service.clone(), engine_service(&service));
    fleet.routes = rc::Rc::new(routes);
    fleet.list.replace(now, vec![engine], 1.into());
    let mut planners = context.planners.borrow_mut();
    planners.sync(now, &fleet);
    let granted = (0..1_000)
        .take_while(|number| request(&mut planners, &key, *number).is_some())
        .count() as u64;
    assert!(granted < 500, "no request waits");
    for number in 1_000..6_000 {
        assert_eq!(request(&mut planners, &key, number), None, "{number} does not wait");
        let planner = planners.planner(&key).expect("it was added");
        planner.end(
            now,
            engine_place::JobId { boot: 1, sequence: number },
            engine_place::PlaceEnd::Done,
        );
        planners.tick(now);
    }
    assert!(planners.waiting() > 0);
    let origins = format!("{planners:?}").matches(": Local").count();
    assert!(origins < 500, "{origins} origins of {} requests", planners.waiting());
}
