//! `ironpaddle trace`: the commands that on-call staff run on recordings.

use std::fs::File;
use std::io::{self, BufWriter, IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::{Args, Subcommand};
use ironpaddle_trace::block::Block;
use ironpaddle_trace::edit::{self, Pseudonyms, Selection};
use ironpaddle_trace::record::{self, Entry, Record};
use ironpaddle_trace::set::{Item, Set};
use ironpaddle_trace::summary::{self, Filter, Service, Summary};
use ironpaddle_trace::{story, Error, VERSION};
use serde::Serialize;
use serde_json::json;

use super::Outcome;
use crate::settings::SiteSettings;
use crate::trace::replay::{Replay, Report};

/// The subcommands of `ironpaddle trace`.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// List the segments, whether they are complete, and the time that they span.
    #[command(after_help = "Example: ironpaddle trace info --verify /var/lib/ironpaddle/trace")]
    Info {
        /// Segments, or folders of them.
        #[arg(required = true)]
        paths: Vec<PathBuf>,
        /// Read every block and index.
        #[arg(long)]
        verify: bool,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Print entries, one per line, in order of time.
    #[command(
        after_help = "Example: ironpaddle trace cat --from 02:10 --to 02:11 --run-store s-5be2a07c trace/"
    )]
    Cat {
        /// Segments, or folders of them.
        #[arg(required = true)]
        paths: Vec<PathBuf>,
        #[command(flatten)]
        filter: EntryFilter,
        /// Also print steps in which nothing happened.
        #[arg(long)]
        all: bool,
        /// Print JSON, one object per line.
        #[arg(long)]
        json: bool,
    },
    /// Summarize the service by class, group and run store.
    #[command(after_help = "Example: ironpaddle trace summary --from 02:00 --to 03:00 --json trace/")]
    Summary {
        /// Segments, or folders of them.
        #[arg(required = true)]
        paths: Vec<PathBuf>,
        #[command(flatten)]
        span: Span,
        /// Only queries of this class.
        #[arg(long)]
        class: Option<String>,
        /// Only queries of this group.
        #[arg(long)]
        group: Option<String>,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Write a part of a trace to a new trace.
    #[command(
        after_help = "A cut by time alone begins with the last checkpoint before it and can be replayed; a cut of \
                            selected queries cannot.\n\nExample: ironpaddle trace cut --from 02:10 --to 02:15 -o night.iptrace trace/"
    )]
    Cut {
        /// Segments, or folders of them.
        #[arg(required = true)]
        paths: Vec<PathBuf>,
        #[command(flatten)]
        filter: EntryFilter,
        /// The new file.
        #[arg(short, long)]
        output: PathBuf,
    },
    /// Merge traces of several aggregators or versions into one, in order of time.
    #[command(after_help = "Example: ironpaddle trace merge -o night.iptrace n0/ n1/ n2/")]
    Merge {
        /// Segments, or folders of them.
        #[arg(required = true)]
        paths: Vec<PathBuf>,
        /// The new file.
        #[arg(short, long)]
        output: PathBuf,
    },
    /// Write a trace in which the names of groups and queries are replaced; the same key gives the same names.
    #[command(
        after_help = "Example: ironpaddle trace anonymise --key site.key -o given-away.iptrace night.iptrace"
    )]
    Anonymise {
        /// Segments, or folders of them.
        #[arg(required = true)]
        paths: Vec<PathBuf>,
        /// A file that holds the secret from which the new names are derived; any non-empty content will do.
        #[arg(long)]
        key: PathBuf,
        /// The new file.
        #[arg(short, long)]
        output: PathBuf,
    },
    /// Feed the recorded events to the decision module again and compare its actions.
    #[command(after_help = "Example: ironpaddle trace replay --settings tried.json night.iptrace")]
    Replay {
        /// Segments, or folders of them.
        #[arg(required = true)]
        paths: Vec<PathBuf>,
        /// Replay with the settings object of this file, and print how the ends of queries differ.
        #[arg(long)]
        settings: Option<PathBuf>,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Print how a query ended and why, part by part.
    #[command(after_help = "Example: ironpaddle trace why 9b1f03aa5c7e2d41 trace/")]
    Why {
        /// The client's id of the query, or its number (q123).
        query: String,
        /// Segments, or folders of them.
        #[arg(required = true)]
        paths: Vec<PathBuf>,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
}

/// The time span to which a command is limited.
#[derive(Debug, Args)]
pub struct Span {
    /// From this time on: RFC 3339, Unix milliseconds, HH:MM[:SS] of the trace's first day (UTC), or an offset such as
    /// +30s from the trace's first entry.
    #[arg(long)]
    from: Option<String>,
    /// Up to this time.
    #[arg(long)]
    to: Option<String>,
}

/// Selects entries.
#[derive(Debug, Args)]
pub struct EntryFilter {
    #[command(flatten)]
    span: Span,
    /// Only entries about queries of this class.
    #[arg(long)]
    class: Option<String>,
    /// Only entries about queries of this group.
    #[arg(long)]
    group: Option<String>,
    /// Only entries about this query, given by the client's id of it or its number.
    #[arg(long)]
    query: Option<String>,
    /// Only entries about queries with an attempt at this run store.
    #[arg(long)]
    run_store: Option<String>,
}

impl EntryFilter {
    fn pick(&self) -> Selection {
        Selection {
            filter: Filter { class: self.class.clone(), group: self.group.clone() },
            query: self.query.clone(),
            run_store: self.run_store.clone(),
        }
    }
}

impl Span {
    fn resolve(&self, set: &Set) -> Result<(f64, f64), String> {
        let (first, _) = set.span().ok_or("the trace holds no entries")?;
        let time =
            |text: &Option<String>, open| text.as_ref().map_or(Ok(open), |text| parse_time(text, first));
        Ok((time(&self.from, f64::NEG_INFINITY)?, time(&self.to, f64::INFINITY)?))
    }
}

/// Parses a time as `--from` and `--to` accept it, and returns Unix milliseconds. `first` is the time of the trace's
/// first entry.
fn parse_time(text: &str, first: f64) -> Result<f64, String> {
    const DAY_MS: f64 = 86_400_000.0;
    let invalid = || format!("{text}: not a valid time; see --help");
    if let Some(after) = text.strip_prefix('+') {
        let span = humantime::parse_duration(after).map_err(|_| invalid())?;
        return Ok(first + span.as_secs_f64() * 1000.0);
    }
    if let Ok(at) = text.parse::<f64>() {
        return if at.is_finite() { Ok(at) } else { Err(invalid()) };
    }
    if text.len() <= 8 && text.contains(':') {
        let numbers: Vec<f64> =
            text.split(':').map(|number| number.parse().map_err(|_| invalid())).collect::<Result<_, _>>()?;
        let seconds = match numbers[..] {
            [hours, minutes] => hours * 3600.0 + minutes * 60.0,
            [hours, minutes, seconds] => hours * 3600.0 + minutes * 60.0 + seconds,
            _ => return Err(invalid()),
        };
        return Ok((first / DAY_MS).floor() * DAY_MS + seconds * 1000.0);
    }
    let at = humantime::parse_rfc3339_weak(text).map_err(|_| invalid())?;
    Ok(at.duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0)
}

/// Formats Unix milliseconds as RFC 3339.
fn format_time(at: f64) -> String {
    let time = Duration::try_from_secs_f64(at / 1000.0).ok().and_then(|since| UNIX_EPOCH.checked_add(since));
    humantime::format_rfc3339_millis(time.unwrap_or(SystemTime::UNIX_EPOCH)).to_string()
}

/// Returns a callback that prints the progress of reading on standard error, in percent.
fn print_progress() -> ironpaddle_trace::set::Progress {
    let mut printed = 0;
    Box::new(move |read, total| {
        let percent = read * 100 / total.max(1);
        if percent != printed {
            printed = percent;
            eprint!("\r{percent} %{}", if percent == 100 { "\r     \r" } else { "" });
        }
    })
}

fn error_text(error: Error) -> String {
    error.to_string()
}

/// Runs a command.
///
/// # Errors
/// If files cannot be read or written, or an argument is not valid.
pub fn run(command: Command) -> Result<Outcome, String> {
    match command {
        Command::Info { paths, verify, json } => info(&paths, verify, json),
        Command::Cat { paths, filter, all, json } => cat(&paths, &filter, all, json),
        Command::Summary { paths, span, class, group, json } => {
            let mut set = open(&paths)?;
            let span = span.resolve(&set)?;
            let summary = summary::summarise(&mut set, span, &Filter { class, group });
            let found = report_troubles(&set);
            if json {
                print_json(&summary)?;
            } else {
                print_summary(&summary).map_err(|error| error.to_string())?;
            }
            Ok(found)
        }
        Command::Cut { paths, filter, output } => {
            let mut set = open(&paths)?;
            let span = filter.span.resolve(&set)?;
            write_atomically(&output, |file| edit::cut(&mut set, span, &filter.pick(), file))?;
            Ok(report_troubles(&set))
        }
        Command::Merge { paths, output } => {
            let mut set = open(&paths)?;
            write_atomically(&output, |file| edit::merge(&mut set, file))?;
            Ok(report_troubles(&set))
        }
        Command::Anonymise { paths, key, output } => {
            let mut set = open(&paths)?;
            let secret = std::fs::read(&key).map_err(|error| format!("{}: {error}", key.display()))?;
            if secret.is_empty() {
                return Err(format!("{}: the key is empty", key.display()));
            }
            write_atomically(&output, |file| edit::anonymise(&mut set, &Pseudonyms::new(&secret), file))?;
            Ok(report_troubles(&set))
        }
        Command::Replay { paths, settings, json } => replay(&paths, settings.as_deref(), json),
        Command::Why { query, paths, json } => why(&query, &paths, json),
    }
}

fn open(paths: &[PathBuf]) -> Result<Set, String> {
    let mut set = Set::open(paths).map_err(error_text)?;
    if io::stderr().is_terminal() {
        set.progress = Some(print_progress());
    }
    Ok(set)
}

/// Prints on standard error what could not be read. A missing index alone does not count as a problem.
fn report_troubles(set: &Set) -> Outcome {
    for (path, why) in &set.troubles {
        eprintln!("ironpaddle: {}: {why}", path.display());
    }
    let damaged = |(_, why): &(PathBuf, String)| !why.starts_with("it has no index");
    if set.troubles.iter().any(damaged) {
        Outcome::ProblemFound
    } else {
        Outcome::Success
    }
}

/// Creates a file atomically: writes to a temporary file and renames it, so that no incomplete file is left under the
/// name.
fn write_atomically(
    path: &Path,
    write: impl FnOnce(BufWriter<File>) -> Result<BufWriter<File>, Error>,
) -> Result<(), String> {
    let failed = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(".half");
    let temporary = PathBuf::from(temporary);
    let file = File::create(&temporary).map_err(|error| failed(&error))?;
    let written = write(BufWriter::new(file)).and_then(|mut file| Ok(file.flush()?));
    if let Err(error) = written {
        let _ = std::fs::remove_file(&temporary);
        return Err(failed(&error));
    }
    std::fs::rename(&temporary, path).map_err(|error| failed(&error))
}

fn print_json(value: &impl Serialize) -> Result<(), String> {
    let out = io::stdout().lock();
    let written = serde_json::to_writer(out, value).map_err(|error| error.to_string());
    println!();
    written
}

fn info(paths: &[PathBuf], verify: bool, json: bool) -> Result<Outcome, String> {
    let mut set = open(paths)?;
    let mut rows = Vec::new();
    for segment in &mut set.segments {
        let reader = &mut segment.reader;
        let blocks = reader.blocks().to_vec();
        let header = reader.header().cloned().unwrap_or_default();
        let mut versions: Vec<u8> = Vec::new();
        let mut bad = 0;
        // Each block has a version. Without `verify`, only the first block is read, so only its version is listed.
        for no in 0..if verify { blocks.len() } else { blocks.len().min(1) } {
            match reader.block(no) {
                Ok(block) if !versions.contains(&block.version) => versions.push(block.version),
                Ok(_) => {}
                Err(_) => bad += 1,
            }
        }
        let index = if verify {
            reader.index_is_sound().map_err(error_text)?
        } else {
            reader.is_complete().then_some(true)
        };
        if bad > 0 || index == Some(false) {
            set.troubles
                .push((segment.path.clone(), format!("{bad} damaged blocks, index sound: {index:?}")));
        }
        let sum = |of: fn(&ironpaddle_trace::index::BlockLocation) -> u64| blocks.iter().map(of).sum::<u64>();
        let sources: Vec<_> = header
            .sources
            .iter()
            .map(|source| {
                json!({"aggregator": source.aggregator, "started": source.started, "process": source.process,
                "seed": source.seed, "program": source.program})
            })
            .collect();
        rows.push(json!({
            "file": segment.path.display().to_string(), "versions": versions, "sources": sources,
            "segment": header.segment, "blocks": blocks.len(), "records": sum(|block| block.records.into()),
            "bytes": sum(|block| block.length.into()), "raw_bytes": sum(|block| block.raw.into()),
            "from": blocks.first().map(|block| format_time(block.first)),
            "to": blocks.iter().map(|block| block.last).reduce(f64::max).map(format_time),
            "index": index, "damaged_bytes": reader.damage().iter().map(|damage| damage.length).sum::<u64>(),
            "damaged_blocks": bad,
        }));
    }
    if json {
        print_json(&json!({"version": VERSION, "segments": rows}))?;
    } else {
        for row in &rows {
            let names: Vec<String> = row["sources"]
                .as_array()
                .into_iter()
                .flatten()
                .map(|source| {
                    format!(
                        "{} (process {} of {})",
                        source["aggregator"], source["process"], source["started"]
                    )
                })
                .collect();
            println!(
                "{}\n  of {}, segment {}, versions {}\n  {} to {}\n  {} records in {} blocks, {} bytes ({} before \
                 compression), index {}, damaged bytes {}",
                row["file"].as_str().unwrap_or(""),
                names.join(", "),
                row["segment"],
                row["versions"],
                row["from"].as_str().unwrap_or("-"),
                row["to"].as_str().unwrap_or("-"),
                row["records"],
                row["blocks"],
                row["bytes"],
                row["raw_bytes"],
                match row["index"].as_bool() {
                    Some(true) => "sound",
                    Some(false) => "damaged",
                    None => "missing (the recording did not end in good order)",
                },
                row["damaged_bytes"],
            );
        }
    }
    Ok(report_troubles(&set))
}

/// Returns true for a step that consists of nothing but wakes.
fn is_idle_step(record: &Record) -> bool {
    match record {
        Record::Step(step) => {
            step.events.iter().all(|event| matches!(event, record::Event::Wake))
                && step.actions.iter().all(|action| matches!(action, record::Action::WakeAt(_)))
        }
        _ => false,
    }
}

fn cat(paths: &[PathBuf], filter: &EntryFilter, all: bool, json: bool) -> Result<Outcome, String> {
    let mut set = open(paths)?;
    let (span, pick) = (filter.span.resolve(&set)?, filter.pick());
    let picked = if pick.is_all() {
        None
    } else {
        Some(edit::select_queries(&mut set, span, &pick).map_err(error_text)?)
    };
    let names: Vec<String> = set.sources.iter().map(|source| source.aggregator.clone()).collect();
    let mut out = BufWriter::new(io::stdout().lock());
    let mut failed = None;
    let mut print = |source: usize, block: &Block, entry: &Entry| -> io::Result<()> {
        let kept = match &picked {
            None => Some(entry.record.clone()),
            Some(picked) => edit::restrict(&entry.record, &|query| picked.contains(&(source, query))),
        };
        let Some(record) = kept.filter(|record| all || !is_idle_step(record)) else { return Ok(()) };
        let value = record::with_names(&block.names, || serde_json::to_value(&record))?;
        if json {
            let time = format_time(entry.at);
            let line = json!({"at": entry.at, "time": time, "aggregator": names[source], "record": value});
            writeln!(out, "{line}")
        } else {
            writeln!(out, "{} {} {value}", format_time(entry.at), names[source])
        }
    };
    set.each(span, |item| {
        if let (Item::Entry(source, block, entry), None) = (item, &failed) {
            if (span.0..=span.1).contains(&entry.at) {
                failed = print(source, block, entry).err();
            }
        }
    });
    match failed.or_else(|| out.flush().err()) {
        // The reader closed the pipe, as `head` does; that is not an error.
        Some(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(Outcome::Success),
        Some(error) => Err(error.to_string()),
        None => Ok(report_troubles(&set)),
    }
}

fn print_summary(summary: &Summary) -> io::Result<()> {
    let mut out = BufWriter::new(io::stdout().lock());
    let columns = ["taken", "whole", "partial", "refused", "failed", "left", "p50 ms", "p90 ms", "p99 ms"];
    for (title, rows) in [("class", &summary.classes), ("group", &summary.groups)] {
        write!(out, "{title:<20}")?;
        columns.iter().try_for_each(|column| write!(out, "{column:>9}"))?;
        writeln!(out)?;
        for (name, service) in rows {
            let Service { taken, whole, partial, refused, failed, left, .. } = service;
            write!(out, "{name:<20}")?;
            [taken, whole, partial, refused, failed, left].iter().try_for_each(|n| write!(out, "{n:>9}"))?;
            for quantile in ["p50", "p90", "p99"] {
                match service.latency_ms.get(quantile) {
                    Some(value) => write!(out, "{value:>9.1}")?,
                    None => write!(out, "{:>9}", "-")?,
                }
            }
            writeln!(out)?;
        }
        writeln!(out)?;
    }
    for (class, causes) in &summary.causes {
        for (cause, count) in causes {
            writeln!(out, "{class:<20}{count:>9}  {cause}")?;
        }
    }
    for (name, store) in &summary.run_stores {
        let ends: Vec<String> = store.ends.iter().map(|(end, count)| format!("{end}={count}")).collect();
        writeln!(out, "{name:<20} {} probes={}/{}", ends.join(" "), store.probes_ok, store.probes_failed)?;
    }
    for process in &summary.processes {
        let end = if process.ended { "ended in good order" } else { "did not end in good order" };
        writeln!(
            out,
            "{} started {}: {} to {}, {} attempts written, {end}, {} records lost, {} gaps",
            process.aggregator,
            format_time(process.started as f64),
            format_time(process.from),
            format_time(process.to),
            process.tries,
            process.lost,
            process.gaps,
        )?;
        for (class, [ok, shed, errors]) in &process.missing {
            writeln!(
                out,
                "  not in the trace of what was counted, {class}: ok={ok} shed={shed} errors={errors}"
            )?;
        }
    }
    writeln!(out, "{} entries, {} queries without an end", summary.entries, summary.open)?;
    out.flush()
}

fn replay(paths: &[PathBuf], settings: Option<&Path>, json: bool) -> Result<Outcome, String> {
    let mut set = open(paths)?;
    let other = settings.map(read_settings).transpose()?;
    let mut replays: Vec<Replay> = set.sources.iter().map(|_| Replay::new(other.clone())).collect();
    let started = std::time::Instant::now();
    let span = set.span().unwrap_or_default();
    set.blockwise((f64::NEG_INFINITY, f64::INFINITY), |item| match item {
        Item::Entry(source, block, entry) => {
            replays[source].take(block, entry);
        }
        Item::Gap(source) => replays[source].gap(),
    });
    let elapsed_s = started.elapsed().as_secs_f64();
    let reports: Vec<Report> = replays.into_iter().map(Replay::report).collect();
    let problem_found = reports.iter().any(|report| report.difference.is_some() || report.checkpoints == 0);
    let names = set.sources.iter().map(|source| source.aggregator.clone());
    if json {
        let rows: Vec<_> =
            names.zip(&reports).map(|(name, report)| json!({"aggregator": name, "report": report})).collect();
        print_json(
            &json!({"seconds": elapsed_s, "recorded_seconds": (span.1 - span.0) / 1000.0, "processes": rows}),
        )?;
    } else {
        for (name, report) in names.zip(&reports) {
            println!(
                "{name}: {} steps with {} events from {} checkpoints, {} actions compared, {} steps differ, {} skipped",
                report.steps, report.events, report.checkpoints, report.actions, report.differing, report.skipped
            );
            report.unusable.iter().for_each(|why| println!("  a checkpoint was not used: {why}"));
            if let Some(found) = &report.difference {
                let query = found.query.map_or(String::new(), |query| format!(", query q{query}"));
                println!("  first difference at {}{query}", format_time(found.at));
                println!("    recorded: {}", found.recorded.as_deref().unwrap_or("nothing more"));
                println!("    now:      {}", found.now.as_deref().unwrap_or("nothing more"));
            }
            for (change, count) in &report.verdicts {
                println!("  {count:>8}  {change}");
            }
        }
        let speed = (span.1 - span.0) / 1000.0 / elapsed_s.max(1e-9);
        println!(
            "{:.1} s were replayed in {elapsed_s:.2} s, {speed:.0} times as fast",
            (span.1 - span.0) / 1000.0
        );
        if other.is_some() {
            println!(
                "Other settings: events are those that the recorded decisions caused. From the first decision that \
                 differs on they are no reality."
            );
        }
    }
    report_troubles(&set);
    Ok(if problem_found { Outcome::ProblemFound } else { Outcome::Success })
}

/// Reads a settings object from a file that holds only this object, or from a configuration file.
fn read_settings(path: &Path) -> Result<SiteSettings, String> {
    let failed = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
    let text = std::fs::read_to_string(path).map_err(|error| failed(&error))?;
    let value: serde_json::Value = serde_json::from_str(&text).map_err(|error| failed(&error))?;
    let value = value.get("settings").cloned().unwrap_or(value);
    let site: SiteSettings = serde_json::from_value(value).map_err(|error| failed(&error))?;
    site.router_settings().check().map_err(|why| failed(&why))?;
    Ok(site)
}

fn why(query: &str, paths: &[PathBuf], json: bool) -> Result<Outcome, String> {
    let mut set = open(paths)?;
    let found = set.find(query).map_err(error_text)?;
    if found.is_empty() {
        report_troubles(&set);
        println!("no query of that name is in the trace");
        return Ok(Outcome::ProblemFound);
    }
    let mut stories = Vec::new();
    for (source, query) in found {
        stories.push(story::collect(&mut set, source, query).map_err(error_text)?);
    }
    if json {
        print_json(&stories)?;
    } else {
        for story in &stories {
            let or_unknown = |text: &Option<String>| text.clone().unwrap_or_else(|| "?".into());
            println!(
                "{} (q{} at {}), class {}, group {}: {}",
                or_unknown(&story.name),
                story.query,
                story.aggregator,
                or_unknown(&story.class),
                or_unknown(&story.group),
                or_unknown(&story.end),
            );
            for moment in &story.moments {
                let part = moment.shard.map_or(String::new(), |shard| format!("part {shard}: "));
                println!("  {} {:>9.1} ms  {part}{}", format_time(moment.at), moment.since_ms, moment.what);
            }
        }
    }
    Ok(report_troubles(&set))
}
