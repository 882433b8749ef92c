//! Parses scenarios, which list the faults of a run, one on a line.
//!
//! ```text
//! # Some run stores die together and come back cold.
//! at 20s kill 3 for 15s
//! at 25s slow s-1 by 4 for 10s
//! at 30s drain s-2 for 10s
//! at 40s aggregator kill
//! # Faults between the processes of a fleet (`ironpaddle-lab fleet`).
//! at 5s load by 3 for 20s
//! at 6s cut n-0 from stores for 5s
//! at 6s cut n-1 from discovery for 10s
//! at 7s mute n-2 from s-4 for 5s
//! at 8s delay n-0 from stores by 50ms for 5s
//! at 9s reset n-0 from stores
//! at 10s crash n-1 for 2s
//! at 12s stop n-2 for 3s
//! at 15s restart n-0
//! ```
//! Run stores are given by name (`s-1`) or by number (`3`: three of them, chosen by the seed). Times count from the
//! start of the run. `cut` holds the bytes of a link in both directions, `mute` only those on the way back to the
//! aggregator.

use winnow::ascii::{alpha1, digit1, float, space1, till_line_ending};
use winnow::combinator::{alt, cut_err, opt, preceded, terminated};
use winnow::error::{ContextError, StrContext};
use winnow::prelude::*;

/// Selection of run stores.
#[derive(Debug, Clone, PartialEq)]
pub enum Selection {
    /// The run store of this number.
    One(usize),
    /// This number of run stores, chosen by the seed.
    Some(usize),
}

/// A fault of a scenario; the last number is its duration in milliseconds unless stated otherwise.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// Run store processes die and restart cold.
    Kill(Selection, f64),
    /// Run stores work slower by this factor.
    Slow(Selection, f64, f64),
    /// Run stores are listed as draining.
    Drain(Selection, f64),
    /// Run stores send no answers, but keep connections open.
    Mute(Selection, f64),
    /// The first aggregator is killed and restarted at once; has no duration.
    KillAggregator,
    /// Clients multiply their query rate by this factor.
    Load(f64, f64),
    /// Links of an aggregator hold all bytes, or only those on the way back if the flag is set.
    Cut(usize, LinkTarget, bool, f64),
    /// Links of an aggregator add a delay in milliseconds.
    Delay(usize, LinkTarget, f64, f64),
    /// Connections over links of an aggregator are closed; has no duration.
    Reset(usize, LinkTarget),
    /// An aggregator is killed, and restarted after the duration.
    Crash(usize, f64),
    /// An aggregator is suspended.
    Stop(usize, f64),
    /// An aggregator is shut down and restarted; has no duration.
    Restart(usize),
}

/// Targets of the links of an aggregator.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LinkTarget {
    /// All run stores.
    Stores,
    /// One run store.
    Store(usize),
    /// Discovery.
    Discovery,
}

impl Fault {
    /// Returns the selected run stores, if any, and the duration in milliseconds.
    pub fn targets_and_duration(&self) -> (Option<&Selection>, f64) {
        match self {
            Fault::Kill(selection, duration)
            | Fault::Drain(selection, duration)
            | Fault::Mute(selection, duration) => (Some(selection), *duration),
            Fault::Slow(selection, _, duration) => (Some(selection), *duration),
            Fault::KillAggregator | Fault::Reset(..) | Fault::Restart(_) => (None, 0.0),
            Fault::Load(_, duration)
            | Fault::Cut(.., duration)
            | Fault::Delay(.., duration)
            | Fault::Crash(_, duration)
            | Fault::Stop(_, duration) => (None, *duration),
        }
    }
}

/// A line of a scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// Time from the start of the run, in milliseconds.
    pub at: f64,
    /// The fault.
    pub fault: Fault,
}

fn time(input: &mut &str) -> ModalResult<f64> {
    let scale = alt(("ms".value(1.0), "s".value(1000.0), "m".value(60_000.0)));
    (float::<_, f64, _>, scale)
        .map(|(number, scale)| number * scale)
        .context(StrContext::Label("time, as 250ms, 15s or 2m"))
        .parse_next(input)
}

fn number(input: &mut &str) -> ModalResult<usize> {
    digit1.parse_to().parse_next(input)
}

fn selection(input: &mut &str) -> ModalResult<Selection> {
    alt((preceded("s-", number).map(Selection::One), number.map(Selection::Some)))
        .context(StrContext::Label("run store, as s-1, or a number of them"))
        .parse_next(input)
}

fn duration(input: &mut &str) -> ModalResult<f64> {
    preceded((space1, "for", space1), time)
        .context(StrContext::Label("duration, as for 15s"))
        .parse_next(input)
}

fn aggregator(input: &mut &str) -> ModalResult<usize> {
    preceded("n-", number).context(StrContext::Label("aggregator, as n-0")).parse_next(input)
}

/// Parses an aggregator and the targets of its links.
fn links(input: &mut &str) -> ModalResult<(usize, LinkTarget)> {
    let to = alt((
        "stores".value(LinkTarget::Stores),
        "discovery".value(LinkTarget::Discovery),
        preceded("s-", number).map(LinkTarget::Store),
    ));
    (aggregator, preceded((space1, "from", space1), to))
        .context(StrContext::Label("links, as n-0 from stores, from s-3 or from discovery"))
        .parse_next(input)
}

fn fault(input: &mut &str) -> ModalResult<Fault> {
    let verb = terminated(alpha1, space1).context(StrContext::Label("act")).parse_next(input)?;
    match verb {
        "kill" => cut_err((selection, duration))
            .map(|(selection, duration)| Fault::Kill(selection, duration))
            .parse_next(input),
        "drain" => cut_err((selection, duration))
            .map(|(selection, duration)| Fault::Drain(selection, duration))
            .parse_next(input),
        "mute" if input.starts_with("n-") => cut_err((links, duration))
            .map(|((no, to), duration)| Fault::Cut(no, to, true, duration))
            .parse_next(input),
        "mute" => cut_err((selection, duration))
            .map(|(selection, duration)| Fault::Mute(selection, duration))
            .parse_next(input),
        "cut" => cut_err((links, duration))
            .map(|((no, to), duration)| Fault::Cut(no, to, false, duration))
            .parse_next(input),
        "delay" => cut_err((links, preceded((space1, "by", space1), time), duration))
            .map(|((no, to), by, duration)| Fault::Delay(no, to, by, duration))
            .parse_next(input),
        "reset" => cut_err(links).map(|(no, to)| Fault::Reset(no, to)).parse_next(input),
        "load" => cut_err((preceded(("by", space1), float), duration))
            .map(|(by, duration)| Fault::Load(by, duration))
            .parse_next(input),
        "crash" => {
            cut_err((aggregator, duration)).map(|(no, duration)| Fault::Crash(no, duration)).parse_next(input)
        }
        "stop" => {
            cut_err((aggregator, duration)).map(|(no, duration)| Fault::Stop(no, duration)).parse_next(input)
        }
        "restart" => cut_err(aggregator).map(Fault::Restart).parse_next(input),
        "slow" => cut_err((selection, preceded((space1, "by", space1), float), duration))
            .map(|(selection, by, duration)| Fault::Slow(selection, by, duration))
            .parse_next(input),
        "aggregator" => cut_err("kill").value(Fault::KillAggregator).parse_next(input),
        _ => Err(winnow::error::ErrMode::Cut(ContextError::new()))
            .map_err(|error: winnow::error::ErrMode<ContextError>| error),
    }
}

fn line(input: &mut &str) -> ModalResult<Line> {
    let at = preceded(("at", space1), cut_err(time)).parse_next(input)?;
    let fault = preceded(space1, fault)
        .context(StrContext::Label(
            "act: kill, slow, drain, mute, aggregator kill, load, cut, delay, reset, crash, stop or restart",
        ))
        .parse_next(input)?;
    (opt(space1), opt(('#', till_line_ending))).parse_next(input)?;
    Ok(Line { at, fault })
}

/// Parses a scenario and returns its lines in order of time.
///
/// # Errors
/// Lists each invalid line, with the column and what is expected there.
pub fn parse(text: &str) -> Result<Vec<Line>, String> {
    let (mut lines, mut errors) = (Vec::new(), Vec::new());
    for (no, row) in text.lines().enumerate() {
        let row = row.trim();
        if row.is_empty() || row.starts_with('#') {
            continue;
        }
        match line.parse(row) {
            Ok(line) => lines.push(line),
            Err(error) => {
                let (at, why) = (error.offset() + 1, error.inner().to_string());
                errors.push(format!("line {}, column {at}: {row}: {}", no + 1, why.replace('\n', ", ")));
            }
        }
    }
    lines.sort_by(|a, b| a.at.total_cmp(&b.at));
    if errors.is_empty() {
        Ok(lines)
    } else {
        Err(errors.join("\n"))
    }
}

/// Returns the selected run stores out of `stores`; a number of them is drawn at random without repetition.
pub fn select(selection: &Selection, stores: usize, random: &mut fastrand::Rng) -> Vec<usize> {
    match selection {
        Selection::One(store) => vec![*store % stores.max(1)],
        Selection::Some(count) => {
            let mut all: Vec<usize> = (0..stores).collect();
            random.shuffle(&mut all);
            all.truncate(*count);
            all
        }
    }
}

#[cfg(test)]
mod tests;
