//! One replica on its own thread, and the load that is run on it.

use compio::net::TcpListener;
use cyclamenloft_replication::{Config, Replica, StateMachine};
use cyclamenloft_types::{Error, ErrorKind, LogIndex, ReplicaId, Result};
use futures_channel::mpsc;
use futures_util::StreamExt;
use std::{
    cell::RefCell,
    rc::Rc,
    sync::mpsc::Sender,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::link::{self, Link, Network};

/// Counts the changes and their bytes.
#[derive(Clone, Default)]
pub struct ChangeCounter {
    pub changes: u64,
    pub bytes: u64,
}

impl StateMachine for ChangeCounter {
    type Command = Vec<u8>;
    type Response = u64;

    fn apply(&mut self, _: LogIndex, command: &Vec<u8>) -> u64 {
        self.changes += 1;
        self.bytes += command.len() as u64;
        self.changes
    }

    fn encode(&self) -> Vec<u8> {
        [self.changes.to_le_bytes(), self.bytes.to_le_bytes()].concat()
    }

    fn decode(bytes: &[u8]) -> Result<Self> {
        let truncated = || Error::new(ErrorKind::Corrupt, "counter is cut short");
        let number = |at: usize| -> Option<u64> {
            Some(u64::from_le_bytes(bytes.get(at..at + 8)?.try_into().ok()?))
        };
        Ok(Self {
            changes: number(0).ok_or_else(truncated)?,
            bytes: number(8).ok_or_else(truncated)?,
        })
    }
}

/// The way in which changes are proposed.
#[derive(Clone, Copy, Debug)]
pub enum Load {
    /// Number of concurrent proposers. Each waits for the result of a proposal
    /// before it makes the next one.
    Closed(usize),
    /// One proposal after the other. Each depends on the state after the
    /// previous one is applied, so it waits for that commit.
    DecideApplied,
    /// Like `DecideApplied`, but each proposal depends on the speculative
    /// state. Up to this many proposals are outstanding.
    DecideSpeculative(usize),
    /// Number of proposals per second, made without waiting for the commit of
    /// earlier ones.
    Paced(u64),
}

pub enum NodeCommand {
    /// Runs a load and sends the latencies of its proposals to `done`.
    Run { load: Load, bytes: usize, time: Duration, done: Sender<Vec<Duration>> },
    /// Transfers leadership and stops.
    ShutDown,
    /// Stops without transferring leadership.
    Crash,
}

/// A replica that became leader, and the time at which it did.
pub type LeadershipGained = (ReplicaId, Instant);

pub struct Node {
    pub commands: mpsc::UnboundedSender<NodeCommand>,
    thread: JoinHandle<()>,
}

impl Node {
    /// Starts a replica on a thread; `leadership` receives a message each time
    /// it becomes leader.
    pub fn start(
        id: ReplicaId,
        cfg: Config,
        listener: std::net::TcpListener,
        network: Network,
        leadership: Sender<LeadershipGained>,
    ) -> Self {
        let (commands, rx) = mpsc::unbounded();
        let thread = thread::spawn(move || {
            let runtime = compio::runtime::Runtime::new().expect("runtime must start");
            runtime.block_on(run(id, cfg, listener, network, leadership, rx));
        });
        Self { commands, thread }
    }

    pub fn send(&self, command: NodeCommand) {
        let _ = self.commands.unbounded_send(command);
    }

    pub fn join(self) {
        drop(self.commands);
        let _ = self.thread.join();
    }
}

async fn run(
    id: ReplicaId,
    cfg: Config,
    listener: std::net::TcpListener,
    network: Network,
    leadership: Sender<LeadershipGained>,
    mut commands: mpsc::UnboundedReceiver<NodeCommand>,
) {
    let listener = TcpListener::from_std(listener).expect("listener must be usable by the runtime");
    let link = Link::new(network.clone());
    let replica =
        Replica::open(cfg, ChangeCounter::default(), link).await.expect("replica must open");
    let server = compio::runtime::spawn(link::serve(listener, replica.clone(), network));
    let watcher = compio::runtime::spawn(report_leadership(id, replica.clone(), leadership));
    while let Some(command) = commands.next().await {
        match command {
            NodeCommand::Run { load, bytes, time, done } => {
                let replica = replica.clone();
                compio::runtime::spawn(async move {
                    let _ = done.send(run_load(&replica, load, bytes, time).await);
                })
                .detach();
            }
            NodeCommand::ShutDown => {
                replica.shut_down().await;
                break;
            }
            NodeCommand::Crash => break,
        }
    }
    drop((server, watcher));
}

async fn report_leadership(
    id: ReplicaId,
    replica: Replica<ChangeCounter>,
    leadership: Sender<LeadershipGained>,
) {
    let mut led = false;
    loop {
        let applied = replica.status().applied;
        let now = Instant::now();
        let leading = replica.leads(now);
        if leading && !led {
            let _ = leadership.send((id, now));
        }
        led = leading;
        // While the replica leads, waits only for a change of role, term or
        // leader, not for applied entries.
        replica.changed(if led { LogIndex::MAX } else { applied }).await;
    }
}

type Latencies = Rc<RefCell<Vec<Duration>>>;

async fn propose(replica: &Replica<ChangeCounter>, bytes: usize, latencies: &Latencies) {
    let start = Instant::now();
    if replica.propose(vec![7; bytes]).await.is_ok() {
        latencies.borrow_mut().push(start.elapsed());
    }
}

async fn run_load(
    replica: &Replica<ChangeCounter>,
    load: Load,
    bytes: usize,
    time: Duration,
) -> Vec<Duration> {
    let latencies = Latencies::default();
    let end = Instant::now() + time;
    let (proposers, paced) = match load {
        Load::Closed(count) => (count, None),
        Load::DecideApplied => (1, None),
        Load::DecideSpeculative(window) => {
            decide_speculative(replica, bytes, window, end, &latencies).await;
            (0, None)
        }
        Load::Paced(rate) => (0, Some(Duration::from_secs(1) / rate as u32)),
    };
    if let Some(pause) = paced {
        while Instant::now() < end {
            let (replica, latencies) = (replica.clone(), latencies.clone());
            compio::runtime::spawn(async move { propose(&replica, bytes, &latencies).await })
                .detach();
            compio::time::sleep(pause).await;
        }
    }
    let proposer = async || {
        while Instant::now() < end {
            propose(replica, bytes, &latencies).await;
        }
    };
    futures_util::future::join_all((0..proposers).map(|_| proposer())).await;
    latencies.take()
}

/// Proposes changes, each of which depends on the speculative state that
/// contains the previous one.
async fn decide_speculative(
    replica: &Replica<ChangeCounter>,
    bytes: usize,
    window: usize,
    end: Instant,
    latencies: &Latencies,
) {
    let mut outstanding = futures_util::stream::FuturesUnordered::new();
    let mut seen = 0;
    while Instant::now() < end {
        let mut proposal = Box::pin(propose(replica, bytes, latencies));
        // The first poll appends the entry.
        if futures_util::poll!(&mut proposal).is_pending() {
            outstanding.push(proposal);
        }
        let changes = replica.speculative_state(|counter| counter.changes);
        assert!(changes > seen, "a decision must be visible in the speculative state");
        seen = changes;
        if outstanding.len() >= window {
            outstanding.next().await;
        }
    }
    while outstanding.next().await.is_some() {}
}
