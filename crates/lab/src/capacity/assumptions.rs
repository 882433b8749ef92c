//! The assumptions: parameters of the capacity computation that are not measured.

use std::collections::BTreeSet;

use serde::de::value::{Error, MapDeserializer};
use serde::Deserialize;

/// An assumption as the file lists it.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assumption {
    /// The name, which is unique.
    pub name: String,
    /// The value.
    pub value: f64,
    /// The unit of the value.
    pub unit: String,
    /// The source of the value.
    pub source: String,
}

/// The values of all assumptions by name.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assumptions {
    pub aggregators: f64,
    pub run_stores: f64,
    pub queries_per_s: f64,
    pub parts_per_query: f64,
    pub wanted_ms: f64,
    pub served_in_time: f64,
    pub regions: f64,
    pub zones: f64,
    pub changes_per_day: f64,
    pub in_force_s: f64,
    pub control_core: f64,
    pub control_mb: f64,
    pub control_kb_per_s: f64,
    pub control_machines: f64,
    pub failures_per_day: f64,
    pub restarts_per_day: f64,
    pub tick_ms: f64,
    pub part_ms: f64,
    pub holders: f64,
    pub chosen_holders: f64,
    pub most_connections: f64,
    pub lines_per_restart: f64,
    pub line_bytes: f64,
    pub line_regions: f64,
    pub most_list_bytes: f64,
    pub whole_list_ms: f64,
    pub busy: f64,
    pub rack_stores: f64,
    pub machine_mb_per_s: f64,
    pub cold_from: f64,
    pub cold_multiple: f64,
    pub cold_window_ms: f64,
    pub warm_within_ms: f64,
    pub repeat_ratio: f64,
    pub repeats_saved_by_all: f64,
    pub patience_of_aim: f64,
    pub patience_of_usual: f64,
    pub scrape_s: f64,
    pub scrape_bytes: f64,
    pub trace_bytes_per_part: f64,
    pub trace_keep_mb: f64,
    pub seed: f64,
}

impl Assumptions {
    /// Reads the values from a file's list.
    ///
    /// # Errors
    /// Names the assumption that is missing, unknown, duplicated or out of range.
    pub fn of(list: &[Assumption]) -> Result<Self, String> {
        let mut names = BTreeSet::new();
        for one in list {
            if !names.insert(&one.name) {
                return Err(format!("assumption {}: there are two of that name", one.name));
            }
            if !(one.value.is_finite() && one.value > 0.0) {
                return Err(format!("assumption {}: must be more than 0", one.name));
            }
        }
        let pairs = list.iter().map(|one| (one.name.as_str(), one.value));
        let all: Result<Self, Error> = Self::deserialize(MapDeserializer::new(pairs));
        let all = all.map_err(|error| error.to_string())?;
        let whole =
            [("aggregators", all.aggregators), ("run_stores", all.run_stores), ("holders", all.holders)];
        if let Some((name, _)) = whole.iter().find(|(_, value)| value.fract() != 0.0) {
            return Err(format!("assumption {name}: must be a whole number"));
        }
        for (name, sound) in [
            ("served_in_time", all.served_in_time < 1.0),
            ("busy", all.busy <= 1.0),
            ("chosen_holders", (1.0..=all.holders).contains(&all.chosen_holders)),
            ("zones", all.zones >= 2.0 * all.regions),
            ("line_regions", all.line_regions <= all.regions),
            ("warm_within_ms", all.warm_within_ms >= 1000.0),
        ] {
            if !sound {
                return Err(format!("assumption {name}: is out of range"));
            }
        }
        Ok(all)
    }
}
