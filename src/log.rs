//! The log, written by `tracing` to standard error as lines of text or JSON.

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
    /// The peer closed it between messages.
    PeerClosed,
    /// This side closed it after the last answer, as it had announced.
    Done,
    /// It was idle for too long.
    Idle,
    /// The client closed it before it received its answer.
    ClientGone,
    /// A malformed message was received, so message boundaries are lost.
    Malformed,
    /// The peer did not complete a message or an answer in time.
    TooSlow,
    /// Connecting failed.
    ConnectFailed,
    /// Connecting timed out.
    ConnectTimeout,
    /// This machine could not create a connection, for a reason that does not depend on the peer.
    NoSocket,
    /// It was reset, or failed with another I/O error.
    Reset,
    /// The peer reported a frame that violates the protocol.
    Protocol,
    /// The peer sent nothing although something was outstanding.
    Silent,
    /// The peer is no longer used: a run store that drains, is gone or has restarted, or a directory address that a
    /// reload replaced.
    Retired,
    /// The core requested the close.
    Asked,
    /// There were too many connections.
    Full,
    /// There was no memory for the rest of a request.
    NoMemory,
    /// It carries no further request, as the response to one could not be told from others on it.
    Renewed,
    /// This process is shutting down.
    Shutdown,
}

impl Reason {
    /// Returns the code that the log shows.
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
            Reason::NoMemory => "no_memory",
            Reason::Renewed => "renewed",
            Reason::Shutdown => "shutdown",
        }
    }
}

impl From<io::ErrorKind> for Reason {
    /// Maps the error of a failed read or write to the reason why its connection ended.
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

/// A callback for connections that end, with the kind of the connection, the peer, the reason's code and the note.
type ConnectionObserver = Box<dyn Fn(&str, &str, &str, &str)>;

thread_local! {
    static OBSERVER: RefCell<Option<ConnectionObserver>> = const { RefCell::new(None) };
}

/// Sets or removes the callback that is invoked when a connection of this thread ends.
pub fn set_connection_observer(observer: Option<ConnectionObserver>) {
    OBSERVER.with_borrow_mut(|current| *current = observer);
}

/// The format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Format {
    /// Plain text, for people and `grep`.
    #[default]
    Text,
    /// One JSON object per line, with the time, the level and structured fields.
    Json,
}

/// Formats an event as its message only, as the text of a message already contains the fields.
struct MessageOnly;

/// Writes the field `message` of an event and keeps the result.
struct MessageVisitor<'a, 'b>(&'a mut Writer<'b>, fmt::Result);

impl Visit for MessageVisitor<'_, '_> {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        if field.name() == "message" {
            self.1 = write!(self.0, "{value:?}");
        }
    }
}

impl<S: Subscriber + for<'a> LookupSpan<'a>, N: for<'a> FormatFields<'a> + 'static> FormatEvent<S, N>
    for MessageOnly
{
    fn format_event(&self, _: &FmtContext<'_, S, N>, mut out: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        let mut message = MessageVisitor(&mut out, Ok(()));
        event.record(&mut message);
        message.1?;
        writeln!(out)
    }
}

/// Creates a subscriber that writes lines to `out` if they pass `filter`, such as `info` or
/// `info,ironpaddle::query=debug`.
///
/// # Errors
/// Returns a message if the filter cannot be parsed.
pub fn subscriber<W>(
    format: Format,
    filter: &str,
    out: W,
) -> Result<Box<dyn Subscriber + Send + Sync>, String>
where
    W: for<'w> MakeWriter<'w> + Send + Sync + 'static,
{
    let targets: Targets = filter.parse().map_err(|error| format!("log filter {filter}: {error}"))?;
    // The process goes on if the log cannot be written, and such errors are not logged.
    let layer = tracing_subscriber::fmt::layer().with_writer(out).log_internal_errors(false);
    Ok(match format {
        Format::Text => {
            Box::new(Registry::default().with(layer.event_format(MessageOnly).with_filter(targets)))
        }
        Format::Json => {
            let layer = layer.json().flatten_event(true).with_current_span(false).with_span_list(false);
            Box::new(Registry::default().with(layer.with_filter(targets)))
        }
    })
}

/// Starts writing the log to standard error. Only the first call has an effect.
///
/// # Errors
/// Returns a message if the filter cannot be parsed.
pub fn init(format: Format, filter: &str) -> Result<(), String> {
    let subscriber = subscriber(format, filter, io::stderr)?;
    let _ = tracing::subscriber::set_global_default(subscriber);
    Ok(())
}

/// Logs a line.
pub fn line(text: &str) {
    tracing::info!(target: "ironpaddle", "{text}");
}

/// Logs a line about a query, with the id that its client gave it.
pub fn query(query: &str, text: &str) {
    tracing::info!(target: "ironpaddle", query, "{text}");
}

/// Logs the end of a query, at level debug because of their number.
pub fn query_ended(query: &str, final_answer: &FinalAnswer) {
    let how = match final_answer {
        FinalAnswer::Served { whole: true, .. } => "whole",
        FinalAnswer::Served { whole: false, .. } => "partial",
        FinalAnswer::Refused { .. } => "refused",
        FinalAnswer::Failed { .. } => "failed",
    };
    let cause = final_answer.cause().map_or("-", Cause::code);
    tracing::debug!(target: "ironpaddle::query", query, how, cause, "query {query} {how} cause={cause}");
}

/// Logs the end of a connection, with one line per connection.
pub fn ended(kind: &str, peer: Option<SocketAddr>, reason: Reason, note: impl fmt::Display) {
    let peer = peer.map_or_else(|| "-".to_string(), |peer| peer.to_string());
    let code = reason.code();
    OBSERVER.with_borrow(|observer| {
        if let Some(observer) = observer {
            observer(kind, &peer, code, &note.to_string());
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
