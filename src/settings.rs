//! The settings object, read once for both programs.
//!
//! The simulator's first message and the real aggregator's configuration file
//! carry the same object; [`SiteSettings`] is its typed form and [`SiteSettings::router_settings`] its
//! translation for the router. Unknown keys are skipped, as sites may add some.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::api;

/// The whole object.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SiteSettings {
    pub request_classes: Vec<ClassSettings>,
    #[serde(default)]
    pub balancers: Option<u32>,
    #[serde(default)]
    pub caps: Caps,
    pub domain: Domain,
    #[serde(default)]
    pub discovery: Option<String>,
    #[serde(default)]
    pub over_share_worth: Option<f64>,
    #[serde(default)]
    pub realms: Vec<TenantSettings>,
    #[serde(default)]
    pub rules: Rules,
    #[serde(default)]
    pub tick_ms: Option<f64>,
    #[serde(default)]
    pub worth_by: Option<String>,
    #[serde(default)]
    pub zone: Option<String>,
}

/// A class of query.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ClassSettings {
    pub name: String,
    pub aim_ms: f64,
    #[serde(default)]
    deadline_ms: Option<f64>,
    pub repeat: RepeatSetting,
    #[serde(default)]
    pub window_ms: Option<f64>,
    #[serde(default)]
    pub value: Option<f64>,
    #[serde(default)]
    pub late_worth: Option<f64>,
}

impl ClassSettings {
    /// How long clients wait for an answer.
    pub fn deadline_ms(&self) -> f64 {
        self.deadline_ms.unwrap_or(10_000.0)
    }
}

/// Whether parts of a class may be repeated.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatSetting {
    ReadLike,
    IdempotencyKey,
    NonIdempotent,
}

/// What the site permits. A limit that is absent or null has the default of its method.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Caps {
    pub keepalive_ms: Option<f64>,
    connect_timeout_ms: Option<f64>,
    max_open: Option<u32>,
    streams_per_conn: Option<u32>,
    max_attempts: Option<u32>,
    pub max_retry_after_ms: f64,
    pub may_cancel: bool,
    pub parallel_tries: bool,
    pub probes: bool,
}

impl Caps {
    /// After this time idle, run stores close connections.
    pub fn keepalive_ms(&self) -> f64 {
        self.keepalive_ms.unwrap_or(30_000.0)
    }

    /// How long a connection may take to come up.
    pub fn connect_timeout_ms(&self) -> f64 {
        self.connect_timeout_ms.unwrap_or(250.0)
    }

    /// Queries and parts that may be held.
    pub fn max_open(&self) -> u32 {
        self.max_open.unwrap_or(1000)
    }

    /// Calls on one connection at once.
    pub fn streams_per_conn(&self) -> u32 {
        self.streams_per_conn.unwrap_or(100)
    }

    /// Attempts for one part.
    pub fn max_attempts(&self) -> u32 {
        self.max_attempts.unwrap_or(1)
    }
}

/// How shards lie over run stores, and what answers need.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Domain {
    pub cells: u32,
    pub width: u32,
    #[serde(default)]
    pub shards: Option<u32>,
    #[serde(default)]
    bundle_max: Option<u32>,
    #[serde(default)]
    pub overhead_ms: f64,
    #[serde(default)]
    pub class_fetch: Vec<u32>,
    #[serde(default)]
    pub complete_from: Vec<f64>,
    #[serde(default)]
    pub least_share: Vec<f64>,
    #[serde(default)]
    pub partial_earns: Vec<f64>,
    #[serde(default)]
    pub warm_keys: bool,
}

impl Domain {
    /// The most parts in one call.
    pub fn bundle_max(&self) -> u32 {
        self.bundle_max.unwrap_or(1)
    }
}

/// A tenant.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TenantSettings {
    pub name: String,
    #[serde(default)]
    pub quota_per_s: f64,
}

/// The figures of the rules.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Rules {
    pub cold_from: Option<f64>,
    pub fall_multiple: Option<f64>,
    pub overload_for_ms: Option<f64>,
    pub warm_within_ms: Option<f64>,
    pub further_ratio: Option<f64>,
    pub min_extra: Option<f64>,
    pub resend_span_ms: Option<f64>,
    pub ask_every_ms: Option<f64>,
}

/// The names that settings gave to classes and tenants, by their place.
#[derive(Debug, Clone, Default)]
pub struct Names {
    pub classes: BTreeMap<String, usize>,
    pub tenants: BTreeMap<String, usize>,
}

impl SiteSettings {
    /// The places of classes and tenants by their names.
    pub fn names(&self) -> Names {
        let class = |(at, class): (usize, &ClassSettings)| (class.name.clone(), at);
        let realm = |(at, realm): (usize, &TenantSettings)| (realm.name.clone(), at);
        Names {
            classes: self.request_classes.iter().enumerate().map(class).collect(),
            tenants: self.realms.iter().enumerate().map(realm).collect(),
        }
    }

    /// The settings in the router's terms.
    pub fn router_settings(&self) -> api::Settings {
        let rules = &self.rules;
        let classes = self.request_classes.iter().enumerate().map(|(at, class)| {
            let whole_from = self.domain.complete_from.get(at).copied().unwrap_or(1.0);
            api::Class {
                aim: class.aim_ms,
                repeat: match class.repeat {
                    RepeatSetting::ReadLike => api::RepeatPolicy::Safe,
                    RepeatSetting::IdempotencyKey => {
                        api::RepeatPolicy::Keyed { window: class.window_ms.unwrap_or(0.0) }
                    }
                    RepeatSetting::NonIdempotent => api::RepeatPolicy::Unsafe,
                },
                worth: class.value.unwrap_or(1.0),
                late_worth: class.late_worth.unwrap_or(0.0),
                least_share: self.domain.least_share.get(at).copied().unwrap_or(whole_from),
                whole_from,
                partial_worth: self.domain.partial_earns.get(at).copied().unwrap_or(1.0),
                second_step_parts: self.domain.class_fetch.get(at).copied().unwrap_or(0),
            }
        });
        let cold = || {
            Some(api::ColdStartRule {
                initial_share: rules.cold_from?,
                warm_within: rules.warm_within_ms?,
                overload_multiple: rules.fall_multiple?,
                overload_window: rules.overload_for_ms?,
            })
        };
        let budget = || {
            Some(api::AttemptBudget {
                base_attempts: rules.min_extra.unwrap_or(0.0),
                ratio: rules.further_ratio.unwrap_or(0.0),
                window: rules.resend_span_ms?,
            })
        };
        api::Settings {
            classes: classes.collect(),
            tenants: self.realms.iter().map(|realm| api::Tenant { quota_per_s: realm.quota_per_s }).collect(),
            over_share_worth: self.over_share_worth.unwrap_or(1.0),
            routers: self.balancers.unwrap_or(1),
            cells: self.domain.cells,
            cells_per_shard: self.domain.width,
            max_parts_per_call: self.domain.bundle_max(),
            call_overhead: self.domain.overhead_ms,
            warm_keys: self.domain.warm_keys,
            worth_by_work: self.worth_by.as_deref() == Some("work"),
            max_attempts: self.caps.max_attempts(),
            may_cancel: self.caps.may_cancel,
            parallel_attempts: self.caps.parallel_tries,
            keep_alive: self.caps.keepalive_ms,
            probes: self.caps.probes,
            // Advice is given even where a site's clients are not known to heed it: it harms nobody.
            max_retry_after: self.caps.max_retry_after_ms,
            discovery: match self.discovery.as_deref() {
                Some("subscribe") => api::Discovery::Asked,
                _ => api::Discovery::Pushed,
            },
            list_refresh_within: rules.ask_every_ms.filter(|within| *within > 0.0).unwrap_or(10_000.0),
            cold: cold(),
            budget: budget(),
            tick: self.tick_ms.unwrap_or(1.0),
            zone: self.zone.as_deref().unwrap_or("").into(),
        }
    }
}
