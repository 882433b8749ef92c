//! The bench's wire, as plain serde types, and its translation to the
//! router's interface. Nothing here decides anything.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use weldlatch::api;

#[derive(Deserialize)]
pub struct Batch {
    pub now_ms: f64,
    #[serde(default)]
    pub seq: Option<Value>,
    pub events: Vec<WireEvent>,
}

#[derive(Serialize)]
pub struct Reply {
    pub seq: Option<Value>,
    pub cmds: Vec<Command>,
}

#[derive(Deserialize)]
#[serde(tag = "type", rename_all = "SCREAMING_SNAKE_CASE")]
pub enum WireEvent {
    Hello {
        #[serde(rename = "co-ordinator")]
        instance: u64,
        entropy: u64,
        info: Box<Info>,
    },
    Register {
        sheet: u32,
        members_list: Vec<Member>,
    },
    Registry {
        #[serde(rename = "co-ordinator")]
        instance: u64,
        #[serde(default)]
        sheet: Option<u32>,
        kind: ListKind,
    },
    Accept(Box<Accept>),
    Heard {
        #[serde(rename = "co-ordinator")]
        instance: u64,
    },
    ClosedAttempt {
        #[serde(rename = "co-ordinator")]
        instance: u64,
        request_id: String,
        delay_seen_ms: f64,
        replica: String,
        status: Status,
        attempt: u32,
        #[serde(default)]
        report: Option<Report>,
    },
    Lapsed {
        #[serde(rename = "co-ordinator")]
        instance: u64,
        request_id: String,
    },
    Checked {
        #[serde(rename = "co-ordinator")]
        instance: u64,
        replica: String,
        status: Status,
        #[serde(default)]
        report: Option<Report>,
    },
    First {
        #[serde(rename = "co-ordinator")]
        instance: u64,
    },
    TickDue {
        #[serde(rename = "co-ordinator")]
        instance: u64,
    },
    Down {
        #[serde(rename = "co-ordinator")]
        instance: u64,
    },
}

#[derive(Deserialize)]
pub struct Accept {
    #[serde(rename = "co-ordinator")]
    pub instance: u64,
    pub request_id: String,
    pub grade: String,
    #[serde(default)]
    pub user_group: Option<Value>,
    #[serde(default)]
    pub partition_key: Option<String>,
    pub valid_until_ms: f64,
    #[serde(default)]
    pub work_hint_ms: Option<f64>,
    pub job_no: u64,
    pub slab: f64,
    #[serde(default)]
    pub amount: Option<f64>,
    #[serde(default)]
    pub repeat: Option<bool>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum ListKind {
    Patch,
    Whole,
    StaleCopy,
    Broken,
}

#[derive(Deserialize, Clone)]
pub struct Member {
    pub replica: String,
    #[serde(default)]
    pub campus: Option<String>,
    #[serde(default)]
    pub place: Option<u32>,
    pub stage_state: StageState,
    #[serde(default)]
    pub heft: Option<f64>,
    #[serde(default)]
    pub boot_time_ms: Option<f64>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum StageState {
    InService,
    Terminating,
    Terminated,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    Completed,
    Errored,
    Saturated,
    Overdue,
    RefusedConn,
    Severed,
    Recalled,
    Superseded,
}

#[derive(Deserialize, Clone, Copy)]
pub struct Report {
    #[serde(default)]
    pub outstanding: Option<f64>,
    #[serde(default)]
    pub backlog: Option<f64>,
    #[serde(default)]
    pub utilization: Option<f64>,
    #[serde(default)]
    pub throughput: Option<f64>,
}

#[derive(Deserialize)]
pub struct Info {
    pub request_classes: Vec<InfoClass>,
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
    pub realms: Vec<Realm>,
    #[serde(default)]
    pub rules: Rules,
    #[serde(default)]
    pub tick_ms: Option<f64>,
    #[serde(default)]
    pub worth_by: Option<String>,
    #[serde(default)]
    pub zone: Option<String>,
}

#[derive(Deserialize)]
pub struct InfoClass {
    pub name: String,
    pub aim_ms: f64,
    pub repeat: InfoRepeat,
    #[serde(default)]
    pub window_ms: Option<f64>,
    #[serde(default)]
    pub value: Option<f64>,
    #[serde(default)]
    pub late_worth: Option<f64>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum InfoRepeat {
    ReadLike,
    IdempotencyKey,
    NonIdempotent,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Caps {
    pub keepalive_ms: Option<f64>,
    pub max_attempts: Option<u32>,
    pub max_retry_after_ms: f64,
    pub may_cancel: bool,
    pub probes: bool,
    pub retry_after: bool,
}

#[derive(Deserialize)]
pub struct Domain {
    pub cells: u32,
    pub width: u32,
    #[serde(default)]
    pub bundle_max: Option<u32>,
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

#[derive(Deserialize)]
pub struct Realm {
    pub name: String,
    #[serde(default)]
    pub quota_per_s: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Rules {
    pub cold_from: Option<f64>,
    pub fall_multiple: Option<f64>,
    pub overload_for_ms: Option<f64>,
    pub warm_within_ms: Option<f64>,
    pub further_ratio: Option<f64>,
    pub min_extra: Option<f64>,
    pub resend_span_ms: Option<f64>,
}

#[derive(Serialize)]
#[serde(tag = "type", rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Command {
    HandOff {
        #[serde(rename = "co-ordinator")]
        instance: u64,
        request_id: Arc<str>,
        replica: Arc<str>,
        try_for_ms: f64,
    },
    CallOff {
        #[serde(rename = "co-ordinator")]
        instance: u64,
        request_id: Arc<str>,
        attempt: u32,
    },
    SettleQuery {
        #[serde(rename = "co-ordinator")]
        instance: u64,
        request_id: Arc<str>,
        entire: bool,
    },
    OverloadReply {
        #[serde(rename = "co-ordinator")]
        instance: u64,
        request_id: Arc<str>,
        wait_ms: f64,
    },
    Lose {
        #[serde(rename = "co-ordinator")]
        instance: u64,
        request_id: Arc<str>,
    },
    Inspect {
        #[serde(rename = "co-ordinator")]
        instance: u64,
        replica: Arc<str>,
    },
    LetGo {
        #[serde(rename = "co-ordinator")]
        instance: u64,
        replica: Arc<str>,
    },
    StreamChanges {
        #[serde(rename = "co-ordinator")]
        instance: u64,
        entire: bool,
    },
    SetTimer {
        #[serde(rename = "co-ordinator")]
        instance: u64,
        instant_ms: f64,
        cookie: &'static str,
    },
    JournalLine {
        #[serde(rename = "co-ordinator")]
        instance: u64,
        text: String,
    },
    InternalError {
        #[serde(rename = "co-ordinator")]
        instance: u64,
        text: String,
    },
}

/// The names that settings gave to classes and tenants, by their place.
pub struct Names {
    pub classes: BTreeMap<String, usize>,
    pub tenants: BTreeMap<String, usize>,
}

impl Info {
    pub fn names(&self) -> Names {
        let class = |(at, class): (usize, &InfoClass)| (class.name.clone(), at);
        let realm = |(at, realm): (usize, &Realm)| (realm.name.clone(), at);
        Names {
            classes: self.request_classes.iter().enumerate().map(class).collect(),
            tenants: self.realms.iter().enumerate().map(realm).collect(),
        }
    }

    pub fn settings(&self) -> api::Settings {
        let rules = &self.rules;
        let classes = self.request_classes.iter().enumerate().map(|(at, class)| {
            let whole_from = self.domain.complete_from.get(at).copied().unwrap_or(1.0);
            api::Class {
                aim: class.aim_ms,
                repeat: match class.repeat {
                    InfoRepeat::ReadLike => api::Repeat::Safe,
                    InfoRepeat::IdempotencyKey => {
                        api::Repeat::Keyed { window: class.window_ms.unwrap_or(0.0) }
                    }
                    InfoRepeat::NonIdempotent => api::Repeat::Unsafe,
                },
                worth: class.value.unwrap_or(1.0),
                late_worth: class.late_worth.unwrap_or(0.0),
                least_share: self.domain.least_share.get(at).copied().unwrap_or(whole_from),
                whole_from,
                partial_earns: self.domain.partial_earns.get(at).copied().unwrap_or(1.0),
                second_step: self.domain.class_fetch.get(at).copied().unwrap_or(0),
            }
        });
        let cold = || {
            Some(api::ColdRule {
                from: rules.cold_from?,
                warm_within: rules.warm_within_ms?,
                multiple: rules.fall_multiple?,
                window: rules.overload_for_ms?,
            })
        };
        let budget = || {
            Some(api::AttemptBudget {
                free: rules.min_extra.unwrap_or(0.0),
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
            width: self.domain.width,
            call_parts: self.domain.bundle_max.unwrap_or(1),
            call_overhead: self.domain.overhead_ms,
            warm_keys: self.domain.warm_keys,
            worth_by_work: self.worth_by.as_deref() == Some("work"),
            max_attempts: self.caps.max_attempts.unwrap_or(1),
            may_cancel: self.caps.may_cancel,
            keep_alive: self.caps.keepalive_ms,
            probes: self.caps.probes,
            max_retry_after: if self.caps.retry_after { self.caps.max_retry_after_ms } else { 0.0 },
            discovery: match self.discovery.as_deref() {
                Some("subscribe") => api::Discovery::Asked,
                _ => api::Discovery::Pushed,
            },
            cold: cold(),
            budget: budget(),
            tick: self.tick_ms.unwrap_or(1.0),
            zone: self.zone.as_deref().unwrap_or("").into(),
        }
    }
}

impl Member {
    fn to_replica(&self) -> api::Replica {
        api::Replica {
            id: api::ReplicaId::from(self.replica.as_str()),
            zone: self.campus.as_deref().unwrap_or("").into(),
            cell: self.place.unwrap_or(0),
            state: match self.stage_state {
                StageState::InService => api::ReplicaState::Active,
                StageState::Terminating => api::ReplicaState::Draining,
                StageState::Terminated => api::ReplicaState::Gone,
            },
            weight: self.heft.unwrap_or(1.0),
            started: self.boot_time_ms.filter(|&at| at > 0.0),
        }
    }
}

pub fn list_news(kind: ListKind, sheet: Option<&Vec<Member>>) -> Option<api::ListNews> {
    let lines = || Some(sheet?.iter().map(Member::to_replica).collect());
    Some(match kind {
        ListKind::Patch => api::ListNews::Changes(lines()?),
        ListKind::Whole => api::ListNews::Full(lines()?),
        ListKind::StaleCopy => api::ListNews::Cached(lines()?),
        ListKind::Broken => api::ListNews::Broken,
    })
}

impl Status {
    pub fn outcome(self) -> api::Outcome {
        match self {
            Status::Completed => api::Outcome::Completed,
            Status::Errored => api::Outcome::Errored,
            Status::Saturated => api::Outcome::Rejected,
            Status::Overdue => api::Outcome::TimedOut,
            Status::RefusedConn => api::Outcome::ConnectFailed,
            Status::Severed => api::Outcome::Reset,
            Status::Recalled => api::Outcome::Cancelled,
            Status::Superseded => api::Outcome::NotSent,
        }
    }
}

impl Report {
    pub fn load(self) -> api::LoadReport {
        api::LoadReport {
            queue: self.backlog,
            in_flight: self.outstanding,
            utilization: self.utilization,
            throughput: self.throughput,
        }
    }
}

impl Accept {
    /// A query or a part, as `slab` tells; an error names what is unknown.
    pub fn event(&self, names: &Names) -> Result<api::Event, String> {
        let key = self.partition_key.as_deref().map(Arc::from);
        if self.slab >= 0.0 {
            return Ok(api::Event::Part(api::NewPart {
                id: api::PartId::from(self.request_id.as_str()),
                query: self.job_no,
                shard: api::Shard(self.slab as u32),
                weight: self.amount.unwrap_or(0.0),
                cost_hint: self.work_hint_ms,
                key,
            }));
        }
        let class = names
            .classes
            .get(&self.grade)
            .ok_or_else(|| format!("grade {:?} is not in the settings", self.grade))?;
        let tenant = match &self.user_group {
            Some(Value::String(name)) => names.tenants.get(name).copied(),
            _ => None,
        };
        Ok(api::Event::Query(api::NewQuery {
            id: api::QueryId::from(self.request_id.as_str()),
            number: self.job_no,
            class: api::ClassIndex(*class),
            tenant: tenant.map(api::TenantIndex),
            key,
            deadline: self.valid_until_ms,
            parts: self.amount.unwrap_or(0.0) as u32,
            client_retry: self.repeat.unwrap_or(false),
        }))
    }
}

pub fn command(instance: u64, action: api::Action) -> Command {
    use api::Action;
    match action {
        Action::Send { part, replica, timeout } => {
            Command::HandOff { instance, request_id: part.0, replica: replica.0, try_for_ms: timeout }
        }
        Action::Cancel { part, attempt } => {
            Command::CallOff { instance, request_id: part.0, attempt: attempt.0 }
        }
        Action::Answer { query, whole } => {
            Command::SettleQuery { instance, request_id: query.0, entire: whole }
        }
        Action::Refuse { query, retry_after } => {
            Command::OverloadReply { instance, request_id: query.0, wait_ms: retry_after }
        }
        Action::Fail { query } => Command::Lose { instance, request_id: query.0 },
        Action::Probe { replica } => Command::Inspect { instance, replica: replica.0 },
        Action::CloseIdle { replica } => Command::LetGo { instance, replica: replica.0 },
        Action::Subscribe => Command::StreamChanges { instance, entire: true },
        Action::WakeAt(at) => Command::SetTimer { instance, instant_ms: at, cookie: "wake" },
        Action::Log(text) => Command::JournalLine { instance, text },
    }
}
