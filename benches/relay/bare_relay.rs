//! The bare relay, the baseline: it sends each request to the next target over an idle
//! connection and returns the response unchanged.

use crate::thread::ServingThread;
use compio::{net::TcpStream, runtime::spawn};
use cyper_core::HyperStream;
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{SendRequest, handshake},
    server::conn::http1,
    service::service_fn,
};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

struct Relay {
    targets: Vec<SocketAddr>,
    idle: Vec<RefCell<Vec<SendRequest<Incoming>>>>,
    next: Cell<usize>,
}

/// Starts the relay.
pub fn start(targets: &[SocketAddr]) -> ServingThread {
    let targets = targets.to_vec();
    ServingThread::start("relay", move |listener| async move {
        let idle = targets.iter().map(|_| RefCell::default()).collect();
        let relay = Rc::new(Relay { targets, idle, next: Cell::new(0) });
        let listener = compio::net::TcpListener::from_std(listener).unwrap();
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            stream.set_nodelay(true).unwrap();
            spawn(serve(stream, relay.clone())).detach();
        }
    })
}

async fn serve(stream: TcpStream, relay: Rc<Relay>) {
    let service = service_fn(move |req| {
        let relay = relay.clone();
        async move { relay.forward(req).await }
    });
    // The connection ends with an error when the caller closes it.
    let _ = http1::Builder::new().serve_connection(HyperStream::new_plain(stream), service).await;
}

impl Relay {
    async fn forward(&self, req: Request<Incoming>) -> Result<Response<Incoming>, hyper::Error> {
        let at = self.next.get();
        self.next.set((at + 1) % self.targets.len());
        let idle = self.idle[at].borrow_mut().pop();
        let mut sender = match idle {
            Some(sender) if sender.is_ready() => sender,
            _ => connect(self.targets[at]).await?,
        };
        let response = sender.send_request(req).await?;
        // The response is short, so the connection is ready by the time of its next use.
        self.idle[at].borrow_mut().push(sender);
        Ok(response)
    }
}

async fn connect(addr: SocketAddr) -> Result<SendRequest<Incoming>, hyper::Error> {
    let stream = TcpStream::connect(addr).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let (sender, connection) = handshake(HyperStream::new_plain(stream)).await?;
    spawn(async move {
        let _ = connection.await;
    })
    .detach();
    Ok(sender)
}
