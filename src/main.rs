//! The `ironpaddle` program; see the library's documentation and the README.

use std::process::ExitCode;

fn main() -> ExitCode {
    ironpaddle::cli::main()
}
