//! Stand-ins for a script: the platform's store, workers, clients, and the processes under test.
//!
//! Standard library only. Every address is a loopback address.
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap},
    fs::File,
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const HEARTBEAT: Duration = Duration::from_millis(1200);
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

pub fn signal(child: &Child, number: i32) {
    // SAFETY: the process is a child that has not been waited for, so that its id is its own.
    let result = unsafe { kill(child.id() as i32, number) };
    assert_eq!(result, 0, "signal {number}");
}

/// Sets the size of a listener's receive buffers, which its connections take over.
pub fn set_receive_buffer(listener: &TcpListener, bytes: i32) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    // SAFETY: the value lives until the call returns, and the length is its own.
    let result = unsafe { setsockopt(listener.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
    assert_eq!(result, 0, "SO_RCVBUF");
}

/// Returns a port that nobody listens on, below those that the system gives to outgoing connections. No port is
/// returned twice in a run.
pub fn free_port() -> u16 {
    static OFFERED: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = std::process::id().wrapping_mul(61) + OFFERED.fetch_add(1, Ordering::SeqCst);
        let port = 18_000 + (number % 14_000) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

// ---------------------------------------------------------------- messages

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if !line.ends_with(b"\n") {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()))
}

/// Reads the first line and the headers. Returns `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(first) = read_line(reader)? else {
        return Ok(None);
    };
    let mut message = Message { first, ..Message::default() };
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(Some(message));
        }
        let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
        message.headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Reads the body that the head announces, by its length or in chunks.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    if message.header("transfer-encoding") == Some("chunked") {
        loop {
            let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
            let size = usize::from_str_radix(&line, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message.header("content-length").and_then(|text| text.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut message.body)
}

// ---------------------------------------------------------------- the store

pub type Record = (String, Vec<u8>);

#[derive(Default)]
struct Topics {
    records: HashMap<String, Vec<Record>>,
    /// Members of the group with the ends of their terms.
    members: BTreeMap<String, Instant>,
    generation: u64,
    /// When each worker last wrote its entry.
    beats: HashMap<String, Instant>,
    /// When the store first accepted that a worker is draining.
    draining_at: HashMap<String, Instant>,
    /// Whether the store is away: it answers nothing.
    is_away: bool,
    /// Number of restores from an older copy.
    restores: u64,
}

/// The platform's store: keyed topics, reads that wait, and one group.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    topics: Arc<(Mutex<Topics>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Self {
            address: listener.local_addr().unwrap(),
            topics: Arc::default(),
        };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || expiring.expire());
        store
    }

    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        let records = topics.records.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.to_vec()));
        changed.notify_all();
    }

    /// Returns a copy of all topics.
    pub fn copy(&self) -> HashMap<String, Vec<Record>> {
        self.topics.0.lock().unwrap().records.clone()
    }

    /// Goes away for a time, and comes back with a copy.
    pub fn restore(&self, copy: HashMap<String, Vec<Record>>, away: Duration) {
        let (topics, changed) = &*self.topics;
        topics.lock().unwrap().is_away = true;
        thread::sleep(away);
        let mut topics = topics.lock().unwrap();
        topics.records = copy;
        topics.members.clear();
        topics.restores += 1;
        topics.is_away = false;
        changed.notify_all();
    }

    /// Returns when the store accepted that a worker is draining.
    pub fn draining_at(&self, id: &str) -> Option<Instant> {
        self.topics.0.lock().unwrap().draining_at.get(id).copied()
    }

    /// Removes the entries of workers after three heartbeats of silence.
    fn expire(&self) {
        loop {
            thread::sleep(Duration::from_millis(100));
            let (topics, changed) = &*self.topics;
            let mut topics = topics.lock().unwrap();
            let silent: Vec<String> = topics
                .beats
                .iter()
                .filter(|(_, at)| at.elapsed() > 3 * HEARTBEAT)
                .map(|(id, _)| id.clone())
                .collect();
            for id in silent {
                topics.beats.remove(&id);
                let records = topics.records.entry("keyed.servers".to_owned()).or_default();
                records.push((id, Vec::new()));
                changed.notify_all();
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        while let Ok(Some(mut request)) = read_head(&mut reader) {
            if read_body(&mut reader, &mut request).is_err() {
                return;
            }
            if self.topics.0.lock().unwrap().is_away {
                return;
            }
            let (status, kind, body) = self.answer(&request);
            let (is_away, era) = {
                let topics = self.topics.0.lock().unwrap();
                (topics.is_away, 1 + topics.restores)
            };
            if is_away {
                return;
            }
            let head = format!(
                "HTTP/1.1 {status} X\r\nStore-Era: {era}\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let out = [head.as_bytes(), &body].concat();
            if writer.write_all(&out).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, &'static str, Vec<u8>) {
        const JSON: &str = "application/json";
        let target = request.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let topic = query.get("Topic").copied().unwrap_or("").to_owned();
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        match path {
            "/v1/log-newest" => {
                let records = topics.records.entry(topic).or_default();
                let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
                for (offset, (key, value)) in records.iter().enumerate() {
                    newest.insert(key, (offset, value));
                }
                let items: Vec<String> = newest
                    .iter()
                    .filter(|(_, (_, value))| !value.is_empty())
                    .map(|(key, (offset, value))| {
                        let value = base64(value);
                        format!(r#"{{"Key":"{key}","Value":"{value}","Offset":{offset}}}"#)
                    })
                    .collect();
                let (items, end) = (items.join(","), records.len());
                let body = format!(r#"{{"Items":[{items}],"HasMore":false,"End":{end}}}"#);
                (200, JSON, body.into_bytes())
            }
            "/v1/log-read" => {
                let from: usize = query["From"].parse().unwrap();
                let wait: u64 = query.get("WaitMs").map_or(0, |text| text.parse().unwrap());
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let end = topics.records.entry(topic.clone()).or_default().len();
                    let left = until.saturating_duration_since(Instant::now());
                    if from > end {
                        return (410, JSON, br#"{"First":0}"#.to_vec());
                    }
                    if from < end || left.is_zero() {
                        break;
                    }
                    topics = changed.wait_timeout(topics, left).unwrap().0;
                }
                let records = &topics.records[&topic];
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0u64.to_be_bytes());
                for (key, value) in &records[from..] {
                    body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key.as_bytes());
                    body.extend_from_slice(value);
                }
                (200, "application/octet-stream", body)
            }
            "/v1/log-append" => {
                let mut rest = &request.body[..];
                let mut added = Vec::new();
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
                    let record = &rest[4..4 + length];
                    rest = &rest[4 + length..];
                    let (key, value) = record[1..].split_at(record[0] as usize);
                    added.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
                }
                if topic == "keyed.servers" {
                    for (id, value) in &added {
                        topics.beats.insert(id.clone(), Instant::now());
                        if String::from_utf8_lossy(value).contains("draining") {
                            topics.draining_at.entry(id.clone()).or_insert(Instant::now());
                        }
                    }
                }
                let records = topics.records.entry(topic).or_default();
                let offset = records.len();
                records.extend(added);
                let end = records.len();
                changed.notify_all();
                (200, JSON, format!(r#"{{"Offset":{offset},"End":{end}}}"#).into_bytes())
            }
            "/v1/log-join" => {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                let member = field(&text, "Member");
                let ttl: u64 = field(&text, "TtlMs").parse().unwrap_or(3000);
                let count = topics.members.len();
                topics.members.retain(|_, until| *until > Instant::now());
                let is_new = !topics.members.contains_key(&member);
                if is_new || topics.members.len() != count {
                    topics.generation += 1;
                }
                let until = Instant::now() + Duration::from_millis(ttl);
                topics.members.insert(member.clone(), until);
                let holds = topics.members.keys().next() == Some(&member);
                let parts = if holds { r#"["duties",0,0]"# } else { "" };
                let generation = topics.generation;
                let body = format!(r#"{{"Generation":{generation},"parts":[{parts}]}}"#);
                (200, JSON, body.into_bytes())
            }
            "/v1/log-leave" => {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                topics.members.remove(&field(&text, "Member"));
                topics.generation += 1;
                (200, JSON, b"{}".to_vec())
            }
            _ => (404, JSON, b"{}".to_vec()),
        }
    }
}

/// Returns a field of a flat JSON object as text.
fn field(json: &str, name: &str) -> String {
    let Some((_, rest)) = json.split_once(&format!("\"{name}\":")) else {
        return String::new();
    };
    let end = rest.find([',', '}']).unwrap_or(rest.len());
    rest[..end].trim_matches(['"', ' ']).to_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let number = group.iter().fold(0u32, |sum, byte| sum << 8 | u32::from(*byte));
        let number = number << (8 * (3 - group.len()));
        for index in 0..4 {
            match index <= group.len() {
                true => out.push(DIGITS[(number >> (18 - 6 * index) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}

// ---------------------------------------------------------------- configuration

/// The configuration of one service of model workers, each of which has room for all layers.
pub const ENGINE: &str = r#"{"Slots":192,"KvCapacity":100000,"KvTokenBytes":918000,"LinkMbps":400000.0,"Stride":3,"Models":[{"Name":"m0","pace":1.0,"LoadS":14.0,"WarmS":1.0}],"step_ms":1.02,"per_seq_ms":0.00714,"context_per_k":0.00956,"read_per_s":105000.0,"pairs_per_m":0.309,"chunk":512,"report_lag_ms":200.0,"loads_at_once":5,"delays":[],"usual":{"prompt":774,"answer":90},"Layers":8,"LayerMb":1750.0,"ActBytes":45900,"PipeMbps":26000.0,"Kinds":[{"Name":"a100","Megabytes":72000.0,"pace":2.4,"ReadX":3.2}]}"#;

pub const LIMITS: &str = r#"{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}"#;

/// Writes a worker's entry to the store at each heartbeat, as the worker itself.
pub fn beat(store: SocketAddr, id: String, entry: impl Fn(u64) -> String + Send + 'static) {
    thread::spawn(move || {
        for sequence in 1.. {
            write_entry(store, &id, &entry(sequence));
            thread::sleep(HEARTBEAT);
        }
    });
}

/// Writes a worker's entry to the store. Does nothing if the store is away.
pub fn write_entry(store: SocketAddr, id: &str, value: &str) {
    let mut record = ((1 + id.len() + value.len()) as u32).to_be_bytes().to_vec();
    record.push(id.len() as u8);
    record.extend_from_slice(id.as_bytes());
    record.extend_from_slice(value.as_bytes());
    let head = format!(
        "POST /v1/log-append?Topic=keyed.servers&part=0 HTTP/1.1\r\nHost: {store}\r\nContent-Length: {}\r\n\r\n",
        record.len()
    );
    if let Ok(mut stream) = TcpStream::connect(store) {
        let _ = stream.write_all(&[head.as_bytes(), &record].concat());
        let _ = read_head(&mut BufReader::new(stream));
    }
}

// ---------------------------------------------------------------- processes

/// A folder that is deleted with its content, and the processes that are ended with it.
pub struct Bench {
    pub folder: PathBuf,
    pids: File,
    children: Vec<Arc<Mutex<Child>>>,
}

impl Bench {
    /// `run.sh` names the folder, and ends the processes whose ids stand in `pids` if this one is killed.
    pub fn new() -> Self {
        let folder = PathBuf::from(std::env::var("CASE_FOLDER").expect("CASE_FOLDER"));
        let pids = File::create(folder.join("pids")).unwrap();
        Self { folder, pids, children: Vec::new() }
    }

    pub fn spawn(&mut self, mut command: Command) -> Arc<Mutex<Child>> {
        let child = command.stdin(Stdio::null()).spawn().expect("start");
        writeln!(self.pids, "{}", child.id()).unwrap();
        let child = Arc::new(Mutex::new(child));
        self.children.push(Arc::clone(&child));
        child
    }

    /// Starts this program again in another role.
    pub fn spawn_self(&mut self, arguments: &[String]) -> Arc<Mutex<Child>> {
        let mut command = Command::new(std::env::current_exe().unwrap());
        command.args(arguments);
        self.spawn(command)
    }

    /// Starts a host with the command of the deploy file, and settings as its template renders them.
    pub fn spawn_host(&mut self, name: &str, store: SocketAddr) -> Host {
        let ports: Vec<u16> = (0..4).map(|_| free_port()).collect();
        let path = self.folder.join(format!("{name}.conf"));
        std::fs::write(&path, settings(name, &ports, store)).unwrap();
        let log = File::create(self.folder.join(format!("{name}.log"))).unwrap();
        let mut command = Command::new("target/release/anvilproxyd");
        command.arg("--gateway").env_clear().env("ANVILPROXY_SETTINGS", &path);
        command.stdout(log.try_clone().unwrap()).stderr(log);
        Host {
            child: self.spawn(command),
            callers: SocketAddr::from(([127, 0, 0, 1], ports[0])),
            readiness: SocketAddr::from(([127, 0, 0, 1], ports[1])),
        }
    }
}

impl Drop for Bench {
    fn drop(&mut self) {
        for child in &self.children {
            let mut child = child.lock().unwrap();
            let _ = child.kill();
            let _ = child.wait();
        }
        // From here on these ids may belong to other processes.
        let _ = std::fs::remove_file(self.folder.join("pids"));
    }
}

pub struct Host {
    pub child: Arc<Mutex<Child>>,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
}

impl Host {
    /// Waits until the host reports itself ready; returns `false` after 15 seconds.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if let Ok(mut stream) = TcpStream::connect(self.readiness) {
                let _ = stream.write_all(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
                if let Ok(Some(answer)) = read_head(&mut BufReader::new(stream))
                    && answer.status() == 200
                {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

fn settings(name: &str, ports: &[u16], store: SocketAddr) -> String {
    format!(
        r#"host_id = "{name}"
data_centre = "muc-a"
processor_share = 0.17
memory_megabytes = 182
descriptors = 2870

[listen]
callers = "127.0.0.1:{}"
readiness = "127.0.0.1:{}"
peers = "127.0.0.1:{}"
metrics = "127.0.0.1:{}"

[platform]
store = "{store}"
heartbeat_ms = 1200
lease_min_ms = 1000

[bounds]
leaving_target_ms = 2000
stop_grace_s = 8
config_apply_ms = 2000
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 449
stall_ms = 3000
"#,
        ports[0], ports[1], ports[2], ports[3]
    )
}

/// What was sent, answered and run, written to `record.txt` beside the case.
#[derive(Clone)]
pub struct Log {
    file: Arc<Mutex<File>>,
    began_at: Instant,
}

impl Log {
    pub fn new(case: &str) -> Self {
        let path = Path::new("review").join(case).join("record.txt");
        Self {
            file: Arc::new(Mutex::new(File::create(path).unwrap())),
            began_at: Instant::now(),
        }
    }

    pub fn write(&self, line: &str) {
        let at = self.began_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{at:8.3} {line}").unwrap();
    }

    /// Writes a line to the record and to standard output.
    pub fn show(&self, line: &str) {
        self.write(line);
        println!("{line}");
    }
}
