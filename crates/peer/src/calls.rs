//! The JSON-RPC methods between processes, with their parameter and response
//! types.

use cyclamenloft_caller::idempotency::{KeyRequest, KeyResponse};
use cyclamenloft_operator::{
    Update,
    messages::{ApplyRequest, ApplyResponse, HistoryRequest, HistoryResponse},
};
use cyclamenloft_placement::{Announcement, Lease, NumberedOrder, OrdersRequest, Report};
use cyclamenloft_routing::{slots::SlotMessage, spill::WaitReport};
use cyclamenloft_target::TargetAnnouncement;
use cyclamenloft_types::{
    ConfigNumber, Error, ErrorKind, HostId, JobId, JobSpec, JobState, LogIndex, ServiceName,
    WorkerId,
};
use serde::{Deserialize, Deserializer, Serialize, de::DeserializeOwned};
use serde_json::value::RawValue;

/// A method of the peer protocol.
pub trait Method {
    /// Name on the wire.
    const NAME: &'static str;
    /// Parameters of the call.
    type Params: Serialize + DeserializeOwned + 'static;
    /// Response to a successful call.
    type Response: Clone + Serialize + DeserializeOwned + 'static;
}

macro_rules! methods {
    ($($(#[$doc:meta])* $method:ident = $name:literal: $params:ty => $response:ty;)*) => {
        $(
            $(#[$doc])*
            #[derive(Clone, Copy, Debug)]
            pub struct $method;

            impl Method for $method {
                const NAME: &'static str = $name;
                type Params = $params;
                type Response = $response;
            }
        )*

        /// The names of all methods.
        pub const METHOD_NAMES: &[&str] = &[$($name),*];
    };
}

methods! {
    /// Forwards announcements of targets to another entry host of the domain.
    SpreadTargets = "targets.spread": ForwardedTargets => Empty;
    /// Exchanges slot messages with another entry host of the domain.
    ExchangeSlots = "slots.exchange": Vec<ServiceSlots> => Vec<ServiceSlots>;
    /// Reads, for each service, how long a request would wait at an entry host of another
    /// domain.
    ReadWaits = "waits.read": Empty => Vec<ServiceWait>;
    /// Asks the owner of an idempotency key whether a request may run, or reports the
    /// end of a request.
    AskKey = "keys.ask": KeyRequest => KeyResponse;
    /// Forwards a worker's announcement to the control leader.
    AnnounceWorker = "workers.announce": Announcement => Lease;
    /// Forwards a worker's report to the control leader.
    ReportWorker = "workers.report": Report => Lease;
    /// Long-polls the control leader for a worker's orders.
    WaitOrders = "workers.orders": OrdersRequest => Vec<NumberedOrder>;
    /// Lists the workers of a domain.
    ListWorkers = "workers.list": Empty => Vec<WorkerSummary>;
    /// Submits a job.
    SubmitJob = "jobs.submit": JobSpec => SubmitResponse;
    /// Reads a job's state.
    ReadJob = "jobs.read": JobId => JobState;
    /// Lists jobs.
    ListJobs = "jobs.list": Empty => Vec<JobSummary>;
    /// Cancels jobs.
    CancelJobs = "jobs.cancel": Vec<JobId> => CancelResponse;
    /// Proposes a configuration.
    ApplyConfig = "config.apply": ApplyRequest => ApplyResponse;
    /// Long-polls for a configuration with a number above the given one.
    WaitConfig = "config.wait": WaitConfigParams => Update;
    /// Lists the accepted configurations.
    ConfigHistory = "config.history": HistoryRequest => HistoryResponse;
    /// Reads the status of a process.
    ProcessStatus = "status": Empty => StatusResponse;
}

/// Announcements that another entry host forwards. They are decoded and checked one by one, so that
/// one that can't be used costs only itself.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(transparent)]
pub struct ForwardedTargets {
    /// The announcements that can be used.
    pub announcements: Vec<TargetAnnouncement>,
    /// Why each of the others can't be used.
    #[serde(skip)]
    pub skipped: Vec<Error>,
}

impl<'de> Deserialize<'de> for ForwardedTargets {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let mut forwarded = Self::default();
        for raw in Vec::<Box<RawValue>>::deserialize(deserializer)? {
            let decoded = serde_json::from_str::<TargetAnnouncement>(raw.get());
            let decoded = decoded.map_err(|e| Error::new(ErrorKind::BadRequest, e.to_string()));
            match decoded.and_then(|a| a.check().map(|()| a)) {
                Ok(announcement) => forwarded.announcements.push(announcement),
                Err(e) => forwarded.skipped.push(e),
            }
        }
        Ok(forwarded)
    }
}

/// Empty parameters or an empty response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Empty {}

/// A slot message about the targets of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSlots {
    /// The service.
    pub service: ServiceName,
    /// The message.
    pub message: SlotMessage,
}

/// Predicted wait of requests of one service at the responding host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceWait {
    /// The service.
    pub service: ServiceName,
    /// The predicted wait.
    pub report: WaitReport,
}

/// Summary of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerSummary {
    /// The worker.
    pub worker: WorkerId,
    /// Its rack.
    pub rack: Box<str>,
    /// Whether the worker's lease may still be valid.
    pub alive: bool,
    /// Capacity of the worker.
    pub capacity: cyclamenloft_types::Resources,
    /// Resources reserved on the worker.
    pub reserved: cyclamenloft_types::Resources,
    /// Number of tasks with a reservation on the worker.
    pub tasks: usize,
}

/// Response to a submitted job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitResponse {
    /// The job.
    pub job: JobId,
    /// Whether the same job had been submitted before.
    pub already: bool,
}

/// Summary of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSummary {
    /// The job.
    pub job: JobId,
    /// Its team.
    pub team: Box<str>,
    /// Number of tasks.
    pub tasks: usize,
    /// Number of waiting tasks.
    pub waiting: usize,
    /// Number of tasks that are placed on a worker.
    pub running: usize,
    /// Number of finished tasks.
    pub finished: usize,
}

/// Response to a cancellation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelResponse {
    /// Jobs that are now cancelled.
    pub cancelled: Vec<JobId>,
    /// Jobs that do not exist.
    pub unknown: Vec<JobId>,
}

/// Parameters of a long poll for a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitConfigParams {
    /// Number of the caller's active configuration.
    pub above: ConfigNumber,
    /// Whether the caller needs the whole content, because it could not apply
    /// an incremental update.
    pub whole: bool,
    /// Maximum time to wait, in milliseconds; 0 returns at once.
    pub wait_ms: u64,
}

/// State of a replication group at one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The group.
    pub group: Box<str>,
    /// The replica's role as text.
    pub role: Box<str>,
    /// The leader, if known.
    pub leader: Option<u64>,
    /// Index of the last committed entry.
    pub committed: LogIndex,
}

/// Status of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusResponse {
    /// The host's name.
    pub host: HostId,
    /// The host's failure domain.
    pub domain: Box<str>,
    /// `entry` or `control`.
    pub program: Box<str>,
    /// Whether the process is ready.
    pub ready: bool,
    /// Number of the active configuration.
    pub config: ConfigNumber,
    /// Replication groups of which the process is a member.
    pub groups: Vec<GroupStatus>,
    /// Services with the number of their valid targets.
    pub services: Vec<ServiceStatus>,
}

/// State of a service at one entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// The service.
    pub service: Box<str>,
    /// Number of targets with a valid announcement.
    pub targets: usize,
}
