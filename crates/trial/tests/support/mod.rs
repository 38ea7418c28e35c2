//! Starts a fleet of real processes on loopback, and sends requests to it as callers and operators
//! do.
//!
//! Each test has its own fleet and its own ports, so that tests can run in parallel.

#![allow(dead_code, missing_docs, unreachable_pub, clippy::unwrap_used)]

use std::{collections, fs, io, io::Write as _, net, path, process, sync, thread, time};

use serde_json::{Value, json};
use slipturn_platform_standin::proxy;

/// API key of the only customer in the published settings.
pub const API_KEY: &str = "key-1";
/// Time limit of [`wait_until`], and of each read from a connection.
const WAIT_LIMIT: time::Duration = time::Duration::from_secs(40);

/// A child process that is killed on drop.
pub struct Process {
    child: process::Child,
    /// Address that the process listens on.
    pub address: net::SocketAddr,
}

impl Process {
    fn start(role: &str, argument: &str, address: net::SocketAddr, log: &path::Path) -> Self {
        let log = fs::File::create(log).unwrap();
        let child = process::Command::new(env!("CARGO_BIN_EXE_slipturn-trial"))
            .args([role, argument])
            .stderr(log)
            .stdout(process::Stdio::null())
            .spawn()
            .unwrap();
        Self { child, address }
    }

    /// Sends a signal, named as for `kill`: `TERM`, `KILL`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        let status = process::Command::new("kill")
            .args([&format!("-{name}"), &self.child.id().to_string()])
            .status();
        assert!(status.unwrap().success(), "kill -{name}");
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        self.signal("KILL");
        self.child.wait().unwrap();
    }

    /// Waits until the process exits by itself.
    pub fn wait(&mut self) -> process::ExitStatus {
        wait_until("the process exits", || self.child.try_wait().unwrap())
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// One instance: an entry and a scheduler that share a settings file.
pub struct Instance {
    pub name: String,
    pub entry: Process,
    pub scheduler: Process,
    /// Address of the operator interface, which the entry serves.
    pub operators: net::SocketAddr,
    /// Settings file of the entry and the scheduler.
    settings_file: path::PathBuf,
}

/// Size, topology and settings of a fleet.
pub struct FleetConfig {
    pub instances: usize,
    pub engines: usize,
    pub services: usize,
    /// Whether the service stand-ins reject repeated idempotency keys themselves.
    pub checks_keys: bool,
    /// Index of the first instance that uses a second platform. Needed for
    /// [`Fleet::partition_network`].
    pub second_platform_from: Option<usize>,
    /// Whether instances reach the first platform through a proxy, which can silence connections.
    pub platform_proxy: bool,
    /// Settings below `fleet:`, as YAML in flow style.
    pub fleet: &'static str,
    /// Settings below `defaults:`, as YAML in flow style.
    pub defaults: &'static str,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            instances: 1,
            engines: 1,
            services: 0,
            checks_keys: false,
            second_platform_from: None,
            platform_proxy: false,
            fleet: "{key_retention: 5s, orphan_grace: 3s}",
            defaults: "{time_limit: 20s, max_output_tokens: 400, token_rate: 1000000000.0, \
                       token_burst: 1000000000}",
        }
    }
}

/// The running processes of a fleet, and the list of its instances, engines and upstreams that
/// [`Self::publish_list`] publishes.
pub struct Fleet {
    pub platform: Process,
    /// Index of the first instance on the second platform, and that platform.
    second_platform: Option<(usize, Process)>,
    /// Proxy between the instances and the first platform.
    pub platform_proxy: Option<sync::Arc<proxy::Proxy>>,
    pub engines: Vec<Process>,
    pub services: Vec<Process>,
    pub instances: Vec<Instance>,
    dir: path::PathBuf,
    /// Names of the instances, engines and upstreams that the published list marks as leaving.
    leaving: collections::BTreeSet<String>,
    /// The list without revision and states, and a flag `checks_keys` that is not published.
    list: Value,
    /// Revision of the list that was last published from `list`; 0 before the first.
    revision: u64,
}

impl Fleet {
    /// Starts all processes, publishes settings and the list, and waits until the fleet is ready.
    pub fn start(config: &FleetConfig) -> Self {
        let mut fleet = Self::start_standins(config);
        fleet.publish_settings(1, config.fleet, config.defaults);
        fleet.publish_list();
        for index in 0..config.instances {
            fleet.start_instance(index);
        }
        fleet.wait_ready();
        fleet
    }

    /// Starts the platforms, engines and services, but no instances. Publishes nothing.
    pub fn start_standins(config: &FleetConfig) -> Self {
        let dir = create_temp_dir();
        let start = |role: &str, index: usize| {
            let address = free_address();
            Process::start(
                role,
                &address.to_string(),
                address,
                &dir.join(format!("{role}-{index}.log")),
            )
        };
        let role = if config.checks_keys { "service-checking" } else { "service" };
        let platform = start("platform", 0);
        let second_platform =
            config.second_platform_from.map(|first_index| (first_index, start("platform", 1)));
        let engines: Vec<_> = (0..config.engines).map(|index| start("engine", index)).collect();
        let services: Vec<_> = (0..config.services).map(|index| start(role, index)).collect();
        let second = second_platform.iter().map(|(_, process)| process);
        for process in engines.iter().chain(&services).chain([&platform]).chain(second) {
            wait_until("a stand-in listens", || net::TcpStream::connect(process.address).ok());
        }
        let platform_proxy = config.platform_proxy.then(|| {
            proxy::Proxy::start(free_address(), platform.address, &sync::Arc::default())
                .expect("failed to start the platform proxy")
        });
        let list = build_list(config.instances, &engines, &services);
        let leaving = collections::BTreeSet::new();
        Self {
            platform,
            second_platform,
            platform_proxy,
            engines,
            services,
            instances: Vec::new(),
            dir,
            leaving,
            list,
            revision: 0,
        }
    }

    /// Starts the entry and the scheduler of the instance at this index in the list.
    pub fn start_instance(&mut self, index: usize) {
        let row = self.list["instances"][index].clone();
        let name = row["name"].as_str().unwrap().to_owned();
        let settings_file = self.dir.join(format!("{name}.yaml"));
        let local_settings = json!({
            "instance": name,
            "data_center": row["data_center"],
            "listen": {
                "callers": row["entry"], "operators": row["operators"], "scheduler": row["scheduler"],
            },
            "platform": [self.platform_address(index).to_string()],
            "limits": { "max_body": "2MiB", "held_bodies": "4MiB", "body_time": "2s", "sleep_bound": "1s" },
            "log": { "level": "debug", "format": "text" },
        });
        fs::write(&settings_file, local_settings.to_string()).unwrap();
        let address = |field: &str| row[field].as_str().unwrap().parse().unwrap();
        let start = |role: &str, address| {
            Process::start(
                role,
                settings_file.to_str().unwrap(),
                address,
                &self.dir.join(format!("{name}-{role}.log")),
            )
        };
        let instance = Instance {
            scheduler: start("scheduler", address("scheduler")),
            entry: start("entry", address("entry")),
            operators: address("operators"),
            name,
            settings_file,
        };
        self.instances.push(instance);
    }

    /// Starts the entry or scheduler of an instance again, after its previous process has exited.
    pub fn restart(&mut self, index: usize, role: &str) {
        let dir = self.dir.clone();
        let instance = &mut self.instances[index];
        let process = if role == "entry" { &mut instance.entry } else { &mut instance.scheduler };
        let log = dir.join(format!("{}-{role}-again.log", instance.name));
        *process =
            Process::start(role, instance.settings_file.to_str().unwrap(), process.address, &log);
    }

    /// Publishes settings with one customer, `bluebonnet`, and one service, `rsvp`.
    pub fn publish_settings(&self, version: u64, fleet: &str, defaults: &str) {
        let digest = slipturn_core::settings_resolve::key_digest(API_KEY);
        let text = format!(
            "version: {version}\nfleet: {fleet}\ndefaults: {defaults}\n\
             services: {{rsvp: {{methods: {{GET: repeatable, POST: once}}, time_limit: 2s, \
             checks_keys: {}}}}}\n\
             customers: {{bluebonnet: {{keys: [{{sha256: {digest}, application: drafts}}], \
             applications: {{drafts: {{}}}}}}}}\n",
            self.list["checks_keys"]
        );
        self.publish("settings", version, &text);
    }

    /// Publishes the list under the next revision.
    pub fn publish_list(&mut self) {
        self.revision += 1;
        let mut list = self.list.clone();
        list.as_object_mut().unwrap().remove("checks_keys");
        list["revision"] = json!(self.revision);
        for kind in ["instances", "engines", "upstreams"] {
            for row in list[kind].as_array_mut().unwrap() {
                if self.leaving.contains(row["name"].as_str().unwrap()) {
                    row["state"] = json!("leaving");
                }
            }
        }
        self.publish("list", self.revision, &list.to_string());
    }

    /// Sets `checks_keys` of the service in all settings published from now on.
    pub fn declare_checks_keys(&mut self) {
        self.list["checks_keys"] = json!(true);
    }

    /// Publishes a list that marks an instance, engine or upstream as leaving.
    pub fn mark_leaving(&mut self, name: &str) {
        self.leaving.insert(name.to_owned());
        self.publish_list();
    }

    /// Publishes a document on every platform. `number` is its version or revision.
    pub fn publish(&self, name: &str, number: u64, text: &str) {
        publish_to(self.platform.address, name, number, text);
        if let Some((_, second)) = &self.second_platform {
            publish_to(second.address, name, number, text);
        }
    }

    /// Simulates a network partition between the instances on the two platforms.
    ///
    /// Each platform serves a list in which the schedulers of the other side have an address
    /// that nothing listens on. [`Self::publish_list`] ends the partition.
    pub fn partition_network(&mut self) {
        let (first_index, second) = self.second_platform.as_ref().unwrap();
        let (first_index, second) = (*first_index, second.address);
        self.revision += 1;
        for (address, unreachable) in
            [(self.platform.address, first_index..usize::MAX), (second, 0..first_index)]
        {
            let mut list = self.list.clone();
            list.as_object_mut().unwrap().remove("checks_keys");
            list["revision"] = json!(self.revision);
            for (index, row) in list["instances"].as_array_mut().unwrap().iter_mut().enumerate() {
                if unreachable.contains(&index) {
                    row["scheduler"] = json!("127.0.0.1:9");
                }
            }
            publish_to(address, "list", self.revision, &list.to_string());
        }
        self.wait_list();
    }

    /// Waits until every entry uses the last published list.
    pub fn wait_list(&self) {
        for instance in &self.instances {
            wait_until("the list is in effect", || {
                let status = get(instance.operators, "/v1/status").ok()?.json();
                (status["entry"]["list_revision"] == self.revision).then_some(())
            });
        }
    }

    fn platform_address(&self, index: usize) -> net::SocketAddr {
        match &self.second_platform {
            Some((first_index, second)) if index >= *first_index => second.address,
            _ => {
                let proxy = self.platform_proxy.as_ref();
                proxy.map_or(self.platform.address, |proxy| proxy.address)
            }
        }
    }

    /// Waits until all instances accept requests and every engine is owned by a scheduler that can
    /// reach it.
    pub fn wait_ready(&self) {
        for index in 0..self.instances.len() {
            wait_until("an instance is ready", || {
                let ready = get(self.instances[index].operators, "/readyz").ok()?;
                (ready.status == 200).then_some(())
            });
        }
        let engines = self.engines.len();
        wait_until("all engines are reachable", || {
            let count_owned = |instance: &Instance| {
                let status = get(instance.operators, "/v1/status").ok()?.json();
                let rows = status["scheduler"]["engines"].as_array()?.clone();
                Some(
                    rows.iter()
                        .filter(|row| row["owned"] == true && row["reachable"] == true)
                        .count(),
                )
            };
            let owned_engines: usize = self.instances.iter().filter_map(count_owned).sum();
            (owned_engines == engines).then_some(())
        });
    }

    /// Waits until no engine holds memory for a request.
    pub fn wait_no_memory_held(&self) {
        for engine in &self.engines {
            wait_until("the engine holds no memory", || {
                let load = get(engine.address, "/v1/load").ok()?.json();
                load["held"].as_array()?.is_empty().then_some(())
            });
        }
    }

    /// Waits until every entry and scheduler uses this settings version, and returns the time
    /// waited.
    pub fn wait_version(&self, version: u64) -> time::Duration {
        let started = time::Instant::now();
        for instance in &self.instances {
            wait_until("the settings version is in effect", || {
                let status = get(instance.operators, "/v1/status").ok()?.json();
                let entry = status["entry"]["settings_version"] == version;
                (entry && status["scheduler"]["settings_version"] == version).then_some(())
            });
        }
        started.elapsed()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("process logs: {}", self.dir.display());
        } else {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

fn publish_to(platform: net::SocketAddr, name: &str, number: u64, text: &str) {
    let path = format!("/documents/{name}?number={number}");
    let answer = request(platform, "PUT", &path, &[], text.as_bytes()).unwrap();
    assert_eq!(answer.status, 200);
}

/// Builds the list of a fleet, with the flag `checks_keys` that is not published.
fn build_list(instances: usize, engines: &[Process], services: &[Process]) -> Value {
    let instances = (0..instances).map(|index| {
        json!({
            "name": format!("instance-{index}"),
            "data_center": format!("dc-{}", index % 3),
            "entry": free_address().to_string(),
            "operators": free_address().to_string(),
            "scheduler": free_address().to_string(),
        })
    });
    let engine = |(index, process): (usize, &Process)| {
        json!({
            "name": format!("engine-{index}"),
            "data_center": format!("dc-{}", index % 3),
            "model": "invitation",
            "address": process.address.to_string(),
            "memory": 100_000,
            "prefill_rate": 200_000.0,
        })
    };
    let upstream = |(index, process): (usize, &Process)| {
        json!({
            "name": format!("rsvp-{index}"),
            "service": "rsvp",
            "data_center": format!("dc-{}", index % 3),
            "address": process.address.to_string(),
        })
    };
    json!({
        "instances": instances.collect::<Vec<_>>(),
        "engines": engines.iter().enumerate().map(engine).collect::<Vec<_>>(),
        "upstreams": services.iter().enumerate().map(upstream).collect::<Vec<_>>(),
        "checks_keys": false,
    })
}

fn create_temp_dir() -> path::PathBuf {
    static COUNTER: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
    let number = COUNTER.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
    let dir = path::Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("trial-{}-{number}", process::id()));
    fs::create_dir_all(&dir).unwrap();
    dir
}

/// Returns a loopback address that nothing listens on, with a port below the ephemeral range.
///
/// An ephemeral port could be taken by an outgoing connection before the new process binds it. Each
/// test process takes its ports from a range that is chosen by its process id.
pub fn free_address() -> net::SocketAddr {
    static NEXT: std::sync::atomic::AtomicU16 = std::sync::atomic::AtomicU16::new(0);
    const FIRST_PORT: u16 = 10_000;
    const PORTS_PER_RANGE: u16 = 400;
    const PORT_RANGES: u32 = 50;
    let range_offset = u16::try_from(process::id() % PORT_RANGES).unwrap() * PORTS_PER_RANGE;
    for _ in 0..PORTS_PER_RANGE {
        let next = NEXT.fetch_add(1, std::sync::atomic::Ordering::SeqCst) % PORTS_PER_RANGE;
        let address = net::SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + range_offset + next));
        // Probe by connecting, not by binding: a child that another test starts at that moment
        // could inherit the bound socket, and the address would be in use when the intended process
        // binds it.
        if net::TcpStream::connect(address).is_err() {
            return address;
        }
    }
    panic!("no free port in the range of this process");
}

/// Polls until `poll` returns a value. Panics after [`WAIT_LIMIT`], naming the condition.
pub fn wait_until<T>(condition: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let started = time::Instant::now();
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(started.elapsed() < WAIT_LIMIT, "timed out waiting until {condition}");
        thread::sleep(time::Duration::from_millis(20));
    }
}

/// An HTTP response, with as much of its body as arrived.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: collections::BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// False if a chunked body broke off before its last chunk.
    pub ended: bool,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Field `code` of an error body, or an empty string.
    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or_default().to_owned()
    }

    /// Field `ran` of an error body, or an empty string.
    pub fn ran(&self) -> String {
        self.json()["error"]["ran"].as_str().unwrap_or_default().to_owned()
    }
}

/// Sends a request on a new connection and reads the whole answer.
pub fn request(
    address: net::SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<Answer> {
    let mut stream = connect(address)?;
    send(&mut stream, method, path, headers, body)?;
    read_answer(&mut io::BufReader::new(stream))
}

/// Opens a connection whose reads time out after [`WAIT_LIMIT`].
pub fn connect(address: net::SocketAddr) -> io::Result<net::TcpStream> {
    let stream = net::TcpStream::connect_timeout(&address, time::Duration::from_secs(2))?;
    stream.set_read_timeout(Some(WAIT_LIMIT))?;
    Ok(stream)
}

/// Sends an HTTP request with a `content-length` header.
pub fn send(
    stream: &mut net::TcpStream,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text =
        format!("{method} {path} HTTP/1.1\r\nhost: trial\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    stream.write_all(text.as_bytes())?;
    stream.write_all(body)
}

/// Reads an HTTP response with a body of known length or in chunks. Chunks that break off are no
/// error, but clear [`Answer::ended`].
pub fn read_answer(reader: &mut impl io::BufRead) -> io::Result<Answer> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("no valid status line"))?;
    let mut headers = collections::BTreeMap::new();
    loop {
        line.clear();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim_end().split_once(": ") else { break };
        headers.insert(name.to_ascii_lowercase(), value.to_owned());
    }
    let mut answer = Answer { status, headers, body: Vec::new(), ended: true };
    if let Some(length) = answer.headers.get("content-length") {
        answer.body = vec![0; length.parse().unwrap()];
        reader.read_exact(&mut answer.body)?;
    } else if answer.headers.contains_key("transfer-encoding") {
        answer.ended = read_chunks(reader, &mut answer.body).is_ok();
    }
    Ok(answer)
}

fn read_chunks(reader: &mut impl io::BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let length = usize::from_str_radix(line.trim_end(), 16).map_err(io::Error::other)?;
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk)?;
        if length == 0 {
            return Ok(());
        }
        body.extend_from_slice(&chunk[..length]);
    }
}

pub fn get(address: net::SocketAddr, path: &str) -> io::Result<Answer> {
    request(address, "GET", path, &[], &[])
}

/// Replaces the fault plan of a stand-in.
pub fn set_faults(address: net::SocketAddr, plan: &Value) {
    let answer = request(address, "POST", "/faults", &[], plan.to_string().as_bytes()).unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
}

/// Reads the counters of a stand-in.
pub fn counts(address: net::SocketAddr) -> Value {
    get(address, "/counts").unwrap().json()
}

/// Builds the body of a model request. The prompt is `prompt_start` and about `tokens` more tokens.
pub fn prompt_body(prompt_start: &str, tokens: usize, output: u64, stream: bool) -> Value {
    let content = format!("{prompt_start} {}", "abc ".repeat(tokens));
    json!({
        "model": "invitation",
        "stream": stream,
        "max_tokens": output,
        "messages": [{ "role": "user", "content": content }],
    })
}

/// Sends a model request with the customer's API key and reads the answer.
pub fn complete(address: net::SocketAddr, body: &Value) -> io::Result<Answer> {
    complete_with(address, body, &[])
}

/// Like [`complete`], with additional headers.
pub fn complete_with(
    address: net::SocketAddr,
    body: &Value,
    extra_headers: &[(&str, &str)],
) -> io::Result<Answer> {
    let bearer = format!("Bearer {API_KEY}");
    let mut headers = vec![("authorization", bearer.as_str())];
    headers.extend(extra_headers);
    request(address, "POST", "/v1/chat/completions", &headers, body.to_string().as_bytes())
}

/// Calls the service `rsvp`, with an idempotency key if `key` is given.
pub fn call_service(
    address: net::SocketAddr,
    method: &str,
    key: Option<&str>,
) -> io::Result<Answer> {
    let bearer = format!("Bearer {API_KEY}");
    let mut headers = vec![("authorization", bearer.as_str())];
    headers.extend(key.map(|key| ("idempotency-key", key)));
    request(address, method, "/services/rsvp/send", &headers, b"{}")
}

/// Whether a streamed answer is complete and belongs to the request with this body.
pub fn is_complete_answer(answer: &Answer, body: &Value) -> bool {
    let fingerprint = slipturn_standin::engine::prompt_fingerprint(&body["messages"].to_string());
    let output = body["max_tokens"].as_u64().unwrap();
    answer.status == 200
        && answer.ended
        && slipturn_load::caller::check_response(&answer.text(), &fingerprint, output).is_ok()
}
