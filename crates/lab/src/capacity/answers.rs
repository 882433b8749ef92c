//! The tables that answer the questions of the page, and the table of gaps, ordered by how far each exceeds its limit.

use ironpaddle::api::ColdStartRule;
use ironpaddle::asking::MAX_LIST_DELAY;

use super::fit::Figure;
use super::number::{number, percent};
use super::ramp::{self, Sender};
use super::roles::PARTS;
use super::sizes::{whole_list_module, Sizes};
use super::subset::{self, Choice, Region, SubsetResult};
use super::{assumed_row, describe_bases, row, table, Block};

/// The header of a table of figures.
const HEADER: [&str; 3] = ["what", "figure", "rests on"];
/// The name of the subset choice that the page proposes.
const CHOSEN: &str = "chosen holders";

/// Returns the tables.
pub fn blocks(sizes: &Sizes) -> Vec<Block> {
    let subset_results = subset_results(sizes);
    let cold_starts = cold_starts(sizes);
    vec![
        Block { name: "part", text: table(&HEADER, &part(sizes)) },
        Block { name: "in-flight", text: table(&HEADER, &in_flight(sizes)) },
        Block { name: "connections", text: table(&HEADER, &connections(sizes)) },
        Block { name: "subsets", text: subsets(&subset_results) },
        Block { name: "list", text: table(&HEADER, &list(sizes)) },
        Block { name: "whole-list", text: table(&HEADER, &whole_list(sizes)) },
        Block { name: "cold", text: cold(sizes, &cold_starts) },
        Block { name: "faults", text: faults(sizes) },
        Block { name: "tail", text: table(&HEADER, &tail(sizes)) },
        Block { name: "missing", text: missing(sizes, &subset_results, &cold_starts) },
    ]
}

fn part(s: &Sizes) -> Vec<Vec<String>> {
    let mut rows = vec![
        assumed_row("parts of an aggregator", s.parts, "a second"),
        assumed_row("one core for each part", 1e6 / s.parts, "us"),
    ];
    for (what, series) in PARTS {
        let cores = s.part_cores(series);
        let each = cores.as_ref().map(|cores| cores.times(1e6 / s.parts));
        rows.push(row(&format!("a part at that rate, {what}"), each.as_ref(), "us"));
        rows.push(row("that is, of an aggregator", cores.as_ref(), "cores"));
        let more = cores.as_ref().map(|cores| cores.times(s.assumptions.aggregators));
        rows.push(row("aggregators of one thread for the whole load", more.as_ref(), "aggregators"));
    }
    for (what, series) in [("build before", "query-cpu-before"), ("now", "query-cpu-now")] {
        let query = s
            .slopes
            .at(series, s.assumptions.parts_per_query)
            .map(|query| query.times(1.0 / s.assumptions.parts_per_query));
        rows.push(row(
            &format!("a part of a query of so many, at 2,000 parts a second, {what}"),
            query.as_ref(),
            "us",
        ));
    }
    for (what, series) in [("build before", "part-cpu-by-stores-before"), ("now", "part-cpu-by-stores-now")] {
        let each = s.slopes.at(series, s.assumptions.run_stores);
        rows.push(row(
            &format!("a part with all run stores listed, 100 in flight, {what}"),
            each.as_ref(),
            "us",
        ));
    }
    let before = s.slopes.at("step-before", s.assumptions.run_stores * s.in_flight);
    rows.push(row(
        "of which the module: a step in which one comes and one ends, build before",
        before.as_ref(),
        "us",
    ));
    let now = s.slopes.at("module_step_by_in_flight_at_57000", s.in_flight);
    rows.push(row("the same, now, all run stores", now.as_ref(), "us"));
    rows
}

fn in_flight(s: &Sizes) -> Vec<Vec<String>> {
    let most = s.parts * s.assumptions.wanted_ms / 1000.0;
    let stores = s.assumptions.run_stores;
    vec![
        assumed_row("parts in flight, at the mean time of a part", s.in_flight, "parts"),
        assumed_row("parts in flight, if each took the wanted time", most, "parts"),
        assumed_row("open queries, if each takes the wanted time", s.open_queries, "queries"),
        assumed_row("a tick's share of control", tick_limit(s), "us"),
        row("a quiet tick, build before", s.tick_before(stores, s.in_flight).as_ref(), "us"),
        row(
            "a quiet tick, build before, 100 in flight",
            s.slopes.at("quiet-tick-at-100-before", stores).as_ref(),
            "us",
        ),
        row(
            "the region's run stores alone, build before",
            s.tick_before(s.relevant_entries, s.in_flight).as_ref(),
            "us",
        ),
        row("a quiet tick, now", s.tick_now(s.in_flight).as_ref(), "us"),
        row("a quiet tick, now, if each part took the wanted time", s.tick_now(most).as_ref(), "us"),
    ]
}

/// Returns the CPU time that a tick may take, in microseconds.
fn tick_limit(s: &Sizes) -> f64 {
    s.assumptions.tick_ms * 1000.0 * s.assumptions.control_core
}

fn connections(s: &Sizes) -> Vec<Vec<String>> {
    let (a, all) = (s.assumptions, s.assumptions.aggregators * s.assumptions.run_stores);
    let holders = |count: f64| s.blocks * count;
    let memory = |what: &str, count: f64| {
        let each = s.slopes.slope_of("memory-by-connections", count);
        row(what, each.map(|each| each.times(count)).as_ref(), "MB")
    };
    vec![
        assumed_row("all to all", all, "connections"),
        assumed_row("all to all, of an aggregator", a.run_stores, "connections"),
        assumed_row("all to all, of a run store", a.aggregators, "connections"),
        assumed_row("by region, of an aggregator", s.region_stores, "connections"),
        assumed_row("by region, of a run store", s.region_aggregators, "connections"),
        assumed_row("by region, in all", all / a.regions, "connections"),
        assumed_row(
            "by zone, of an aggregator (a zone does not hold every block)",
            a.run_stores / a.zones,
            "connections",
        ),
        assumed_row("one holder of each block, of an aggregator", holders(1.0), "connections"),
        assumed_row("chosen holders of each block, of an aggregator", s.connections, "connections"),
        assumed_row("chosen holders of each block, of a run store", s.senders, "connections"),
        assumed_row("chosen holders of each block, in all", s.connections * a.aggregators, "connections"),
        memory("memory of an aggregator's connections, all to all", a.run_stores),
        memory("the same, chosen holders", s.connections),
    ]
}

/// A simulated subset choice: its name, the choice, the region and the result.
type SimulatedSubset = (&'static str, Choice, Region, SubsetResult);

fn subset_results(s: &Sizes) -> Vec<SimulatedSubset> {
    let (chosen, holders) = (s.assumptions.chosen_holders, s.assumptions.holders);
    let choices = [
        ("one holder", 1.0, false, holders, 2),
        ("one holder, own zone first", 1.0, true, holders, 2),
        (CHOSEN, chosen, false, holders, 2),
        (CHOSEN, chosen, false, holders, 3),
        ("all holders", holders, false, holders, 2),
        ("chosen holders, where a block has one more", chosen, false, holders + 1.0, 2),
    ];
    let simulate = |(name, chosen, own_zone, holders, zones): (&'static str, f64, bool, f64, usize)| {
        let choice = Choice { chosen: chosen as usize, own_zone };
        let region = Region {
            aggregators: s.region_aggregators as usize,
            blocks: (s.region_stores / holders) as usize,
            holders: holders as usize,
            zones,
        };
        (name, choice, region, subset::simulate(&region, choice, s.assumptions.seed as u64))
    };
    choices.into_iter().map(simulate).collect()
}

fn subsets(subset_results: &[SimulatedSubset]) -> String {
    let head = [
        "each aggregator connects to",
        "of a block's holders",
        "zones of the region",
        "connections of an aggregator",
        "of a run store, mean",
        "most",
        "load, standard deviation",
        "most load, of the mean",
        "a zone lost: mean load of what is left",
        "most load",
        "connections made anew, an aggregator",
        "moved without need",
    ];
    let row = |(name, choice, region, spread): &SimulatedSubset| {
        vec![
            (*name).to_string(),
            format!("{} of {}", choice.chosen, region.holders),
            region.zones.to_string(),
            number(spread.connections),
            number(spread.held.0),
            number(spread.held.1),
            percent(spread.deviation),
            number(spread.most.0),
            number(spread.left),
            number(spread.most.1),
            number(spread.reconnected),
            spread.unnecessary.to_string(),
        ]
    };
    table(&head, &subset_results.iter().map(row).collect::<Vec<_>>())
}

/// Returns the seconds that a transfer takes at the bandwidth of control traffic.
fn at_control_rate(s: &Sizes, bytes: &Figure) -> Figure {
    bytes.times(1.0 / (s.assumptions.control_kb_per_s * 1000.0))
}

fn list(s: &Sizes) -> Vec<Vec<String>> {
    let a = s.assumptions;
    let whole = s.list_bytes(a.run_stores);
    let region = s.list_bytes(s.region_stores);
    let machine = |bytes: &Figure| bytes.times(s.aggregators_each / a.machine_mb_per_s / 1e6);
    let of_bound = whole.times(1.0 / a.most_list_bytes);
    let left = a.control_machines - 1.0;
    vec![
        row("a whole list", Some(&whole.times(1e-6)), "MB"),
        row("a whole list, of what is read at most", Some(&of_bound), "times"),
        row(
            "a whole list at the rate of control",
            Some(&at_control_rate(s, &whole).times(1.0 / 60.0)),
            "minutes",
        ),
        row("the region's lines", Some(&region.times(1e-6)), "MB"),
        row(
            "the region's lines at the rate of control",
            Some(&at_control_rate(s, &region).times(1.0 / 60.0)),
            "minutes",
        ),
        assumed_row("lines that change, all", s.changes, "a second"),
        assumed_row("lines that change, of an aggregator's own region", s.relevant_changes, "a second"),
        assumed_row(
            "what an aggregator's watch takes, all changes",
            s.watch_bytes(s.changes) / 1000.0,
            "KB a second",
        ),
        assumed_row(
            "what an aggregator's watch takes, own region",
            s.watch_bytes(s.relevant_changes) / 1000.0,
            "KB a second",
        ),
        assumed_row("aggregators for each control machine", s.aggregators_each, "aggregators"),
        assumed_row(
            "a change told by one of them to all its aggregators",
            s.aggregators_each * (s.response_bytes + a.line_bytes) / 1000.0,
            "KB",
        ),
        assumed_row(
            "the longest way of a change on one leg, whatever fails (`src/asking.rs`)",
            MAX_LIST_DELAY / 1000.0,
            "s",
        ),
        assumed_row(
            "two legs, discovery to control machine to aggregator",
            2.0 * MAX_LIST_DELAY / 1000.0,
            "s",
        ),
        assumed_row("a change has to be in force within", a.in_force_s, "s"),
        assumed_row("one control machine dies: aggregators that lose it", s.aggregators_each, "aggregators"),
        assumed_row(
            "one dies: more aggregators for each of the others",
            s.aggregators_each / left,
            "aggregators",
        ),
        assumed_row(
            "one dies, each aggregator told by two: aggregators that are not told meanwhile",
            0.0,
            "aggregators",
        ),
        row("a region returns: its lines for each aggregator elsewhere", Some(&region.times(1e-6)), "MB"),
        row("the same at the rate of control", Some(&at_control_rate(s, &region)), "s"),
        row("the same out of a control machine, for all its aggregators", Some(&machine(&region)), "s"),
        row(
            "bytes that a line may have, to be there in time at the rate of control",
            Some(&Figure::assumed(a.in_force_s * a.control_kb_per_s * 1000.0 / s.region_stores)),
            "bytes",
        ),
        row(
            "all aggregators ask for a whole list at once: out of a control machine",
            Some(&machine(&whole)),
            "s",
        ),
    ]
}

fn whole_list(s: &Sizes) -> Vec<Vec<String>> {
    let at = |what: &str, series: &str, by: f64, unit: &str| {
        let figure = s.slopes.at(series, s.assumptions.run_stores).map(|figure| figure.times(by));
        row(what, figure.as_ref(), unit)
    };
    let mut rows = vec![at("its bytes, in the longest form that is expected", "list-bytes-long", 1e-6, "MB")];
    for (build, flights) in [("before", "100"), ("now", "5,600")] {
        let build_label = if build == "before" { "build before" } else { "now" };
        for (what, series, by) in [
            ("read and parsed".to_string(), format!("list-parsed-{build}"), 1.0),
            ("handed on by the core, all lines known".into(), format!("list-routed-{build}"), 1.0),
            (format!("taken up by the module, {flights} in flight"), whole_list_module(build).into(), 1e-3),
        ] {
            rows.push(at(&format!("{what}, {build_label}"), &series, by, "ms"));
        }
        rows.push(row(&format!("all of it, {build_label}"), s.list_processing(build).as_ref(), "ms"));
        rows.push(at(
            &format!("memory beside the input, {build_label}"),
            &format!("list-memory-{build}"),
            1.0,
            "MB",
        ));
    }
    rows.push(assumed_row("aim", s.assumptions.whole_list_ms, "ms"));
    rows.push(assumed_row(
        "parts that come meanwhile, at the aim",
        s.parts * s.assumptions.whole_list_ms / 1000.0,
        "parts",
    ));
    rows
}

/// A simulated cold start: the senders of the run store, the length of their lists, and the result.
struct ColdStart {
    name: &'static str,
    senders: f64,
    lines: f64,
    ramp: ramp::Ramp,
}

fn cold_starts(s: &Sizes) -> Vec<ColdStart> {
    let a = s.assumptions;
    let rule = ColdStartRule {
        initial_share: a.cold_from,
        warm_within: a.warm_within_ms,
        overload_multiple: a.cold_multiple,
        overload_window: a.cold_window_ms,
    };
    let (all, region) = ((a.run_stores, a.aggregators), (s.region_stores, s.region_aggregators));
    let one = s.region_aggregators / a.holders;
    let cases = [
        ("all to all", a.aggregators, all),
        ("all of its region", s.region_aggregators, all),
        (CHOSEN, s.senders, all),
        ("one holder", one, all),
        ("all of its region", s.region_aggregators, region),
        (CHOSEN, s.senders, region),
        ("one holder", one, region),
    ];
    let simulate = |(name, senders, (lines, aggregators)): (&'static str, f64, (f64, f64))| {
        let sender = Sender {
            run_stores: lines as usize,
            aggregators: aggregators as u32,
            senders,
            parts: s.store_parts,
            utilization: a.busy,
            queries: s.queries,
            query_parts: a.parts_per_query,
            rule,
        };
        ColdStart { name, senders, lines, ramp: ramp::simulate(&sender, a.seed as u64) }
    };
    cases.into_iter().map(simulate).collect()
}

fn cold(s: &Sizes, starts: &[ColdStart]) -> String {
    let restarts = s.assumptions.restarts_per_day / 86_400.0;
    let rows = [
        assumed_row("run stores that start, all regions", restarts, "a second"),
        assumed_row(
            "run stores that are cold, at any time",
            restarts * s.assumptions.warm_within_ms / 1000.0,
            "run stores",
        ),
        assumed_row("what a run store gets from all when it is warm", s.store_parts, "parts a second"),
    ];
    let head = [
        "who may send to it",
        "lines of their lists",
        "senders",
        "each has for it",
        "each may send",
        "all together, of what it bears",
        "the most in a second, of that from which it falls",
    ];
    let row = |start: &ColdStart| {
        vec![
            start.name.to_string(),
            number(start.lines),
            number(start.senders),
            format!("{} a second", number(start.ramp.wanted)),
            format!("{} a second", number(start.ramp.sent)),
            percent(start.ramp.used),
            percent(start.ramp.peak),
        ]
    };
    format!("{}\n{}", table(&HEADER, &rows), table(&head, &starts.iter().map(row).collect::<Vec<_>>()))
}

fn faults(s: &Sizes) -> String {
    let a = s.assumptions;
    let out_at_each = s.store_parts * a.part_ms / 1000.0;
    let earned = a.parts_per_query * a.repeat_ratio;
    let all_parts = a.queries_per_s * a.parts_per_query;
    let head = [
        "lost at once",
        "run stores",
        "parts out there",
        "of a query's parts, all to all",
        "repeats that a query earns",
        "a second's repeats of all, of these parts",
        "more parts at each run store that is left",
        "that is, of its work in a second",
        "connections made anew, all to all (at the return)",
        "the same, chosen holders",
        "at each run store that returns, chosen holders",
        "its aggregators' whole lists, out of each control machine",
    ];
    let row = |(name, stores): (&str, f64)| {
        let aggregators = a.aggregators * stores / a.run_stores;
        let more = out_at_each * stores / (a.run_stores - stores);
        let lists =
            s.list_bytes(a.run_stores).times(aggregators / a.control_machines / a.machine_mb_per_s / 1e6);
        vec![
            name.to_string(),
            number(stores),
            number(out_at_each * stores),
            number(a.parts_per_query * stores / a.run_stores),
            number(earned),
            format!("{} times", number(all_parts * a.repeat_ratio / (out_at_each * stores))),
            number(more),
            percent(more / s.store_parts * a.busy),
            number(stores * a.aggregators),
            number(stores * s.senders),
            number(s.senders),
            format!("{} s", number(lists.value)),
        ]
    };
    let lost = [("a rack", a.rack_stores), ("a zone", a.run_stores / a.zones), ("a region", s.region_stores)];
    table(&head, &lost.map(row))
}

/// Returns the time after which an unanswered attempt may be retried, in milliseconds after it was sent.
fn attempt_timeout(s: &Sizes) -> f64 {
    (s.assumptions.wanted_ms * s.assumptions.patience_of_aim)
        .max(s.assumptions.part_ms * s.assumptions.patience_of_usual)
}

/// Returns the share of parts that may be late so that the assumed share of queries is served in time.
fn allowed_late_share(s: &Sizes) -> f64 {
    1.0 - s.assumptions.served_in_time.powf(1.0 / s.assumptions.parts_per_query)
}

fn tail(s: &Sizes) -> Vec<Vec<String>> {
    let allowed_late_share = allowed_late_share(s);
    let first = |tries: f64| allowed_late_share.powf(1.0 / tries);
    let repeats = |tries: i32| (1..tries).map(|no| first(f64::from(tries)).powi(no)).sum::<f64>();
    let of = |share: f64| Figure::assumed(share * 100.0);
    let all = s.assumptions.queries_per_s * s.assumptions.parts_per_query;
    let step = s.assumptions.wanted_ms;
    vec![
        vec![
            "each part has to be there in time".into(),
            format!("{:.4} % of the time", 100.0 * (1.0 - allowed_late_share)),
            "assumptions".into(),
        ],
        assumed_row("parts of an aggregator that may be late", s.parts * allowed_late_share, "a second"),
        row(
            "one attempt alone: a run store may be later than the wanted time",
            Some(&of(allowed_late_share)),
            "% of the time",
        ),
        assumed_row("the same, of an hour", allowed_late_share * 3600.0, "s"),
        row(
            &format!("one repeat: each attempt may miss {} ms", number(step / 2.0)),
            Some(&of(first(2.0))),
            "% of the time",
        ),
        row(
            &format!("two repeats: each attempt may miss {} ms", number(step / 3.0)),
            Some(&of(first(3.0))),
            "% of the time",
        ),
        row("repeats with one, of all parts", Some(&of(repeats(2))), "%"),
        row("repeats with two, of all parts", Some(&of(repeats(3))), "%"),
        assumed_row("repeats with one, all aggregators", repeats(2) * all, "a second"),
        assumed_row("repeats with two, all aggregators", repeats(3) * all, "a second"),
        row(
            "the budget of repeats (`src/repeats.rs`)",
            Some(&of(s.assumptions.repeat_ratio)),
            "% of the parts",
        ),
        assumed_row("the same, all aggregators", s.assumptions.repeat_ratio * all, "a second"),
        assumed_row(
            "an attempt that says nothing is given up after (`src/decide.rs`)",
            attempt_timeout(s),
            "ms",
        ),
        assumed_row(
            "what is left to its repeat",
            (s.assumptions.wanted_ms - attempt_timeout(s)).max(0.0),
            "ms",
        ),
        assumed_row(
            "the usual time of a part up to which half of the wanted time is left",
            step / 2.0 / s.assumptions.patience_of_usual,
            "ms",
        ),
        assumed_row(
            "saved up by an aggregator",
            (s.assumptions.repeats_saved_by_all / s.assumptions.aggregators).max(1.0),
            "repeats",
        ),
    ]
}

/// The state of a mechanism that does not exist.
const MISSING: &str = "**missing**";
/// The state of a mechanism that the current build has and the earlier build lacks.
const BUILT: &str = "built since";
/// The state of a mechanism that both builds have.
const PRESENT: &str = "in the program";

/// A demand at full size, compared with its limit.
struct Gap {
    what: String,
    demand: Option<Figure>,
    limit: f64,
    unit: &'static str,
    state: &'static str,
    mechanism: &'static str,
}

fn missing(s: &Sizes, subset_results: &[SimulatedSubset], cold_starts: &[ColdStart]) -> String {
    let a = s.assumptions;
    let stores = a.run_stores;
    let tick = tick_limit(s);
    let share = |series: String| s.slopes.at(&series, stores).map(|us| us.times(100.0 / 1e6));
    let idle = |build: &str| share(format!("idle-cpu-by-stores-{build}"));
    let changing = |build: &str| share(format!("control-cpu-{build}"));
    let whole = s.list_bytes(stores);
    let region = s.list_bytes(s.region_stores);
    let two_zones = subset_results.iter().find(|(_, choice, region, _)| {
        region.zones == 2 && !choice.own_zone && choice.chosen == a.chosen_holders as usize
    });
    let used = |lines: f64| {
        let start = cold_starts.iter().find(|start| start.name == CHOSEN && start.lines == lines);
        start.map(|start| Figure::assumed(1.0 / start.ramp.used))
    };
    let mut gaps = vec![
        Gap {
            what: "a quiet tick, build before".into(),
            demand: s.tick_before(stores, s.in_flight),
            limit: tick,
            unit: "us",
            state: BUILT,
            mechanism: "a step that costs what it was told and what is due",
        },
        Gap {
            what: "a quiet tick, now".into(),
            demand: s.tick_now(s.in_flight),
            limit: tick,
            unit: "us",
            state: PRESENT,
            mechanism: "`src/decide.rs`",
        },
        Gap {
            what: "a whole list at the rate of control".into(),
            demand: Some(at_control_rate(s, &whole)),
            limit: a.in_force_s,
            unit: "s",
            state: MISSING,
            mechanism: "lists of what concerns an aggregator, kept over a restart, and changes since",
        },
        Gap {
            what: "a whole list taken in, build before".into(),
            demand: s.list_processing("before"),
            limit: a.whole_list_ms,
            unit: "ms",
            state: BUILT,
            mechanism: "known run stores found by name, and not by a look at all lines",
        },
        Gap {
            what: "a whole list taken in, now".into(),
            demand: s.list_processing("now"),
            limit: a.whole_list_ms,
            unit: "ms",
            state: PRESENT,
            mechanism: "`src/directory`, `src/core/route.rs`, `src/decide.rs`",
        },
        Gap {
            what: "the return of a region at the rate of control".into(),
            demand: Some(at_control_rate(s, &region)),
            limit: a.in_force_s,
            unit: "s",
            state: MISSING,
            mechanism: "a watch that names the regions whose lines it wants",
        },
        Gap {
            what: "connections of an aggregator, all to all".into(),
            demand: Some(Figure::assumed(stores)),
            limit: a.most_connections,
            unit: "connections",
            state: MISSING,
            mechanism: "subsets by rendezvous hashing",
        },
        Gap {
            what: "a whole list against the longest that is read".into(),
            demand: Some(whole.times(1e-6)),
            limit: a.most_list_bytes / 1e6,
            unit: "MB",
            state: BUILT,
            mechanism: "a bound derived from the list",
        },
        Gap {
            what: "what a cold run store bears, of what its chosen senders may send it, whole lists".into(),
            demand: used(stores),
            limit: 1.0,
            unit: "times",
            state: MISSING,
            mechanism:
                "shares among a run store's own senders (`src/cold.rs`); needed once there are subsets",
        },
        Gap {
            what: "what a cold run store bears, of what its chosen senders may send it, lists of the region"
                .into(),
            demand: used(s.region_stores),
            limit: 1.0,
            unit: "times",
            state: MISSING,
            mechanism:
                "shares among a run store's own senders (`src/cold.rs`); needed once there are subsets",
        },
        Gap {
            what: "the mean load of what is left of a region of two zones, of what run stores bear".into(),
            demand: two_zones.map(|(.., spread)| Figure::assumed(spread.left * a.busy)),
            limit: 1.0,
            unit: "times",
            state: MISSING,
            mechanism: "parts that spill over to another region",
        },
        Gap {
            what: "a change on two legs, each as long as it may take".into(),
            demand: Some(Figure::assumed(2.0 * MAX_LIST_DELAY / 1000.0)),
            limit: a.in_force_s,
            unit: "s",
            state: MISSING,
            mechanism: "control machines, two for each aggregator",
        },
        Gap {
            what: "repeats for the tail, two a part, of all parts".into(),
            demand: Some(Figure::assumed(
                allowed_late_share(s).powf(1.0 / 3.0) + allowed_late_share(s).powf(2.0 / 3.0),
            )),
            limit: a.repeat_ratio,
            unit: "of the parts",
            state: PRESENT,
            mechanism: "`src/repeats.rs`",
        },
        Gap {
            what: "a part repeated after silence, at the mean time of a part".into(),
            demand: Some(Figure::assumed(attempt_timeout(s) + a.part_ms)),
            limit: a.wanted_ms,
            unit: "ms",
            state: MISSING,
            mechanism: "patience by the spread of parts' times, and not by three times the usual one",
        },
        Gap {
            what: "the watch's bytes, all changes".into(),
            demand: Some(Figure::assumed(s.watch_bytes(s.changes) / 1000.0)),
            limit: a.control_kb_per_s,
            unit: "KB a second",
            state: PRESENT,
            mechanism: "`src/directory/watch.rs`",
        },
        Gap {
            what: "memory with the whole list, build before".into(),
            demand: s.slopes.at("memory-by-stores-before", stores),
            limit: a.control_mb,
            unit: "MB",
            state: BUILT,
            mechanism: "smaller records of run stores; lists of the region would do too",
        },
        Gap {
            what: "memory with the whole list, now".into(),
            demand: s.slopes.at("memory-by-stores-now", stores),
            limit: a.control_mb,
            unit: "MB",
            state: PRESENT,
            mechanism: "`src/core`, `src/decide.rs`",
        },
        Gap {
            what: "processor time without queries, build before".into(),
            demand: idle("before"),
            limit: a.control_core * 100.0,
            unit: "% of a core",
            state: BUILT,
            mechanism: "a step that costs what it was told and what is due",
        },
        Gap {
            what: "processor time with a change a second, build before".into(),
            demand: changing("before"),
            limit: a.control_core * 100.0,
            unit: "% of a core",
            state: BUILT,
            mechanism: "a step that costs what it was told and what is due",
        },
        Gap {
            what: "processor time with a change a second, now".into(),
            demand: changing("now"),
            limit: a.control_core * 100.0,
            unit: "% of a core",
            state: PRESENT,
            mechanism: "`src/decide.rs`",
        },
        Gap {
            what: "processor time without queries, now".into(),
            demand: idle("now"),
            limit: a.control_core * 100.0,
            unit: "% of a core",
            state: PRESENT,
            mechanism: "`src/decide.rs`",
        },
    ];
    gaps.extend(PARTS.map(|(what, series)| Gap {
        what: format!("processor time of parts, {what}"),
        demand: s.part_cores(series),
        limit: 1.0,
        unit: "cores",
        state: MISSING,
        mechanism: "more than one serving thread, or more than one process an aggregator",
    }));
    let factor = |gap: &Gap| gap.demand.as_ref().map_or(f64::NEG_INFINITY, |demand| demand.value / gap.limit);
    gaps.sort_by(|a, b| factor(b).total_cmp(&factor(a)));
    let row = |(no, gap): (usize, &Gap)| {
        let demand = gap.demand.as_ref();
        vec![
            (no + 1).to_string(),
            gap.what.clone(),
            demand.map_or("not measured".into(), |demand| format!("{} {}", number(demand.value), gap.unit)),
            format!("{} {}", number(gap.limit), gap.unit),
            demand.map_or("-".into(), |_| number(factor(gap))),
            demand.map_or("-".into(), describe_bases),
            gap.state.to_string(),
            gap.mechanism.to_string(),
        ]
    };
    let head = ["", "what", "asked for", "there may be", "times", "rests on", "state", "the mechanism"];
    table(&head, &gaps.iter().enumerate().map(row).collect::<Vec<_>>())
}
