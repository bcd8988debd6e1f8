//! Proxies between processes that bring about faults of the network.
//!
//! Every proxy runs on the test's own runtime. A lost packet on a TCP
//! connection is a stall: bytes wait, and none is lost or reordered. A cut is
//! silent, as a partition is: connections stay open, nothing arrives until the
//! cut heals, and then everything that waited does. The library `noxious`
//! drops bytes out of the middle of a connection instead, and delays each piece
//! after the one before it, so that it serves here neither for cuts nor for
//! latency.

use compio::{
    BufResult,
    io::{AsyncRead, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::spawn,
};
use futures_channel::mpsc;
use futures_util::{StreamExt, join};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

/// Bytes read at once.
const BUF_BYTES: usize = 16 * 1024;
/// Time between two looks at whether a cut has healed.
const UNBLOCK_POLL_PERIOD: Duration = Duration::from_millis(5);

/// Delays of all links.
#[derive(Clone, Copy, Debug, Default)]
pub struct Delay {
    /// One way.
    pub latency: Duration,
    /// Share of the pieces that are lost once and sent again.
    pub loss_percent: u32,
    /// How much later a lost piece arrives.
    pub resend: Duration,
}

/// Data that flows from one process to another, on whoever's connection.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Flow {
    from: Box<str>,
    to: Box<str>,
}

impl Flow {
    fn reversed(&self) -> Self {
        Self { from: self.to.clone(), to: self.from.clone() }
    }
}

struct Net {
    blocked: RefCell<BTreeSet<Flow>>,
    delay: Cell<Delay>,
    seed: u64,
    connections: Cell<u64>,
}

/// The links of a deployment; clones share them.
#[derive(Clone)]
pub struct Links(Rc<Net>);

impl Links {
    /// Links without faults. `seed` decides which pieces are lost.
    pub fn new(seed: u64) -> Self {
        let net = Net {
            blocked: RefCell::default(),
            delay: Cell::default(),
            seed,
            connections: Cell::new(0),
        };
        Self(Rc::new(net))
    }

    /// Carries connections of `from` that arrive at `listen` on to `to` at `dest`.
    pub fn open(&self, from: &str, to: &str, listen: SocketAddr, dest: SocketAddr) {
        let listener = cyclamenloft_http::bind(listen).unwrap();
        let listener = TcpListener::from_std(listener).unwrap();
        let flow = Flow { from: from.into(), to: to.into() };
        spawn(accept(self.0.clone(), listener, flow, dest)).detach();
    }

    /// Delays everything from now on.
    pub fn delay(&self, delay: Delay) {
        self.0.delay.set(delay);
    }

    /// Stops what flows from each of `from` to each of `to`, in this direction only.
    pub fn block(&self, from: &[impl AsRef<str>], to: &[impl AsRef<str>]) {
        let mut blocked = self.0.blocked.borrow_mut();
        for from in from {
            for to in to {
                blocked.insert(Flow { from: from.as_ref().into(), to: to.as_ref().into() });
            }
        }
    }

    /// Stops what flows between each of `left` and each of `right`, both ways.
    pub fn cut(&self, left: &[impl AsRef<str>], right: &[impl AsRef<str>]) {
        self.block(left, right);
        self.block(right, left);
    }

    /// Ends every cut.
    pub fn heal(&self) {
        self.0.blocked.borrow_mut().clear();
    }
}

async fn accept(net: Rc<Net>, listener: TcpListener, flow: Flow, dest: SocketAddr) {
    while let Ok((client, _)) = listener.accept().await {
        spawn(relay(net.clone(), client, flow.clone(), dest)).detach();
    }
}

async fn relay(net: Rc<Net>, client: TcpStream, flow: Flow, dest: SocketAddr) {
    // The connection's first packet is held up by a cut like any other.
    net.wait_until_unblocked(&flow).await;
    let Ok(server) = TcpStream::connect(dest).await else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let back = flow.reversed();
    let there = forward(net.clone(), flow, client.clone(), server.clone());
    join!(there, forward(net, back, server, client));
}

/// Carries one direction of a connection until its end.
async fn forward(net: Rc<Net>, flow: Flow, mut from: TcpStream, mut to: TcpStream) {
    let (tx, mut rx) = mpsc::unbounded::<(Instant, Vec<u8>)>();
    let number = net.connections.get();
    net.connections.set(number + 1);
    let reading = async {
        let mut rng = SmallRng::seed_from_u64(net.seed ^ number);
        let mut due = Instant::now();
        while let BufResult(Ok(1..), buf) = from.read(Vec::with_capacity(BUF_BYTES)).await {
            due = due.max(Instant::now() + net.next_delay(&mut rng));
            if tx.unbounded_send((due, buf)).is_err() {
                break;
            }
        }
        drop(tx);
    };
    let writing = async {
        while let Some((due, buf)) = rx.next().await {
            compio::time::sleep_until(due).await;
            net.wait_until_unblocked(&flow).await;
            if to.write_all(buf).await.0.is_err() {
                break;
            }
        }
        drop(rx);
        net.wait_until_unblocked(&flow).await;
        let _ = to.shutdown().await;
    };
    join!(reading, writing);
}

impl Net {
    fn next_delay(&self, rng: &mut SmallRng) -> Duration {
        let Delay { latency, loss_percent, resend } = self.delay.get();
        let lost = rng.random_range(0..100) < loss_percent;
        if lost { latency + resend } else { latency }
    }

    async fn wait_until_unblocked(&self, flow: &Flow) {
        while self.blocked.borrow().contains(flow) {
            compio::time::sleep(UNBLOCK_POLL_PERIOD).await;
        }
    }
}
