//! The HTTP server for callers.

use std::sync::Arc;

use dropshot::{
    ApiDescription, Body, ConfigDropshot, HandlerTaskMode, HttpError, HttpServer, Path, RawRequest, RequestContext,
    ServerBuilder, endpoint,
};
use http::Response;
use schemars::JsonSchema;
use serde::Deserialize;

use super::request::serve_request;
use crate::host::Shared;
use crate::telemetry::quiet_logger;

type Context = RequestContext<Arc<Shared>>;
type Answer = Result<Response<Body>, HttpError>;

/// Any path; routes are matched by the tables and not by the server.
#[derive(Deserialize, JsonSchema)]
struct AnyPath {
    #[serde(rename = "path")]
    _path: Vec<String>,
}

macro_rules! forward {
    ($($name:ident $method:ident;)+) => {
        $(
            #[endpoint { method = $method, path = "/{path:.*}", unpublished = true }]
            async fn $name(context: Context, _path: Path<AnyPath>, request: RawRequest) -> Answer {
                Ok(serve_request(context.context(), request.into_inner()).await)
            }
        )+

        fn describe_api() -> Result<ApiDescription<Arc<Shared>>, String> {
            let mut api = ApiDescription::new();
            $(api.register($name).map_err(|e| e.to_string())?;)+
            Ok(api)
        }
    };
}

forward! {
    forward_get GET;
    forward_head HEAD;
    forward_post POST;
    forward_put PUT;
    forward_patch PATCH;
    forward_delete DELETE;
    forward_options OPTIONS;
}

/// Starts the server for callers.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub(crate) fn start_entry(shared: &Arc<Shared>) -> Result<HttpServer<Arc<Shared>>, String> {
    let config = ConfigDropshot {
        bind_address: shared.settings.listen.callers,
        // A caller that leaves cancels its request, down to the upstream.
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    let log = quiet_logger(&shared.log);
    ServerBuilder::new(describe_api()?, Arc::clone(shared), log)
        .config(config)
        .start()
        .map_err(|e| e.to_string())
}
