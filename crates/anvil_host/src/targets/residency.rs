//! Counts the sequences of this host that are resident on an engine.

use std::sync::Arc;

use anvil_core::{
    id::LayerRange,
    route::Node, //
};

use super::Target;

/// Guard that counts a sequence as resident on a target until it is dropped.
#[derive(Debug)]
pub struct Residency {
    target: Arc<Target>,
    resident_ns: u64,
}

impl Residency {
    /// Counts a sequence whose steps apply `layers` on `target`.
    pub fn open(target: &Arc<Target>, node: &Node, layers: LayerRange) -> Self {
        let resident_ns = (f64::from(layers.count()) * node.layer_ns) as u64;
        target.add_resident(resident_ns);
        Self {
            target: Arc::clone(target),
            resident_ns,
        }
    }

    /// Returns the target that the sequence is resident on.
    pub fn target(&self) -> &Arc<Target> {
        &self.target
    }

    /// Ends the residency of the sequence.
    pub fn close(self) {}
}

impl Drop for Residency {
    fn drop(&mut self) {
        self.target.remove_resident(self.resident_ns);
    }
}
