//! The replicated store of settings and of the last directory.

use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::aggregator::{endpoint, Aggregator};
use crate::stand_in::{on_both_wires, Wire};

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

/// Returns whether an aggregator whose discovery does not answer has no run store. It refuses a query at the deadline, or
/// fails it if the machine is busy.
fn has_no_list(aggregator: &Aggregator) -> bool {
    aggregator.ask("run-lookup", &[0], 300).body.contains("no run store is listed")
}

/// Guards against an old list in the store that outlives the empty one: because that one is not saved, or because a
/// peer that starts with the old one saves it anew.
#[test]
fn a_peer_starts_with_the_empty_list_of_the_store() {
    on_both_wires(|wire| {
        let start = |name: &str, peers: Vec<String>, is_first: bool| {
            Aggregator::start_with_config(wire, 1, |config, _| {
                config["name"] = json!(name);
                config["store"] = json!({"listen": "127.0.0.1:0", "peers": peers, "settings_version": 1});
                if !is_first {
                    config["known"] = json!({});
                    // No discovery answers on this port, so the list can come only from the peer.
                    config["discovery"] = json!("127.0.0.1:9");
                }
            })
        };
        let first = start("first", Vec::new(), true);
        let peer = |name: &str| start(name, first.store_address.iter().cloned().collect(), false);
        // This one keeps the old list, as it cannot ask for another.
        let second = peer("second");
        assert!(second.ask("run-lookup", &[0], 8000).is_whole(), "{wire:?}");
        let gone = endpoint(0, first.stores[0], "gone", 0);
        first.backends.publish_and_wait(json!([gone]));
        let emptied_at = Instant::now();
        while !has_no_list(&peer("third")) {
            assert!(emptied_at.elapsed() < Duration::from_secs(10), "{wire:?}: the old list is still there");
        }
        // It stays empty after the peers that hold the old list have had time to save it.
        std::thread::sleep(Duration::from_millis(1500));
        assert!(has_no_list(&peer("fourth")), "{wire:?}");
    });
}
