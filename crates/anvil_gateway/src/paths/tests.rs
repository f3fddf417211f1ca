use std::cell::{
    Cell,
    OnceCell, //
};

use googletest::prelude::*;

use super::*;
use crate::{
    held_prompts::HoldingGuard,
    http1::{
        Framing,
        RequestHead, //
    },
    port::RequestMetadata,
    tests::fleet::{
        MODEL_PATH,
        gateway_without_network, //
    },
};

const ENGINES: u8 = 12;

/// Returns a request whose prompt is much longer than its answer, so that a saving outweighs the random
/// changes of prices.
fn metadata() -> RequestMetadata {
    RequestMetadata {
        prompt_tokens: 10_000,
        answer_limit_tokens: 10,
        shared_parts: vec!["system".into(), "tools".into()],
        shared_part_tokens: vec![8000, 1999],
        ..RequestMetadata::default()
    }
}

/// Chooses a path for a first attempt.
fn chosen_path(gateway: &Gateway) -> ChosenPath {
    let metadata = metadata();
    let head = RequestHead {
        method: "POST".into(),
        target: MODEL_PATH.into(),
        headers: Default::default(),
        framing: Framing::Length(0),
        keep_alive: true,
    };
    let table = gateway.table_cache.table().unwrap();
    let route = table.route("test", MODEL_PATH).unwrap();
    let service_id = &route.backends[0].service;
    let service = table.service(service_id).unwrap();
    let now = Instant::now();
    let place = gateway.intake.open().unwrap();
    let request = RequestContext {
        head: &head,
        metadata: &metadata,
        body: Default::default(),
        body_charge: None,
        place: &place,
        route,
        table: &table,
        service_id,
        service,
        team: None,
        rank: None,
        arrived: now,
        deadline: now + Duration::from_secs(10),
        keep_alive: Cell::new(true),
        is_answer_begun: Cell::new(false),
        digest: OnceCell::new(),
        suspects: OnceCell::new(),
    };
    let attempts = PriorAttempts {
        first_engines: &[],
        failed: &[],
        standing: Standing::Any,
    };
    let engine = service.engine.as_ref().unwrap();
    choose(gateway, &request, engine, &attempts).unwrap()
}

/// Returns a gateway with the record of a request that runs along a path of its engines.
fn gateway_with_holder() -> (Gateway, ChosenPath, Option<HoldingGuard>) {
    let gateway = gateway_without_network("[routing]\nheld_prompts = true\n", ENGINES);
    let earlier = chosen_path(&gateway);
    expect_that!(earlier.holder_choice, eq(HolderChoice::NoHolder));
    let held_prompts = gateway.held_prompts.as_ref().unwrap();
    let expected = Duration::from_secs(60);
    let guard = held_prompts.begin(&metadata(), &earlier.hops, expected, Instant::now());
    (gateway, earlier, guard)
}

/// Guards against a path choice that does not learn what is held, or learns it from requests that ended,
/// and against reuse in deployments that did not switch it on. Load: holder free.
#[gtest]
fn choose_follows_holder_while_its_request_runs() {
    let (gateway, earlier, guard) = gateway_with_holder();
    for _ in 0..20 {
        let path = chosen_path(&gateway);
        expect_that!(path.first().id, eq(&earlier.first().id));
        expect_that!(path.holder_choice, eq(HolderChoice::Followed));
        expect_that!(path.path.saved_tokens, gt(9000.0));
    }
    drop(guard);
    for gateway in [gateway, gateway_without_network("", ENGINES)] {
        let path = chosen_path(&gateway);
        expect_that!(path.holder_choice, eq(HolderChoice::NoHolder));
        expect_that!(path.path.saved_tokens, eq(0.0));
    }
}

/// Guards against a path through a holder that can't take the request, or a saving by memory that is gone.
/// Load: holder busy, by its memory; holder lost: it has another version or no layers, is not listed, does
/// not respond, or has ended.
#[gtest]
fn choose_leaves_busy_holder_and_ignores_lost_one() {
    use HolderChoice::{
        Against,
        NoHolder, //
    };
    type Change = fn(&Gateway, &Target);
    let changes: [(HolderChoice, Change); 6] = [
        (Against, |_, holder| holder.token_layers.set(1e9)),
        (NoHolder, |_, holder| {
            holder.entry.borrow_mut().layers.as_mut().unwrap().1 = 8
        }),
        (NoHolder, |_, holder| {
            holder.entry.borrow_mut().layers = None
        }),
        (NoHolder, |_, holder| holder.is_removed.set(true)),
        (NoHolder, |_, holder| {
            holder.record_unresponsive(Instant::now())
        }),
        (NoHolder, |gateway, holder| {
            gateway.held_prompts.as_ref().unwrap().end_engine(holder)
        }),
    ];
    for (index, (expected, change)) in changes.into_iter().enumerate() {
        let (gateway, earlier, _guard) = gateway_with_holder();
        expect_that!(
            chosen_path(&gateway).holder_choice,
            eq(HolderChoice::Followed)
        );
        change(&gateway, earlier.first());
        expect_that!(chosen_path(&gateway).holder_choice, eq(expected), "{index}");
    }
}
