//! Runs a gateway, from opening its listeners to its graceful shutdown.

use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use tokio::{
    net::{
        TcpListener,
        TcpSocket,
        TcpStream, //
    },
    signal::unix::{
        SignalKind,
        signal, //
    },
    task::spawn_local,
    time::{
        Instant,
        sleep, //
    },
};

use crate::{
    abandoned,
    exchange,
    follow,
    gateway::{
        Gateway,
        Phase, //
    },
    http1::Connection,
    intake::{
        Intake,
        Place, //
    },
    link,
    metrics,
    peers::{
        Peers,
        table,
        tunnel, //
    },
    placer::Placer,
    port::Platform,
    run_clock,
    settings::Settings, //
};

#[cfg(test)]
mod tests;

/// Most connections that wait to be accepted, per listener.
const BACKLOG_CONNECTIONS: u32 = 1024;
/// Size of each of the system's two buffers for a caller's connection, which the system doubles for its own
/// use. It grows them to several MB otherwise. A caller 50 ms away still gets some 10 Mbit/s.
const CALLER_SOCKET_BUFFER_BYTES: u32 = 64 << 10;
/// Pause after a connection could not be accepted, for example because descriptors ran out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time from the signal to stop until the load balancer sends no more connections: it checks
/// readiness once a second, needs two checks, and each takes a round trip.
const READINESS_PROPAGATION_DELAY: Duration = Duration::from_millis(2600);
/// Time before the end of the grace period that is reserved for the process to exit by itself.
const STOP_GRACE_MARGIN: Duration = Duration::from_millis(400);
/// Time before the end of the grace period at which requests without an answer get one from this host.
/// It leaves [`STOP_GRACE_MARGIN`] and the time in which a busy host writes these answers.
const STOP_ANSWER_MARGIN: Duration = Duration::from_millis(800);
/// Time between two checks of the open requests during shutdown.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two removals of what has expired: idle connections, evidence against prompt parts.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(2);
/// Longest time that a readiness request, or one for the metrics, may take to arrive, and that its connection may stay idle.
const READINESS_TIMEOUT: Duration = Duration::from_secs(10);
/// Share of the revocation bound (`bounds.revoke_ms`) that the table may age without confirmation
/// from the store before this host is not ready. The load balancer needs two checks, a second
/// apart, to notice.
const READY_AGE_RATIO: f64 = 0.6;
/// Largest head of a readiness request, and of one for the metrics.
const READINESS_HEAD_LIMIT_BYTES: usize = 8 << 10;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownOutcome {
    /// All requests ended in time.
    Drained,
    /// The grace period expired while requests were open.
    GracePeriodExpired {
        /// Number of requests that were open.
        open_requests: u32,
    },
}

/// Serves until the process receives SIGTERM or SIGINT, then shuts down. Must run in a `LocalSet`.
///
/// # Errors
///
/// Returns an error if a listener or signal handler can't be set up.
pub async fn run(settings: Settings, platform: Platform) -> io::Result<ShutdownOutcome> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let callers = listen_for_callers(settings.callers)?;
    let readiness = listen(settings.readiness)?;
    let tables = listen(settings.peers)?;
    let gateway = Rc::new(Gateway::new(settings, platform));
    let peers = Rc::new(Peers::open(Rc::clone(&gateway)).await?);
    let placer = Rc::new(Placer::new(Rc::clone(&gateway)));
    spdlog::info!("host.listening", kv: {
        callers: = gateway.settings.callers,
        readiness: = gateway.settings.readiness,
    });
    if let Some(address) = gateway.settings.metrics {
        spawn_local(metrics::serve(Rc::clone(&gateway), listen(address)?));
    }
    spawn_local(accept_callers(Rc::clone(&gateway), callers));
    spawn_local(accept_readiness(Rc::clone(&gateway), readiness));
    spawn_local(table::serve(Rc::clone(&gateway), tables));
    spawn_local(follow::follow_table(Rc::clone(&gateway)));
    spawn_local(follow::follow_targets(
        Rc::clone(&gateway),
        Rc::clone(&peers),
    ));
    spawn_local(Rc::clone(&peers).maintain_host_list());
    spawn_local(Rc::clone(&peers).send_digests());
    spawn_local(Rc::clone(&peers).receive());
    spawn_local(Rc::clone(&placer).maintain_lease());
    spawn_local(Rc::clone(&placer).place());
    spawn_local(run_clock::watch(Rc::clone(&gateway)));
    spawn_local(link::watch(Rc::clone(&gateway)));
    spawn_local(abandoned::watch(Rc::clone(&gateway)));
    spawn_local(tunnel::maintain_intermediaries(Rc::clone(&gateway)));
    spawn_local(expire(Rc::clone(&gateway)));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => {
                // Settings are read once per process; a restart reads the file again.
                spdlog::info!("host.reload_ignored");
            }
        }
    }
    Ok(stop(&gateway, &placer).await)
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    listen_on(TcpSocket::new_v4()?, address)
}

/// Opens the listener for callers, whose connections have bounded buffers in the system.
fn listen_for_callers(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    // Accepted connections take these over.
    socket.set_send_buffer_size(CALLER_SOCKET_BUFFER_BYTES)?;
    socket.set_recv_buffer_size(CALLER_SOCKET_BUFFER_BYTES)?;
    listen_on(socket, address)
}

fn listen_on(socket: TcpSocket, address: SocketAddr) -> io::Result<TcpListener> {
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG_CONNECTIONS)
}

/// Shuts down: leaves the group that elects the placer, deregisters this host, then waits until
/// requests and connections have ended or the grace period is nearly over.
async fn stop(gateway: &Rc<Gateway>, placer: &Placer) -> ShutdownOutcome {
    let signalled_at = Instant::now();
    let stop_limit = gateway
        .settings
        .bounds
        .stop_grace
        .saturating_sub(STOP_GRACE_MARGIN);
    spdlog::info!("host.stopping", kv: { open_requests = gateway.open_requests.get() });
    gateway.set_phase(Phase::Draining);
    let deregister = async {
        placer.close().await;
        let host_id = &gateway.settings.host_id;
        if let Err(error) = gateway.platform.store.deregister_host(host_id).await {
            spdlog::warn!("peers.withdraw_failed", kv: { error: });
        }
    };
    if tokio::time::timeout(READINESS_PROPAGATION_DELAY, deregister)
        .await
        .is_err()
    {
        spdlog::warn!("peers.withdraw_failed", kv: { error = "no answer from the store" });
    }
    sleep(READINESS_PROPAGATION_DELAY.saturating_sub(signalled_at.elapsed())).await;
    // Kept connections would bring requests until the end, and too little time is left for these.
    gateway.set_phase(Phase::Closing);
    let answer_after = (gateway.settings.bounds.stop_grace).saturating_sub(STOP_ANSWER_MARGIN);
    loop {
        if signalled_at.elapsed() >= answer_after && gateway.phase() < Phase::Ending {
            spdlog::warn!("host.answering_rest", kv: { open_requests = gateway.open_requests.get() });
            gateway.set_phase(Phase::Ending);
        }
        let is_idle = gateway.open_requests.get() == 0
            && gateway.open_connections.get() == 0
            && gateway.open_tunnels.get() == 0;
        if is_idle || signalled_at.elapsed() >= stop_limit {
            break;
        }
        sleep(STOP_POLL_INTERVAL).await;
    }
    let open_requests = gateway.open_requests.get();
    spdlog::info!("host.stopped", kv: { open_requests });
    match open_requests {
        0 => ShutdownOutcome::Drained,
        open_requests => ShutdownOutcome::GracePeriodExpired { open_requests },
    }
}

/// Accepts the next connection. A failure is logged, and accepting is tried again.
pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                spdlog::warn!("listener.accept_failed", kv: { error: });
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts callers until this host answers its last requests. From then on connections are refused, since
/// a request on one could be cut without an answer.
async fn accept_callers(gateway: Rc<Gateway>, listener: TcpListener) {
    let accept_all = async {
        loop {
            let stream = accept(&listener).await;
            match gateway.intake.open() {
                Some(place) => {
                    let serving = exchange::serve_admitted(Rc::clone(&gateway), stream, place);
                    spawn_local(serving);
                }
                None => exchange::refuse(&stream),
            }
        }
    };
    tokio::select! {
        biased;
        () = gateway.reached(Phase::Ending) => {}
        () = accept_all => {}
    }
}

/// Accepts connections to a listener that callers don't use, each with a place at `intake`, and serves
/// them. Never returns.
pub(crate) async fn accept_all<F: Future<Output = ()> + 'static>(
    listener: TcpListener,
    intake: Rc<Intake>,
    serve: impl Fn(Connection, Rc<Place>) -> F,
) {
    loop {
        let stream = accept(&listener).await;
        if let Some(place) = intake.open() {
            let connection = Connection::of_caller(stream, Rc::clone(&place));
            spawn_local(serve(connection, place));
        }
    }
}

async fn accept_readiness(gateway: Rc<Gateway>, listener: TcpListener) {
    let intake = Intake::new("readiness", gateway.budget.readiness);
    accept_all(listener, intake, |connection, place| {
        answer_all(Rc::clone(&gateway), connection, place, |gateway| {
            let response: &[u8] = match is_ready(gateway) {
                true => b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                false => b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
            };
            response.to_vec()
        })
    })
    .await;
}
/// Answers each request on a connection with what `render` returns, whatever its path.
pub(crate) async fn answer_all(
    gateway: Rc<Gateway>,
    mut connection: Connection,
    place: Rc<Place>,
    render: impl Fn(&Gateway) -> Vec<u8>,
) {
    let answer = async {
        while let Ok(Some(head)) = connection
            .read_request(
                &gateway.run_clock,
                READINESS_HEAD_LIMIT_BYTES,
                READINESS_TIMEOUT,
                READINESS_TIMEOUT,
            )
            .await
        {
            let answer = render(&gateway);
            if connection.write_all(&answer).await.is_err() || !head.keep_alive {
                return;
            }
            drop(head);
            connection.end_request();
        }
    };
    tokio::select! {
        biased;
        () = answer => {}
        () = place.ended() => {}
    }
}

/// Returns whether this host is ready for callers. A host that may soon have to refuse keys,
/// because the store has not confirmed its table, reports itself as not ready early enough that
/// callers go to other hosts.
fn is_ready(gateway: &Gateway) -> bool {
    let age_limit = gateway.settings.bounds.revoke.mul_f64(READY_AGE_RATIO);
    gateway.phase() == Phase::Serving
        && gateway.table_cache.table().is_some()
        && !gateway.is_table_superseded()
        && gateway
            .table_cache
            .age()
            .is_some_and(|age| age <= age_limit)
        && gateway.targets.age().is_some()
}

/// Removes expired idle connections and expired evidence, periodically. Never returns.
async fn expire(gateway: Rc<Gateway>) {
    loop {
        sleep(EXPIRY_INTERVAL).await;
        gateway.expire_quarantine();
        for target in gateway.targets.all() {
            target.pool.drop_expired();
        }
    }
}
