//! DNS-SD records as the source of the directory, with a server that is slow or fails.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::aggregator::Aggregator;
use crate::stand_in::{on_both_wires, DnsFault, DnsServer, Instance, Wire, A, PTR, SERVICE, SRV, TXT};

/// The time within which a change of the records is told (`docs/terms-audit.md`), after which a run store that is
/// removed or drains may get new parts for another 2 s, with the 50 ms by which limits on sockets are longer.
const NOTHING_NEW_AFTER: Duration = Duration::from_millis(6000 + 2000 + 50);
/// How much longer a run store is watched for new parts.
pub const WATCH_LONGER: Duration = Duration::from_millis(3000);
/// The delay of each answer of a slow server: half of the shortest time-out of a try.
pub const SLOW: Duration = Duration::from_millis(250);
/// What is not an answer about the records of a name.
pub const FAILURES: [DnsFault; 6] = [
    DnsFault::SERVFAIL,
    DnsFault::REFUSED,
    DnsFault::Silence,
    DnsFault::Garbage,
    DnsFault::Referral,
    DnsFault::CutOverTcp,
];
/// The text of the log line on a list without run stores, which no cause of a refusal has.
pub const EMPTY_LIST_LOG: &str = "the list of run stores is empty";
/// The refresh time of `deploy/operator.json`.
pub const REFRESH_MS: u64 = 2000;

fn instance(store: usize, at: SocketAddr, status: &str) -> Instance {
    let texts = vec![format!("group={store}"), format!("status={status}")];
    Instance { name: format!("s-{store}"), port: at.port(), texts }
}

/// Starts a DNS server and an aggregator that uses it, with some listed run stores.
pub fn start(wire: Wire, stores: usize, refresh_ms: u64) -> (Aggregator, Arc<DnsServer>) {
    let server = DnsServer::start();
    let aggregator = Aggregator::start_with_config(wire, stores, |config, at| {
        server.change(|zone| zone.instances = ready(at));
        use_dns(config, &server, refresh_ms);
    });
    (aggregator, server)
}

pub fn ready(stores: &[SocketAddr]) -> Vec<Instance> {
    stores.iter().enumerate().map(|(store, at)| instance(store, *at, "ready")).collect()
}

/// Makes the server the only source of the directory.
pub fn use_dns(config: &mut Value, server: &DnsServer, refresh_ms: u64) {
    config["discovery"] = Value::Null;
    config["known"] = json!({});
    config["dns_sd"] =
        json!({"server": server.address.to_string(), "service": SERVICE, "refresh_ms": refresh_ms});
}

/// Waits until the present records are in effect, with a server that answers at once.
pub fn wait_for_refresh(server: &DnsServer) {
    // One round may be in progress. The lookups of the second one have ended when the fifth begins, 300 ms later.
    server.wait_for_questions(PTR, 5);
}

/// Waits until queries of all shards are served.
pub fn wait_until_served(aggregator: &Aggregator) {
    let started = Instant::now();
    while aggregator.ask("run-lookup", &[0, 1, 2, 3], 8000).status != 200 {
        assert!(started.elapsed() < Duration::from_secs(30), "never served");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Returns the run stores that got the parts of a query of all shards, which has to be served.
pub fn used_run_stores(aggregator: &Aggregator) -> Vec<usize> {
    let before = aggregator.backends.read(|state| state.parts.len());
    let answer = aggregator.ask("run-lookup", &[0, 1, 2, 3], 8000);
    assert!(answer.is_whole(), "{answer:?}");
    aggregator.backends.read(|state| state.parts[before..].iter().map(|part| part.0).collect())
}

/// Sends queries for some time.
pub fn send_queries_for(aggregator: &Aggregator, span: Duration) {
    let started = Instant::now();
    while started.elapsed() < span {
        aggregator.ask("run-lookup", &[0, 1, 2, 3], 8000);
        thread::sleep(Duration::from_millis(10));
    }
}

/// Waits until a run store gets parts.
pub fn wait_until_used(aggregator: &Aggregator, store: usize) {
    let started = Instant::now();
    while !used_run_stores(aggregator).contains(&store) {
        assert!(started.elapsed() < Duration::from_secs(30), "run store {store} never got a part");
    }
}

/// Returns how long after `since` a run store got its last part; `None` if it got none before or after.
pub fn last_part_after(aggregator: &Aggregator, store: usize, since: Instant) -> Option<Duration> {
    aggregator.backends.read(|state| {
        let arrived = state.parts.iter().zip(&state.arrived_at).filter(|(part, _)| part.0 == store);
        let times: Vec<Instant> = arrived.map(|(_, at)| *at).collect();
        assert!(times.iter().any(|at| *at < since), "run store {store} never got a part");
        times.iter().max().copied().and_then(|last| last.checked_duration_since(since))
    })
}

/// Changes the records once the server is slow, and asserts that the first run store gets nothing new in time.
fn assert_relieved_in_time(
    wire: Wire,
    aggregator: &Aggregator,
    server: &DnsServer,
    delay: Duration,
    change: fn(&mut Vec<Instance>),
) {
    wait_until_used(aggregator, 0);
    server.change(|zone| zone.delay = delay);
    // The change comes in the middle of a round.
    server.wait_for_questions(PTR, 2);
    server.wait_for_questions(TXT, 3);
    let changed_at = Instant::now();
    server.change(|zone| change(&mut zone.instances));
    send_queries_for(aggregator, NOTHING_NEW_AFTER + WATCH_LONGER);
    if let Some(last) = last_part_after(aggregator, 0, changed_at) {
        assert!(last <= NOTHING_NEW_AFTER, "{wire:?}, {delay:?}: a part came {last:?} after the change");
    }
}

#[test]
fn dns_sd_records_feed_the_directory() {
    on_both_wires(|wire| {
        let (aggregator, server) = start(wire, 2, 100);
        wait_until_served(&aggregator);
        for (status, other) in [("draining", 1), ("ready", 0)] {
            let stores = &aggregator.stores;
            server.change(|zone| {
                zone.instances = vec![instance(0, stores[0], status), instance(1, stores[1], "ready")];
                if other == 0 {
                    zone.instances.pop();
                }
            });
            wait_for_refresh(&server);
            assert_eq!(used_run_stores(&aggregator), [other; 4], "{wire:?}: {status}");
        }
        // An empty zone is a list without run stores, as any other list.
        server.change(|zone| zone.instances.clear());
        aggregator.wait_for_log(EMPTY_LIST_LOG);
        assert!(aggregator.ask("run-lookup", &[0], 8000).is_refused());
    });
}

#[test]
fn a_reload_moves_the_queries_to_another_dns_server() {
    on_both_wires(|wire| {
        let servers = [DnsServer::start(), DnsServer::start()];
        let aggregator = Aggregator::start_with_config(wire, 2, |config, stores| {
            for (store, server) in servers.iter().enumerate() {
                server.change(|zone| zone.instances = vec![instance(store, stores[store], "ready")]);
            }
            // The interval is so long that only the reload can cause a query to the other server.
            use_dns(config, &servers[0], 3_600_000);
        });
        wait_until_served(&aggregator);
        assert_eq!(servers[0].read(|zone| zone.count(PTR)), 1);
        aggregator.reload(&aggregator.configuration(|config| {
            config["dns_sd"]["server"] = json!(servers[1].address.to_string());
            config["dns_sd"]["refresh_ms"] = json!(100);
        }));
        let ended = aggregator.wait_for_log("end dns");
        assert!(ended.contains("code=retired"), "{ended}");
        wait_for_refresh(&servers[1]);
        assert_eq!(used_run_stores(&aggregator), [1; 4], "{wire:?}");
    });
}

/// Guards against removals that take effect only after two rounds of queries, one after the other (review/3).
#[test]
fn a_removed_run_store_gets_nothing_new_although_each_dns_answer_is_slow() {
    on_both_wires(|wire| {
        let (aggregator, server) = start(wire, 12, REFRESH_MS);
        wait_until_served(&aggregator);
        assert_relieved_in_time(wire, &aggregator, &server, SLOW, |instances| {
            instances.remove(0);
        });
    });
}

/// Guards against removals that wait until the records of all of many instances have been queried.
#[test]
fn a_removed_run_store_of_200_gets_nothing_new_although_each_dns_answer_is_slow() {
    on_both_wires(|wire| {
        let (aggregator, server) = start(wire, 3, REFRESH_MS);
        let others = (3..200).map(|store| instance(store, aggregator.stores[0], "draining"));
        server.change(|zone| zone.instances.extend(others));
        wait_until_served(&aggregator);
        server.wait_for_questions(PTR, 2);
        assert_relieved_in_time(wire, &aggregator, &server, SLOW, |instances| {
            instances.remove(0);
        });
    });
}

/// Lists run stores that drain beside the three of the aggregator, slows the server down and removes a run store.
fn remove_with_delay(wire: Wire, instances: usize, delay: Duration) {
    let (aggregator, server) = start(wire, 3, REFRESH_MS);
    let others = (3..instances).map(|store| instance(store, aggregator.stores[0], "draining"));
    server.change(|zone| zone.instances.extend(others));
    wait_until_served(&aggregator);
    server.wait_for_questions(PTR, 2);
    assert_relieved_in_time(wire, &aggregator, &server, delay, |instances| {
        instances.remove(0);
    });
}

/// Guards against repeated queries that keep a server busy which needs longer than one try for each answer.
#[test]
fn a_removed_run_store_gets_nothing_new_although_each_dns_answer_needs_700_ms() {
    on_both_wires(|wire| {
        thread::scope(|scope| {
            for instances in [12, 200] {
                scope.spawn(move || remove_with_delay(wire, instances, Duration::from_millis(700)));
            }
        });
    });
}

/// Guards against the same at the longest delay that the removal allows for beside the refresh time.
#[test]
fn a_removed_run_store_gets_nothing_new_although_each_dns_answer_needs_1200_ms() {
    on_both_wires(|wire| remove_with_delay(wire, 12, Duration::from_millis(1200)));
}

/// Guards against drains that take effect only after two rounds of queries, one after the other.
#[test]
fn a_run_store_drained_by_txt_gets_nothing_new_although_each_dns_answer_is_slow() {
    on_both_wires(|wire| {
        let (aggregator, server) = start(wire, 12, REFRESH_MS);
        wait_until_served(&aggregator);
        assert_relieved_in_time(wire, &aggregator, &server, SLOW, |instances| {
            instances[0].texts[1] = "status=draining".into();
        });
    });
}

/// Guards against a new address that takes effect only with the answers about all other instances.
#[test]
fn a_run_store_that_moves_is_used_at_its_new_address_while_others_fail() {
    on_both_wires(|wire| {
        let (aggregator, server) = start(wire, 3, 100);
        wait_until_served(&aggregator);
        // Run store 2 is listed no longer, and the first one moves to its address.
        server.change(|zone| {
            zone.instances.truncate(2);
            zone.instances[0].port = aggregator.stores[2].port();
            for record_type in [SRV, TXT] {
                zone.faults.insert(("s-1".into(), record_type), DnsFault::SERVFAIL);
            }
        });
        wait_for_refresh(&server);
        let used: Vec<usize> = (0..10).flat_map(|_| used_run_stores(&aggregator)).collect();
        assert!(used.contains(&2) && !used.contains(&0), "{wire:?}: {used:?}");
    });
}

/// Guards against one name whose query fails holding up the news about all others, or losing its run store.
#[test]
fn a_failed_query_for_one_instance_delays_no_news_and_keeps_its_run_store() {
    let questions = [("s-1", SRV), ("s-1", TXT), ("host-s-1", A)];
    let play = |wire: Wire, fault: DnsFault, (label, record_type): (&str, u8)| {
        let (aggregator, server) = start(wire, 3, 100);
        wait_until_served(&aggregator);
        wait_for_refresh(&server);
        server.change(|zone| {
            zone.faults.insert((label.into(), record_type), fault);
        });
        wait_for_refresh(&server);
        // One run store is removed, then another one drains.
        server.change(|zone| zone.instances.retain(|instance| instance.name != "s-0"));
        wait_for_refresh(&server);
        let used: Vec<usize> = (0..10).flat_map(|_| used_run_stores(&aggregator)).collect();
        assert!(!used.contains(&0) && used.contains(&1), "{wire:?}, {fault:?} for {label}: {used:?}");
        server.change(|zone| zone.instances[1].texts[1] = "status=draining".into());
        wait_for_refresh(&server);
        assert_eq!(used_run_stores(&aggregator), [1; 4], "{wire:?}, {fault:?} for {label}");
    };
    on_both_wires(|wire| {
        for fault in FAILURES {
            thread::scope(|scope| {
                for question in questions {
                    scope.spawn(move || play(wire, fault, question));
                }
            });
        }
    });
}

/// Guards against lookups that wait for time-outs delaying the drain of a run store that is answered for.
#[test]
fn names_that_are_never_answered_delay_no_drain_of_others() {
    on_both_wires(|wire| {
        let (aggregator, server) = start(wire, 12, REFRESH_MS);
        wait_until_used(&aggregator, 0);
        server.change(|zone| {
            for store in 3..12 {
                for label in [format!("s-{store}"), format!("host-s-{store}")] {
                    let questions =
                        [A, SRV, TXT].map(|record_type| ((label.clone(), record_type), DnsFault::Silence));
                    zone.faults.extend(questions);
                }
            }
        });
        server.wait_for_questions(PTR, 2);
        let changed_at = Instant::now();
        server.change(|zone| zone.instances[0].texts[1] = "status=draining".into());
        send_queries_for(&aggregator, NOTHING_NEW_AFTER + WATCH_LONGER);
        if let Some(last) = last_part_after(&aggregator, 0, changed_at) {
            assert!(last <= NOTHING_NEW_AFTER, "{wire:?}: a part came {last:?} after the drain");
        }
        assert!(used_run_stores(&aggregator).len() == 4, "{wire:?}: the others stay in use");
    });
}

/// Guards against a server that needs longer than one try of a query, so that each answer is to an earlier try.
#[test]
fn answers_to_earlier_tries_of_a_query_count() {
    on_both_wires(|wire| {
        let server = DnsServer::start();
        server.change(|zone| zone.delay = Duration::from_millis(700));
        let aggregator = Aggregator::start_with_config(wire, 2, |config, at| {
            server.change(|zone| zone.instances = ready(at));
            use_dns(config, &server, REFRESH_MS);
        });
        wait_until_served(&aggregator);
        wait_until_used(&aggregator, 1);
        let removed_at = Instant::now();
        server.change(|zone| zone.instances.truncate(1));
        send_queries_for(&aggregator, NOTHING_NEW_AFTER + WATCH_LONGER);
        if let Some(last) = last_part_after(&aggregator, 1, removed_at) {
            assert!(last <= NOTHING_NEW_AFTER, "{wire:?}: a part came {last:?} after the removal");
        }
    });
}

/// Guards against a name that failed once and is not queried again before the next round.
#[test]
fn a_failed_query_is_repeated_before_the_next_round() {
    on_both_wires(|wire| {
        let server = DnsServer::start();
        let aggregator = Aggregator::start_with_config(wire, 1, |config, at| {
            server.change(|zone| {
                zone.instances = ready(at);
                zone.faults.insert(("s-0".into(), SRV), DnsFault::SERVFAIL);
            });
            use_dns(config, &server, 3_600_000);
        });
        server.wait_for_questions(SRV, 2);
        server.change(|zone| zone.faults.clear());
        wait_until_served(&aggregator);
        assert_eq!(server.read(|zone| zone.count(PTR)), 1, "{wire:?}");
    });
}
