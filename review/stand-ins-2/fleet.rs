//! Instances as separate processes, started as the deploy file says, and the record of a run.

use std::{
    collections::BTreeMap,
    fs,
    io::Write as _,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{http::Connection, store::Store};

/// Ports of an instance: callers, readiness, members, and the first of the internal range.
const CALLER_PORT: u16 = 8_227;
const READY_PORT: u16 = 8_220;
const MEMBER_PORT: u16 = 8_229;
const INTERNAL_PORT: u16 = 7_340;
/// Port of the store and of the runners, each of which has an address of its own.
pub const SERVER_PORT: u16 = 8_080;
/// Host numbers of the store and of the first runner and the first instance.
const STORE_HOST: u8 = 250;
const RUNNER_HOST: u8 = 100;
const INSTANCE_HOST: u8 = 1;

/// Bounds of the small deployments, as their sheets state them.
pub const DRAIN: Duration = Duration::from_millis(2_000);
pub const CONFIGURATION_APPLY: Duration = Duration::from_millis(2_000);
pub const CONTACT: Duration = Duration::from_millis(3_000);
pub const MEMORY_MB: u64 = 260;

/// Ids of the processes that this script has started and that may still run.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Notes a process, which is ended at the latest when the script ends.
pub fn note_started(id: u32) {
    STARTED.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push(id);
}

/// Ends the processes that this script has started and not ended yet.
pub fn end_processes() {
    let started = STARTED.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let own = std::process::id().to_string();
    for id in started.iter() {
        // A process that has ended may have given its id to another one, which is not a child of this script.
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let parent = status.lines().find_map(|line| line.strip_prefix("PPid:"));
        if parent.is_some_and(|parent| parent.trim() == own) {
            let _ = Command::new("kill").arg("-KILL").arg(id.to_string()).status();
        }
    }
}

/// What was sent, answered and run, with the time since the start of the run.
pub struct Record {
    begun: Instant,
    file: Mutex<fs::File>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = fs::File::create(path).expect("record.txt can be written");
        Self { begun: Instant::now(), file: Mutex::new(file) }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.begun.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {}", text.as_ref());
    }
}

/// An instance, and its process while it runs.
struct Instance {
    name: String,
    zone: &'static str,
    process: Option<Child>,
}

/// The instances of a small deployment, on loopback addresses of one network.
pub struct Fleet {
    network: (u8, u8),
    folder: PathBuf,
    instances: Mutex<Vec<Instance>>,
}

const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

impl Fleet {
    /// Finds a network whose addresses are free, and starts the store there.
    pub fn new(count: u8) -> (Self, std::sync::Arc<Store>) {
        let id = std::process::id();
        for attempt in 0..200_u32 {
            let network = (30 + (id % 200) as u8, ((id / 200 + attempt) % 250) as u8);
            let is_free = |host: u8, port| TcpListener::bind(address(network, host, port)).is_ok();
            let ports = [CALLER_PORT, READY_PORT, MEMBER_PORT, INTERNAL_PORT, INTERNAL_PORT + 1];
            let mut hosts = INSTANCE_HOST..INSTANCE_HOST + count;
            if !hosts.all(|host| ports.iter().all(|port| is_free(host, *port))) {
                continue;
            }
            if let Ok(store) = Store::start(address(network, STORE_HOST, SERVER_PORT)) {
                let folder = std::env::temp_dir().join(format!("slipturn-review-{id}"));
                fs::create_dir_all(&folder).expect("a temporary folder");
                let instance = |number: u8| Instance {
                    name: format!("front-{}-{}", ZONES[usize::from(number) % 3], number / 3 + 1),
                    zone: ZONES[usize::from(number) % 3],
                    process: None,
                };
                let instances = Mutex::new((0..count).map(instance).collect());
                return (Self { network, folder, instances }, store);
            }
        }
        panic!("no free network");
    }

    fn instances(&self) -> MutexGuard<'_, Vec<Instance>> {
        self.instances.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    pub fn count(&self) -> u8 {
        self.instances().len() as u8
    }

    pub fn name(&self, number: u8) -> String {
        self.instances()[usize::from(number)].name.clone()
    }

    /// Address at which callers reach an instance.
    pub fn callers(&self, number: u8) -> SocketAddr {
        address(self.network, INSTANCE_HOST + number, CALLER_PORT)
    }

    pub fn runner_address(&self, number: u8) -> SocketAddr {
        address(self.network, RUNNER_HOST + number, SERVER_PORT)
    }

    pub fn runner_zone(&self, number: u8) -> &'static str {
        ZONES[usize::from(number) % 3]
    }

    /// Fills the settings of an instance into the project's template, and starts it.
    pub fn start(&self, number: u8) {
        let mut instances = self.instances();
        let count = instances.len() as u8;
        let instance = &mut instances[usize::from(number)];
        let file = self.folder.join(format!("{}.conf", instance.name));
        let fields = self.fields(number, count, instance);
        let template = fs::read_to_string(deploy_value("template")).expect("the template");
        fs::write(&file, fill(&template, &fields)).expect("the settings are written");
        let log = self.folder.join(format!("{}.log", instance.name));
        let log = fs::OpenOptions::new().create(true).append(true).open(log).expect("a log");
        let run = deploy_value("run");
        let mut words = run.split(' ');
        let mut command = Command::new(words.next().unwrap_or_default());
        command.args(words).env_clear().env("SLIPTURN_BOOT", &file).stdin(Stdio::null());
        let process = command.stdout(log.try_clone().expect("a log")).stderr(log).spawn();
        let process = process.expect("the instance starts; is it built?");
        note_started(process.id());
        instance.process = Some(process);
    }

    pub fn start_all(&self) {
        (0..self.count()).for_each(|number| self.start(number));
    }

    fn fields(&self, number: u8, count: u8, instance: &Instance) -> BTreeMap<String, String> {
        let at = |host: u8, port| address(self.network, INSTANCE_HOST + host, port);
        let text = |value: String| format!("\"{value}\"");
        let seed = |seed| text(at(seed, MEMBER_PORT).to_string());
        let seeds: Vec<_> = (0..count.min(3)).map(seed).collect();
        let fields = [
            ("node_name", text(instance.name.clone())),
            ("zone", text(instance.zone.to_owned())),
            ("ip_address", text(at(number, 0).ip().to_string())),
            ("listen_addresses.front", text(at(number, CALLER_PORT).to_string())),
            ("listen_addresses.ready", text(at(number, READY_PORT).to_string())),
            ("listen_addresses.control", text(at(number, MEMBER_PORT).to_string())),
            ("internal_port_range.0", INTERNAL_PORT.to_string()),
            ("internal_port_range.1", (INTERNAL_PORT + 1).to_string()),
            ("seeds", format!("[{}]", seeds.join(","))),
            ("platform.address", text(address(self.network, STORE_HOST, SERVER_PORT).to_string())),
            ("heartbeat_interval_ms", "1200".to_owned()),
            ("limits.cpu_share", "0.25".to_owned()),
            ("limits.memory_mb", MEMORY_MB.to_string()),
            ("limits.file_descriptors", "4200".to_owned()),
            ("bounds.drain_ms", DRAIN.as_millis().to_string()),
            ("bounds.grace_period_s", "8".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.budget_extra_retries", "100".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("bounds.idle_max_ms", "9000".to_owned()),
        ];
        fields.into_iter().map(|(name, value)| (name.to_owned(), value)).collect()
    }

    pub fn is_ready(&self, number: u8) -> bool {
        let ready = address(self.network, INSTANCE_HOST + number, READY_PORT);
        let asked = Connection::open(ready, Duration::from_secs(1)).and_then(|mut connection| {
            connection.write(b"GET /-/readiness HTTP/1.1\r\nHost: h\r\n\r\n")?;
            connection.read_head()
        });
        matches!(asked, Ok(Some(head)) if head.status() == 200)
    }

    /// Waits until all instances are ready; returns whether they are.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if (0..self.count()).all(|number| self.is_ready(number)) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Resident memory of an instance in bytes; `None` if it does not run.
    pub fn memory(&self, number: u8) -> Option<u64> {
        let id = self.instances()[usize::from(number)].process.as_ref()?.id();
        let text = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.trim().trim_end_matches(" kB").parse::<u64>().ok().map(|kilobytes| kilobytes * 1_024)
    }

    /// Kills an instance with SIGKILL.
    pub fn kill(&self, number: u8) {
        if let Some(mut process) = self.instances()[usize::from(number)].process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Whether the process of an instance has ended by itself, with its status.
    pub fn ended(&self, number: u8) -> Option<String> {
        let mut instances = self.instances();
        let process = instances[usize::from(number)].process.as_mut()?;
        process.try_wait().ok().flatten().map(|status| status.to_string())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        (0..self.count()).for_each(|number| self.kill(number));
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn address((second, third): (u8, u8), host: u8, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, second, third, host), port))
}

/// Value of a key of the deploy file's only role.
fn deploy_value(key: &str) -> String {
    let text = fs::read_to_string("deploy/system.toml").expect("the deploy file");
    let role = text.split_once("[roles.").map_or("", |(_, role)| role);
    let lines = role.lines().filter_map(|line| line.split_once(" = "));
    let found = lines.filter(|(name, _)| name.trim() == key).map(|(_, value)| value).next();
    found.unwrap_or_default().trim().trim_matches('"').to_owned()
}

/// Fills a template as the platform does: `{{a}}`, `{{a|json}}`, and `{{#a}} .. {{/a}}` for a field that is given.
/// The fields are given as JSON.
fn fill(template: &str, fields: &BTreeMap<String, String>) -> String {
    let mut text = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        text.push_str(before);
        let (gap, after) = after.split_once("}}").expect("a gap ends");
        rest = after;
        if let Some(name) = gap.strip_prefix('#') {
            let end = format!("{{{{/{name}}}}}");
            let (inner, after) = rest.split_once(&end).expect("a section ends");
            if fields.contains_key(name) {
                text.push_str(&fill(inner, fields));
            }
            rest = after;
            continue;
        }
        let (name, is_json) = gap.strip_suffix("|json").map_or((gap, false), |name| (name, true));
        let value = fields.get(name).map_or("", String::as_str);
        text.push_str(if is_json { value } else { value.trim_matches('"') });
    }
    text.push_str(rest);
    text
}
