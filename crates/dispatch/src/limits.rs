//! How a process shares out its memory and its file descriptors among its listeners, the
//! connections that it opens, and what it keeps.

use cyclamenloft_http::Limits;
use std::time::Duration;

/// Largest body of a client's request, in bytes, as limited by the operator.
pub const MAX_CLIENT_BODY_BYTES: usize = 256 << 10;
/// Largest body of a call of a worker or the operator, in bytes: ten times a configuration with a
/// few hundred routes.
pub const MAX_CONTROL_BODY_BYTES: usize = 4 << 20;
/// Descriptors that the platform reserves for files outside of the data folder.
const RESERVED_DESCRIPTORS: usize = 200;
/// Fewest descriptors that are shared out.
const MIN_DESCRIPTORS: usize = 100;
/// Memory of a connection besides claimed bodies: the buffers of the stream and of HTTP, a head of
/// the largest size, and the tasks that serve it.
const CONNECTION_BYTES: usize = 48 << 10;
/// Maximum number of connections to a listener for probes and metrics.
const PROBE_CONNECTIONS: usize = 16;
/// Size of the receive buffer of a client's connection. A body of the largest size takes a few
/// round trips.
const CLIENT_RECEIVE_BYTES: usize = 32 << 10;
/// Size of the receive buffer of a connection of a worker, the operator or another process. A
/// message of the largest size takes a few tens of round trips.
const CONTROL_RECEIVE_BYTES: usize = 64 << 10;
/// Number of bodies of the largest size for which a budget suffices at least. Large claims may use
/// three quarters of it.
const LARGEST_BODIES: usize = 2;

/// Shares of a process's memory, in percent. The rest is for the process itself, for what the
/// kernel holds, and for what the allocator can't use.
mod memory_percent {
    /// Of an entry host: bodies of clients and their decoded forms.
    pub const CLIENT_BODIES: usize = 25;
    /// Of an entry host: connections of clients.
    pub const CLIENT_CONNECTIONS: usize = 25;
    /// Of a replica: bodies of workers and the operator, and those of other processes, each.
    pub const CONTROL_BODIES: usize = 12;
    /// Of a replica: connections to each of the two listeners.
    pub const CONTROL_CONNECTIONS: usize = 15;
    /// Of a replica: submissions, with their copies in snapshots.
    pub const SUBMISSIONS: usize = 30;
    /// Of a replica: log entries since the last snapshot.
    pub const LOG: usize = 6;
}

/// Shares of a process's descriptors, in percent. The rest is for data files and the connections that
/// it opens, of which those of a replica to workers are the most.
mod descriptor_percent {
    /// Of an entry host: connections of clients.
    pub const CLIENTS: usize = 75;
    /// Of a replica: connections of workers and the operator.
    pub const CONTROL: usize = 14;
    /// Of a replica: connections of other processes.
    pub const PEERS: usize = 12;
    /// Of a replica: what its connections to workers have a share of.
    pub const WORKERS: usize = 87;
}

/// The limits of a process, which the platform enforces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory in bytes. A process that uses more is killed.
    pub memory_bytes: usize,
    /// Number of file descriptors.
    pub descriptors: usize,
}

impl ProcessLimits {
    /// Returns the limits of an entry host's listener for clients.
    #[must_use]
    pub fn clients(&self, drain: Duration) -> Limits {
        Limits {
            connections: self.connections(
                descriptor_percent::CLIENTS,
                memory_percent::CLIENT_CONNECTIONS,
                CLIENT_RECEIVE_BYTES,
            ),
            budget_bytes: self.budget(memory_percent::CLIENT_BODIES, MAX_CLIENT_BODY_BYTES),
            receive_buffer: Some(CLIENT_RECEIVE_BYTES),
            drain,
            ..Limits::default()
        }
    }

    /// Returns the limits of a replica's listener for workers and the operator.
    #[must_use]
    pub fn control(&self, drain: Duration) -> Limits {
        self.of_replica(descriptor_percent::CONTROL, MAX_CONTROL_BODY_BYTES, drain)
    }

    /// Returns the limits of a replica's listener for other processes, with messages of at most
    /// `message_bytes`.
    #[must_use]
    pub fn peers(&self, message_bytes: usize, drain: Duration) -> Limits {
        self.of_replica(descriptor_percent::PEERS, message_bytes, drain)
    }

    /// Returns the limits of a listener for probes or metrics, whose requests have no body.
    #[must_use]
    pub fn probes(&self, drain: Duration) -> Limits {
        Limits {
            connections: PROBE_CONNECTIONS,
            budget_bytes: 0,
            receive_buffer: Some(CLIENT_RECEIVE_BYTES),
            drain,
            ..Limits::default()
        }
    }

    /// Returns the number of descriptors of which connections to workers have their share.
    #[must_use]
    pub fn worker_descriptors(&self) -> usize {
        self.shared_descriptors() * descriptor_percent::WORKERS / 100
    }

    /// Returns the number of descriptors for sockets, pipes and data files.
    fn shared_descriptors(&self) -> usize {
        self.descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_DESCRIPTORS)
    }

    /// Returns the maximum memory of the submissions at a replica, in bytes.
    #[must_use]
    pub fn kept_bytes(&self) -> usize {
        self.memory_bytes / 100 * memory_percent::SUBMISSIONS
    }

    /// Returns the size of the log entries between two snapshots, in bytes.
    #[must_use]
    pub fn snapshot_bytes(&self) -> usize {
        self.memory_bytes / 100 * memory_percent::LOG
    }

    fn of_replica(&self, descriptors: usize, largest: usize, drain: Duration) -> Limits {
        let memory = memory_percent::CONTROL_CONNECTIONS;
        Limits {
            connections: self.connections(descriptors, memory, CONTROL_RECEIVE_BYTES),
            budget_bytes: self.budget(memory_percent::CONTROL_BODIES, largest),
            receive_buffer: Some(CONTROL_RECEIVE_BYTES),
            drain,
            ..Limits::default()
        }
    }

    fn connections(&self, descriptors: usize, memory: usize, receive_bytes: usize) -> usize {
        let by_descriptors = self.shared_descriptors() * descriptors / 100;
        let by_memory = self.memory_bytes / 100 * memory / (CONNECTION_BYTES + receive_bytes);
        by_descriptors.min(by_memory).max(PROBE_CONNECTIONS)
    }

    fn budget(&self, percent: usize, largest: usize) -> usize {
        (self.memory_bytes / 100 * percent).max(LARGEST_BODIES * largest)
    }
}
