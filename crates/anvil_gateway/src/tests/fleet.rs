//! Engines and plain targets on loopback addresses that end under certain requests, hosts before
//! them, and a store that the hosts share.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
    io,
    net::{
        IpAddr,
        SocketAddr, //
    },
    rc::Rc,
    time::Duration, //
};

use anvil_core::{
    engine_model::{
        AcceleratorSpec,
        EngineProfile, //
    },
    entry::{
        Backend,
        CallerLimits,
        RequestSemantics,
        Route,
        Service,
        Table,
        Team, //
    },
    id::{
        HostId,
        LayerRange,
        PartId,
        RequestId,
        TargetId,
        Version, //
    },
    key_digest::KeyDigest,
    quarantine::Suspect,
};
use bytes::Bytes;
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};
use smol_str::{
    SmolStr,
    format_smolstr, //
};
use socket2::{
    Domain,
    Socket,
    Type, //
};
use tokio::{
    io::AsyncReadExt,
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::Notify,
    task::{
        AbortHandle,
        JoinSet,
        LocalSet,
        spawn_local, //
    },
    time::{
        Instant,
        sleep, //
    },
};

use crate::{
    abandoned,
    clock::BootTime,
    exchange,
    gateway::Gateway,
    http1::{
        BodyDecoder,
        Connection,
        LAST_CHUNK,
        RequestHead,
        ResponseHead, //
    },
    knowledge::Source,
    link,
    peers::{
        Peers,
        table,
        tunnel, //
    },
    port::{
        Changes,
        EngineReport,
        Era,
        Forwarding,
        GroupMembership,
        HeaderCodec,
        HostEntry,
        HostRegistry,
        OrderResponse,
        Orders,
        PlaceOrder,
        Platform,
        PlatformError,
        PlatformErrorKind,
        PlatformResult,
        Position,
        QuarantineEntry,
        RepathOrder,
        RepathResponse,
        RequestMetadata,
        ResponseMetadata,
        ResumePoint,
        Snapshot,
        Store,
        TargetChange,
        TargetEntry,
        TargetState, //
    },
    run_clock, settings,
};

/// Prompt part on which each engine ends that begins to write.
pub(crate) const LETHAL_PART: &str = "lethal";
/// Key whose team's requests with [`LETHAL_BODY`] to a path that ends with it end each target.
pub(crate) const LETHAL_KEY: &str = "key-a";
/// Body of requests that end each target.
pub(crate) const LETHAL_BODY: &str = "lethal";
/// Key of a team whose requests are all sound.
pub(crate) const SOUND_KEY: &str = "key-b";
/// Path of a plain service whose requests may be repeated.
pub(crate) const SAFE_PATH: &str = "/safe/lethal";
/// The same for requests that run at most once.
pub(crate) const UNSAFE_PATH: &str = "/unsafe/lethal";
/// Path of streams of the plain service that may be resumed.
pub(crate) const EVENTS_PATH: &str = "/events/";
/// The same for streams that run at most once.
pub(crate) const EVENTS_ONCE_PATH: &str = "/once/";
/// Time for which a target runs a request before it loses the answer late.
const LATE_LOSS_TIME: Duration = Duration::from_millis(900);
/// Time between two checks whether a stopped target goes on.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(5);
const HEALTH_PATH: &str = "/health";
const PEERS_PORT: u16 = 17_340;
const HEAD_LIMIT_BYTES: usize = 16 << 10;
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const LAYER_COUNT: u16 = 4;
/// Longest time for the head of a caller's request.
const HEADER_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time that a caller's connection is kept open without a request.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_millis(400);
pub(crate) const MODEL_PATH: &str = "/m/";
/// Path of less urgent requests to the model in [`competing_table`].
pub(crate) const BATCH_PATH: &str = "/m/batch/";

/// An engine that holds the whole model, and answers requests to plain services as well.
pub(crate) struct Engine {
    pub(crate) id: TargetId,
    address: SocketAddr,
    /// Address at which requests for connections are not answered.
    unanswered_address: SocketAddr,
    /// The listener at that address, and the connection that fills its queue.
    unanswered: (Socket, TcpStream),
    /// Time after which its process is started again; `None` if never.
    restart_delay: Option<Duration>,
    /// When its process ended, each time.
    end_times: RefCell<Vec<Instant>>,
    /// When a request that ends targets began to run, each time.
    lethal_times: RefCell<Vec<Instant>>,
    /// How it treats requests that end targets.
    pub(crate) lethal: Cell<Lethal>,
    /// Notified when the process ends.
    ended: Notify,
    /// Ids of the requests that began to run, in order.
    pub(crate) run_ids: RefCell<Vec<RequestId>>,
    /// Limit that its answers state.
    pub(crate) limit_per_s: Cell<Option<f64>>,
    /// Number of requests that reached it.
    pub(crate) request_count: Cell<u32>,
    /// Whether each connection so far is silent, in the order in which they were opened.
    silent_connections: RefCell<Vec<bool>>,
    /// Number of requests that came on silent connections.
    pub(crate) silent_request_count: Cell<u32>,
    /// Whether its process is stopped: connections are accepted, and nothing is read.
    pub(crate) is_stopped: Cell<bool>,
    /// Whether its answers state that it is leaving.
    pub(crate) says_leaving: Cell<bool>,
    /// How it answers requests that don't end it.
    pub(crate) behaviour: Cell<Behaviour>,
    /// Its answer to health checks.
    pub(crate) health_answer: Cell<&'static str>,
    /// Time before the head of a stream.
    pub(crate) head_delay: Cell<Duration>,
    /// Event that it wrote last, of any stream.
    pub(crate) last_event: Cell<u32>,
    /// Bytes of its last answer that was cut from which on a caller may see a success.
    pub(crate) success_bytes: Cell<usize>,
    /// Urgency that each request named; empty where it named none.
    pub(crate) urgencies: RefCell<Vec<SmolStr>>,
}

/// How a target treats a request that ends targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Lethal {
    /// Time for which the request runs before the process ends.
    pub(crate) delay: Duration,
    /// Of five such requests, the number that are answered with an error, without an end.
    pub(crate) failed_of_five: usize,
}

/// How a target answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Behaviour {
    /// At once and whole.
    #[default]
    Sound,
    /// At once and whole, and with a second copy of the answer right after it.
    AnswersTwice,
    /// The same, with the second copy after a delay.
    AnswersTwiceLate(Duration),
    /// The same, with the second copy as the answer to the next request on the connection.
    AnswersTwiceNext,
    /// At once, with an error of its own.
    Fails,
    /// At once, with a statement that it does not run the request.
    Refuses,
    /// With the start of a stream, on a connection that ends then.
    BreaksOff,
    /// Not at all: it runs the request and closes the connection.
    LosesAnswer,
    /// Not at all: it runs the request for 900 ms and closes the connection.
    LosesAnswerLate,
    /// With the first bytes of an answer, on a connection that ends then.
    Cut {
        bytes: usize,
        /// Whether the head states how the body is framed.
        is_framed: bool,
    },
    /// After a delay.
    Late(Duration),
    /// A stream of some events, each after a pause.
    Slow { events: u32, pause: Duration },
    /// A stream of some events at short intervals, with one long pause before one of them.
    PausesOnce {
        events: u32,
        before: u32,
        pause: Duration,
    },
    /// A whole body of a certain size, after an event or not, in pieces.
    Large {
        body: LargeBody,
        framing: LargeFraming,
        piece_bytes: usize,
    },
    /// A stream of one event and the start of a second one, of which a byte comes after each pause.
    Stalled { pause: Duration },
    /// With certain bytes, in which `{id}` stands for the id of the request.
    Raw(&'static str),
}

/// What a large body holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LargeBody {
    /// Events before the large part.
    pub(crate) events_before: u32,
    /// Size of the large part, which holds no end of an event.
    pub(crate) part_bytes: usize,
    /// Whether the large part ends as an event does, and another event follows.
    pub(crate) has_event_after: bool,
}

impl LargeBody {
    /// Returns the bytes of the body.
    pub(crate) fn to_bytes(self) -> Vec<u8> {
        let mut bytes = Vec::new();
        for id in 1..=self.events_before {
            bytes.extend_from_slice(format!("id: {id}\ndata: a\n\n").as_bytes());
        }
        bytes.extend((0..self.part_bytes).map(|index| b'a' + (index / 1000 % 26) as u8));
        if self.has_event_after {
            bytes.extend_from_slice(b"\n\nid: 99\ndata: b\n\n");
        }
        bytes
    }
}

/// How a large body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LargeFraming {
    Length,
    Chunked,
    UntilClose,
}

impl Engine {
    /// Starts an engine on a loopback address.
    async fn start(id: TargetId, address: IpAddr, restart_delay: Option<Duration>) -> Rc<Self> {
        let listener = TcpListener::bind((address, 0)).await.unwrap();
        let unanswered = full_listener(address);
        let unanswered_address = unanswered.local_addr().unwrap().as_socket().unwrap();
        let first = TcpStream::connect(unanswered_address).await.unwrap();
        let engine = Rc::new(Self {
            id,
            address: listener.local_addr().unwrap(),
            unanswered_address,
            unanswered: (unanswered, first),
            restart_delay,
            end_times: RefCell::default(),
            lethal_times: RefCell::default(),
            lethal: Cell::default(),
            ended: Notify::new(),
            run_ids: RefCell::default(),
            limit_per_s: Cell::new(None),
            request_count: Cell::new(0),
            silent_connections: RefCell::default(),
            silent_request_count: Cell::new(0),
            is_stopped: Cell::new(false),
            says_leaving: Cell::new(false),
            behaviour: Cell::default(),
            health_answer: Cell::new("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
            head_delay: Cell::default(),
            last_event: Cell::default(),
            success_bytes: Cell::default(),
            urgencies: RefCell::default(),
        });
        spawn_local(Rc::clone(&engine).run(listener));
        engine
    }

    /// Falls silent on all connections that are open now.
    pub(crate) fn fall_silent(&self) {
        self.silent_connections.borrow_mut().fill(true);
    }

    /// Falls silent on a share of the connections that are open now.
    pub(crate) fn fall_silent_partly(&self, share: f64, rng: &mut SmallRng) {
        for is_silent in self.silent_connections.borrow_mut().iter_mut() {
            *is_silent = rng.random_bool(share);
        }
    }

    async fn run(self: Rc<Self>, mut listener: TcpListener) {
        loop {
            Rc::clone(&self).run_process(listener).await;
            let Some(delay) = self.restart_delay else {
                return;
            };
            sleep(delay).await;
            listener = TcpListener::bind(self.address).await.unwrap();
        }
    }

    /// Accepts connections until the process ends, and drops the listener and all connections then.
    async fn run_process(self: Rc<Self>, listener: TcpListener) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let (stream, _) = accepted.unwrap();
                    connections.spawn_local(Rc::clone(&self).serve(stream));
                }
                () = self.ended.notified() => return,
            }
        }
    }

    /// Records a request that ends targets, and returns whether it is answered with an error instead.
    fn begin_lethal(&self) -> bool {
        let mut times = self.lethal_times.borrow_mut();
        times.push(Instant::now());
        times.len() % 5 < self.lethal.get().failed_of_five
    }

    fn end_process(&self) {
        self.end_times.borrow_mut().push(Instant::now());
        self.ended.notify_one();
    }

    /// Writes a stream from its event `first` on.
    async fn write_stream(&self, connection: &Connection, first: u32) -> io::Result<()> {
        const SHORT_PAUSE: Duration = Duration::from_millis(10);
        let (events, pause_before): (u32, &dyn Fn(u32) -> Duration) = match self.behaviour.get() {
            Behaviour::Slow { events, pause } => (events, &move |_| pause),
            Behaviour::PausesOnce {
                events,
                before,
                pause,
            } => (events, &move |id| match id == before {
                true => pause,
                false => SHORT_PAUSE,
            }),
            behaviour => return write_events(connection, behaviour).await,
        };
        for id in first..=events {
            sleep(pause_before(id)).await;
            let event = format!("id: {id}\ndata: a\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            connection.write_all(chunk.as_bytes()).await?;
            self.last_event.set(id);
        }
        connection.write_all(b"0\r\n\r\n").await
    }

    /// Writes the first bytes of an answer. A caller needs `needed` bytes of it to see a success.
    async fn write_cut(&self, connection: &Connection, answer: &str, bytes: usize, needed: usize) {
        self.success_bytes.set(needed);
        let cut = &answer.as_bytes()[..bytes.min(answer.len())];
        // A caller that has left needs no answer.
        let _written = connection.write_all(cut).await;
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        let index = self.silent_connections.borrow().len();
        self.silent_connections.borrow_mut().push(false);
        let mut late_copy: Option<String> = None;
        while let Ok(Some(head)) = connection
            .read_request(
                &run_clock::RunClock::default(),
                HEAD_LIMIT_BYTES,
                IDLE_TIMEOUT,
                IDLE_TIMEOUT,
            )
            .await
        {
            while self.is_stopped.get() {
                sleep(STOP_POLL_INTERVAL).await;
            }
            if self.silent_connections.borrow()[index] {
                self.silent_request_count
                    .set(self.silent_request_count.get() + 1);
                continue;
            }
            if head.target == HEALTH_PATH {
                let answer = self.health_answer.get();
                if connection.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            let mut decoder = BodyDecoder::new(head.framing);
            let Ok(Some(body)) = connection.read_whole_body(&mut decoder, 1 << 20).await else {
                return;
            };
            let id = head.headers.text("id").unwrap_or_default();
            self.request_count.set(self.request_count.get() + 1);
            self.run_ids.borrow_mut().push(id.into());
            let urgency = head.headers.text("urgency").unwrap_or_default();
            self.urgencies.borrow_mut().push(urgency.into());
            let is_lethal = is_lethal(&head, &body);
            let must_fail = is_lethal && self.begin_lethal();
            let fails = must_fail || self.behaviour.get() == Behaviour::Fails;
            if is_lethal {
                sleep(self.lethal.get().delay).await;
            }
            if fails {
                let answer = format!(
                    "HTTP/1.1 500 Error\r\nid: {id}\r\nsealed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                if connection.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            if let Behaviour::Large {
                body,
                framing,
                piece_bytes,
            } = self.behaviour.get()
            {
                let body = body.to_bytes();
                let written = write_large(&connection, id, &body, framing, piece_bytes).await;
                if written.is_err() || framing == LargeFraming::UntilClose {
                    return;
                }
                continue;
            }
            if let Behaviour::Raw(answer) = self.behaviour.get() {
                let answer = answer.replace("{id}", id);
                if connection.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            let is_stream = head.target.starts_with(MODEL_PATH)
                || is_plain_stream(&head.target) && self.behaviour.get().is_stream();
            if !is_stream {
                if is_lethal {
                    return self.end_process();
                }
                let body = match head.headers.text("after").unwrap_or_default() {
                    "" => id.to_owned(),
                    after => format!("after {after}"),
                };
                let answer = match id {
                    "" => {
                        "HTTP/1.1 400 Bad Request\r\nrefused: 1\r\nContent-Length: 0\r\n\r\n".into()
                    }
                    id => format!(
                        "HTTP/1.1 200 OK\r\nid: {id}\r\nsealed: 1\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    ),
                };
                if let Behaviour::Cut { bytes, is_framed } = self.behaviour.get() {
                    let answer = match is_framed {
                        true => answer,
                        false => answer.replace("Content-Length", "Length"),
                    };
                    let needed = match is_framed {
                        true => answer.len(),
                        false => answer.len() - body.len(),
                    };
                    return self.write_cut(&connection, &answer, bytes, needed).await;
                }
                let mut written = late_copy.take().unwrap_or_default();
                let mut later = None;
                match self.behaviour.get() {
                    Behaviour::LosesAnswer => return,
                    Behaviour::LosesAnswerLate => return sleep(LATE_LOSS_TIME).await,
                    Behaviour::Refuses => {
                        written = format!(
                            "HTTP/1.1 503 Full\r\nid: {id}\r\nrefused: 1\r\nContent-Length: 0\r\n\r\n"
                        );
                    }
                    Behaviour::AnswersTwice => written = answer.repeat(2),
                    Behaviour::AnswersTwiceLate(delay) => {
                        written.push_str(&answer);
                        later = Some((delay, answer));
                    }
                    Behaviour::AnswersTwiceNext => {
                        written.push_str(&answer);
                        late_copy = Some(answer);
                    }
                    Behaviour::Late(delay) => {
                        sleep(delay).await;
                        written.push_str(&answer);
                    }
                    Behaviour::Sound
                    | Behaviour::Fails
                    | Behaviour::BreaksOff
                    | Behaviour::Cut { .. }
                    | Behaviour::Slow { .. }
                    | Behaviour::PausesOnce { .. }
                    | Behaviour::Large { .. }
                    | Behaviour::Stalled { .. }
                    | Behaviour::Raw(_) => {
                        written.push_str(&answer);
                    }
                }
                if connection.write_all(written.as_bytes()).await.is_err() {
                    return;
                }
                if let Some((delay, copy)) = later {
                    sleep(delay).await;
                    if connection.write_all(copy.as_bytes()).await.is_err() {
                        return;
                    }
                }
                continue;
            }
            let limit = self.limit_per_s.get();
            let limit = limit.map_or_else(String::new, |limit| format!("limit: {limit}\r\n"));
            let leaving = match self.says_leaving.get() {
                true => "leaving: 1\r\n",
                false => "",
            };
            let begun = format!(
                "HTTP/1.1 200 OK\r\nid: {id}\r\nsealed: 1\r\n{limit}{leaving}Transfer-Encoding: chunked\r\n\r\n"
            );
            if let Behaviour::Cut { bytes, .. } = self.behaviour.get() {
                let answer = format!("{begun}f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n");
                return self
                    .write_cut(&connection, &answer, bytes, answer.len())
                    .await;
            }
            sleep(self.head_delay.get()).await;
            if connection.write_all(begun.as_bytes()).await.is_err() {
                return;
            }
            if is_lethal {
                return self.end_process();
            }
            let after = head.headers.text("after").unwrap_or_default();
            let first = after.parse().map_or(1, |after: u32| after + 1);
            let written = self.write_stream(&connection, first).await;
            if written.is_err() {
                return;
            }
        }
    }
}

/// Opens a listener whose queue is full after one connection, so that it answers no further one.
fn full_listener(address: IpAddr) -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::new(address, 0).into()).unwrap();
    socket.listen(0).unwrap();
    socket
}

impl Behaviour {
    /// Returns whether the target answers the streams of the plain service with events.
    fn is_stream(self) -> bool {
        matches!(
            self,
            Self::Slow { .. } | Self::PausesOnce { .. } | Self::BreaksOff | Self::Stalled { .. }
        )
    }
}

fn is_plain_stream(path: &str) -> bool {
    path.starts_with(EVENTS_PATH) || path.starts_with(EVENTS_ONCE_PATH)
}

async fn write_large(
    connection: &Connection,
    id: &str,
    body: &[u8],
    framing: LargeFraming,
    piece_bytes: usize,
) -> io::Result<()> {
    let header = match framing {
        LargeFraming::Length => format!("Content-Length: {}\r\n", body.len()),
        LargeFraming::Chunked => "Transfer-Encoding: chunked\r\n".into(),
        LargeFraming::UntilClose => String::new(),
    };
    let head = format!("HTTP/1.1 200 OK\r\nid: {id}\r\nsealed: 1\r\n{header}\r\n");
    connection.write_all(head.as_bytes()).await?;
    for piece in body.chunks(piece_bytes) {
        if framing == LargeFraming::Chunked {
            let size = format!("{:x}\r\n", piece.len());
            connection.write_all(size.as_bytes()).await?;
            connection.write_all(piece).await?;
            connection.write_all(b"\r\n").await?;
        } else {
            connection.write_all(piece).await?;
        }
        // The host reads piece by piece.
        tokio::task::yield_now().await;
    }
    if framing == LargeFraming::Chunked {
        connection.write_all(LAST_CHUNK).await?;
    }
    Ok(())
}

async fn write_events(connection: &Connection, behaviour: Behaviour) -> io::Result<()> {
    match behaviour {
        Behaviour::Slow { .. } | Behaviour::PausesOnce { .. } => {
            unreachable!("its events are counted")
        }
        Behaviour::BreaksOff => {
            connection.write_all(b"f\r\nid: 1\ndata: a\n\n\r\n").await?;
            Err(io::ErrorKind::ConnectionReset.into())
        }
        Behaviour::Stalled { pause } => {
            connection.write_all(b"f\r\nid: 1\ndata: a\n\n\r\n").await?;
            loop {
                sleep(pause).await;
                connection.write_all(b"1\r\n:\r\n").await?;
            }
        }
        Behaviour::Sound
        | Behaviour::AnswersTwice
        | Behaviour::AnswersTwiceLate(_)
        | Behaviour::AnswersTwiceNext
        | Behaviour::Cut { .. }
        | Behaviour::Fails
        | Behaviour::Refuses
        | Behaviour::Large { .. }
        | Behaviour::LosesAnswer
        | Behaviour::LosesAnswerLate
        | Behaviour::Late(_)
        | Behaviour::Raw(_) => {
            connection
                .write_all(b"f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n")
                .await
        }
    }
}

/// Returns whether a request ends the target that runs it.
fn is_lethal(head: &RequestHead, body: &[u8]) -> bool {
    let is_of_lethal_team = match head.target.starts_with(MODEL_PATH) {
        true => true,
        false => head.headers.text("team") == Some(LETHAL_KEY),
    };
    let has_lethal_part = parts_of(head).iter().any(|part| part == LETHAL_PART);
    has_lethal_part
        || is_of_lethal_team && head.target.ends_with("lethal") && body == LETHAL_BODY.as_bytes()
}

fn parts_of(head: &RequestHead) -> Vec<PartId> {
    let text = head.headers.text("parts").unwrap_or_default();
    text.split(',')
        .filter(|part| !part.is_empty())
        .map(PartId::new)
        .collect()
}

/// Headers `id` and `parts` of requests, and `id`, `sealed`, `limit` and `idle-s` of answers.
struct TestHeaders;

impl HeaderCodec for TestHeaders {
    fn parse_request(&self, head: &RequestHead) -> Result<RequestMetadata, SmolStr> {
        Ok(RequestMetadata {
            id: head.headers.text("id").unwrap_or_default().into(),
            key: head.headers.text("key").map(SmolStr::new),
            resume_point: match head.headers.text("after") {
                None => ResumePoint::Start,
                Some(id) => id
                    .parse()
                    .map_or(ResumePoint::Unreadable, ResumePoint::After),
            },
            prompt_tokens: 10,
            answer_limit_tokens: 10,
            shared_parts: parts_of(head),
            budget: (head.headers.text("budget-ms"))
                .and_then(|text| text.parse().ok())
                .map(Duration::from_millis),
            ..RequestMetadata::default()
        })
    }

    fn write_forwarded(
        &self,
        head: &RequestHead,
        body_bytes: usize,
        forwarding: &Forwarding<'_>,
        out: &mut Vec<u8>,
    ) {
        let text = |name| head.headers.text(name).unwrap_or_default();
        let forwarded = format!(
            "POST {} HTTP/1.1\r\nid: {}\r\nteam: {}\r\nparts: {}\r\nafter: {}\r\n\
             urgency: {}\r\nContent-Length: {body_bytes}\r\n\r\n",
            head.target,
            text("id"),
            forwarding.team.map_or("", |team| team.as_str()),
            text("parts"),
            forwarding
                .resume_after
                .map_or(text("after").into(), |id| format_smolstr!("{id}")),
            forwarding
                .urgency
                .map_or(SmolStr::default(), |urgency| format_smolstr!("{urgency}")),
        );
        out.extend_from_slice(forwarded.as_bytes());
    }

    fn parse_response(&self, head: &ResponseHead) -> ResponseMetadata {
        ResponseMetadata {
            id: head.headers.text("id").map(RequestId::new),
            is_sealed: head.headers.get("sealed").is_some(),
            did_not_run: head.headers.get("refused").is_some(),
            is_leaving: head.headers.get("leaving").is_some(),
            idle_timeout: head.headers.number("idle-s").map(Duration::from_secs),
            limit_per_s: head
                .headers
                .text("limit")
                .and_then(|text| text.parse().ok()),
            ..ResponseMetadata::default()
        }
    }

    fn request_id_header(&self) -> &'static str {
        "id"
    }
}

fn not_executed<T>() -> Result<T, PlatformError> {
    Err(PlatformError {
        call: "test",
        kind: PlatformErrorKind::NotExecuted,
        message: SmolStr::new_static("refused"),
    })
}

/// A store that keeps what hosts register and the group of hosts, and refuses all other calls.
#[derive(Default)]
pub(crate) struct SharedStore {
    pub(crate) group: Group,
    hosts: RefCell<BTreeMap<HostId, HostEntry>>,
    quarantined: RefCell<BTreeMap<Suspect, QuarantineEntry>>,
}

impl Store for SharedStore {
    fn era(&self) -> Era {
        0
    }

    fn given_up_connections(&self) -> u64 {
        0
    }

    fn observe_era(&self, _era: Era) {}

    fn newest_table(&self) -> PlatformResult<'_, Snapshot<Option<Table>>> {
        Box::pin(async { not_executed() })
    }

    fn encoded_table(&self, _version: Version) -> Option<Bytes> {
        None
    }

    fn decode_table(&self, _encoded: Bytes) -> Result<Table, PlatformError> {
        not_executed()
    }

    fn tables_after(
        &self,
        _from: Position,
        _wait: Duration,
    ) -> PlatformResult<'_, Changes<Option<Table>>> {
        Box::pin(async { not_executed() })
    }

    fn newest_targets(&self) -> PlatformResult<'_, Snapshot<Vec<TargetChange>>> {
        Box::pin(async { not_executed() })
    }

    fn targets_after(&self, _from: Position) -> PlatformResult<'_, Changes<Vec<TargetChange>>> {
        Box::pin(async { not_executed() })
    }

    fn register_host<'a>(&'a self, host: &'a HostEntry) -> PlatformResult<'a, ()> {
        let mut hosts = self.hosts.borrow_mut();
        hosts.insert(host.id.clone(), host.clone());
        Box::pin(async { Ok(()) })
    }

    fn deregister_host<'a>(&'a self, host: &'a HostId) -> PlatformResult<'a, ()> {
        self.hosts.borrow_mut().remove(host);
        Box::pin(async { Ok(()) })
    }

    fn registry(&self) -> PlatformResult<'_, HostRegistry> {
        Box::pin(async {
            Ok(HostRegistry {
                hosts: self.hosts.borrow().values().cloned().collect(),
                quarantined: self.quarantined.borrow().values().cloned().collect(),
            })
        })
    }

    fn register_quarantine<'a>(&'a self, entry: &'a QuarantineEntry) -> PlatformResult<'a, ()> {
        let mut quarantined = self.quarantined.borrow_mut();
        quarantined.insert(entry.suspect.clone(), entry.clone());
        Box::pin(async { Ok(()) })
    }

    fn deregister_quarantine<'a>(&'a self, suspect: &'a Suspect) -> PlatformResult<'a, ()> {
        self.quarantined.borrow_mut().remove(suspect);
        Box::pin(async { Ok(()) })
    }

    fn join_group<'a>(
        &'a self,
        host: &'a HostId,
        _lease: Duration,
        _generation: u64,
    ) -> PlatformResult<'a, GroupMembership> {
        let membership = self.group.join(host);
        Box::pin(async move { Ok(membership) })
    }

    fn leave_group<'a>(&'a self, host: &'a HostId) -> PlatformResult<'a, ()> {
        self.group.leave(host);
        Box::pin(async { Ok(()) })
    }
}

/// The group that elects the placer. Its first member is the placer, and no membership lapses.
#[derive(Default)]
pub(crate) struct Group {
    members: RefCell<Vec<HostId>>,
    generation: Cell<u64>,
    /// Whether the placer is a host that takes no part in the test.
    pub(crate) has_other_placer: Cell<bool>,
}

impl Group {
    /// Returns whether a host is a member.
    pub(crate) fn has_member(&self, host: &HostId) -> bool {
        self.members.borrow().contains(host)
    }

    fn join(&self, host: &HostId) -> GroupMembership {
        let mut members = self.members.borrow_mut();
        if !members.contains(host) {
            members.push(host.clone());
            self.generation.set(self.generation.get() + 1);
        }
        GroupMembership {
            era: 0,
            generation: self.generation.get(),
            is_placer: !self.has_other_placer.get() && members.first() == Some(host),
        }
    }

    fn leave(&self, host: &HostId) {
        self.members.borrow_mut().retain(|member| member != host);
        self.generation.set(self.generation.get() + 1);
    }
}

/// Accepts all orders to hold layers, and refuses all other calls.
#[derive(Default)]
pub(crate) struct RecordedOrders {
    /// Orders to hold layers, in the order in which they came.
    pub(crate) placed: RefCell<Vec<PlaceOrder>>,
}

impl Orders for RecordedOrders {
    fn report<'a>(
        &'a self,
        _target: &'a TargetId,
        _address: SocketAddr,
    ) -> PlatformResult<'a, EngineReport> {
        Box::pin(async { not_executed() })
    }

    fn place<'a>(&'a self, order: &'a PlaceOrder) -> PlatformResult<'a, OrderResponse> {
        self.placed.borrow_mut().push(order.clone());
        Box::pin(async { Ok(OrderResponse::Begun) })
    }

    fn repath<'a>(&'a self, _order: &'a RepathOrder<'a>) -> PlatformResult<'a, RepathResponse> {
        Box::pin(async { not_executed() })
    }
}

fn table() -> Table {
    let kind = AcceleratorSpec {
        memory_megabytes: 1000.0,
        step_factor: 1.0,
        prefill_factor: 1.0,
    };
    table_of(
        1,
        EngineProfile {
            model: "model".into(),
            layer_count: LAYER_COUNT,
            layer_megabytes: 1.0,
            kv_token_bytes: 1000.0,
            slot_limit_requests: 64,
            step_ms: 1.0,
            step_ms_per_sequence: 0.01,
            step_ms_per_context_unit: 0.01,
            prefill_tokens_per_s: 1e5,
            steps_per_event: 1,
            load_time: Duration::from_secs(10),
            loads_at_once: 4,
            mean_prompt_tokens: 10.0,
            mean_answer_tokens: 10.0,
            activation_bytes: 1000.0,
            pipe_megabits_per_s: 0.0,
            kinds: [("kind".into(), kind)].into(),
        },
    )
}

/// Returns a table in which requests of two ranks compete for the model. Each engine has memory for one
/// request at a time.
pub(crate) fn competing_table(version: Version, batch_rank: u32) -> Table {
    /// Memory for the weights of all layers and nine tenths of what two requests take.
    const MEMORY_MEGABYTES: f64 = 4.027;
    let table = table();
    let mut engine = table.service("model").unwrap().engine.clone().unwrap();
    for kind in engine.kinds.values_mut() {
        kind.memory_megabytes = MEMORY_MEGABYTES;
    }
    let batch = Route {
        path_prefix: BATCH_PATH.into(),
        priority: batch_rank,
        ..table.route("test", MODEL_PATH).unwrap().clone()
    };
    table_with(version, engine, [batch])
}

/// Returns a table with a model that runs on engines of a profile.
pub(crate) fn table_of(version: Version, engine: EngineProfile) -> Table {
    table_with(version, engine, [])
}

/// The same, with more routes.
fn table_with(
    version: Version,
    engine: EngineProfile,
    more: impl IntoIterator<Item = Route>,
) -> Table {
    let service = |engine| Service {
        health_path: HEALTH_PATH.into(),
        connection_limit: 100,
        engine,
    };
    let route = |path_prefix: &str, semantics, service: &str| Route {
        name: path_prefix.into(),
        host: "test".into(),
        path_prefix: path_prefix.into(),
        semantics,
        timeout: Duration::from_secs(20),
        latency_objective: Duration::from_millis(500),
        pause_objective: None,
        priority: 0,
        backends: vec![Backend {
            service: service.into(),
            weight: 1.0,
        }],
        attempts_max: 2,
        public: semantics.is_stream(),
    };
    let team = |key: &str| {
        let team = Team {
            name: key.into(),
            priority: None,
        };
        (KeyDigest::of(key), team)
    };
    let routes = [
        route(MODEL_PATH, RequestSemantics::ResumableStream, "model"),
        route("/safe/", RequestSemantics::Safe, "plain"),
        route(EVENTS_PATH, RequestSemantics::ResumableStream, "plain"),
        route(EVENTS_ONCE_PATH, RequestSemantics::Stream, "plain"),
        route("/unsafe/", RequestSemantics::AtMostOnce, "plain"),
    ];
    Table::new(
        version,
        routes.into_iter().chain(more),
        [
            ("model".into(), service(Some(engine))),
            ("plain".into(), service(None)),
        ],
        Some(vec![team(LETHAL_KEY), team(SOUND_KEY)]),
        CallerLimits {
            header_timeout: HEADER_TIMEOUT,
            idle_timeout: CALLER_IDLE_TIMEOUT,
            ..CallerLimits::default()
        },
    )
}

/// Returns a gateway that has no listeners and peers. Its table is that of [`Fleet`], and its list has
/// `engine_count` engines of the model, which don't run.
pub(crate) fn gateway_without_network(settings: &str, engine_count: u8) -> Gateway {
    let text = format!(
        "host_id = \"host\"\ndata_centre = \"a\"\n[listen]\ncallers = \"10.0.0.1:81\"\n\
         readiness = \"10.0.0.1:82\"\npeers = \"10.0.0.1:83\"\n\
         [platform]\nstore = \"10.0.0.1:84\"\n{settings}"
    );
    let platform = Platform {
        header_codec: Rc::new(TestHeaders),
        store: Rc::new(SharedStore::default()),
        orders: Rc::new(RecordedOrders::default()),
    };
    let settings = settings::read("test", &text).unwrap();
    let gateway = Gateway::with_rng(settings, platform, SmallRng::seed_from_u64(7));
    let put = |index| {
        let address = SocketAddr::from(([10, 0, 1, index], 80));
        TargetChange::Put(format_smolstr!("engine-{index}"), entry(address))
    };
    let now = BootTime::now();
    gateway.table_cache.update(Some(table()), now, Source::Read);
    let listed = (0..engine_count).map(put).collect();
    gateway.targets.replace(listed, Position::new(0, 1), now);
    gateway
}

/// How an answer ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallerResult {
    /// The complete answer of an engine.
    Complete,
    /// An answer of the host, with its status.
    Status(u16),
    /// The connection ended within the answer.
    Broken,
}

/// One run of a host.
pub(crate) struct Host {
    pub(crate) gateway: Rc<Gateway>,
    address: SocketAddr,
    tasks: JoinSet<()>,
    /// The tasks that exchange digests.
    exchange: Vec<AbortHandle>,
    next_id: Cell<u32>,
}

impl Host {
    /// Sends a request to the model with a prompt of the given shared parts and reads its answer.
    pub(crate) async fn call(&self, parts: &[&str]) -> CallerResult {
        self.call_model(parts, MODEL_PATH, &parts.join(" ")).await
    }

    /// Sends a request to the model on a certain path and with a certain body.
    pub(crate) async fn call_model(&self, parts: &[&str], path: &str, body: &str) -> CallerResult {
        let headers = format!("parts: {}\r\n", parts.join(","));
        self.exchange(path, &headers, body).await
    }

    /// Sends a request to the model that is given up by its caller after `budget`.
    pub(crate) async fn call_within(&self, budget: Duration) -> CallerResult {
        let headers = format!("budget-ms: {}\r\n", budget.as_millis());
        self.exchange(MODEL_PATH, &headers, "").await
    }

    /// Sends a request to a plain service and reads its answer.
    pub(crate) async fn call_plain(&self, path: &str, key: &str, body: &str) -> CallerResult {
        self.exchange(path, &format!("key: {key}\r\n"), body).await
    }

    /// Sends a request to the plain service, and returns its id and the body of the answer. Returns
    /// `None` without an answer of status 200.
    pub(crate) async fn answer_of(&self, path: &str) -> (RequestId, Option<String>) {
        let (id, answer) = self.send(path, &format!("key: {SOUND_KEY}\r\n"), "").await;
        let body = answer
            .filter(|(status, _)| *status == 200)
            .map(|(_, body)| String::from_utf8_lossy(&body).into_owned());
        (id, body)
    }

    /// Sends a request for a stream and returns all bytes that come until its connection is closed.
    pub(crate) async fn call_raw(&self, path: &str) -> String {
        let mut received = Vec::new();
        let mut stream = self.open_stream(path).await;
        // A reset ends the answer as well.
        let _ended = stream.read_to_end(&mut received).await;
        String::from_utf8_lossy(&received).into_owned()
    }

    /// Replaces the table in force.
    pub(crate) fn update_table(&self, table: Table) {
        let cache = &self.gateway.table_cache;
        cache.update(Some(table), BootTime::now(), Source::Read);
    }

    /// Sends a request for a stream, and returns the connection on which the answer comes.
    pub(crate) async fn open_stream(&self, path: &str) -> TcpStream {
        let request = self.request(path, "Connection: close\r\n", "");
        let connection = self.open_silent_connection(request.as_bytes()).await;
        connection.into_stream()
    }

    /// Sends a request on a path that names the last event which the caller has, and returns the status
    /// and the body of the answer.
    pub(crate) async fn resume(&self, path: &str, after: &str) -> Option<(u16, String)> {
        let headers = format!("key: {SOUND_KEY}\r\nafter: {after}\r\n");
        let (_, answer) = self.send(path, &headers, "").await;
        answer.map(|(status, body)| (status, String::from_utf8_lossy(&body).into_owned()))
    }

    /// Sends a request without an id to the plain service, and returns the status of the answer.
    pub(crate) async fn call_plain_without_id(&self, path: &str) -> Option<u16> {
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: test\r\nkey: {SOUND_KEY}\r\nContent-Length: 0\r\n\r\n"
        );
        let mut connection = self.open_silent_connection(request.as_bytes()).await;
        read_answer(&mut connection).await.map(|(status, _)| status)
    }

    /// Opens a connection, sends some bytes on it and says nothing more.
    pub(crate) async fn open_silent_connection(&self, bytes: &[u8]) -> Connection {
        let limit = Duration::from_secs(5);
        let connection = Connection::open(self.address, limit).await.unwrap();
        connection.write_all(bytes).await.unwrap();
        connection
    }

    /// Returns the id of the last request.
    pub(crate) fn last_id(&self) -> RequestId {
        format_smolstr!(
            "{}-{}",
            self.gateway.settings.host_id,
            self.next_id.get() - 1
        )
    }

    /// Returns the next request.
    fn request(&self, path: &str, headers: &str, body: &str) -> String {
        self.next_id.set(self.next_id.get() + 1);
        let id = self.last_id();
        format!(
            "POST {path} HTTP/1.1\r\nHost: test\r\nid: {id}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            body.len(),
        )
    }

    /// Sends requests for a stream on one kept connection. Returns status and body of each answer, until
    /// one breaks off.
    pub(crate) async fn call_kept(&self, path: &str, count: usize) -> Vec<(u16, Bytes)> {
        let limit = Duration::from_secs(5);
        let mut connection = Connection::open(self.address, limit).await.unwrap();
        let mut answers = Vec::new();
        for _ in 0..count {
            let request = self.request(path, &format!("key: {SOUND_KEY}\r\n"), "");
            connection.write_all(request.as_bytes()).await.unwrap();
            match read_answer(&mut connection).await {
                Some(answer) => answers.push(answer),
                None => break,
            }
        }
        answers
    }

    async fn exchange(&self, path: &str, headers: &str, body: &str) -> CallerResult {
        match self.send(path, headers, body).await.1 {
            Some((200, _)) => CallerResult::Complete,
            Some((status, _)) => CallerResult::Status(status),
            None => CallerResult::Broken,
        }
    }

    /// Sends a request, and returns its id with the status and body of its answer. Returns `None` for
    /// an answer that breaks off.
    async fn send(
        &self,
        path: &str,
        headers: &str,
        body: &str,
    ) -> (RequestId, Option<(u16, Bytes)>) {
        let request = self.request(path, headers, body);
        let id = self.last_id();
        let limit = Duration::from_secs(5);
        let mut connection = Connection::open(self.address, limit).await.unwrap();
        connection.write_all(request.as_bytes()).await.unwrap();
        (id, read_answer(&mut connection).await)
    }

    /// Makes the host neither send nor receive any more digests.
    pub(crate) fn isolate(&mut self) {
        for exchange in self.exchange.drain(..) {
            exchange.abort();
        }
    }

    /// Opens a connection, sends a request to a plain service, and closes the connection after a while.
    pub(crate) async fn call_plain_and_leave(
        &self,
        path: &str,
        key: &str,
        body: &str,
        after: Duration,
    ) {
        let request = self.request(path, &format!("key: {key}\r\n"), body);
        let connection = self.open_silent_connection(request.as_bytes()).await;
        sleep(after).await;
        drop(connection);
    }

    /// Ends the host's process: all its tasks, with what it has in memory.
    pub(crate) async fn kill(mut self) {
        self.tasks.shutdown().await;
    }
}

/// Reads the status and body of an answer. Returns `None` if it breaks off.
pub(crate) async fn read_answer(connection: &mut Connection) -> Option<(u16, Bytes)> {
    let head = connection.read_response().await.ok()?;
    let mut decoder = BodyDecoder::new(head.framing);
    let body = connection.read_whole_body(&mut decoder, 16 << 20).await;
    Some((head.status, body.ok().flatten()?))
}

/// Engines, and the store and addresses of the hosts before them.
pub(crate) struct Fleet {
    /// Second byte of all loopback addresses, different in each test.
    network: u8,
    pub(crate) store: Rc<SharedStore>,
    pub(crate) orders: Rc<RecordedOrders>,
    /// The engines, or the targets of the plain service.
    pub(crate) engines: Vec<Rc<Engine>>,
    services: Services,
}

/// Services of which the targets of a fleet are listed as targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Services {
    Model,
    Plain,
    /// Each target is listed for the model, and under another name for the plain service.
    Both,
}

impl Fleet {
    /// Starts `engine_count` engines that stay away once they have ended.
    pub(crate) async fn start(network: u8, engine_count: u8) -> Self {
        Self::start_targets(network, engine_count, None, Services::Model).await
    }

    /// Starts `count` targets of both services.
    pub(crate) async fn start_both(network: u8, count: u8) -> Self {
        Self::start_targets(network, count, None, Services::Both).await
    }

    /// Starts `target_count` targets of the plain service.
    pub(crate) async fn start_plain(
        network: u8,
        target_count: u8,
        restart_delay: Option<Duration>,
    ) -> Self {
        Self::start_targets(network, target_count, restart_delay, Services::Plain).await
    }

    async fn start_targets(
        network: u8,
        count: u8,
        restart_delay: Option<Duration>,
        services: Services,
    ) -> Self {
        let mut engines = Vec::new();
        for index in 0..count {
            let address = IpAddr::from([127, network, 1, 1 + index]);
            let id = format_smolstr!("engine-{index}");
            engines.push(Engine::start(id, address, restart_delay).await);
        }
        Self {
            network,
            store: Rc::default(),
            orders: Rc::default(),
            engines,
            services,
        }
    }

    /// Returns the number of times that the process of an engine has ended.
    pub(crate) fn ended_count(&self) -> usize {
        let end_counts = self
            .engines
            .iter()
            .map(|engine| engine.end_times.borrow().len());
        end_counts.sum()
    }

    /// Returns the number of requests that end targets and began to run later than `stable_time` after
    /// the third end.
    pub(crate) fn late_lethal_count(&self, stable_time: Duration) -> usize {
        let all = |times: fn(&Engine) -> &RefCell<Vec<Instant>>| {
            let mut all: Vec<Instant> = Vec::new();
            for engine in &self.engines {
                all.extend(times(engine).borrow().iter());
            }
            all.sort();
            all
        };
        let Some(third_end) = all(|engine| &engine.end_times).get(2).copied() else {
            return 0;
        };
        let is_late = |at: &&Instant| **at > third_end + stable_time;
        all(|engine| &engine.lethal_times)
            .iter()
            .filter(is_late)
            .count()
    }

    /// Returns the number of times that a request began to run.
    pub(crate) fn run_count(&self, id: &RequestId) -> usize {
        let runs = |engine: &Rc<Engine>| {
            engine
                .run_ids
                .borrow()
                .iter()
                .filter(|run| *run == id)
                .count()
        };
        self.engines.iter().map(runs).sum()
    }

    /// Starts a host, which knows all engines at once and finds its peers through the store.
    pub(crate) async fn start_host(&self, index: u8) -> Host {
        self.start_host_configured_after(index, Duration::ZERO)
            .await
    }

    /// Starts a host that is cut off from all targets: nothing listens at the addresses that it knows.
    pub(crate) async fn start_host_cut_off(&self, index: u8) -> Host {
        let host = self.start_host(index).await;
        self.cut_off(&host);
        host
    }

    /// Registers hosts whose address answers no connection.
    pub(crate) async fn register_unanswered_hosts(&self, count: u8) {
        for index in 0..count {
            let entry = HostEntry {
                id: format_smolstr!("unanswered-{index}"),
                address: self.engines[0].unanswered_address,
                key: "a1".repeat(16).into(),
                data_centre: "a".into(),
                processor_millis: 1,
            };
            self.store.register_host(&entry).await.unwrap();
        }
    }

    /// Starts a host of a data centre. Hosts of [`Self::start_host`] are in data centre `a`.
    pub(crate) async fn start_host_in(&self, index: u8, data_centre: &str) -> Host {
        self.start_host_configured(index, data_centre, Duration::ZERO)
            .await
    }

    /// Cuts a host off from all targets: connections are refused.
    pub(crate) fn cut_off(&self, host: &Host) {
        const CLOSED_PORT: u16 = 9;
        let address = |engine: &Engine| SocketAddr::new(engine.address.ip(), CLOSED_PORT);
        self.list_at(host, address);
    }

    /// Cuts a host off from all targets: requests for connections are not answered.
    pub(crate) fn cut_off_silently(&self, host: &Host) {
        self.list_at(host, |engine| engine.unanswered_address);
    }

    /// Makes room for one request for a connection where none were answered. The system sends such a
    /// request again after a second.
    pub(crate) fn answer_unanswered(&self, index: usize) {
        let (listener, _) = &self.engines[index].unanswered;
        drop(listener.accept().unwrap());
    }

    /// Cuts a host off from one target: its requests for connections are not answered.
    pub(crate) fn lose_target(&self, host: &Host, index: usize) {
        self.list_at(host, |engine| match engine.id == self.engines[index].id {
            true => engine.unanswered_address,
            false => engine.address,
        });
    }

    /// Ends the cut of a host.
    pub(crate) fn reconnect(&self, host: &Host) {
        self.list_at(host, |engine| engine.address);
    }

    fn list_at(&self, host: &Host, address: impl Fn(&Engine) -> SocketAddr) {
        let targets = &host.gateway.targets;
        let changes = self.listed(address);
        targets.replace(changes, Position::new(0, 2), BootTime::now());
    }

    fn listed(&self, address: impl Fn(&Engine) -> SocketAddr) -> Vec<TargetChange> {
        let put = |engine: &Rc<Engine>| {
            let address = address(engine);
            let model = TargetChange::Put(engine.id.clone(), entry(address));
            let plain = |id| TargetChange::Put(id, plain_entry(address));
            match self.services {
                Services::Model => vec![model],
                Services::Plain => vec![plain(engine.id.clone())],
                Services::Both => vec![model, plain(format_smolstr!("plain-{}", engine.id))],
            }
        };
        self.engines.iter().flat_map(put).collect()
    }

    /// Starts a host that has its first table and target list after a delay.
    pub(crate) async fn start_host_configured_after(&self, index: u8, delay: Duration) -> Host {
        self.start_host_configured(index, "a", delay).await
    }

    async fn start_host_configured(&self, index: u8, data_centre: &str, delay: Duration) -> Host {
        let address = IpAddr::from([127, self.network, 2, 1 + index]);
        let text = format!(
            "host_id = \"host-{index}\"\ndata_centre = \"{data_centre}\"\nprocessor_share = 0.1\n\
             [listen]\ncallers = \"{address}:81\"\nreadiness = \"{address}:82\"\n\
             peers = \"{address}:{PEERS_PORT}\"\n[platform]\nstore = \"{address}:83\"\n"
        );
        let platform = Platform {
            header_codec: Rc::new(TestHeaders),
            store: Rc::clone(&self.store) as Rc<dyn Store>,
            orders: Rc::clone(&self.orders) as Rc<dyn Orders>,
        };
        let settings = settings::read("test", &text).unwrap();
        let gateway = Rc::new(Gateway::new(settings, platform));
        let listed = self.listed(|engine| engine.address);
        let configured = Rc::clone(&gateway);
        let configure = async move {
            sleep(delay).await;
            let now = BootTime::now();
            let cache = &configured.table_cache;
            cache.update(Some(table()), now, Source::Read);
            configured.targets.replace(listed, Position::new(0, 1), now);
        };
        match delay.is_zero() {
            true => configure.await,
            false => {
                spawn_local(configure);
            }
        }
        let listener = TcpListener::bind((address, 0)).await.unwrap();
        let callers = listener.local_addr().unwrap();
        let peers = Rc::new(Peers::open(Rc::clone(&gateway)).await.unwrap());
        let mut tasks = JoinSet::new();
        tasks.spawn_local(Rc::clone(&peers).maintain_host_list());
        let exchange = vec![
            tasks.spawn_local(Rc::clone(&peers).send_digests()),
            tasks.spawn_local(Rc::clone(&peers).receive()),
        ];
        tasks.spawn_local(accept(Rc::clone(&gateway), listener));
        tasks.spawn_local(confirm_table(Rc::clone(&gateway)));
        tasks.spawn_local(run_clock::watch(Rc::clone(&gateway)));
        tasks.spawn_local(link::watch(Rc::clone(&gateway)));
        tasks.spawn_local(abandoned::watch(Rc::clone(&gateway)));
        tasks.spawn_local(tunnel::maintain_intermediaries(Rc::clone(&gateway)));
        let tables = TcpListener::bind((address, PEERS_PORT)).await.unwrap();
        tasks.spawn_local(table::serve(Rc::clone(&gateway), tables));
        Host {
            gateway,
            address: callers,
            tasks,
            exchange,
            next_id: Cell::new(0),
        }
    }
}

/// Confirms the table all the time, so that its keys stay valid.
async fn confirm_table(gateway: Rc<Gateway>) {
    loop {
        sleep(Duration::from_millis(500)).await;
        gateway
            .table_cache
            .confirm_current(BootTime::now(), Source::Read);
    }
}

async fn accept(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        spawn_local(exchange::serve(Rc::clone(&gateway), stream));
    }
}

pub(crate) fn entry(address: SocketAddr) -> TargetEntry {
    TargetEntry {
        service: "model".into(),
        address,
        data_centre: "a".into(),
        slot_limit_requests: 64,
        state: TargetState::Ready,
        kind: Some("kind".into()),
        layers: LayerRange::new(0, LAYER_COUNT).map(|range| (range, 1)),
        started_unix_ms: 1,
    }
}

fn plain_entry(address: SocketAddr) -> TargetEntry {
    TargetEntry {
        service: "plain".into(),
        kind: None,
        layers: None,
        ..entry(address)
    }
}

/// Runs a test on the real clock.
pub(crate) fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// Waits until each host hears from all others.
pub(crate) async fn wait_for_peers(hosts: &[&Host]) {
    const POLL_INTERVAL: Duration = Duration::from_millis(50);
    let is_met = |host: &&Host| {
        let mut peers = host.gateway.peers.borrow_mut();
        peers.live_count(BootTime::now()) + 1 == hosts.len()
    };
    while !hosts.iter().all(is_met) {
        sleep(POLL_INTERVAL).await;
    }
}
