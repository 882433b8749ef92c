//! Makes system calls of the program under test fail in ways that Linux documents.
//!
//! The library is preloaded with `LD_PRELOAD` and forwards the calls that it does not fail to the C library. The faults
//! are read from the environment variable `FAULTS` (see [`plan`]). If the variable is missing or cannot be parsed, the
//! process aborts at its first intercepted call, so that a test cannot pass without its faults. Do not link the library
//! into a program: its functions would replace those of the C library there.

#[cfg(not(test))]
pub mod calls;
pub mod plan;
