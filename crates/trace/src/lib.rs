//! The trace format of ironpaddle: what an aggregator saw and decided, for the day after.
//!
//! A trace is a set of segments. A segment is a file of blocks ([`block`]), each readable by itself, with an index by
//! time and query at its end ([`mod@file`], [`index`]); one that a crash cut short is read up to its last sound block.
//! [`record`] is the model. Nothing here opens a socket or a thread; the format works on `Read`, `Write` and `Seek`.
//! The format is described in `docs/TRACE.md`.
#![warn(missing_docs)]

pub mod block;
pub mod edit;
pub mod file;
pub mod index;
pub mod keep;
pub mod num;
mod packed;
pub mod record;
pub mod set;
pub mod story;
pub mod summary;
mod v1;
mod v2;
pub mod version;

use std::fmt;

pub use version::VERSION;

/// Why a trace could not be read or written.
#[derive(Debug)]
pub enum Error {
    /// Input or output failed.
    Io(std::io::Error),
    /// The bytes are not those that were written.
    Damaged,
    /// It is of a version or codec that is not known here.
    Version(u8),
    /// It is no trace.
    NoTrace,
    /// A block would be too long.
    TooLong,
    /// Something else is at fault; the text says what.
    Other(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Io(error) => write!(f, "{error}"),
            Error::Damaged => write!(f, "a damaged block"),
            Error::Version(version) => write!(f, "a block of version {version}, which is not known here"),
            Error::NoTrace => write!(f, "this is no trace"),
            Error::TooLong => write!(f, "a block that would be too long"),
            Error::Other(why) => write!(f, "{why}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Error::Io(error)
    }
}

impl From<postcard::Error> for Error {
    fn from(_: postcard::Error) -> Self {
        Error::Damaged
    }
}
