mod endless;

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use proptest::prelude::*;

use super::store::{decode_batch, encode_records};
use super::units::parse_time;
use super::{
    Decoded, OperatorKey, decode_bounds, decode_catalog, decode_server, decode_with_key, read_load, read_operator_key,
};
use crate::catalog::{Idempotency, Phase, RouteMatch, compare};
use crate::types::Offset;

const CONFIGURATION: &str = include_str!("../../../examples/platform/configuration.json");

/// Guards against accepting a duration without a valid number and unit, which would be read in a guessed
/// unit.
#[test]
fn durations_without_a_unit_are_rejected() {
    assert_eq!(parse_time("1500ms"), Some(Duration::from_millis(1_500)));
    assert_eq!(parse_time("2.5s"), Some(Duration::from_millis(2_500)));
    for bad in ["", "5", "ms", "-1s", "1h", "NaNs", "infs", "1e300s"] {
        assert_eq!(parse_time(bad), None, "{bad}");
    }
}

/// Guards against rejecting or misreading the example configuration.
#[test]
fn the_example_configuration_is_decoded() {
    let Decoded { catalog, faults, .. } = decode_catalog(Offset(4), CONFIGURATION.as_bytes()).expect("a configuration");
    assert!(faults.is_empty());
    assert_eq!(catalog.version.to_string(), "00000001");
    let route = catalog
        .find_route("licencias.example", "/renovaciones/7")
        .expect("a route");
    assert_eq!(route.idempotency, Idempotency::NonIdempotent);
    assert!(catalog.pools[&"placas".parse().expect("a name")].is_sharded);
    assert!(catalog.check(None).is_empty(), "{:?}", catalog.check(None));
}

/// Guards against a route whose requests are rejected because of its name, which is only a label.
#[test]
fn route_with_an_unusual_name_is_used() {
    let text = CONFIGURATION.replacen("\"name\": \"renovaciones\"", "\"name\": \"renovación / anual\"", 1);
    assert_ne!(text, CONFIGURATION);
    let Decoded { catalog, faults, .. } = decode_catalog(Offset(4), text.as_bytes()).expect("a configuration");
    assert!(catalog.find_route("licencias.example", "/renovaciones/7").is_some());
    assert!(faults.is_empty(), "{faults:?}");
}

/// Guards against a configuration that doesn't come into force because one of its entries has something that this build
/// doesn't know: no request of any route was served on such a day.
#[test]
fn unknown_entries_do_not_stop_the_others() {
    let with = |from: &str, to: &str| {
        let text = CONFIGURATION.replacen(from, to, 1);
        assert_ne!(text, CONFIGURATION, "{from}");
        decode_catalog(Offset(4), text.as_bytes()).expect("a configuration")
    };
    let path = "/renovaciones/7";
    let Decoded { catalog, faults, .. } = with("\"unsafe\"", "\"upload\"");
    let route = catalog.find_route("licencias.example", path).expect("a route");
    assert_eq!(route.idempotency, Idempotency::Upload);
    assert!(faults.is_empty());
    let Decoded { catalog, faults, .. } = with("\"unsafe\"", "\"stream\"");
    let route = catalog.find_route("licencias.example", path).expect("a route");
    assert!(!route.idempotency.is_retryable(), "the strictest kind");
    assert_eq!(faults.len(), 1);
    let Decoded { catalog, faults, .. } = with("\"unsafe\"", "7");
    assert!(catalog.find_route("licencias.example", path).is_none());
    assert!(catalog.find_route("licencias.example", "/placas/7").is_some());
    assert_eq!((faults[0].line, faults[0].entry.as_str()), (5, "route renovaciones"));
    assert!(faults[0].text.contains("field kind"), "{faults:?}");
}

/// Guards against leaving out a route because a field with an obvious meaning is `null`, absent or a whole number with a
/// fraction of zero, and against shares that differ from the weights.
#[test]
fn fields_with_an_obvious_meaning_are_decoded() {
    let path = "/renovaciones/7";
    let with = |from: &str, to: &str| {
        let text = CONFIGURATION.replace(from, to);
        assert_ne!(text, CONFIGURATION, "{from}");
        decode_catalog(Offset(4), text.as_bytes()).expect("a configuration")
    };
    let service = "\"service\": \"renovaciones\"";
    for (from, to) in [
        ("\"priority\": 1", "\"priority\": 1.0"),
        ("\"priority\": 1", "\"priority\": null"),
        ("\"max_attempts\": 2", "\"max_attempts\": 2.0"),
        ("\"target_latency\": \"400ms\"", "\"target_latency\": null"),
        (
            service,
            "\"traffic_split\": null, \"public\": null, \"service\": \"renovaciones\"",
        ),
        ("\"max_connections\": 110", "\"max_connections\": 110.0"),
        ("\"max_body_bytes\": 67108864", "\"max_body_bytes\": 67108864.0"),
    ] {
        let Decoded { catalog, faults, .. } = with(from, to);
        assert!(faults.is_empty(), "{to}: {faults:?}");
        assert!(catalog.find_route("licencias.example", path).is_some(), "{to}");
        assert_eq!(catalog.limits.body_bytes, 67_108_864, "{to}");
    }
    for (first, second, shares) in [
        ("3", "1.0", [3, 1]),
        ("0.75", "0.25", [1_000_000, 333_333]),
        ("0", "2", [0, 2]),
    ] {
        let split = format!(
            "\"service\": null, \"traffic_split\": [{{\"service\": \"placas\", \"weight\": {first}}}, \
             {{\"service\": \"renovaciones\", \"weight\": {second}}}]"
        );
        let Decoded { catalog, faults, .. } = with(service, &split);
        assert!(faults.is_empty(), "{split}: {faults:?}");
        let route = catalog.find_route("licencias.example", path).expect("a route");
        let weights: Vec<u32> = route.targets.iter().map(|target| target.weight).collect();
        assert_eq!(weights, shares, "{split}");
    }
    let Decoded { catalog, .. } = with("licencias.example", "Licencias.example.");
    assert!(catalog.find_route("licencias.example", path).is_some());
    let Decoded { catalog, .. } = with("licencias.example", "licencias.example:80");
    assert_eq!(catalog.match_route("licencias.example", path), RouteMatch::Unusable);
    let Decoded { catalog, faults, .. } = with("\"priority\": 1", "\"priority\": -1");
    assert_eq!(faults.len(), 2);
    assert_eq!(catalog.match_route("licencias.example", path), RouteMatch::Unusable);
}

/// Guards against accepting a malformed record of another writer, or a part of it.
#[test]
fn malformed_records_are_rejected() {
    for bad in ["", "{", "[]", "{}", "{\"version\":\"zz\"}", "\u{fffd}"] {
        assert!(decode_catalog(Offset(0), bad.as_bytes()).is_err(), "{bad}");
        assert!(decode_server("i-1", bad.as_bytes()).is_err(), "{bad}");
    }
    let good = r#"{"service":"a","address":"10.0.0.1:80","zone":"z","version":"v1","slots":4,"state":"ready","cold_left":"0ms","seq":4,"born":7}"#;
    let announcement = decode_server("i-1", good.as_bytes()).expect("an announcement");
    assert_eq!(
        (announcement.phase, announcement.incarnation, announcement.sequence),
        (Phase::Ready, 7, 4)
    );
    for (from, to) in [
        ("\"ready\"", "\"gone\""),
        ("4,\"state\"", "0,\"state\""),
        ("10.0.0.1:80", "10.0.0.1"),
        ("10.0.0.1:80", "10.0.0.1:0"),
        ("10.0.0.1:80", "10.0.0.1:99999"),
        ("\"seq\":4", "\"seq\":99999999999999999999"),
        ("\"seq\":4", "\"seq\":1e999"),
        ("\"0ms\"", "0"),
        ("\"seq\":4,", ""),
        ("7}", "\"7\"}"),
    ] {
        assert!(
            decode_server("i-1", good.replace(from, to).as_bytes()).is_err(),
            "{from}"
        );
    }
    assert!(decode_server("no name/", good.as_bytes()).is_err());
}

/// Guards against accepting a malformed bound, and against rejecting an unknown one, which the gateway
/// ignores.
#[test]
fn malformed_bounds_are_rejected() {
    let bounds = decode_bounds(["drain=2000ms", "retry_budget_ratio=0.2", "unknown=x"]).expect("bounds");
    assert_eq!(bounds.drain, Duration::from_secs(2));
    assert!(decode_bounds(["drain=2"]).is_err());
    assert!(decode_bounds(["retry_budget_ratio=-1"]).is_err());
    assert!(decode_bounds(["drain"]).is_err());
}

/// Guards against mistaking an operators' record for one of another kind.
#[test]
fn operator_keys_are_not_confused() {
    assert_eq!(read_operator_key("config"), OperatorKey::Configuration);
    assert_eq!(
        read_operator_key("evacuate/z1"),
        OperatorKey::Evacuation("z1".to_owned())
    );
    assert_eq!(read_operator_key("other"), OperatorKey::Other);
}

/// Guards against using an incomplete or malformed load, and against ignoring a load without a slowness,
/// which is optional.
#[test]
fn incomplete_loads_are_ignored() {
    let read = |text: &str| {
        let mut headers = HeaderMap::new();
        headers.insert("x-ragworthub-server-load", text.parse().expect("a value"));
        read_load(&headers).map(|l| (l.running, l.waiting, l.slots, l.slowness))
    };
    assert_eq!(read("3,0,8"), Some((3, 0, 8, 100)));
    assert_eq!(read("3, 1, 8, 250"), Some((3, 1, 8, 250)));
    assert_eq!(read("3,0"), None);
    assert_eq!(read("a,b,c"), None);
}

proptest! {
    /// Guards against an encoding or decoding that loses or alters a record, or shifts its offset.
    #[test]
    fn records_round_trip(records in prop::collection::vec(("[a-z/]{1,20}", prop::collection::vec(any::<u8>(), 1..40)), 0..10)) {
        let pairs: Vec<(&str, &[u8])> = records.iter().map(|(key, value)| (key.as_str(), value.as_slice())).collect();
        let mut body = vec![0; 16];
        body.extend_from_slice(&encode_records(&pairs));
        let batch = decode_batch(Offset(7), body.into()).expect("a batch");
        prop_assert_eq!(batch.next.0, 7 + records.len() as u64);
        for (record, (key, value)) in batch.records.iter().zip(&records) {
            prop_assert_eq!(&record.key, key);
            prop_assert_eq!(record.value.as_deref(), Some(value.as_slice()));
        }
    }

    /// Guards against a malformed batch that ends the process. It may be rejected or decoded as records.
    #[test]
    fn malformed_batches_do_not_panic(body in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode_batch(Offset(0), Bytes::from(body));
    }
}

/// Replaces a part of the example configuration, and returns the findings of the check with their lines.
fn findings(from: &str, to: &str) -> Vec<String> {
    let text = CONFIGURATION.replacen(from, to, 1);
    assert_ne!(text, CONFIGURATION, "{from}");
    let decoded = decode_catalog(Offset(0), text.as_bytes()).expect("a configuration");
    let checked = decoded.catalog.check(Some(120_000_000)).into_iter();
    let checked = checked.map(|finding| format!("{}: {}", finding.entry, finding.text));
    decoded.faults.iter().map(ToString::to_string).chain(checked).collect()
}

/// Guards against a check that misses a kind of fault, or doesn't name its place.
#[test]
fn each_kind_of_fault_is_found() {
    for (from, to, named) in [
        ("\"2s\"", "2", "line 4, route placas: field timeout"),
        ("\"safe\"", "\"stream\"", "line 4, route placas: unknown kind"),
        (
            "\"/renovaciones/\"",
            "\"/placas/\"",
            "line 5, route renovaciones: it can never match: route placas",
        ),
        ("\"/renovaciones/\"", "\"/renovaciones\"", "start and end with a slash"),
        ("\"/renovaciones/\"", "\"/a?b/\"", "no path contains"),
        (
            "\"licencias.example\"",
            "\"licencias.example:80\"",
            "no host name without a port",
        ),
        (
            "\"service\": \"placas\"",
            "\"service\": \"plasca\"",
            "unknown service plasca",
        ),
        (
            "\"service\": \"placas\"",
            "\"service\": \"renovaciones\"",
            "service placas: no route names it",
        ),
        (
            "\"service\": \"placas\"",
            "\"traffic_split\": [{\"service\": \"placas\", \"weight\": 0}]",
            "no target has a weight above 0",
        ),
        (
            "\"service\": \"placas\"",
            "\"traffic_split\": [{\"service\": \"placas\", \"weight\": 1}, {\"service\": \"renovaciones\", \"weight\": 1}]",
            "it mixes services with and without keys",
        ),
        ("\"300ms\"", "\"3s\"", "below the target latency"),
        ("\"max_attempts\": 2", "\"max_attempts\": 20", "can't hold 20 attempts"),
        (
            "\"max_connections\": 110",
            "\"max_connections\": 0",
            "accept no connection",
        ),
        (
            "\"cold_per_s\": 14.0",
            "\"cold_per_s\": 0.2",
            "a cold server would get 0.2",
        ),
        ("67108864", "671088640", "limits: bodies of 671088640"),
        ("16384", "4096", "limits: heads of up to 8192"),
        (
            "\"limits\"",
            "\"tenants\": [{\"name\": \"a\", \"api_keys\": [\"k\"]}, {\"name\": \"b\", \"api_keys\": [\"k\"]}], \"limits\"",
            "tenant b: tenant a holds key number 1 too",
        ),
        (
            "\"limits\"",
            "\"tenants\": [{\"name\": \"a\", \"rate_per_s\": -1}], \"limits\"",
            "tenant a: the cap is not a number",
        ),
        (
            "\"limits\"",
            "\"tenants\": [{\"name\": \"a\", \"rate_per_s\": 5, \"burst\": 0}], \"limits\"",
            "burst below one request",
        ),
        (
            "\"limits\"",
            "\"tenants\": [{\"name\": \"a\"}], \"limits\"",
            "it has no key",
        ),
    ] {
        let found = findings(from, to);
        assert!(found.iter().any(|text| text.contains(named)), "{named}: {found:?}");
    }
}

/// Guards against a comparison that misses what a configuration changes for callers, or shows a key.
#[test]
fn changes_for_callers_are_described() {
    let with = |from: &str, to: &str, version: &str| {
        let text = CONFIGURATION.replace(from, to).replace("00000001", version);
        decode_with_key(Offset(0), text.as_bytes(), [0; 16])
            .expect("a configuration")
            .catalog
    };
    let tenants = |keys: &str| {
        format!(
            "\"tenants\": [{{\"name\": \"a\", \"api_keys\": [{keys}], \"rate_per_s\": 5, \"burst\": 5}}], \"limits\""
        )
    };
    let current = with("\"limits\"", &tenants("\"secret-1\", \"secret-2\""), "00000002");
    let same = with("\"limits\"", &tenants("\"secret-1\", \"secret-2\""), "00000003");
    assert!(compare(&current, &same).is_empty(), "{:?}", compare(&current, &same));
    let ended = compare(&current, &with("\"limits\"", &tenants("\"secret-1\""), "00000003"));
    assert_eq!(ended, ["1 keys of tenant a end"]);
    let moved = compare(&same, &with("/flotas/", "/flota/", "00000003")).join("\n");
    for text in [
        "never comes into force",
        "requests to licencias.example/flotas/ get 404",
        "requests to licencias.example/flota/ go to renovaciones instead of 404",
        "requests need no key",
    ] {
        assert!(moved.contains(text), "{text}: {moved}");
    }
    let slower = compare(&current, &with("\"400ms\"", "\"700ms\"", "00000003")).join("\n");
    assert!(slower.contains("requests to licencias.example/renovaciones/ are wanted within 700ms instead of 400ms"));
}

proptest! {
    /// Guards against input that ends the check, or a fault without its place.
    #[test]
    fn damaged_configurations_do_not_end_the_check(at in any::<prop::sample::Index>(), byte in any::<u8>(), cut in any::<bool>()) {
        let mut text = CONFIGURATION.as_bytes().to_vec();
        let at = at.index(text.len());
        if cut {
            text.truncate(at);
        } else {
            text[at] = byte;
        }
        if let Ok(decoded) = decode_catalog(Offset(0), &text) {
            decoded.catalog.check(Some(1));
            compare(&decoded.catalog, &decoded.catalog);
            prop_assert!(decoded.faults.iter().all(|fault| fault.line > 0 && !fault.entry.is_empty()));
        }
    }
}
