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
    pub connect_timeout: Duration,
    /// Run stores close connections after this idle time.
    pub run_store_idle_timeout: Duration,
    /// Maximum number of concurrent calls on one connection, where the protocol supports several.
    pub max_calls_per_connection: usize,
    /// Maximum number of parts in one call, where the protocol supports several.
    pub max_parts_per_call: usize,
    /// Maximum number of connections in all.
    pub max_connections: usize,
    /// Whether several attempts of a part may run at once. If not, a connection closed by this side is read until the
    /// run store closes it too: only then is the run store certain to have noticed.
    pub parallel_attempts: bool,
    /// Whether run stores may be probed.
    pub probes_allowed: bool,
}

/// The address of a run store, and when its process started.
type Endpoint = (SocketAddr, Option<Millis>);

/// Delay after this machine failed to create a connection.
const NO_SOCKET_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Returns the reason for the log when a connection could not be made.
fn connect_failure_reason(error: &io::Error) -> Reason {
    match (error.kind(), SocketErrorKind::of(error)) {
        (io::ErrorKind::TimedOut, _) => Reason::ConnectTimeout,
        (_, SocketErrorKind::Connection) => Reason::ConnectFailed,
        (_, SocketErrorKind::ResourceLimit | SocketErrorKind::LocalHost) => Reason::NoSocket,
    }
}

/// Connections are closed after this share of the idle time after which run stores close them. Closing first avoids
/// writing to a connection that is being closed.
const IDLE_TIMEOUT_SHARE: f64 = 0.8;

impl Limits {
    /// Takes the limits from the settings, with a maximum number of connections.
    pub fn from_settings(site: &SiteSettings, max_connections: usize) -> Self {
        Limits {
            connect_timeout: duration_from_millis(site.caps.connect_timeout_ms()),
            run_store_idle_timeout: duration_from_millis(site.caps.keepalive_ms()),
            max_calls_per_connection: site.caps.streams_per_conn() as usize,
            max_parts_per_call: site.domain.bundle_max() as usize,
            max_connections,
            parallel_attempts: site.caps.parallel_tries,
            probes_allowed: site.caps.probes,
        }
    }

    fn idle_timeout(&self) -> Duration {
        self.run_store_idle_timeout.mul_f64(IDLE_TIMEOUT_SHARE)
    }
}

/// Converts a time in milliseconds, as in the settings, to a duration.
pub fn duration_from_millis(millis: Millis) -> Duration {
    Duration::from_secs_f64(millis.clamp(0.0, 1e9) / 1000.0)
}
