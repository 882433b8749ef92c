//! A table for each role: what it holds and does at the full size, what that rests on, and what carries it.

use super::fit::Figure;
use super::sizes::Sizes;
use super::{plain, row, table, Block};

/// What carries a row where nothing does yet.
const MISSING: &str = "**missing**: ";

struct Role {
    name: &'static str,
    rows: Vec<Vec<String>>,
}

impl Role {
    fn new(name: &'static str) -> Self {
        Role { name, rows: Vec::new() }
    }

    fn push(&mut self, mut row: Vec<String>, carried: &str) {
        row.push(carried.to_string());
        self.rows.push(row);
    }

    /// A figure that a series gives; it may be missing.
    fn measured(&mut self, what: &str, figure: Option<Figure>, unit: &str, carried: &str) {
        self.push(row(what, figure.as_ref(), unit), carried);
    }

    /// A figure that follows from the assumptions.
    fn assumed(&mut self, what: &str, value: f64, unit: &str, carried: &str) {
        self.push(plain(what, value, unit), carried);
    }

    fn block(self) -> Block {
        Block {
            name: self.name,
            text: table(&["what", "at the full size", "rests on", "carried by"], &self.rows),
        }
    }
}

/// The tables of all roles.
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
    role.assumed(
        "queries open, a second's worth times the wanted time",
        s.open,
        "queries",
        "`src/core/ledger.rs`",
    );
    role.assumed("parts in flight", s.in_flight, "parts", "`src/decide.rs` (`flights`)");
    role.assumed("queries a second", s.queries, "queries a second", "`src/front`");
    role.assumed(
        "messages a second, to and from run stores",
        s.parts * 2.0,
        "messages a second",
        "`src/transport`",
    );
    let (call, answer) = s.part_bytes;
    role.assumed(
        "bytes to run stores",
        s.parts * call / 1e6,
        "MB a second",
        "`src/transport/frames/codec.rs`",
    );
    role.assumed(
        "bytes from run stores",
        s.parts * answer / 1e6,
        "MB a second",
        "`src/transport/frames/codec.rs`",
    );
    role.measured(
        "processor time of parts, from client to answer, while few are in flight",
        s.part_core(),
        "cores",
        &format!("one thread (`src/service/program.rs`); {MISSING}more than one"),
    );
    role.measured(
        "processor time of quiet ticks, build before, all run stores listed",
        s.tick_before(s.a.run_stores, s.in_flight).map(|tick| s.of_core(&tick)),
        "cores",
        &format!("`src/decide.rs`; {MISSING}steps that cost what is due"),
    );
    role.measured(
        "processor time of quiet ticks, now",
        s.tick_now(s.a.run_stores, s.in_flight).map(|tick| s.of_core(&tick)),
        "cores",
        "`src/decide.rs`",
    );
    role.measured(
        "memory of parts in flight",
        s.slopes.each("memory-by-flights", s.in_flight).map(|each| each.times(s.in_flight)),
        "MB",
        "`src/core/ledger.rs`, `src/decide.rs`",
    );
    role.assumed("connections to run stores, all of them", s.a.run_stores, "connections", "`src/transport`");
    role.assumed(
        "connections to run stores, chosen holders of the region's blocks",
        s.connections,
        "connections",
        &format!("{MISSING}subsets by rendezvous hashing"),
    );
    role.measured(
        "descriptors, with those",
        s.slopes.at("descriptors-by-connections", s.connections),
        "descriptors",
        "`src/config.rs` (`store_connections`): twice as many have to be allowed",
    );
    role.measured(
        "memory of those connections",
        s.slopes.each("memory-by-connections", s.connections).map(|each| each.times(s.connections)),
        "MB",
        "`src/transport`",
    );
    role.block()
}

fn control(s: &Sizes) -> Block {
    let mut role = Role::new("aggregator-control");
    let subset = format!("{MISSING}a list of what concerns the aggregator");
    role.assumed(
        "lines held, whole list",
        s.a.run_stores,
        "lines",
        "`src/core/ledger.rs` (`places`), `src/decide.rs`",
    );
    role.assumed("lines held, own region", s.own_lines, "lines", &subset);
    role.measured("memory, whole list", s.slopes.at("memory-by-stores", s.a.run_stores), "MB", "the same");
    role.measured("memory, own region", s.slopes.at("memory-by-stores", s.own_lines), "MB", &subset);
    let messages = |changes: f64| (s.watch_calls + changes) * 2.0;
    role.assumed(
        "messages of the watch, all changes",
        messages(s.changes),
        "a second",
        "`src/directory/watch.rs`",
    );
    role.assumed(
        "bytes of the watch, all changes",
        s.watch_bytes(s.changes) / 1000.0,
        "KB a second",
        "the same",
    );
    role.assumed(
        "bytes of the watch, own region",
        s.watch_bytes(s.own_changes) / 1000.0,
        "KB a second",
        &subset,
    );
    role.measured(
        "processor time of an idle aggregator with the whole list, build before",
        s.slopes.at("idle-cpu-by-stores", s.a.run_stores).map(|idle| idle.times(1e-6)),
        "cores",
        "`src/decide.rs`, `src/core/drive.rs`",
    );
    role.measured(
        "processor time of changes, build before",
        s.slopes.at("change-before", s.a.run_stores * s.in_flight).map(|each| each.times(s.changes / 1e6)),
        "cores",
        "`src/decide.rs`",
    );
    role.measured(
        "processor time of changes, now",
        s.slopes.at("change-by-stores", s.a.run_stores).map(|each| each.times(s.changes / 1e6)),
        "cores",
        "`src/decide.rs`",
    );
    role.assumed("connections to discovery", 1.0, "connection", "`src/directory/watch.rs`");
    role.block()
}

fn run_store(s: &Sizes) -> Block {
    let mut role = Role::new("run-store");
    role.assumed("parts, from all aggregators", s.store_parts, "a second", "`src/decide.rs` (least finish)");
    role.assumed("parts out there", s.store_parts * s.a.part_ms / 1000.0, "parts", "`src/pace.rs`");
    let (call, answer) = s.part_bytes;
    role.assumed("bytes in and out", s.store_parts * (call + answer) / 1e6, "MB a second", "`src/transport`");
    role.assumed("connections, all to all", s.a.aggregators, "connections", "`src/transport`");
    let subset = format!("{MISSING}subsets by rendezvous hashing");
    role.assumed("connections, chosen holders", s.senders, "connections", &subset);
    role.assumed(
        "parts a second on each connection, all to all",
        s.store_parts / s.a.aggregators,
        "a second",
        "`src/transport`",
    );
    role.assumed(
        "parts a second on each connection, chosen holders",
        s.store_parts / s.senders,
        "a second",
        &subset,
    );
    role.measured(
        "processor time of a connection that is made",
        s.slopes.at("store-accepts", s.senders),
        "us",
        "the run stores' own",
    );
    role.block()
}

fn discovery(s: &Sizes) -> Block {
    let mut role = Role::new("discovery");
    let tree = format!("{MISSING}a tier of control machines that watch for the aggregators");
    role.assumed("lines held", s.a.run_stores, "lines", "the platform's");
    role.measured("a whole list", Some(s.list_bytes(s.a.run_stores).times(1e-6)), "MB", "the platform's");
    role.assumed("lines that change", s.changes, "a second", "the platform's");
    role.assumed("watchers, today", s.a.aggregators, "connections", "`src/directory/watch.rs`");
    role.assumed("watchers, through control machines", s.a.control_machines, "connections", &tree);
    let calls = |watchers: f64| watchers * (s.watch_calls + s.changes);
    role.assumed(
        "calls, today",
        calls(s.a.aggregators),
        "a second",
        "`src/directory/watch.rs`, `src/asking.rs`",
    );
    role.assumed("calls, through control machines", calls(s.a.control_machines), "a second", &tree);
    role.assumed(
        "bytes out, today",
        s.a.aggregators * s.watch_bytes(s.changes) / 1e6,
        "MB a second",
        "`src/directory/watch.rs`",
    );
    role.assumed(
        "bytes out, through control machines",
        s.a.control_machines * s.watch_bytes(s.changes) / 1e3,
        "KB a second",
        &tree,
    );
    role.block()
}

fn control_machine(s: &Sizes) -> Block {
    let mut role = Role::new("control-machine");
    let tree = format!("{MISSING}no such program is there");
    role.measured("state: a whole list", Some(s.list_bytes(s.a.run_stores).times(1e-6)), "MB", &tree);
    role.assumed("aggregators that it tells", s.told_each, "connections", &tree);
    role.assumed("the same, each told by two", s.told_each * 2.0, "connections", &tree);
    let calls = |each: f64| each * (s.watch_calls + s.own_changes) * 2.0;
    role.assumed("messages, each told by two", calls(s.told_each * 2.0), "a second", &tree);
    role.assumed(
        "bytes out, each told by two",
        s.told_each * 2.0 * s.watch_bytes(s.own_changes) / 1e3,
        "KB a second",
        &tree,
    );
    role.measured(
        "processor time, by a stand-in",
        s.slopes.at("relay-cpu-by-watchers", s.told_each * 2.0).map(|us| us.times(1e-6)),
        "cores",
        &tree,
    );
    role.measured(
        "memory, by a stand-in",
        s.slopes.at("relay-memory-by-watchers", s.told_each * 2.0),
        "MB",
        &tree,
    );
    role.block()
}

fn operators(s: &Sizes) -> Block {
    let mut role = Role::new("operators-tools");
    role.assumed(
        "readings of figures, all aggregators",
        s.a.aggregators / s.a.scrape_s,
        "a second",
        "`GET /stats` (`src/operator`)",
    );
    role.assumed(
        "bytes of figures, all aggregators",
        s.a.aggregators / s.a.scrape_s * s.a.scrape_bytes / 1e6,
        "MB a second",
        "`src/counters.rs`",
    );
    let recorded = s.parts * s.a.trace_bytes_per_part;
    role.assumed("a recording, an aggregator", recorded / 1e6, "MB a second", "`src/trace`");
    role.assumed(
        "a recording that is kept lasts",
        s.a.trace_keep_mb * 1_048_576.0 / recorded / 60.0,
        "minutes",
        &format!("`trace.keep_mb`; {MISSING}sampling"),
    );
    role.assumed("connections, an aggregator", 1.0, "connection", "`src/operator`");
    role.block()
}
