//! Replicas over loopback TCP, with a delay in each direction.

use compio::{
    BufResult,
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use cyclamenloft_replication::{Replica, Transport};
use cyclamenloft_types::{Error, ErrorKind, ReplicaId, Result};
use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use crate::node::Ledger;

const HEAD_BYTES: usize = 12;

/// What all links of a group share.
#[derive(Clone)]
pub struct Wires {
    pub addresses: Arc<HashMap<ReplicaId, SocketAddr>>,
    /// One-way delay.
    pub delay: Duration,
    /// Payload bytes carried, with their frames' heads.
    pub bytes: Arc<AtomicU64>,
    pub messages: Arc<AtomicU64>,
}

impl Wires {
    fn count(&self, bytes: usize) {
        self.bytes.fetch_add((bytes + HEAD_BYTES) as u64, Ordering::Relaxed);
        self.messages.fetch_add(1, Ordering::Relaxed);
    }
}

type Waiting = Rc<RefCell<HashMap<u64, oneshot::Sender<Vec<u8>>>>>;

#[derive(Clone)]
struct Connection {
    tx: mpsc::UnboundedSender<(u64, Vec<u8>)>,
    waiting: Waiting,
    /// False once the other side has closed.
    open: Rc<Cell<bool>>,
}

/// One replica's connections to the others.
pub struct Link {
    wires: Wires,
    connections: RefCell<HashMap<ReplicaId, Connection>>,
    next: RefCell<u64>,
}

async fn write_frame(stream: &mut TcpStream, id: u64, body: &[u8]) -> io::Result<()> {
    let mut frame = Vec::with_capacity(HEAD_BYTES + body.len());
    frame.extend_from_slice(&(body.len() as u32).to_le_bytes());
    frame.extend_from_slice(&id.to_le_bytes());
    frame.extend_from_slice(body);
    stream.write_all(frame).await.0
}

async fn read_frame(stream: &mut TcpStream) -> io::Result<(u64, Vec<u8>)> {
    let BufResult(result, head) = stream.read_exact([0; HEAD_BYTES]).await;
    result?;
    let len = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
    let id = u64::from_le_bytes(head[4..].try_into().expect("eight bytes"));
    if len == 0 {
        return Ok((id, Vec::new()));
    }
    let BufResult(result, body) = stream.read_exact(vec![0; len]).await;
    result.map(|()| (id, body))
}

async fn send(mut stream: TcpStream, mut rx: mpsc::UnboundedReceiver<(u64, Vec<u8>)>) {
    while let Some((id, body)) = rx.next().await {
        if write_frame(&mut stream, id, &body).await.is_err() {
            return;
        }
    }
}

impl Link {
    pub fn new(wires: Wires) -> Self {
        Self { wires, connections: RefCell::default(), next: RefCell::default() }
    }

    async fn connection(&self, to: ReplicaId) -> io::Result<Connection> {
        let known = self.connections.borrow().get(&to).cloned();
        if let Some(connection) = known.filter(|c| c.open.get()) {
            return Ok(connection);
        }
        let stream = TcpStream::connect(self.wires.addresses[&to]).await?;
        stream.set_nodelay(true)?;
        let (tx, rx) = mpsc::unbounded();
        let waiting = Waiting::default();
        compio::runtime::spawn(send(stream.clone(), rx)).detach();
        let open = Rc::new(Cell::new(true));
        let (answers, is_open) = (waiting.clone(), open.clone());
        compio::runtime::spawn(async move {
            let mut stream = stream;
            while let Ok((id, body)) = read_frame(&mut stream).await {
                if let Some(tx) = answers.borrow_mut().remove(&id) {
                    let _ = tx.send(body);
                }
            }
            is_open.set(false);
            answers.borrow_mut().clear();
        })
        .detach();
        let connection = Connection { tx, waiting, open };
        self.connections.borrow_mut().insert(to, connection.clone());
        Ok(connection)
    }
}

impl Transport for Link {
    async fn call(&self, to: ReplicaId, message: Vec<u8>) -> Result<Vec<u8>> {
        let lost = || Error::new(ErrorKind::PeerUnreachable, format!("replica {to}"));
        compio::time::sleep(self.wires.delay).await;
        let connection = self.connection(to).await.map_err(|_| lost())?;
        let id = {
            let mut next = self.next.borrow_mut();
            *next += 1;
            *next
        };
        let (tx, rx) = oneshot::channel();
        connection.waiting.borrow_mut().insert(id, tx);
        self.wires.count(message.len());
        let sent = connection.tx.unbounded_send((id, message));
        let answer = if sent.is_ok() { rx.await.map_err(|_| lost()) } else { Err(lost()) };
        if answer.is_err() {
            self.connections.borrow_mut().remove(&to);
        }
        answer
    }
}

/// Answers the requests of other replicas for as long as the task lives.
pub async fn serve(listener: TcpListener, replica: Replica<Ledger>, wires: Wires) {
    let mut connections = Vec::new();
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        connections.push(compio::runtime::spawn(answer(stream, replica.clone(), wires.clone())));
    }
}

async fn answer(mut stream: TcpStream, replica: Replica<Ledger>, wires: Wires) {
    let (tx, rx) = mpsc::unbounded();
    let _writer = compio::runtime::spawn(send(stream.clone(), rx));
    while let Ok((id, message)) = read_frame(&mut stream).await {
        let (replica, tx, wires) = (replica.clone(), tx.clone(), wires.clone());
        compio::runtime::spawn(async move {
            let Ok(answer) = replica.handle(&message).await else { return };
            compio::time::sleep(wires.delay).await;
            wires.count(answer.len());
            let _ = tx.unbounded_send((id, answer));
        })
        .detach();
    }
}
