//! Sweeps: repeats the run with one size growing at a time, and writes the series for `capacity`.

use std::io::ErrorKind;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};

use clap::ValueEnum;
use plotters::prelude::*;
use serde::{Deserialize, Serialize};

use super::outcome::{draw, Outcome, Panel, RoleUsage};
use super::{bounds, run_once, Options};

/// The size that a sweep varies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Axis {
    /// Simulated aggregators.
    #[value(name = "hollow")]
    Simulated,
    /// Entries of the run store list.
    RunStores,
    /// List changes per second.
    Changes,
    /// Parts in flight at each real aggregator.
    InFlight,
    /// Relays between discovery and the aggregators; the more there are, the fewer aggregators each one serves.
    Relays,
    /// All sizes, one after the other.
    All,
}

/// A measured figure by size, to which `capacity` fits a line.
#[derive(Debug, Serialize, Deserialize)]
struct Series {
    name: String,
    x: String,
    unit: String,
    command: String,
    fixed: String,
    build: String,
    points: Vec<[f64; 2]>,
}

/// All series of a slopes file.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Slopes {
    #[serde(default)]
    series: Vec<Series>,
}

/// Computes a figure of a run; `None` if the run does not have it.
type Figure = fn(&Options, &Outcome) -> Option<f64>;

/// The name, unit and function of a figure.
type NamedFigure = (&'static str, &'static str, Figure);

fn named(name: &'static str, unit: &'static str, figure: Figure) -> NamedFigure {
    (name, unit, figure)
}

/// Computes a figure from the usage of a role.
fn role_figure(run: &Outcome, name: &str, of: impl Fn(&RoleUsage) -> f64) -> Option<f64> {
    run.roles.get(name).map(of)
}

/// Computes a figure per simulated aggregator.
fn per_simulated(run: &Outcome, of: impl Fn(&RoleUsage) -> f64) -> Option<f64> {
    role_figure(run, "hollow", |used| of(used) / used.members as f64)
}

/// Computes a figure per relay.
fn per_relay(run: &Outcome, of: impl Fn(&RoleUsage) -> f64) -> Option<f64> {
    role_figure(run, "relays", |used| of(used) / used.members as f64)
}

fn discovery_cpu(_: &Options, run: &Outcome) -> Option<f64> {
    role_figure(run, "discovery", |used| used.cpu_ms_per_s)
}

fn discovery_memory(_: &Options, run: &Outcome) -> Option<f64> {
    role_figure(run, "discovery", |used| used.memory as f64)
}

fn control_cpu(_: &Options, run: &Outcome) -> Option<f64> {
    per_simulated(run, |used| used.cpu_ms_per_s * 1000.0)
}

fn change_in_force_p99(_: &Options, run: &Outcome) -> Option<f64> {
    run.changes.all.map(|times| times.p99)
}

fn cpu_per_part(_: &Options, run: &Outcome) -> Option<f64> {
    Some(run.queries.as_ref()?.cpu_us_per_part)
}

fn real_memory(options: &Options, run: &Outcome) -> Option<f64> {
    role_figure(run, "real", |used| used.memory as f64 / options.real as f64)
}

impl Axis {
    /// Returns what the x axis counts.
    fn x_label(self) -> &'static str {
        match self {
            Axis::Simulated => "hollow aggregators",
            Axis::RunStores => "run stores listed",
            Axis::Changes => "changes a second",
            Axis::InFlight => "parts in flight at an aggregator",
            Axis::Relays => "aggregators of a relay",
            Axis::All => "sizes",
        }
    }

    /// Returns the suffix of the names of the series of this axis.
    fn series_suffix(self) -> &'static str {
        match self {
            Axis::Simulated => "by-aggregators",
            Axis::RunStores => "by-run-stores",
            Axis::Changes => "by-changes",
            Axis::InFlight => "by-in-flight",
            Axis::Relays => "by-aggregators-of-a-relay",
            Axis::All => "by-size",
        }
    }

    /// Returns the sizes that are run.
    fn sizes(self) -> &'static [f64] {
        match self {
            Axis::Simulated => &[10.0, 30.0, 100.0, 300.0, 1000.0, 3000.0],
            Axis::RunStores => &[60.0, 200.0, 600.0, 2000.0, 6000.0, 20000.0, 57000.0],
            Axis::Changes => &[0.0, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0],
            Axis::InFlight => &[10.0, 30.0, 100.0, 300.0, 1000.0, 3000.0],
            Axis::Relays => &[1.0, 2.0, 4.0, 8.0, 16.0, 28.0],
            Axis::All => &[],
        }
    }

    /// Returns the options with this size set.
    fn with_size(self, base: &Options, size: f64) -> Options {
        let mut options = base.clone();
        match self {
            Axis::Simulated => options.simulated = size as usize,
            Axis::RunStores => options.run_stores = size as usize,
            Axis::Changes => options.changes = size,
            Axis::InFlight => options.in_flight = size as usize,
            Axis::Relays => options.relays = size as usize,
            Axis::All => {}
        }
        options
    }

    /// Returns the x value of a size. For relays it is the number of aggregators that each one serves.
    fn x_value(self, options: &Options, size: f64) -> f64 {
        match self {
            Axis::Relays => (options.simulated + options.real) as f64 / size,
            _ => size,
        }
    }

    /// Describes the sizes that are held fixed.
    fn fixed_sizes(self, base: &Options) -> String {
        let all = [
            (Axis::RunStores, format!("{} run stores", base.run_stores)),
            (Axis::Simulated, format!("{} hollow aggregators", base.simulated)),
            (Axis::InFlight, format!("{} parts in flight at each of {} real", base.in_flight, base.real)),
            (Axis::Relays, format!("{} relays", base.relays)),
            (Axis::Changes, format!("{} changes a second", base.changes)),
        ];
        let held: Vec<String> =
            all.into_iter().filter(|(axis, _)| *axis != self).map(|(_, text)| text).collect();
        held.join(", ")
    }

    /// Returns the figures that this axis yields.
    fn figures(self) -> Vec<NamedFigure> {
        match self {
            Axis::Simulated => vec![
                named("discovery-cpu", "ms of a core a second", discovery_cpu),
                named("discovery-calls", "calls a second", |_, run| {
                    role_figure(run, "discovery", |used| used.messages_in_per_s)
                }),
                named("discovery-bytes-out", "bytes a second", |_, run| {
                    role_figure(run, "discovery", |used| used.bytes_out_per_s)
                }),
                named("discovery-memory", "bytes", discovery_memory),
                named("discovery-descriptors", "descriptors", |_, run| {
                    role_figure(run, "discovery", |used| used.descriptors as f64)
                }),
                named("control-cpu-of-all", "ms of a core a second", |_, run| {
                    role_figure(run, "hollow", |used| used.cpu_ms_per_s)
                }),
                named("control-memory-of-all", "bytes", |_, run| {
                    role_figure(run, "hollow", |used| used.memory as f64)
                }),
                named("change-in-force-p50", "ms to the last aggregator", |_, run| {
                    run.changes.all.map(|times| times.p50)
                }),
                named("change-in-force-p99", "ms to the last aggregator", change_in_force_p99),
            ],
            Axis::RunStores => vec![
                named("control-cpu", "us of a core a second and aggregator", control_cpu),
                named("control-memory", "bytes an aggregator", |_, run| {
                    per_simulated(run, |used| used.memory as f64)
                }),
                named("whole-list", "bytes", |_, run| Some(run.whole_list_bytes as f64)),
                named("discovery-memory", "bytes", discovery_memory),
                named("serving-cpu-per-part", "us of a core a part", cpu_per_part),
                named("serving-memory", "bytes an aggregator", real_memory),
                named("change-in-force-p99", "ms to the last aggregator", change_in_force_p99),
            ],
            Axis::Changes => vec![
                named("control-cpu", "us of a core a second and aggregator", control_cpu),
                named("control-bytes", "bytes a second and aggregator, both ways", |_, run| {
                    per_simulated(run, |used| used.bytes_in_per_s + used.bytes_out_per_s)
                }),
                named("control-messages", "messages a second and aggregator, both ways", |_, run| {
                    per_simulated(run, |used| used.messages_in_per_s + used.messages_out_per_s)
                }),
                named("discovery-cpu", "ms of a core a second", discovery_cpu),
                named("change-in-force-p99", "ms to the last aggregator", change_in_force_p99),
            ],
            Axis::InFlight => vec![
                named("serving-cpu", "ms of a core a second and aggregator", |options, run| {
                    role_figure(run, "real", |used| used.cpu_ms_per_s / options.real as f64)
                }),
                named("serving-cpu-per-part", "us of a core a part", cpu_per_part),
                named("serving-parts", "parts a second, all aggregators", |_, run| {
                    Some(run.queries.as_ref()?.parts_per_s)
                }),
                named("serving-latency-p99", "ms", |_, run| Some(run.queries.as_ref()?.p99_ms)),
                named("serving-memory", "bytes an aggregator", real_memory),
                named("serving-descriptors", "descriptors an aggregator", |options, run| {
                    role_figure(run, "real", |used| used.descriptors as f64 / options.real as f64)
                }),
                named("run-store-bytes-per-part", "bytes a part, both ways", |_, run| {
                    let parts = run.queries.as_ref()?.parts_per_s;
                    role_figure(run, "run stores", |used| {
                        (used.bytes_in_per_s + used.bytes_out_per_s) / parts
                    })
                }),
            ],
            Axis::Relays => vec![
                named("relay-cpu", "ms of a core a second and relay", |_, run| {
                    per_relay(run, |used| used.cpu_ms_per_s)
                }),
                named("relay-bytes", "bytes a second and relay, both ways", |_, run| {
                    per_relay(run, |used| used.bytes_in_per_s + used.bytes_out_per_s)
                }),
                named("relay-memory", "bytes a relay", |_, run| per_relay(run, |used| used.memory as f64)),
                named("relay-descriptors", "descriptors a relay", |_, run| {
                    per_relay(run, |used| used.descriptors as f64)
                }),
                named("change-in-force-p99", "ms to the last aggregator", change_in_force_p99),
            ],
            Axis::All => Vec::new(),
        }
    }
}

/// Runs all sizes of an axis, or of all axes, and returns whether all checks passed.
///
/// # Errors
/// If the results cannot be written or a signal interrupts the sweep.
pub fn run(base: &Options, axis: Axis, stop_requested: &AtomicBool) -> Result<bool, String> {
    let axes = match axis {
        Axis::All => vec![Axis::Simulated, Axis::RunStores, Axis::Changes, Axis::InFlight, Axis::Relays],
        one => vec![one],
    };
    let mut slopes = base.slopes.as_deref().map_or(Ok(Slopes::default()), read_slopes)?;
    let (mut outcomes, mut passed) = (Vec::new(), true);
    for axis in axes {
        let mut runs = Vec::new();
        for &size in axis.sizes() {
            let options = axis.with_size(base, size);
            if let Err(why) = bounds::check(&options) {
                println!("{} {}: not run: {why}\n", size, axis.x_label());
                continue;
            }
            match run_once(&options, stop_requested) {
                Ok(outcome) => {
                    println!("{}", outcome.tables());
                    passed &= outcome.passed();
                    runs.push((size, options, outcome));
                }
                Err(why) if stop_requested.load(Ordering::Acquire) => return Err(why),
                Err(why) => {
                    println!("{} {}: failed: {why}\n", size, axis.x_label());
                    passed = false;
                }
            }
        }
        for (name, unit, figure) in axis.figures() {
            let point = |(size, options, outcome): &(f64, Options, Outcome)| {
                figure(options, outcome).filter(|y| y.is_finite()).map(|y| [axis.x_value(options, *size), y])
            };
            let points: Vec<_> = runs.iter().filter_map(point).collect();
            if points.is_empty() {
                continue;
            }
            let name = format!("{name}-{}", axis.series_suffix());
            slopes.series.retain(|series| series.name != name);
            slopes.series.push(Series {
                name,
                x: axis.x_label().to_string(),
                unit: unit.to_string(),
                command: format!("{} --sweep {}", base.command(), name_of(axis)),
                fixed: axis.fixed_sizes(base),
                build: base.build.clone(),
                points,
            });
        }
        outcomes.extend(runs.into_iter().map(|(_, _, outcome)| outcome));
    }
    let text = toml::to_string(&slopes).map_err(|error| error.to_string())?;
    let write = |path: &Path, text: &str| {
        std::fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))
    };
    match &base.slopes {
        Some(path) => write(path, &text)?,
        None => print!("{text}"),
    }
    if let Some(path) = &base.json {
        let text = serde_json::to_string_pretty(&outcomes).map_err(|error| error.to_string())?;
        write(path, &(text + "\n"))?;
    }
    if let Some(path) = &base.chart {
        chart(path, &slopes)?;
    }
    Ok(passed)
}

/// Reads the series of earlier sweeps from a file; those of other axes are kept and appear in the chart too.
fn read_slopes(path: &Path) -> Result<Slopes, String> {
    match std::fs::read_to_string(path) {
        Ok(text) => toml::from_str(&text).map_err(|error| format!("{}: {error}", path.display())),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(Slopes::default()),
        Err(error) => Err(format!("{}: {error}", path.display())),
    }
}

/// Returns the command-line name of an axis.
fn name_of(axis: Axis) -> String {
    axis.to_possible_value().map(|value| value.get_name().to_string()).unwrap_or_default()
}

/// Draws all series as an SVG file with a panel for each.
fn chart(path: &Path, slopes: &Slopes) -> Result<(), String> {
    const COLUMNS: usize = 4;
    let rows = slopes.series.len().div_ceil(COLUMNS).max(1);
    let root = SVGBackend::new(path, (1400, 260 * rows as u32)).into_drawing_area();
    let failed = |why: String| format!("{}: {why}", path.display());
    for (area, series) in root.split_evenly((rows, COLUMNS)).iter().zip(&slopes.series) {
        let points: Vec<_> = series.points.iter().map(|[x, y]| (*x, *y)).collect();
        let panel = Panel { title: &series.name, x: &series.x, unit: &series.unit };
        let log = points.iter().all(|(x, y)| *x > 0.0 && *y > 0.0);
        draw(area, &panel, &points, log).map_err(failed)?;
    }
    root.present().map_err(|error| failed(error.to_string()))
}
