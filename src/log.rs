//! The log: lines on standard error, as text or JSON, written by `tracing`.

use std::cell::RefCell;
use std::fmt;
use std::io;
use std::net::SocketAddr;

use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields, MakeWriter};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::{Layer, Registry};

use crate::api::Cause;
use crate::core::FinalAnswer;

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
    /// This machine could make no connection, whoever the peer is.
    NoSocket,
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
            Reason::NoSocket => "no_socket",
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

/// How lines are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Format {
    /// A line each, for people and `grep`.
    #[default]
    Text,
    /// A JSON object a line, with the time, the level, and what a line is about as fields.
    Json,
}

/// A line is its message; fields stand in it already.
struct Bare;

struct Message<'a, 'b>(&'a mut Writer<'b>, fmt::Result);

impl Visit for Message<'_, '_> {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        if field.name() == "message" {
            self.1 = write!(self.0, "{value:?}");
        }
    }
}

impl<S: Subscriber + for<'a> LookupSpan<'a>, N: for<'a> FormatFields<'a> + 'static> FormatEvent<S, N>
    for Bare
{
    fn format_event(&self, _: &FmtContext<'_, S, N>, mut out: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        let mut message = Message(&mut out, Ok(()));
        event.record(&mut message);
        message.1?;
        writeln!(out)
    }
}

/// What writes lines to some place, those that pass a filter such as `info` or `info,ironpaddle::query=debug`.
///
/// # Errors
/// Says what of the filter cannot be read.
pub fn subscriber<W>(
    format: Format,
    filter: &str,
    out: W,
) -> Result<Box<dyn Subscriber + Send + Sync>, String>
where
    W: for<'w> MakeWriter<'w> + Send + Sync + 'static,
{
    let targets: Targets = filter.parse().map_err(|error| format!("log filter {filter}: {error}"))?;
    // A log that cannot be written is no reason to stop, nor to write of that.
    let layer = tracing_subscriber::fmt::layer().with_writer(out).log_internal_errors(false);
    Ok(match format {
        Format::Text => Box::new(Registry::default().with(layer.event_format(Bare).with_filter(targets))),
        Format::Json => {
            let layer = layer.json().flatten_event(true).with_current_span(false).with_span_list(false);
            Box::new(Registry::default().with(layer.with_filter(targets)))
        }
    })
}

/// Has lines written to standard error from now on. Only the first call counts.
///
/// # Errors
/// Says what of the filter cannot be read.
pub fn begin(format: Format, filter: &str) -> Result<(), String> {
    let subscriber = subscriber(format, filter, io::stderr)?;
    let _ = tracing::subscriber::set_global_default(subscriber);
    Ok(())
}

/// Writes a line.
pub fn line(text: &str) {
    tracing::info!(target: "ironpaddle", "{text}");
}

/// A line about a query, by its client's id.
pub fn about(query: &str, text: &str) {
    tracing::info!(target: "ironpaddle", query, "{text}");
}

/// A query's end: at level debug, as there are many.
pub fn verdict(query: &str, verdict: &FinalAnswer) {
    let how = match verdict {
        FinalAnswer::Served { whole: true, .. } => "whole",
        FinalAnswer::Served { whole: false, .. } => "partial",
        FinalAnswer::Refused { .. } => "refused",
        FinalAnswer::Failed { .. } => "failed",
    };
    let cause = verdict.cause().map_or("-", Cause::code);
    tracing::debug!(target: "ironpaddle::query", query, how, cause, "query {query} {how} cause={cause}");
}

/// The one line of a connection that ended.
pub fn ended(kind: &str, peer: Option<SocketAddr>, reason: Reason, note: impl fmt::Display) {
    let peer = peer.map_or_else(|| "-".to_string(), |peer| peer.to_string());
    let code = reason.code();
    WATCHER.with_borrow(|watcher| {
        if let Some(watcher) = watcher {
            watcher(kind, &peer, code, &note.to_string());
        }
    });
    tracing::info!(
        target: "ironpaddle::connection",
        kind,
        peer,
        code,
        note = %note,
        "end {kind} {peer} code={code} {note}"
    );
}

#[cfg(test)]
mod tests;
