//! The one place where configuration is read, checked and given defaults.
//!
//! The file is JSON, named by `GW_CONFIG` or by the first argument. Messages name the faulty key.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::{env, fs};

use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::Value;

use crate::directory::list::List;
use crate::settings::SiteSettings;
use crate::trace::recorder::Retention;
use crate::trace::writer;

/// Descriptors kept for everything else: standard streams, the reactor, listeners, discovery, operators' calls.
const SPARE_DESCRIPTORS: usize = 64;
const LEAST_DESCRIPTORS: usize = 128;
/// However much another process holds, this one serves.
const LEAST_CONNECTIONS: usize = 8;

/// The configuration of an aggregator.
#[derive(Debug, Clone, Deserialize)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call; where it is not set, nobody can.
    #[serde(default)]
    pub operator: Option<SocketAddr>,
    /// Where discovery listens; either this or `dns_sd` is set.
    #[serde(default)]
    pub discovery: Option<SocketAddr>,
    /// The DNS server and the service that list the run stores.
    #[serde(default)]
    pub dns_sd: Option<DnsSd>,
    /// The replicated store; off where it is not set.
    #[serde(default)]
    pub store: Option<Store>,
    /// The recording of what is seen and decided; without it there can be none.
    #[serde(default)]
    pub trace: Option<Trace>,
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
    /// The settings of the site, as text; without them they come from the store.
    #[serde(default)]
    pub settings: Option<Box<RawValue>>,
    /// All that is set, to tell at a reload what is missing.
    #[serde(skip)]
    set: Value,
}

/// Keys that a later file may leave out: they are meant for a start alone, or one stands for the other.
const MAY_GO: [&str; 4] = ["seed", "known", "discovery", "dns_sd"];

/// The DNS server and the service that list the run stores.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct DnsSd {
    /// Where the DNS server listens.
    pub server: SocketAddr,
    /// The service, such as `_run-store._tcp.example`.
    pub service: String,
    /// The time between two looks, in milliseconds.
    #[serde(default = "two_seconds")]
    pub refresh_ms: f64,
}

fn two_seconds() -> f64 {
    2000.0
}

/// This peer of the replicated store.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Store {
    /// Where peers connect.
    pub listen: SocketAddr,
    /// The other peers.
    pub peers: Vec<SocketAddr>,
    /// The version of `settings` in this file; the highest that any peer knows is used.
    #[serde(default)]
    pub settings_version: u64,
}

/// The recording.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Trace {
    /// The folder of its segments.
    pub dir: PathBuf,
    /// Whether it is on from the start; operators switch it on and off.
    #[serde(default = "yes")]
    pub on: bool,
    /// The length from which another segment is begun, in MB.
    #[serde(default = "segment_mb")]
    pub segment_mb: f64,
    /// The age from which another segment is begun, in seconds.
    #[serde(default = "segment_s")]
    pub segment_s: f64,
    /// What all segments of this aggregator may take up, in MB; the oldest go.
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
    /// The same, for a recorder.
    pub fn keep(&self) -> Retention {
        let bytes = |mb: f64| (mb * 1_048_576.0) as u64;
        let limits = writer::Limits { bytes: bytes(self.segment_mb), age: self.segment_s * 1000.0 };
        Retention { dir: self.dir.clone(), limits, max_bytes: bytes(self.keep_mb) }
    }
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
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
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

/// The file that an argument or the environment names.
///
/// # Errors
/// Says so if none is named.
pub fn path(named: Option<PathBuf>) -> Result<PathBuf, String> {
    let path = named.or_else(|| env::var_os("GW_CONFIG").map(PathBuf::from));
    path.ok_or_else(|| "GW_CONFIG is not set, and no file was named".into())
}

impl Config {
    /// Reads and checks a file, at the start and again at a reload.
    ///
    /// # Errors
    /// Says which key is at fault.
    pub fn load(path: &Path) -> Result<Self, String> {
        let text = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
        let mut config =
            Config::parse(&text).map_err(|why| format!("{}: {}", path.display(), with_line(&text, why)))?;
        if let (None, Ok(address)) = (config.operator, env::var("GW_OPERATOR")) {
            let address = address.parse().map_err(|_| format!("key GW_OPERATOR: {address} is no address"))?;
            config.operator = Some(address);
        }
        Ok(config)
    }

    /// Whether a later configuration sets all that this one sets. One that does not is held to be cut short: to
    /// fall back on a default would be a change that nobody wrote.
    ///
    /// # Errors
    /// Says which key is missing.
    pub fn all_in(&self, later: &Config) -> Result<(), String> {
        match missing(&self.set, &later.set) {
            Some(key) => Err(format!("key {key}: is missing, and was set before")),
            None => Ok(()),
        }
    }

    /// The keys in which a later configuration differs and which only a restart takes up. What a reload takes up,
    /// the settings, the address of discovery and the DNS server and service, is not among them; nor are `seed`
    /// and `known`, which are meant for a start alone.
    pub fn needs_restart(&self, new: &Config) -> Vec<&'static str> {
        let peers = |config: &Config| config.store.as_ref().map(|store| (store.listen, store.peers.clone()));
        let changed = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("operator", self.operator != new.operator),
            ("dns_sd", self.dns_sd.is_some() != new.dns_sd.is_some()),
            ("store", peers(self) != peers(new)),
            ("trace", self.trace != new.trace),
            ("limits", self.limits != new.limits),
            ("api", self.api != new.api),
        ];
        changed.into_iter().filter(|(_, changed)| *changed).map(|(key, _)| key).collect()
    }

    /// Reads and checks a configuration.
    ///
    /// # Errors
    /// Says which key is at fault.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut config: Config = read(text, "")?;
        config.check()?;
        config.set = read(text, "")?;
        if let Value::Object(set) = &mut config.set {
            set.retain(|key, _| !MAY_GO.contains(&key.as_str()));
        }
        if let Some(settings) = &config.settings {
            config.settings(settings.get())?;
        }
        Ok(config)
    }

    fn check(&self) -> Result<(), String> {
        if self.limits.sockets < LEAST_DESCRIPTORS {
            return Err(format!("key limits.sockets: must be {LEAST_DESCRIPTORS} or more"));
        }
        if !self.seed.is_empty() && u64::from_str_radix(&self.seed, 16).is_err() {
            return Err("key seed: must be up to 16 hex digits".into());
        }
        match (&self.discovery, &self.dns_sd) {
            (Some(_), Some(_)) => return Err("key dns_sd: may not be set beside discovery".into()),
            (None, None) => return Err("key discovery: is missing, and so is dns_sd".into()),
            (None, Some(dns)) if !(100.0..=3_600_000.0).contains(&dns.refresh_ms) => {
                return Err("key dns_sd.refresh_ms: must be 100 to 3600000".into());
            }
            _ => {}
        }
        if let Some(trace) = &self.trace {
            for (key, value, least) in [
                ("segment_mb", trace.segment_mb, 0.1),
                ("segment_s", trace.segment_s, 1.0),
                ("keep_mb", trace.keep_mb, trace.segment_mb),
            ] {
                if !(least..=1e9).contains(&value) {
                    return Err(format!("key trace.{key}: must be {least} to 1000000000"));
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

    /// Reads and checks a settings object, of this file or of the store.
    ///
    /// # Errors
    /// Says which key is at fault.
    pub fn settings(&self, text: &str) -> Result<SiteSettings, String> {
        let site: SiteSettings = read(text, "settings.")?;
        if self.api == Api::Opensearch && site.domain.shards.is_none_or(|shards| shards == 0) {
            return Err(
                "key settings.domain.shards: the OpenSearch-style API needs their number, 1 or more".into()
            );
        }
        if site.domain.class_fetch.iter().any(|parts| *parts > 0) {
            return Err("key settings.domain.class_fetch: a second step is not spoken on sockets".into());
        }
        for (at, class) in site.request_classes.iter().enumerate() {
            for (key, sound) in [
                ("aim_ms", class.aim_ms > 0.0),
                ("deadline_ms", class.deadline_ms() > 0.0),
                ("window_ms", class.window_ms.is_none_or(|window| window >= 0.0)),
                ("value", class.value.is_none_or(|value| value >= 0.0)),
            ] {
                if !sound {
                    return Err(format!("key settings.request_classes[{at}].{key}: is out of range"));
                }
            }
        }
        let (caps, domain, rules) = (&site.caps, &site.domain, &site.rules);
        let sound = |value: Option<f64>| value.is_none_or(|value| value >= 0.0);
        // Sums of weights may be a little off.
        let share = |shares: &[f64]| shares.iter().all(|share| (0.0..=1.001).contains(share));
        for (key, sound) in [
            ("caps.connect_timeout_ms", caps.connect_timeout_ms() > 0.0),
            ("caps.keepalive_ms", caps.keepalive_ms() > 0.0),
            ("caps.max_attempts", caps.max_attempts() > 0),
            ("caps.max_open", caps.max_open() > 0),
            ("caps.streams_per_conn", caps.streams_per_conn() > 0),
            ("caps.max_retry_after_ms", caps.max_retry_after_ms >= 0.0),
            ("domain.cells", domain.cells > 0),
            ("domain.width", (1..=domain.cells.max(1)).contains(&domain.width)),
            ("domain.bundle_max", domain.bundle_max() > 0),
            ("domain.least_share", share(&domain.least_share)),
            ("domain.complete_from", share(&domain.complete_from)),
            ("rules.ask_every_ms", sound(rules.ask_every_ms)),
            ("rules.cold_from", sound(rules.cold_from)),
            ("rules.warm_within_ms", sound(rules.warm_within_ms)),
            ("rules.fall_multiple", sound(rules.fall_multiple)),
            ("rules.overload_for_ms", sound(rules.overload_for_ms)),
            ("rules.resend_span_ms", sound(rules.resend_span_ms)),
            ("balancers", site.balancers != Some(0)),
            ("tick_ms", site.tick_ms.is_none_or(|tick| tick > 0.0)),
        ] {
            if !sound {
                return Err(format!("key settings.{key}: is out of range"));
            }
        }
        site.router_settings().check().map_err(|why| format!("key settings: {why}"))?;
        Ok(site)
    }

    /// The source of chance as a number.
    pub fn seed(&self) -> u64 {
        u64::from_str_radix(&self.seed, 16).unwrap_or(0)
    }

    /// How many connections clients may hold, where another process of this aggregator holds so many descriptors.
    /// An eighth more is borne to be turned away.
    pub fn client_connections(&self, elsewhere: usize) -> usize {
        let rest = self.descriptors(elsewhere);
        let left = rest.saturating_sub(self.store_connections(elsewhere)) * 8 / 9;
        left.min(rest * 2 / 3).max(LEAST_CONNECTIONS)
    }

    /// How many connections to run stores there may be: a fifth, and up to half where there are many run stores, as
    /// each is to have one, and those that are replaced have theirs a while longer.
    pub fn store_connections(&self, elsewhere: usize) -> usize {
        let rest = self.descriptors(elsewhere);
        let wanted = self.known.endpoints.len() * 2;
        wanted.min(rest / 2).max(rest / 5).max(LEAST_CONNECTIONS)
    }

    fn descriptors(&self, elsewhere: usize) -> usize {
        self.limits.sockets.saturating_sub(SPARE_DESCRIPTORS + elsewhere)
    }
}

/// The first key that was set and is not. Lists may shrink and grow; what all entries of one had, each has to have.
fn missing(before: &Value, after: &Value) -> Option<String> {
    match (before, after) {
        (Value::Null, _) => None,
        (Value::Object(before), Value::Object(after)) => before.iter().find_map(|(key, value)| {
            let under = missing(value, after.get(key).unwrap_or(&Value::Null))?;
            Some(if under.is_empty() { key.clone() } else { format!("{key}.{under}") })
        }),
        (Value::Array(before), Value::Array(after)) => {
            let first = before.first().cloned().unwrap_or_default();
            let common = before.iter().skip(1).fold(first, in_both);
            let (at, under) =
                after.iter().enumerate().find_map(|(at, entry)| Some((at, missing(&common, entry)?)))?;
            Some(if under.is_empty() { format!("{at}") } else { format!("{at}.{under}") })
        }
        (_, Value::Null) | (Value::Object(_) | Value::Array(_), _) => Some(String::new()),
        _ => None,
    }
}

/// What both of two entries of a list have.
fn in_both(one: Value, other: &Value) -> Value {
    match (one, other) {
        (Value::Object(one), Value::Object(other)) => {
            one.into_iter().filter(|(key, _)| other.get(key).is_some_and(|value| !value.is_null())).collect()
        }
        (_, Value::Null) => Value::Null,
        (one, _) => one,
    }
}

/// A message with the line of the key that it names. Within `settings`, which is read by itself, the reader counts lines
/// from its first one.
fn with_line(text: &str, why: String) -> String {
    let named = why.strip_prefix("key ").and_then(|rest| rest.split_once(": "));
    let Some((line, (key, what))) = named.and_then(|named| Some((line_of(text, named.0)?, named))) else {
        return why;
    };
    let what = what.rsplit_once(" at line ").map_or(what, |(what, _)| what);
    format!("key {key}: {what} (line {line})")
}

/// The line on which the value of a key stands, or of the last that is there on the way to it.
fn line_of(text: &str, key: &str) -> Option<usize> {
    let mut value: &RawValue = serde_json::from_str(text).ok()?;
    for step in key.split(['.', '[']).map(|step| step.trim_end_matches(']')).filter(|step| !step.is_empty()) {
        let keys = serde_json::from_str::<BTreeMap<String, &RawValue>>(value.get());
        let entries = || serde_json::from_str::<Vec<&RawValue>>(value.get()).ok();
        let next = match keys {
            Ok(keys) => keys.get(step).copied(),
            Err(_) => entries().and_then(|entries| entries.get(step.parse::<usize>().ok()?).copied()),
        };
        let Some(next) = next else { break };
        value = next;
    }
    let before = text.get(..value.get().as_ptr() as usize - text.as_ptr() as usize)?;
    Some(before.matches('\n').count() + 1)
}

fn read<'a, T: Deserialize<'a>>(text: &'a str, under: &str) -> Result<T, String> {
    let mut json = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut json)
        .map_err(|error| format!("key {under}{}: {}", error.path(), error.inner()))
}

#[cfg(test)]
mod tests;
