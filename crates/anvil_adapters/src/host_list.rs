//! Adapter of the platform's host list over HTTP.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use anvil_host::port::{
    self,
    CallError,
    ListEntry,
    ListRole,
    ListState,
    Listing, //
};
use anvil_wire::generated::platform as wire;
use arc_swap::ArcSwapOption;
use futures::future::BoxFuture;
use http::HeaderValue;
use serde::Deserialize;
use smol_str::SmolStr;

use crate::call::{
    Client,
    ConditionalResponse,
    Context, //
};

#[cfg(test)]
mod tests;

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
        let (message, tag): (ListAnswer, _) = match answer {
            ConditionalResponse::Unchanged => return Ok(Listing::Unchanged),
            ConditionalResponse::Changed { message, tag } => (message, tag),
        };
        let entries = message.entries.into_iter().filter_map(decode_entry);
        let entries = entries.collect();
        self.tag.store(tag.map(Arc::new));
        Ok(Listing::Entries(entries))
    }
}

impl port::HostList for HostList {
    fn list(&self) -> BoxFuture<'_, Result<Listing, CallError>> {
        Box::pin(self.fetch())
    }
}

/// A [`wire::ListAnswer`] whose entries can be read each for itself.
#[derive(Deserialize)]
struct ListAnswer {
    entries: Vec<serde_json::Value>,
}

/// Decodes an entry. One that can't be read hides no other: it is left out and logged.
fn decode_entry(entry: serde_json::Value) -> Option<ListEntry> {
    let name = entry["name"].as_str().unwrap_or_default().to_owned();
    let decoded = serde_json::from_value(entry)
        .map_err(|error| error.to_string())
        .and_then(convert_entry);
    match decoded {
        Ok(entry) => Some(entry),
        Err(error) => {
            spdlog::warn!("listing.entry_unreadable", kv: {
                entry = name.as_str(),
                error = error.as_str(),
            });
            None
        }
    }
}

fn convert_entry(entry: wire::ListEntry) -> Result<ListEntry, String> {
    let address = entry
        .address
        .parse()
        .map_err(|error| format!("address {}: {error}", entry.address))?;
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
