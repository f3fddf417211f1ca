//! A stage of a sequence: the range of layers that one target applies.

use std::sync::Arc;

use anvil_core::{
    id::{
        Attempt,
        LayerRange, //
    },
    route::Node,
};

use crate::targets::{
    Residency,
    Target, //
};

/// A range of layers that a target applies to every token of a sequence.
#[derive(Debug)]
pub(super) struct Stage {
    /// Speed, link and role of the target for the model.
    pub node: Node,
    /// Layers that the target applies.
    pub layers: LayerRange,
    /// Attempt that names the sequence's cache on the target. Invariant: a range that is rebuilt
    /// gets an attempt number that no stage had before, so that no name stands for two steps.
    pub attempt: Attempt,
    residency: Residency,
    probe: Option<Probe>,
}

impl Stage {
    /// Opens a stage on `target`, which counts the sequence as resident there until the stage is
    /// closed.
    pub fn open(
        target: &Arc<Target>,
        node: &Node,
        layers: LayerRange,
        attempt: Attempt,
        probe: Option<Probe>,
    ) -> Self {
        Self {
            node: node.clone(),
            layers,
            attempt,
            residency: Residency::open(target, node, layers),
            probe,
        }
    }

    /// Returns the target that the stage runs on.
    pub fn target(&self) -> &Arc<Target> {
        self.residency.target()
    }

    /// Ends the probe that the stage began with, if there is one, after its first step.
    pub fn end_probe(&mut self) {
        if let Some(probe) = self.probe.take() {
            probe.close();
        }
    }

    /// Closes the stage, so that the sequence no longer counts as resident on the target.
    pub fn close(self) {
        self.residency.close();
    }
}

/// One of the limited number of probes of an ejected target. Dropping it ends the probe.
#[derive(Debug)]
pub(super) struct Probe {
    target: Arc<Target>,
}

impl Probe {
    /// Wraps a probe that the target's breaker granted.
    pub fn new(target: &Arc<Target>) -> Self {
        Self {
            target: Arc::clone(target),
        }
    }

    /// Ends the probe, so that another request can take it.
    pub fn close(self) {}
}

impl Drop for Probe {
    fn drop(&mut self) {
        self.target.breaker.end_probe();
    }
}
