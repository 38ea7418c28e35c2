//! What the decisions cost with settings and list of the planned size. Wall-clock: a measurement,
//! not a bound.

use std::{fs, hint, time};

use slipturn_core::{
    engine_ledger, entry_router, ids, placement, rendezvous, settings, settings_resolve, units,
};

/// Instances of the planned fleet.
const INSTANCES: usize = 380;
/// Engines, here one for each runner.
const ENGINES: usize = 600;
/// Customers.
const CUSTOMERS: usize = 4_300;
/// Data centres.
const CENTERS: usize = 5;
/// Models.
const MODELS: usize = 3;
/// Times each decision is taken.
const ROUNDS: u32 = 2_000;

/// One measured row.
pub struct CostRow {
    /// What was done.
    pub what: String,
    /// How long it took, or how much it held.
    pub value: String,
}

/// Measures them all.
pub fn measure() -> Vec<CostRow> {
    let (settings_text, list_text) = (settings_text(), list_text());
    let mut rows = vec![
        row("settings document", format!("{} KiB", settings_text.len() / 1024)),
        row("list document", format!("{} KiB", list_text.len() / 1024)),
    ];
    let before = resident_kib();
    let (tree, spent) = timed(|| settings::SettingsTree::parse(&settings_text));
    let tree = tree.expect("the generated settings are valid");
    rows.push(row("read settings", format!("{spent:?}")));
    rows.push(row("settings in memory, at most", format!("{} KiB", resident_kib() - before)));
    let (list, spent) = timed(|| slipturn_core::fleet_list::FleetList::parse(&list_text));
    let list = list.expect("the generated list is valid");
    rows.push(row("read list", format!("{spent:?}")));
    let (_, spent) = timed(|| {
        let owners = list
            .engines
            .iter()
            .map(|engine| rendezvous::engine_owner(&list, &engine.name, &engine.data_center));
        hint::black_box(owners.collect::<Vec<_>>())
    });
    rows.push(row("owners of all engines", format!("{spent:?}")));
    let caller = tree.identify(&key(CUSTOMERS / 2)).expect("the caller is known");
    rows.push(each("find a caller", || tree.identify(&key(CUSTOMERS / 2)).is_some()));
    let prompt = units::TokenCount(5_000);
    rows.push(each("resolve its settings", || tree.resolve(&caller, prompt).is_some()));
    rows.extend(measure_router(&settings_text, list));
    rows.push(measure_ledger());
    rows.push(row(
        "resident memory after all, both roles' state",
        format!("{} KiB", resident_kib()),
    ));
    rows
}

fn measure_router(text: &str, list: slipturn_core::fleet_list::FleetList) -> Vec<CostRow> {
    let name = |text: &str| text.parse().expect("a valid name");
    let hour = time::Duration::from_secs(3_600);
    let now = units::MonoTime(0);
    let center: ids::DataCenterId = "dc-0".parse().expect("a valid name");
    let mut router = entry_router::EntryRouter::new(name("instance-0"), center, hour, 1);
    router.offer_settings(now, text);
    router.offer_list(list);
    router.note_sources_queried(now, 0);
    let question = entry_router::PlanQuery {
        key: key(17),
        model: "model-0".parse().expect("a valid name"),
        prompt: units::TokenCount(5_000),
        output: None,
        requested_limit: None,
    };
    let grant = router.plan(now, &question).expect("the caller is known");
    let fleet = grant.fleet.fleet.clone();
    vec![
        each("plan a request", || router.plan(now, &question).is_ok()),
        each("sample engines for it", || {
            !router.candidates(now, &question, &fleet, 1, &[]).is_empty()
        }),
    ]
}

/// A ledger with 64 leases and 64 requests waiting.
fn measure_ledger() -> CostRow {
    let now = units::MonoTime(0);
    let (memory, rate) = (units::TokenCount(400_000), units::TokenRate(100_000.0));
    let options = settings::FleetOptions::default();
    let mut ledger = engine_ledger::EngineLedger::new(now, memory, rate, options);
    let report = placement::EngineReport { memory, ..Default::default() };
    ledger.report(now, &report);
    let request = |number: u64| placement::CapacityRequest {
        attempt: format!("instance-0:1:{number:x}:1").parse().expect("a valid name"),
        entry: "instance-0".parse().expect("a valid name"),
        boot: ids::BootId(1),
        customer: format!("customer-{}", number % 40).parse().expect("a valid name"),
        weight: 1.0,
        prompt: units::TokenCount(4_000),
        cached: units::TokenCount::ZERO,
        output: units::TokenCount(100),
        memory: units::TokenCount(4_100),
        grouped: false,
        deadline: now + time::Duration::from_secs(120),
        patience: now + time::Duration::from_secs(120),
    };
    for number in 0..128 {
        ledger.enqueue(now, request(number));
    }
    let asked = request(1_000);
    each("offer of an engine with a full queue", || ledger.offer(now, &asked).is_ok())
}

fn each(what: &'static str, mut work: impl FnMut() -> bool) -> CostRow {
    let (_, spent) = timed(|| (0..ROUNDS).filter(|_| hint::black_box(work())).count());
    row(what, format!("{:?}", spent / ROUNDS))
}

fn timed<T>(work: impl FnOnce() -> T) -> (T, time::Duration) {
    let started = time::Instant::now();
    let done = work();
    (done, started.elapsed())
}

pub(crate) fn row(what: impl Into<String>, value: String) -> CostRow {
    CostRow { what: what.into(), value }
}

fn key(customer: usize) -> String {
    format!("key-{customer}")
}

fn settings_text() -> String {
    let mut text = "version: 1\ncustomers:\n".to_owned();
    for customer in 0..CUSTOMERS {
        let digest = settings_resolve::key_digest(&key(customer));
        text += &format!(
            "  customer-{customer}:\n    keys: [{{sha256: {digest}, application: drafts}}]\n    \
             options: {{weight: 2.0}}\n    applications: {{drafts: {{}}}}\n"
        );
    }
    text
}

fn list_text() -> String {
    let mut text = "revision: 1\ninstances:\n".to_owned();
    for instance in 0..INSTANCES {
        let (center, host) = (instance % CENTERS, instance / 250);
        let address = format!("10.{center}.{host}.{}", instance % 250 + 1);
        text += &format!(
            "- {{name: instance-{instance}, data_center: dc-{center}, entry: \"{address}:80\", \
             operators: \"{address}:81\", scheduler: \"{address}:82\"}}\n"
        );
    }
    text += "engines:\n";
    for engine in 0..ENGINES {
        let (center, model) = (engine % CENTERS, engine % MODELS);
        text += &format!(
            "- {{name: engine-{engine}, data_center: dc-{center}, model: model-{model}, address: \
             \"10.9.{}.{}:80\", memory: 400000, prefill_rate: 100000}}\n",
            engine / 250,
            engine % 250 + 1
        );
    }
    text
}

/// Resident memory of this process; zero where the system does not tell.
fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}
