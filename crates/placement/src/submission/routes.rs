//! The operator's configuration of queues and services.

use cyclamenloft_types::{ConfigNumber, ServiceName};
use serde::{Deserialize, Serialize};

/// Host and path prefix of a queue, which identify it.
pub type QueueKey = Box<str>;

/// One queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queue {
    /// Host that clients name in their requests.
    pub host: Box<str>,
    /// Prefix of the path.
    pub prefix: Box<str>,
    /// Policy for the queue's submissions.
    pub policy: QueuePolicy,
}

/// Timing of a queue's advisor: the duration of its answers and the validity of
/// its tickets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdvisorTiming {
    /// Time that an answer takes, in milliseconds.
    pub decision_ms: u32,
    /// Additional time for each worker named in the question, in milliseconds.
    pub per_worker_ms: u32,
    /// Time for which a ticket is valid, in milliseconds.
    pub valid_ms: u32,
}

/// Policy for the submissions of a queue.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueuePolicy {
    /// Service whose workers run the tasks.
    pub service: ServiceName,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Number of failed attempts of one task or gang after which its submission fails; 0 if none is
    /// stated. The limit of an earlier table holds then or, without one, there is no limit.
    pub max_attempts: u16,
    /// Factor, in thousandths, by which the longest chain of estimates is
    /// multiplied to compute a submission's objective.
    pub slack_millis: u32,
    /// Time added to that product to compute the objective, in milliseconds.
    pub target_ms: u32,
    /// Timing of the advisor whose tickets starts need; `None` if they need
    /// none.
    #[serde(rename = "advising")]
    pub advisor: Option<AdvisorTiming>,
}

impl QueuePolicy {
    /// Returns whether a task or gang with this many failed attempts may not start again.
    #[must_use]
    pub fn is_exhausted(&self, failures: u16) -> bool {
        self.max_attempts > 0 && failures >= self.max_attempts
    }

    /// Returns this policy with the limit on attempts of `former`, if it states none itself.
    #[must_use]
    pub(super) fn following(&self, former: &Self) -> Self {
        let max_attempts = match self.max_attempts {
            0 => former.max_attempts,
            stated => stated,
        };
        Self { max_attempts, ..self.clone() }
    }
}

impl Queue {
    /// Returns the queue's key.
    #[must_use]
    pub fn key(&self) -> QueueKey {
        format!("{}{}", self.host, self.prefix).into()
    }
}

/// A service, which is a pool of workers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Whether the service's workers refuse runs that exceed their capacity.
    #[serde(rename = "guarded")]
    pub admission_control: bool,
}

/// The active configuration of queues and services.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTable {
    /// Number of the configuration; 0 means that there is none yet.
    pub number: ConfigNumber,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The services.
    pub services: Vec<Service>,
    /// The operator's original text, returned when the configuration is read.
    pub text: Box<str>,
}

impl RouteTable {
    /// Returns the queue of `host` with the longest prefix that `path` starts
    /// with.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let matches = |q: &&Queue| *q.host == *host && path.starts_with(&*q.prefix);
        self.queues.iter().filter(matches).max_by_key(|q| q.prefix.len())
    }

    /// Returns whether the workers of a service refuse runs that exceed their capacity. Those of
    /// a service that isn't listed don't.
    #[must_use]
    pub fn has_admission_control(&self, service: &str) -> bool {
        self.services.iter().any(|s| *s.name == *service && s.admission_control)
    }

    /// Returns whether the configuration lists this service or sends a queue to it. Before there is
    /// a configuration, every service may come.
    #[must_use]
    pub fn may_have_service(&self, service: &str) -> bool {
        self.number == 0
            || self.services.iter().any(|s| *s.name == *service)
            || self.queues.iter().any(|q| *q.policy.service == *service)
    }

    /// Returns the queue with this key.
    #[must_use]
    pub fn queue(&self, key: &str) -> Option<&Queue> {
        self.queues.iter().find(|q| {
            key.len() == q.host.len() + q.prefix.len()
                && key.starts_with(&*q.host)
                && key.ends_with(&*q.prefix)
        })
    }
}
