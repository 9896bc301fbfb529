//! What is known of a request before its first attempt.

use std::sync::Arc;

use http::request::Parts;
use tokio::time::Instant;

use super::refusal::Refusal;
use crate::host::{InFlight, Shared};
use crate::tables::{Pool, Route, Tables, find_caller, find_key, match_route};
use crate::types::{Caller, KeyHash, PoolName, Reason, RequestId, RouteName};

/// A request that a route admits.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) id: RequestId,
    pub(super) caller: Caller,
    /// Hash of the key, in pools divided by key.
    pub(super) key: Option<KeyHash>,
    pub(super) idempotent: bool,
    pub(super) started: Instant,
    pub(super) deadline: Instant,
    /// Counts the request once, until its answer has ended.
    pub(super) request: Arc<InFlight>,
    tables: Arc<Tables>,
    route: usize,
}

/// A refusal with the route that it counts under, if one matched.
#[derive(Debug)]
pub(super) struct NotAdmitted {
    pub(super) route: Option<RouteName>,
    pub(super) refusal: Refusal,
}

impl Call {
    pub(super) fn route(&self) -> &Route {
        &self.tables.routes[self.route]
    }

    /// Tells whether a second attempt may run beside a slow one.
    pub(super) fn may_hedge(&self) -> bool {
        self.idempotent && self.key.is_none()
    }

    pub(super) fn pool_name(&self) -> &PoolName {
        &self.route().pool
    }

    /// The pool of the route.
    ///
    /// # Panics
    ///
    /// Panics if the pool is missing; the fold accepts only tables whose routes name their pools.
    pub(super) fn pool(&self) -> &Pool {
        &self.tables.pools[self.pool_name()]
    }
}

/// Finds the route, the caller and the key of a request.
///
/// # Errors
///
/// Gives the refusal if this host may not serve, or no route admits the request. It has not run.
pub(super) fn admit_request(shared: &Arc<Shared>, id: RequestId, parts: &Parts) -> Result<Call, NotAdmitted> {
    let refuse = |reason| NotAdmitted {
        route: None,
        refusal: Refusal::not_run(reason),
    };
    // Counted before the check, so that a planned stop that begins in between waits for it.
    let request = Arc::new(shared.enter_request());
    if shared.is_draining() {
        return Err(refuse(Reason::Draining));
    }
    if shared.in_flight() > shared.settings.limits.requests {
        return Err(refuse(Reason::QueueFull));
    }
    let tables = Arc::clone(&shared.state().tables);
    if tables.routes.is_empty() {
        return Err(refuse(Reason::NotReady));
    }
    if !shared.holds_lease() {
        return Err(refuse(Reason::NoLease));
    }
    let route = match_route(&tables, &parts.method, parts.uri.path()).ok_or_else(|| refuse(Reason::NoRoute))?;
    let refuse = |reason| NotAdmitted {
        route: Some(route.name.clone()),
        refusal: Refusal::not_run(reason),
    };
    let caller = find_caller(route, &parts.headers).map_err(refuse)?;
    let keyed = tables.pools[&route.pool].is_keyed();
    let key = keyed.then(|| find_key(route, &parts.uri, &parts.headers)).transpose();
    let key = key.map_err(|error| refuse(error.reason()))?;
    let idempotent = route.is_idempotent(&parts.method);
    let started = Instant::now();
    let deadline = started + route.deadline.0;
    let index = tables
        .routes
        .iter()
        .position(|r| std::ptr::eq(r, route))
        .unwrap_or_default();
    Ok(Call {
        id,
        caller,
        key,
        idempotent,
        started,
        deadline,
        request,
        tables: Arc::clone(&tables),
        route: index,
    })
}
