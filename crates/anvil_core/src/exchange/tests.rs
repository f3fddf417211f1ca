use std::time::Duration;

use googletest::prelude::*;
use smol_str::format_smolstr;

use super::*;
use crate::urgency::RankDemand;

fn record(id: &str, data_centre: &str, processor_millis: u32) -> HostRecord {
    HostRecord {
        id: id.into(),
        data_centre: data_centre.into(),
        processor_millis,
        run: 1,
    }
}

fn presence(data_centre: &str) -> Summary {
    let presence = Presence {
        live_hosts: 1,
        heard_hosts: 1,
        requests_per_s: 1.0,
    };
    Summary {
        hosts: BTreeMap::from([(data_centre.into(), presence)]),
        ..Summary::default()
    }
}

fn with_load(mut summary: Summary, target: u32, sequences: f64) -> Summary {
    let load = TargetLoad {
        sequences,
        token_layers: 1000.0 * sequences,
        sent_requests: 1.0,
    };
    summary.loads.insert(target, load);
    summary
}

fn message(kind: MessageKind, sent: u64, summary: Summary) -> Message {
    Message {
        kind,
        sent,
        summary,
        is_cut: false,
    }
}

fn at_ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns a host with the most processor time, which is the first relay, and two others.
fn first_relay() -> Exchange {
    let mut exchange = Exchange::new(record("own", "a", 500));
    let others = [record("one", "a", 100), record("two", "a", 90)];
    exchange.replace_list(others, at_ms(0));
    exchange
}

#[gtest]
fn summary_for_leaves_out_asker() {
    let mut exchange = first_relay();
    let own = with_load(presence("a"), 1, 5.0);
    for (host, sequences) in [("one", 2.0), ("two", 4.0)] {
        let mut summary = with_load(presence("a"), 1, sequences);
        summary.avoided.insert(9, 1);
        let report = message(MessageKind::Report, 1, summary);
        let answer = exchange.record(&host.into(), report, at_ms(10));
        expect_that!(answer, some(eq(MessageKind::Summary)));
    }
    let summary = exchange.summary_for(&"one".into(), &own, at_ms(20));
    expect_that!(summary.loads[&1].sequences, eq(9.0));
    expect_that!(summary.avoided.get(&9), some(eq(&1)));
    expect_that!(summary.live_hosts(), eq(2));
    expect_that!(exchange.view(at_ms(20)).loads[&1].sequences, eq(6.0));
}

#[gtest]
fn record_replaces_last_report_and_drops_older_and_doubled_ones() {
    let mut exchange = first_relay();
    let report = |sent, sequences| {
        let summary = with_load(presence("a"), 1, sequences);
        message(MessageKind::Report, sent, summary)
    };
    for (sent, sequences, expected) in [(5, 2.0, 2.0), (6, 3.0, 3.0), (6, 7.0, 3.0), (4, 9.0, 3.0)]
    {
        exchange.record(&"one".into(), report(sent, sequences), at_ms(10));
        expect_that!(
            exchange.view(at_ms(10)).loads[&1].sequences,
            eq(expected),
            "message {sent}"
        );
    }
    let unknown = exchange.record(&"unknown".into(), report(1, 1.0), at_ms(10));
    expect_that!(unknown, none());
    expect_that!(exchange.view(at_ms(10)).live_hosts(), eq(1));
}

#[gtest]
fn view_drops_silent_hosts_and_still_counts_them_as_heard() {
    let mut exchange = first_relay();
    let report = message(MessageKind::Report, 1, with_load(presence("a"), 1, 2.0));
    exchange.record(&"one".into(), report, at_ms(0));
    let last = SILENCE_TIMEOUT - at_ms(1);
    expect_that!(exchange.view(last).live_hosts(), eq(1));
    let view = exchange.view(SILENCE_TIMEOUT + ROUND_INTERVAL);
    expect_that!(view.live_hosts(), eq(0));
    expect_that!(view.heard_hosts(), eq(1));
    expect_that!(view.loads.is_empty(), eq(true));
}

/// Guards against a host of an earlier run that stays in the sum after its next run has started.
#[gtest]
fn replace_list_drops_report_of_earlier_run() {
    let mut exchange = first_relay();
    let report = message(MessageKind::Report, 100, with_load(presence("a"), 1, 2.0));
    exchange.record(&"one".into(), report, at_ms(0));
    let restarted = HostRecord {
        run: 2,
        ..record("one", "a", 100)
    };
    exchange.replace_list([restarted, record("two", "a", 90)], at_ms(10));
    expect_that!(exchange.view(at_ms(10)).loads.is_empty(), eq(true));
    // The clock of the next run may be earlier.
    let report = message(MessageKind::Report, 1, with_load(presence("a"), 1, 3.0));
    exchange.record(&"one".into(), report, at_ms(10));
    expect_that!(exchange.view(at_ms(10)).loads[&1].sequences, eq(3.0));
}

#[gtest]
fn relays_are_hosts_with_most_processor_time_that_answer() {
    let mut exchange = Exchange::new(record("own", "a", 100));
    expect_that!(exchange.is_relay(at_ms(0)), eq(true));
    let others = [
        record("big", "a", 500),
        record("middle", "a", 250),
        record("small", "a", 90),
        record("remote", "b", 1000),
    ];
    exchange.replace_list(others, at_ms(0));
    let (outgoing, _) = exchange.round(at_ms(0));
    let asked: Vec<&str> = outgoing.iter().map(|message| message.to.as_str()).collect();
    expect_that!(asked, contains_each![eq(&"big"), eq(&"middle")]);
    for host in ["big", "middle"] {
        let answer = message(MessageKind::Summary, 1, presence("a"));
        exchange.record(&host.into(), answer, at_ms(1));
    }
    expect_that!(exchange.is_relay(at_ms(1)), eq(false));
    // Without answers the host takes over after a few rounds.
    for round in 1..10 {
        exchange.round(at_ms(150 * round));
    }
    expect_that!(exchange.is_relay(at_ms(1500)), eq(true));
}

/// Guards against loads that disappear from view because a message had no room for them.
#[gtest]
fn record_keeps_loads_that_cut_answer_leaves_out_for_a_while() {
    let mut exchange = Exchange::new(record("own", "a", 100));
    let others = [record("big", "a", 500), record("middle", "a", 250)];
    exchange.replace_list(others, at_ms(0));
    let answer = |sent, target: u32, is_cut| Message {
        is_cut,
        ..message(
            MessageKind::Summary,
            sent,
            with_load(presence("a"), target, 1.0),
        )
    };
    exchange.record(&"big".into(), answer(1, 1, true), at_ms(0));
    exchange.record(&"big".into(), answer(2, 2, true), at_ms(1000));
    expect_that!(exchange.view(at_ms(1000)).loads.len(), eq(2));
    exchange.record(&"big".into(), answer(3, 2, true), at_ms(1600));
    expect_that!(exchange.view(at_ms(1600)).loads.len(), eq(1));
    exchange.record(&"big".into(), answer(4, 3, false), at_ms(1700));
    let view = exchange.view(at_ms(1700));
    expect_that!(
        view.loads.keys().collect::<Vec<_>>(),
        elements_are![eq(&&3)]
    );
}

#[gtest]
fn is_chosen_selects_one_relay_of_fleet() {
    let names: Vec<HostId> = (0..4)
        .map(|index| format_smolstr!("host-{index}"))
        .collect();
    for key in ["one", "two", "three"] {
        let chosen = names.iter().filter(|own| {
            let data_centre = |id: &HostId| if id < &names[2] { "a" } else { "b" };
            let mut exchange = Exchange::new(record(own, data_centre(own), 100));
            let records = names.iter().map(|id| record(id, data_centre(id), 100));
            exchange.replace_list(records, at_ms(0));
            for other in names.iter().filter(|other| other != own) {
                let kind = match data_centre(other) == data_centre(own) {
                    true => MessageKind::Summary,
                    false => MessageKind::Region,
                };
                let answer = message(kind, 1, presence(data_centre(other)));
                exchange.record(other, answer, at_ms(1));
            }
            exchange.is_chosen(key, at_ms(2))
        });
        expect_that!(chosen.count(), eq(1), "key {key}");
    }
}

/// Guards against a data centre that loses its only reader, and against a store that every relay asks.
#[gtest]
fn is_reader_holds_for_second_relay_while_few_regions_are_heard() {
    for (region_count, expected) in [(0, true), (1, true), (2, false)] {
        let mut exchange = Exchange::new(record("own", "a", 100));
        let regions = (0..region_count).map(|index| format_smolstr!("region-{index}"));
        let remote = regions.clone().map(|region| record(&region, &region, 100));
        exchange.replace_list(remote.chain([record("first", "a", 500)]), at_ms(0));
        let answer = message(MessageKind::Summary, 1, presence("a"));
        exchange.record(&"first".into(), answer, at_ms(1));
        for region in regions {
            let message = message(MessageKind::Region, 1, presence(&region));
            exchange.record(&region, message, at_ms(1));
        }
        expect_that!(exchange.is_relay(at_ms(2)), eq(true));
        expect_that!(exchange.is_reader(at_ms(2)), eq(expected), "{region_count}");
    }
}

/// Guards against demand that is counted for hosts which are gone, or twice.
#[gtest]
fn view_sums_demand_of_ranks_and_drops_that_of_silent_host() {
    let mut exchange = first_relay();
    for (host, requests_per_s, at) in [("one", 2.5, 0), ("two", 4.0, 1000)] {
        let demand = RankDemand {
            requests_per_s,
            ..RankDemand::default()
        };
        let mut summary = presence("a");
        summary.ranks.insert(1, demand);
        let report = message(MessageKind::Report, 1, summary);
        exchange.record(&host.into(), report, at_ms(at));
    }
    let asked = exchange.summary_for(&"two".into(), &presence("a"), at_ms(1100));
    expect_that!(asked.ranks[&1].requests_per_s, near(2.5, 1e-9));
    let mut seen = |at| exchange.view(at_ms(at)).ranks.get(&1).copied();
    expect_that!(seen(1100).unwrap().requests_per_s, near(6.5, 1e-9));
    expect_that!(seen(1600).unwrap().requests_per_s, near(4.0, 1e-9));
    expect_that!(seen(2600), none());
}
