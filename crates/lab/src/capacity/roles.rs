//! A table for each role: its state and work at full size, the series or assumptions behind each figure, and the module
//! that implements it.

use super::fit::Figure;
use super::sizes::Sizes;
use super::{assumed_row, row, table, Block};

/// Marks a mechanism that is not implemented, in the `carried by` column.
const MISSING: &str = "**missing**: ";

/// The series of CPU time by parts a second, with the load under which each was measured.
pub const PARTS: [(&str, &str); 4] = [
    ("build before, as many in flight as it takes (600 run stores)", "part-cpu-busy-before"),
    ("build before, at a given rate (60 run stores)", "part-cpu-before"),
    ("now, as many in flight as it takes (600 run stores)", "part-cpu-busy-now"),
    ("now, at a given rate (60 run stores)", "part-cpu-now"),
];

/// The table of a role.
struct Role {
    name: &'static str,
    rows: Vec<Vec<String>>,
}

impl Role {
    fn new(name: &'static str) -> Self {
        Role { name, rows: Vec::new() }
    }

    fn push(&mut self, mut row: Vec<String>, implemented_by: &str) {
        row.push(implemented_by.to_string());
        self.rows.push(row);
    }

    /// Adds a row with a figure from measured series. Where a series is missing, the figure may be an assumption, or
    /// `None`, which is shown as "not measured".
    fn measured(&mut self, what: &str, figure: Option<Figure>, unit: &str, implemented_by: &str) {
        self.push(row(what, figure.as_ref(), unit), implemented_by);
    }

    /// Adds a row with a figure that follows from the assumptions.
    fn assumed(&mut self, what: &str, value: f64, unit: &str, implemented_by: &str) {
        self.push(assumed_row(what, value, unit), implemented_by);
    }

    fn block(self) -> Block {
        Block {
            name: self.name,
            text: table(&["what", "at the full size", "rests on", "carried by"], &self.rows),
        }
    }
}

/// Returns the tables of all roles.
pub fn blocks(sizes: &Sizes) -> Vec<Block> {
    vec![
        serving(sizes),
        control(sizes),
        run_store(sizes),
        discovery(sizes),
        control_machine(sizes),
        operators(sizes),
    ]
}

fn serving(s: &Sizes) -> Block {
    let mut role = Role::new("aggregator-serving");
    let (stores, flights) = (s.assumptions.run_stores, s.in_flight);
    let at = |series: &str, x: f64| s.slopes.at(series, x);
    role.assumed(
        "queries open, if each takes the wanted time",
        s.open_queries,
        "queries",
        "`src/core/ledger.rs`",
    );
    role.assumed("parts in flight", flights, "parts", "`src/decide.rs` (`flights`)");
    role.assumed("queries", s.queries, "a second", "`src/front`");
    role.assumed("messages, to and from run stores", s.parts * 2.0, "a second", "`src/transport`");
    let bytes = at("part-bytes", flights).map(|each| each.times(s.parts / 1e6));
    role.measured("bytes, to and from run stores", bytes, "MB a second", "`src/transport/frames/codec.rs`");
    let thread_note = format!("one thread (`src/service/program.rs`); {MISSING}more than one");
    for (what, series) in PARTS {
        role.measured(
            &format!("processor time of parts, {what}"),
            s.part_cores(series),
            "cores",
            &thread_note,
        );
    }
    role.measured(
        "processor time of quiet ticks, build before",
        s.tick_before(stores, flights).map(|tick| s.core_share(&tick)),
        "cores",
        "nothing: `src/decide.rs` walked all run stores and parts",
    );
    let ticks = s.tick_now(flights).map(|tick| s.core_share(&tick));
    role.measured("processor time of quiet ticks, now", ticks, "cores", "`src/decide.rs`");
    let memory = at("memory-by-flights-before", flights);
    role.measured(
        "memory with these parts in flight and few run stores",
        memory,
        "MB",
        "`src/core`, `src/decide.rs`",
    );
    role.measured(
        "memory of the module, now",
        at("module_state_by_stores_at_5600", stores).map(|bytes| bytes.times(1e-6)),
        "MB",
        "`src/decide.rs`",
    );
    role.assumed("connections to run stores, all of them", stores, "connections", "`src/transport`");
    let subset_note = format!("{MISSING}subsets by rendezvous hashing");
    role.assumed("connections to run stores, chosen holders", s.connections, "connections", &subset_note);
    let descriptors = at("descriptors-by-connections", s.connections);
    role.measured(
        "descriptors, with those",
        descriptors,
        "descriptors",
        "`src/config.rs`: twice as many to be allowed",
    );
    let memory = at("memory-by-connections", s.connections);
    role.measured("memory with those connections", memory, "MB", "`src/transport`");
    role.block()
}

fn control(s: &Sizes) -> Block {
    let mut role = Role::new("aggregator-control");
    let (stores, own) = (s.assumptions.run_stores, s.relevant_entries);
    let at = |series: &str, x: f64| s.slopes.at(series, x);
    let own_list_note = format!("{MISSING}a list of what concerns the aggregator");
    role.assumed("lines held, whole list", stores, "lines", "`src/core/ledger.rs`, `src/decide.rs`");
    role.assumed("lines held, own region", own, "lines", &own_list_note);
    role.measured(
        "memory, whole list, build before",
        at("memory-by-stores-before", stores),
        "MB",
        "the same",
    );
    role.measured("memory, whole list, now", at("memory-by-stores-now", stores), "MB", "the same");
    role.measured("memory, own region, now", at("memory-by-stores-now", own), "MB", &own_list_note);
    for (build, series) in [("build before", "control-memory-before"), ("now", "control-memory-now")] {
        let what = format!("memory, whole list, as a hollow aggregator of many, {build}");
        role.measured(&what, at(series, stores), "MB", "the same");
    }
    let messages = at("watch-messages", s.changes);
    role.measured("messages of the watch, all changes", messages, "a second", "`src/directory/watch.rs`");
    let bytes = at("watch-bytes", s.changes).map(|bytes| bytes.times(1e-3));
    role.measured("bytes of the watch, all changes", bytes, "KB a second", "`src/directory/watch.rs`");
    role.assumed(
        "bytes of the watch, own region",
        s.watch_bytes(s.relevant_changes) / 1e3,
        "KB a second",
        &own_list_note,
    );
    let cores = |figure: Option<Figure>| figure.map(|us| us.times(1e-6));
    let idle = |build: &str| cores(at(&format!("idle-cpu-by-stores-{build}"), stores));
    role.measured("processor time without queries, build before", idle("before"), "cores", "`src/decide.rs`");
    role.measured("processor time without queries, now", idle("now"), "cores", "`src/decide.rs`");
    for (build, series) in [("build before", "control-cpu-before"), ("now", "control-cpu-now")] {
        let what = format!("processor time with a change a second, {build}");
        role.measured(&what, cores(at(series, stores)), "cores", "`src/decide.rs`");
    }
    let changes = |figure: Option<Figure>| figure.map(|each| each.times(s.changes / 1e6));
    let before = changes(at("change-before", stores * s.in_flight));
    role.measured(
        "processor time of changes in the module, build before",
        before,
        "cores",
        "`src/decide.rs`",
    );
    let now = changes(at("module_changed_line_by_in_flight_at_57000", s.in_flight));
    role.measured("processor time of changes in the module, now", now, "cores", "`src/decide.rs`");
    role.assumed("connections to discovery", 1.0, "connection", "`src/directory/watch.rs`");
    role.block()
}

fn run_store(s: &Sizes) -> Block {
    let mut role = Role::new("run-store");
    role.assumed("parts, from all aggregators", s.store_parts, "a second", "`src/decide.rs` (least finish)");
    role.assumed("parts out there", s.store_parts * s.assumptions.part_ms / 1000.0, "parts", "`src/pace.rs`");
    role.assumed("messages in and out", s.store_parts * 2.0, "a second", "`src/transport`");
    let bytes = s.slopes.at("part-bytes", s.in_flight).map(|each| each.times(s.store_parts / 1e6));
    role.measured("bytes in and out", bytes, "MB a second", "`src/transport`");
    role.assumed(
        "connections and descriptors, all to all",
        s.assumptions.aggregators,
        "connections",
        "`src/transport`",
    );
    let subset_note = format!("{MISSING}subsets by rendezvous hashing");
    role.assumed("connections and descriptors, chosen holders", s.senders, "connections", &subset_note);
    let each = |senders: f64| s.store_parts / senders;
    role.assumed(
        "parts on each connection, all to all",
        each(s.assumptions.aggregators),
        "a second",
        "`src/transport`",
    );
    role.assumed("parts on each connection, chosen holders", each(s.senders), "a second", &subset_note);
    role.measured("processor time and memory of a connection there", None, "", "the run stores' own");
    role.block()
}

fn discovery(s: &Sizes) -> Block {
    let mut role = Role::new("discovery");
    let (all, few) = (s.assumptions.aggregators, s.assumptions.control_machines);
    let control_tier_note = format!("{MISSING}a tier of control machines that watch for the aggregators");
    role.assumed("lines held", s.assumptions.run_stores, "lines", "the platform's");
    let whole = s.list_bytes(s.assumptions.run_stores).times(1e-6);
    role.measured("a whole list", Some(whole), "MB", "the platform's");
    role.assumed("lines that change", s.changes, "a second", "the platform's");
    // The series by number of watchers, which the loop below reads, were measured at one change a second. Their figures
    // are not scaled to `s.changes`.
    let at = |series: &str, watchers: f64, unit_factor: f64| {
        s.slopes.at(series, watchers).map(|figure| figure.times(unit_factor))
    };
    for (how, watchers, implemented_by) in [
        ("today", all, "`src/directory/watch.rs`"),
        ("through control machines", few, control_tier_note.as_str()),
    ] {
        role.assumed(&format!("watchers, {how}"), watchers, "connections", implemented_by);
        for (what, series, unit_factor, unit) in [
            ("calls at a change a second", "discovery-calls", 1.0, "a second"),
            ("bytes out at a change a second", "discovery-bytes", 1e-3, "KB a second"),
            ("processor time at a change a second", "discovery-cpu", 1e-3, "cores"),
            ("memory, few lines", "discovery-memory", 1.0, "MB"),
            ("descriptors", "discovery-descriptors", 1.0, "descriptors"),
        ] {
            role.measured(&format!("{what}, {how}"), at(series, watchers, unit_factor), unit, implemented_by);
        }
    }
    let lines = s.slopes.at("discovery-memory-by-lines", s.assumptions.run_stores);
    role.measured("memory with the whole list, few watchers", lines, "MB", "the platform's");
    let delay = s.slopes.at("change-in-force", all);
    role.measured(
        "a change in force at the last aggregator, p99, nothing fails",
        delay,
        "ms",
        "`src/directory/watch.rs`",
    );
    role.block()
}

fn control_machine(s: &Sizes) -> Block {
    let mut role = Role::new("control-machine");
    let control_tier_note = format!("{MISSING}in the lab alone (`crates/lab/src/scale`)");
    let whole = s.list_bytes(s.assumptions.run_stores).times(1e-6);
    role.measured("state: a whole list", Some(whole), "MB", &control_tier_note);
    role.assumed("changes, all", s.changes, "a second", &control_tier_note);
    for (served_by, watchers) in
        [("each aggregator told by one", s.aggregators_each), ("by two", s.aggregators_each * 2.0)]
    {
        role.assumed(&format!("connections, {served_by}"), watchers, "connections", &control_tier_note);
        let messages = s.slopes.at("watch-messages", s.changes).map(|each| each.times(watchers));
        role.measured(&format!("messages, {served_by}"), messages, "a second", &control_tier_note);
        // The series below were measured at one change a second; their figures are not scaled to `s.changes`.
        for (what, series, unit_factor, unit) in [
            ("bytes at a change a second", "relay-bytes", 1e-3, "KB a second"),
            ("processor time at a change a second", "relay-cpu", 1e-3, "cores"),
            ("memory, few lines", "relay-memory", 1.0, "MB"),
            ("descriptors", "relay-descriptors", 1.0, "descriptors"),
        ] {
            let figure = s.slopes.at(series, watchers).map(|figure| figure.times(unit_factor));
            role.measured(&format!("{what}, {served_by}"), figure, unit, &control_tier_note);
        }
    }
    let delay = s.slopes.at("relay-in-force", s.aggregators_each);
    role.measured(
        "a change in force at the last aggregator of all, p99, nothing fails",
        delay,
        "ms",
        &control_tier_note,
    );
    role.block()
}

fn operators(s: &Sizes) -> Block {
    let mut role = Role::new("operators-tools");
    role.assumed(
        "readings of figures, all aggregators",
        s.assumptions.aggregators / s.assumptions.scrape_s,
        "a second",
        "`GET /stats` (`src/operator`)",
    );
    role.assumed(
        "bytes of figures, all aggregators",
        s.assumptions.aggregators / s.assumptions.scrape_s * s.assumptions.scrape_bytes / 1e6,
        "MB a second",
        "`src/counters.rs`",
    );
    let recorded = s.parts * s.assumptions.trace_bytes_per_part;
    role.assumed("a recording, an aggregator", recorded / 1e6, "MB a second", "`src/trace`");
    role.assumed(
        "a recording that is kept lasts",
        s.assumptions.trace_keep_mb * 1_048_576.0 / recorded / 60.0,
        "minutes",
        &format!("`trace.keep_mb`; {MISSING}sampling"),
    );
    role.assumed("connections, an aggregator", 1.0, "connection", "`src/operator`");
    role.block()
}
