//! The command line. Exit codes: 0 for success, 1 if the command failed or found a problem, 2 for wrong arguments.

mod trace;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, CommandFactory, Parser, Subcommand};
use clap_complete::Shell;

use crate::config::{self, Config};
use crate::log::{self, Format};
use crate::service;

/// A query aggregator in front of a sharded, replicated store of run records.
#[derive(Debug, Parser)]
#[command(name = "ironpaddle", version, args_conflicts_with_subcommands = true)]
#[command(after_help = "Examples:
  ironpaddle /etc/ironpaddle/desk-1.json
  ironpaddle check /etc/ironpaddle/desk-1.json
  ironpaddle trace summary /var/lib/ironpaddle/trace
  ironpaddle trace why 9b1f03aa5c7e2d41 /var/lib/ironpaddle/trace")]
struct Cli {
    #[command(flatten)]
    serve: Serve,
    #[command(subcommand)]
    command: Option<Command>,
}

/// The arguments of serving.
#[derive(Debug, Args)]
struct Serve {
    /// The configuration file; defaults to the one that GW_CONFIG names.
    config: Option<PathBuf>,
    /// The format of the log.
    #[arg(long, value_enum, default_value = "text")]
    log_format: Format,
    /// The log filter: a level, and levels of single targets, for example info,ironpaddle::query=debug.
    #[arg(long, default_value = "info")]
    log_filter: String,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Serve; the same as without a command.
    Run(Serve),
    /// Read and check a configuration file without serving.
    Check {
        /// The configuration file.
        config: PathBuf,
    },
    /// Inspect, cut, merge and replay recordings.
    #[command(subcommand)]
    Trace(trace::Command),
    /// Print the completion script of a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// The result of a command that ran to its end.
pub enum Outcome {
    /// The command found no problem.
    Success,
    /// The command found a problem, such as damage or a difference.
    ProblemFound,
}

/// Parses the arguments and runs the program.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    let outcome = match cli.command {
        None => serve(cli.serve),
        Some(Command::Run(command)) => serve(command),
        Some(Command::Check { config }) => Config::load(&config).map(|_| {
            println!("{}: sound", config.display());
            Outcome::Success
        }),
        Some(Command::Trace(command)) => trace::run(command),
        Some(Command::Completions { shell }) => {
            clap_complete::generate(shell, &mut Cli::command(), "ironpaddle", &mut std::io::stdout());
            Ok(Outcome::Success)
        }
    };
    match outcome {
        Ok(Outcome::Success) => ExitCode::SUCCESS,
        Ok(Outcome::ProblemFound) => ExitCode::FAILURE,
        Err(message) => {
            eprintln!("ironpaddle: {message}");
            ExitCode::FAILURE
        }
    }
}

fn serve(serve: Serve) -> Result<Outcome, String> {
    log::init(serve.log_format, &serve.log_filter)?;
    config::path(serve.config).and_then(|path| service::run(&path)).map(|()| Outcome::Success)
}
