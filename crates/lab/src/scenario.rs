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
pub enum Which {
    /// The run store of this number.
    One(usize),
    /// This number of run stores, chosen by the seed.
    Some(usize),
}

/// A fault of a scenario; the last number is its duration in milliseconds unless stated otherwise.
#[derive(Debug, Clone, PartialEq)]
pub enum Act {
    /// Run store processes die and restart cold.
    Kill(Which, f64),
    /// Run stores work slower by this factor.
    Slow(Which, f64, f64),
    /// Run stores are listed as draining.
    Drain(Which, f64),
    /// Run stores send no answers, but keep connections open.
    Mute(Which, f64),
    /// The first aggregator is killed and restarted at once; has no duration.
    KillAggregator,
    /// Clients multiply their query rate by this factor.
    Load(f64, f64),
    /// Links of an aggregator hold all bytes, or only those on the way back if the flag is set.
    Cut(usize, Ends, bool, f64),
    /// Links of an aggregator add a delay in milliseconds.
    Delay(usize, Ends, f64, f64),
    /// Connections over links of an aggregator are closed; has no duration.
    Reset(usize, Ends),
    /// An aggregator is killed, and restarted after the duration.
    Crash(usize, f64),
    /// An aggregator is suspended.
    Stop(usize, f64),
    /// An aggregator is shut down and restarted; has no duration.
    Restart(usize),
}

/// Targets of the links of an aggregator.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Ends {
    /// All run stores.
    Stores,
    /// One run store.
    Store(usize),
    /// Discovery.
    Discovery,
}

impl Act {
    /// Returns the selected run stores, if any, and the duration in milliseconds.
    pub fn about(&self) -> (Option<&Which>, f64) {
        match self {
            Act::Kill(which, spell) | Act::Drain(which, spell) | Act::Mute(which, spell) => {
                (Some(which), *spell)
            }
            Act::Slow(which, _, spell) => (Some(which), *spell),
            Act::KillAggregator | Act::Reset(..) | Act::Restart(_) => (None, 0.0),
            Act::Load(_, spell)
            | Act::Cut(.., spell)
            | Act::Delay(.., spell)
            | Act::Crash(_, spell)
            | Act::Stop(_, spell) => (None, *spell),
        }
    }
}

/// A line of a scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// Time from the start of the run, in milliseconds.
    pub at: f64,
    /// The fault.
    pub act: Act,
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

fn which(input: &mut &str) -> ModalResult<Which> {
    alt((preceded("s-", number).map(Which::One), number.map(Which::Some)))
        .context(StrContext::Label("run store, as s-1, or a number of them"))
        .parse_next(input)
}

fn spell(input: &mut &str) -> ModalResult<f64> {
    preceded((space1, "for", space1), time).context(StrContext::Label("spell, as for 15s")).parse_next(input)
}

fn aggregator(input: &mut &str) -> ModalResult<usize> {
    preceded("n-", number).context(StrContext::Label("aggregator, as n-0")).parse_next(input)
}

/// Parses an aggregator and the targets of its links.
fn links(input: &mut &str) -> ModalResult<(usize, Ends)> {
    let to = alt((
        "stores".value(Ends::Stores),
        "discovery".value(Ends::Discovery),
        preceded("s-", number).map(Ends::Store),
    ));
    (aggregator, preceded((space1, "from", space1), to))
        .context(StrContext::Label("links, as n-0 from stores, from s-3 or from discovery"))
        .parse_next(input)
}

fn act(input: &mut &str) -> ModalResult<Act> {
    let verb = terminated(alpha1, space1).context(StrContext::Label("act")).parse_next(input)?;
    match verb {
        "kill" => cut_err((which, spell)).map(|(which, spell)| Act::Kill(which, spell)).parse_next(input),
        "drain" => cut_err((which, spell)).map(|(which, spell)| Act::Drain(which, spell)).parse_next(input),
        "mute" if input.starts_with("n-") => {
            cut_err((links, spell)).map(|((no, to), spell)| Act::Cut(no, to, true, spell)).parse_next(input)
        }
        "mute" => cut_err((which, spell)).map(|(which, spell)| Act::Mute(which, spell)).parse_next(input),
        "cut" => {
            cut_err((links, spell)).map(|((no, to), spell)| Act::Cut(no, to, false, spell)).parse_next(input)
        }
        "delay" => cut_err((links, preceded((space1, "by", space1), time), spell))
            .map(|((no, to), by, spell)| Act::Delay(no, to, by, spell))
            .parse_next(input),
        "reset" => cut_err(links).map(|(no, to)| Act::Reset(no, to)).parse_next(input),
        "load" => cut_err((preceded(("by", space1), float), spell))
            .map(|(by, spell)| Act::Load(by, spell))
            .parse_next(input),
        "crash" => cut_err((aggregator, spell)).map(|(no, spell)| Act::Crash(no, spell)).parse_next(input),
        "stop" => cut_err((aggregator, spell)).map(|(no, spell)| Act::Stop(no, spell)).parse_next(input),
        "restart" => cut_err(aggregator).map(Act::Restart).parse_next(input),
        "slow" => cut_err((which, preceded((space1, "by", space1), float), spell))
            .map(|(which, by, spell)| Act::Slow(which, by, spell))
            .parse_next(input),
        "aggregator" => cut_err("kill").value(Act::KillAggregator).parse_next(input),
        _ => Err(winnow::error::ErrMode::Cut(ContextError::new()))
            .map_err(|error: winnow::error::ErrMode<ContextError>| error),
    }
}

fn line(input: &mut &str) -> ModalResult<Line> {
    let at = preceded(("at", space1), cut_err(time)).parse_next(input)?;
    let act = preceded(space1, act)
        .context(StrContext::Label(
            "act: kill, slow, drain, mute, aggregator kill, load, cut, delay, reset, crash, stop or restart",
        ))
        .parse_next(input)?;
    (opt(space1), opt(('#', till_line_ending))).parse_next(input)?;
    Ok(Line { at, act })
}

/// Parses a scenario and returns its lines in order of time.
///
/// # Errors
/// Lists each invalid line, with the column and what is expected there.
pub fn read(text: &str) -> Result<Vec<Line>, String> {
    let (mut lines, mut faults) = (Vec::new(), Vec::new());
    for (no, row) in text.lines().enumerate() {
        let row = row.trim();
        if row.is_empty() || row.starts_with('#') {
            continue;
        }
        match line.parse(row) {
            Ok(line) => lines.push(line),
            Err(error) => {
                let (at, why) = (error.offset() + 1, error.inner().to_string());
                faults.push(format!("line {}, column {at}: {row}: {}", no + 1, why.replace('\n', ", ")));
            }
        }
    }
    lines.sort_by(|a, b| a.at.total_cmp(&b.at));
    if faults.is_empty() {
        Ok(lines)
    } else {
        Err(faults.join("\n"))
    }
}

/// Returns the selected run stores out of `stores`; a number of them is drawn at random without repetition.
pub fn pick(which: &Which, stores: usize, random: &mut fastrand::Rng) -> Vec<usize> {
    match which {
        Which::One(store) => vec![*store % stores.max(1)],
        Which::Some(count) => {
            let mut all: Vec<usize> = (0..stores).collect();
            random.shuffle(&mut all);
            all.truncate(*count);
            all
        }
    }
}

#[cfg(test)]
mod tests;
