//! Ranges of layers that an engine holds, and the changes that orders make to them.

use anvil_core::{
    document::{
        Fencing,
        Holding,
        Role, //
    },
    id::{
        FencingToken,
        LayerRange, //
    },
};
use anvil_wire::generated::engine as wire;

/// Holdings of an engine, with the largest fencing token seen.
#[derive(Clone, Debug)]
pub(super) struct Holdings {
    holdings: Vec<Holding>,
    fencing: Fencing,
    fencing_token: FencingToken,
}

/// Error of an order whose fencing token is below the largest one seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StaleToken;

impl Holdings {
    pub(super) fn new(holdings: Vec<Holding>, fencing: Fencing) -> Self {
        Self {
            holdings,
            fencing,
            fencing_token: 0,
        }
    }

    pub(super) fn all(&self) -> &[Holding] {
        &self.holdings
    }

    /// Returns the largest token seen, which stays 0 if tokens are ignored.
    pub(super) fn fencing_token(&self) -> FencingToken {
        self.fencing_token
    }

    /// Compares an order's fencing token with the largest seen, and remembers it if it isn't older.
    ///
    /// Returns [`StaleToken`] if it is older. Accepts every token if fencing is ignored.
    pub(super) fn check_token(&mut self, token: FencingToken) -> Result<(), StaleToken> {
        if self.fencing == Fencing::Ignored {
            return Ok(());
        }
        if token < self.fencing_token {
            return Err(StaleToken);
        }
        self.fencing_token = token;
        Ok(())
    }

    /// Returns whether a single holding covers a range.
    pub(super) fn covers(&self, model: &str, version: &str, layers: LayerRange) -> bool {
        self.holdings.iter().any(|held| {
            held.model == model && held.version == version && held.layers.contains(layers)
        })
    }

    /// Adds a holding, and replaces one of the same model version with the same layers.
    pub(super) fn load(&mut self, holding: Holding) {
        self.holdings.retain(|held| {
            held.model != holding.model
                || held.version != holding.version
                || held.layers != holding.layers
        });
        self.holdings.push(holding);
    }

    /// Removes a range of layers from the holdings; splits a holding that reaches beyond it.
    pub(super) fn unload(&mut self, unloaded: &Holding) {
        let kept = std::mem::take(&mut self.holdings);
        for held in kept {
            if held.model != unloaded.model || held.version != unloaded.version {
                self.holdings.push(held);
                continue;
            }
            let before_end = held.layers.end.min(unloaded.layers.first);
            let after_first = held.layers.first.max(unloaded.layers.end);
            let remainders = [
                LayerRange::new(held.layers.first, before_end),
                LayerRange::new(after_first, held.layers.end),
            ];
            self.holdings
                .extend(remainders.into_iter().flatten().map(|layers| Holding {
                    layers,
                    ..held.clone()
                }));
        }
    }
}

/// Converts a holding from its wire form. Returns `None` if its range is empty.
pub(super) fn from_wire(holding: &wire::Holding) -> Option<Holding> {
    Some(Holding {
        model: holding.model.clone(),
        version: holding.version.clone(),
        layers: LayerRange::new(holding.layers.first, holding.layers.end)?,
        role: match holding.role {
            wire::Role::Both => Role::Both,
            wire::Role::Prefill => Role::Prefill,
            wire::Role::Decode => Role::Decode,
        },
    })
}

/// Converts a holding to its wire form.
pub(super) fn to_wire(holding: &Holding) -> wire::Holding {
    wire::Holding {
        model: holding.model.clone(),
        version: holding.version.clone(),
        layers: wire::LayerRange {
            first: holding.layers.first,
            end: holding.layers.end,
        },
        role: match holding.role {
            Role::Both => wire::Role::Both,
            Role::Prefill => wire::Role::Prefill,
            Role::Decode => wire::Role::Decode,
        },
    }
}

#[cfg(test)]
mod tests;
