//! Reads and checks the files of the two tables.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use http::{HeaderName, Method};
use serde_saphyr::Spanned;

use super::{
    CallerRule, Idempotence, KeySource, Pool, Priority, Route, Tables, Upstream, default_body, default_caller_header,
    default_deadline, default_run_limit,
};
use crate::settings::{Document, Fields, Node};
use crate::types::{Caller, Fault, HostName, PoolName, RouteName, UpstreamName, Zone};

/// Parses and checks both tables.
///
/// # Errors
///
/// Gives all faults of both files with their places, those of the routes first.
pub(crate) fn parse_tables(
    routes_file: &str,
    routes_text: &str,
    pools_file: &str,
    pools_text: &str,
) -> Result<Tables, Vec<Fault>> {
    let (mut pools_doc, root) = Document::parse(pools_file, pools_text);
    let pools = root.map(|root| PoolReader::default().read_pools(&mut pools_doc, &root));
    let (mut routes_doc, root) = Document::parse(routes_file, routes_text);
    let routes = root.map(|root| read_routes(&mut routes_doc, &root, pools.as_ref()));
    let mut faults = routes_doc.into_faults();
    faults.extend(pools_doc.into_faults());
    if !faults.is_empty() {
        return Err(faults);
    }
    let pools = pools.unwrap_or_default().into_iter();
    Ok(Tables {
        routes: routes.unwrap_or_default(),
        pools: pools.filter_map(|(name, pool)| Some((name, pool?))).collect(),
    })
}

/// Pools by name; those with faults have no value, but routes may still name them.
type PoolsRead = BTreeMap<PoolName, Option<Pool>>;

/// What must be unique or agree over all pools.
#[derive(Default)]
struct PoolReader {
    homes: BTreeMap<UpstreamName, PoolName>,
    addresses: BTreeMap<SocketAddr, UpstreamName>,
    zones: BTreeMap<HostName, Zone>,
}

impl PoolReader {
    fn read_pools(&mut self, d: &mut Document<'_>, root: &Node) -> PoolsRead {
        let fields = d.fields(root, &["pools"]);
        let mut pools = PoolsRead::new();
        let Some(node) = fields.need(d, "pools") else {
            return pools;
        };
        for (key, node) in d.entries(node, "a mapping of pools by name") {
            let name = d.read_key::<PoolName>(key);
            let pool = self.read_pool(d, node, name.as_ref());
            if let Some(name) = name {
                pools.insert(name, pool);
            }
        }
        pools
    }

    fn read_pool(&mut self, d: &mut Document<'_>, node: &Node, name: Option<&PoolName>) -> Option<Pool> {
        let known = ["ownership", "trusted_refusals", "run_limit", "upstreams"];
        let fields = d.fields(node, &known);
        let ownership = fields.read(d, "ownership");
        let trusted_refusals = fields.read_or(d, "trusted_refusals", false);
        let run_limit = fields.read_span(d, "run_limit", default_run_limit());
        let mut upstreams = BTreeMap::new();
        let nodes = fields.need(d, "upstreams");
        for (key, node) in nodes.map_or(&[][..], |node| d.entries(node, "a mapping of upstreams by name")) {
            let id = d.read_key::<UpstreamName>(key);
            if let (Some(id), Some(pool)) = (&id, name) {
                self.check_home(d, key, id, pool);
            }
            let upstream = self.read_upstream(d, node, &key.value);
            if let (Some(id), Some(upstream)) = (id, upstream) {
                upstreams.insert(id, upstream);
            }
        }
        Some(Pool {
            ownership: ownership?,
            trusted_refusals,
            run_limit,
            upstreams,
        })
    }

    fn check_home(&mut self, d: &mut Document<'_>, key: &Spanned<String>, id: &UpstreamName, pool: &PoolName) {
        match self.homes.get(id) {
            Some(other) if other != pool => d.refuse(key, format!("upstream {id} is in pool {other} already")),
            // A name that is repeated in one pool is a repeated key of the mapping.
            Some(_) => {}
            None => {
                self.homes.insert(id.clone(), pool.clone());
            }
        }
    }

    fn read_upstream(&mut self, d: &mut Document<'_>, node: &Node, name: &str) -> Option<Upstream> {
        let fields = d.fields(node, &["host", "zone", "address", "slots", "connections"]);
        let host = fields.read::<HostName>(d, "host");
        let zone = fields.read::<Zone>(d, "zone");
        let address = fields.read_address(d, "address");
        let slots = fields.read::<u32>(d, "slots");
        let connections = fields.read::<u32>(d, "connections");
        if slots == Some(0) {
            fields.refuse(d, "slots", "expected at least 1 slot");
        }
        if let (Some(slots), Some(connections)) = (slots, connections)
            && connections < slots.max(1)
        {
            let message =
                format!("expected at least one connection for each of the {slots} slots, found {connections}");
            fields.refuse(d, "connections", message);
        }
        if let (Some(host), Some(zone)) = (&host, &zone) {
            self.check_zone(d, &fields, host, zone);
        }
        if let Some(address) = address {
            self.check_address(d, &fields, address, name);
        }
        Some(Upstream {
            host: host?,
            zone: zone?,
            address: address?,
            slots: slots?,
            connections: connections?,
        })
    }

    fn check_zone(&mut self, d: &mut Document<'_>, fields: &Fields<'_>, host: &HostName, zone: &Zone) {
        let known = self.zones.entry(host.clone()).or_insert_with(|| zone.clone());
        if known != zone {
            fields.refuse(d, "zone", format!("host {host} is in zone {known} above"));
        }
    }

    fn check_address(&mut self, d: &mut Document<'_>, fields: &Fields<'_>, address: SocketAddr, name: &str) {
        if address.port() == 0 || address.ip().is_unspecified() {
            fields.refuse(d, "address", "expected an address to connect to, with an IP and a port");
        } else if let Some(other) = self.addresses.get(&address) {
            fields.refuse(
                d,
                "address",
                format!("address {address} is that of upstream {other} already"),
            );
        } else if let Ok(name) = name.parse() {
            self.addresses.insert(address, name);
        }
    }
}

fn read_routes(d: &mut Document<'_>, root: &Node, pools: Option<&PoolsRead>) -> Vec<Route> {
    let fields = d.fields(root, &["routes"]);
    let nodes = fields
        .need(d, "routes")
        .map_or(&[][..], |node| d.items(node, "a list of routes"));
    let mut routes: Vec<Route> = Vec::new();
    let mut names = BTreeSet::new();
    for node in nodes {
        let fields = d.fields(node, &ROUTE_FIELDS);
        if let Some(name) = fields.read::<RouteName>(d, "name")
            && !names.insert(name.clone())
        {
            fields.refuse(d, "name", format!("route {name} is given twice"));
        }
        let Some(route) = read_route(d, node, pools) else {
            continue;
        };
        if let Some(earlier) = routes.iter().find(|earlier| hides(earlier, &route)) {
            let message = format!("route {} above takes all requests of this prefix", earlier.name);
            fields.refuse(d, "prefix", message);
        }
        routes.push(route);
    }
    routes
}

/// Tells whether a later route with the same prefix never gets a request.
fn hides(earlier: &Route, later: &Route) -> bool {
    let covers = |method| earlier.methods.contains(method);
    let all = earlier.methods.is_empty();
    earlier.prefix == later.prefix && (all || (!later.methods.is_empty() && later.methods.iter().all(covers)))
}

const ROUTE_FIELDS: [&str; 10] = [
    "name",
    "prefix",
    "methods",
    "callers",
    "pool",
    "key",
    "idempotent",
    "priority",
    "deadline",
    "body_max",
];

fn read_route(d: &mut Document<'_>, node: &Node, pools: Option<&PoolsRead>) -> Option<Route> {
    let fields = d.fields(node, &ROUTE_FIELDS);
    let name = fields.read::<RouteName>(d, "name");
    let prefix = read_prefix(d, &fields);
    let methods = read_methods(d, &fields);
    let callers = fields.need(d, "callers").and_then(|node| read_callers(d, node));
    let pool = fields.read::<PoolName>(d, "pool");
    let key = fields.find("key").and_then(|node| read_key_source(d, node));
    if let (Some(pool), Some(pools)) = (&pool, pools) {
        check_pool(d, &fields, pool, pools);
    }
    let idempotent = fields.read_or(d, "idempotent", Idempotence::default());
    let priority = fields.read_or(d, "priority", Priority::default());
    let deadline = fields.read_span(d, "deadline", default_deadline());
    let body_max = fields.read_or(d, "body_max", default_body());
    Some(Route {
        name: name?,
        prefix: prefix?,
        methods,
        callers: callers?,
        pool: pool?,
        key,
        idempotent,
        priority,
        deadline,
        body_max,
    })
}

fn check_pool(d: &mut Document<'_>, fields: &Fields<'_>, name: &PoolName, pools: &PoolsRead) {
    match pools.get(name) {
        None => fields.refuse(d, "pool", format!("no pool has the name {name}")),
        Some(Some(pool)) if pool.is_keyed() && fields.find("key").is_none() => {
            fields.refuse(
                d,
                "pool",
                format!("pool {name} is divided by key, so the route needs a key"),
            );
        }
        Some(_) => {}
    }
}

fn read_prefix(d: &mut Document<'_>, fields: &Fields<'_>) -> Option<String> {
    let prefix: String = fields.read(d, "prefix")?;
    if is_canonical(&prefix) {
        return Some(prefix);
    }
    let expected = "expected a path prefix that starts with '/', without empty, '.' or '..' segments, \
                    and only with characters that a URL path has without escapes";
    fields.refuse(d, "prefix", format!("{expected}, found {prefix:?}"));
    None
}

/// Tells whether a prefix has one spelling only, as requests are compared byte by byte.
fn is_canonical(prefix: &str) -> bool {
    let Some(rest) = prefix.strip_prefix('/') else {
        return false;
    };
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-._~!$&'()*+,;=:@/".contains(c);
    let segments = rest.strip_suffix('/').unwrap_or(rest).split('/');
    let mut plain = segments.map(|s| !matches!(s, "" | "." | ".."));
    rest.is_empty() || (rest.chars().all(allowed) && plain.all(|p| p))
}

fn read_methods(d: &mut Document<'_>, fields: &Fields<'_>) -> Vec<String> {
    let Some(node) = fields.find("methods") else {
        return Vec::new();
    };
    let mut methods = Vec::new();
    for item in d.items(node, "a list of methods") {
        let Some(method) = d.read::<String>(item) else {
            continue;
        };
        let upper = !method.chars().any(|c| c.is_ascii_lowercase());
        if !upper || Method::from_bytes(method.as_bytes()).is_err() {
            d.refuse(
                item,
                format!("expected a method in capital letters, like GET, found {method:?}"),
            );
        } else if methods.contains(&method) {
            d.refuse(item, format!("method {method} is given twice"));
        }
        methods.push(method);
    }
    methods
}

fn read_callers(d: &mut Document<'_>, node: &Node) -> Option<CallerRule> {
    let fields = d.fields(node, &["header", "names"]);
    let header = fields.read_or(d, "header", default_caller_header());
    check_header(d, &fields, "header", &header);
    let list = fields.need(d, "names")?;
    let mut names: Vec<Caller> = Vec::new();
    for item in d.items(list, "a list of callers") {
        let Some(name) = d.read::<Caller>(item) else {
            continue;
        };
        if names.contains(&name) {
            d.refuse(item, format!("caller {name} is given twice"));
        }
        names.push(name);
    }
    if names.is_empty() {
        d.refuse(
            list,
            "expected at least one caller, as the route admits only those named",
        );
    }
    Some(CallerRule { header, names })
}

fn read_key_source(d: &mut Document<'_>, node: &Node) -> Option<KeySource> {
    let key = d.read::<KeySource>(node)?;
    let fields = d.fields(node, &["segment", "header", "query"]);
    match &key {
        KeySource::Header(name) => check_header(d, &fields, "header", name),
        KeySource::Query(name) if name.is_empty() || name.contains(['=', '&', '#', '%']) => {
            fields.refuse(
                d,
                "query",
                "expected the name of a query parameter as it stands in a URL",
            );
        }
        KeySource::Query(_) | KeySource::Segment(_) => {}
    }
    Some(key)
}

fn check_header(d: &mut Document<'_>, fields: &Fields<'_>, field: &str, name: &str) {
    if HeaderName::from_bytes(name.as_bytes()).is_err() {
        fields.refuse(d, field, format!("expected the name of a header, found {name:?}"));
    }
}
