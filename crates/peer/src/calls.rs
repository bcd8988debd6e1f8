//! The methods that peers call on each other, with their typed parameters and
//! answers.

use cyclamenloft_caller::idempotency::{KeyAnswer, KeyQuestion};
use cyclamenloft_operator::{
    Update,
    messages::{ApplyRequest, ApplyResponse, HistoryRequest, HistoryResponse},
};
use cyclamenloft_placement::{Announcement, Lease, NumberedOrder, OrdersRequest, Report};
use cyclamenloft_routing::{slots::SlotMessage, spill::WaitReport};
use cyclamenloft_target::TargetAnnouncement;
use cyclamenloft_types::{
    ConfigNumber, HostId, JobId, JobSpec, JobState, LogIndex, ServiceName, WorkerId,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// A method of the peers' protocol.
pub trait Method {
    /// Name on the wire.
    const NAME: &'static str;
    /// What the caller sends.
    type Params: Serialize + DeserializeOwned + 'static;
    /// What the caller gets.
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
    /// Passes targets' announcements on to another entry host of the domain.
    SpreadTargets = "targets.spread": Vec<TargetAnnouncement> => Empty;
    /// Exchanges messages about slots with another entry host of the domain.
    ExchangeSlots = "slots.exchange": Vec<ServiceSlots> => Vec<ServiceSlots>;
    /// Reads how long requests would wait at an entry host of another domain.
    ReadWaits = "waits.read": Empty => Vec<ServiceWait>;
    /// Asks the owner of an idempotency key.
    AskKey = "keys.ask": KeyQuestion => KeyAnswer;
    /// Hands a worker's announcement to the control leader.
    AnnounceWorker = "workers.announce": Announcement => Lease;
    /// Hands a worker's report to the control leader.
    ReportWorker = "workers.report": Report => Lease;
    /// Waits for a worker's orders at the control leader.
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
    /// Waits for a configuration with a number above the given one.
    WaitConfig = "config.wait": WaitConfigParams => Update;
    /// Lists the accepted configurations.
    ConfigHistory = "config.history": HistoryRequest => HistoryResponse;
    /// Describes the process.
    ProcessStatus = "status": Empty => StatusResponse;
}

/// Stands for no parameters or no answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Empty {}

/// A message about the slots of one service's targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSlots {
    /// The service.
    pub service: ServiceName,
    /// The message.
    pub message: SlotMessage,
}

/// How long requests of one service would wait at the answering host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceWait {
    /// The service.
    pub service: ServiceName,
    /// The wait.
    pub report: WaitReport,
}

/// A worker in a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerSummary {
    /// The worker.
    pub worker: WorkerId,
    /// Its rack.
    pub rack: Box<str>,
    /// Whether its lease has not surely expired.
    pub alive: bool,
    /// What it holds.
    pub capacity: cyclamenloft_types::Resources,
    /// What is reserved on it.
    pub reserved: cyclamenloft_types::Resources,
    /// Tasks with reservations on it.
    pub tasks: usize,
}

/// The answer to a submitted job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitResponse {
    /// The job.
    pub job: JobId,
    /// Whether it was known already with the same content.
    pub already: bool,
}

/// A job in a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSummary {
    /// The job.
    pub job: JobId,
    /// Its team.
    pub team: Box<str>,
    /// Its number of tasks.
    pub tasks: usize,
    /// Tasks that wait.
    pub waiting: usize,
    /// Tasks on a worker.
    pub running: usize,
    /// Tasks that finished.
    pub finished: usize,
}

/// The answer to a cancellation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelResponse {
    /// Jobs that are cancelled now.
    pub cancelled: Vec<JobId>,
    /// Jobs that are not known.
    pub unknown: Vec<JobId>,
}

/// A wait for a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitConfigParams {
    /// The number that the asker has in force.
    pub above: ConfigNumber,
    /// Whether the asker needs the whole content, because changes did not fit.
    pub whole: bool,
    /// Longest time to wait, in milliseconds; 0 answers at once.
    pub wait_ms: u64,
}

/// A group's standing at one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The group.
    pub group: Box<str>,
    /// The replica's role in words.
    pub role: Box<str>,
    /// The leader, if one is known.
    pub leader: Option<u64>,
    /// Last committed entry.
    pub committed: LogIndex,
}

/// What a process says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusResponse {
    /// The host's name.
    pub host: HostId,
    /// The host's failure domain.
    pub domain: Box<str>,
    /// `entry` or `control`.
    pub program: Box<str>,
    /// Whether it is ready.
    pub ready: bool,
    /// Configuration in force.
    pub config: ConfigNumber,
    /// Groups that it takes part in.
    pub groups: Vec<GroupStatus>,
    /// Services with the number of valid targets.
    pub services: Vec<ServiceStatus>,
}

/// A service at one entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// The service.
    pub service: Box<str>,
    /// Targets with a valid announcement.
    pub targets: usize,
}
