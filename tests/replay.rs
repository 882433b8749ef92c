//! Tests that a recording replays to the same actions, whatever happened in it, and that its summary equals the counts.

#[path = "common/core.rs"]
mod fixture;

use std::io::Cursor;
use std::sync::atomic::{AtomicUsize, Ordering};

use fixture::{calls, commands, listed};
use ironpaddle::api::{LoadReport, Outcome, ReplicaState};
use ironpaddle::core::{Call, CallEnd, Command, Core, DirectoryUpdate, ListedRunStore};
use ironpaddle::settings::SiteSettings;
use ironpaddle::trace::replay::{Replay, Report};
use ironpaddle::trace::writer::{Limits, TraceWriter};
use ironpaddle_trace::block::Block;
use ironpaddle_trace::file::{Reader, Source, Writer};
use ironpaddle_trace::keep::Job;
use ironpaddle_trace::record::{Action, Entry, Record};
use ironpaddle_trace::set::Set;
use ironpaddle_trace::summary::{summarise, Filter, Summary};
use serde_json::json;

/// The time at which each simulated day begins, in Unix milliseconds.
const BEGIN: f64 = 1_764_608_400_000.0;
const STORES: usize = 8;

fn site(aim: f64) -> SiteSettings {
    let class = |name: &str, repeat: &str| json!({"name": name, "aim_ms": aim, "deadline_ms": 4000.0, "repeat": repeat, "late_worth": 0.1});
    serde_json::from_value(json!({
        "balancers": 2,
        "caps": {"max_attempts": 3, "max_open": 120, "max_retry_after_ms": 2000.0, "may_cancel": true, "probes": true},
        "domain": {"cells": STORES, "width": 3, "shards": STORES, "least_share": [0.4, 1.0], "complete_from": [1.0, 1.0]},
        "request_classes": [class("search", "read_like"), class("entry", "non_idempotent")],
        "realms": [{"name": "vaal", "quota_per_s": 8.0}, {"name": "vaal-muon", "quota_per_s": 2.0}],
        "rules": {"cold_from": 0.3, "fall_multiple": 2.0, "overload_for_ms": 1000.0, "warm_within_ms": 16000.0},
        "tick_ms": 5.0,
    }))
    .unwrap()
}

fn list(random: &mut fastrand::Rng, now: f64) -> Vec<ListedRunStore> {
    let line = |store: usize| {
        let mut line = listed(&format!("s-{store}"), ReplicaState::Active, 0.0);
        line.replica.cell = store as u32;
        line.replica.started = (random.f64() < 0.1).then_some(now - random.f64() * 9000.0);
        if random.f64() < 0.05 {
            line.replica.state = ReplicaState::Draining;
        }
        line
    };
    (0..STORES).map(line).collect()
}

/// Plays a day with faults against a core that is recorded, and returns the recorded jobs and the core.
fn day(seed: u64, limits: Limits, mut intervene: impl FnMut(&mut Core, f64)) -> (Vec<Job>, Core) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut core = Core::new(&site(1000.0), seed).unwrap();
    let source = Source { aggregator: "n0".into(), started: BEGIN as u64, seed, ..Source::default() };
    core.set_trace_writer(BEGIN, Some(TraceWriter::new(source, limits, 0)));
    core.apply_directory_update(DirectoryUpdate::Cached(list(&mut random, BEGIN)));
    let (mut now, mut jobs, mut asked) = (BEGIN, Vec::new(), 0);
    let mut out: Vec<(f64, Call)> = Vec::new();
    for step in 0..4000 {
        now += 5.0 + random.f64() * if random.f64() < 0.01 { 200.0 } else { 0.5 };
        if random.f64() < 0.45 {
            let (class, parts) = if random.bool() { ("search", random.u32(1..6)) } else { ("entry", 1) };
            let mut ask = fixture::ask(&format!("c{asked}"), class, parts, 800.0 + random.f64() * 3000.0);
            ask.tenant = ["vaal", "vaal-muon", "unknown"].get(random.usize(..4)).map(ToString::to_string);
            ask.is_retry = random.f64() < 0.1;
            asked += 1;
            let no = core.take_in(now, ask).unwrap();
            if random.f64() < 0.02 {
                core.client_gone(now + 0.25, no);
            }
        }
        if random.f64() < 0.002 {
            core.note_invalid_request(now, "search");
        }
        if random.f64() < 0.004 {
            let news = list(&mut random, now);
            core.apply_directory_update(if random.bool() {
                DirectoryUpdate::Full(news)
            } else {
                DirectoryUpdate::Failed
            });
        }
        intervene(&mut core, now);
        core.step(now);
        let commands = commands(&mut core);
        for command in &commands {
            if let Command::Abandon { no, await_proof, .. } = command {
                out.retain(|(_, call)| call.no != *no);
                if *await_proof {
                    core.call_ended(now, *no, CallEnd::bare(Outcome::Cancelled));
                }
            }
        }
        for call in calls(&commands) {
            // Two run stores fail often, and one is slow.
            let slow = if &*call.run_store.0 == "s-2" { 900.0 } else { 60.0 };
            out.push((now + random.f64() * slow, call));
        }
        let due = |(at, call): &(f64, Call)| *at <= now || call.until <= now;
        let (ended, left): (Vec<_>, Vec<_>) = out.into_iter().partition(due);
        out = left;
        for (_, call) in ended {
            if call.until <= now {
                core.call_timed_out(now, call.no);
                continue;
            }
            let bad = matches!(&*call.run_store.0, "s-3" | "s-4") && step % 1000 > 500;
            let outcome = match random.u32(..if bad { 8 } else { 200 }) {
                0 => Outcome::Errored,
                1 => Outcome::Reset,
                2 => Outcome::Rejected,
                3 => Outcome::ConnectFailed,
                _ => Outcome::Completed,
            };
            let value = (outcome == Outcome::Completed).then(|| b"v"[..].into());
            let load = LoadReport {
                utilization: Some((random.f64() * 100.0).round() / 100.0),
                ..LoadReport::default()
            };
            core.call_ended(now, call.no, CallEnd { outcome, value, load: Some(load) });
        }
        core.trace_counters(now);
        jobs.extend(fetch(&mut core, now));
    }
    core.finish_trace(now);
    jobs.extend(fetch(&mut core, now));
    (jobs, core)
}

fn fetch(core: &mut Core, now: f64) -> Vec<Job> {
    let Some(trace_writer) = core.trace_writer() else { return Vec::new() };
    trace_writer.tick(now);
    std::iter::from_fn(|| trace_writer.next_job()).collect()
}

/// Writes jobs to segments, and returns their bytes.
fn segments(jobs: Vec<Job>) -> Vec<Vec<u8>> {
    let (mut made, mut writer): (Vec<Vec<u8>>, Option<Writer<Vec<u8>>>) = (Vec::new(), None);
    for job in jobs {
        match job {
            Job::Open(header, batch) => {
                made.extend(writer.take().map(|writer| writer.finish().unwrap()));
                let mut next = Writer::new(Vec::new(), &header).unwrap();
                next.add(0, batch).unwrap();
                writer = Some(next);
            }
            Job::Add(batch) => writer.as_mut().unwrap().add(0, batch).unwrap(),
            Job::Close => made.extend(writer.take().map(|writer| writer.finish().unwrap())),
        }
    }
    made
}

fn each(segments: &[Vec<u8>], mut visit: impl FnMut(&Block, &Entry)) {
    for segment in segments {
        let mut reader = Reader::open(Cursor::new(segment.as_slice())).unwrap();
        for no in 0..reader.blocks().len() {
            let block = reader.block(no).unwrap();
            block.entries.iter().for_each(|entry| visit(&block, entry));
        }
    }
}

fn replay(segments: &[Vec<u8>], other: Option<SiteSettings>) -> Report {
    let mut replay = Replay::new(other);
    each(segments, |block, entry| replay.take(block, entry));
    replay.report()
}

const LONG: Limits = Limits { bytes: u64::MAX, age: f64::INFINITY };

/// Writes segments to a folder of their own, and summarizes them as a set.
fn summary(segments: &[Vec<u8>]) -> Summary {
    static MADE: AtomicUsize = AtomicUsize::new(0);
    let no = MADE.fetch_add(1, Ordering::Relaxed);
    let dir = std::env::temp_dir().join(format!("ironpaddle-replay-{}-{no}", std::process::id()));
    std::fs::create_dir(&dir).unwrap();
    for (no, segment) in segments.iter().enumerate() {
        std::fs::write(dir.join(format!("{no}.iptrace")), segment).unwrap();
    }
    let mut set = Set::open(std::slice::from_ref(&dir)).unwrap();
    let all = (f64::NEG_INFINITY, f64::INFINITY);
    let summary = summarise(&mut set, all, &Filter::default());
    std::fs::remove_dir_all(dir).unwrap();
    summary
}

#[test]
fn a_day_replays_to_the_same_actions() {
    for seed in 0..4 {
        let (jobs, core) = day(seed, LONG, |_, _| ());
        let segments = segments(jobs);
        assert_eq!(segments.len(), 1);
        let report = replay(&segments, None);
        assert_eq!(report.difference, None, "seed {seed}");
        assert_eq!((report.checkpoints, report.steps, report.skipped), (1, 4000, 0));
        assert!(report.actions > 5000, "{report:?}");
        // The day has failures of each kind.
        let ends = core.counters.ends;
        assert!(ends[1] > 10 && ends[2] > 10 && ends[5] > 10 && ends[6] > 10, "{ends:?}");
    }
}

#[test]
fn each_segment_replays_by_itself_with_queries_in_flight() {
    let limits = Limits { age: 1500.0, ..LONG };
    let (jobs, _) = day(5, limits, |_, _| ());
    let segments = segments(jobs);
    assert!(segments.len() > 8, "{}", segments.len());
    let mut steps = 0;
    for segment in &segments {
        let report = replay(std::slice::from_ref(segment), None);
        assert_eq!((report.difference, report.checkpoints, report.skipped), (None, 1, 0));
        steps += report.steps;
    }
    assert_eq!(steps, 4000);
    // Later segments begin with queries in flight.
    let mut open = 0;
    each(&segments[1..], |block, entry| {
        if let (Record::Step(step), 0) = (&entry.record, open) {
            open += step.events.iter().filter_map(|event| event.query()).count();
            assert!(!block.names.is_empty());
        }
    });
    assert!(open > 0);
}

#[test]
fn other_settings_while_it_records_replay_too() {
    let mut steps = 0;
    let (jobs, _) = day(6, LONG, |core, _| {
        steps += 1;
        if steps % 700 == 0 {
            core.apply_settings(&site(600.0 + f64::from(steps))).unwrap();
        }
    });
    let report = replay(&segments(jobs), None);
    assert_eq!((report.difference, report.steps), (None, 4000));
}

#[test]
fn what_was_lost_is_told_and_replay_goes_on_at_the_next_checkpoint() {
    let mut steps = 0;
    let (jobs, core) = day(7, LONG, |core, now| {
        steps += 1;
        if steps == 1500 {
            core.trace_writer().unwrap().lost(now, now - 100.0, 40);
        }
    });
    let segments = segments(jobs);
    assert_eq!(segments.len(), 2);
    let report = replay(&segments, None);
    assert_eq!((report.difference, report.checkpoints), (None, 2));
    let mut lost = Vec::new();
    each(&segments, |_, entry| {
        if let Record::Loss(loss) = entry.record {
            lost.push(loss);
        }
    });
    let [loss] = lost[..] else { panic!("{lost:?}") };
    assert!(loss.records > 40 && loss.records < 2000, "{loss:?}");
    assert!(report.steps < 4000 && report.steps > 3500, "{}", report.steps);
    // The summary shows how many of the counted queries are missing from the trace.
    let summary = summary(&segments);
    let counted = &core.counters.classes["search"];
    let (service, missing) = (&summary.classes["search"], summary.processes[0].missing["search"]);
    assert!(missing[0] > 0, "{missing:?}");
    assert_eq!(service.answered as i64 + missing[0], counted.ok as i64);
    assert_eq!(service.refused as i64 + missing[1], counted.shed as i64);
    assert_eq!((service.failed + service.not_taken) as i64 + missing[2], counted.errors as i64);
}

#[test]
fn a_summary_equals_the_counts() {
    let (jobs, core) = day(8, Limits { age: 3000.0, ..LONG }, |_, _| ());
    let summary = summary(&segments(jobs));
    for (class, ends) in &core.counters.classes {
        let service = &summary.classes[&**class];
        assert_eq!((service.answered, service.refused), (ends.ok, ends.shed), "{class}");
        assert_eq!(service.failed + service.not_taken, ends.errors, "{class}");
    }
    let all =
        |of: fn(&ironpaddle_trace::summary::Service) -> u64| summary.classes.values().map(of).sum::<u64>();
    assert_eq!(all(|service| service.taken), core.counters.taken);
    assert_eq!(
        (all(|service| service.whole), all(|service| service.partial)),
        (core.counters.whole, core.counters.partial)
    );
    assert_eq!(all(|service| service.left), core.counters.clients_gone);
    assert_eq!(summary.open, core.gauges().active as u64);
    assert!(
        summary.processes[0].missing.is_empty() && summary.processes[0].ended && summary.troubles.is_empty()
    );
    let groups: u64 = summary.groups.values().map(|service| service.taken).sum();
    assert_eq!(groups, core.counters.taken);
    let completed: u64 = summary.run_stores.values().filter_map(|store| store.ends.get("completed")).sum();
    assert!(completed > 1000 && completed <= core.counters.ends[0]);
}

#[test]
fn a_changed_action_is_found_with_its_time_and_query() {
    let (jobs, _) = day(9, LONG, |_, _| ());
    let segments = segments(jobs);
    let (mut replay, mut changed) = (Replay::new(None), None);
    each(&segments, |block, entry| {
        let mut entry = entry.clone();
        if let (Record::Step(step), None, true) = (&mut entry.record, &changed, entry.at > BEGIN + 9000.0) {
            for action in &mut step.actions {
                if let (Action::Send { query, timeout, .. }, None) = (action, &changed) {
                    *timeout = ironpaddle_trace::num::Num::of(1.0);
                    changed = Some((entry.at, *query));
                }
            }
        }
        replay.take(block, &entry);
    });
    let (at, query) = changed.unwrap();
    let report = replay.report();
    let found = report.difference.unwrap();
    assert_eq!((found.at, found.query, report.differing), (at, Some(query), 1));
}

#[test]
fn under_other_settings_the_ends_are_compared() {
    let (jobs, _) = day(10, LONG, |_, _| ());
    let segments = segments(jobs);
    let same = replay(&segments, Some(site(1000.0)));
    assert!(same.verdicts.keys().all(|change| {
        let (before, after) = change.split_once(" -> ").unwrap();
        before == after
    }));
    let other = replay(&segments, Some(site(90.0)));
    assert!(other
        .verdicts
        .keys()
        .any(|change| change.ends_with("-> partial") || change.ends_with("-> refused")));
    assert_ne!(same.verdicts, other.verdicts);
}
