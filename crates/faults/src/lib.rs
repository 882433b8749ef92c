//! System calls that fail as Linux documents, for the program under test alone.
//!
//! Preloaded (`LD_PRELOAD`), it forwards to the C library what it does not fail. What fails is read from `FAULTS` (see
//! [`plan`]); without it, or with one that is not understood, the process ends at its first call: a test that injects
//! nothing would show nothing. It is for preloading alone: linked into a program, it would take that one's calls.

#[cfg(not(test))]
pub mod calls;
pub mod plan;
