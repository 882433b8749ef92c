//! The results of a run: what each role used, and how soon changes were in force.

use std::collections::BTreeMap;
use std::path::Path;

use plotters::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::clients::QueryCounts;
use super::events::{self, Event};
use super::hollow::SimulatedStatus;
use super::roles::Usage;
use super::wire::Traffic;
use super::{read, Options, Sample};
use crate::clients::histogram;
use crate::report::table;

/// The times of changes as discovery and the relays recorded them.
#[derive(Debug, Default, Deserialize)]
pub struct ChangeTimes {
    /// The time at which each change was published.
    #[serde(rename = "told")]
    pub published: Vec<f64>,
    /// For each real aggregator: the time at which it had applied each change.
    #[serde(rename = "taken")]
    pub applied: Vec<Vec<f64>>,
}

/// The state at the end of a run.
pub struct FinalState {
    /// The time until all aggregators had a list, in seconds.
    pub start_s: f64,
    /// Whether all changes were in force at all aggregators within `LAST_CHANGE_TIMEOUT` after the measurement.
    pub everywhere: bool,
    /// The number of simulated aggregators that held the list that results from the events.
    pub equal_lists: usize,
    /// The state of the list at the simulated aggregators.
    pub status: SimulatedStatus,
    /// The times at which changes were published and applied.
    pub change_times: ChangeTimes,
    /// Counts of queries by their outcome.
    pub counts: QueryCounts,
    /// Whether all real aggregators shut down cleanly.
    pub clean_shutdown: bool,
}

/// The resources that the processes of a role used during the measurement.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct RoleUsage {
    /// The number of processes, or of simulated aggregators.
    pub members: usize,
    /// CPU time of all members, in milliseconds per second.
    pub cpu_ms_per_s: f64,
    /// Resident memory of all members at the end, in bytes.
    pub memory: u64,
    /// Sum of the peak resident memory of the processes, in bytes.
    pub peak_memory: u64,
    /// Open descriptors of all members at the end.
    pub descriptors: u64,
    /// Received messages per second.
    pub messages_in_per_s: f64,
    /// Sent messages per second.
    pub messages_out_per_s: f64,
    /// Received bytes per second.
    pub bytes_in_per_s: f64,
    /// Sent bytes per second.
    pub bytes_out_per_s: f64,
}

impl RoleUsage {
    /// Computes the usage between two samples.
    fn of(members: usize, usage: [&[Usage]; 2], traffic: Traffic, seconds: f64) -> Self {
        let sum = |usage: &[Usage], of: fn(&Usage) -> u64| usage.iter().map(of).sum::<u64>();
        let cpu = |usage: &[Usage]| usage.iter().map(|usage| usage.cpu_ms).sum::<f64>();
        let [before, after] = usage;
        let rate = |count: u64| count as f64 / seconds;
        RoleUsage {
            members,
            cpu_ms_per_s: (cpu(after) - cpu(before)) / seconds,
            memory: sum(after, |usage| usage.memory),
            peak_memory: sum(after, |usage| usage.peak),
            descriptors: sum(after, |usage| usage.descriptors),
            messages_in_per_s: rate(traffic.messages_in),
            messages_out_per_s: rate(traffic.messages_out),
            bytes_in_per_s: rate(traffic.bytes_in),
            bytes_out_per_s: rate(traffic.bytes_out),
        }
    }
}

/// Quantiles of the times until changes were in force, in milliseconds.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Times {
    /// The median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The maximum.
    #[serde(rename = "most")]
    pub max: f64,
}

impl Times {
    /// Computes the quantiles; `None` if there are no times.
    fn of(times: impl Iterator<Item = f64>) -> Option<Self> {
        let mut histogram = histogram();
        times.for_each(|ms| histogram.saturating_record((ms.max(0.0) * 1000.0) as u64));
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        (!histogram.is_empty()).then(|| Times { p50: at(0.5), p99: at(0.99), max: at(1.0) })
    }
}

/// The list changes of a run, and how soon they were in force.
///
/// A change is in force at a simulated aggregator once the step that follows its delivery is done, and at a real one
/// once the aggregator requests later changes, which shows that it has applied this one.
#[derive(Debug, Serialize)]
pub struct Changes {
    /// The number of changes.
    pub count: usize,
    /// The digest of the events; it depends on the seed and the sizes alone.
    pub digest: String,
    /// Whether all changes were in force at all aggregators within `LAST_CHANGE_TIMEOUT` after the measurement.
    pub everywhere: bool,
    /// The number of simulated aggregators that held exactly the list that results from the events.
    #[serde(rename = "hollow_equal")]
    pub equal_lists: usize,
    /// Times from publication until the change was in force at the last simulated aggregator.
    #[serde(rename = "hollow")]
    pub simulated: Option<Times>,
    /// Times from publication until the change was in force at the last real aggregator.
    pub real: Option<Times>,
    /// Times from publication until the change was in force at the last aggregator of either kind.
    pub all: Option<Times>,
    /// For each change, the time until it was in force at the last aggregator of either kind, in milliseconds.
    pub each: Vec<f64>,
}

/// The queries of a run.
#[derive(Debug, Serialize)]
pub struct Queries {
    /// Counts by outcome, since the first query.
    #[serde(rename = "ends")]
    pub counts: QueryCounts,
    /// Parts contained in answers per second.
    pub parts_per_s: f64,
    /// The median latency of answers, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile of the latency of answers, in milliseconds.
    pub p99_ms: f64,
    /// CPU time of the real aggregators per part, in microseconds.
    pub cpu_us_per_part: f64,
}

/// The results of a run.
#[derive(Debug, Serialize)]
pub struct Outcome {
    /// The command line that repeats the run.
    pub command: String,
    /// The duration of the measurement, in seconds.
    pub seconds: f64,
    /// The time until all aggregators had a list, in seconds.
    pub start_s: f64,
    /// Resource usage by role.
    pub roles: BTreeMap<&'static str, RoleUsage>,
    /// The size of the last whole-list response, in bytes.
    pub whole_list_bytes: u64,
    /// The list changes.
    pub changes: Changes,
    /// The queries; `None` without real aggregators.
    pub queries: Option<Queries>,
    /// Whether all real aggregators shut down cleanly.
    #[serde(rename = "ended_in_order")]
    pub clean_shutdown: bool,
}

impl Outcome {
    /// Evaluates a run from the samples before and after the measurement and the state at the end.
    pub(super) fn new(
        options: &Options,
        generated: &[Event],
        [before, after]: [&Sample; 2],
        end: FinalState,
    ) -> Result<Self, String> {
        let seconds = (after.at - before.at) / 1000.0;
        let traffic = |[before, after]: [&Value; 2]| -> Result<Traffic, String> {
            Ok(read::<Traffic>(after.clone())?.since(&read(before.clone())?))
        };
        // With relays, the aggregators' traffic is counted at the relays. Discovery then counts the relays' calls under
        // `hollow`, as they use the address of the simulated aggregators.
        let discovery_reports = [&before.discovery.1, &after.discovery.1];
        let relays: Vec<_> =
            before.relays.iter().zip(&after.relays).map(|(before, after)| [&before.1, &after.1]).collect();
        let list_sources = if relays.is_empty() { vec![discovery_reports] } else { relays.clone() };
        // Sums the traffic between the two reports of each pair; `of` selects the counters in a report.
        let sum = |from: &[[&Value; 2]], of: &dyn Fn(&Value) -> Value| {
            let pairs = from.iter().map(|reports| reports.map(of));
            pairs.into_iter().try_fold(Traffic::default(), |sum, [before, after]| {
                traffic([&before, &after]).map(|more| sum.plus(&more))
            })
        };
        let all_real = |from: &[[&Value; 2]]| {
            (0..options.real).try_fold(Traffic::default(), |all, no| {
                sum(from, &|report| report["real"][no].clone()).map(|more| all.plus(&more))
            })
        };
        let simulated = sum(&list_sources, &|report| report["hollow"].clone())?;
        let real = all_real(&list_sources)?;
        let discovery_traffic = sum(&[discovery_reports], &|report| report["hollow"].clone())?
            .plus(&all_real(&[discovery_reports])?);
        let upstream = sum(&relays, &|report| report["up"].clone())?;
        let stores = traffic([&before.stores.1, &after.stores.1].map(|report| &report["traffic"]))?;
        let clients = traffic([&before.clients.1, &after.clients.1].map(|report| &report["traffic"]))?;
        let single_usage = |of: fn(&Sample) -> Usage| [[of(before)], [of(after)]];
        let role_usage = |members, usage: [[Usage; 1]; 2], traffic| {
            RoleUsage::of(members, [&usage[0], &usage[1]], traffic, seconds)
        };
        let real_total = real.plus(&stores).plus(&clients).reversed();
        let mut roles = BTreeMap::from([
            ("discovery", role_usage(1, single_usage(|sample| sample.discovery.0), discovery_traffic)),
            ("run stores", role_usage(1, single_usage(|sample| sample.stores.0), stores)),
            ("clients", role_usage(1, single_usage(|sample| sample.clients.0), clients)),
        ]);
        if options.simulated > 0 {
            roles.insert(
                "hollow",
                role_usage(options.simulated, single_usage(|sample| sample.simulated), simulated.reversed()),
            );
        }
        if options.relays > 0 {
            let usage = |sample: &Sample| sample.relays.iter().map(|(usage, _)| *usage).collect::<Vec<_>>();
            let traffic = simulated.plus(&real).plus(&upstream);
            let used = RoleUsage::of(options.relays, [&usage(before), &usage(after)], traffic, seconds);
            roles.insert("relays", used);
        }
        let mut queries = None;
        if options.real > 0 {
            let used = RoleUsage::of(options.real, [&before.real, &after.real], real_total, seconds);
            roles.insert("real", used);
            roles.insert(
                "real, from discovery",
                RoleUsage::of(options.real, [&[], &[]], real.reversed(), seconds),
            );
            let parts = |sample: &Sample| sample.clients.1["ends"]["parts"].as_u64().unwrap_or(0);
            let parts_per_s = (parts(after) - parts(before)) as f64 / seconds;
            queries = Some(Queries {
                counts: end.counts,
                parts_per_s,
                p50_ms: after.clients.1["p50_ms"].as_f64().unwrap_or(0.0),
                p99_ms: after.clients.1["p99_ms"].as_f64().unwrap_or(0.0),
                cpu_us_per_part: used.cpu_ms_per_s * 1000.0 / parts_per_s,
            });
        }
        Ok(Outcome {
            command: options.command(),
            seconds,
            start_s: end.start_s,
            roles,
            whole_list_bytes: after.discovery.1["whole_list"].as_u64().unwrap_or(0),
            changes: Changes::new(generated, &end),
            queries,
            clean_shutdown: end.clean_shutdown,
        })
    }

    /// Returns whether all changes were in force everywhere, all simulated aggregators hold the expected list, at least
    /// one query was answered whole and no answer was wrong (if there are real aggregators), and all real aggregators
    /// shut down cleanly.
    pub fn passed(&self) -> bool {
        let simulated = self.roles.get("hollow").map_or(0, |used| used.members);
        let answered =
            self.queries.as_ref().is_none_or(|queries| queries.counts.whole > 0 && queries.counts.wrong == 0);
        self.changes.everywhere && self.changes.equal_lists == simulated && answered && self.clean_shutdown
    }

    /// Formats the results as text tables.
    pub fn tables(&self) -> String {
        let head = [
            "role",
            "of",
            "CPU ms/s",
            "memory MB",
            "peak MB",
            "descriptors",
            "messages in/s",
            "out/s",
            "bytes in/s",
            "out/s",
        ];
        let row = |(name, used): (&&str, &RoleUsage)| {
            let megabytes = |bytes: u64| format!("{:.1}", bytes as f64 / 1e6);
            let mut row =
                vec![(*name).to_string(), used.members.to_string(), format!("{:.1}", used.cpu_ms_per_s)];
            row.extend([megabytes(used.memory), megabytes(used.peak_memory), used.descriptors.to_string()]);
            let rates =
                [used.messages_in_per_s, used.messages_out_per_s, used.bytes_in_per_s, used.bytes_out_per_s];
            row.extend(rates.map(|rate| format!("{rate:.0}")));
            row
        };
        let rows: Vec<_> = self.roles.iter().map(row).collect();
        let mut text = format!("{}\n\n{}\n", self.command, table(&head, &rows));
        let changes = &self.changes;
        let times = [("hollow", &changes.simulated), ("real", &changes.real), ("all", &changes.all)];
        let rows: Vec<Vec<String>> = times
            .into_iter()
            .filter_map(|(kind, times)| Some((kind, (*times)?)))
            .map(|(kind, times)| {
                let mut row = vec![kind.to_string()];
                row.extend([times.p50, times.p99, times.max].map(|ms| format!("{ms:.1}")));
                row
            })
            .collect();
        if !rows.is_empty() {
            text += &table(&["in force at the last, ms", "p50", "p99", "most"], &rows);
            text.push('\n');
        }
        text += &format!(
            "{} changes, digest {}, in force everywhere: {}; {} hollow aggregators hold the list that they lead to\n",
            changes.count, changes.digest, changes.everywhere, changes.equal_lists
        );
        text += &format!(
            "the whole list: {} bytes; the start took {:.1} s\n",
            self.whole_list_bytes, self.start_s
        );
        if let Some(queries) = &self.queries {
            let counts = queries.counts;
            text += &format!(
                "queries: {} asked, {} whole, {} partial, {} refused, {} failed, {} lost, {} wrong; p50 {:.1} ms, p99 \
                 {:.1} ms; {:.0} parts a second, {:.1} us of a core each\n",
                counts.sent, counts.whole, counts.partial, counts.refused, counts.failed, counts.lost, counts.wrong,
                queries.p50_ms, queries.p99_ms, queries.parts_per_s, queries.cpu_us_per_part
            );
        }
        text
    }

    /// Draws the time of each change as an SVG file.
    ///
    /// # Errors
    /// If the file cannot be written.
    pub fn chart(&self, path: &Path) -> Result<(), String> {
        let points: Vec<(f64, f64)> =
            self.changes.each.iter().enumerate().map(|(no, ms)| (no as f64, *ms)).collect();
        let root = SVGBackend::new(path, (960, 400)).into_drawing_area();
        let panel = Panel {
            title: "From a change to its being in force at the last aggregator",
            x: "change",
            unit: "ms",
        };
        draw(&root, &panel, &points, false)
            .and_then(|()| root.present().map_err(|error| error.to_string()))
            .map_err(|why| format!("{}: {why}", path.display()))
    }
}

impl Changes {
    fn new(generated: &[Event], end: &FinalState) -> Self {
        let published = &end.change_times.published;
        // The first entry is the list at the start, not a change.
        let simulated: Vec<f64> = end
            .status
            .in_force
            .iter()
            .skip(1)
            .zip(published)
            .map(|((_, at), published)| at - published)
            .collect();
        let applied = |no: usize| {
            let times: Option<Vec<f64>> =
                end.change_times.applied.iter().map(|times| times.get(no).copied()).collect();
            times?.into_iter().reduce(f64::max)
        };
        let real: Vec<f64> = published
            .iter()
            .enumerate()
            .map_while(|(no, published)| Some(applied(no)? - published))
            .collect();
        let each: Vec<f64> = match (simulated.is_empty(), real.is_empty()) {
            (false, false) => simulated.iter().zip(&real).map(|(one, other)| one.max(*other)).collect(),
            (true, _) => real.clone(),
            (_, true) => simulated.clone(),
        };
        Changes {
            count: generated.len(),
            digest: format!("{:016x}", events::digest(generated)),
            everywhere: end.everywhere,
            equal_lists: end.equal_lists,
            simulated: Times::of(simulated.iter().copied()),
            real: Times::of(real.iter().copied()),
            all: Times::of(each.iter().copied()),
            each,
        }
    }
}

/// The title and axis labels of a chart panel.
pub struct Panel<'a> {
    /// The title.
    pub title: &'a str,
    /// The label of the x axis.
    pub x: &'a str,
    /// The label of the y axis.
    pub unit: &'a str,
}

/// Draws points with a line through them, on linear or logarithmic axes.
///
/// # Errors
/// If the drawing backend fails.
pub fn draw(
    area: &DrawingArea<SVGBackend, plotters::coord::Shift>,
    panel: &Panel,
    points: &[(f64, f64)],
    log: bool,
) -> Result<(), String> {
    let failed = |error: &dyn std::fmt::Display| error.to_string();
    area.fill(&WHITE).map_err(|error| failed(&error))?;
    let max = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).fold(1e-9, f64::max);
    let (right, top) = (max(|point| point.0) * 1.1, max(|point| point.1) * 1.15);
    let mut chart = ChartBuilder::on(area);
    chart.caption(panel.title, ("sans-serif", 15)).margin(8).x_label_area_size(34).y_label_area_size(64);
    let colour = RGBColor(34, 120, 60);
    macro_rules! panel {
        ($x:expr, $y:expr) => {{
            let mut chart = chart.build_cartesian_2d($x, $y).map_err(|error| failed(&error))?;
            let mesh = chart
                .configure_mesh()
                .x_desc(panel.x)
                .y_desc(panel.unit)
                .x_labels(6)
                .y_labels(6)
                .y_label_formatter(&|y: &f64| short(*y))
                .x_label_formatter(&|x: &f64| short(*x))
                .draw();
            mesh.map_err(|error| failed(&error))?;
            let line = LineSeries::new(points.iter().copied(), &colour).point_size(3);
            chart.draw_series(line).map_err(|error| failed(&error))?;
        }};
    }
    if log {
        let least = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).fold(f64::INFINITY, f64::min);
        let (left, bottom) = (least(|point| point.0).max(1e-3) / 1.1, least(|point| point.1).max(1e-3) / 1.5);
        panel!((left..right).log_scale(), (bottom..top.max(bottom * 2.0)).log_scale());
    } else {
        panel!(0.0..right, 0.0..top);
    }
    Ok(())
}

/// Formats a number with a suffix of thousands (`k`, `M`, `G`).
fn short(figure: f64) -> String {
    let (scaled, letter) = match figure.abs() {
        size if size >= 1e9 => (figure / 1e9, "G"),
        size if size >= 1e6 => (figure / 1e6, "M"),
        size if size >= 1e3 => (figure / 1e3, "k"),
        _ => (figure, ""),
    };
    format!("{}{letter}", (scaled * 100.0).round() / 100.0)
}
