//! The command line. Exit codes: 0, 1 where something is at fault or was found, 2 where the call is.

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

/// What serving takes.
#[derive(Debug, Args)]
struct Serve {
    /// The configuration file; without it the one that GW_CONFIG names.
    config: Option<PathBuf>,
    /// How the log is written.
    #[arg(long, value_enum, default_value = "text")]
    log_format: Format,
    /// What is logged: a level, and levels of targets, as info,ironpaddle::query=debug.
    #[arg(long, default_value = "info")]
    log_filter: String,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Serve, as without any command.
    Run(Serve),
    /// Read and check a configuration file.
    Check {
        /// The file.
        config: PathBuf,
    },
    /// Look at, cut, merge, replay recordings.
    #[command(subcommand)]
    Trace(trace::Command),
    /// Print completions for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// What a command found.
pub enum Found {
    /// All is well.
    Well,
    /// Something that its caller has to know.
    Fault,
}

/// Runs the program by its arguments.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    let done = match cli.command {
        None => serve(cli.serve),
        Some(Command::Run(command)) => serve(command),
        Some(Command::Check { config }) => Config::load(&config).map(|_| {
            println!("{}: sound", config.display());
            Found::Well
        }),
        Some(Command::Trace(command)) => trace::run(command),
        Some(Command::Completions { shell }) => {
            clap_complete::generate(shell, &mut Cli::command(), "ironpaddle", &mut std::io::stdout());
            Ok(Found::Well)
        }
    };
    match done {
        Ok(Found::Well) => ExitCode::SUCCESS,
        Ok(Found::Fault) => ExitCode::FAILURE,
        Err(message) => {
            eprintln!("ironpaddle: {message}");
            ExitCode::FAILURE
        }
    }
}

fn serve(serve: Serve) -> Result<Found, String> {
    log::init(serve.log_format, &serve.log_filter)?;
    config::path(serve.config).and_then(|path| service::run(&path)).map(|()| Found::Well)
}
