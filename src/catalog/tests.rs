use std::collections::BTreeMap;
use std::time::Duration;

use super::{
    CallerLimits, Catalog, CatalogVersion, Currency, Idempotency, Route, RouteMatch, Target, UnusableRoute,
    find_target, has_valid_escapes,
};
use crate::types::Offset;

fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: format!("r{}", prefix.replace('/', "-")).parse().expect("a name"),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        idempotency: Idempotency::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(300),
        priority: 0,
        is_public: false,
        attempts: 2,
        targets: vec![Target {
            pool: "p".parse().expect("a name"),
            weight: 1,
        }],
    }
}

fn catalog(routes: Vec<Route>) -> Catalog {
    let mut by_host: BTreeMap<String, BTreeMap<String, Route>> = BTreeMap::new();
    for route in routes {
        by_host
            .entry(route.host.clone())
            .or_default()
            .insert(route.prefix.clone(), route);
    }
    Catalog {
        version: CatalogVersion(1),
        offset: Offset(1),
        routes: by_host,
        unusable_routes: Vec::new(),
        pools: BTreeMap::new(),
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 1 << 20,
            idle_time: Duration::from_secs(15),
        },
        tenants: None,
    }
}

/// Guards against sending a request to a route with a shorter prefix although one with a longer prefix
/// matches, or to the route of another host.
#[test]
fn the_longest_prefix_wins() {
    let catalog = catalog(vec![
        route("a.example", "/x/"),
        route("a.example", "/x/y/"),
        route("b.example", "/"),
    ]);
    let prefix = |host, path| catalog.find_route(host, path).map(|r| r.prefix.as_str());
    assert_eq!(prefix("a.example", "/x/y/z"), Some("/x/y/"));
    assert_eq!(prefix("A.example:8641", "/x/yy"), Some("/x/"));
    assert_eq!(prefix("a.example.:", "/x/yy"), Some("/x/"));
    assert_eq!(prefix("[::1]:80", "/x/yy"), None);
    assert_eq!(prefix("a.example", "/xy/"), None);
    assert_eq!(prefix("b.example", "/any"), Some("/"));
    assert_eq!(prefix("c.example", "/x/"), None);
}

/// Guards against matching a path that lacks the last slash of the prefix and so names another resource.
#[test]
fn a_path_without_the_last_slash_of_a_prefix_does_not_match() {
    let catalog = catalog(vec![route("a.example", "/x/")]);
    assert!(catalog.find_route("a.example", "/x").is_none());
}

/// Guards against a `Host` header that overrides the host of an absolute URI, which RFC 9112 forbids in
/// section 3.2.2.
#[test]
fn the_host_header_does_not_override_an_absolute_uri() {
    let uri = "http://a.example/x/1?q".parse().expect("a URI");
    assert_eq!(find_target(&uri, Some("b.example")), ("a.example", "/x/1"));
}

/// Guards against passing on a path with a broken percent escape, which servers may decode in different ways.
#[test]
fn a_path_with_a_broken_percent_escape_is_invalid() {
    for path in ["/", "/a/b", "/%41/%e2%82%ac", "/a%2Fb", ""] {
        assert!(has_valid_escapes(path), "{path}");
    }
    for path in ["/%", "/a%", "/%4", "/%zz", "/%4g/", "/%%41", "/a%2", "/%u1234"] {
        assert!(!has_valid_escapes(path), "{path}");
    }
}

/// Guards against a 404, or another pool, for a request whose route has an entry that can't be used; and against a 503 for
/// one that no such entry can be about.
#[test]
fn an_unusable_route_takes_part_in_the_search() {
    let unusable = |host: Option<&str>, prefix: Option<&str>| UnusableRoute {
        host: host.map(str::to_owned),
        prefix: prefix.map(str::to_owned),
    };
    let catalog = Catalog {
        unusable_routes: vec![
            unusable(Some("a.example"), Some("/x/y/")),
            unusable(Some("a.example"), Some("/")),
            unusable(Some("b.example"), None),
            unusable(None, Some("/z/")),
            unusable(Some("b.example"), Some("/x/v")),
        ],
        ..catalog(vec![route("a.example", "/x/"), route("b.example", "/x/")])
    };
    let find = |host, path| match catalog.match_route(host, path) {
        RouteMatch::Found(route) => route.prefix.clone(),
        other => format!("{other:?}"),
    };
    assert_eq!(find("a.example", "/x/y/1"), "Unusable");
    assert_eq!(find("a.example", "/x/1"), "/x/");
    assert_eq!(find("a.example", "/w"), "Unusable");
    assert_eq!(find("b.example", "/x/1"), "/x/");
    assert_eq!(find("b.example", "/w"), "Unsure");
    assert_eq!(find("c.example", "/z/1"), "Unsure");
    assert_eq!(find("c.example", "/w"), "Missing");
    // A prefix without its last slash is about whole segments of paths.
    assert_eq!(find("b.example", "/x/v/1"), "Unusable");
    assert_eq!(find("b.example", "/x/v"), "Unusable");
    assert_eq!(find("b.example", "/x/vw/1"), "/x/");
}

/// Guards against a 404 from a host that doesn't know the newest configuration, and against a 503 from one that does.
#[test]
fn only_a_current_configuration_proves_absence() {
    let bound = Duration::from_secs(2);
    let proves = |has_newer, age: Option<u64>| {
        let age = age.map(Duration::from_millis);
        Currency { has_newer, age }.proves_absence(bound)
    };
    // The longest time between two reads of the store in steady state.
    assert!(proves(false, Some(1_300)));
    assert!(!proves(false, Some(2_000)));
    assert!(!proves(false, None));
    assert!(!proves(true, Some(0)));
}
