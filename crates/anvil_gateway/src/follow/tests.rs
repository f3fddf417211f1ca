use std::{
    cell::Cell,
    rc::Rc, //
};

use anvil_core::{
    entry::{
        CallerLimits,
        Table, //
    },
    id::{
        HostId,
        TargetId, //
    },
};
use googletest::prelude::*;
use smol_str::SmolStr;

use super::*;
use crate::{
    http1::{
        RequestHead,
        ResponseHead, //
    },
    peers::{
        DatagramKey, //
        Digest,
    },
    port::{
        EngineReport,
        Era,
        Forwarding,
        GroupMembership,
        HeaderCodec,
        HostEntry,
        OrderResponse,
        Orders,
        PlaceOrder,
        Platform,
        PlatformErrorKind,
        PlatformResult,
        RepathOrder,
        RepathResponse,
        RequestMetadata,
        ResponseMetadata,
        Snapshot,
        Store,
        TargetChange, //
    },
    settings, //
};

/// A store that is down at first and serves only tables. The tests below follow only the table, so
/// every other call fails.
#[derive(Default)]
struct TableStore {
    is_up: Cell<bool>,
    calls: Cell<u32>,
}

fn not_executed<T>() -> std::result::Result<T, PlatformError> {
    Err(PlatformError {
        call: "test",
        kind: PlatformErrorKind::NotExecuted,
        message: SmolStr::new_static("down"),
    })
}

impl Store for TableStore {
    fn era(&self) -> Option<Era> {
        None
    }

    fn newest_table(&self) -> PlatformResult<'_, Snapshot<Option<Table>>> {
        self.calls.set(self.calls.get() + 1);
        let is_up = self.is_up.get();
        Box::pin(async move {
            if !is_up {
                return not_executed();
            }
            let items = Some(Table::new(7, [], [], None, CallerLimits::default()));
            Ok(Snapshot {
                items,
                next_offset: 1,
            })
        })
    }

    fn tables_after(
        &self,
        _from: Offset,
        _wait: Duration,
    ) -> PlatformResult<'_, Changes<Option<Table>>> {
        Box::pin(async { not_executed() })
    }

    fn newest_targets(&self) -> PlatformResult<'_, Snapshot<Vec<TargetChange>>> {
        Box::pin(async { not_executed() })
    }

    fn targets_after(&self, _from: Offset) -> PlatformResult<'_, Changes<Vec<TargetChange>>> {
        Box::pin(async { not_executed() })
    }

    fn register_host<'a>(&'a self, _host: &'a HostEntry) -> PlatformResult<'a, ()> {
        Box::pin(async { not_executed() })
    }

    fn deregister_host<'a>(&'a self, _host: &'a HostId) -> PlatformResult<'a, ()> {
        Box::pin(async { not_executed() })
    }

    fn hosts(&self) -> PlatformResult<'_, Vec<HostEntry>> {
        Box::pin(async { not_executed() })
    }

    fn join_group<'a>(
        &'a self,
        _host: &'a HostId,
        _lease: Duration,
        _generation: u64,
    ) -> PlatformResult<'a, GroupMembership> {
        Box::pin(async { not_executed() })
    }

    fn leave_group<'a>(&'a self, _host: &'a HostId) -> PlatformResult<'a, ()> {
        Box::pin(async { not_executed() })
    }
}

struct NoEngines;

impl Orders for NoEngines {
    fn report<'a>(
        &'a self,
        _target: &'a TargetId,
        _address: std::net::SocketAddr,
    ) -> PlatformResult<'a, EngineReport> {
        Box::pin(async { not_executed() })
    }

    fn place<'a>(&'a self, _order: &'a PlaceOrder) -> PlatformResult<'a, OrderResponse> {
        Box::pin(async { not_executed() })
    }

    fn repath<'a>(&'a self, _order: &'a RepathOrder<'a>) -> PlatformResult<'a, RepathResponse> {
        Box::pin(async { not_executed() })
    }
}

struct NoHeaders;

impl HeaderCodec for NoHeaders {
    fn parse_request(&self, _head: &RequestHead) -> std::result::Result<RequestMetadata, SmolStr> {
        Ok(RequestMetadata::default())
    }

    fn write_forwarded(
        &self,
        _head: &RequestHead,
        _body_bytes: usize,
        _forwarding: &Forwarding<'_>,
        _out: &mut Vec<u8>,
    ) {
    }

    fn parse_response(&self, _head: &ResponseHead) -> ResponseMetadata {
        ResponseMetadata::default()
    }

    fn request_id_header(&self) -> &'static str {
        "id"
    }
}

/// Returns a gateway whose store is read by two peers with more processor time in its data centre.
fn gateway(store: &Rc<TableStore>) -> Rc<Gateway> {
    let text = r#"
        host_id = "own"
        data_centre = "a"
        processor_share = 0.1
        listen = { callers = "10.0.0.1:80", readiness = "10.0.0.1:81", peers = "10.0.0.1:82" }
        platform = { store = "10.0.0.2:80" }
    "#;
    let settings = settings::read("test", text).unwrap();
    let platform = Platform {
        header_codec: Rc::new(NoHeaders),
        store: Rc::clone(store) as Rc<dyn Store>,
        orders: Rc::new(NoEngines),
    };
    let gateway = Rc::new(Gateway::new(settings, platform));
    for host in ["one", "two"] {
        let mut registry = gateway.peers.borrow_mut();
        let key = DatagramKey::from_hex(&"a1".repeat(16)).unwrap();
        registry.register(host.into(), "10.0.0.3:82".parse().unwrap(), key);
        let digest = Digest {
            host: host.into(),
            data_centre: "a".into(),
            processor_millis: 500,
            sent: BootTime::now(),
            echo: None,
            table_version: 7,
            table_age: None,
            targets_next: 0,
            targets_age: None,
            loads: Vec::new(),
            avoided: Vec::new(),
            refusing: Vec::new(),
            slow: Vec::new(),
            target_changes: None,
        };
        registry.record_digest(&host.into(), digest, Instant::now());
    }
    gateway
}

/// Runs a test on tokio's paused clock, which advances to the next timer whenever all tasks are
/// idle.
fn run_with_paused_clock(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(tokio::task::LocalSet::new().run_until(test));
}

/// Guards against a host that waits out its long backoff although a peer has a newer table, which
/// shows that the store is back.
#[gtest]
fn follow_table_reads_soon_when_peer_has_newer_table() {
    run_with_paused_clock(async {
        let store = Rc::new(TableStore::default());
        let gateway = gateway(&store);
        tokio::task::spawn_local(follow_table(Rc::clone(&gateway)));
        sleep(OVERDUE_DELAY_MAX * 2).await;
        expect_that!(store.calls.get(), ge(1));
        store.is_up.set(true);
        let notified_at = Instant::now();
        gateway.newer_table_notify.notify_one();
        while gateway.table_cache.table().is_none() {
            sleep(Duration::from_millis(5)).await;
        }
        expect_that!(notified_at.elapsed(), lt(BACKOFF_MAX));
    });
}

/// Guards against load on a store that is down: a host whose peers read for it must call seldom.
#[gtest]
fn follow_table_calls_failing_store_seldom() {
    run_with_paused_clock(async {
        let store = Rc::new(TableStore::default());
        let gateway = gateway(&store);
        tokio::task::spawn_local(follow_table(Rc::clone(&gateway)));
        for second in 0..20 {
            sleep(Duration::from_secs(1)).await;
            let limit = 2 + 4 * (second + 1);
            expect_that!(store.calls.get(), le(limit), "after {second} s");
        }
        expect_that!(store.calls.get(), ge(10));
    });
}
