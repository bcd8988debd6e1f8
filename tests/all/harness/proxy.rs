//! Proxies between processes that simulate network faults.
//!
//! Every proxy runs on the test's own runtime. A lost packet of a TCP connection is
//! simulated as a stall: bytes are delayed, but none is lost or reordered. A blocked link
//! behaves like a network partition: connections stay open, nothing arrives until the
//! link is unblocked, and then all delayed bytes arrive. The library `noxious` can't be
//! used: to block a link it drops bytes from the middle of a connection, and for latency
//! it adds up the delays of consecutive chunks.

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

/// The size of a read buffer.
const BUF_BYTES: usize = 16 * 1024;
/// The interval at which a blocked link checks whether it has been unblocked.
const UNBLOCK_POLL_PERIOD: Duration = Duration::from_millis(5);

/// The delay of all links.
#[derive(Clone, Copy, Debug, Default)]
pub struct Delay {
    /// The latency in one direction.
    pub latency: Duration,
    /// The percentage of chunks that are delayed as if they had been lost once and resent.
    pub loss_percent: u32,
    /// The additional delay of such a chunk.
    pub resend: Duration,
}

/// The direction of data from one process to another, whichever of them opened the
/// connection.
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

/// The network links of a deployment, shared by all clones of this value.
#[derive(Clone)]
pub struct Links(Rc<Net>);

impl Links {
    /// Creates links without faults. `seed` determines which chunks are delayed as if they
    /// had been lost and resent.
    pub fn new(seed: u64) -> Self {
        let net = Net {
            blocked: RefCell::default(),
            delay: Cell::default(),
            seed,
            connections: Cell::new(0),
        };
        Self(Rc::new(net))
    }

    /// Forwards connections that `from` opens to `listen` to the address `dest` of `to`.
    pub fn open(&self, from: &str, to: &str, listen: SocketAddr, dest: SocketAddr) {
        let listener = cyclamenloft_http::bind(listen).unwrap();
        let listener = TcpListener::from_std(listener).unwrap();
        let flow = Flow { from: from.into(), to: to.into() };
        spawn(accept(self.0.clone(), listener, flow, dest)).detach();
    }

    /// Sets the delay of all data that is sent from now on.
    pub fn delay(&self, delay: Delay) {
        self.0.delay.set(delay);
    }

    /// Blocks data from each of `from` to each of `to`, in this direction only.
    pub fn block(&self, from: &[impl AsRef<str>], to: &[impl AsRef<str>]) {
        let mut blocked = self.0.blocked.borrow_mut();
        for from in from {
            for to in to {
                blocked.insert(Flow { from: from.as_ref().into(), to: to.as_ref().into() });
            }
        }
    }

    /// Blocks data between each of `left` and each of `right` in both directions.
    pub fn cut(&self, left: &[impl AsRef<str>], right: &[impl AsRef<str>]) {
        self.block(left, right);
        self.block(right, left);
    }

    /// Unblocks all links.
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
    // A blocked link also blocks the first packet of a new connection.
    net.wait_until_unblocked(&flow).await;
    let Ok(server) = TcpStream::connect(dest).await else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let back = flow.reversed();
    let there = forward(net.clone(), flow, client.clone(), server.clone());
    join!(there, forward(net, back, server, client));
}

/// Forwards one direction of a connection until its end.
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
