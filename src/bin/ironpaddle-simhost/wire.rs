//! The simulator's line protocol as serde types, and its translation to the router's interface.

use std::sync::Arc;

use ironpaddle::api;
use ironpaddle::settings::{Names, SiteSettings};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One line of input: the events that occur at one time.
#[derive(Deserialize)]
pub struct Batch {
    pub now_ms: f64,
    #[serde(default)]
    pub seq: Option<Value>,
    pub events: Vec<WireEvent>,
}

/// One line of output: the commands of one batch.
#[derive(Serialize)]
pub struct Reply {
    pub seq: Option<Value>,
    pub cmds: Vec<Command>,
}

/// An event of the simulator.
#[derive(Deserialize)]
#[serde(tag = "type", rename_all = "SCREAMING_SNAKE_CASE")]
pub enum WireEvent {
    /// Creates an instance.
    Hello {
        #[serde(rename = "co-ordinator")]
        instance: u64,
        entropy: u64,
        #[serde(rename = "info")]
        site: Box<SiteSettings>,
    },
    /// Registers a list of run stores under the number `sheet`.
    Register { sheet: u32, members_list: Vec<Member> },
    /// An update of an instance's list of run stores, with the lines of the registered list `sheet`.
    Registry {
        #[serde(rename = "co-ordinator")]
        instance: u64,
        #[serde(default)]
        sheet: Option<u32>,
        kind: ListKind,
    },
    /// A new query, or one part of a query.
    Accept(Box<Accept>),
    /// Carries nothing for the module; the instance takes a step.
    Heard {
        #[serde(rename = "co-ordinator")]
        instance: u64,
    },
    /// The end of an attempt.
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
    /// The client of a query is gone.
    Lapsed {
        #[serde(rename = "co-ordinator")]
        instance: u64,
        request_id: String,
    },
    /// The end of a probe.
    Checked {
        #[serde(rename = "co-ordinator")]
        instance: u64,
        replica: String,
        status: Status,
        #[serde(default)]
        report: Option<Report>,
    },
    /// Carries nothing for the module; the instance takes a step.
    First {
        #[serde(rename = "co-ordinator")]
        instance: u64,
    },
    /// Wakes an instance.
    TickDue {
        #[serde(rename = "co-ordinator")]
        instance: u64,
    },
    /// Removes an instance.
    Down {
        #[serde(rename = "co-ordinator")]
        instance: u64,
    },
}

/// An accepted query, or one part of a query.
#[derive(Deserialize)]
pub struct Accept {
    #[serde(rename = "co-ordinator")]
    pub instance: u64,
    /// The identifier of the query or the part.
    pub request_id: String,
    /// The name of a query's class; ignored for a part.
    pub grade: String,
    /// The name of a query's tenant; ignored for a part, or if it is no text or not in the settings.
    #[serde(default)]
    pub user_group: Option<Value>,
    /// The key of the data that the query or the part concerns.
    #[serde(default)]
    pub partition_key: Option<String>,
    /// The deadline of a query; ignored for a part.
    pub valid_until_ms: f64,
    /// The expected work of a part; ignored for a query.
    #[serde(default)]
    pub work_hint_ms: Option<f64>,
    /// The number of the query, also on its parts.
    pub job_no: u64,
    /// The shard of a part; negative for a query.
    pub slab: f64,
    /// The number of parts of a query, or the weight of a part.
    #[serde(default)]
    pub amount: Option<f64>,
    /// Whether the client marked a query as a retry; ignored for a part.
    #[serde(default)]
    pub repeat: Option<bool>,
}

/// The kind of a list: changed lines, a full list, a cached list, or none because discovery failed.
#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum ListKind {
    Patch,
    Whole,
    StaleCopy,
    Broken,
}

/// One run store in a list.
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

/// The state of a run store in a list.
#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum StageState {
    InService,
    Terminating,
    Terminated,
}

/// The outcome of an attempt or a probe.
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

/// The load report of a run store.
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

/// A command to the simulator.
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

/// Translates a list; returns `None` if the kind needs a sheet and `members` is `None`.
pub fn list_update(kind: ListKind, members: Option<&Vec<Member>>) -> Option<api::ListUpdate> {
    let lines = || Some(members?.iter().map(Member::to_replica).collect());
    Some(match kind {
        ListKind::Patch => api::ListUpdate::Changes(lines()?),
        ListKind::Whole => api::ListUpdate::Full(lines()?),
        ListKind::StaleCopy => api::ListUpdate::Cached(lines()?),
        ListKind::Broken => api::ListUpdate::Failed,
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
    /// Translates to a query if `slab` is negative, and otherwise to a part of shard `slab`. Fails if the class is not
    /// in the settings.
    pub fn event(&self, names: &Names, now: api::Millis) -> Result<api::Event, String> {
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
            arrived: now,
            deadline: self.valid_until_ms,
            parts: self.amount.unwrap_or(0.0) as u32,
            client_retry: self.repeat.unwrap_or(false),
        }))
    }
}

/// Translates an action of the module to a command.
pub fn command(instance: u64, action: api::Action) -> Command {
    use api::Action;
    match action {
        Action::Send { part, replica, timeout, .. } => {
            Command::HandOff { instance, request_id: part.0, replica: replica.0, try_for_ms: timeout }
        }
        Action::Cancel { part, attempt, .. } => {
            Command::CallOff { instance, request_id: part.0, attempt: attempt.0 }
        }
        Action::Answer { query, whole } => {
            Command::SettleQuery { instance, request_id: query.0, entire: whole }
        }
        Action::Refuse { query, retry_after, .. } => {
            Command::OverloadReply { instance, request_id: query.0, wait_ms: retry_after }
        }
        Action::Fail { query, .. } => Command::Lose { instance, request_id: query.0 },
        Action::Probe { replica } => Command::Inspect { instance, replica: replica.0 },
        Action::CloseIdle { replica } => Command::LetGo { instance, replica: replica.0 },
        Action::Subscribe => Command::StreamChanges { instance, entire: true },
        Action::WakeAt(at) => Command::SetTimer { instance, instant_ms: at, cookie: "wake" },
        Action::Log(text) => Command::JournalLine { instance, text },
    }
}
