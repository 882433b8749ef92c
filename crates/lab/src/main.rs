//! Test bench for aggregators: clients, run stores and discovery on loopback, with generated load, injected faults and
//! checks of the rules that aggregators must keep.

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

/// The API between clients and aggregators, with the matching protocol of run stores.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Api {
    /// The platform's protocol, and frames to run stores.
    Platform,
    /// The OpenSearch-style API.
    Opensearch,
}

#[derive(Debug, Parser)]
#[command(name = "ironpaddle-lab", version, about = "Test bench of ironpaddle: everything runs on loopback.")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Start run stores, discovery, aggregators and clients, and show queries being answered.
    Demo(demo::Options),
    /// Play a scenario with several aggregators, over links between all processes that can be cut, delayed and reset.
    Fleet(demo::Fleet),
    /// Run small fleets drawn from seeds, with several faults in the same window, and check the rules.
    Soak(soak::Options),
    /// Run simulated aggregators with real ones, and measure what each role uses and how soon changes take effect.
    Scale(scale::Options),
    /// Play one role of a scale run; the scale run starts these processes itself.
    #[command(hide = true)]
    ScaleRole {
        /// The role to play.
        role: scale::roles::Role,
    },
    /// Measure the cost of a log line: with plain writeln, as text, as JSON, and filtered out. Redirect standard error
    /// to /dev/null.
    LogCost {
        /// Number of lines of each kind.
        #[arg(long, default_value_t = 300_000)]
        lines: u32,
    },
    /// Print the resources that each role needs at full size, computed from measured slopes.
    Capacity(capacity::Options),
    /// Measure series of one real aggregator for the tables of `capacity`.
    Measure(measure::Options),
    /// Run as an aggregator; the demo starts these processes itself.
    #[command(hide = true)]
    Aggregator {
        /// The configuration file.
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
        Command::Aggregator { config } => aggregators::run_as_aggregator(&config).map(|()| true),
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
