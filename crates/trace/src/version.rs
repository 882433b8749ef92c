//! The versions of the records, and how older ones are read.
//!
//! 1 came first. 2 knows why queries were refused or failed, why attempts were made or called back, and why there. 3 says
//! the same in fewer bytes.

use crate::num::Num;
use crate::record::Record;
use crate::{v1, v2, Error};

/// The version that is written.
pub const VERSION: u8 = 3;

/// Reads an entry of some version off some bytes: its distance from the block's first entry and its record.
///
/// # Errors
/// If the bytes are none, or the version is not known.
pub(crate) fn take(version: u8, bytes: &[u8]) -> Result<((Num, Record), &[u8]), Error> {
    match version {
        1 => {
            let ((at, record), rest) = postcard::take_from_bytes::<(Num, v1::Record)>(bytes)?;
            Ok(((at, record.into()), rest))
        }
        2 => {
            let ((at, record), rest) = postcard::take_from_bytes::<(Num, v2::Record)>(bytes)?;
            Ok(((at, record.into()), rest))
        }
        3 => Ok(postcard::take_from_bytes(bytes)?),
        other => Err(Error::Version(other)),
    }
}
