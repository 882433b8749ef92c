//! The log: lines on standard error.

use std::cell::RefCell;
use std::fmt;
use std::io::{self, Write};
use std::net::SocketAddr;

/// Why a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The other side closed it in good order.
    PeerClosed,
    /// This side closed it after the last answer, as announced.
    Done,
    /// It stood idle for too long.
    Idle,
    /// The client left before its answer.
    ClientGone,
    /// What came could not be read; framing is lost.
    Malformed,
    /// The other side was too slow with what it had begun.
    TooSlow,
    /// It never came up.
    ConnectFailed,
    /// It did not come up in time.
    ConnectTimeout,
    /// It broke.
    Reset,
    /// The other side reported a frame that it could not use.
    Protocol,
    /// It fell silent with something outstanding.
    Silent,
    /// The run store drains, is gone or has started anew.
    Retired,
    /// The core asked for it.
    Asked,
    /// There are too many connections.
    Full,
    /// This program is shutting down.
    Shutdown,
}

impl Reason {
    /// The code in the log.
    pub fn code(self) -> &'static str {
        match self {
            Reason::PeerClosed => "peer_closed",
            Reason::Done => "done",
            Reason::Idle => "idle",
            Reason::ClientGone => "client_gone",
            Reason::Malformed => "malformed",
            Reason::TooSlow => "too_slow",
            Reason::ConnectFailed => "connect_failed",
            Reason::ConnectTimeout => "connect_timeout",
            Reason::Reset => "reset",
            Reason::Protocol => "protocol",
            Reason::Silent => "silent",
            Reason::Retired => "retired",
            Reason::Asked => "asked",
            Reason::Full => "full",
            Reason::Shutdown => "shutdown",
        }
    }
}

impl From<io::ErrorKind> for Reason {
    /// Why a connection ended on which a read or a write failed.
    fn from(kind: io::ErrorKind) -> Self {
        match kind {
            io::ErrorKind::TimedOut => Reason::TooSlow,
            io::ErrorKind::ConnectionRefused => Reason::ConnectFailed,
            io::ErrorKind::InvalidData => Reason::Malformed,
            io::ErrorKind::UnexpectedEof => Reason::PeerClosed,
            _ => Reason::Reset,
        }
    }
}

/// Who else hears of connections that ended: what it was, the peer, the reason's code, the note.
type Watcher = Box<dyn Fn(&str, &str, &str, &str)>;

thread_local! {
    static WATCHER: RefCell<Option<Watcher>> = const { RefCell::new(None) };
}

/// Has somebody hear of the connections of this thread that end, or nobody any more.
pub fn watch(watcher: Option<Watcher>) {
    WATCHER.with_borrow_mut(|known| *known = watcher);
}

/// Writes a line. A log that cannot be written is no reason to stop.
pub fn line(text: &str) {
    let _ = writeln!(std::io::stderr().lock(), "{text}");
}

/// The one line of a connection that ended.
pub fn ended(kind: &str, peer: Option<SocketAddr>, reason: Reason, note: impl fmt::Display) {
    let peer = peer.map_or_else(|| "-".to_string(), |peer| peer.to_string());
    WATCHER.with_borrow(|watcher| {
        if let Some(watcher) = watcher {
            watcher(kind, &peer, reason.code(), &note.to_string());
        }
    });
    line(&format!("end {kind} {peer} code={} {note}", reason.code()));
}
