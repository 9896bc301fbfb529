//! Tenants, their credentials and their caps, with real gateways and servers.

use std::time::Duration;

use serde_json::{Value, json};

use super::{Cluster, HOST_HEADER, Response, exchange, wait_for};

/// Requests that tenant `capped` may send at once, and per second.
const CAP: u32 = 4;

/// Publishes a configuration in which `keys` are the credentials of tenant `open`, and adds a tenant with a cap.
fn publish_tenants(cluster: &Cluster, version: u32, keys: &[&str]) {
    let text = std::fs::read_to_string(super::CONFIGURATION).expect("the example configuration");
    let mut configuration: Value = serde_json::from_str(&text).expect("JSON");
    configuration["version"] = json!(format!("{version:08x}"));
    configuration["routes"][2]["public"] = json!(true);
    configuration["tenants"] = json!([
        {"name": "open", "api_keys": keys, "priority": 1},
        {"name": "capped", "api_keys": ["key-capped"], "rate_per_s": CAP, "burst": CAP},
    ]);
    let path = cluster.directory.path().join(format!("configuration-{version}.json"));
    std::fs::write(&path, configuration.to_string()).expect("a configuration file");
    cluster.publish(&path);
}

fn call(cluster: &Cluster, gateway: usize, path: &str, id: &str, headers: &str) -> Response {
    let text = format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST_HEADER}\r\nX-Ragworthub-Request-Id: {id}\r\n{headers}\
         X-Ragworthub-Shard-Key: 7\r\nX-Ragworthub-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n"
    );
    exchange(cluster.gateways[gateway].address, &text)
}

fn credential(key: &str) -> String {
    format!("X-Ragworthub-Credential: {key}\r\n")
}

/// Guards against requests that run without a valid credential or for a tenant that the caller chose, against a
/// credential that reaches an upstream, and against one that is accepted after its removal.
#[test]
fn credentials_decide_the_tenant_until_they_are_removed() {
    let cluster = Cluster::start(2);
    publish_tenants(&cluster, 2, &["key-1", "key-2"]);
    for gateway in 0..2 {
        wait_for("the tenants to be known", || {
            (call(&cluster, gateway, "/placas/7", "w", "").status == 401).then_some(())
        });
    }
    let forged = format!("{}X-Ragworthub-Tenant: capped\r\n", credential("key-1"));
    let response = call(&cluster, 0, "/placas/7", "r-1", &forged);
    assert_eq!(response.status, 200);
    assert!(response.body.contains("\"tenant\":\"open\""), "{}", response.body);
    assert!(response.body.contains("\"credential\":\"\""), "{}", response.body);
    let public = call(&cluster, 0, "/flotas/7", "r-2", "X-Ragworthub-Tenant: open\r\n");
    assert_eq!(public.status, 200);
    assert!(public.body.contains("\"tenant\":\"\""), "{}", public.body);
    for (headers, status) in [
        (credential("key-9"), 401),
        (credential(""), 401),
        (credential("key-1") + &credential("key-1"), 400),
    ] {
        assert_eq!(
            call(&cluster, 0, "/placas/7", "r-3", &headers).status,
            status,
            "{headers}"
        );
    }
    assert_eq!(cluster.run_count("r-3"), 0);
    publish_tenants(&cluster, 3, &["key-2"]);
    for gateway in 0..2 {
        wait_for("the removed credential to be refused", || {
            (call(&cluster, gateway, "/placas/7", "r-4", &credential("key-1")).status == 401).then_some(())
        });
        assert_eq!(
            call(&cluster, gateway, "/placas/7", "r-5", &credential("key-2")).status,
            200
        );
    }
}

/// Guards against a cap that each gateway grants anew, and against refusing a tenant that is below its cap at one gateway.
#[test]
fn cap_holds_over_all_gateways() {
    let cluster = Cluster::start(3);
    publish_tenants(&cluster, 2, &["key-1"]);
    for gateway in 0..3 {
        wait_for("the tenants to be known", || {
            (call(&cluster, gateway, "/placas/7", "w", "").status == 401).then_some(())
        });
    }
    let count_admitted = |gateways: &[usize]| {
        let mut statuses = Vec::new();
        for number in 0..24 {
            let gateway = gateways[number % gateways.len()];
            statuses.push(call(&cluster, gateway, "/placas/7", "c", &credential("key-capped")));
        }
        let capped = statuses.iter().find(|response| response.status == 429);
        assert!(capped.is_none_or(|response| response.headers.contains_key("retry-after")));
        statuses.iter().filter(|response| response.status == 200).count()
    };
    for gateways in [&[0, 1, 2][..], &[1]] {
        // The bucket fills to its burst.
        std::thread::sleep(Duration::from_secs(3));
        let start = std::time::Instant::now();
        let admitted = count_admitted(gateways);
        let allowed = f64::from(CAP) * (1.0 + start.elapsed().as_secs_f64()) + 1.0;
        let admitted = f64::from(u32::try_from(admitted).expect("a small number"));
        assert!(admitted <= allowed, "{admitted} admitted, {allowed} allowed");
        assert!(admitted >= f64::from(CAP), "{admitted} admitted of a burst of {CAP}");
    }
}
