use googletest::prelude::*;

use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn model() -> Model {
    Model {
        version: "2".into(),
        layer_count: 8,
        activation_bytes_per_token: 1,
        kv_bytes_per_token_layer: 1,
        weight_bytes_per_layer: 10,
        context_limit_tokens: 100,
    }
}

fn holding(version: &str, first: u16, end: u16) -> Holding {
    Holding {
        model: "m".into(),
        version: version.into(),
        layers: LayerRange::new(first, end).unwrap(),
        role: Role::Both,
    }
}

fn engine(name: &str, holdings: &[Holding]) -> Engine {
    Engine {
        target: name.into(),
        weight_memory_bytes: 80,
        used_bytes: holdings
            .iter()
            .map(|holding| u64::from(holding.layers.count()) * 10)
            .sum(),
        holds: holdings.to_vec(),
        fencing: Fencing::Checked,
        availability: Availability::InService,
    }
}

struct Pool {
    planner: Planner,
    start: Instant,
    model: Model,
    bounds: Placement,
    pending_bytes: u64,
}

impl Pool {
    fn new(replicas_min: u32, replicas_max: u32) -> Self {
        Self {
            planner: Planner::new(Settings::default()),
            start: Instant::now(),
            model: model(),
            bounds: Placement {
                replicas_min,
                replicas_max,
            },
            pending_bytes: 0,
        }
    }

    fn plan(&mut self, engines: &[Engine], after: Duration) -> Vec<Decision> {
        let view = View {
            model_id: &"m".into(),
            model: &self.model,
            bounds: &self.bounds,
            engines,
            store_rate_bytes_per_s: 10,
            store_pending_bytes: self.pending_bytes,
            leader_since: self.start,
        };
        self.planner.plan(&view, self.start + after)
    }

    /// Reports the same utilisation to the planner once a second from `from` to `until`.
    fn observe(&mut self, utilisation: f64, from: Duration, until: Duration) {
        let mut at = from;
        while at <= until {
            let now = self.start + at;
            self.planner
                .demand_mut()
                .observe(utilisation, 1.0, 0.0, now);
            at += SECOND;
        }
    }
}

#[gtest]
fn plan_loads_layers_below_minimum_first() {
    let mut pool = Pool::new(1, 4);
    let engines = [engine("a", &[holding("2", 0, 5)]), engine("b", &[])];
    let orders = pool.plan(&engines, SECOND);
    assert_that!(orders.len(), eq(1));
    expect_that!(orders[0].target, eq("b"));
    expect_that!(orders[0].reason, eq(Reason::BelowMinimum));
    let load = Action::Load {
        holding: holding("2", 5, 8),
        weight_bytes: 30,
    };
    expect_that!(orders[0].action, eq(&load));
}

#[gtest]
fn plan_loads_no_more_than_fits() {
    let mut pool = Pool::new(1, 1);
    let mut small = engine("a", &[]);
    small.weight_memory_bytes = 35;
    let orders = pool.plan(&[small], SECOND);
    expect_that!(
        orders[0].action,
        matches_pattern!(Action::Load {
            weight_bytes: eq(&30),
            ..
        })
    );
}

#[gtest]
fn plan_adds_replicas_for_high_demand_within_bounds() {
    let engines = [engine("a", &[holding("2", 0, 8)]), engine("b", &[])];
    let mut pool = Pool::new(1, 2);
    pool.observe(0.95, SECOND, SECOND * 60);
    let orders = pool.plan(&engines, SECOND * 60);
    expect_that!(orders[0].reason, eq(Reason::DemandHigh));
    let mut bounded = Pool::new(1, 1);
    bounded.observe(0.95, SECOND, SECOND * 60);
    expect_that!(bounded.plan(&engines, SECOND * 60), is_empty());
}

#[gtest]
fn plan_waits_for_weight_store() {
    let mut pool = Pool::new(1, 4);
    pool.pending_bytes = 10 * 60;
    expect_that!(pool.plan(&[engine("a", &[])], SECOND), is_empty());
}

#[gtest]
fn plan_removes_replica_only_after_cool_down() {
    let engines = [
        engine("a", &[holding("2", 0, 8)]),
        engine("b", &[holding("2", 0, 8)]),
        engine("c", &[holding("2", 0, 8)]),
    ];
    let mut pool = Pool::new(1, 4);
    pool.observe(0.1, SECOND, SECOND * 179);
    expect_that!(pool.plan(&engines, SECOND * 179), is_empty());
    pool.observe(0.1, SECOND * 180, SECOND * 200);
    let orders = pool.plan(&engines, SECOND * 200);
    expect_that!(orders.len(), eq(1));
    expect_that!(orders[0].reason, eq(Reason::DemandLow));
    // A short burst restarts the cool-down.
    pool.observe(0.9, SECOND * 201, SECOND * 206);
    pool.observe(0.1, SECOND * 207, SECOND * 300);
    expect_that!(pool.plan(&engines, SECOND * 300), is_empty());
}

#[gtest]
fn plan_never_goes_below_minimum() {
    let engines = [
        engine("a", &[holding("2", 0, 8)]),
        engine("b", &[holding("2", 0, 8)]),
    ];
    let mut pool = Pool::new(2, 4);
    pool.observe(0.0, SECOND, SECOND * 600);
    expect_that!(pool.plan(&engines, SECOND * 600), is_empty());
}

#[gtest]
fn plan_replaces_old_version_after_new_one_is_held() {
    let mut pool = Pool::new(1, 2);
    let old = engine("a", &[holding("1", 0, 8)]);
    let orders = pool.plan(&[old.clone(), engine("b", &[])], SECOND);
    expect_that!(orders.len(), eq(1));
    expect_that!(orders[0].target, eq("b"));
    let orders = pool.plan(&[old, engine("b", &[holding("2", 0, 8)])], SECOND);
    expect_that!(orders[0].reason, eq(Reason::OldVersion));
    expect_that!(orders[0].target, eq("a"));
}

#[gtest]
fn plan_unloads_no_target_that_ignores_fencing_in_quarantine() {
    let mut unfenced = engine("a", &[holding("1", 0, 8)]);
    unfenced.fencing = Fencing::Ignored;
    let engines = [unfenced, engine("b", &[holding("2", 0, 8)])];
    let mut pool = Pool::new(1, 2);
    let quarantine = Settings::default().quarantine;
    expect_that!(pool.plan(&engines, quarantine - SECOND), is_empty());
    expect_that!(pool.plan(&engines, quarantine).len(), eq(1));
}

#[gtest]
fn plan_does_not_count_engine_out_of_service() {
    let mut out_of_service = engine("a", &[holding("2", 0, 8)]);
    out_of_service.availability = Availability::OutOfService;
    let mut pool = Pool::new(1, 2);
    let orders = pool.plan(&[out_of_service, engine("b", &[])], SECOND);
    expect_that!(orders[0].target, eq("b"));
}
