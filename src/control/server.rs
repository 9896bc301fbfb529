//! The HTTP server for operators.

use std::sync::Arc;
use std::time::Duration;

use dropshot::{
    ApiDescription, Body, ClientErrorStatusCode, ConfigDropshot, HttpError, HttpResponseOk, HttpServer, Path, Query,
    RawRequest, RequestContext, ServerBuilder, endpoint,
};
use http::Response;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http_body_util::{BodyExt, Limited};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use slog::info;
use subtle::ConstantTimeEq;
use tokio::time::Instant;

use super::capacity::count_slots_in_use;
use super::files::check_published;
use super::messages::{Change, ChangeRequest, ChangeResult, Document, OwnedRange, Status};
use crate::fold::{Outcome, State};
use crate::host::{Proposal, Shared, find_proposal, propose};
use crate::log::HttpLog;
use crate::records::{Envelope, Record, ServiceTarget};
use crate::tables::check_capacity;
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

/// Which counts to show.
#[derive(Deserialize, JsonSchema)]
struct CountsQuery {
    /// Month, such as 2026-12.
    period: String,
    caller: Option<String>,
}

/// Which ranges to list; without a filter, all.
#[derive(Deserialize, JsonSchema)]
struct RangeFilter {
    pool: Option<String>,
    upstream: Option<String>,
}

/// An availability zone or host by its name.
#[derive(Deserialize, JsonSchema)]
struct TargetQuery {
    scope: String,
    name: String,
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
async fn show_ownership(context: Context, filter: Query<RangeFilter>) -> Result<HttpResponseOk<Document>, HttpError> {
    check_credential(&context)?;
    answer(&list_ranges(&context.context().shared.state(), &filter.into_inner()))
}

/// Tells whether the rest can carry the load without an availability zone or host.
#[endpoint { method = GET, path = "/v1/capacity" }]
async fn show_capacity(context: Context, query: Query<TargetQuery>) -> Result<HttpResponseOk<Document>, HttpError> {
    check_credential(&context)?;
    let TargetQuery { scope, name } = query.into_inner();
    let bad = |e: String| HttpError::for_bad_request(None, e);
    let target = serde_json::json!({ "scope": scope, "name": name });
    let target: ServiceTarget = serde_json::from_value(target).map_err(|e| bad(e.to_string()))?;
    let shared = &context.context().shared;
    let state = shared.state();
    state.check_service_target(&target).map_err(|e| bad(e.to_string()))?;
    let in_use = count_slots_in_use(&state.tables, &shared.metrics.render());
    answer(&check_capacity(&state.tables, &state.service, &target, &in_use))
}

/// Shows the counts of a period, as far as the log holds them.
#[endpoint { method = GET, path = "/v1/counts" }]
async fn show_counts(context: Context, query: Query<CountsQuery>) -> Result<HttpResponseOk<Document>, HttpError> {
    check_credential(&context)?;
    let CountsQuery { period, caller } = query.into_inner();
    let bad = |e: String| HttpError::for_bad_request(None, e);
    let period = period
        .parse()
        .map_err(|e: crate::types::BadNumber| bad(e.to_string()))?;
    let caller = caller.map(|name| name.parse()).transpose();
    let caller = caller.map_err(|e: crate::types::BadName| bad(e.to_string()))?;
    answer(&context.context().shared.counting.report(period, caller.as_ref()))
}

/// Makes a change and tells what became of it.
#[endpoint { method = POST, path = "/v1/changes", request_body_max_bytes = BODY_MAX }]
async fn make_change(context: Context, request: RawRequest) -> Result<HttpResponseOk<Document>, HttpError> {
    // A typed body would be read before the credential is checked.
    check_credential(&context)?;
    let request = read_change(request.into_inner().into_body()).await?;
    let Operators { shared, platform } = context.context();
    if let Err(why) = check_change(&shared.state(), &request.change) {
        return answer(&ChangeResult::Refused { why });
    }
    let envelope = build_record(shared, request);
    let proposal = propose(shared, platform, &envelope, CHANGE_LIMIT).await;
    let result = explain(envelope.id, proposal);
    info!(shared.log, "change"; "author" => envelope.author, "id" => envelope.id.to_string(), "result" => ?result);
    answer(&result)
}

async fn read_change(body: Body) -> Result<ChangeRequest, HttpError> {
    let read = tokio::time::timeout(CHANGE_LIMIT, Limited::new(body, BODY_MAX).collect());
    let late = |_| HttpError::for_client_error(None, ClientErrorStatusCode::REQUEST_TIMEOUT, "body is late".to_owned());
    let body = read.await.map_err(late)?.map_err(|e| {
        if e.is::<http_body_util::LengthLimitError>() {
            let why = format!("change is larger than {BODY_MAX} bytes");
            HttpError::for_client_error(None, ClientErrorStatusCode::PAYLOAD_TOO_LARGE, why)
        } else {
            HttpError::for_bad_request(None, format!("body ended early: {e}"))
        }
    })?;
    let bad = |e: serde_json::Error| HttpError::for_bad_request(None, format!("change can't be read: {e}"));
    serde_json::from_slice(&body.to_bytes()).map_err(bad)
}

/// Checks a change against the state, so that a mistake doesn't reach the log.
fn check_change(state: &State, change: &Change) -> Result<(), String> {
    match change {
        Change::Publish(tables) => check_published(tables),
        Change::Reform => Ok(()),
        Change::SetService { target, .. } => state.check_service_target(target).map_err(|e| e.to_string()),
    }
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
        tables_author: state.tables_version.author.clone(),
        service_version: state.service.version.offset,
        service_author: state.service.version.author.clone(),
        out_of_service: state.service.out.iter().cloned().collect(),
        members: members
            .iter()
            .map(|(host, member)| (host.to_string(), member.zone.to_string()))
            .collect(),
        leader: state.leader.host.as_ref().map(ToString::to_string),
        term: state.leader.term,
    }
}

fn list_ranges(state: &State, filter: &RangeFilter) -> Vec<OwnedRange> {
    let pool_fits = |name: &str| filter.pool.as_deref().is_none_or(|pool| pool == name);
    let owner_fits = |name: &str| filter.upstream.as_deref().is_none_or(|upstream| upstream == name);
    let pools = state.ranges.iter().filter(|(pool, _)| pool_fits(pool.as_str()));
    let ranges = pools
        .flat_map(|(pool, table)| table.iter().map(move |info| (pool, info)))
        .filter(|(_, info)| owner_fits(info.owner.as_str()));
    let describe = |(pool, info): (&crate::types::PoolName, crate::fold::RangeInfo<'_>)| OwnedRange {
        pool: pool.to_string(),
        range: info.range.to_string(),
        owner: info.owner.to_string(),
        epoch: info.epoch,
        frozen: info.frozen.is_some(),
    };
    ranges.map(describe).collect()
}

fn build_record(shared: &Shared, request: ChangeRequest) -> Envelope {
    let state = shared.state();
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
        Change::Reform => Record::Reform {
            base: base.unwrap_or(state.membership.version.offset),
            host: shared.me.host.clone(),
            incarnation: shared.me.incarnation,
            zone: shared.settings.zone.clone(),
            address: shared.peer_address,
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
            why: format!("the change contradicts the state: {outcome:?}"),
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
    api.register(show_counts).map_err(|e| e.to_string())?;
    api.register(show_capacity).map_err(|e| e.to_string())?;
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
