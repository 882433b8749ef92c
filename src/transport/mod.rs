//! Transports to run stores: connections, pooled, and what travels on them.

pub mod frames;
pub mod opensearch;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use crate::api::Millis;
use crate::log::Reason;
use crate::net::Fault;
use crate::settings::SiteSettings;

/// What transports keep to.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// How long a connection may take to come up.
    pub connect: Duration,
    /// After this time idle, run stores close connections.
    pub keep_alive: Duration,
    /// Calls on one connection at once, where a wire can carry several.
    pub streams: usize,
    /// Parts in one call, where a wire can carry several.
    pub bundle: usize,
    /// Connections in all.
    pub connections: usize,
    /// Whether a part may be out twice. Where not, a connection that is ended here is read on until the run store has
    /// ended it too: only then is it sure to have noticed.
    pub copies: bool,
    /// Whether run stores may be probed.
    pub probes: bool,
}

/// Where a run store listens, and since when its process runs.
type At = (SocketAddr, Option<Millis>);

/// The pause after this machine could make no connection.
const NO_SOCKET_PAUSE: Duration = Duration::from_millis(50);

/// Why a connection could not be made.
fn connect_failed(error: &io::Error) -> Reason {
    match (error.kind(), Fault::of(error)) {
        (io::ErrorKind::TimedOut, _) => Reason::ConnectTimeout,
        (_, Fault::Connection) => Reason::ConnectFailed,
        (_, Fault::Room | Fault::Machine) => Reason::NoSocket,
    }
}

/// The share of the idle time after which run stores close that a connection is kept here: to close first is
/// to never write to one that is being closed.
const IDLE_SHARE: f64 = 0.8;

impl Limits {
    /// What settings say of connections, of which there may be so many.
    pub fn of(site: &SiteSettings, connections: usize) -> Self {
        Limits {
            connect: span(site.caps.connect_timeout_ms()),
            keep_alive: span(site.caps.keepalive_ms()),
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

/// A span of the settings as a duration.
pub fn span(millis: Millis) -> Duration {
    Duration::from_secs_f64(millis.clamp(0.0, 1e9) / 1000.0)
}
