//! The one place where configuration is read, checked and given defaults.
//!
//! The file is JSON, named by `GW_CONFIG` or by the first argument. Messages name the faulty key.

use std::net::SocketAddr;
use std::path::Path;
use std::{env, fs};

use serde::Deserialize;

use crate::directory::list::List;
use crate::settings::Info;

/// Descriptors kept for everything but connections: standard streams, the reactor, the listener, discovery.
const SPARE_DESCRIPTORS: usize = 64;
const LEAST_DESCRIPTORS: usize = 128;

/// The configuration of an aggregator.
#[derive(Debug, Clone, Deserialize)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// The source of chance, in hex digits.
    #[serde(default)]
    pub seed: String,
    /// What the process may use.
    #[serde(default)]
    pub limits: Limits,
    /// The list of run stores as it was last known.
    #[serde(default)]
    pub known: List,
    /// What clients and run stores speak.
    #[serde(default)]
    pub api: Api,
    /// The settings of the site.
    pub settings: Info,
}

/// What clients and run stores speak.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Api {
    /// The platform's protocol, and frames.
    #[default]
    Platform,
    /// The OpenSearch-style API.
    Opensearch,
}

/// What the process may use.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Descriptors.
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024 }
    }
}

impl Config {
    /// Reads the configuration that the environment or the first argument names.
    ///
    /// # Errors
    /// Says which key is at fault.
    pub fn load() -> Result<Self, String> {
        let path = env::args_os().nth(1).or_else(|| env::var_os("GW_CONFIG"));
        let path = path.ok_or("GW_CONFIG is not set, and no file was named")?;
        let path = Path::new(&path);
        let text = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
        Config::parse(&text).map_err(|why| format!("{}: {why}", path.display()))
    }

    /// Reads and checks a configuration.
    ///
    /// # Errors
    /// Says which key is at fault.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut json = serde_json::Deserializer::from_str(text);
        let config: Config = serde_path_to_error::deserialize(&mut json)
            .map_err(|error| format!("key {}: {}", error.path(), error.inner()))?;
        config.check()?;
        Ok(config)
    }

    fn check(&self) -> Result<(), String> {
        if self.limits.sockets < LEAST_DESCRIPTORS {
            return Err(format!("key limits.sockets: must be {LEAST_DESCRIPTORS} or more"));
        }
        if !self.seed.is_empty() && u64::from_str_radix(&self.seed, 16).is_err() {
            return Err("key seed: must be up to 16 hex digits".into());
        }
        if self.api == Api::Opensearch && self.settings.domain.shards.is_none_or(|shards| shards == 0) {
            return Err(
                "key settings.domain.shards: the OpenSearch-style API needs their number, 1 or more".into()
            );
        }
        if self.settings.domain.class_fetch.iter().any(|parts| *parts > 0) {
            return Err("key settings.domain.class_fetch: a second step is not spoken on sockets".into());
        }
        for class in &self.settings.request_classes {
            if class.deadline_ms.is_some_and(|limit| !limit.is_finite() || limit <= 0.0) {
                return Err(format!(
                    "key settings.request_classes: deadline_ms of {} must be above 0",
                    class.name
                ));
            }
        }
        self.settings.settings().check().map_err(|why| format!("key settings: {why}"))
    }

    /// The source of chance as a number.
    pub fn seed(&self) -> u64 {
        u64::from_str_radix(&self.seed, 16).unwrap_or(0)
    }

    /// How many connections clients may hold.
    pub fn client_connections(&self) -> usize {
        (self.limits.sockets - SPARE_DESCRIPTORS) * 2 / 3
    }

    /// How many connections to run stores there may be.
    pub fn store_connections(&self) -> usize {
        (self.limits.sockets - SPARE_DESCRIPTORS) / 5
    }

    /// The longest time that any query may take, in milliseconds.
    pub fn longest_deadline(&self) -> f64 {
        self.settings.request_classes.iter().filter_map(|class| class.deadline_ms).fold(0.0, f64::max)
    }
}
