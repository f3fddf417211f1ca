//! Adapter of the platform's host list over HTTP.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use anvil_host::port::{
    self,
    CallError,
    CallErrorKind,
    ListEntry,
    ListRole,
    ListState,
    Listing, //
};
use anvil_wire::generated::platform as wire;
use arc_swap::ArcSwapOption;
use futures::future::BoxFuture;
use http::HeaderValue;
use smol_str::SmolStr;

use crate::call::{
    Client,
    ConditionalResponse,
    Context, //
};

/// Time limit for fetching the list.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Implements the port of the host list.
pub(crate) struct HostList {
    client: Client,
    address: SocketAddr,
    peer: SmolStr,
    /// Entity tag of the newest list. Invariant: the list with this tag was returned completely, so
    /// that `Unchanged` always refers to a list that the host has.
    tag: ArcSwapOption<HeaderValue>,
}

impl HostList {
    pub(crate) fn new(client: Client, address: SocketAddr) -> Self {
        Self {
            client,
            address,
            peer: "host_list".into(),
            tag: ArcSwapOption::empty(),
        }
    }

    async fn fetch(&self) -> Result<Listing, CallError> {
        let context = Context {
            operation: "list",
            peer: &self.peer,
            timeout: TIMEOUT,
        };
        let known_tag = self.tag.load_full();
        let answer = self
            .client
            .get_if_changed(context, self.address, "/v1/hosts", known_tag.as_deref())
            .await?;
        let (message, tag): (wire::ListAnswer, _) = match answer {
            ConditionalResponse::Unchanged => return Ok(Listing::Unchanged),
            ConditionalResponse::Changed { message, tag } => (message, tag),
        };
        let wire_entries = message.entries.into_iter();
        let entries = wire_entries.map(|wire_entry| decode_entry(context, wire_entry));
        let entries = entries.collect::<Result<_, _>>()?;
        self.tag.store(tag.map(Arc::new));
        Ok(Listing::Entries(entries))
    }
}

impl port::HostList for HostList {
    fn list(&self) -> BoxFuture<'_, Result<Listing, CallError>> {
        Box::pin(self.fetch())
    }
}

fn decode_entry(context: Context<'_>, entry: wire::ListEntry) -> Result<ListEntry, CallError> {
    let address = entry.address.parse().map_err(|error| {
        let message = format!("address {} of {}: {error}", entry.address, entry.name);
        context.error(CallErrorKind::AnswerLost, message)
    })?;
    Ok(ListEntry {
        name: entry.name,
        address,
        data_centre: entry.data_centre,
        role: match entry.role {
            wire::ListRole::Host => ListRole::Host,
            wire::ListRole::Target => ListRole::Target,
        },
        state: match entry.state {
            wire::ListState::Live => ListState::Live,
            wire::ListState::Leaving => ListState::Leaving,
        },
    })
}
