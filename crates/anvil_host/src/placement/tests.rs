mod engines;

use std::{
    sync::Arc,
    time::Duration, //
};

use anvil_core::{
    document::{
        Document,
        Fencing,
        Placement, //
    },
    lease::Holder, //
};
use googletest::prelude::*;
use tokio::time::Instant;

use self::engines::{
    FakeEngines,
    document, //
};
use super::{
    PoolContext,
    pool::{
        Pool,
        Rank, //
    }, //
};
use crate::fakes::{
    self,
    FakeLog, //
};

const SECOND: Duration = Duration::from_secs(1);

struct Setup {
    log: Arc<FakeLog>,
    engines: Arc<FakeEngines>,
    document: Document,
}

impl Setup {
    fn new(fencing: Fencing) -> Self {
        let document = document(fencing);
        Self {
            log: Arc::default(),
            engines: Arc::new(FakeEngines::new(&document)),
            document,
        }
    }

    /// Returns a host's pool over the shared log and engines.
    fn pool(&self, host: &str) -> Pool {
        let mut ports = fakes::ports(Arc::clone(&self.log), Arc::default(), Arc::default());
        ports.engine = self.engines.clone();
        ports.weight_store = self.engines.clone();
        let context = PoolContext {
            holder: Holder {
                host: host.into(),
                incarnation: 1,
            },
            ports,
            lease_stream_prefix: "leases".into(),
            lease: Default::default(),
            placement: Default::default(),
        };
        Pool::new(Arc::new(context), "m".into())
    }

    async fn run_cycles(&self, pool: &mut Pool, rank: Rank, count: u32) {
        for _ in 0..count {
            pool.run_cycle(&self.document, &|_| false, rank, Instant::now())
                .await;
            tokio::time::sleep(SECOND).await;
        }
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn placer_loads_what_is_missing() {
    let setup = Setup::new(Fencing::Checked);
    let mut pool = setup.pool("a");
    setup.run_cycles(&mut pool, Rank::First, 5).await;
    expect_that!(setup.engines.coverage(), eq(2));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn second_candidate_waits_for_first() {
    let setup = Setup::new(Fencing::Checked);
    let (mut first, mut second) = (setup.pool("a"), setup.pool("b"));
    setup.run_cycles(&mut second, Rank::Second, 3).await;
    expect_that!(second.holds_lease(), eq(false));
    setup.run_cycles(&mut first, Rank::First, 1).await;
    setup.run_cycles(&mut second, Rank::Second, 5).await;
    expect_that!(second.holds_lease(), eq(false));
    // The first candidate no longer renews its lease, so the lease expires.
    setup.run_cycles(&mut second, Rank::Second, 20).await;
    expect_that!(second.holds_lease(), eq(true));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn close_lets_next_placer_start_at_once() {
    let setup = Setup::new(Fencing::Checked);
    let (mut first, mut second) = (setup.pool("a"), setup.pool("b"));
    setup.run_cycles(&mut first, Rank::First, 2).await;
    first.close().await;
    setup.run_cycles(&mut second, Rank::First, 1).await;
    expect_that!(second.holds_lease(), eq(true));
}

/// Pauses a placer in the middle of an order until its lease has expired and another placer has
/// taken over. Then its late order reaches the target after all.
async fn run_with_paused_placer(fencing: Fencing) -> Setup {
    let mut setup = Setup::new(fencing);
    let (mut first, mut second) = (setup.pool("a"), setup.pool("b"));
    setup.run_cycles(&mut first, Rank::First, 5).await;
    assert_that!(setup.engines.coverage(), eq(2));
    // The minimum of replicas falls. After the cool-down the first placer orders an unload and is
    // paused.
    setup.document.placements.insert(
        "m".into(),
        Arc::new(Placement {
            replicas_min: 1,
            replicas_max: 2,
        }),
    );
    setup.engines.pause_orders();
    let mut placer = tokio::spawn({
        let document = setup.document.clone();
        async move {
            for _ in 0..400 {
                first
                    .run_cycle(&document, &|_| false, Rank::First, Instant::now())
                    .await;
                tokio::time::sleep(SECOND).await;
            }
        }
    });
    while setup.engines.paused_orders() == 0 {
        tokio::time::sleep(SECOND).await;
    }
    placer.abort();
    let _aborted = (&mut placer).await;
    // The minimum rises again, so that the second placer needs both replicas.
    setup.document.placements.insert(
        "m".into(),
        Arc::new(Placement {
            replicas_min: 2,
            replicas_max: 2,
        }),
    );
    setup.run_cycles(&mut second, Rank::First, 20).await;
    assert_that!(second.holds_lease(), eq(true));
    setup.engines.resume_orders();
    tokio::time::sleep(SECOND).await;
    let after_late_order = setup.engines.coverage();
    match fencing {
        Fencing::Checked => expect_that!(after_late_order, eq(2)),
        Fencing::Ignored => expect_that!(after_late_order, eq(1)),
    }
    setup.run_cycles(&mut second, Rank::First, 10).await;
    setup
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn paused_placer_is_refused_by_target_that_checks_fencing() {
    let setup = run_with_paused_placer(Fencing::Checked).await;
    expect_that!(setup.engines.coverage(), eq(2));
    expect_that!(setup.engines.refused_orders(), ge(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn paused_placer_at_target_that_ignores_fencing_is_repaired() {
    let setup = run_with_paused_placer(Fencing::Ignored).await;
    expect_that!(setup.engines.coverage(), eq(2));
    // No layer was ever left without an engine.
    expect_that!(setup.engines.min_coverage_since_full(), ge(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn placer_that_lost_the_log_stops_ordering() {
    let setup = Setup::new(Fencing::Checked);
    let mut pool = setup.pool("a");
    setup.run_cycles(&mut pool, Rank::First, 1).await;
    setup.log.set_down(true);
    setup.run_cycles(&mut pool, Rank::First, 15).await;
    expect_that!(pool.holds_lease(), eq(false));
    let orders = setup.engines.orders();
    setup.run_cycles(&mut pool, Rank::First, 15).await;
    expect_that!(setup.engines.orders(), eq(orders));
    setup.log.set_down(false);
    setup.run_cycles(&mut pool, Rank::First, 5).await;
    expect_that!(pool.holds_lease(), eq(true));
}
