//! Transports to run stores: pooled connections and the wire protocols on them.

pub mod frames;
pub mod opensearch;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use crate::api::Millis;
use crate::log::Reason;
use crate::net::SocketErrorKind;
use crate::settings::SiteSettings;

/// Limits and settings of a transport.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// How long it may take to establish a connection.
    pub connect: Duration,
    /// Run stores close connections after this idle time.
    pub keep_alive: Duration,
    /// Maximum number of concurrent calls on one connection, where the protocol supports several.
    pub streams: usize,
    /// Maximum number of parts in one call, where the protocol supports several.
    pub bundle: usize,
    /// Maximum number of connections in all.
    pub connections: usize,
    /// Whether several attempts of a part may run at once. If not, a connection closed by this side is read until the
    /// run store closes it too: only then is the run store certain to have noticed.
    pub copies: bool,
    /// Whether run stores may be probed.
    pub probes: bool,
}

/// The address of a run store, and when its process started.
type At = (SocketAddr, Option<Millis>);

/// Delay after this machine failed to create a connection.
const NO_SOCKET_PAUSE: Duration = Duration::from_millis(50);

/// Returns the reason for the log when a connection could not be made.
fn connect_failed(error: &io::Error) -> Reason {
    match (error.kind(), SocketErrorKind::of(error)) {
        (io::ErrorKind::TimedOut, _) => Reason::ConnectTimeout,
        (_, SocketErrorKind::Connection) => Reason::ConnectFailed,
        (_, SocketErrorKind::ResourceLimit | SocketErrorKind::LocalHost) => Reason::NoSocket,
    }
}

/// Connections are closed after this share of the idle time after which run stores close them. Closing first avoids
/// writing to a connection that is being closed.
const IDLE_SHARE: f64 = 0.8;

impl Limits {
    /// Takes the limits from the settings, with a maximum number of connections.
    pub fn from_settings(site: &SiteSettings, connections: usize) -> Self {
        Limits {
            connect: duration_from_millis(site.caps.connect_timeout_ms()),
            keep_alive: duration_from_millis(site.caps.keepalive_ms()),
            streams: site.caps.streams_per_conn() as usize,
            bundle: site.domain.bundle_max() as usize,
            connections,
            copies: site.caps.parallel_tries,
            probes: site.caps.probes,
        }
    }

    fn idle(&self) -> Duration {
        self.keep_alive.mul_f64(IDLE_SHARE)
    }
}

/// Converts a time in milliseconds, as in the settings, to a duration.
pub fn duration_from_millis(millis: Millis) -> Duration {
    Duration::from_secs_f64(millis.clamp(0.0, 1e9) / 1000.0)
}
