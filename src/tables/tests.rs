use http::{HeaderMap, Method, Uri};

use super::{KeyError, Tables, find_caller, find_key, match_route};
use crate::types::{KeyHash, Reason};

fn sample() -> Tables {
    serde_json::from_value(serde_json::json!({
        "routes": [
            {"name": "placas", "prefix": "/placas/", "callers": {"names": ["ventanilla"]}, "pool": "placas",
             "key": {"segment": 0}},
            {"name": "any", "prefix": "/", "callers": {"names": ["ventanilla"]}, "pool": "placas"},
            {"name": "historia", "prefix": "/placas/historia", "methods": ["GET"],
             "callers": {"names": ["ventanilla"]}, "pool": "placas", "key": {"query": "placa"}}
        ],
        "pools": {"placas": {"ownership": "fenced", "upstreams": {}}}
    }))
    .unwrap()
}

/// Guards against a shorter prefix, or half a path segment, taking a request.
#[test]
fn longest_prefix_wins_at_segment_borders() {
    let tables = sample();
    let name = |method: &Method, path| match_route(&tables, method, path).map(|r| r.name.to_string());
    assert_eq!(name(&Method::GET, "/placas/P-1").as_deref(), Some("placas"));
    assert_eq!(name(&Method::GET, "/placas/historia").as_deref(), Some("historia"));
    assert_eq!(name(&Method::POST, "/placas/historia").as_deref(), Some("placas"));
    assert_eq!(name(&Method::GET, "/placas/historial").as_deref(), Some("placas"));
    assert_eq!(name(&Method::GET, "/otros").as_deref(), Some("any"));
}

/// Guards against a request without a usable key being spread over the pool.
#[test]
fn keys_are_found_or_refused() {
    let tables = sample();
    let key =
        |route: usize, uri: &str| find_key(&tables.routes[route], &uri.parse::<Uri>().unwrap(), &HeaderMap::new());
    assert_eq!(key(0, "/placas/P-1"), Ok(KeyHash::of(b"P-1")));
    assert_eq!(key(0, "/placas/P-1/fotos"), Ok(KeyHash::of(b"P-1")));
    assert_eq!(key(0, "/placas/"), Err(KeyError::Missing));
    assert_eq!(key(0, &format!("/placas/{}", "x".repeat(513))), Err(KeyError::TooLong));
    assert_eq!(key(2, "/placas/historia?a=b&placa=P-1"), Ok(KeyHash::of(b"P-1")));
    assert_eq!(key(2, "/placas/historia?placa="), Err(KeyError::Missing));
    assert_eq!(key(1, "/otros"), Err(KeyError::Missing));
}

/// Guards against a caller that no route admits.
#[test]
fn callers_are_admitted_by_name() {
    let tables = sample();
    let caller = |name: &str| {
        let mut headers = HeaderMap::new();
        headers.insert("ragworthub-caller", name.parse().unwrap());
        find_caller(&tables.routes[0], &headers).map(|c| c.to_string())
    };
    assert_eq!(caller("ventanilla"), Ok("ventanilla".to_owned()));
    assert_eq!(caller("otro"), Err(Reason::CallerNotAdmitted));
    assert_eq!(
        find_caller(&tables.routes[0], &HeaderMap::new()),
        Err(Reason::CallerMissing)
    );
}
