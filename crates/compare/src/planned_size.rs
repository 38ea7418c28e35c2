//! Measures the time and memory that routing decisions take with settings and a fleet list of the
//! planned size.
//!
//! Results are wall-clock times and depend on the computer, so no test bounds them.

use std::{fs, hint, time};

use slipturn_core::{
    engine_ledger, entry_router, ids, placement, rendezvous, settings, settings_resolve, units,
};

/// Number of instances in the planned fleet.
const INSTANCES: usize = 380;
/// Number of engines. The planned fleet has this number of upstreams, called runners there, and
/// each is counted as one engine.
const ENGINES: usize = 600;
/// Number of customers in the settings.
const CUSTOMERS: usize = 4_300;
/// Number of data centres over which instances and engines are spread.
const DATA_CENTERS: usize = 5;
/// Number of models that the engines serve.
const MODELS: usize = 3;
/// Number of repetitions over which the time of a decision is averaged.
const ITERATIONS: u32 = 2_000;

/// The cost of an operation, formatted for output.
pub struct CostRow {
    /// Name of the operation that was measured, as it is printed.
    pub operation: String,
    /// Mean time or memory, with its unit.
    pub value: String,
}

/// Measures the parsing of the settings and the fleet list, the routing decisions of an entry, and
/// an offer of an engine's ledger, which records its leases and queue. Returns one row for each
/// measurement.
pub fn measure() -> Vec<CostRow> {
    let (settings_text, list_text) = (settings_text(), list_text());
    let mut cost_rows = vec![
        cost_row("settings document", format!("{} KiB", settings_text.len() / 1024)),
        cost_row("list document", format!("{} KiB", list_text.len() / 1024)),
    ];
    let before = resident_kib();
    let (tree, elapsed) = timed(|| settings::SettingsTree::parse(&settings_text));
    let tree = tree.expect("the generated settings are valid");
    cost_rows.push(cost_row("read settings", format!("{elapsed:?}")));
    cost_rows
        .push(cost_row("settings in memory, at most", format!("{} KiB", resident_kib() - before)));
    let (list, elapsed) = timed(|| slipturn_core::fleet_list::FleetList::parse(&list_text));
    let list = list.expect("the generated list is valid");
    cost_rows.push(cost_row("read list", format!("{elapsed:?}")));
    let (_, elapsed) = timed(|| {
        let owners = list
            .engines
            .iter()
            .map(|engine| rendezvous::engine_owner(&list, &engine.name, &engine.data_center));
        hint::black_box(owners.collect::<Vec<_>>())
    });
    cost_rows.push(cost_row("owners of all engines", format!("{elapsed:?}")));
    let caller = tree.identify(&customer_key(CUSTOMERS / 2)).expect("the settings contain the key");
    cost_rows
        .push(mean_cost("find a caller", || tree.identify(&customer_key(CUSTOMERS / 2)).is_some()));
    let prompt = units::TokenCount(5_000);
    cost_rows.push(mean_cost("resolve its settings", || tree.resolve(&caller, prompt).is_some()));
    cost_rows.extend(measure_router(&settings_text, list));
    cost_rows.push(measure_ledger());
    cost_rows.push(cost_row(
        "resident memory after all, both roles' state",
        format!("{} KiB", resident_kib()),
    ));
    cost_rows
}

/// Measures the entry router: the check of a request against its settings, and the sampling of
/// engines for it.
fn measure_router(settings_text: &str, list: slipturn_core::fleet_list::FleetList) -> Vec<CostRow> {
    let name = |text: &str| text.parse().expect("the name is valid");
    let sleep_bound = time::Duration::from_secs(3_600);
    let now = units::MonoTime(0);
    let data_center: ids::DataCenterId = "dc-0".parse().expect("the name is valid");
    let mut router =
        entry_router::EntryRouter::new(name("instance-0"), data_center, sleep_bound, 1);
    router.offer_settings(now, settings_text);
    router.offer_list(list);
    router.note_sources_queried(now, 0);
    let query = entry_router::PlanQuery {
        key: customer_key(17),
        model: "model-0".parse().expect("the name is valid"),
        prompt: units::TokenCount(5_000),
        output: None,
        requested_limit: None,
    };
    let grant = router.plan(now, &query).expect("the settings contain the key");
    let fleet = grant.fleet.fleet.clone();
    vec![
        mean_cost("plan a request", || router.plan(now, &query).is_ok()),
        mean_cost("sample engines for it", || {
            !router.candidates(now, &query, &fleet, 1, &[]).is_empty()
        }),
    ]
}

/// Measures the time in which the ledger of an engine with 64 leases and 64 queued requests makes
/// an offer, an estimate of how it could serve a request.
fn measure_ledger() -> CostRow {
    let now = units::MonoTime(0);
    let (memory, rate) = (units::TokenCount(400_000), units::TokenRate(100_000.0));
    let options = settings::FleetOptions::default();
    let mut ledger = engine_ledger::EngineLedger::new(now, memory, rate, options);
    let report = placement::EngineReport { memory, ..Default::default() };
    ledger.report(now, &report);
    let request = |number: u64| placement::CapacityRequest {
        attempt: format!("instance-0:1:{number:x}:1").parse().expect("the attempt id is valid"),
        entry: "instance-0".parse().expect("the name is valid"),
        boot: ids::BootId(1),
        customer: format!("customer-{}", number % 40).parse().expect("the name is valid"),
        weight: 1.0,
        prompt: units::TokenCount(4_000),
        cached: units::TokenCount::ZERO,
        output: units::TokenCount(100),
        memory: units::TokenCount(4_100),
        grouped: false,
        deadline: now + time::Duration::from_secs(120),
        queue_deadline: now + time::Duration::from_secs(120),
    };
    for number in 0..128 {
        ledger.enqueue(now, request(number));
    }
    let new_request = request(1_000);
    mean_cost("offer of an engine with a full queue", || ledger.offer(now, &new_request).is_ok())
}

/// Measures the mean time of `workload` over [`ITERATIONS`] runs.
fn mean_cost(operation: &'static str, mut workload: impl FnMut() -> bool) -> CostRow {
    let (_, elapsed) = timed(|| (0..ITERATIONS).filter(|_| hint::black_box(workload())).count());
    cost_row(operation, format!("{:?}", elapsed / ITERATIONS))
}

fn timed<T>(workload: impl FnOnce() -> T) -> (T, time::Duration) {
    let started = time::Instant::now();
    let result = workload();
    (result, started.elapsed())
}

pub(crate) fn cost_row(operation: impl Into<String>, value: String) -> CostRow {
    CostRow { operation: operation.into(), value }
}

/// Returns the API key of a customer in the generated settings.
fn customer_key(customer: usize) -> String {
    format!("key-{customer}")
}

/// Returns a settings document with [`CUSTOMERS`] customers.
fn settings_text() -> String {
    let mut text = "version: 1\ncustomers:\n".to_owned();
    for customer in 0..CUSTOMERS {
        let digest = settings_resolve::key_digest(&customer_key(customer));
        text += &format!(
            "  customer-{customer}:\n    keys: [{{sha256: {digest}, application: drafts}}]\n    \
             options: {{weight: 2.0}}\n    applications: {{drafts: {{}}}}\n"
        );
    }
    text
}

/// Returns a fleet list with [`INSTANCES`] instances and [`ENGINES`] engines.
fn list_text() -> String {
    let mut text = "revision: 1\ninstances:\n".to_owned();
    for instance in 0..INSTANCES {
        let (data_center, host) = (instance % DATA_CENTERS, instance / 250);
        let address = format!("10.{data_center}.{host}.{}", instance % 250 + 1);
        text += &format!(
            "- {{name: instance-{instance}, data_center: dc-{data_center}, \
             entry: \"{address}:80\", operators: \"{address}:81\", scheduler: \"{address}:82\"}}\n"
        );
    }
    text += "engines:\n";
    for engine in 0..ENGINES {
        let (data_center, model) = (engine % DATA_CENTERS, engine % MODELS);
        text += &format!(
            "- {{name: engine-{engine}, data_center: dc-{data_center}, model: model-{model}, \
             address: \"10.9.{}.{}:80\", memory: 400000, prefill_rate: 100000}}\n",
            engine / 250,
            engine % 250 + 1
        );
    }
    text
}

/// Returns the resident memory of this process in KiB; 0 if the system does not report it.
fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}
