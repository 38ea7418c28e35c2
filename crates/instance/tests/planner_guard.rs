//! Panics of planners, also while another panic unwinds: the process goes on with new planners.

use std::{cell, panic, rc, time};

use bytes::Bytes;
use futures::channel::{mpsc, oneshot};
use slipturn_core::{ids, planner, route_table, settings, store_revision, upstream_list};
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
