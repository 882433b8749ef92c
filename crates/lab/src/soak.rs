//! A seeded soak: each seed draws one life of a small fleet, with several troubles in the same window, and the rules judge
//! what clients and run stores saw. A life is played again by its seed alone.

mod draw;
mod guests;
mod life;

use std::collections::BTreeMap;
use std::path::PathBuf;

use clap::{Args, ValueEnum};
use serde::Serialize;

use crate::{aggregators, Api};

/// Which wires are played.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Wires {
    /// The platform's protocol, and frames.
    Platform,
    /// The OpenSearch-style API.
    Opensearch,
    /// Each seed on both.
    Both,
}

impl Wires {
    fn apis(self) -> &'static [Api] {
        match self {
            Wires::Platform => &[Api::Platform],
            Wires::Opensearch => &[Api::Opensearch],
            Wires::Both => &[Api::Platform, Api::Opensearch],
        }
    }
}

/// What is played.
#[derive(Debug, Args)]
pub struct Options {
    /// How many seeds.
    #[arg(long, value_parser = clap::value_parser!(u64).range(1..))]
    seeds: u64,
    /// The first seed.
    #[arg(long)]
    seed: u64,
    /// How long clients ask in each life.
    #[arg(long, default_value_t = 12.0, value_parser = sound_seconds)]
    seconds: f64,
    /// The wires.
    #[arg(long, value_enum, default_value = "both")]
    api: Wires,
    /// Allow so much more time before a rule counts as broken, in milliseconds: for machines that are slow.
    #[arg(long, default_value_t = 100.0)]
    slack: f64,
    /// Start this program in place of the lab's own, such as an earlier version.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Write what became of each life into this file.
    #[arg(long)]
    json: Option<PathBuf>,
}

/// The shortest life in which what is drawn can be judged, and the longest.
const SECONDS: std::ops::RangeInclusive<f64> = 6.0..=600.0;

fn sound_seconds(text: &str) -> Result<f64, String> {
    let seconds: f64 = text.parse().map_err(|_| "not a number")?;
    if SECONDS.contains(&seconds) {
        Ok(seconds)
    } else {
        Err(format!("a life lasts {} to {} s", SECONDS.start(), SECONDS.end()))
    }
}

/// What became of a life.
#[derive(Debug, Serialize)]
struct Outcome {
    seed: u64,
    api: &'static str,
    draw: String,
    /// Queries asked, and those answered with their values.
    asked: u64,
    answered: u64,
    /// The rules that were broken: how often, and the first time.
    broken: BTreeMap<String, (u64, String)>,
}

/// Plays the lives of some seeds; says whether no rule was broken.
///
/// # Errors
/// If a life cannot be played.
pub fn run(options: &Options) -> Result<bool, String> {
    aggregators::end_with_this_process().map_err(|error| error.to_string())?;
    let mut outcomes = Vec::new();
    for seed in options.seed..options.seed + options.seeds {
        for &api in options.api.apis() {
            let draw = draw::Draw::of(seed, options.seconds);
            println!("seed {seed} {api:?}: {draw}");
            let outcome = life::play(&draw, api, options)?;
            println!("  asked {}, answered {}", outcome.asked, outcome.answered);
            for (rule, (count, first)) in &outcome.broken {
                println!("  rule broken: {rule}, {count} times, first: {first}");
            }
            outcomes.push(outcome);
        }
    }
    let broken = outcomes.iter().filter(|outcome| !outcome.broken.is_empty()).count();
    println!("{} lives, a rule was broken in {broken}", outcomes.len());
    if let Some(path) = &options.json {
        let text = serde_json::to_string_pretty(&outcomes).map_err(|error| error.to_string())?;
        std::fs::write(path, text + "\n").map_err(|error| format!("{}: {error}", path.display()))?;
    }
    Ok(broken == 0)
}
