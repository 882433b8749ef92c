//! The frames of the platform's run stores, to and from bytes. It does no input.

use std::rc::Rc;

use crate::api::LoadReport;

/// The most bytes of a frame from a run store. The answer to a client holds at most 64 KiB, so no value that is
/// of use is longer; what is announced as longer is refused before a byte of it is kept.
pub const MOST_FRAME: usize = 65 * 1024;

/// A frame from a run store.
#[derive(Debug, Clone, PartialEq)]
pub enum Frame {
    /// `5`: the end of a part.
    End {
        /// The part's id.
        part: String,
        /// How it ended.
        end: End,
        /// The load report, if there was one.
        load: Option<LoadReport>,
        /// The value.
        value: Rc<[u8]>,
    },
    /// `3`: the answer to a probe. Whatever it says, all that was written before that probe has been read.
    Probed,
    /// `4`: the answer to a probe for load.
    Load {
        /// Whether it succeeded.
        ok: bool,
        /// The load report, if there was one.
        load: Option<LoadReport>,
    },
    /// `X`: the frame before could not be used.
    Unusable(String),
}

/// How a part ended at its run store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// `S`
    Served,
    /// `E`
    Error,
    /// `B`
    TurnedAway,
}

/// One part of a call.
pub struct Part<'a> {
    /// Its id.
    pub id: &'a str,
    /// Its shard.
    pub shard: u32,
    /// How many milliseconds its answer is waited for.
    pub wait: u64,
    /// The query's key, in a keyed class. It holds no comma, blank or line end, which would end it.
    pub key: Option<&'a str>,
    /// The query's text.
    pub text: &'a [u8],
}

/// A call of some parts.
pub fn call<'a>(parts: impl Iterator<Item = Part<'a>>) -> Vec<u8> {
    let mut rest = Vec::new();
    for Part { id, shard, wait, key, text } in parts {
        let key = key.map(|key| format!(",k={key}")).unwrap_or_default();
        rest.extend_from_slice(format!("{id} {shard} d={wait}{key} {}\n", text.len()).as_bytes());
        rest.extend_from_slice(text);
    }
    frame(b'1', &rest)
}

/// A part is given up.
pub fn give_up(part: &str) -> Vec<u8> {
    frame(b'2', part.as_bytes())
}

/// A probe.
pub fn probe() -> Vec<u8> {
    frame(b'3', &[])
}

/// A probe for load.
pub fn load_probe() -> Vec<u8> {
    frame(b'4', &[])
}

fn frame(letter: u8, rest: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(rest.len() + 5);
    bytes.extend_from_slice(&(rest.len() as u32 + 1).to_le_bytes());
    bytes.push(letter);
    bytes.extend_from_slice(rest);
    bytes
}

/// Takes the first frame off a buffer, once it is whole.
///
/// # Errors
/// Says what cannot be read; nothing more can be read after that.
pub fn next(buffer: &mut Vec<u8>) -> Result<Option<Frame>, String> {
    let Some(length) = buffer.first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_le_bytes(*length) as usize;
    if length == 0 || length > MOST_FRAME {
        return Err(format!("a frame of {length} bytes"));
    }
    let Some(bytes) = buffer.get(4..4 + length) else { return Ok(None) };
    let frame = read(bytes[0], &bytes[1..])?;
    buffer.drain(..4 + length);
    Ok(Some(frame))
}

fn read(letter: u8, rest: &[u8]) -> Result<Frame, String> {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    match letter {
        b'3' => Ok(Frame::Probed),
        b'4' => {
            let ok = !rest.starts_with(b"E");
            Ok(Frame::Load { ok, load: if ok { report(&text(rest)) } else { None } })
        }
        b'5' => {
            let cut = rest.iter().position(|byte| *byte == b'\n').ok_or("an end without its line")?;
            let line = text(&rest[..cut]);
            // The report is all that is left: one that cannot be read does not spoil the answer.
            let words: Vec<&str> = line.splitn(4, ' ').collect();
            let [part, end, _score, load] = words[..] else {
                return Err(format!("an end with the line {line:?}"));
            };
            let end = match end {
                "S" => End::Served,
                "E" => End::Error,
                "B" => End::TurnedAway,
                _ => return Err(format!("an end of the kind {end:?}")),
            };
            let value = rest[cut + 1..].into();
            Ok(Frame::End { part: part.to_string(), end, load: report(load), value })
        }
        b'X' => Ok(Frame::Unusable(text(rest))),
        other => Err(format!("a frame of the letter {:?}", other as char)),
    }
}

/// Reads `name=number` pairs; unknown names are passed over. `None` if there is no report that can be read.
/// Run stores use the names of the settings or the short ones.
fn report(text: &str) -> Option<LoadReport> {
    let mut load = LoadReport::default();
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        let value = value.parse::<f64>().ok().filter(|value| value.is_finite());
        match name {
            "inflight" | "outstanding" => load.in_flight = value,
            "queue" | "backlog" => load.queue = value,
            "util" | "utilization" => load.utilization = value,
            "qps" | "throughput" => load.throughput = value,
            _ => {}
        }
    }
    (load != LoadReport::default()).then_some(load)
}
