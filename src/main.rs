//! ironpaddle, the aggregator: see the library's documentation and the README.

use std::process::ExitCode;

use ironpaddle::{config, service};

fn main() -> ExitCode {
    match config::path().and_then(|path| service::run(&path)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("ironpaddle: {message}");
            ExitCode::FAILURE
        }
    }
}
