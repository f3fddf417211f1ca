//! Adapter of calls to other entry hosts over HTTP.

use std::time::Duration;

use anvil_host::port::{
    self,
    CallError,
    PeerAddress, //
};
use bytes::Bytes;
use futures::future::BoxFuture;
use http::{
    Request,
    header::AUTHORIZATION, //
};
use http_body_util::Full;
use smol_str::{
    SmolStr,
    format_smolstr, //
};

use crate::call::{
    Client,
    Context, //
};

/// Implements the port of the peers.
pub(crate) struct Peers {
    client: Client,
    /// Value of the `Authorization` header.
    authorization: SmolStr,
}

impl Peers {
    pub(crate) fn new(client: Client, peer_key: &SmolStr) -> Self {
        Self {
            client,
            authorization: format_smolstr!("Bearer {peer_key}"),
        }
    }
}

impl port::Peers for Peers {
    fn call<'a>(
        &'a self,
        peer: &'a PeerAddress,
        path: &'static str,
        body: Bytes,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Bytes, CallError>> {
        Box::pin(async move {
            let context = Context {
                operation: path,
                peer: &peer.id,
                timeout,
            };
            let request = Request::post(format!("http://{}/peer/v1/{path}", peer.address))
                .header(AUTHORIZATION, self.authorization.as_str())
                .body(Full::new(body));
            self.client.send(context, request).await
        })
    }
}
