//! Reads and validates the configuration and applies its defaults.
//!
//! The configuration is a JSON file, named by the first argument or by `GW_CONFIG`. Error messages name the faulty key.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::{env, fs};

use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::Value;

use crate::directory::list::List;
use crate::memory::MIN_MEMORY_MB;
use crate::settings::SiteSettings;
use crate::trace::recorder::Retention;
use crate::trace::writer;

/// Descriptors reserved for everything but clients and run stores: standard streams, the reactor, listeners, discovery
/// and operators' calls.
const RESERVED_DESCRIPTORS: usize = 64;
/// The minimum of `limits.sockets`.
const MIN_DESCRIPTORS: usize = 128;
/// The minimum number of connections to clients and to run stores, however many descriptors another process of this
/// aggregator uses.
const MIN_CONNECTIONS: usize = 8;

/// The configuration of an aggregator.
#[derive(Debug, Clone, Deserialize)]
pub struct Config {
    /// The aggregator's name.
    pub name: String,
    /// The address on which clients connect.
    pub listen: SocketAddr,
    /// The address of the operators' HTTP interface; off if it is not set.
    #[serde(default)]
    pub operator: Option<SocketAddr>,
    /// The address of the discovery service; either this or `dns_sd` is set.
    #[serde(default)]
    pub discovery: Option<SocketAddr>,
    /// The DNS server and the service that list the run stores.
    #[serde(default)]
    pub dns_sd: Option<DnsSd>,
    /// The replicated store; off if it is not set.
    #[serde(default)]
    pub store: Option<Store>,
    /// The trace recording; without this key operators cannot switch it on.
    #[serde(default)]
    pub trace: Option<Trace>,
    /// The seed of the random number generator, in hex digits.
    #[serde(default)]
    pub seed: String,
    /// Resource limits of the process.
    #[serde(default)]
    pub limits: Limits,
    /// The last known list of run stores.
    #[serde(default)]
    pub known: List,
    /// The API that clients and run stores use.
    #[serde(default)]
    pub api: Api,
    /// The settings of the site, as JSON text; if missing, they come from the store.
    #[serde(default)]
    pub settings: Option<Box<RawValue>>,
    /// The keys that the file sets, with which a reload detects keys that are missing.
    #[serde(skip)]
    set: Value,
}

/// Keys that the file may omit at a reload: `seed` and `known` apply only at the start, and `discovery` and `dns_sd`
/// can replace each other.
const OPTIONAL_ON_RELOAD: [&str; 4] = ["seed", "known", "discovery", "dns_sd"];

/// The DNS server and the service that list the run stores.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct DnsSd {
    /// The address of the DNS server.
    pub server: SocketAddr,
    /// The service name, such as `_run-store._tcp.example`.
    pub service: String,
    /// The polling interval, in milliseconds.
    #[serde(default = "two_seconds")]
    pub refresh_ms: f64,
}

fn two_seconds() -> f64 {
    2000.0
}

/// The configuration of this peer of the replicated store.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Store {
    /// The address on which peers connect.
    pub listen: SocketAddr,
    /// The addresses of the other peers.
    pub peers: Vec<SocketAddr>,
    /// The version of `settings` in this file; the settings with the highest version of all peers are used.
    #[serde(default)]
    pub settings_version: u64,
}

/// The configuration of the trace recording.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Trace {
    /// The directory for its segments.
    pub dir: PathBuf,
    /// Whether it is on at the start; operators can switch it on and off.
    #[serde(default = "yes")]
    pub on: bool,
    /// The size at which a new segment is begun, in MB (2^20 bytes).
    #[serde(default = "segment_mb")]
    pub segment_mb: f64,
    /// The age at which a new segment is begun, in seconds.
    #[serde(default = "segment_s")]
    pub segment_s: f64,
    /// The maximum total size of this aggregator's segments, in MB; the oldest are deleted first.
    #[serde(default = "keep_mb")]
    pub keep_mb: f64,
}

fn yes() -> bool {
    true
}

fn segment_mb() -> f64 {
    64.0
}

fn segment_s() -> f64 {
    600.0
}

fn keep_mb() -> f64 {
    1024.0
}

impl Trace {
    /// Converts the configuration to the recorder's type.
    pub fn keep(&self) -> Retention {
        let bytes = |mb: f64| (mb * 1_048_576.0) as u64;
        let limits = writer::Limits { bytes: bytes(self.segment_mb), age: self.segment_s * 1000.0 };
        Retention { dir: self.dir.clone(), limits, max_bytes: bytes(self.keep_mb) }
    }
}

/// The API that clients and run stores use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Api {
    /// The platform's protocol, with frames between aggregator and run stores.
    #[default]
    Platform,
    /// The OpenSearch-style API, for clients and run stores.
    Opensearch,
}

/// Resource limits of the process.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// The maximum number of file descriptors.
    pub sockets: usize,
    /// The maximum memory, in MB (2^20 bytes).
    pub memory_mb: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024, memory_mb: 192.0 }
    }
}

/// Returns the path of the configuration file from the argument or from `GW_CONFIG`.
///
/// # Errors
/// Returns an error if neither is given.
pub fn path(named: Option<PathBuf>) -> Result<PathBuf, String> {
    let path = named.or_else(|| env::var_os("GW_CONFIG").map(PathBuf::from));
    path.ok_or_else(|| "no configuration file: GW_CONFIG is not set and no argument is given".into())
}

impl Config {
    /// Reads and validates a configuration file, at the start and at each reload.
    ///
    /// # Errors
    /// Returns a message that names the faulty key and its line.
    pub fn load(path: &Path) -> Result<Self, String> {
        let text = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
        let mut config =
            Config::parse(&text).map_err(|why| format!("{}: {}", path.display(), add_line(&text, why)))?;
        if let (None, Ok(address)) = (config.operator, env::var("GW_OPERATOR")) {
            let address =
                address.parse().map_err(|_| format!("key GW_OPERATOR: {address} is not a socket address"))?;
            config.operator = Some(address);
        }
        Ok(config)
    }

    /// Checks that a later configuration sets every key that this one sets. If a key is missing, the file is assumed to
    /// be truncated: falling back to the default would be a change that nobody made on purpose.
    ///
    /// # Errors
    /// Returns a message that names the missing key.
    pub fn check_no_key_removed(&self, later: &Config) -> Result<(), String> {
        match first_missing_key(&self.set, &later.set) {
            Some(key) => Err(format!("key {key}: is missing, and was set before")),
            None => Ok(()),
        }
    }

    /// Returns the changed keys of a later configuration that only a restart applies. A reload applies `settings`, the
    /// address of discovery, and the server, service and refresh time of `dns_sd`. `seed` and `known` are not reported
    /// either, as they apply only at the start.
    pub fn needs_restart(&self, new: &Config) -> Vec<&'static str> {
        let store_addresses =
            |config: &Config| config.store.as_ref().map(|store| (store.listen, store.peers.clone()));
        let changed = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("operator", self.operator != new.operator),
            ("dns_sd", self.dns_sd.is_some() != new.dns_sd.is_some()),
            ("store", store_addresses(self) != store_addresses(new)),
            ("trace", self.trace != new.trace),
            ("limits", self.limits != new.limits),
            ("api", self.api != new.api),
        ];
        changed.into_iter().filter(|(_, changed)| *changed).map(|(key, _)| key).collect()
    }

    /// Parses and validates a configuration.
    ///
    /// # Errors
    /// Returns a message that names the faulty key.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut config: Config = parse_json(text, "")?;
        config.check()?;
        config.set = parse_json(text, "")?;
        if let Value::Object(set) = &mut config.set {
            set.retain(|key, _| !OPTIONAL_ON_RELOAD.contains(&key.as_str()));
        }
        if let Some(settings) = &config.settings {
            config.parse_settings(settings.get())?;
        }
        Ok(config)
    }

    /// Validates all keys but `settings`.
    fn check(&self) -> Result<(), String> {
        if self.limits.sockets < MIN_DESCRIPTORS {
            return Err(format!("key limits.sockets: must be {MIN_DESCRIPTORS} or more"));
        }
        if self.limits.memory_mb < MIN_MEMORY_MB {
            return Err(format!("key limits.memory_mb: must be {MIN_MEMORY_MB} or more"));
        }
        if !self.seed.is_empty() && u64::from_str_radix(&self.seed, 16).is_err() {
            return Err("key seed: must be up to 16 hex digits".into());
        }
        match (&self.discovery, &self.dns_sd) {
            (Some(_), Some(_)) => return Err("key dns_sd: must not be set together with discovery".into()),
            (None, None) => return Err("key discovery: is missing, and so is dns_sd".into()),
            (None, Some(dns)) if !(100.0..=3_600_000.0).contains(&dns.refresh_ms) => {
                return Err("key dns_sd.refresh_ms: must be 100 to 3600000".into());
            }
            _ => {}
        }
        if let Some(trace) = &self.trace {
            for (key, value, min) in [
                ("segment_mb", trace.segment_mb, 0.1),
                ("segment_s", trace.segment_s, 1.0),
                ("keep_mb", trace.keep_mb, trace.segment_mb),
            ] {
                if !(min..=1e9).contains(&value) {
                    return Err(format!("key trace.{key}: must be {min} to 1000000000"));
                }
            }
        }
        match &self.store {
            Some(store) if !store.listen.ip().is_loopback() => {
                Err("key store.listen: peers are not authenticated; it must be a loopback address".into())
            }
            Some(store) if store.peers.iter().any(|peer| !peer.ip().is_loopback()) => {
                Err("key store.peers: peers are not authenticated; all must be loopback addresses".into())
            }
            None if self.settings.is_none() => Err("key settings: is missing, and so is store".into()),
            _ => Ok(()),
        }
    }

    /// Parses and validates a settings object from this file or from the store.
    ///
    /// # Errors
    /// Returns a message that names the faulty key.
    pub fn parse_settings(&self, text: &str) -> Result<SiteSettings, String> {
        let site: SiteSettings = parse_json(text, "settings.")?;
        if self.api == Api::Opensearch && site.domain.shards.is_none_or(|shards| shards == 0) {
            return Err(
                "key settings.domain.shards: the OpenSearch-style API needs the number of shards, 1 or more"
                    .into(),
            );
        }
        if site.domain.class_fetch.iter().any(|parts| *parts > 0) {
            return Err("key settings.domain.class_fetch: a second step is not supported over sockets".into());
        }
        for (at, class) in site.request_classes.iter().enumerate() {
            for (key, valid) in [
                ("aim_ms", class.aim_ms > 0.0),
                ("deadline_ms", class.deadline_ms() > 0.0),
                ("window_ms", class.window_ms.is_none_or(|window| window >= 0.0)),
                ("value", class.value.is_none_or(|value| value >= 0.0)),
            ] {
                if !valid {
                    return Err(format!("key settings.request_classes[{at}].{key}: is out of range"));
                }
            }
        }
        let (caps, domain, rules) = (&site.caps, &site.domain, &site.rules);
        let is_not_negative = |value: Option<f64>| value.is_none_or(|value| value >= 0.0);
        // Sums of weights may exceed 1 by a rounding error.
        let are_shares = |shares: &[f64]| shares.iter().all(|share| (0.0..=1.001).contains(share));
        for (key, valid) in [
            ("caps.connect_timeout_ms", caps.connect_timeout_ms() > 0.0),
            ("caps.keepalive_ms", caps.keepalive_ms() > 0.0),
            ("caps.max_attempts", caps.max_attempts() > 0),
            ("caps.max_open", caps.max_open() > 0),
            ("caps.streams_per_conn", caps.streams_per_conn() > 0),
            ("caps.max_retry_after_ms", caps.max_retry_after_ms >= 0.0),
            ("domain.cells", domain.cells > 0),
            ("domain.width", (1..=domain.cells.max(1)).contains(&domain.width)),
            ("domain.bundle_max", domain.bundle_max() > 0),
            ("domain.least_share", are_shares(&domain.least_share)),
            ("domain.complete_from", are_shares(&domain.complete_from)),
            ("rules.ask_every_ms", is_not_negative(rules.ask_every_ms)),
            ("rules.cold_from", is_not_negative(rules.cold_from)),
            ("rules.warm_within_ms", is_not_negative(rules.warm_within_ms)),
            ("rules.fall_multiple", is_not_negative(rules.fall_multiple)),
            ("rules.overload_for_ms", is_not_negative(rules.overload_for_ms)),
            ("rules.resend_span_ms", is_not_negative(rules.resend_span_ms)),
            ("balancers", site.balancers != Some(0)),
            ("tick_ms", site.tick_ms.is_none_or(|tick| tick > 0.0)),
        ] {
            if !valid {
                return Err(format!("key settings.{key}: is out of range"));
            }
        }
        site.router_settings().check().map_err(|why| format!("key settings: {why}"))?;
        Ok(site)
    }

    /// Returns the seed as a number.
    pub fn seed(&self) -> u64 {
        u64::from_str_radix(&self.seed, 16).unwrap_or(0)
    }

    /// Returns the maximum number of client connections when another process of this aggregator uses `elsewhere`
    /// descriptors. The server accepts an eighth more in order to refuse them, which is why only 8/9 of the remaining
    /// descriptors are available.
    pub fn client_connections(&self, elsewhere: usize) -> usize {
        let available = self.descriptors(elsewhere);
        let for_clients = available.saturating_sub(self.run_store_connections(elsewhere)) * 8 / 9;
        for_clients.min(available * 2 / 3).max(MIN_CONNECTIONS)
    }

    /// Returns the maximum number of connections to run stores: a fifth of the descriptors, and up to half if many run
    /// stores are known. Two are planned for each run store: one in use, and one that is being replaced.
    pub fn run_store_connections(&self, elsewhere: usize) -> usize {
        let available = self.descriptors(elsewhere);
        let wanted = self.known.endpoints.len() * 2;
        wanted.min(available / 2).max(available / 5).max(MIN_CONNECTIONS)
    }

    /// Returns the descriptors available for clients and run stores.
    fn descriptors(&self, elsewhere: usize) -> usize {
        self.limits.sockets.saturating_sub(RESERVED_DESCRIPTORS + elsewhere)
    }
}

/// Returns the first key that is set in `before` and not in `after`. The length of lists may change, but each entry of
/// a list must set all keys that every entry of the list before set.
fn first_missing_key(before: &Value, after: &Value) -> Option<String> {
    match (before, after) {
        (Value::Null, _) => None,
        (Value::Object(before), Value::Object(after)) => before.iter().find_map(|(key, value)| {
            let rest = first_missing_key(value, after.get(key).unwrap_or(&Value::Null))?;
            Some(if rest.is_empty() { key.clone() } else { format!("{key}.{rest}") })
        }),
        (Value::Array(before), Value::Array(after)) => {
            let first = before.first().cloned().unwrap_or_default();
            let common = before.iter().skip(1).fold(first, common_keys);
            let (at, rest) = after
                .iter()
                .enumerate()
                .find_map(|(at, entry)| Some((at, first_missing_key(&common, entry)?)))?;
            Some(if rest.is_empty() { format!("{at}") } else { format!("{at}.{rest}") })
        }
        (_, Value::Null) | (Value::Object(_) | Value::Array(_), _) => Some(String::new()),
        _ => None,
    }
}

/// Returns the first of two entries of a list, reduced to the keys that both set.
fn common_keys(one: Value, other: &Value) -> Value {
    match (one, other) {
        (Value::Object(one), Value::Object(other)) => {
            one.into_iter().filter(|(key, _)| other.get(key).is_some_and(|value| !value.is_null())).collect()
        }
        (_, Value::Null) => Value::Null,
        (one, _) => one,
    }
}

/// Adds to a message the line of the key that it names. The parser's own line number is removed: `settings` is parsed
/// by itself, so lines there are counted from its first one.
fn add_line(text: &str, why: String) -> String {
    let named = why.strip_prefix("key ").and_then(|rest| rest.split_once(": "));
    let Some((line, (key, what))) = named.and_then(|named| Some((line_of(text, named.0)?, named))) else {
        return why;
    };
    let what = what.rsplit_once(" at line ").map_or(what, |(what, _)| what);
    format!("key {key}: {what} (line {line})")
}

/// Returns the line on which the value of a key begins; if the key does not exist, the line of its closest ancestor.
fn line_of(text: &str, key: &str) -> Option<usize> {
    let mut value: &RawValue = serde_json::from_str(text).ok()?;
    for segment in key
        .split(['.', '['])
        .map(|segment| segment.trim_end_matches(']'))
        .filter(|segment| !segment.is_empty())
    {
        let keys = serde_json::from_str::<BTreeMap<String, &RawValue>>(value.get());
        let entries = || serde_json::from_str::<Vec<&RawValue>>(value.get()).ok();
        let next = match keys {
            Ok(keys) => keys.get(segment).copied(),
            Err(_) => entries().and_then(|entries| entries.get(segment.parse::<usize>().ok()?).copied()),
        };
        let Some(next) = next else { break };
        value = next;
    }
    let before = text.get(..value.get().as_ptr() as usize - text.as_ptr() as usize)?;
    Some(before.matches('\n').count() + 1)
}

/// Parses JSON. Errors name the key, prefixed with `prefix`.
fn parse_json<'a, T: Deserialize<'a>>(text: &'a str, prefix: &str) -> Result<T, String> {
    let mut json = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut json)
        .map_err(|error| format!("key {prefix}{}: {}", error.path(), error.inner()))
}

#[cfg(test)]
mod tests;
