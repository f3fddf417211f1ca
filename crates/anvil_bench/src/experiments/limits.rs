//! `limits`: the limits of teams over 20 hosts while demand moves between the hosts, and after the
//! home of a team is killed. The home is the host that divides the team's limits into shares for
//! all hosts.
//!
//! The hosts run the production code and exchange shares over loopback. Requests are charged and
//! closed, but no engine runs them, so that only the limits are measured.

mod load;
mod tally;

use std::{
    sync::Arc,
    time::Duration, //
};

use anvil_core::{
    id::TeamId,
    limits::Amounts, //
};
use anvil_fleet::{
    Builder,
    Fleet,
    builder, //
};
use futures::FutureExt;
use load::Load;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use tally::Tally;
use tokio::time::Instant;

use super::{
    BenchError,
    Context,
    Experiment, //
};
use crate::report::{
    Bound,
    Report,
    print_progress, //
};

/// Entry of this experiment in the list of all experiments.
pub const EXPERIMENT: Experiment = Experiment {
    name: "limits",
    about: "overshoot and unused part of team limits while demand moves and a home is killed",
    run: |context| run(context).boxed(),
};

const HOSTS: usize = 20;
const LIMIT_REQUESTS_PER_S: u32 = 1000;
/// Name of each team, and its demand as a fraction of its limit. Whether the arrivals of the last
/// team are above or below its limit is chance, so that its figures are reported without goals.
const TEAMS: [(&str, f64); 3] = [("over", 1.6), ("within", 0.7), ("at_limit", 1.05)];
/// Number of teams, from the first, that have goals.
const TEAMS_WITH_GOALS: usize = 2;
/// Time for which the first homes wait until the shares of possible earlier homes have expired.
const WARM_UP: Duration = Duration::from_secs(6);
const STEADY_TIME: Duration = Duration::from_secs(12);
const HOME_KILLED_TIME: Duration = Duration::from_secs(12);
/// Time between two changes of the demand at each host.
const MOVE_INTERVAL: Duration = Duration::from_secs(4);
/// Probability that a team has demand at a host.
const ACTIVE_PROBABILITY: f64 = 0.6;

fn team_limits() -> Amounts {
    Amounts {
        requests_per_s: f64::from(LIMIT_REQUESTS_PER_S),
        tokens_per_s: 1e9,
        open_requests: 1e6,
    }
}

async fn run(context: Context) -> Result<Report, BenchError> {
    let mut fleet = start().await?;
    let tallies: Vec<_> = TEAMS.iter().map(|_| Arc::new(Tally::default())).collect();
    let load = Load::start(&fleet, &tallies, context.seed);
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(context.seed);
    let mut next_move_at = start;
    let mut killed = None;
    print_progress("demand moves between 20 hosts");
    while start.elapsed() < WARM_UP + STEADY_TIME + HOME_KILLED_TIME {
        if Instant::now() >= next_move_at {
            for (index, (_, demand_ratio)) in TEAMS.iter().enumerate() {
                load.set_rates(index, &random_rates(&mut rng, *demand_ratio));
            }
            next_move_at += MOVE_INTERVAL;
        }
        if killed.is_none() && start.elapsed() >= WARM_UP + STEADY_TIME {
            print_progress("kill the home of a team");
            let home = home_index(&fleet)?;
            load.stop_host(home);
            fleet.kill_host(home);
            killed = Some(home);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    load.close().await;
    let report = evaluate(context, &tallies);
    drop(fleet);
    Ok(report)
}

async fn start() -> Result<Fleet, BenchError> {
    let mut fleet = Builder::default().hosts(HOSTS);
    fleet.threads_per_host = 1;
    for (name, _) in TEAMS {
        let mut team = builder::team(name);
        team.limit_requests_per_s = LIMIT_REQUESTS_PER_S;
        fleet = fleet.team(name, team);
    }
    let fleet = fleet
        .start()
        .await
        .map_err(|error| BenchError::new("start the fleet", error))?;
    Ok(fleet)
}

/// Returns the index of the home of the team whose demand exceeds its limit.
fn home_index(fleet: &Fleet) -> Result<usize, BenchError> {
    let team = TeamId::from(TEAMS[0].0);
    let home = fleet.host(0).shared().team_limits.home_of(&team);
    let index = home.and_then(|home| home.strip_prefix("host-")?.parse().ok());
    index.ok_or_else(|| BenchError::new("find the home", "host 0 knows no home of the team"))
}

/// Returns random rates of one team at each host: some are 0, the others differ by up to a factor
/// of 10.
fn random_rates(rng: &mut StdRng, demand_ratio: f64) -> Vec<f64> {
    let mut weights: Vec<_> = (0..HOSTS)
        .map(|_| match rng.random_bool(ACTIVE_PROBABILITY) {
            true => 10_f64.powf(rng.random_range(0.0..1.0)),
            false => 0.0,
        })
        .collect();
    // One host always has demand, so that the sum of the weights is never 0.
    weights[0] += 0.1;
    let sum: f64 = weights.iter().sum();
    let total = f64::from(LIMIT_REQUESTS_PER_S) * demand_ratio;
    weights.iter().map(|weight| weight / sum * total).collect()
}

fn evaluate(context: Context, tallies: &[Arc<Tally>]) -> Report {
    let mut report = Report::new(EXPERIMENT.name, context.seed);
    let steady = (WARM_UP, WARM_UP + STEADY_TIME);
    let killed = (steady.1, steady.1 + HOME_KILLED_TIME);
    let limit = f64::from(LIMIT_REQUESTS_PER_S);
    let max_over_teams = |ratio_of: &dyn Fn(&Tally) -> f64| {
        tallies[..TEAMS_WITH_GOALS]
            .iter()
            .map(|tally| ratio_of(tally))
            .fold(0.0, f64::max)
    };
    for (suffix, period) in [("", steady), ("_home_killed", killed)] {
        report.add_goal(
            format!("overshoot_ratio{suffix}"),
            max_over_teams(&|tally| tally.overshoot(period, limit)),
            Bound::AtMost(0.03),
        );
        report.add_goal(
            format!("unused_ratio{suffix}"),
            max_over_teams(&|tally| tally.unused(period, limit)),
            Bound::AtMost(0.05),
        );
        report.add_figure(
            format!("unused_ratio_static_division{suffix}"),
            max_over_teams(&|tally| tally.unused_static(period, limit)),
        );
    }
    for ((name, _), tally) in TEAMS.iter().zip(tallies) {
        report.add_figure(format!("unused_ratio_{name}"), tally.unused(steady, limit));
        report.add_figure(
            format!("unused_ratio_home_killed_{name}"),
            tally.unused(killed, limit),
        );
    }
    report
}
