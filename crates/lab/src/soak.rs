//! Seeded soak test: each seed draws one run of a small fleet (a "life" in the output) with several faults in the same
//! window, and the rules are checked on what clients and run stores observe. The seed alone reproduces a run.

mod draw;
mod guests;
mod life;

use std::collections::BTreeMap;
use std::path::PathBuf;

use clap::{Args, ValueEnum};
use serde::Serialize;

use crate::{aggregators, Api};

/// Selection of the APIs to test.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum ApiSelection {
    /// The platform's protocol, and frames to run stores.
    Platform,
    /// The OpenSearch-style API.
    Opensearch,
    /// Both, for each seed.
    Both,
}

impl ApiSelection {
    fn apis(self) -> &'static [Api] {
        match self {
            ApiSelection::Platform => &[Api::Platform],
            ApiSelection::Opensearch => &[Api::Opensearch],
            ApiSelection::Both => &[Api::Platform, Api::Opensearch],
        }
    }
}

/// Options of a soak.
#[derive(Debug, Args)]
pub struct Options {
    /// Number of seeds.
    #[arg(long, value_parser = clap::value_parser!(u64).range(1..))]
    seeds: u64,
    /// The first seed.
    #[arg(long)]
    seed: u64,
    /// Seconds for which clients send queries in each life (the run of one seed).
    #[arg(long, default_value_t = 12.0, value_parser = parse_seconds)]
    seconds: f64,
    /// APIs to test.
    #[arg(long, value_enum, default_value = "both")]
    api: ApiSelection,
    /// Additional time before a rule counts as broken, in milliseconds, for slow machines.
    #[arg(long, default_value_t = 100.0)]
    slack: f64,
    /// Run aggregators with this program, such as an earlier version, in place of the lab itself.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Write the outcome of each life to this file.
    #[arg(long)]
    json: Option<PathBuf>,
}

/// Allowed length of a run, in seconds; in a shorter one the drawn faults could not be checked.
const RUN_SECONDS: std::ops::RangeInclusive<f64> = 6.0..=600.0;

fn parse_seconds(text: &str) -> Result<f64, String> {
    let seconds: f64 = text.parse().map_err(|_| "not a number")?;
    if RUN_SECONDS.contains(&seconds) {
        Ok(seconds)
    } else {
        Err(format!("a life lasts {} to {} s", RUN_SECONDS.start(), RUN_SECONDS.end()))
    }
}

/// Outcome of a run.
#[derive(Debug, Serialize)]
struct Outcome {
    seed: u64,
    api: &'static str,
    draw: String,
    /// Queries asked.
    asked: u64,
    /// Queries answered.
    answered: u64,
    /// Broken rules: how often, and a description of the first time.
    broken: BTreeMap<String, (u64, String)>,
}

/// Runs all seeds and returns whether no rule was broken.
///
/// # Errors
/// If a run cannot be set up or carried out.
pub fn run(options: &Options) -> Result<bool, String> {
    aggregators::kill_children_on_signal().map_err(|error| error.to_string())?;
    let mut outcomes = Vec::new();
    for seed in options.seed..options.seed + options.seeds {
        for &api in options.api.apis() {
            let draw = draw::Draw::of(seed, options.seconds);
            println!("seed {seed} {api:?}: {draw}");
            let outcome = life::run(&draw, api, options)?;
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
