//! Stand-ins for the platform, the servers and the clients of the cases 6 to 10. They use the standard
//! library alone, and loopback addresses only.
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap},
    fs::{self, File},
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// The record of a run: one line for each event, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        }
    }

    pub fn ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn write(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} {}\n", self.ms(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// One HTTP message.
#[derive(Debug, Clone)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let mut words = self.start.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// A connection with the bytes that were read and not used yet.
pub struct Wire {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, limit)?))
    }

    /// Reads more bytes; returns their number, 0 at the end of the connection.
    pub fn fill(&mut self) -> io::Result<usize> {
        let mut piece = [0; 65536];
        let count = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..count]);
        Ok(count)
    }

    fn take_line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(Some(String::from_utf8_lossy(&line[..end]).into_owned()));
            }
            if self.fill()? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// Reads the head of a message; `None` at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let Some(start) = self.take_line()? else {
            return Ok(None);
        };
        let mut headers = Vec::new();
        loop {
            let line = self
                .take_line()?
                .ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
            if line.is_empty() {
                return Ok(Some(Message {
                    start,
                    headers,
                    body: Vec::new(),
                }));
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads a message with its whole body; `None` at the end of the connection.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        let is_chunked = message
            .header("Transfer-Encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        if is_chunked {
            loop {
                let line = self.take_line()?.unwrap_or_default();
                let size = usize::from_str_radix(line.trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let piece = self.take(size)?;
                message.body.extend_from_slice(&piece);
                self.take(2)?;
                if size == 0 {
                    break;
                }
            }
        } else if let Some(length) = message.header("Content-Length") {
            let length = length
                .parse()
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            message.body = self.take(length)?;
        }
        Ok(Some(message))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Renders an answer with its length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let value = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for index in 0..4 {
            let digit = DIGITS[(value >> (18 - 6 * index)) as usize & 63] as char;
            out.push(if index <= chunk.len() { digit } else { '=' });
        }
    }
    out
}

pub fn query<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    query
        .split('&')
        .filter_map(|part| part.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Returns a text or a number of a flat JSON object.
pub fn field(json: &str, name: &str) -> Option<String> {
    let at = json.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = json[at..].trim_start();
    Some(match rest.strip_prefix('"') {
        Some(text) => text[..text.find('"')?].to_owned(),
        None => rest
            .chars()
            .take_while(|character| character.is_ascii_digit() || *character == '.')
            .collect(),
    })
}

#[derive(Clone, Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, (Instant, Duration)>,
    owner: Option<String>,
}

impl Group {
    fn expire(&mut self) {
        let before = self.members.len();
        self.members.retain(|_, (at, ttl)| at.elapsed() <= *ttl);
        if self.members.len() != before {
            self.generation += 1;
        }
        self.assign();
    }

    fn assign(&mut self) {
        if !(self.owner.as_ref()).is_some_and(|owner| self.members.contains_key(owner)) {
            self.owner = self.members.keys().next().cloned();
        }
    }
}

#[derive(Default)]
struct StoreState {
    /// Records of each topic's partition 0, from offset 0 on.
    topics: HashMap<String, Vec<(String, Vec<u8>)>>,
    groups: HashMap<String, Group>,
    answer_time: Duration,
    era: u64,
    is_away: bool,
}

/// What the store held at a moment.
pub struct StoreCopy {
    topics: HashMap<String, Vec<(String, Vec<u8>)>>,
    groups: HashMap<String, Group>,
}

/// The platform's store: a log with keyed topics, and groups.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub record: Record,
}

impl Store {
    pub fn start(record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = StoreState {
            answer_time: Duration::from_millis(4),
            era: 1,
            ..StoreState::default()
        };
        let store = Self {
            address: listener.local_addr().unwrap(),
            state: Arc::new((Mutex::new(state), Condvar::new())),
            record: record.clone(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(Wire::new(stream)));
            }
        });
        store
    }

    pub fn set_answer_time(&self, time: Duration) {
        self.state.0.lock().unwrap().answer_time = time;
    }

    pub fn copy(&self) -> StoreCopy {
        let state = self.state.0.lock().unwrap();
        StoreCopy {
            topics: state.topics.clone(),
            groups: state.groups.clone(),
        }
    }

    /// Refuses all calls until the store is back.
    pub fn set_away(&self) {
        self.state.0.lock().unwrap().is_away = true;
        self.state.1.notify_all();
    }

    /// Comes back from a copy, in the next era. Offsets and memberships are those of the copy's time.
    pub fn come_back(&self, copy: StoreCopy) {
        let mut state = self.state.0.lock().unwrap();
        state.topics = copy.topics;
        state.groups = copy.groups;
        state.era += 1;
        state.is_away = false;
        drop(state);
        self.state.1.notify_all();
    }

    /// Appends a record; an empty value drops the key.
    pub fn append(&self, topic: &str, key: &str, value: &[u8]) -> u64 {
        let mut state = self.state.0.lock().unwrap();
        let records = state.topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.to_vec()));
        let offset = records.len() as u64 - 1;
        drop(state);
        self.state.1.notify_all();
        offset
    }

    fn serve(&self, mut wire: Wire) {
        while let Ok(Some(request)) = wire.read() {
            let answer = self.handle(&request);
            let answer_time = self.state.0.lock().unwrap().answer_time;
            thread::sleep(answer_time);
            if wire.write(&answer).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> Vec<u8> {
        let refusal = ("503 Service Unavailable", vec![], vec![]);
        let is_away = || self.state.0.lock().unwrap().is_away;
        let handled = match is_away() {
            true => refusal.clone(),
            false => self.handle_call(request),
        };
        // A call that waited for a record may end with the store's absence.
        let (status, headers, body) = match is_away() {
            true => refusal,
            false => handled,
        };
        let era = self.state.0.lock().unwrap().era.to_string();
        answer(status, &[headers, vec![("Store-Era", era.as_str())]].concat(), &body)
    }

    fn handle_call(&self, request: &Message) -> Handled {
        let target = request.target();
        let path = target.split('?').next().unwrap_or("");
        let topic = query(target, "Topic").unwrap_or("");
        match path {
            "/v1/log-newest" => {
                let state = self.state.0.lock().unwrap();
                let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
                let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
                for (offset, (key, value)) in records.iter().enumerate() {
                    match value.is_empty() {
                        true => drop(newest.remove(key.as_str())),
                        false => drop(newest.insert(key, (offset, value))),
                    }
                }
                let items: Vec<String> = newest
                    .iter()
                    .map(|(key, (offset, value))| {
                        format!(
                            "{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Offset\":{offset}}}",
                            base64(value)
                        )
                    })
                    .collect();
                json(&format!(
                    "{{\"Items\":[{}],\"HasMore\":false,\"End\":{}}}",
                    items.join(","),
                    records.len()
                ))
            }
            "/v1/log-read" => {
                let number = |name| query(target, name).and_then(|text| text.parse().ok());
                let from: usize = number("From").unwrap_or(0) as usize;
                let wait = Duration::from_millis(number("WaitMs").unwrap_or(0));
                let deadline = Instant::now() + wait;
                let mut state = self.state.0.lock().unwrap();
                loop {
                    let end = state.topics.get(topic).map_or(0, Vec::len);
                    let now = Instant::now();
                    if end < from {
                        return ("410 Gone", JSON.to_vec(), b"{\"First\":0}".to_vec());
                    }
                    if end > from || now >= deadline || state.is_away {
                        break;
                    }
                    state = self.state.1.wait_timeout(state, deadline - now).unwrap().0;
                }
                let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0u64.to_be_bytes());
                for (key, value) in records.get(from..).unwrap_or(&[]) {
                    body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key.as_bytes());
                    body.extend_from_slice(value);
                }
                ("200 OK", vec![], body)
            }
            "/v1/log-append" => {
                let mut rest = request.body.as_slice();
                let mut offset = 0;
                while rest.len() > 4 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    let record = &rest[4..4 + length];
                    rest = &rest[4 + length..];
                    let key_length = record[0] as usize;
                    let key = String::from_utf8_lossy(&record[1..1 + key_length]).into_owned();
                    offset = self.append(topic, &key, &record[1 + key_length..]);
                }
                json(&format!("{{\"Offset\":{offset},\"End\":{}}}", offset + 1))
            }
            "/v1/log-join" | "/v1/log-leave" => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let name = field(&body, "group").unwrap_or_default();
                let member = field(&body, "Member").unwrap_or_default();
                let mut state = self.state.0.lock().unwrap();
                let group = state.groups.entry(name).or_default();
                group.expire();
                if path == "/v1/log-leave" {
                    if group.members.remove(&member).is_some() {
                        group.generation += 1;
                    }
                    group.assign();
                    return json("{}");
                }
                let ttl = field(&body, "TtlMs").and_then(|text| text.parse().ok());
                let ttl = Duration::from_millis(ttl.unwrap_or(3000));
                if group
                    .members
                    .insert(member.clone(), (Instant::now(), ttl))
                    .is_none()
                {
                    group.generation += 1;
                }
                group.assign();
                let parts = match group.owner.as_ref() == Some(&member) {
                    true => "[[\"duties\",0,0]]",
                    false => "[]",
                };
                json(&format!(
                    "{{\"Generation\":{},\"TtlMs\":{},\"parts\":{parts}}}",
                    group.generation,
                    ttl.as_millis()
                ))
            }
            _ => ("404 Not Found", vec![], vec![]),
        }
    }
}

/// Status, headers and body of an answer of the store.
type Handled = (&'static str, Vec<(&'static str, &'static str)>, Vec<u8>);

const JSON: [(&str, &str); 1] = [("Content-Type", "application/json")];

fn json(body: &str) -> Handled {
    ("200 OK", JSON.to_vec(), body.as_bytes().to_vec())
}

/// A host of the system: a process of the deploy file's command.
pub struct Host {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub peers: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Returns an address whose port is free for TCP and UDP at the moment, another one in each call. The
/// system may offer a port again as soon as its listener is dropped.
pub fn free_address() -> SocketAddr {
    static RETURNED: Mutex<Vec<SocketAddr>> = Mutex::new(Vec::new());
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let mut returned = RETURNED.lock().unwrap();
        if !returned.contains(&address) && std::net::UdpSocket::bind(address).is_ok() {
            returned.push(address);
            return address;
        }
    }
}

impl Host {
    /// Writes the settings as `deploy/settings.template` renders them, and starts the process. `bounds`
    /// replaces the section of that name, and `more` stands at the top.
    pub fn start(
        folder: &Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
        bounds: &str,
        more: &str,
    ) -> Self {
        let (callers, readiness, peers) = (free_address(), free_address(), free_address());
        let metrics = free_address();
        let text = format!(
            "host_id = \"{name}\"\ndata_centre = \"{zone}\"\n{more}\n[listen]\n\
             callers = \"{callers}\"\nreadiness = \"{readiness}\"\npeers = \"{peers}\"\n\
             metrics = \"{metrics}\"\n\n[platform]\nstore = \"{store}\"\nheartbeat_ms = 1200\n\
             lease_min_ms = 1000\n\n[bounds]\n{bounds}\n"
        );
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, text).expect("the settings can be written");
        let mut host = Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            callers,
            readiness,
            peers,
            settings,
            log: folder.join(format!("{name}.log")),
            child: None,
        };
        host.spawn();
        host
    }

    pub fn spawn(&mut self) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("the log can be written");
        let child = Command::new("target/release/anvilproxyd")
            .arg("--gateway")
            .env("ANVILPROXY_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the deploy file's program is built");
        // By this file run.sh ends the process if this program can't.
        let _ = fs::write(self.pid_file(), child.id().to_string());
        self.child = Some(child);
    }

    fn pid_file(&self) -> PathBuf {
        self.settings.with_extension("pid")
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.pid().to_string();
        let _ = Command::new("kill").args([signal, &pid]).status();
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut wire) = Wire::connect(self.readiness, Duration::from_millis(500)) else {
            return false;
        };
        let _ = wire
            .stream
            .set_read_timeout(Some(Duration::from_millis(500)));
        let asked = wire.write(b"GET /v1/readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
        asked.is_ok() && matches!(wire.read(), Ok(Some(message)) if message.status() == 200)
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut().expect("started");
        let has_ended = matches!(child.try_wait(), Ok(Some(_)));
        if has_ended {
            let _ = fs::remove_file(self.pid_file());
        }
        has_ended
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            let _ = fs::remove_file(self.pid_file());
        }
    }

    pub fn log_text(&self) -> String {
        String::from_utf8_lossy(&fs::read(&self.log).unwrap_or_default()).into_owned()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Bounds of the small deployment on our pages.
pub const BOUNDS: &str = "leaving_target_ms = 2000\nstop_grace_s = 8\nconfig_apply_ms = 2000\n\
    revoke_ms = 5000\nretry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 449\nstall_ms = 3000";

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns a new id of a client attempt.
pub fn attempt_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed).wrapping_mul(0x9E37_79B9_7F4A_7C15))
}

/// A small random number generator.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit.max(1)
    }
}

/// Whether the script runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The folder of the case (the first argument), and a new temporary folder.
pub fn folders(case: &str) -> (PathBuf, PathBuf) {
    let own = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let id = std::process::id();
    let temporary = std::env::temp_dir().join(format!("anvil-review-{case}-{id}"));
    fs::create_dir_all(&temporary).expect("a temporary folder");
    (own, temporary)
}

/// A flag that several threads share.
#[derive(Clone, Default)]
pub struct Flag(Arc<AtomicBool>);

impl Flag {
    pub fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}
