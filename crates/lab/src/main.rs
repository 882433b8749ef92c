//! The project's lab: everything an aggregator meets, on loopback, with load and troubles, under a checker of the rules.

mod aggregators;
mod capacity;
mod check;
mod clients;
mod clock;
mod demo;
mod discovery;
mod links;
mod logs;
mod measure;
mod model;
mod report;
mod scale;
mod scenario;
mod soak;
mod stores;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};

/// What clients, aggregators and run stores speak.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Api {
    /// The platform's protocol, and frames.
    Platform,
    /// The OpenSearch-style API.
    Opensearch,
}

#[derive(Debug, Parser)]
#[command(name = "ironpaddle-lab", version, about = "The lab of ironpaddle: all on loopback.")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Start run stores, discovery, aggregators and clients, and show queries being answered.
    Demo(demo::Options),
    /// Play a scenario between several aggregators, with links between all processes that can be cut, delayed and reset.
    Fleet(demo::Fleet),
    /// Play drawn lives of small fleets, with troubles in the same window, and judge them by the rules.
    Soak(soak::Options),
    /// Run hollow aggregators beside real ones, and measure what each role uses and how soon changes are in force.
    Scale(scale::Options),
    /// Stand in for others in a scale run, which starts such processes of itself.
    #[command(hide = true)]
    ScaleRole {
        /// What to stand in for.
        role: scale::roles::Role,
    },
    /// Measure what a line of the log costs: as it was, as text, as JSON, and filtered out. Send standard error to
    /// /dev/null.
    LogCost {
        /// Lines of each kind.
        #[arg(long, default_value_t = 300_000)]
        lines: u32,
    },
    /// Print what the full size asks of each role, worked out from measured slopes.
    Capacity(capacity::Options),
    /// Measure series of one real aggregator for the tables of `capacity`.
    Measure(measure::Options),
    /// Be an aggregator; the demo starts such processes of itself.
    #[command(hide = true)]
    Aggregator {
        /// Its configuration.
        config: PathBuf,
    },
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Demo(options) => demo::run(&options),
        Command::Fleet(fleet) => demo::fleet(fleet),
        Command::Soak(options) => soak::run(&options),
        Command::Scale(options) => scale::run(&options),
        Command::ScaleRole { role } => scale::roles::run(role),
        Command::Aggregator { config } => aggregators::be(&config).map(|()| true),
        Command::LogCost { lines } => logs::cost(lines).map(|()| true),
        Command::Measure(options) => measure::run(&options).map(|()| true),
        Command::Capacity(options) => match capacity::run(&options) {
            Ok(()) => Ok(true),
            Err(message) => {
                eprintln!("ironpaddle-lab: {message}");
                return ExitCode::from(2);
            }
        },
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(message) => {
            eprintln!("ironpaddle-lab: {message}");
            ExitCode::FAILURE
        }
    }
}
