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

struct Rig {
    log: Arc<FakeLog>,
    engines: Arc<FakeEngines>,
    document: Document,
}

impl Rig {
    fn new(fencing: Fencing) -> Self {
        let document = document(fencing);
        Self {
            log: Arc::default(),
            engines: Arc::new(FakeEngines::new(&document)),
            document,
        }
    }

    /// A host's pool over the same log and engines.
    fn pool(&self, host: &str) -> Pool {
        let mut ports = fakes::ports(Arc::clone(&self.log), Arc::default(), Arc::default());
        ports.engine = self.engines.clone();
        ports.weight_store = self.engines.clone();
        let parts = PoolContext {
            holder: Holder {
                host: host.into(),
                incarnation: 1,
            },
            ports,
            lease_stream_prefix: "leases".into(),
            lease: Default::default(),
            placement: Default::default(),
        };
        Pool::new(Arc::new(parts), "m".into())
    }

    async fn look(&self, pool: &mut Pool, rank: Rank, times: u32) {
        for _ in 0..times {
            pool.run_cycle(&self.document, &|_| false, rank, Instant::now())
                .await;
            tokio::time::sleep(SECOND).await;
        }
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn placer_loads_what_is_missing() {
    let rig = Rig::new(Fencing::Checked);
    let mut pool = rig.pool("a");
    rig.look(&mut pool, Rank::First, 5).await;
    expect_that!(rig.engines.coverage(), eq(2));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn second_candidate_waits_for_first() {
    let rig = Rig::new(Fencing::Checked);
    let (mut first, mut second) = (rig.pool("a"), rig.pool("b"));
    rig.look(&mut second, Rank::Second, 3).await;
    expect_that!(second.holds_lease(), eq(false));
    rig.look(&mut first, Rank::First, 1).await;
    rig.look(&mut second, Rank::Second, 5).await;
    expect_that!(second.holds_lease(), eq(false));
    // The first is gone: its time runs out.
    rig.look(&mut second, Rank::Second, 20).await;
    expect_that!(second.holds_lease(), eq(true));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn close_lets_next_placer_start_at_once() {
    let rig = Rig::new(Fencing::Checked);
    let (mut first, mut second) = (rig.pool("a"), rig.pool("b"));
    rig.look(&mut first, Rank::First, 2).await;
    first.close().await;
    rig.look(&mut second, Rank::First, 1).await;
    expect_that!(second.holds_lease(), eq(true));
}

/// A placer is held in the midst of an order until its lease has lapsed and another has taken
/// over; then its order reaches the target after all.
async fn paused_placer(fencing: Fencing) -> Rig {
    let mut rig = Rig::new(fencing);
    let (mut first, mut second) = (rig.pool("a"), rig.pool("b"));
    rig.look(&mut first, Rank::First, 5).await;
    assert_that!(rig.engines.coverage(), eq(2));
    // Bounds fall; after the cool-down the first placer orders an unload, and is held.
    rig.document.placements.insert(
        "m".into(),
        Arc::new(Placement {
            replicas_min: 1,
            replicas_max: 2,
        }),
    );
    rig.engines.hold_orders();
    let mut held = tokio::spawn({
        let document = rig.document.clone();
        async move {
            for _ in 0..400 {
                first
                    .run_cycle(&document, &|_| false, Rank::First, Instant::now())
                    .await;
                tokio::time::sleep(SECOND).await;
            }
        }
    });
    while rig.engines.held_orders() == 0 {
        tokio::time::sleep(SECOND).await;
    }
    held.abort();
    let _aborted = (&mut held).await;
    // Demand is back: the second placer needs both replicas.
    rig.document.placements.insert(
        "m".into(),
        Arc::new(Placement {
            replicas_min: 2,
            replicas_max: 2,
        }),
    );
    rig.look(&mut second, Rank::First, 20).await;
    assert_that!(second.holds_lease(), eq(true));
    rig.engines.release_orders();
    tokio::time::sleep(SECOND).await;
    let after_late_order = rig.engines.coverage();
    match fencing {
        Fencing::Checked => expect_that!(after_late_order, eq(2)),
        Fencing::Ignored => expect_that!(after_late_order, eq(1)),
    }
    rig.look(&mut second, Rank::First, 10).await;
    rig
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn paused_placer_is_refused_by_target_that_checks_fencing() {
    let rig = paused_placer(Fencing::Checked).await;
    expect_that!(rig.engines.coverage(), eq(2));
    expect_that!(rig.engines.refused_orders(), ge(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn paused_placer_at_target_that_ignores_fencing_is_repaired() {
    let rig = paused_placer(Fencing::Ignored).await;
    expect_that!(rig.engines.coverage(), eq(2));
    // A layer was never left without any engine.
    expect_that!(rig.engines.min_coverage_since_full(), ge(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn placer_that_lost_the_log_stops_ordering() {
    let rig = Rig::new(Fencing::Checked);
    let mut pool = rig.pool("a");
    rig.look(&mut pool, Rank::First, 1).await;
    rig.log.set_down(true);
    rig.look(&mut pool, Rank::First, 15).await;
    expect_that!(pool.holds_lease(), eq(false));
    let orders = rig.engines.orders();
    rig.look(&mut pool, Rank::First, 15).await;
    expect_that!(rig.engines.orders(), eq(orders));
    rig.log.set_down(false);
    rig.look(&mut pool, Rank::First, 5).await;
    expect_that!(pool.holds_lease(), eq(true));
}
