use anvil_core::engine_model::AcceleratorSpec;
use googletest::prelude::*;
use tokio::task::{
    spawn_local,
    yield_now, //
};

use super::*;
use crate::{
    knowledge::Source,
    port::{
        Era,
        Position,
        TargetChange,
        TargetEntry, //
    },
    tests::fleet::{
        Fleet,
        Host,
        SAFE_PATH,
        entry,
        run,
        table_of,
        wait_for_peers, //
    },
};

const POLL_INTERVAL: Duration = Duration::from_millis(2);
const ERA: Era = 0;

/// Accelerators of a large fleet, by kind.
const LARGE_FLEET: [(&str, usize); 3] = [("large", 18), ("middle", 66), ("small", 106)];
const DATA_CENTRES: [&str; 5] = ["a", "b", "c", "d", "e"];

fn engine() -> EngineProfile {
    let kind = |memory_megabytes, step_factor, prefill_factor| AcceleratorSpec {
        memory_megabytes,
        step_factor,
        prefill_factor,
    };
    EngineProfile {
        model: "model".into(),
        layer_count: 80,
        layer_megabytes: 1750.0,
        kv_token_bytes: 918_000.0,
        slot_limit_requests: 192,
        step_ms: 1.02,
        step_ms_per_sequence: 0.007_14,
        step_ms_per_context_unit: 0.009_56,
        prefill_tokens_per_s: 128_000.0,
        steps_per_event: 6,
        load_time: Duration::from_secs(14),
        loads_at_once: 31,
        mean_prompt_tokens: 774.0,
        mean_answer_tokens: 200.0,
        activation_bytes: 45_900.0,
        pipe_megabits_per_s: 18_000.0,
        kinds: HashMap::from([
            ("large".into(), kind(72_000.0, 2.4, 3.2)),
            ("middle".into(), kind(43_200.0, 5.6, 2.7)),
            ("small".into(), kind(21_600.0, 16.0, 8.2)),
        ]),
    }
}

/// Replaces the targets that a host knows by engines that hold no layers.
fn list_empty_engines(gateway: &Gateway, kinds: &[(&str, usize)], data_centres: &[&str]) {
    let names = kinds
        .iter()
        .flat_map(|(kind, count)| (0..*count).map(move |index| (kind, index)));
    let put = |(position, (kind, index)): (usize, (&&str, usize))| {
        let entry = TargetEntry {
            data_centre: data_centres[position % data_centres.len()].into(),
            kind: Some((*kind).into()),
            layers: None,
            ..entry(([127, 0, 0, 1], 9).into())
        };
        TargetChange::Put(format!("{kind}-{index}").into(), entry)
    };
    let changes = names.enumerate().map(put).collect();
    let now = BootTime::now();
    gateway.targets.replace(changes, Position::new(ERA, 2), now);
    gateway
        .table_cache
        .update(Some(table_of(2, engine())), now, Source::Read);
}

fn set_placer(placer: &Placer, generation: u64, is_placer: bool) {
    let membership = GroupMembership {
        era: ERA,
        generation,
        is_placer,
    };
    placer.apply_membership(membership, BootTime::now());
}

async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        sleep(POLL_INTERVAL).await;
    }
}

/// Waits until the placer has begun to check the placement once more.
async fn wait_for_check(gateway: &Gateway) {
    gateway.awaits_targets.set(true);
    wait_until(|| !gateway.awaits_targets.get()).await;
}

/// Guards against a fleet without layers: each search for a layout outlasted the lease, and its
/// result was dropped.
#[gtest]
fn place_orders_layout_whose_search_outlasted_lease() {
    run(async {
        let fleet = Fleet::start(73, 1).await;
        let host = fleet.start_host(0).await;
        let gateway = &host.gateway;
        let kinds = [("large", 4), ("middle", 8), ("small", 12)];
        list_empty_engines(gateway, &kinds, &["a"]);
        let placer = Rc::new(Placer::new(Rc::clone(gateway)));
        spawn_local(Rc::clone(&placer).place());
        wait_until(|| {
            set_placer(&placer, 1, true);
            gateway.awaits_targets.get()
        })
        .await;
        wait_until(|| {
            set_placer(&placer, 1, true);
            !gateway.awaits_targets.get()
        })
        .await;
        for generation in [2, 4, 6] {
            set_placer(&placer, generation, false);
            wait_for_check(gateway).await;
            set_placer(&placer, generation + 1, true);
            wait_for_check(gateway).await;
            sleep(POLL_INTERVAL).await;
            if !fleet.orders.placed.borrow().is_empty() {
                break;
            }
        }
        expect_that!(fleet.orders.placed.borrow().len(), eq(24));
    });
}

/// Guards against a layout for the part of the engines that was listed before the placer began to read
/// the list often.
#[gtest]
fn place_waits_for_engines_listed_after_lease_was_taken() {
    run(async {
        let fleet = Fleet::start(78, 1).await;
        let host = fleet.start_host(0).await;
        let gateway = &host.gateway;
        list_empty_engines(gateway, &[("large", 4)], &["a"]);
        let placer = Rc::new(Placer::new(Rc::clone(gateway)));
        spawn_local(Rc::clone(&placer).place());
        sleep(LIST_SETTLE_TIME + PLACEMENT_INTERVAL).await;
        set_placer(&placer, 1, true);
        sleep(PLACEMENT_INTERVAL * 2).await;
        let kinds = [("large", 4), ("middle", 8), ("small", 12)];
        list_empty_engines(gateway, &kinds, &["a"]);
        wait_until(|| {
            set_placer(&placer, 1, true);
            !fleet.orders.placed.borrow().is_empty()
        })
        .await;
        sleep(POLL_INTERVAL).await;
        expect_that!(fleet.orders.placed.borrow().len(), eq(24));
    });
}

/// Guards against a placer that is silent to its peers while it searches for the layout of a large
/// fleet.
#[gtest]
fn place_all_lets_other_tasks_run_on_large_fleet() {
    // Peers expect a report each 150 ms.
    const TURN_MAX: Duration = Duration::from_millis(15);
    let turns_min = SEARCH_TIME_MAX.as_millis() / TURN_MAX.as_millis();
    run(async {
        let fleet = Fleet::start(74, 1).await;
        let host = fleet.start_host(0).await;
        let gateway = &host.gateway;
        list_empty_engines(gateway, &LARGE_FLEET, &DATA_CENTRES);
        let placer = Rc::new(Placer::new(Rc::clone(gateway)));
        set_placer(&placer, 1, true);
        let targets = gateway.targets.of_service(&"model".into());
        // The time that the search takes must not end it.
        tokio::time::pause();
        let search = spawn_local(async move {
            placer.place_all(&"model".into(), &engine(), &targets).await;
        });
        let mut turns = 0;
        while !search.is_finished() {
            turns += 1;
            yield_now().await;
        }
        expect_that!(turns, ge(turns_min));
    });
}

/// Guards against a placer that is silent to its peers while it looks for a move on a large fleet.
#[gtest]
fn check_moves_lets_other_tasks_run_on_large_fleet() {
    run(async {
        let fleet = Fleet::start(77, 1).await;
        let host = fleet.start_host(0).await;
        let gateway = &host.gateway;
        list_empty_engines(gateway, &LARGE_FLEET, &DATA_CENTRES);
        let targets = gateway.targets.of_service(&"model".into());
        let placer = Placer::new(Rc::clone(gateway));
        let engine = engine();
        let mut accelerators = placer.accelerators(&engine, &targets, Instant::now());
        let chosen = layout::choose(&engine, &accelerators, |_| true);
        let mut shown: Vec<Move> = Vec::new();
        for accelerator in &mut accelerators {
            accelerator.holds = chosen.get(&accelerator.target).copied();
            // A move that changes nothing doesn't raise the rate, so that all are looked at.
            shown.extend(accelerator.holds.map(|layers| Move {
                target: accelerator.target.clone(),
                data_centre: accelerator.data_centre.clone(),
                layers,
                price_share: 0.5,
            }));
        }
        shown.truncate(REBALANCE_CHECKS_MAX);
        let simulated_paths = {
            let mut simulation =
                layout::capacity::Simulation::new(&engine, &accelerators, &chosen, &[]);
            let mut paths = 1;
            while simulation.advance().is_none() {
                paths += 1;
            }
            paths
        };
        let check = spawn_local(async move { check_moves(&engine, &accelerators, shown).await });
        let mut turns = 0;
        while !check.is_finished() {
            turns += 1;
            yield_now().await;
        }
        let parts = simulated_paths * (1 + REBALANCE_CHECKS_MAX);
        expect_that!(turns * TURN_LIMIT_PART_ACCELERATORS, ge(parts * 190 / 2));
        expect_that!(check.await.unwrap(), none());
    });
}

/// Returns the one of three hosts that does not read the store for the others, and the other two.
fn split_by_reader(hosts: [Host; 3]) -> (Host, Vec<Host>) {
    let mut others: Vec<Host> = hosts.into();
    let position = others
        .iter()
        .position(|host| !peers::is_reader(&host.gateway));
    let host = others.remove(position.expect("a data centre has two relays"));
    (host, others)
}

/// Guards against a lease that the store grants to a host which does not ask for it any more.
#[gtest]
fn maintain_lease_leaves_group_when_host_stops_reading() {
    run(async {
        let fleet = Fleet::start(75, 1).await;
        let group = &fleet.store.group;
        group.has_other_placer.set(true);
        let hosts = [
            fleet.start_host(0).await,
            fleet.start_host(1).await,
            fleet.start_host(2).await,
        ];
        wait_for_peers(&hosts.each_ref()).await;
        wait_until(|| {
            let readers = hosts.iter().filter(|host| peers::is_reader(&host.gateway));
            readers.count() == 2
        })
        .await;
        let (host, others) = split_by_reader(hosts);
        let host_id = &host.gateway.settings.host_id;
        let placer = Rc::new(Placer::new(Rc::clone(&host.gateway)));
        spawn_local(placer.maintain_lease());
        let mut indices = Vec::new();
        for other in others {
            let id = &other.gateway.settings.host_id;
            indices.push(id.trim_start_matches("host-").parse::<u8>().unwrap());
            other.kill().await;
        }
        wait_until(|| group.has_member(host_id)).await;
        let mut restarted = Vec::new();
        for index in indices {
            restarted.push(fleet.start_host(index).await);
        }
        wait_until(|| !peers::is_reader(&host.gateway)).await;
        sleep(LEASE_DURATION).await;
        expect_that!(group.has_member(host_id), eq(false));
    });
}

/// Guards against a lease that the store grants to a host which is stopping.
#[gtest]
fn maintain_lease_does_not_rejoin_after_close() {
    run(async {
        let fleet = Fleet::start(76, 1).await;
        let group = &fleet.store.group;
        let host = fleet.start_host(0).await;
        let host_id = &host.gateway.settings.host_id;
        let placer = Rc::new(Placer::new(Rc::clone(&host.gateway)));
        spawn_local(Rc::clone(&placer).maintain_lease());
        wait_until(|| placer.token().is_some()).await;
        host.gateway.set_phase(Phase::Draining);
        placer.close().await;
        sleep(LEASE_DURATION).await;
        expect_that!(group.has_member(host_id), eq(false));
        expect_that!(placer.token(), none());
    });
}

/// Guards against a fleet without a placer while the targets of a plain service are down.
#[gtest]
fn maintain_lease_goes_on_while_plain_service_is_down() {
    run(async {
        let fleet = Fleet::start_plain(79, 3, None).await;
        let host = fleet.start_host_cut_off(0).await;
        let placer = Rc::new(Placer::new(Rc::clone(&host.gateway)));
        spawn_local(Rc::clone(&placer).maintain_lease());
        wait_until(|| placer.token().is_some()).await;
        for _ in 0..3 {
            host.answer_of(SAFE_PATH).await;
        }
        let link = &host.gateway.link;
        wait_until(|| link.belief(&"plain".into()) == Belief::CutOff).await;
        sleep(LEASE_DURATION).await;
        expect_that!(placer.token(), some(anything()));
    });
}
