//! One replica on a thread of its own, and the load that runs beside it.

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

use crate::link::{self, Link, Wires};

/// A count of changes and the bytes that they brought.
#[derive(Clone, Default)]
pub struct Ledger {
    pub changes: u64,
    pub bytes: u64,
}

impl StateMachine for Ledger {
    type Command = Vec<u8>;
    type Answer = u64;

    fn apply(&mut self, _: LogIndex, command: &Vec<u8>) -> u64 {
        self.changes += 1;
        self.bytes += command.len() as u64;
        self.changes
    }

    fn encode(&self) -> Vec<u8> {
        [self.changes.to_le_bytes(), self.bytes.to_le_bytes()].concat()
    }

    fn decode(bytes: &[u8]) -> Result<Self> {
        let cut = || Error::new(ErrorKind::Corrupt, "ledger is cut short");
        let number = |at: usize| -> Option<u64> {
            Some(u64::from_le_bytes(bytes.get(at..at + 8)?.try_into().ok()?))
        };
        Ok(Self { changes: number(0).ok_or_else(cut)?, bytes: number(8).ok_or_else(cut)? })
    }
}

/// How changes are proposed.
#[derive(Clone, Copy, Debug)]
pub enum Load {
    /// This many proposers, each waiting for its answer.
    Closed(usize),
    /// One decision after the other, each on the state that the one before
    /// left, read from the applied state: a decision waits for the answer.
    DecideApplied,
    /// The same from the speculative state, with up to this many answers
    /// outstanding.
    DecideSpeculative(usize),
    /// This many changes each second.
    Paced(u64),
}

pub enum Order {
    /// Runs a load and sends the time that each answer took.
    Run { load: Load, bytes: usize, time: Duration, done: Sender<Vec<Duration>> },
    /// Hands over and stops.
    ShutDown,
    /// Stops without a word.
    Crash,
}

/// A replica says that it surely leads, and since when.
pub type Leads = (ReplicaId, Instant);

pub struct Node {
    pub orders: mpsc::UnboundedSender<Order>,
    thread: JoinHandle<()>,
}

impl Node {
    /// Starts replica `cfg` on a thread; `leads` hears when it leads.
    pub fn start(
        id: ReplicaId,
        cfg: Config,
        listener: std::net::TcpListener,
        wires: Wires,
        leads: Sender<Leads>,
    ) -> Self {
        let (orders, rx) = mpsc::unbounded();
        let thread = thread::spawn(move || {
            let runtime = compio::runtime::Runtime::new().expect("a runtime");
            runtime.block_on(run(id, cfg, listener, wires, leads, rx));
        });
        Self { orders, thread }
    }

    pub fn order(&self, order: Order) {
        let _ = self.orders.unbounded_send(order);
    }

    pub fn join(self) {
        drop(self.orders);
        let _ = self.thread.join();
    }
}

async fn run(
    id: ReplicaId,
    cfg: Config,
    listener: std::net::TcpListener,
    wires: Wires,
    leads: Sender<Leads>,
    mut orders: mpsc::UnboundedReceiver<Order>,
) {
    let listener = TcpListener::from_std(listener).expect("a listener");
    let link = Link::new(wires.clone());
    let replica = Replica::open(cfg, Ledger::default(), link).await.expect("an open replica");
    let server = compio::runtime::spawn(link::serve(listener, replica.clone(), wires));
    let watcher = compio::runtime::spawn(report_leads(id, replica.clone(), leads));
    while let Some(order) = orders.next().await {
        match order {
            Order::Run { load, bytes, time, done } => {
                let replica = replica.clone();
                compio::runtime::spawn(async move {
                    let _ = done.send(run_load(&replica, load, bytes, time).await);
                })
                .detach();
            }
            Order::ShutDown => {
                replica.shut_down().await;
                break;
            }
            Order::Crash => break,
        }
    }
    drop((server, watcher));
}

async fn report_leads(id: ReplicaId, replica: Replica<Ledger>, leads: Sender<Leads>) {
    let mut led = false;
    loop {
        let applied = replica.status().applied;
        let now = Instant::now();
        let leading = replica.leads(now);
        if leading && !led {
            let _ = leads.send((id, now));
        }
        led = leading;
        // A leader's own changes are of no interest here.
        replica.changed(if led { LogIndex::MAX } else { applied }).await;
    }
}

type Times = Rc<RefCell<Vec<Duration>>>;

async fn propose(replica: &Replica<Ledger>, bytes: usize, times: &Times) {
    let begun = Instant::now();
    if replica.propose(vec![7; bytes]).await.is_ok() {
        times.borrow_mut().push(begun.elapsed());
    }
}

async fn run_load(
    replica: &Replica<Ledger>,
    load: Load,
    bytes: usize,
    time: Duration,
) -> Vec<Duration> {
    let times = Times::default();
    let end = Instant::now() + time;
    let (proposers, paced) = match load {
        Load::Closed(count) => (count, None),
        Load::DecideApplied => (1, None),
        Load::DecideSpeculative(window) => {
            decide_speculative(replica, bytes, window, end, &times).await;
            (0, None)
        }
        Load::Paced(rate) => (0, Some(Duration::from_secs(1) / rate as u32)),
    };
    if let Some(pause) = paced {
        while Instant::now() < end {
            let (replica, times) = (replica.clone(), times.clone());
            compio::runtime::spawn(async move { propose(&replica, bytes, &times).await }).detach();
            compio::time::sleep(pause).await;
        }
    }
    let proposer = async || {
        while Instant::now() < end {
            propose(replica, bytes, &times).await;
        }
    };
    futures_util::future::join_all((0..proposers).map(|_| proposer())).await;
    times.take()
}

/// Each decision looks at what the one before has done to the state.
async fn decide_speculative(
    replica: &Replica<Ledger>,
    bytes: usize,
    window: usize,
    end: Instant,
    times: &Times,
) {
    let mut outstanding = futures_util::stream::FuturesUnordered::new();
    let mut seen = 0;
    while Instant::now() < end {
        let mut proposal = Box::pin(propose(replica, bytes, times));
        // The first poll appends the entry.
        if futures_util::poll!(&mut proposal).is_pending() {
            outstanding.push(proposal);
        }
        let changes = replica.speculative_state(|ledger| ledger.changes);
        assert!(changes > seen, "a decision must show in the speculative state");
        seen = changes;
        if outstanding.len() >= window {
            outstanding.next().await;
        }
    }
    while outstanding.next().await.is_some() {}
}
