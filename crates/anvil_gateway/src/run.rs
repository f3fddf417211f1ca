//! A gateway's run, from its listeners to its planned stop.

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
    exchange,
    follow,
    gateway::{
        Gateway,
        Phase, //
    },
    http1::Connection,
    metrics,
    peers::Peers,
    placer::Placer,
    port::Platform,
    settings::Settings, //
};

/// Connections that may wait to be accepted.
const BACKLOG_CONNECTIONS: u32 = 1024;
/// Pause after a connection could not be accepted, as when descriptors run out.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time from the signal to stop until the entry sends no more connections: two of its questions a
/// second apart, and their way.
const UNNOTICED: Duration = Duration::from_millis(2600);
/// Time left before the end of the grace period for the process to end by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// Time between two looks at the open requests during a stop.
const STOP_TICK: Duration = Duration::from_millis(50);
/// Time between two sweeps of idle connections.
const SWEEP: Duration = Duration::from_secs(2);
/// Longest time that a question for readiness may take, and its connection stays idle.
pub(crate) const READINESS_TIMEOUT: Duration = Duration::from_secs(10);
/// Share of the bound on revoked keys that may pass without word from the store until this host is
/// not ready: the entry takes two questions, a second apart, to notice.
const READY_AGE_SHARE: f64 = 0.6;
/// Largest head of a question for readiness.
pub(crate) const READINESS_HEAD_LIMIT_BYTES: usize = 8 << 10;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownOutcome {
    /// All requests had ended.
    Drained,
    /// The grace period ran out with requests open.
    GracePeriodExpired {
        /// Requests that were open.
        open_requests: u32,
    },
}

/// Serves until it is told to stop. Must run in a `LocalSet`.
///
/// # Errors
///
/// A listener or signal that can't be set up.
pub async fn run(settings: Settings, platform: Platform) -> io::Result<ShutdownOutcome> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    let callers = listen(settings.callers)?;
    let readiness = listen(settings.readiness)?;
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
    spawn_local(sweep(Rc::clone(&gateway)));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hang_up.recv() => {
                // Settings hold for the life of a process; a restart reads the file again.
                spdlog::info!("host.reload_ignored");
            }
        }
    }
    Ok(stop(&gateway, &placer).await)
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG_CONNECTIONS)
}

async fn stop(gateway: &Rc<Gateway>, placer: &Placer) -> ShutdownOutcome {
    let asked = Instant::now();
    let limit = gateway
        .settings
        .bounds
        .stop_grace
        .saturating_sub(GRACE_MARGIN);
    spdlog::info!("host.stopping", kv: { open_requests = gateway.open_requests.get() });
    gateway.set_phase(Phase::Draining);
    let leave = async {
        placer.close().await;
        let host_id = &gateway.settings.host_id;
        if let Err(error) = gateway.platform.store.deregister_host(host_id).await {
            spdlog::warn!("peers.withdraw_failed", kv: { error: });
        }
    };
    if tokio::time::timeout(UNNOTICED, leave).await.is_err() {
        spdlog::warn!("peers.withdraw_failed", kv: { error = "no answer from the store" });
    }
    sleep(UNNOTICED.saturating_sub(asked.elapsed())).await;
    // A kept connection would bring requests until the end, for which too little time is left.
    gateway.set_phase(Phase::Closing);
    loop {
        let is_idle = gateway.open_requests.get() == 0 && gateway.open_connections.get() == 0;
        if is_idle || asked.elapsed() >= limit {
            break;
        }
        sleep(STOP_TICK).await;
    }
    let open_requests = gateway.open_requests.get();
    spdlog::info!("host.stopped", kv: { open_requests });
    match open_requests {
        0 => ShutdownOutcome::Drained,
        open_requests => ShutdownOutcome::GracePeriodExpired { open_requests },
    }
}

async fn accept(listener: &TcpListener) -> TcpStream {
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

async fn accept_callers(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        spawn_local(exchange::serve(Rc::clone(&gateway), stream));
    }
}

async fn accept_readiness(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        spawn_local(answer_readiness(Rc::clone(&gateway), stream));
    }
}

async fn answer_readiness(gateway: Rc<Gateway>, stream: TcpStream) {
    let mut connection = Connection::new(stream);
    while let Ok(Some(head)) = connection
        .read_request(
            READINESS_HEAD_LIMIT_BYTES,
            READINESS_TIMEOUT,
            READINESS_TIMEOUT,
        )
        .await
    {
        let answer: &[u8] = match is_ready(&gateway) {
            true => b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            false => b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
        };
        if connection.write_all(answer).await.is_err() || !head.keep_alive {
            return;
        }
    }
}

/// Whether this host shall get callers. One that may soon have to refuse keys for want of word from
/// the store leaves them to others in time.
fn is_ready(gateway: &Gateway) -> bool {
    let age_limit = gateway.settings.bounds.revoke.mul_f64(READY_AGE_SHARE);
    gateway.phase() == Phase::Serving
        && gateway.table_cache.table().is_some()
        && gateway
            .table_cache
            .age()
            .is_some_and(|age| age <= age_limit)
        && gateway.targets.age().is_some()
}

async fn sweep(gateway: Rc<Gateway>) {
    loop {
        sleep(SWEEP).await;
        for target in gateway.targets.all() {
            target.pool.drop_expired();
        }
    }
}
