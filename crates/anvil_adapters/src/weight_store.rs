//! Adapter of the platform's weight store over HTTP.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use anvil_host::port::{
    self,
    CallError,
    WeightStoreState, //
};
use anvil_wire::generated::platform as wire;
use futures::future::BoxFuture;
use smol_str::SmolStr;

use crate::call::{
    Client,
    Context, //
};

/// Time limit for fetching the state.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Implements the port of the weight store.
pub(crate) struct WeightStore {
    client: Client,
    address: SocketAddr,
    peer: SmolStr,
}

impl WeightStore {
    pub(crate) fn new(client: Client, address: SocketAddr) -> Self {
        Self {
            client,
            address,
            peer: "weight_store".into(),
        }
    }
}

impl port::WeightStore for WeightStore {
    fn state(&self) -> BoxFuture<'_, Result<WeightStoreState, CallError>> {
        Box::pin(async move {
            let context = Context {
                operation: "state",
                peer: &self.peer,
                timeout: TIMEOUT,
            };
            let path = "/v1/state";
            let state: wire::WeightStoreState =
                self.client.get(context, self.address, path).await?;
            Ok(WeightStoreState {
                rate_bytes_per_s: state.rate_bytes_per_s,
                pending_bytes: state.pending_bytes,
            })
        })
    }
}
