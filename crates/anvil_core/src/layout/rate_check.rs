//! Finds out whether a move raises the rate that the accelerators sustain.

use std::vec;

use crate::engine_model::EngineProfile;

use super::{
    Accelerator,
    Layout,
    Move,
    capacity::Simulation, //
};

/// Smallest ratio of the rate after a move to the rate before it. A lower ratio does not justify
/// the time for which the moved accelerator serves no requests.
const MOVE_RATE_RATIO_MIN: f64 = 1.06;

/// How far a check has come.
#[derive(Clone, Debug, PartialEq)]
pub enum CheckState {
    /// There is more to compute.
    Running,
    /// The first of the moves that raises the rate, or `None` if none does.
    Done(Option<Move>),
}

/// Looks for the first of some moves after which all accelerators together sustain more than
/// `MOVE_RATE_RATIO_MIN` times the rate before it. If the rate before is 0, that is the first move:
/// several may be needed before the rate rises. Works in parts that are short enough for a host with
/// one thread.
#[derive(Debug)]
pub struct RateCheck<'a> {
    engine: &'a EngineProfile,
    accelerators: &'a [Accelerator],
    layout: Layout,
    moves: vec::IntoIter<Move>,
    /// Rate without a move; `None` while it is simulated.
    before_per_s: Option<f64>,
    /// The move whose rate is simulated.
    candidate: Option<Move>,
    simulation: Simulation<'a>,
}

impl<'a> RateCheck<'a> {
    /// Prepares a check of moves, in their order.
    pub fn new(
        engine: &'a EngineProfile,
        accelerators: &'a [Accelerator],
        moves: Vec<Move>,
    ) -> Self {
        let layout: Layout = accelerators
            .iter()
            .filter_map(|accelerator| Some((accelerator.target.clone(), accelerator.holds?)))
            .collect();
        Self {
            simulation: Simulation::new(engine, accelerators, &layout, &[]),
            engine,
            accelerators,
            layout,
            moves: moves.into_iter(),
            before_per_s: None,
            candidate: None,
        }
    }

    /// Does the next part of the check: computes one path.
    pub fn advance(&mut self) -> CheckState {
        let Some(rate_per_s) = self.simulation.advance() else {
            return CheckState::Running;
        };
        match self.before_per_s {
            None if rate_per_s == 0.0 => return CheckState::Done(self.moves.next()),
            None => self.before_per_s = Some(rate_per_s),
            Some(before_per_s) if rate_per_s > MOVE_RATE_RATIO_MIN * before_per_s => {
                return CheckState::Done(self.candidate.take());
            }
            Some(_) => {}
        }
        let Some(candidate) = self.moves.next() else {
            return CheckState::Done(None);
        };
        let mut moved = self.layout.clone();
        moved.insert(candidate.target.clone(), candidate.layers);
        self.simulation = Simulation::new(self.engine, self.accelerators, &moved, &[]);
        self.candidate = Some(candidate);
        CheckState::Running
    }
}
