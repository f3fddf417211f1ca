//! Stand-ins for the platform's store, its workers and its clients, on loopback addresses, and the
//! start of the project's own daemon as a separate process. Uses the standard library only.
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap},
    fs,
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Exit status of a case that could not run.
pub const COULD_NOT_RUN: i32 = 2;

/// Longest time of a run.
const RUN_LIMIT: Duration = Duration::from_secs(100);

/// Sleeps for a number of milliseconds.
pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Returns whether the run has its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Returns the present time in Unix milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// The record of a run, with the time of each line since its start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    /// Creates the file that `RECORD` names, or `record.txt`.
    pub fn create() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file = fs::File::create(&path).unwrap_or_else(|error| {
            eprintln!("{path}: {error}");
            std::process::exit(COULD_NOT_RUN);
        });
        thread::spawn(|| {
            thread::sleep(RUN_LIMIT);
            println!("could not run: not over in time");
            std::process::exit(COULD_NOT_RUN);
        });
        Self { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} s  {}\n", self.started.elapsed().as_secs_f64(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Returns the time since the start.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }
}

/// Ends a run with its result: status 1 if `broken` holds a text, or 0.
pub fn conclude(record: &Record, hosts: Vec<Host>, broken: Option<String>) -> ! {
    end(hosts);
    match broken {
        Some(text) => {
            record.line(format!("RULE BROKEN: {text}"));
            println!("rule broken: {text}");
            std::process::exit(1);
        }
        None => {
            record.line("rule held");
            println!("rule held");
            std::process::exit(0);
        }
    }
}

/// Ends the processes, and removes their settings and logs unless `KEEP` is set.
fn end(hosts: Vec<Host>) {
    for mut host in hosts {
        host.kill();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&host.folder);
        }
    }
}

/// Ends a run that could not be carried out.
pub fn give_up(record: &Record, hosts: Vec<Host>, text: &str) -> ! {
    end(hosts);
    record.line(format!("could not run: {text}"));
    println!("could not run: {text}");
    std::process::exit(COULD_NOT_RUN);
}

// ---------------------------------------------------------------------------------------------
// HTTP

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

/// A connection with the bytes that were read ahead.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, limit).map(Self::new)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16384];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads a head; `None` at the end of the connection before a first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                break end;
            }
            if self.fill()? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first_line = lines.next().unwrap_or("").to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()))
            .collect();
        Ok(Some(Message { first_line, headers, body: Vec::new() }))
    }

    /// Reads up to `count` bytes of a body.
    fn read_exact_body(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads at least one byte of a body, and at most `limit`.
    pub fn read_some(&mut self, limit: usize) -> io::Result<Vec<u8>> {
        if self.buffer.is_empty() && self.fill()? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let count = limit.min(self.buffer.len());
        Ok(self.buffer.drain(..count).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the next chunk of a body in chunks; `None` after the last one.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.read_line()?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let data = self.read_exact_body(size)?;
        self.read_line()?;
        Ok((size > 0).then_some(data))
    }

    /// Reads a whole request or answer with a length or in chunks.
    pub fn read_message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        let is_chunked = message.header("transfer-encoding").is_some();
        if is_chunked {
            while let Some(chunk) = self.read_chunk()? {
                message.body.extend(chunk);
            }
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().unwrap_or(0);
            message.body = self.read_exact_body(length)?;
        }
        Ok(Some(message))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|window| window == needle)
}

/// Renders an answer with a length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (key, value) in headers {
        out.push_str(&format!("{key}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// Renders the head of an answer in chunks.
pub fn chunked_head(headers: &[(&str, &str)]) -> Vec<u8> {
    let mut out = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n".to_owned();
    for (key, value) in headers {
        out.push_str(&format!("{key}: {value}\r\n"));
    }
    out.push_str("\r\n");
    out.into_bytes()
}

/// Renders a chunk.
pub fn chunk(data: &str) -> Vec<u8> {
    format!("{:x}\r\n{data}\r\n", data.len()).into_bytes()
}

/// Serves each connection of a listener on a thread of its own.
pub fn serve(listener: TcpListener, handler: impl Fn(Wire) + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handler = Arc::clone(&handler);
            thread::spawn(move || handler(Wire::new(stream)));
        }
    });
}

/// Binds a free port of the loopback address.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    (listener, address)
}

/// Returns a port that is free for TCP and UDP.
pub fn free_port() -> u16 {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let port = listener.local_addr().expect("a bound address").port();
        if UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Store

/// Most bytes of one read: `MaxKb` is 1,024 where a call names none.
const READ_LIMIT_BYTES: usize = (1024 << 10) - 1024;

#[derive(Clone, Default)]
struct Topic {
    first: u64,
    /// Keyed records: key and value; an empty value drops the key.
    records: Vec<(String, Vec<u8>)>,
    newest: BTreeMap<String, (Vec<u8>, u64)>,
}

#[derive(Clone, Default)]
struct Group {
    generation: u64,
    holder: Option<String>,
    members: HashMap<String, Instant>,
}

#[derive(Clone, Default)]
struct StoreState {
    era: Option<u64>,
    topics: HashMap<String, Topic>,
    group: Group,
    is_down: bool,
}

/// A copy of the store's content.
#[derive(Clone)]
pub struct Copy(HashMap<String, Topic>);

/// The platform's metadata store: a log with keyed topics, and one group.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<StoreState>, Condvar)>,
    pub address: SocketAddr,
    record: Record,
}

impl Store {
    pub fn start(record: &Record, era: Option<u64>) -> Self {
        let (listener, address) = listen();
        let state = StoreState { era, ..StoreState::default() };
        let store = Self {
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            address,
            record: record.clone(),
        };
        let served = store.clone();
        serve(listener, move |wire| served.serve(wire));
        store
    }

    /// Appends a record of the operator or of a worker; returns after it is in force.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        append(state.topics.entry(topic.to_owned()).or_default(), key, value);
        changed.notify_all();
    }

    /// Writes a configuration, which the store acknowledges.
    pub fn put_config(&self, config: &str) {
        self.put("keyed.op", "config", config.as_bytes());
        self.record.line(format!("the store acknowledges the configuration {config}"));
    }

    /// Returns a copy of what the store holds.
    pub fn copy(&self) -> Copy {
        Copy(self.shared.0.lock().unwrap().topics.clone())
    }

    /// Makes the store answer nothing, and closes connections that bring calls.
    pub fn set_down(&self, is_down: bool) {
        let (state, changed) = &*self.shared;
        state.lock().unwrap().is_down = is_down;
        changed.notify_all();
        self.record.line(format!("the store is {}", if is_down { "away" } else { "back" }));
    }

    /// Restores an older copy; the era rises by one.
    pub fn restore(&self, copy: &Copy) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.topics = copy.0.clone();
        state.era = Some(state.era.unwrap_or(0) + 1);
        state.group = Group::default();
        self.record.line(format!("the store holds an older copy now, era {:?}", state.era));
        changed.notify_all();
    }

    fn serve(&self, mut wire: Wire) {
        while let Ok(Some(call)) = wire.read_message() {
            if self.shared.0.lock().unwrap().is_down {
                return;
            }
            sleep_ms(2);
            let Some((status, body)) = self.handle(&call) else { return };
            let era = self.shared.0.lock().unwrap().era;
            let era = era.map(|era| era.to_string());
            let mut headers = Vec::new();
            if let Some(era) = &era {
                headers.push(("Store-Era", era.as_str()));
            }
            if wire.write(&answer(status, &headers, &body)).is_err() {
                return;
            }
        }
    }

    /// Returns status and body, or `None` if the store is away.
    fn handle(&self, call: &Message) -> Option<(&'static str, Vec<u8>)> {
        let (state, changed) = &*self.shared;
        let topic = call.query("Topic").unwrap_or_default();
        match call.path() {
            "/v1/log-newest" => {
                let state = state.lock().unwrap();
                let after = call.query("After");
                let Some(found) = state.topics.get(&topic) else {
                    return Some(("200 OK", b"{\"Items\":[],\"HasMore\":false,\"End\":0}".to_vec()));
                };
                const PAGE: usize = 50;
                let rest: Vec<_> = found
                    .newest
                    .iter()
                    .filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after))
                    .collect();
                let items: Vec<String> = rest
                    .iter()
                    .take(PAGE)
                    .map(|(key, (value, offset))| {
                        format!("{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Offset\":{offset}}}", base64(value))
                    })
                    .collect();
                let end = found.first + found.records.len() as u64;
                let body = format!(
                    "{{\"Items\":[{}],\"HasMore\":{},\"End\":{end}}}",
                    items.join(","),
                    rest.len() > PAGE
                );
                Some(("200 OK", body.into_bytes()))
            }
            "/v1/log-read" => {
                let from: u64 = call.query("From").and_then(|text| text.parse().ok()).unwrap_or(0);
                let wait: u64 = call.query("WaitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
                let deadline = Instant::now() + Duration::from_millis(wait);
                let mut state = state.lock().unwrap();
                let era = state.era;
                loop {
                    if state.is_down {
                        return None;
                    }
                    let empty = Topic::default();
                    let found = state.topics.get(&topic).unwrap_or(&empty);
                    let end = found.first + found.records.len() as u64;
                    if from > end || from < found.first || state.era != era {
                        let body = format!("{{\"First\":{}}}", found.first);
                        return Some(("410 Gone", body.into_bytes()));
                    }
                    let now = Instant::now();
                    if from < end || now >= deadline {
                        let mut body = Vec::new();
                        body.extend(end.to_be_bytes());
                        body.extend(found.first.to_be_bytes());
                        for (key, value) in &found.records[(from - found.first) as usize..] {
                            if body.len() > READ_LIMIT_BYTES {
                                break;
                            }
                            let length = 1 + key.len() + value.len();
                            body.extend((length as u32).to_be_bytes());
                            body.push(key.len() as u8);
                            body.extend(key.as_bytes());
                            body.extend(value);
                        }
                        return Some(("200 OK", body));
                    }
                    state = changed.wait_timeout(state, deadline - now).unwrap().0;
                }
            }
            "/v1/log-append" => {
                let mut rest = call.body.as_slice();
                let mut state = state.lock().unwrap();
                let found = state.topics.entry(topic).or_default();
                let offset = found.first + found.records.len() as u64;
                while rest.len() >= 5 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    let record = &rest[4..4 + length];
                    let key_length = record[0] as usize;
                    let key = String::from_utf8_lossy(&record[1..1 + key_length]).into_owned();
                    append(found, &key, &record[1 + key_length..]);
                    rest = &rest[4 + length..];
                }
                let end = found.first + found.records.len() as u64;
                changed.notify_all();
                Some(("200 OK", format!("{{\"Offset\":{offset},\"End\":{end}}}").into_bytes()))
            }
            "/v1/log-join" => {
                let body = String::from_utf8_lossy(&call.body).into_owned();
                let member = json_text(&body, "Member").unwrap_or_default();
                let ttl = Duration::from_millis(json_number(&body, "TtlMs").unwrap_or(3000));
                let mut state = state.lock().unwrap();
                let group = &mut state.group;
                let now = Instant::now();
                group.members.retain(|_, until| *until > now);
                if !group.members.contains_key(&member) {
                    group.generation += 1;
                }
                group.members.insert(member.clone(), now + ttl);
                let has_holder = group.holder.as_ref().is_some_and(|id| group.members.contains_key(id));
                if !has_holder {
                    group.holder = Some(member.clone());
                    group.generation += 1;
                }
                let parts = match group.holder.as_deref() == Some(member.as_str()) {
                    true => "[[\"duties\",0,0]]",
                    false => "[]",
                };
                let body = format!(
                    "{{\"Generation\":{},\"TtlMs\":{},\"parts\":{parts}}}",
                    group.generation,
                    ttl.as_millis()
                );
                Some(("200 OK", body.into_bytes()))
            }
            "/v1/log-leave" => {
                let body = String::from_utf8_lossy(&call.body).into_owned();
                let member = json_text(&body, "Member").unwrap_or_default();
                let mut state = state.lock().unwrap();
                state.group.members.remove(&member);
                if state.group.holder.as_deref() == Some(member.as_str()) {
                    state.group.holder = None;
                }
                state.group.generation += 1;
                Some(("200 OK", b"{}".to_vec()))
            }
            _ => Some(("404 Not Found", Vec::new())),
        }
    }
}

fn append(topic: &mut Topic, key: &str, value: &[u8]) {
    let offset = topic.first + topic.records.len() as u64;
    topic.records.push((key.to_owned(), value.to_vec()));
    match value.is_empty() {
        true => topic.newest.remove(key),
        false => topic.newest.insert(key.to_owned(), (value.to_vec(), offset)),
    };
}

/// Returns a text field of a flat JSON object.
pub fn json_text(body: &str, name: &str) -> Option<String> {
    let rest = body.split_once(&format!("\"{name}\":\""))?.1;
    Some(rest.split('"').next()?.to_owned())
}

/// Returns a whole number of a flat JSON object.
pub fn json_number(body: &str, name: &str) -> Option<u64> {
    let rest = body.split_once(&format!("\"{name}\":"))?.1;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let number = group.iter().fold(0u32, |number, byte| number << 8 | u32::from(*byte));
        let number = number << (8 * (3 - group.len()));
        for index in 0..4 {
            match index <= group.len() {
                true => out.push(ALPHABET[(number >> (18 - 6 * index) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}

// ---------------------------------------------------------------------------------------------
// Hosts

/// A process of the project's daemon, started as the deploy file says.
pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub folder: PathBuf,
    settings: PathBuf,
    child: Option<Child>,
    record: Record,
}

impl Host {
    /// Writes the settings that `deploy/settings.template` makes of a small deployment's fields, and
    /// starts the daemon.
    pub fn start(record: &Record, folder: &PathBuf, name: &str, zone: &str, store: &Store) -> Self {
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let callers = address(free_port());
        let readiness = address(free_port());
        let text = format!(
            "host_id = \"{name}\"\ndata_centre = \"{zone}\"\nprocessor_share = 0.17\n\n[listen]\n\
             callers = \"{callers}\"\nreadiness = \"{readiness}\"\npeers = \"{}\"\nmetrics = \"{}\"\n\n\
             [platform]\nstore = \"{}\"\nheartbeat_ms = 1200\nlease_min_ms = 1000\n\n[bounds]\n\
             leaving_target_ms = 2000\nstop_grace_s = 8\nconfig_apply_ms = 2000\nrevoke_ms = 5000\n\
             retry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 449\nstall_ms = 3000\n",
            address(free_port()),
            address(free_port()),
            store.address
        );
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, text).expect("the settings can be written");
        let mut host = Self {
            name: name.to_owned(),
            callers,
            readiness,
            folder: folder.clone(),
            settings,
            child: None,
            record: record.clone(),
        };
        host.spawn();
        host
    }

    /// Starts the process, again if it has ended.
    pub fn spawn(&mut self) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.name)))
            .expect("the log can be opened");
        let program = std::env::var("ANVILPROXYD").unwrap_or_else(|_| "target/release/anvilproxyd".to_owned());
        let child = Command::new(program)
            .arg("--gateway")
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("ANVILPROXY_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("the log can be opened"))
            .stdout(log)
            .spawn();
        match child {
            Ok(child) => {
                let _ = fs::write(self.pid_file(), child.id().to_string());
                self.child = Some(child);
            }
            Err(error) => {
                eprintln!("the daemon can't be started: {error}");
                std::process::exit(COULD_NOT_RUN);
            }
        }
        self.record.line(format!("host {} starts", self.name));
    }

    /// Returns the file with the id of the running process.
    fn pid_file(&self) -> PathBuf {
        self.folder.join(format!("{}.pid", self.name))
    }

    /// Kills the process, and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            let _ = fs::remove_file(self.pid_file());
            self.record.line(format!("host {} is killed", self.name));
        }
    }

    /// Sends SIGTERM, and waits until the process has ended or `limit` is over.
    pub fn stop(&mut self, limit: Duration) -> bool {
        let Some(child) = self.child.as_mut() else { return true };
        let signal = format!("kill -TERM {}", child.id());
        let _ = Command::new("/bin/sh").arg("-c").arg(signal).status();
        self.record.line(format!("host {} gets SIGTERM", self.name));
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if matches!(child.try_wait(), Ok(Some(_))) {
                self.child = None;
                let _ = fs::remove_file(self.pid_file());
                self.record.line(format!("host {} has ended", self.name));
                return true;
            }
            sleep_ms(5);
        }
        false
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Asks once whether the host is ready.
    pub fn is_ready(&self) -> bool {
        let asked = || -> io::Result<bool> {
            let mut wire = Wire::connect(self.readiness, Duration::from_millis(500))?;
            wire.stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            wire.write(b"GET /v1/readiness HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n")?;
            Ok(wire.read_message()?.is_some_and(|answer| answer.status() == 200))
        };
        asked().unwrap_or(false)
    }

    /// Waits until the host is ready; returns whether it was in time.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if self.is_ready() {
                self.record.line(format!("host {} is ready", self.name));
                return true;
            }
            sleep_ms(20);
        }
        false
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the temporary folder for settings, logs and the ids of the processes: the one that `FOLDER`
/// names, which `run.sh` removes, or a new one.
pub fn temporary_folder() -> PathBuf {
    let own = || std::env::temp_dir().join(format!("anvil-review-{}", std::process::id()));
    let folder = std::env::var_os("FOLDER").map_or_else(own, PathBuf::from);
    fs::create_dir_all(&folder).expect("a temporary folder can be created");
    folder
}

/// Returns the next attempt id.
pub fn attempt_id(number: u64) -> String {
    format!("{:016x}", 0x9c41_d07b_0000_0000u64 + number)
}

// ---------------------------------------------------------------------------------------------
// Configurations and workers

/// Key and tenant of the callers.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const TENANT: &str = "hule930";
/// The tenants of a configuration.
pub const TENANTS: &str =
    r#"[{"Name":"hule930","ApiKeys":["n2ctnfzs989anu6wsjnb","anfqasnmgkcuyj8pjbvk"],"Priority":1}]"#;
/// A service of engines that hold parts of a model of 80 layers.
pub const DRAFTING: &str = r#"{"Name":"drafting","HealthPath":"/health","MaxConns":2396,"Protocol":"h1","Tls":false,"Engine":{"Slots":192,"KvCapacity":100000,"KvTokenBytes":918000,"LinkMbps":400000.0,"Stride":3,"Models":[{"Name":"daka510000","pace":1.0,"LoadS":14.0,"WarmS":1.0}],"step_ms":1.02,"per_seq_ms":0.00714,"context_per_k":0.00956,"read_per_s":105000.0,"pairs_per_m":0.309,"chunk":512,"report_lag_ms":200.0,"LoadsPerS":0.0,"loads_at_once":5,"delays":[],"usual":{"prompt":774,"answer":200},"Layers":80,"LayerMb":1750.0,"ActBytes":45900,"PipeMbps":26000.0,"Kinds":[{"Name":"a100","Megabytes":72000.0,"pace":2.4,"ReadX":3.2},{"Name":"h200x2","Megabytes":282000.0,"pace":1.0,"ReadX":1.0}]}}"#;
/// A plain service.
pub const PERMITS: &str =
    r#"{"Name":"permits","HealthPath":"/health","MaxConns":244,"Protocol":"h1","Tls":false}"#;
/// Another plain service.
pub const NOTES: &str =
    r#"{"Name":"notes","HealthPath":"/health","MaxConns":244,"Protocol":"h1","Tls":false}"#;
/// The limits of a configuration.
pub const LIMITS: &str =
    r#"{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}"#;

/// Renders a configuration.
pub fn config(version: u64, routes: &[String], services: &[&str], tenants: Option<&str>) -> String {
    let tenants = tenants.map_or_else(String::new, |tenants| format!(",\"Tenants\":{tenants}"));
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\"Limits\":{LIMITS}{tenants}}}",
        routes.join(","),
        services.join(",")
    )
}

/// Renders a worker's entry. `extra` holds further fields, each with a comma before it.
pub fn entry(
    service: &str,
    address: SocketAddr,
    state: &str,
    sequence: u64,
    born: u64,
    extra: &str,
) -> String {
    format!(
        "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"muc-a\",\"Version\":\"v1\",\
         \"Slots\":192,\"State\":\"{state}\",\"ColdMs\":0,\"Sequence\":{sequence},\"born\":{born}{extra}}}"
    )
}

/// Writes the entry that `text` returns for each `Sequence` every 1,200 ms, until it returns `None`.
pub fn heartbeat(store: &Store, id: &str, text: impl Fn(u64) -> Option<String> + Send + 'static) {
    let store = store.clone();
    let id = id.to_owned();
    thread::spawn(move || {
        for sequence in 1.. {
            match text(sequence) {
                Some(text) => store.put("keyed.servers", &id, text.as_bytes()),
                None => return,
            }
            sleep_ms(1200);
        }
    });
}

/// Sends a request and reads its whole answer.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let mut wire = Wire::connect(address, Duration::from_secs(1))?;
    wire.stream.set_read_timeout(Some(limit))?;
    wire.write(request)?;
    wire.read_message()?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Renders a request. `extra` holds further lines of the head, each with its line break.
pub fn request(method: &str, path: &str, id: &str, budget_ms: u64, key: Option<&str>, extra: &str, body: &str) -> Vec<u8> {
    let key = key.map_or_else(String::new, |key| format!("X-Key: {key}\r\n"));
    format!(
        "{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\n\
         X-Time-Budget-Ms: {budget_ms}\r\n{key}{extra}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
