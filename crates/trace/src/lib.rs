//! The trace format of ironpaddle: a recording of an aggregator's inputs and decisions, for later analysis and replay.
//!
//! A trace is a set of segments. A segment is a file of blocks ([`block`]) that can be decoded independently, followed
//! by an index by time and query ([`mod@file`], [`index`]). A segment that a crash truncated is read up to its last
//! intact block. [`record`] defines the data model. This crate opens no sockets and starts no threads; the format works
//! on `Read`, `Write` and `Seek`. It is specified in `docs/TRACE.md`.
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

/// An error in reading or writing a trace.
#[derive(Debug)]
pub enum Error {
    /// An I/O operation failed.
    Io(std::io::Error),
    /// The data is corrupt.
    Damaged,
    /// The format version or the codec is not supported.
    Version(u8),
    /// The file is not a trace.
    NoTrace,
    /// A block would exceed the maximum size.
    TooLong,
    /// Any other error, described by the text.
    Other(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Io(error) => write!(f, "{error}"),
            Error::Damaged => write!(f, "damaged block"),
            Error::Version(version) => {
                write!(f, "unsupported version or codec in a block of version {version}")
            }
            Error::NoTrace => write!(f, "not a trace file"),
            Error::TooLong => write!(f, "block exceeds the maximum size"),
            Error::Other(message) => write!(f, "{message}"),
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
