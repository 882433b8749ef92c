//! Counts and rates at full size that follow from the assumptions, and figures that combine them with series.

use ironpaddle::asking::WATCH_WAIT;
use ironpaddle::http::write;

use super::assumptions::Assumptions;
use super::fit::{Figure, Slopes};

/// Seconds of a day.
const DAY_S: f64 = 86_400.0;
/// A watch response without entries, including its head.
const EMPTY_RESPONSE: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 45\r\n\r\n\
    {\"index\":1234567,\"snapshot\":false,\"endpoints\":[]}";

/// Counts and rates at full size; rates are per second.
pub struct Sizes<'a> {
    /// The assumptions.
    pub assumptions: &'a Assumptions,
    /// The measured series.
    pub slopes: &'a Slopes,
    /// Queries of an aggregator.
    pub queries: f64,
    /// Parts of an aggregator.
    pub parts: f64,
    /// Parts in flight at an aggregator, by Little's law.
    pub in_flight: f64,
    /// Open queries of an aggregator, by Little's law.
    pub open_queries: f64,
    /// Parts that a run store receives from all aggregators.
    pub store_parts: f64,
    /// Aggregators of a region.
    pub region_aggregators: f64,
    /// Run stores of a region.
    pub region_stores: f64,
    /// Blocks of a region.
    pub blocks: f64,
    /// Connections of an aggregator to run stores if it connects only to chosen holders.
    pub connections: f64,
    /// Connections of a run store from aggregators if they connect only to chosen holders.
    pub senders: f64,
    /// Changes of list entries.
    pub changes: f64,
    /// Changes of list entries that are relevant to an aggregator.
    pub relevant_changes: f64,
    /// List entries that are relevant to an aggregator.
    pub relevant_entries: f64,
    /// The number of aggregators that each control machine serves.
    pub aggregators_each: f64,
    /// Requests of a watch while nothing changes.
    pub watch_calls: f64,
    /// Bytes of a watch request.
    pub call_bytes: f64,
    /// Bytes of a watch response without entries.
    pub response_bytes: f64,
}

impl<'a> Sizes<'a> {
    /// Computes the counts and rates.
    pub fn new(assumptions: &'a Assumptions, slopes: &'a Slopes) -> Self {
        let queries = assumptions.queries_per_s / assumptions.aggregators;
        let parts = queries * assumptions.parts_per_query;
        let (region_aggregators, region_stores) =
            (assumptions.aggregators / assumptions.regions, assumptions.run_stores / assumptions.regions);
        let blocks = region_stores / assumptions.holders;
        let connections = blocks * assumptions.chosen_holders;
        let changes = (assumptions.changes_per_day
            + (assumptions.restarts_per_day + assumptions.failures_per_day) * assumptions.lines_per_restart)
            / DAY_S;
        let request =
            write::request("GET", "/v1/servers?after=1234567&wait_ms=3000", "10.1.0.18:8080", &[], &[]);
        Sizes {
            assumptions,
            slopes,
            queries,
            parts,
            in_flight: parts * assumptions.part_ms / 1000.0,
            open_queries: queries * assumptions.wanted_ms / 1000.0,
            store_parts: assumptions.queries_per_s * assumptions.parts_per_query / assumptions.run_stores,
            region_aggregators,
            region_stores,
            blocks,
            connections,
            senders: connections * region_aggregators / region_stores,
            changes,
            relevant_changes: changes * assumptions.line_regions / assumptions.regions,
            relevant_entries: assumptions.run_stores * assumptions.line_regions / assumptions.regions,
            aggregators_each: assumptions.aggregators / assumptions.control_machines,
            watch_calls: 1000.0 / WATCH_WAIT,
            call_bytes: request.len() as f64,
            response_bytes: EMPTY_RESPONSE.len() as f64,
        }
    }

    /// Returns the size of a whole list, in bytes.
    pub fn list_bytes(&self, lines: f64) -> Figure {
        self.slopes.at("list-bytes", lines).unwrap_or(Figure::assumed(lines * self.assumptions.line_bytes))
    }

    /// Returns the CPU time of a tick without events in the earlier build, in microseconds, by run stores and parts in
    /// flight.
    pub fn tick_before(&self, stores: f64, in_flight: f64) -> Option<Figure> {
        self.slopes.at("quiet-tick-before", stores * in_flight)
    }

    /// Returns the CPU time of a tick without events in the current build, in microseconds, by parts in flight with all
    /// run stores listed.
    pub fn tick_now(&self, in_flight: f64) -> Option<Figure> {
        self.slopes.at("module_quiet_tick_by_in_flight_at_57000", in_flight)
    }

    /// Returns the share of a core that ticks take, from the CPU time of one in microseconds.
    pub fn core_share(&self, tick_us: &Figure) -> Figure {
        tick_us.times(1.0 / (self.assumptions.tick_ms * 1000.0))
    }

    /// Returns the cores that all parts of an aggregator take, by a series of CPU time by parts a second.
    pub fn part_cores(&self, series: &str) -> Option<Figure> {
        Some(self.slopes.at(series, self.parts)?.times(1e-6))
    }

    /// Returns the time to process a whole list of known entries, in milliseconds: parsing it, routing it through the
    /// core and applying it in the decision module.
    pub fn list_processing(&self, build: &str) -> Option<Figure> {
        let of = |series: &str| self.slopes.at(series, self.assumptions.run_stores);
        let (parsed, routed) = (of(&format!("list-parsed-{build}"))?, of(&format!("list-routed-{build}"))?);
        Some(parsed.plus(&routed).plus(&of(whole_list_module(build))?.times(1e-3)))
    }

    /// Returns the bytes that a watch transfers per second at a rate of changed entries.
    pub fn watch_bytes(&self, changes: f64) -> f64 {
        (self.watch_calls + changes) * (self.call_bytes + self.response_bytes)
            + changes * self.assumptions.line_bytes
    }
}

/// Returns the name of the series for applying a whole list in the decision module, in microseconds.
pub fn whole_list_module(build: &str) -> &'static str {
    match build {
        "before" => "whole-list-module-before",
        _ => "module_whole_list_by_stores_at_5600",
    }
}
