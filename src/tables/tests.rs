use http::{HeaderMap, Method, Uri};

use super::{KeyError, Tables, check_capacity, check_service_target, find_caller, find_key, match_route, parse_tables};
use crate::fold::Service;
use crate::records::ServiceTarget;
use crate::settings::parse_settings;
use crate::types::{KeyHash, PoolName, Reason};

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

fn faults(routes: &str, pools: &str) -> String {
    let faults = parse_tables("routes.yaml", routes, "pools.yaml", pools).expect_err("the files have faults");
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

const POOLS: &str = "
pools:
  placas:
    ownership: fenced
    upstreams:
      a: {host: h1, zone: z1, address: 127.0.0.1:1, slots: 4, connections: 100}
      b: {host: h2, zone: z2, address: 127.0.0.2:1, slots: 6, connections: 100}
  flotas:
    ownership: shared
    upstreams: {}
";

/// Guards against routes that are accepted although requests could not be served by them.
#[test]
fn faults_of_routes_are_told_at_once() {
    let routes = "
routes:
  - {name: one, prefix: placas, callers: {names: [ana]}, pool: placas, key: {segment: 0}}
  - {name: two, prefix: /placas//x, callers: {names: []}, pool: nowhere}
  - {name: three, prefix: /a/../b, callers: {names: [ana, ana], header: 'a b'}, pool: flotas}
  - {name: four, prefix: /four, callers: {names: [ana]}, pool: placas}
  - {name: five, prefix: /five, callers: {names: [ana]}, pool: flotas, deadline: 2, body_max: big}
  - {name: five, prefix: /five, methods: [get], callers: {names: [ana]}, pool: flotas}
  - {name: six, prefix: /four, callers: {names: [ana]}, pool: flotas, key: {cookie: a}, retries: 3}
  - seven
";
    insta::assert_snapshot!(faults(routes, POOLS), @r#"
    routes.yaml:3:25: expected a path prefix that starts with '/', without empty, '.' or '..' segments, and only with characters that a URL path has without escapes, found "placas"
    routes.yaml:4:25: expected a path prefix that starts with '/', without empty, '.' or '..' segments, and only with characters that a URL path has without escapes, found "/placas//x"
    routes.yaml:4:54: expected at least one caller, as the route admits only those named
    routes.yaml:4:65: no pool has the name nowhere
    routes.yaml:5:27: expected a path prefix that starts with '/', without empty, '.' or '..' segments, and only with characters that a URL path has without escapes, found "/a/../b"
    routes.yaml:5:59: caller ana is given twice
    routes.yaml:5:73: expected the name of a header, found "a b"
    routes.yaml:6:64: pool placas is divided by key, so the route needs a key
    routes.yaml:7:82: expected a length of time with its unit, like 250ms, found 2
    routes.yaml:7:95: expected a size with its unit, like 64 MiB, found "big"
    routes.yaml:8:12: route five is given twice
    routes.yaml:8:26: route five above takes all requests of this prefix
    routes.yaml:8:43: expected a method in capital letters, like GET, found "get"
    routes.yaml:9:25: route four above takes all requests of this prefix
    routes.yaml:9:76: unknown variant `cookie`, expected one of `segment`, `header`, `query`
    routes.yaml:9:89: unknown field retries, expected one of name, prefix, methods, callers, pool, key, idempotent, priority, deadline, body_max
    routes.yaml:10:5: expected a mapping with name, prefix, methods, callers, pool, key, idempotent, priority, deadline, body_max, found "seven"
    "#);
}

/// Guards against pools whose upstreams would be confused with each other or could serve nothing.
#[test]
fn faults_of_pools_are_told_at_once() {
    let pools = "
pools:
  placas:
    ownership: owned
    run_limit: 0s
    upstreams:
      a: {host: h1, zone: z1, address: 127.0.0.1:1, slots: 0, connections: 100}
      b: {host: h1, zone: z2, address: 127.0.0.1:1, slots: 4, connections: 3}
      b: {host: h2, zone: z2, address: 127.0.0.2:0, slots: -1, connections: 100}
  flotas:
    ownership: shared
    trusted_refusals: perhaps
    upstreams:
      a: {host: h3, zone: z1, address: 127.0.0.3:1, slots: 4}
  padrones: []
  flotas: {ownership: shared, upstreams: {}}
";
    insta::assert_snapshot!(faults("routes: []", pools), @r#"
    pools.yaml:4:16: unknown variant `owned`, expected one of `shared`, `fenced`, `unfenced`
    pools.yaml:5:16: expected a time above zero
    pools.yaml:7:60: expected at least 1 slot
    pools.yaml:8:27: host h1 is in zone z1 above
    pools.yaml:8:40: address 127.0.0.1:1 is that of upstream a already
    pools.yaml:8:76: expected at least one connection for each of the 4 slots, found 3
    pools.yaml:9:7: b is given twice
    pools.yaml:9:40: expected an address to connect to, with an IP and a port
    pools.yaml:9:60: invalid value: integer `-1`, expected u32
    pools.yaml:12:23: invalid type: string "perhaps", expected a boolean
    pools.yaml:14:7: upstream a is in pool placas already
    pools.yaml:14:10: field connections is missing
    pools.yaml:15:13: expected a mapping with ownership, trusted_refusals, run_limit, upstreams, found a list
    pools.yaml:16:3: flotas is given twice
    "#);
    insta::assert_snapshot!(faults("tables: []", "pools: {a: *b}"), @r#"
    routes.yaml:1:1: unknown field tables, expected one of routes
    routes.yaml:1:1: field routes is missing
    pools.yaml:1:12: not valid YAML: alias references unknown anchor at line 1, column 12
    "#);
}

/// Guards against operators who take out a zone by a wrong name and believe that it is empty.
#[test]
fn unknown_targets_are_refused() {
    let tables = parse_tables("r", "routes: []", "p", POOLS).unwrap();
    let zone = |name: &str| ServiceTarget::Zone(name.parse().unwrap());
    let host = |name: &str| ServiceTarget::Host(name.parse().unwrap());
    assert_eq!(check_service_target(&tables, &zone("z1")), Ok(()));
    assert_eq!(check_service_target(&tables, &host("h2")), Ok(()));
    let unknown = check_service_target(&tables, &zone("z9")).unwrap_err();
    assert_eq!(unknown.to_string(), "no upstream is in availability zone z9");
    assert!(check_service_target(&tables, &host("z1")).is_err());
}

/// Guards against a zone taken out whose load the others can't carry.
#[test]
fn capacity_keeps_a_reserve() {
    let tables = parse_tables("r", "routes: []", "p", POOLS).unwrap();
    let target = |name: &str| ServiceTarget::Zone(name.parse().unwrap());
    let placas: PoolName = "placas".parse().unwrap();
    let report = |service: &Service, zone, in_use| {
        let in_use = [(placas.clone(), in_use)].into();
        check_capacity(&tables, service, &target(zone), &in_use)
    };
    let mut service = Service::default();
    assert_eq!(report(&service, "z1", 4).pools[&placas].remaining, 6);
    // 80% of 6 slots are 4.8.
    assert!(report(&service, "z1", 4).suffices());
    assert!(!report(&service, "z1", 5).suffices());
    service.out.insert(target("z2"));
    assert!(!report(&service, "z1", 1).suffices());
    assert!(report(&service, "z1", 0).suffices());
}

/// Guards against examples that the parser refuses, or whose sizes differ from the deployments.
#[test]
fn examples_have_the_sizes_of_today() {
    let sizes = |routes, pools, host| {
        let tables = parse_tables("routes.yaml", routes, "pools.yaml", pools).unwrap();
        let settings = parse_settings("host.yaml", host).unwrap();
        let mut upstreams = tables.pools.values().flat_map(|p| p.upstreams.values());
        assert!(upstreams.any(|u| u.zone == settings.zone));
        let keyed = tables.pools.iter().filter(|(_, p)| p.is_keyed());
        let counts: Vec<usize> = tables.pools.values().map(|p| p.upstreams.len()).collect();
        let first = tables.pools.values().flat_map(|p| p.upstreams.values()).next().unwrap();
        let keyed: Vec<String> = keyed.map(|(name, _)| name.to_string()).collect();
        (keyed.join(" "), counts, first.slots, first.connections)
    };
    let guatemala = sizes(
        include_str!("../../examples/guatemala/routes.yaml"),
        include_str!("../../examples/guatemala/pools.yaml"),
        include_str!("../../examples/guatemala/host.yaml"),
    );
    // In the order of names: flotas, padrones, placas, renovaciones.
    assert_eq!(guatemala, ("placas".to_owned(), vec![6, 6, 13, 10], 4, 100));
    let senegal = sizes(
        include_str!("../../examples/senegal/routes.yaml"),
        include_str!("../../examples/senegal/pools.yaml"),
        include_str!("../../examples/senegal/host.yaml"),
    );
    // In the order of names: cairnindex, logbook, stewardship, tilecellar.
    assert_eq!(senegal, ("cairnindex".to_owned(), vec![14, 6, 7, 6], 6, 60));
}
