//! DNS-SD records as the source of the directory, and the replicated store of settings.

use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::{json, Value};

use crate::aggregator::Aggregator;
use crate::stand_in::{start_dns, Backends, Wire};

/// Returns the DNS-SD instance of a run store: name, port and texts.
fn instance(store: usize, at: SocketAddr, status: &str) -> (String, u16, Vec<String>) {
    (format!("s-{store}"), at.port(), vec![format!("group={store}"), format!("status={status}")])
}

#[test]
fn dns_sd_records_feed_the_directory() {
    let zone = Arc::new(Backends::default());
    let server = start_dns(&zone);
    let aggregator = Aggregator::start_with_config(Wire::OpenSearch, 2, |config, stores| {
        zone.change(|state| {
            state.zone = (0..2).map(|store| instance(store, stores[store], "ready")).collect();
        });
        config["discovery"] = Value::Null;
        config["known"] = json!({});
        config["dns_sd"] = json!({"server": server.to_string(), "service": "_run-store._tcp.test",
            "refresh_ms": 100});
    });
    let wait_for_refresh = || {
        let queries = zone.read(|state| state.dns_list_queries);
        // One query may be in progress, and the third begins after the answer to the second has been applied.
        zone.wait("three more queries", |state| state.dns_list_queries >= queries + 3);
    };
    wait_for_refresh();
    assert!(aggregator.ask("run-lookup", &[0, 1, 2, 3], 8000).is_whole());
    for (status, other) in [("draining", 1), ("ready", 0)] {
        let stores = &aggregator.stores;
        zone.change(|state| {
            state.zone = vec![instance(0, stores[0], status), instance(1, stores[1], "ready")];
            if other == 0 {
                state.zone.pop();
            }
        });
        wait_for_refresh();
        let before = aggregator.backends.read(|state| state.parts.len());
        assert!(aggregator.ask("run-lookup", &[0, 1, 2, 3], 8000).is_whole());
        let parts = aggregator.backends.read(|state| state.parts[before..].to_vec());
        assert!(parts.iter().all(|part| part.0 == other), "{status}: {parts:?}");
    }
    // An empty zone is taken for a fault, and the previous list stays in effect.
    zone.change(|state| state.zone.clear());
    aggregator.wait_for_log("no run store is listed");
    assert!(aggregator.ask("run-lookup", &[0], 8000).is_whole());
}

#[test]
fn a_reload_moves_the_queries_to_another_dns_server() {
    let zones = [Arc::new(Backends::default()), Arc::new(Backends::default())];
    let servers = zones.each_ref().map(start_dns);
    let aggregator = Aggregator::start_with_config(Wire::OpenSearch, 2, |config, stores| {
        for (zone, store) in zones.iter().zip(0..) {
            zone.change(|state| state.zone = vec![instance(store, stores[store], "ready")]);
        }
        config["discovery"] = Value::Null;
        config["known"] = json!({});
        // The interval is so long that only the reload can cause a query to the other server.
        config["dns_sd"] = json!({"server": servers[0].to_string(), "service": "_run-store._tcp.test",
            "refresh_ms": 3_600_000});
    });
    zones[0].wait("the first query", |state| state.dns_list_queries == 1);
    aggregator.reload(&aggregator.configuration(|config| {
        config["dns_sd"]["server"] = json!(servers[1].to_string());
        config["dns_sd"]["refresh_ms"] = json!(100);
    }));
    let ended = aggregator.wait_for_log("end dns");
    assert!(ended.contains("code=retired"), "{ended}");
    // The second query there begins after the answer to the first has been applied.
    zones[1].wait("two queries there", |state| state.dns_list_queries >= 2);
    assert!(aggregator.ask("run-lookup", &[0], 8000).is_whole());
    assert_eq!(aggregator.backends.read(|state| state.parts.last().map(|part| part.0)), Some(1));
}

/// Starts an aggregator with a replicated store, and returns it with the address of the store.
fn start_peer(
    name: &str,
    peers: &[String],
    version: u64,
    change: impl FnOnce(&mut Value),
) -> (Aggregator, String) {
    let aggregator = Aggregator::start_with_config(Wire::Frames, 1, |config, _| {
        config["name"] = json!(name);
        config["store"] = json!({"listen": "127.0.0.1:0", "peers": peers, "settings_version": version});
        change(config);
    });
    let store_address = aggregator.store_address.clone().unwrap();
    (aggregator, store_address)
}

#[test]
fn a_peer_without_settings_or_directory_gets_them_from_the_store() {
    let (first, store_address) = start_peer("first", &[], 3, |_| {});
    let (second, _) = start_peer("second", &[store_address], 0, |config| {
        config["settings"] = Value::Null;
        config["known"] = json!({});
        // No discovery answers on this port, so the list can come only from the peer.
        config["discovery"] = json!("127.0.0.1:9");
    });
    assert!(second.logged_at_start("settings of version 3 from first"));
    assert!(second.ask("run-lookup", &[0], 8000).is_whole());
    assert_eq!(
        first.backends.read(|state| state.parts.len()),
        1,
        "served by the run store that the first peer listed"
    );
}

#[test]
fn a_returning_peer_gets_the_highest_version_of_the_settings() {
    let (old, old_store) = start_peer("old", &[], 1, |_| {});
    let (new, new_store) = start_peer("new", &[old_store], 2, |_| {});
    assert!(new.logged_at_start("settings of version 2 from new"));
    drop(old);
    let (back, _) = start_peer("old", &[new_store], 1, |_| {});
    assert!(back.logged_at_start("settings of version 2 from new"));
}
