//! The operators' configuration of queues and services.

use cyclamenloft_types::{ConfigNumber, ServiceName};
use serde::{Deserialize, Serialize};

/// Host and path prefix of a queue, which tell it from others.
pub type QueueKey = Box<str>;

/// One queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queue {
    /// Host that the client names.
    pub host: Box<str>,
    /// Prefix of the path.
    pub prefix: Box<str>,
    /// What happens to the queue's submissions.
    pub policy: QueuePolicy,
}

/// How the advisor of a queue answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advising {
    /// Time that it takes for an answer, in milliseconds.
    pub decision_ms: u32,
    /// Time that it takes in addition for each worker named, in milliseconds.
    pub per_worker_ms: u32,
    /// How long its tickets are valid, in milliseconds.
    pub valid_ms: u32,
}

/// What happens to a queue's submissions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueuePolicy {
    /// Service whose workers run the tasks.
    pub service: ServiceName,
    /// 0 comes first.
    pub priority: u8,
    /// Failed runs of one task after which its submission has failed.
    pub max_attempts: u16,
    /// The objective's factor on the longest chain of work, in thousandths.
    pub slack_millis: u32,
    /// Added to the objective, in milliseconds.
    pub target_ms: u32,
    /// Starts need a ticket of an advisor that answers like this.
    pub advising: Option<Advising>,
}

impl Queue {
    /// The queue's key.
    #[must_use]
    pub fn key(&self) -> QueueKey {
        format!("{}{}", self.host, self.prefix).into()
    }
}

/// One service: a pool of workers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// The service's workers refuse what does not fit.
    pub guarded: bool,
}

/// The configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTable {
    /// Number of the configuration; 0 is none.
    pub number: ConfigNumber,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The services.
    pub services: Vec<Service>,
    /// The operator's text, for reading it back.
    pub text: Box<str>,
}

impl RouteTable {
    /// The queue with the longest prefix that `path` begins with.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let matches = |q: &&Queue| *q.host == *host && path.starts_with(&*q.prefix);
        self.queues.iter().filter(matches).max_by_key(|q| q.prefix.len())
    }

    /// The queue with this key.
    #[must_use]
    pub fn queue(&self, key: &str) -> Option<&Queue> {
        self.queues.iter().find(|q| {
            key.len() == q.host.len() + q.prefix.len()
                && key.starts_with(&*q.host)
                && key.ends_with(&*q.prefix)
        })
    }
}
