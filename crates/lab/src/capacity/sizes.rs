//! What the full size comes to, before any slope: counts and rates that follow from the assumptions.

use ironpaddle::asking::WATCH_WAIT;
use ironpaddle::http::write;

use super::assumptions::Assumptions;
use super::fit::{Figure, Slopes};

const DAY: f64 = 86_400.0;
/// What an answer of the watch holds around its lines, head included.
const EMPTY_ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 45\r\n\r\n\
    {\"index\":1234567,\"snapshot\":false,\"endpoints\":[]}";

/// Counts and rates at the full size; a second each where nothing else is said.
pub struct Sizes<'a> {
    /// What is taken as given.
    pub a: &'a Assumptions,
    /// What was measured.
    pub slopes: &'a Slopes,
    /// Of an aggregator: queries and parts.
    pub queries: f64,
    /// See `queries`.
    pub parts: f64,
    /// Parts out and queries open, by Little's law.
    pub in_flight: f64,
    /// See `in_flight`.
    pub open: f64,
    /// Parts that a run store gets from all.
    pub store_parts: f64,
    /// Of a region: aggregators, run stores, blocks.
    pub region_aggregators: f64,
    /// See `region_aggregators`.
    pub region_stores: f64,
    /// See `region_aggregators`.
    pub blocks: f64,
    /// Connections of an aggregator to run stores, and of a run store from aggregators, by chosen holders.
    pub connections: f64,
    /// See `connections`.
    pub senders: f64,
    /// Lines of the list that change.
    pub changes: f64,
    /// Of these, such that concern an aggregator.
    pub own_changes: f64,
    /// Lines of the list that concern an aggregator.
    pub own_lines: f64,
    /// Aggregators for each control machine.
    pub told_each: f64,
    /// Calls of a watch while nothing changes.
    pub watch_calls: f64,
    /// Bytes of such a call, and of its answer without lines.
    pub call_bytes: f64,
    /// See `call_bytes`.
    pub answer_bytes: f64,
}

impl<'a> Sizes<'a> {
    /// Works them out.
    pub fn new(a: &'a Assumptions, slopes: &'a Slopes) -> Self {
        let queries = a.queries_per_s / a.aggregators;
        let parts = queries * a.parts_per_query;
        let (region_aggregators, region_stores) = (a.aggregators / a.regions, a.run_stores / a.regions);
        let blocks = region_stores / a.holders;
        let connections = blocks * a.chosen_holders;
        let changes =
            (a.changes_per_day + (a.restarts_per_day + a.failures_per_day) * a.lines_per_restart) / DAY;
        let request =
            write::request("GET", "/v1/servers?after=1234567&wait_ms=3000", "10.1.0.18:8080", &[], &[]);
        Sizes {
            a,
            slopes,
            queries,
            parts,
            in_flight: parts * a.part_ms / 1000.0,
            open: queries * a.wanted_ms / 1000.0,
            store_parts: a.queries_per_s * a.parts_per_query / a.run_stores,
            region_aggregators,
            region_stores,
            blocks,
            connections,
            senders: connections * region_aggregators / region_stores,
            changes,
            own_changes: changes * a.line_regions / a.regions,
            own_lines: a.run_stores * a.line_regions / a.regions,
            told_each: a.aggregators / a.control_machines,
            watch_calls: 1000.0 / WATCH_WAIT,
            call_bytes: request.len() as f64,
            answer_bytes: EMPTY_ANSWER.len() as f64,
        }
    }

    /// A whole list, in bytes.
    pub fn list_bytes(&self, lines: f64) -> Figure {
        self.slopes.at("list-bytes", lines).unwrap_or(Figure::plain(lines * self.a.line_bytes))
    }

    /// A quiet tick by the build before, in microseconds, at so many run stores and parts in flight.
    pub fn tick_before(&self, stores: f64, flights: f64) -> Option<Figure> {
        self.slopes.at("quiet-tick-before", stores * flights)
    }

    /// A quiet tick now, at so many parts in flight and all run stores.
    pub fn tick_now(&self, flights: f64) -> Option<Figure> {
        self.slopes.at("module_quiet_tick_by_in_flight_at_57000", flights)
    }

    /// The share of a core that quiet ticks take, from what one takes in microseconds.
    pub fn of_core(&self, tick_us: &Figure) -> Figure {
        tick_us.times(1.0 / (self.a.tick_ms * 1000.0))
    }

    /// The cores that all parts take from client to answer, by a series of processor time by parts a second.
    pub fn part_cores(&self, series: &str) -> Option<Figure> {
        Some(self.slopes.at(series, self.parts)?.times(1e-6))
    }

    /// A whole list that is known already, taken in: read, handed on and taken up by the module; in milliseconds.
    pub fn taken_in(&self, build: &str) -> Option<Figure> {
        let of = |series: &str| self.slopes.at(series, self.a.run_stores);
        let (parsed, routed) = (of(&format!("list-parsed-{build}"))?, of(&format!("list-routed-{build}"))?);
        Some(parsed.plus(&routed).plus(&of(whole_list_module(build))?.times(1e-3)))
    }

    /// Bytes that a watcher gets, when so many lines change a second.
    pub fn watch_bytes(&self, changes: f64) -> f64 {
        (self.watch_calls + changes) * (self.call_bytes + self.answer_bytes) + changes * self.a.line_bytes
    }
}

/// The series of a whole list taken up by the module, in microseconds.
pub fn whole_list_module(build: &str) -> &'static str {
    match build {
        "before" => "whole-list-module-before",
        _ => "module_whole_list_by_stores_at_5600",
    }
}
