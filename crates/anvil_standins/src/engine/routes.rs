//! HTTP interface of the engine.

use std::sync::Arc;

use anvil_core::document::Holding;
use anvil_wire::generated::engine::{
    CacheEvents,
    Cancel,
    KvImport,
    KvName,
    Order,
    OrderKind, //
};
use bytes::Bytes;
use http::{
    Method,
    Request,
    Response,
    StatusCode, //
};
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::Client,
    rt::TokioExecutor, //
};

use super::{
    core::Core,
    holdings,
    step_stream, //
};
use crate::reply::{
    self,
    Body,
    Reply, //
};

/// Answers a request.
pub(super) async fn handle(core: Arc<Core>, request: Request<Incoming>) -> Reply {
    let uri = request.uri().clone();
    let method = request.method().clone();
    let body = request.into_body();
    match (&method, uri.path()) {
        (&Method::POST, "/v1/steps") => Ok(step_stream::open(core, body)),
        (&Method::GET, "/v1/load") => Ok(reply::message(&core.report())),
        (&Method::GET, "/v1/cache_events") => {
            let after = reply::query_number(&uri, "after").unwrap_or(0);
            let events = core.cache_events(after);
            Ok(reply::message(&CacheEvents { events }))
        }
        (&Method::POST, "/v1/orders") => {
            let order = reply::read_message(body).await?;
            Ok(order.map_or_else(
                |error_response| error_response,
                |order| apply_order(&core, &order),
            ))
        }
        (&Method::POST, "/v1/cancel") => {
            let cancel: Result<Cancel, _> = reply::read_message(body).await?;
            Ok(cancel.map_or_else(
                |error_response| error_response,
                |cancel| {
                    core.cancel(&cancel);
                    reply::status(StatusCode::OK)
                },
            ))
        }
        (&Method::POST, "/v1/kv/export") => {
            let name: Result<KvName, _> = reply::read_message(body).await?;
            Ok(name.map_or_else(
                |error_response| error_response,
                |name| export_kv(&core, &name),
            ))
        }
        (&Method::POST, "/v1/kv/import") => {
            let import: Result<KvImport, _> = reply::read_message(body).await?;
            Ok(import.map_or_else(
                |error_response| error_response,
                |import| import_kv(&core, &import),
            ))
        }
        _ => Ok(reply::status(StatusCode::NOT_FOUND)),
    }
}

fn export_kv(core: &Core, name: &KvName) -> Response<Body> {
    match core.export(name) {
        Some(export) => reply::message(&export),
        None => reply::status(StatusCode::NOT_FOUND),
    }
}

fn import_kv(core: &Core, import: &KvImport) -> Response<Body> {
    match core.import(import) {
        Ok(()) => reply::status(StatusCode::OK),
        Err(_) => reply::status(StatusCode::BAD_REQUEST),
    }
}

/// Applies an order. A load continues in the background, and appears in the load report when it
/// is finished.
fn apply_order(core: &Arc<Core>, order: &Order) -> Response<Body> {
    let Some(holding) = holdings::from_wire(&order.holding) else {
        return reply::status(StatusCode::BAD_REQUEST);
    };
    if core.check_token(order.fencing_token).is_err() {
        return reply::bytes(StatusCode::CONFLICT, "the fencing token is old");
    }
    match order.kind {
        OrderKind::Unload => core.unload(&holding),
        OrderKind::Load => start_load(core, holding, order.weight_bytes),
    }
    reply::status(StatusCode::OK)
}

fn start_load(core: &Arc<Core>, holding: Holding, weight_bytes: u64) {
    let store_address = core.config.weight_store;
    let Some(store_address) = store_address.filter(|_| !core.covers(&holding)) else {
        core.load(holding);
        return;
    };
    let core = Arc::clone(core);
    tokio::spawn(async move {
        let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
        let Ok(uri) = format!("http://{store_address}/v1/weights?bytes={weight_bytes}").parse()
        else {
            return;
        };
        // A failed fetch leaves the holdings unchanged; the order is expected to be sent again.
        if let Ok(answer) = client.get(uri).await
            && answer.status().is_success()
        {
            core.load(holding);
        }
    });
}
