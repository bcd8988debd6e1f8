//! A transport over loopback TCP, with a delay in each direction.

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

use crate::node::ChangeCounter;

const HEADER_BYTES: usize = 12;

/// Settings and counters that all links of a group share.
#[derive(Clone)]
pub struct Network {
    pub addresses: Arc<HashMap<ReplicaId, SocketAddr>>,
    /// One-way delay.
    pub delay: Duration,
    /// Bytes sent, including the headers of the frames.
    pub bytes: Arc<AtomicU64>,
    pub messages: Arc<AtomicU64>,
}

impl Network {
    fn count(&self, bytes: usize) {
        self.bytes.fetch_add((bytes + HEADER_BYTES) as u64, Ordering::Relaxed);
        self.messages.fetch_add(1, Ordering::Relaxed);
    }
}

type PendingResponses = Rc<RefCell<HashMap<u64, oneshot::Sender<Vec<u8>>>>>;

#[derive(Clone)]
struct Connection {
    tx: mpsc::UnboundedSender<(u64, Vec<u8>)>,
    pending: PendingResponses,
    /// Whether the connection is open; false once the other side has closed it.
    open: Rc<Cell<bool>>,
}

/// One replica's connections to the others.
pub struct Link {
    network: Network,
    connections: RefCell<HashMap<ReplicaId, Connection>>,
    next: RefCell<u64>,
}

async fn write_frame(stream: &mut TcpStream, id: u64, body: &[u8]) -> io::Result<()> {
    let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
    frame.extend_from_slice(&(body.len() as u32).to_le_bytes());
    frame.extend_from_slice(&id.to_le_bytes());
    frame.extend_from_slice(body);
    stream.write_all(frame).await.0
}

async fn read_frame(stream: &mut TcpStream) -> io::Result<(u64, Vec<u8>)> {
    let BufResult(result, header) = stream.read_exact([0; HEADER_BYTES]).await;
    result?;
    let len = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
    let id = u64::from_le_bytes(header[4..].try_into().expect("slice must have eight bytes"));
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
    pub fn new(network: Network) -> Self {
        Self { network, connections: RefCell::default(), next: RefCell::default() }
    }

    async fn connection(&self, to: ReplicaId) -> io::Result<Connection> {
        let known = self.connections.borrow().get(&to).cloned();
        if let Some(connection) = known.filter(|c| c.open.get()) {
            return Ok(connection);
        }
        let stream = TcpStream::connect(self.network.addresses[&to]).await?;
        stream.set_nodelay(true)?;
        let (tx, rx) = mpsc::unbounded();
        let pending = PendingResponses::default();
        compio::runtime::spawn(send(stream.clone(), rx)).detach();
        let open = Rc::new(Cell::new(true));
        let (pending_responses, is_open) = (pending.clone(), open.clone());
        compio::runtime::spawn(async move {
            let mut stream = stream;
            while let Ok((id, body)) = read_frame(&mut stream).await {
                if let Some(tx) = pending_responses.borrow_mut().remove(&id) {
                    let _ = tx.send(body);
                }
            }
            is_open.set(false);
            pending_responses.borrow_mut().clear();
        })
        .detach();
        let connection = Connection { tx, pending, open };
        self.connections.borrow_mut().insert(to, connection.clone());
        Ok(connection)
    }
}

impl Transport for Link {
    async fn call(&self, to: ReplicaId, message: Vec<u8>) -> Result<Vec<u8>> {
        let lost = || Error::new(ErrorKind::PeerUnreachable, format!("replica {to}"));
        compio::time::sleep(self.network.delay).await;
        let connection = self.connection(to).await.map_err(|_| lost())?;
        let id = {
            let mut next = self.next.borrow_mut();
            *next += 1;
            *next
        };
        let (tx, rx) = oneshot::channel();
        connection.pending.borrow_mut().insert(id, tx);
        self.network.count(message.len());
        let sent = connection.tx.unbounded_send((id, message));
        let response = if sent.is_ok() { rx.await.map_err(|_| lost()) } else { Err(lost()) };
        if response.is_err() {
            self.connections.borrow_mut().remove(&to);
        }
        response
    }
}

/// Handles the requests of other replicas until the listener fails or the task
/// is dropped.
pub async fn serve(listener: TcpListener, replica: Replica<ChangeCounter>, network: Network) {
    let mut connections = Vec::new();
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        connections.push(compio::runtime::spawn(serve_connection(
            stream,
            replica.clone(),
            network.clone(),
        )));
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    replica: Replica<ChangeCounter>,
    network: Network,
) {
    let (tx, rx) = mpsc::unbounded();
    let _writer = compio::runtime::spawn(send(stream.clone(), rx));
    while let Ok((id, message)) = read_frame(&mut stream).await {
        let (replica, tx, network) = (replica.clone(), tx.clone(), network.clone());
        compio::runtime::spawn(async move {
            let Ok(response) = replica.handle(&message).await else { return };
            compio::time::sleep(network.delay).await;
            network.count(response.len());
            let _ = tx.unbounded_send((id, response));
        })
        .detach();
    }
}
