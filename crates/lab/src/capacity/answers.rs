//! The tables that answer the questions of the page, and the table of gaps, ordered by how far each exceeds its limit.

use ironpaddle::api::ColdStartRule;
use ironpaddle::asking::MAX_LIST_DELAY;

use super::fit::Figure;
use super::number::{number, percent};
use super::ramp::{self, Sender};
use super::roles::PARTS;
use super::sizes::{whole_list_module, Sizes};
use super::subset::{self, Choice, Region, Spread};
use super::{plain, rests_on, row, table, Block};

/// The header of a table of figures.
const HEAD: [&str; 3] = ["what", "figure", "rests on"];
/// The name of the subset choice that the page proposes.
const CHOSEN: &str = "chosen holders";

/// Returns the tables.
pub fn blocks(sizes: &Sizes) -> Vec<Block> {
    let spreads = spreads(sizes);
    let ramps = ramps(sizes);
    vec![
        Block { name: "part", text: table(&HEAD, &part(sizes)) },
        Block { name: "in-flight", text: table(&HEAD, &in_flight(sizes)) },
        Block { name: "connections", text: table(&HEAD, &connections(sizes)) },
        Block { name: "subsets", text: subsets(&spreads) },
        Block { name: "list", text: table(&HEAD, &list(sizes)) },
        Block { name: "whole-list", text: table(&HEAD, &whole_list(sizes)) },
        Block { name: "cold", text: cold(sizes, &ramps) },
        Block { name: "faults", text: faults(sizes) },
        Block { name: "tail", text: table(&HEAD, &tail(sizes)) },
        Block { name: "missing", text: missing(sizes, &spreads, &ramps) },
    ]
}

fn part(s: &Sizes) -> Vec<Vec<String>> {
    let mut rows = vec![
        plain("parts of an aggregator", s.parts, "a second"),
        plain("one core for each part", 1e6 / s.parts, "us"),
    ];
    for (what, series) in PARTS {
        let cores = s.part_cores(series);
        let each = cores.as_ref().map(|cores| cores.times(1e6 / s.parts));
        rows.push(row(&format!("a part at that rate, {what}"), each.as_ref(), "us"));
        rows.push(row("that is, of an aggregator", cores.as_ref(), "cores"));
        let more = cores.as_ref().map(|cores| cores.times(s.a.aggregators));
        rows.push(row("aggregators of one thread for the whole load", more.as_ref(), "aggregators"));
    }
    for (what, series) in [("build before", "query-cpu-before"), ("now", "query-cpu-now")] {
        let query =
            s.slopes.at(series, s.a.parts_per_query).map(|query| query.times(1.0 / s.a.parts_per_query));
        rows.push(row(
            &format!("a part of a query of so many, at 2,000 parts a second, {what}"),
            query.as_ref(),
            "us",
        ));
    }
    for (what, series) in [("build before", "part-cpu-by-stores-before"), ("now", "part-cpu-by-stores-now")] {
        let each = s.slopes.at(series, s.a.run_stores);
        rows.push(row(
            &format!("a part with all run stores listed, 100 in flight, {what}"),
            each.as_ref(),
            "us",
        ));
    }
    let before = s.slopes.at("step-before", s.a.run_stores * s.in_flight);
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
    let most = s.parts * s.a.wanted_ms / 1000.0;
    let stores = s.a.run_stores;
    vec![
        plain("parts in flight, at the mean time of a part", s.in_flight, "parts"),
        plain("parts in flight, if each took the wanted time", most, "parts"),
        plain("open queries, if each takes the wanted time", s.open, "queries"),
        plain("a tick's share of control", tick_bound(s), "us"),
        row("a quiet tick, build before", s.tick_before(stores, s.in_flight).as_ref(), "us"),
        row(
            "a quiet tick, build before, 100 in flight",
            s.slopes.at("quiet-tick-at-100-before", stores).as_ref(),
            "us",
        ),
        row(
            "the region's run stores alone, build before",
            s.tick_before(s.own_lines, s.in_flight).as_ref(),
            "us",
        ),
        row("a quiet tick, now", s.tick_now(s.in_flight).as_ref(), "us"),
        row("a quiet tick, now, if each part took the wanted time", s.tick_now(most).as_ref(), "us"),
    ]
}

/// Returns the CPU time that a tick may take, in microseconds.
fn tick_bound(s: &Sizes) -> f64 {
    s.a.tick_ms * 1000.0 * s.a.control_core
}

fn connections(s: &Sizes) -> Vec<Vec<String>> {
    let (a, all) = (s.a, s.a.aggregators * s.a.run_stores);
    let holders = |count: f64| s.blocks * count;
    let memory = |what: &str, count: f64| {
        let each = s.slopes.each("memory-by-connections", count);
        row(what, each.map(|each| each.times(count)).as_ref(), "MB")
    };
    vec![
        plain("all to all", all, "connections"),
        plain("all to all, of an aggregator", a.run_stores, "connections"),
        plain("all to all, of a run store", a.aggregators, "connections"),
        plain("by region, of an aggregator", s.region_stores, "connections"),
        plain("by region, of a run store", s.region_aggregators, "connections"),
        plain("by region, in all", all / a.regions, "connections"),
        plain(
            "by zone, of an aggregator (a zone does not hold every block)",
            a.run_stores / a.zones,
            "connections",
        ),
        plain("one holder of each block, of an aggregator", holders(1.0), "connections"),
        plain("chosen holders of each block, of an aggregator", s.connections, "connections"),
        plain("chosen holders of each block, of a run store", s.senders, "connections"),
        plain("chosen holders of each block, in all", s.connections * a.aggregators, "connections"),
        memory("memory of an aggregator's connections, all to all", a.run_stores),
        memory("the same, chosen holders", s.connections),
    ]
}

/// A simulated subset choice: its name, the choice, the region and the result.
type Played = (&'static str, Choice, Region, Spread);

fn spreads(s: &Sizes) -> Vec<Played> {
    let (chosen, holders) = (s.a.chosen_holders, s.a.holders);
    let choices = [
        ("one holder", 1.0, false, holders, 2),
        ("one holder, own zone first", 1.0, true, holders, 2),
        (CHOSEN, chosen, false, holders, 2),
        (CHOSEN, chosen, false, holders, 3),
        ("all holders", holders, false, holders, 2),
        ("chosen holders, where a block has one more", chosen, false, holders + 1.0, 2),
    ];
    let play = |(name, chosen, own_zone, holders, zones): (&'static str, f64, bool, f64, usize)| {
        let choice = Choice { chosen: chosen as usize, own_zone };
        let region = Region {
            aggregators: s.region_aggregators as usize,
            blocks: (s.region_stores / holders) as usize,
            holders: holders as usize,
            zones,
        };
        (name, choice, region, subset::play(&region, choice, s.a.seed as u64))
    };
    choices.into_iter().map(play).collect()
}

fn subsets(spreads: &[Played]) -> String {
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
    let row = |(name, choice, region, spread): &Played| {
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
            number(spread.anew),
            spread.needless.to_string(),
        ]
    };
    table(&head, &spreads.iter().map(row).collect::<Vec<_>>())
}

/// Returns the seconds that a transfer takes at the bandwidth of control traffic.
fn at_control_rate(s: &Sizes, bytes: &Figure) -> Figure {
    bytes.times(1.0 / (s.a.control_kb_per_s * 1000.0))
}

fn list(s: &Sizes) -> Vec<Vec<String>> {
    let a = s.a;
    let whole = s.list_bytes(a.run_stores);
    let region = s.list_bytes(s.region_stores);
    let machine = |bytes: &Figure| bytes.times(s.told_each / a.machine_mb_per_s / 1e6);
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
        plain("lines that change, all", s.changes, "a second"),
        plain("lines that change, of an aggregator's own region", s.own_changes, "a second"),
        plain(
            "what an aggregator's watch takes, all changes",
            s.watch_bytes(s.changes) / 1000.0,
            "KB a second",
        ),
        plain(
            "what an aggregator's watch takes, own region",
            s.watch_bytes(s.own_changes) / 1000.0,
            "KB a second",
        ),
        plain("aggregators for each control machine", s.told_each, "aggregators"),
        plain(
            "a change told by one of them to all its aggregators",
            s.told_each * (s.answer_bytes + a.line_bytes) / 1000.0,
            "KB",
        ),
        plain(
            "the longest way of a change on one leg, whatever fails (`src/asking.rs`)",
            MAX_LIST_DELAY / 1000.0,
            "s",
        ),
        plain("two legs, discovery to control machine to aggregator", 2.0 * MAX_LIST_DELAY / 1000.0, "s"),
        plain("a change has to be in force within", a.in_force_s, "s"),
        plain("one control machine dies: aggregators that lose it", s.told_each, "aggregators"),
        plain("one dies: more aggregators for each of the others", s.told_each / left, "aggregators"),
        plain(
            "one dies, each aggregator told by two: aggregators that are not told meanwhile",
            0.0,
            "aggregators",
        ),
        row("a region returns: its lines for each aggregator elsewhere", Some(&region.times(1e-6)), "MB"),
        row("the same at the rate of control", Some(&at_control_rate(s, &region)), "s"),
        row("the same out of a control machine, for all its aggregators", Some(&machine(&region)), "s"),
        row(
            "bytes that a line may have, to be there in time at the rate of control",
            Some(&Figure::plain(a.in_force_s * a.control_kb_per_s * 1000.0 / s.region_stores)),
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
        let figure = s.slopes.at(series, s.a.run_stores).map(|figure| figure.times(by));
        row(what, figure.as_ref(), unit)
    };
    let mut rows = vec![at("its bytes, in the longest form that is expected", "list-bytes-long", 1e-6, "MB")];
    for (build, flights) in [("before", "100"), ("now", "5,600")] {
        let told = if build == "before" { "build before" } else { "now" };
        for (what, series, by) in [
            ("read and parsed".to_string(), format!("list-parsed-{build}"), 1.0),
            ("handed on by the core, all lines known".into(), format!("list-routed-{build}"), 1.0),
            (format!("taken up by the module, {flights} in flight"), whole_list_module(build).into(), 1e-3),
        ] {
            rows.push(at(&format!("{what}, {told}"), &series, by, "ms"));
        }
        rows.push(row(&format!("all of it, {told}"), s.taken_in(build).as_ref(), "ms"));
        rows.push(at(
            &format!("memory beside the input, {told}"),
            &format!("list-memory-{build}"),
            1.0,
            "MB",
        ));
    }
    rows.push(plain("aim", s.a.whole_list_ms, "ms"));
    rows.push(plain("parts that come meanwhile, at the aim", s.parts * s.a.whole_list_ms / 1000.0, "parts"));
    rows
}

/// A simulated cold start: the senders of the run store, the length of their lists, and the result.
struct Started {
    name: &'static str,
    senders: f64,
    lines: f64,
    ramp: ramp::Ramp,
}

fn ramps(s: &Sizes) -> Vec<Started> {
    let a = s.a;
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
    let play = |(name, senders, (lines, routers)): (&'static str, f64, (f64, f64))| {
        let sender = Sender {
            stores: lines as usize,
            routers: routers as u32,
            senders,
            parts: s.store_parts,
            busy: a.busy,
            queries: s.queries,
            query_parts: a.parts_per_query,
            rule,
        };
        Started { name, senders, lines, ramp: ramp::play(&sender, a.seed as u64) }
    };
    cases.into_iter().map(play).collect()
}

fn cold(s: &Sizes, starts: &[Started]) -> String {
    let restarts = s.a.restarts_per_day / 86_400.0;
    let rows = [
        plain("run stores that start, all regions", restarts, "a second"),
        plain("run stores that are cold, at any time", restarts * s.a.warm_within_ms / 1000.0, "run stores"),
        plain("what a run store gets from all when it is warm", s.store_parts, "parts a second"),
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
    let row = |start: &Started| {
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
    format!("{}\n{}", table(&HEAD, &rows), table(&head, &starts.iter().map(row).collect::<Vec<_>>()))
}

fn faults(s: &Sizes) -> String {
    let a = s.a;
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
fn patience(s: &Sizes) -> f64 {
    (s.a.wanted_ms * s.a.patience_of_aim).max(s.a.part_ms * s.a.patience_of_usual)
}

/// Returns the share of parts that may be late so that the assumed share of queries is served in time.
fn late(s: &Sizes) -> f64 {
    1.0 - s.a.served_in_time.powf(1.0 / s.a.parts_per_query)
}

fn tail(s: &Sizes) -> Vec<Vec<String>> {
    let late = late(s);
    let first = |tries: f64| late.powf(1.0 / tries);
    let repeats = |tries: i32| (1..tries).map(|no| first(f64::from(tries)).powi(no)).sum::<f64>();
    let of = |share: f64| Figure::plain(share * 100.0);
    let all = s.a.queries_per_s * s.a.parts_per_query;
    let step = s.a.wanted_ms;
    vec![
        vec![
            "each part has to be there in time".into(),
            format!("{:.4} % of the time", 100.0 * (1.0 - late)),
            "assumptions".into(),
        ],
        plain("parts of an aggregator that may be late", s.parts * late, "a second"),
        row(
            "one attempt alone: a run store may be later than the wanted time",
            Some(&of(late)),
            "% of the time",
        ),
        plain("the same, of an hour", late * 3600.0, "s"),
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
        plain("repeats with one, all aggregators", repeats(2) * all, "a second"),
        plain("repeats with two, all aggregators", repeats(3) * all, "a second"),
        row("the budget of repeats (`src/repeats.rs`)", Some(&of(s.a.repeat_ratio)), "% of the parts"),
        plain("the same, all aggregators", s.a.repeat_ratio * all, "a second"),
        plain("an attempt that says nothing is given up after (`src/decide.rs`)", patience(s), "ms"),
        plain("what is left to its repeat", (s.a.wanted_ms - patience(s)).max(0.0), "ms"),
        plain(
            "the usual time of a part up to which half of the wanted time is left",
            step / 2.0 / s.a.patience_of_usual,
            "ms",
        ),
        plain("saved up by an aggregator", (s.a.repeats_saved_by_all / s.a.aggregators).max(1.0), "repeats"),
    ]
}

/// The state of a mechanism that does not exist.
const MISSING: &str = "**missing**";
/// The state of a mechanism that the current build has and the earlier build lacks.
const BUILT: &str = "built since";
/// The state of a mechanism that both builds have.
const CARRIED: &str = "in the program";

/// A demand at full size, compared with its limit.
struct Gap {
    what: String,
    asks: Option<Figure>,
    bound: f64,
    unit: &'static str,
    state: &'static str,
    mechanism: &'static str,
}

fn missing(s: &Sizes, spreads: &[Played], ramps: &[Started]) -> String {
    let a = s.a;
    let stores = a.run_stores;
    let tick = tick_bound(s);
    let share = |series: String| s.slopes.at(&series, stores).map(|us| us.times(100.0 / 1e6));
    let idle = |build: &str| share(format!("idle-cpu-by-stores-{build}"));
    let changing = |build: &str| share(format!("control-cpu-{build}"));
    let whole = s.list_bytes(stores);
    let region = s.list_bytes(s.region_stores);
    let two_zones = spreads.iter().find(|(_, choice, region, _)| {
        region.zones == 2 && !choice.own_zone && choice.chosen == a.chosen_holders as usize
    });
    let used = |lines: f64| {
        let start = ramps.iter().find(|start| start.name == CHOSEN && start.lines == lines);
        start.map(|start| Figure::plain(1.0 / start.ramp.used))
    };
    let mut gaps = vec![
        Gap {
            what: "a quiet tick, build before".into(),
            asks: s.tick_before(stores, s.in_flight),
            bound: tick,
            unit: "us",
            state: BUILT,
            mechanism: "a step that costs what it was told and what is due",
        },
        Gap {
            what: "a quiet tick, now".into(),
            asks: s.tick_now(s.in_flight),
            bound: tick,
            unit: "us",
            state: CARRIED,
            mechanism: "`src/decide.rs`",
        },
        Gap {
            what: "a whole list at the rate of control".into(),
            asks: Some(at_control_rate(s, &whole)),
            bound: a.in_force_s,
            unit: "s",
            state: MISSING,
            mechanism: "lists of what concerns an aggregator, kept over a restart, and changes since",
        },
        Gap {
            what: "a whole list taken in, build before".into(),
            asks: s.taken_in("before"),
            bound: a.whole_list_ms,
            unit: "ms",
            state: BUILT,
            mechanism: "known run stores found by name, and not by a look at all lines",
        },
        Gap {
            what: "a whole list taken in, now".into(),
            asks: s.taken_in("now"),
            bound: a.whole_list_ms,
            unit: "ms",
            state: CARRIED,
            mechanism: "`src/directory`, `src/core/route.rs`, `src/decide.rs`",
        },
        Gap {
            what: "the return of a region at the rate of control".into(),
            asks: Some(at_control_rate(s, &region)),
            bound: a.in_force_s,
            unit: "s",
            state: MISSING,
            mechanism: "a watch that names the regions whose lines it wants",
        },
        Gap {
            what: "connections of an aggregator, all to all".into(),
            asks: Some(Figure::plain(stores)),
            bound: a.most_connections,
            unit: "connections",
            state: MISSING,
            mechanism: "subsets by rendezvous hashing",
        },
        Gap {
            what: "a whole list against the longest that is read".into(),
            asks: Some(whole.times(1e-6)),
            bound: a.most_list_bytes / 1e6,
            unit: "MB",
            state: BUILT,
            mechanism: "a bound derived from the list",
        },
        Gap {
            what: "what a cold run store bears, of what its chosen senders may send it, whole lists".into(),
            asks: used(stores),
            bound: 1.0,
            unit: "times",
            state: MISSING,
            mechanism:
                "shares among a run store's own senders (`src/cold.rs`); needed once there are subsets",
        },
        Gap {
            what: "what a cold run store bears, of what its chosen senders may send it, lists of the region"
                .into(),
            asks: used(s.region_stores),
            bound: 1.0,
            unit: "times",
            state: MISSING,
            mechanism:
                "shares among a run store's own senders (`src/cold.rs`); needed once there are subsets",
        },
        Gap {
            what: "the mean load of what is left of a region of two zones, of what run stores bear".into(),
            asks: two_zones.map(|(.., spread)| Figure::plain(spread.left * a.busy)),
            bound: 1.0,
            unit: "times",
            state: MISSING,
            mechanism: "parts that spill over to another region",
        },
        Gap {
            what: "a change on two legs, each as long as it may take".into(),
            asks: Some(Figure::plain(2.0 * MAX_LIST_DELAY / 1000.0)),
            bound: a.in_force_s,
            unit: "s",
            state: MISSING,
            mechanism: "control machines, two for each aggregator",
        },
        Gap {
            what: "repeats for the tail, two a part, of all parts".into(),
            asks: Some(Figure::plain(late(s).powf(1.0 / 3.0) + late(s).powf(2.0 / 3.0))),
            bound: a.repeat_ratio,
            unit: "of the parts",
            state: CARRIED,
            mechanism: "`src/repeats.rs`",
        },
        Gap {
            what: "a part repeated after silence, at the mean time of a part".into(),
            asks: Some(Figure::plain(patience(s) + a.part_ms)),
            bound: a.wanted_ms,
            unit: "ms",
            state: MISSING,
            mechanism: "patience by the spread of parts' times, and not by three times the usual one",
        },
        Gap {
            what: "the watch's bytes, all changes".into(),
            asks: Some(Figure::plain(s.watch_bytes(s.changes) / 1000.0)),
            bound: a.control_kb_per_s,
            unit: "KB a second",
            state: CARRIED,
            mechanism: "`src/directory/watch.rs`",
        },
        Gap {
            what: "memory with the whole list, build before".into(),
            asks: s.slopes.at("memory-by-stores-before", stores),
            bound: a.control_mb,
            unit: "MB",
            state: BUILT,
            mechanism: "smaller records of run stores; lists of the region would do too",
        },
        Gap {
            what: "memory with the whole list, now".into(),
            asks: s.slopes.at("memory-by-stores-now", stores),
            bound: a.control_mb,
            unit: "MB",
            state: CARRIED,
            mechanism: "`src/core`, `src/decide.rs`",
        },
        Gap {
            what: "processor time without queries, build before".into(),
            asks: idle("before"),
            bound: a.control_core * 100.0,
            unit: "% of a core",
            state: BUILT,
            mechanism: "a step that costs what it was told and what is due",
        },
        Gap {
            what: "processor time with a change a second, build before".into(),
            asks: changing("before"),
            bound: a.control_core * 100.0,
            unit: "% of a core",
            state: BUILT,
            mechanism: "a step that costs what it was told and what is due",
        },
        Gap {
            what: "processor time with a change a second, now".into(),
            asks: changing("now"),
            bound: a.control_core * 100.0,
            unit: "% of a core",
            state: CARRIED,
            mechanism: "`src/decide.rs`",
        },
        Gap {
            what: "processor time without queries, now".into(),
            asks: idle("now"),
            bound: a.control_core * 100.0,
            unit: "% of a core",
            state: CARRIED,
            mechanism: "`src/decide.rs`",
        },
    ];
    gaps.extend(PARTS.map(|(what, series)| Gap {
        what: format!("processor time of parts, {what}"),
        asks: s.part_cores(series),
        bound: 1.0,
        unit: "cores",
        state: MISSING,
        mechanism: "more than one serving thread, or more than one process an aggregator",
    }));
    let factor = |gap: &Gap| gap.asks.as_ref().map_or(f64::NEG_INFINITY, |asks| asks.value / gap.bound);
    gaps.sort_by(|a, b| factor(b).total_cmp(&factor(a)));
    let row = |(no, gap): (usize, &Gap)| {
        let asks = gap.asks.as_ref();
        vec![
            (no + 1).to_string(),
            gap.what.clone(),
            asks.map_or("not measured".into(), |asks| format!("{} {}", number(asks.value), gap.unit)),
            format!("{} {}", number(gap.bound), gap.unit),
            asks.map_or("-".into(), |_| number(factor(gap))),
            asks.map_or("-".into(), rests_on),
            gap.state.to_string(),
            gap.mechanism.to_string(),
        ]
    };
    let head = ["", "what", "asked for", "there may be", "times", "rests on", "state", "the mechanism"];
    table(&head, &gaps.iter().enumerate().map(row).collect::<Vec<_>>())
}
