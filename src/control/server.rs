//! The HTTP server for operators.

use std::sync::Arc;
use std::time::Duration;

use dropshot::{
    ApiDescription, Body, ClientErrorStatusCode, ConfigDropshot, HttpError, HttpResponseOk, HttpServer, Path,
    RequestContext, ServerBuilder, TypedBody, endpoint,
};
use http::Response;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use slog::info;
use subtle::ConstantTimeEq;
use tokio::time::Instant;

use super::messages::{Change, ChangeRequest, ChangeResult, Document, OwnedRange, Status};
use crate::fold::{Outcome, State};
use crate::host::{Proposal, Shared, find_proposal, propose};
use crate::log::HttpLog;
use crate::records::{Envelope, Record};
use crate::telemetry::quiet_logger;
use crate::types::RecordId;

/// Time in which a change must be folded here before its effect is called unknown.
const CHANGE_LIMIT: Duration = Duration::from_secs(10);
/// Largest tables that operators can publish, in bytes; a log record holds no more.
const BODY_MAX: usize = 1 << 20;

/// What the handlers of operators use.
#[derive(Debug)]
pub(crate) struct Operators {
    shared: Arc<Shared>,
    platform: HttpLog,
}

type Context = RequestContext<Operators>;

#[derive(Deserialize, JsonSchema)]
struct RecordPath {
    id: String,
}

fn check_credential(context: &Context) -> Result<(), HttpError> {
    let expected = format!("Bearer {}", context.context().shared.settings.credentials.operators.0);
    let given = context
        .request
        .headers()
        .get(AUTHORIZATION)
        .map_or(&b""[..], |value| value.as_bytes());
    // The comparison takes the same time for each wrong credential of the right length.
    if bool::from(given.ct_eq(expected.as_bytes())) {
        Ok(())
    } else {
        let why = "operator credential is missing or wrong".to_owned();
        Err(HttpError::for_client_error(
            None,
            ClientErrorStatusCode::UNAUTHORIZED,
            why,
        ))
    }
}

fn answer(value: &impl Serialize) -> Result<HttpResponseOk<Document>, HttpError> {
    let value = serde_json::to_value(value).map_err(|e| HttpError::for_internal_error(e.to_string()))?;
    Ok(HttpResponseOk(Document(value)))
}

/// Shows the state of the host.
#[endpoint { method = GET, path = "/v1/status" }]
async fn show_status(context: Context) -> Result<HttpResponseOk<Document>, HttpError> {
    check_credential(&context)?;
    answer(&describe_host(&context.context().shared))
}

/// Lists key ranges with their owners.
#[endpoint { method = GET, path = "/v1/ownership" }]
async fn show_ownership(context: Context) -> Result<HttpResponseOk<Document>, HttpError> {
    check_credential(&context)?;
    answer(&list_ranges(&context.context().shared.state()))
}

/// Makes a change and tells what became of it.
#[endpoint { method = POST, path = "/v1/changes", request_body_max_bytes = BODY_MAX }]
async fn make_change(context: Context, body: TypedBody<Document>) -> Result<HttpResponseOk<Document>, HttpError> {
    check_credential(&context)?;
    let bad = |e: serde_json::Error| HttpError::for_bad_request(None, e.to_string());
    let request: ChangeRequest = serde_json::from_value(body.into_inner().0).map_err(bad)?;
    let Operators { shared, platform } = context.context();
    let envelope = build_record(&shared.state(), request);
    let proposal = propose(shared, platform, &envelope, CHANGE_LIMIT).await;
    let result = explain(envelope.id, proposal);
    info!(shared.log, "change"; "author" => envelope.author, "id" => envelope.id.to_string(), "result" => ?result);
    answer(&result)
}

/// Tells what became of a change whose answer was lost.
#[endpoint { method = GET, path = "/v1/changes/{id}" }]
async fn find_change(context: Context, path: Path<RecordPath>) -> Result<HttpResponseOk<Document>, HttpError> {
    check_credential(&context)?;
    let bad = |e: crate::types::BadNumber| HttpError::for_bad_request(None, e.to_string());
    let id: RecordId = path.into_inner().id.parse().map_err(bad)?;
    let unknown = || Proposal::Unknown("no record with this id was read".to_owned());
    let proposal = find_proposal(&context.context().shared, id).unwrap_or_else(unknown);
    answer(&explain(id, proposal))
}

/// Shows metrics in the Prometheus text format.
#[endpoint { method = GET, path = "/metrics" }]
async fn show_metrics(context: Context) -> Result<Response<Body>, HttpError> {
    check_credential(&context)?;
    let text = context.context().shared.metrics.render();
    let builder = Response::builder().header(CONTENT_TYPE, "text/plain; version=0.0.4");
    builder
        .body(Body::from(text))
        .map_err(|e| HttpError::for_internal_error(e.to_string()))
}

fn describe_host(shared: &Shared) -> Status {
    let now = Instant::now();
    let ready = shared.is_ready();
    let state = shared.state();
    let members = &state.membership.members;
    Status {
        host: shared.settings.host.to_string(),
        zone: shared.settings.zone.to_string(),
        ready,
        draining: shared.is_draining(),
        confirms_peers: shared.agreement.confirms_peers(now, &state),
        in_flight: shared.in_flight(),
        folded: state.folded,
        tables_version: state.tables_version.offset,
        service_version: state.service.version.offset,
        out_of_service: state.service.out.iter().cloned().collect(),
        members: members
            .iter()
            .map(|(host, member)| (host.to_string(), member.zone.to_string()))
            .collect(),
        leader: state.leader.host.as_ref().map(ToString::to_string),
        term: state.leader.term,
    }
}

fn list_ranges(state: &State) -> Vec<OwnedRange> {
    let ranges = state
        .ranges
        .iter()
        .flat_map(|(pool, table)| table.iter().map(move |info| (pool, info)));
    let describe = |(pool, info): (&crate::types::PoolName, crate::fold::RangeInfo<'_>)| OwnedRange {
        pool: pool.to_string(),
        range: info.range.to_string(),
        owner: info.owner.to_string(),
        epoch: info.epoch,
        frozen: info.frozen.is_some(),
    };
    ranges.map(describe).collect()
}

fn build_record(state: &State, request: ChangeRequest) -> Envelope {
    let ChangeRequest {
        id,
        author,
        base,
        change,
    } = request;
    let body = match change {
        Change::Publish(tables) => Record::Publish {
            base: base.unwrap_or(state.tables_version.offset),
            tables: *tables,
        },
        Change::SetService { target, in_service } => Record::SetService {
            base: base.unwrap_or(state.service.version.offset),
            target,
            in_service,
        },
    };
    Envelope { id, author, body }
}

fn explain(id: RecordId, proposal: Proposal) -> ChangeResult {
    match proposal {
        Proposal::Folded {
            offset,
            outcome: Outcome::Applied,
        } => ChangeResult::Applied { version: offset },
        Proposal::Folded {
            outcome: Outcome::Conflict { current, author },
            ..
        } => ChangeResult::Conflict {
            version: current,
            author,
        },
        Proposal::Folded { outcome, .. } => ChangeResult::Refused {
            why: format!("{outcome:?}"),
        },
        Proposal::Refused(why) => ChangeResult::Refused { why },
        Proposal::Unknown(why) => ChangeResult::Unknown { id, why },
    }
}

/// Starts the server for operators.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub(crate) fn start_operators(shared: &Arc<Shared>, platform: &HttpLog) -> Result<HttpServer<Operators>, String> {
    let mut api = ApiDescription::new();
    api.register(show_status).map_err(|e| e.to_string())?;
    api.register(show_ownership).map_err(|e| e.to_string())?;
    api.register(make_change).map_err(|e| e.to_string())?;
    api.register(find_change).map_err(|e| e.to_string())?;
    api.register(show_metrics).map_err(|e| e.to_string())?;
    let config = ConfigDropshot {
        bind_address: shared.settings.listen.operators,
        ..ConfigDropshot::default()
    };
    let operators = Operators {
        shared: Arc::clone(shared),
        platform: platform.clone(),
    };
    ServerBuilder::new(api, operators, quiet_logger(&shared.log))
        .config(config)
        .start()
        .map_err(|e| e.to_string())
}
