//! Starts a small fleet of real processes on loopback, and talks to it as callers and operators do.
//!
//! Ports are taken from the system, one fleet a test, so that tests run beside each other.

#![allow(dead_code, missing_docs, unreachable_pub, clippy::unwrap_used)]

use std::{collections, fs, io, io::Write as _, net, path, process, sync, thread, time};

use serde_json::{Value, json};
use slipturn_platform_standin::proxy;

/// Key of the only customer's callers.
pub const KEY: &str = "key-1";
/// Longest a trial waits for anything.
const PATIENCE: time::Duration = time::Duration::from_secs(40);

/// A process that is killed when the test ends.
pub struct Process {
    child: process::Child,
    /// Where it listens.
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

    /// Sends a signal: `TERM`, `KILL`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        let status = process::Command::new("kill")
            .args([&format!("-{name}"), &self.child.id().to_string()])
            .status();
        assert!(status.unwrap().success(), "kill -{name}");
    }

    /// Kills it, and waits until it is gone.
    pub fn kill(&mut self) {
        self.signal("KILL");
        self.child.wait().unwrap();
    }

    /// Waits for it to exit by itself.
    pub fn wait(&mut self) -> process::ExitStatus {
        until("the process exits", || self.child.try_wait().unwrap())
    }

    /// Its process number.
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

/// One instance: its two processes and their addresses.
pub struct Instance {
    pub name: String,
    pub entry: Process,
    pub scheduler: Process,
    pub operators: net::SocketAddr,
    file: path::PathBuf,
}

/// What a fleet is made of.
pub struct FleetShape {
    pub instances: usize,
    pub engines: usize,
    pub services: usize,
    pub checks_keys: bool,
    /// Instances from this one on have a platform of their own, so that they can be cut off.
    pub split: Option<usize>,
    /// Whether a proxy stands before the platform, so that its connections can fall silent.
    pub platform_link: bool,
    /// YAML of the settings below `fleet:`, in flow style.
    pub fleet: &'static str,
    /// YAML of the settings below `defaults:`, in flow style.
    pub defaults: &'static str,
}

impl Default for FleetShape {
    fn default() -> Self {
        Self {
            instances: 1,
            engines: 1,
            services: 0,
            checks_keys: false,
            split: None,
            platform_link: false,
            fleet: "{key_retention: 5s, orphan_grace: 3s}",
            defaults: "{time_limit: 20s, max_output_tokens: 400, token_rate: 1000000000.0, \
                       token_burst: 1000000000}",
        }
    }
}

/// A whole fleet of processes.
pub struct Fleet {
    pub platform: Process,
    /// The platform of the instances from the split on.
    far_platform: Option<(usize, Process)>,
    /// The proxy before the platform, where there is one.
    pub platform_link: Option<sync::Arc<proxy::Proxy>>,
    pub engines: Vec<Process>,
    pub services: Vec<Process>,
    pub instances: Vec<Instance>,
    folder: path::PathBuf,
    leaving: collections::BTreeSet<String>,
    list: Value,
    revision: u64,
}

impl Fleet {
    /// Starts a fleet and waits until it is ready.
    pub fn start(shape: &FleetShape) -> Self {
        let mut fleet = Self::start_standins(shape);
        fleet.publish_settings(1, shape.fleet, shape.defaults);
        fleet.publish_list();
        for index in 0..shape.instances {
            fleet.start_instance(index);
        }
        fleet.wait_ready();
        fleet
    }

    /// Starts the platform, engines and services, and lays the instances' files out.
    pub fn start_standins(shape: &FleetShape) -> Self {
        let folder = new_folder();
        let start = |role: &str, index: usize| {
            let address = free_address();
            Process::start(
                role,
                &address.to_string(),
                address,
                &folder.join(format!("{role}-{index}.log")),
            )
        };
        let role = if shape.checks_keys { "service-checking" } else { "service" };
        let platform = start("platform", 0);
        let far_platform = shape.split.map(|split| (split, start("platform", 1)));
        let engines: Vec<_> = (0..shape.engines).map(|index| start("engine", index)).collect();
        let services: Vec<_> = (0..shape.services).map(|index| start(role, index)).collect();
        let far = far_platform.iter().map(|(_, process)| process);
        for process in engines.iter().chain(&services).chain([&platform]).chain(far) {
            until("a stand-in listens", || net::TcpStream::connect(process.address).ok());
        }
        let platform_link = shape.platform_link.then(|| {
            proxy::Proxy::start(free_address(), platform.address)
                .expect("a proxy before the platform")
        });
        let list = describe(shape.instances, &engines, &services);
        let leaving = collections::BTreeSet::new();
        Self {
            platform,
            far_platform,
            platform_link,
            engines,
            services,
            instances: Vec::new(),
            folder,
            leaving,
            list,
            revision: 0,
        }
    }

    /// Starts the processes of the instance with this index in the list.
    pub fn start_instance(&mut self, index: usize) {
        let row = self.list["instances"][index].clone();
        let name = row["name"].as_str().unwrap().to_owned();
        let file = self.folder.join(format!("{name}.yaml"));
        let local = json!({
            "instance": name,
            "data_center": row["data_center"],
            "listen": {
                "callers": row["entry"], "operators": row["operators"], "scheduler": row["scheduler"],
            },
            "platform": [self.platform_of(index).to_string()],
            "limits": { "max_body": "2MiB", "held_bodies": "4MiB", "body_time": "2s", "sleep_bound": "1s" },
            "log": { "level": "debug", "format": "text" },
        });
        fs::write(&file, local.to_string()).unwrap();
        let address = |field: &str| row[field].as_str().unwrap().parse().unwrap();
        let start = |role: &str, address| {
            Process::start(
                role,
                file.to_str().unwrap(),
                address,
                &self.folder.join(format!("{name}-{role}.log")),
            )
        };
        let instance = Instance {
            scheduler: start("scheduler", address("scheduler")),
            entry: start("entry", address("entry")),
            operators: address("operators"),
            name,
            file,
        };
        self.instances.push(instance);
    }

    /// Starts an instance's killed process again: another start of the same name.
    pub fn restart(&mut self, index: usize, role: &str) {
        let folder = self.folder.clone();
        let instance = &mut self.instances[index];
        let process = if role == "entry" { &mut instance.entry } else { &mut instance.scheduler };
        let log = folder.join(format!("{}-{role}-again.log", instance.name));
        *process = Process::start(role, instance.file.to_str().unwrap(), process.address, &log);
    }

    /// Publishes the settings with the standard customer and services.
    pub fn publish_settings(&self, version: u64, fleet: &str, defaults: &str) {
        let digest = slipturn_core::settings_resolve::key_digest(KEY);
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

    /// Publishes the list with another revision.
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

    /// Has the settings say that the service's upstreams check keys themselves.
    pub fn declare_checks_keys(&mut self) {
        self.list["checks_keys"] = json!(true);
    }

    /// Publishes that something is leaving.
    pub fn list_leaving(&mut self, name: &str) {
        self.leaving.insert(name.to_owned());
        self.publish_list();
    }

    /// Publishes any document, on both platforms where there are two.
    pub fn publish(&self, name: &str, number: u64, text: &str) {
        publish_at(self.platform.address, name, number, text);
        if let Some((_, far)) = &self.far_platform {
            publish_at(far.address, name, number, text);
        }
    }

    /// Cuts the two parts of a split fleet from each other: each is told addresses for the other's
    /// schedulers at which nobody answers. Published whole again by [`Self::publish_list`].
    pub fn cut(&mut self) {
        let (split, far) = self.far_platform.as_ref().unwrap();
        let (split, far) = (*split, far.address);
        self.revision += 1;
        for (address, cut_off) in [(self.platform.address, split..usize::MAX), (far, 0..split)] {
            let mut list = self.list.clone();
            list.as_object_mut().unwrap().remove("checks_keys");
            list["revision"] = json!(self.revision);
            for (index, row) in list["instances"].as_array_mut().unwrap().iter_mut().enumerate() {
                if cut_off.contains(&index) {
                    row["scheduler"] = json!("127.0.0.1:9");
                }
            }
            publish_at(address, "list", self.revision, &list.to_string());
        }
        self.wait_list();
    }

    /// Waits until every entry has the list that was published last.
    pub fn wait_list(&self) {
        for instance in &self.instances {
            until("the list is in force", || {
                let status = get(instance.operators, "/v1/status").ok()?.json();
                (status["entry"]["list_revision"] == self.revision).then_some(())
            });
        }
    }

    fn platform_of(&self, index: usize) -> net::SocketAddr {
        match &self.far_platform {
            Some((split, far)) if index >= *split => far.address,
            _ => {
                let link = self.platform_link.as_ref();
                link.map_or(self.platform.address, |link| link.address)
            }
        }
    }

    /// Waits until all instances take requests and all engines are known to their schedulers.
    pub fn wait_ready(&self) {
        for index in 0..self.instances.len() {
            until("an instance is ready", || {
                let ready = get(self.instances[index].operators, "/readyz").ok()?;
                (ready.status == 200).then_some(())
            });
        }
        let engines = self.engines.len();
        until("all engines are reachable", || {
            let owned = |instance: &Instance| {
                let status = get(instance.operators, "/v1/status").ok()?.json();
                let rows = status["scheduler"]["engines"].as_array()?.clone();
                Some(
                    rows.iter()
                        .filter(|row| row["owned"] == true && row["reachable"] == true)
                        .count(),
                )
            };
            let known: usize = self.instances.iter().filter_map(owned).sum();
            (known == engines).then_some(())
        });
    }

    /// Waits until no engine holds any memory.
    pub fn wait_no_memory_held(&self) {
        for engine in &self.engines {
            until("the engine holds nothing", || {
                let load = get(engine.address, "/v1/load").ok()?.json();
                load["held"].as_array()?.is_empty().then_some(())
            });
        }
    }

    /// Waits until every instance has settings of this version in force.
    pub fn wait_version(&self, version: u64) -> time::Duration {
        let started = time::Instant::now();
        for instance in &self.instances {
            until("the version is in force", || {
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
            eprintln!("logs of the trial: {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn publish_at(platform: net::SocketAddr, name: &str, number: u64, text: &str) {
    let path = format!("/documents/{name}?number={number}");
    let answer = request(platform, "PUT", &path, &[], text.as_bytes()).unwrap();
    assert_eq!(answer.status, 200);
}

fn describe(instances: usize, engines: &[Process], services: &[Process]) -> Value {
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

fn new_folder() -> path::PathBuf {
    static COUNTER: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
    let number = COUNTER.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
    let folder = path::Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("trial-{}-{number}", process::id()));
    fs::create_dir_all(&folder).unwrap();
    folder
}

/// An address that nothing listens on, below the range that outgoing connections take theirs from.
///
/// A port handed out by the system could be taken by somebody's outgoing connection before the
/// process that is to have it comes up. Each test process takes its ports from a slice of its own.
pub fn free_address() -> net::SocketAddr {
    static NEXT: std::sync::atomic::AtomicU16 = std::sync::atomic::AtomicU16::new(0);
    const FIRST: u16 = 10_000;
    const SLICE: u16 = 400;
    const SLICES: u32 = 50;
    let slice = u16::try_from(process::id() % SLICES).unwrap() * SLICE;
    for _ in 0..SLICE {
        let next = NEXT.fetch_add(1, std::sync::atomic::Ordering::SeqCst) % SLICE;
        let address = net::SocketAddr::from(([127, 0, 0, 1], FIRST + slice + next));
        // Binding to find out would let a process that another test starts inherit the socket for
        // a moment, and the one meant to listen would find the address in use.
        if net::TcpStream::connect(address).is_err() {
            return address;
        }
    }
    panic!("no free port");
}

/// Waits for something to come about.
pub fn until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let started = time::Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(started.elapsed() < PATIENCE, "waited in vain: {what}");
        thread::sleep(time::Duration::from_millis(20));
    }
}

/// An answer read to its end.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: collections::BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether a chunked answer ended properly.
    pub ended: bool,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// The `code` of an error.
    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or_default().to_owned()
    }

    /// The `ran` of an error.
    pub fn ran(&self) -> String {
        self.json()["error"]["ran"].as_str().unwrap_or_default().to_owned()
    }
}

/// Sends a request on a connection of its own and reads the whole answer.
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

pub fn connect(address: net::SocketAddr) -> io::Result<net::TcpStream> {
    let stream = net::TcpStream::connect_timeout(&address, time::Duration::from_secs(2))?;
    stream.set_read_timeout(Some(PATIENCE))?;
    Ok(stream)
}

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

pub fn read_answer(reader: &mut impl io::BufRead) -> io::Result<Answer> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("no answer"))?;
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

/// Puts a stand-in's faults in force.
pub fn set_faults(address: net::SocketAddr, plan: &Value) {
    let answer = request(address, "POST", "/faults", &[], plan.to_string().as_bytes()).unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
}

/// What a stand-in has counted.
pub fn counts(address: net::SocketAddr) -> Value {
    get(address, "/counts").unwrap().json()
}

/// The body of a model request with a prompt of about this many tokens.
pub fn prompt_body(word: &str, tokens: usize, output: u64, stream: bool) -> Value {
    let content = format!("{word} {}", "abc ".repeat(tokens));
    json!({
        "model": "invitation",
        "stream": stream,
        "max_tokens": output,
        "messages": [{ "role": "user", "content": content }],
    })
}

/// Makes a model request and reads its answer.
pub fn complete(address: net::SocketAddr, body: &Value) -> io::Result<Answer> {
    complete_with(address, body, &[])
}

pub fn complete_with(
    address: net::SocketAddr,
    body: &Value,
    more: &[(&str, &str)],
) -> io::Result<Answer> {
    let bearer = format!("Bearer {KEY}");
    let mut headers = vec![("authorization", bearer.as_str())];
    headers.extend(more);
    request(address, "POST", "/v1/chat/completions", &headers, body.to_string().as_bytes())
}

/// Calls the plain service.
pub fn call_service(
    address: net::SocketAddr,
    method: &str,
    key: Option<&str>,
) -> io::Result<Answer> {
    let bearer = format!("Bearer {KEY}");
    let mut headers = vec![("authorization", bearer.as_str())];
    headers.extend(key.map(|key| ("idempotency-key", key)));
    request(address, method, "/services/rsvp/send", &headers, b"{}")
}

/// Whether a streamed answer is exactly the one to this body.
pub fn is_whole_answer(answer: &Answer, body: &Value) -> bool {
    let mark = slipturn_standin::engine::prompt_fingerprint(&body["messages"].to_string());
    let output = body["max_tokens"].as_u64().unwrap();
    answer.status == 200
        && answer.ended
        && slipturn_load::caller::check_response(&answer.text(), &mark, output).is_ok()
}
