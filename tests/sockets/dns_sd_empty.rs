//! DNS-SD answers without records, and answers that are none.

use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::aggregator::{read_answer, Aggregator};
use crate::dns_sd::{
    last_part_after, ready, send_queries_for, start, use_dns, used_run_stores, wait_for_refresh,
    wait_until_served, wait_until_used, EMPTY_LIST_LOG, FAILURES, REFRESH_MS, SLOW, WATCH_LONGER,
};
use crate::stand_in::{on_both_wires, DnsFault, DnsServer, Wire, PTR, SRV, TXT};

/// The time within which a change of the records takes effect.
const TOLD_WITHIN: Duration = Duration::from_millis(6000);
/// How long after an answer new parts may still be sent to a run store that is gone.
const NOTHING_NEW_AFTER: Duration = Duration::from_millis(2000 + 50);

/// Asserts that a query is refused before its aim, with advice, and that no run store gets a part of it.
#[track_caller]
fn assert_refused_at_once(wire: Wire, aggregator: &Aggregator) {
    let before = aggregator.backends.read(|state| state.parts.len());
    let asked_at = Instant::now();
    let answer = aggregator.ask("run-lookup", &[0, 1], 8000);
    assert!(answer.is_refused() && answer.head.contains("retry-after"), "{wire:?}: {answer:?}");
    assert!(asked_at.elapsed() < Duration::from_millis(2000), "{wire:?}: {:?}", asked_at.elapsed());
    assert_eq!(aggregator.backends.read(|state| state.parts.len()), before, "{wire:?}");
}

/// Guards against run stores that stay in use after all records were removed (review/9).
#[test]
fn run_stores_whose_records_are_all_removed_get_nothing_new() {
    on_both_wires(|wire| {
        let (aggregator, server) = start(wire, 3, REFRESH_MS);
        wait_until_used(&aggregator, 0);
        server.change(|zone| zone.instances.clear());
        server.wait_for_questions(PTR, 1);
        // Answered at once, so that it is told from now on.
        let told_at = Instant::now();
        send_queries_for(&aggregator, NOTHING_NEW_AFTER + WATCH_LONGER);
        if let Some(last) = last_part_after(&aggregator, 0, told_at) {
            assert!(last <= NOTHING_NEW_AFTER, "{wire:?}: a part came {last:?} after the answer");
        }
        assert_refused_at_once(wire, &aggregator);
    });
}

/// Guards against queries that are given up at a run store in the middle of their parts, as its records are gone.
#[test]
fn parts_in_progress_are_answered_after_all_records_were_removed() {
    on_both_wires(|wire| {
        let (aggregator, server) = start(wire, 1, 100);
        // The usual time of a part is known, so that it is not given up.
        aggregator.backends.change(|state| state.service_time = Duration::from_millis(400));
        for _ in 0..5 {
            wait_until_served(&aggregator);
        }
        let before = aggregator.backends.read(|state| state.parts.len());
        let mut in_progress = aggregator.send_query("run-lookup", &[0, 1], 9000);
        aggregator.backends.wait("the parts", |state| state.parts.len() == before + 2);
        server.change(|zone| zone.instances.clear());
        aggregator.wait_for_log(EMPTY_LIST_LOG);
        assert_refused_at_once(wire, &aggregator);
        let answer = read_answer(&mut in_progress);
        assert!(answer.is_whole(), "{wire:?}: {answer:?}");
    });
}

/// Guards against service that does not return in time with the records, although each answer is slow.
#[test]
fn service_returns_with_the_records() {
    on_both_wires(|wire| {
        let (aggregator, server) = start(wire, 3, REFRESH_MS);
        wait_until_served(&aggregator);
        let instances = server.read(|zone| zone.instances.clone());
        server.change(|zone| {
            zone.instances.clear();
            zone.delay = SLOW;
        });
        aggregator.wait_for_log(EMPTY_LIST_LOG);
        assert_refused_at_once(wire, &aggregator);
        let back_at = Instant::now();
        server.change(|zone| zone.instances = instances);
        wait_until_served(&aggregator);
        assert!(back_at.elapsed() <= TOLD_WITHIN, "{wire:?}: served after {:?}", back_at.elapsed());
    });
}

/// Guards against an answer that fails being taken for a list without run stores.
#[test]
fn a_failed_query_for_the_names_keeps_the_list() {
    on_both_wires(|wire| {
        thread::scope(|scope| {
            for fault in FAILURES {
                scope.spawn(move || {
                    let (aggregator, server) = start(wire, 2, 100);
                    wait_until_used(&aggregator, 1);
                    wait_for_refresh(&server);
                    server.change(|zone| {
                        zone.faults.insert(("_run-store".into(), PTR), fault);
                    });
                    server.wait_for_questions(PTR, 3);
                    assert_eq!(used_run_stores(&aggregator).len(), 4, "{wire:?}, {fault:?}");
                    // Drains are told meanwhile.
                    server.change(|zone| zone.instances[0].texts[1] = "status=draining".into());
                    server.wait_for_questions(TXT, 5);
                    assert_eq!(used_run_stores(&aggregator), [1; 4], "{wire:?}, {fault:?}");
                    // The first list after the failure is empty.
                    server.change(|zone| {
                        zone.faults.clear();
                        zone.instances.clear();
                    });
                    aggregator.wait_for_log(EMPTY_LIST_LOG);
                    assert_refused_at_once(wire, &aggregator);
                });
            }
        });
    });
}

/// Guards against names without records keeping their run stores, and against failed answers removing them.
#[test]
fn names_without_records_are_gone_and_names_without_an_answer_stay() {
    on_both_wires(|wire| {
        let (aggregator, server) = start(wire, 2, 100);
        wait_until_used(&aggregator, 1);
        let set_all = |fault: Option<DnsFault>| {
            server.change(|zone| {
                zone.faults.clear();
                let questions = [("s-0", SRV), ("s-1", SRV), ("s-0", TXT), ("s-1", TXT)];
                for (label, record_type) in questions.into_iter().filter(|_| fault.is_some()) {
                    zone.faults.extend(fault.map(|fault| ((label.into(), record_type), fault)));
                }
            });
            wait_for_refresh(&server);
        };
        set_all(Some(DnsFault::SERVFAIL));
        assert_eq!(used_run_stores(&aggregator).len(), 4, "{wire:?}");
        set_all(Some(DnsFault::NXDOMAIN));
        assert_refused_at_once(wire, &aggregator);
        // What is gone does not come back by a failure.
        set_all(Some(DnsFault::SERVFAIL));
        assert_refused_at_once(wire, &aggregator);
        set_all(None);
        assert_eq!(used_run_stores(&aggregator).len(), 4, "{wire:?}");
    });
}

/// Guards against an old list that outlives an empty first list: after a start, a reload and a handover.
#[test]
fn an_empty_first_list_replaces_the_one_that_was_known() {
    on_both_wires(|wire| {
        let server = DnsServer::start();
        // Until the first answer, the known list is in effect.
        server.change(|zone| {
            zone.faults.insert(("_run-store".into(), PTR), DnsFault::SERVFAIL);
        });
        let aggregator = Aggregator::start_with_config(wire, 1, |config, _| {
            let known = config["known"].clone();
            use_dns(config, &server, 100);
            config["known"] = known;
        });
        assert!(aggregator.ask("run-lookup", &[0], 8000).is_whole(), "{wire:?}");
        server.change(|zone| zone.faults.clear());
        aggregator.wait_for_log(EMPTY_LIST_LOG);
        assert_refused_at_once(wire, &aggregator);

        server.change(|zone| zone.instances = ready(&aggregator.stores));
        wait_until_served(&aggregator);
        let empty = DnsServer::start();
        aggregator.reload(&aggregator.configuration(|config| {
            config["dns_sd"]["server"] = json!(empty.address.to_string());
        }));
        aggregator.wait_for_log(EMPTY_LIST_LOG);
        assert_refused_at_once(wire, &aggregator);

        empty.change(|zone| zone.instances = ready(&aggregator.stores));
        wait_until_served(&aggregator);
        empty.change(|zone| {
            zone.faults.insert(("_run-store".into(), PTR), DnsFault::SERVFAIL);
        });
        let successor = aggregator.start_successor();
        wait_until_served(&successor);
        empty.change(|zone| {
            zone.faults.clear();
            zone.instances.clear();
        });
        successor.wait_for_log(EMPTY_LIST_LOG);
        assert_refused_at_once(wire, &successor);
    });
}
