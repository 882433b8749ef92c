//! The settings object, which the aggregator and the simulator host share.
//!
//! The simulator's first message and the aggregator's configuration file carry the same object.
//! [`SiteSettings`] is its typed form and [`SiteSettings::router_settings`] its translation for the router.
//! Unknown keys are ignored, as sites may add some.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::api;

/// The settings object.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SiteSettings {
    /// The classes of query.
    pub request_classes: Vec<ClassSettings>,
    /// The number of aggregators in front of the same run stores; 1 by default.
    #[serde(default)]
    pub balancers: Option<u32>,
    /// The limits and permissions of the site.
    #[serde(default)]
    pub caps: Caps,
    /// The layout of shards and the requirements on answers.
    pub domain: Domain,
    /// How lists arrive: `subscribe` if the aggregator has to ask for them, otherwise pushed.
    #[serde(default)]
    pub discovery: Option<String>,
    /// The worth of a query beyond its tenant's share, as a fraction of its normal worth.
    #[serde(default)]
    pub over_share_worth: Option<f64>,
    /// The tenants.
    #[serde(default)]
    pub realms: Vec<TenantSettings>,
    /// The numbers in the rules of the site.
    #[serde(default)]
    pub rules: Rules,
    /// The minimum time between two steps in milliseconds; 1 by default.
    #[serde(default)]
    pub tick_ms: Option<f64>,
    /// `work` if worth counts by work instead of by query.
    #[serde(default)]
    pub worth_by: Option<String>,
    /// The zone of this aggregator.
    #[serde(default)]
    pub zone: Option<String>,
}

/// A class of query.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ClassSettings {
    /// The name of the class.
    pub name: String,
    /// The latency target in milliseconds.
    pub aim_ms: f64,
    /// How long clients wait, in milliseconds.
    #[serde(default)]
    deadline_ms: Option<f64>,
    /// Whether parts may be sent again.
    pub repeat: RepeatSetting,
    /// How long run stores recognize idempotency keys, in milliseconds.
    #[serde(default)]
    pub window_ms: Option<f64>,
    /// The worth of a whole answer in time; 1 by default.
    #[serde(default)]
    pub value: Option<f64>,
    /// The share of the worth that an answer after the latency target still earns; 0 by default.
    #[serde(default)]
    pub late_worth: Option<f64>,
}

impl ClassSettings {
    /// Returns how long clients wait for an answer.
    pub fn deadline_ms(&self) -> f64 {
        self.deadline_ms.unwrap_or(10_000.0)
    }
}

/// Whether parts of a class may be sent again after an attempt that may have run.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatSetting {
    /// They may be repeated at any time.
    ReadLike,
    /// They may be repeated within `window_ms`, as run stores drop repeats by the query's idempotency key.
    IdempotencyKey,
    /// They may not be repeated.
    NonIdempotent,
}

/// Holds the limits and permissions of the site. A limit that is absent or null takes the default of its accessor
/// method.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Caps {
    /// The idle time after which run stores close connections, in milliseconds.
    pub keepalive_ms: Option<f64>,
    /// The timeout for opening a connection, in milliseconds.
    connect_timeout_ms: Option<f64>,
    /// The limit on open queries and parts.
    max_open: Option<u32>,
    /// The maximum number of concurrent calls on one connection.
    streams_per_conn: Option<u32>,
    /// The maximum number of attempts for one part.
    max_attempts: Option<u32>,
    /// The longest retry advice that clients follow, in milliseconds; 0 for none.
    pub max_retry_after_ms: f64,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether a part may have two outstanding attempts.
    pub parallel_tries: bool,
    /// Whether run stores may be probed.
    pub probes: bool,
}

impl Caps {
    /// Returns the idle time after which run stores close connections.
    pub fn keepalive_ms(&self) -> f64 {
        self.keepalive_ms.unwrap_or(30_000.0)
    }

    /// Returns the timeout for opening a connection.
    pub fn connect_timeout_ms(&self) -> f64 {
        self.connect_timeout_ms.unwrap_or(250.0)
    }

    /// Returns the limit on open queries and parts.
    pub fn max_open(&self) -> u32 {
        self.max_open.unwrap_or(1000)
    }

    /// Returns the maximum number of concurrent calls on one connection.
    pub fn streams_per_conn(&self) -> u32 {
        self.streams_per_conn.unwrap_or(100)
    }

    /// Returns the maximum number of attempts for one part.
    pub fn max_attempts(&self) -> u32 {
        self.max_attempts.unwrap_or(1)
    }
}

/// How shards are laid out over run stores, and what an answer has to contain. Lists have one entry per
/// class, in the order of the classes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Domain {
    /// The number of cells that shards are laid out over.
    pub cells: u32,
    /// The number of consecutive cells that hold a shard.
    pub width: u32,
    /// The number of shards, if known.
    #[serde(default)]
    pub shards: Option<u32>,
    /// The maximum number of parts in one call.
    #[serde(default)]
    bundle_max: Option<u32>,
    /// The work of a call besides that of its parts, in milliseconds.
    #[serde(default)]
    pub overhead_ms: f64,
    /// The number of parts of the second step of each class; 0 for classes of one step.
    #[serde(default)]
    pub class_fetch: Vec<u32>,
    /// The share of the weight that makes an answer whole, for each class; 1 by default.
    #[serde(default)]
    pub complete_from: Vec<f64>,
    /// The smallest share of the weight that an answer may have, for each class; `complete_from` by default.
    #[serde(default)]
    pub least_share: Vec<f64>,
    /// The factor on the worth of a partial answer, for each class; 1 by default.
    #[serde(default)]
    pub partial_earns: Vec<f64>,
    /// Whether run stores serve recently used keys with less work.
    #[serde(default)]
    pub warm_keys: bool,
}

impl Domain {
    /// Returns the maximum number of parts in one call.
    pub fn bundle_max(&self) -> u32 {
        self.bundle_max.unwrap_or(1)
    }
}

/// A tenant (a realm in the settings object).
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TenantSettings {
    /// The name of the tenant.
    pub name: String,
    /// Queries per second within the tenant's share, over all aggregators.
    #[serde(default)]
    pub quota_per_s: f64,
}

/// The numbers in the rules of the site.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Rules {
    /// The share of its capacity that a cold run store has at its start.
    pub cold_from: Option<f64>,
    /// The multiple of its present capacity above which a cold run store fails.
    pub fall_multiple: Option<f64>,
    /// How long it takes that load before it fails, in milliseconds.
    pub overload_for_ms: Option<f64>,
    /// The time after which a run store has its full capacity, in milliseconds.
    pub warm_within_ms: Option<f64>,
    /// Attempts beyond the first of each part that are allowed per query or part accepted in the window.
    pub further_ratio: Option<f64>,
    /// Attempts beyond the first of each part that are always allowed in a window.
    pub min_extra: Option<f64>,
    /// The length of that window in milliseconds; without it there is no attempt budget.
    pub resend_span_ms: Option<f64>,
    /// The longest time between two requests for the list, in milliseconds; 10 000 by default.
    pub ask_every_ms: Option<f64>,
}

/// The names of classes and tenants in the settings, with their indexes.
#[derive(Debug, Clone, Default)]
pub struct Names {
    /// The indexes of the classes.
    pub classes: BTreeMap<String, usize>,
    /// The indexes of the tenants.
    pub tenants: BTreeMap<String, usize>,
}

impl SiteSettings {
    /// Returns the indexes of classes and tenants by name.
    pub fn names(&self) -> Names {
        let class = |(at, class): (usize, &ClassSettings)| (class.name.clone(), at);
        let realm = |(at, realm): (usize, &TenantSettings)| (realm.name.clone(), at);
        Names {
            classes: self.request_classes.iter().enumerate().map(class).collect(),
            tenants: self.realms.iter().enumerate().map(realm).collect(),
        }
    }

    /// Translates the settings for the router.
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
            // Retry advice is given even where clients are not known to follow it, as it does no harm.
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
