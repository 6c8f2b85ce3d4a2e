//! The HTTP interface for callers.

pub mod collected;
pub mod endpoints;
pub mod errors;
pub mod headers;
pub mod keys;
pub mod requests;
pub mod status;

mod events;

use std::net::SocketAddr;
use std::sync::Arc;

use dropshot::{ApiDescription, ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder};
use slog::Logger;

use crate::state::EntryState;

/// Largest request body that the server reads, in bytes; catalog entries may set smaller limits.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;

/// Context of all handlers.
pub(crate) type Context = Arc<EntryState>;

/// The running HTTP server.
pub type Server = HttpServer<Context>;

/// Describes the interface.
///
/// # Errors
///
/// Fails if two handlers have the same method and path.
pub(crate) fn description() -> eyre::Result<ApiDescription<Context>> {
    let mut api = ApiDescription::new();
    let registered = [
        api.register(endpoints::get_endpoints),
        api.register(requests::post_request),
        api.register(keys::post_key),
        api.register(status::get_status),
        api.register(status::get_metrics),
        api.register(status::get_openapi),
    ];
    for result in registered {
        result.map_err(|e| eyre::eyre!("cannot register a handler: {e}"))?;
    }
    Ok(api)
}

/// The interface as an OpenAPI document.
///
/// # Errors
///
/// Fails if the description cannot be written as JSON.
pub fn openapi() -> eyre::Result<serde_json::Value> {
    let version = env!("CARGO_PKG_VERSION").parse()?;
    Ok(description()?.openapi("oriolefield", version).json()?)
}

/// Binds and starts the server.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub(crate) fn bind(addr: SocketAddr, state: Context, log: &Logger) -> eyre::Result<Server> {
    let config = ConfigDropshot {
        bind_address: addr,
        default_request_body_max_bytes: MAX_BODY_BYTES,
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    ServerBuilder::new(description()?, state, log.clone())
        .config(config)
        .start()
        .map_err(|e| eyre::eyre!("cannot bind {addr}: {e}"))
}
