//! Targets that respond at once with a fixed body.

use crate::thread::ServingThread;
use bytes::Bytes;
use cyclamenloft_http::{Handler, Limits, Request, Response, full, serve, stop_pair};
use std::{
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
};

/// Size of a response body.
pub const ANSWER_BYTES: usize = 512;
/// Number of threads over which the targets are spread.
const THREAD_COUNT: usize = 2;

struct FixedResponse(Bytes);

impl Handler for FixedResponse {
    async fn handle(&self, _req: Request, _remote: SocketAddr) -> Response {
        Response::new(full(self.0.clone()))
    }
}

/// Starts the targets and returns their addresses.
pub fn start(count: usize) -> Vec<SocketAddr> {
    let mut addrs = Vec::new();
    for _ in 0..THREAD_COUNT {
        let mut listeners: Vec<_> = (1..count / THREAD_COUNT)
            .map(|_| cyclamenloft_http::bind((Ipv4Addr::LOCALHOST, 0).into()).unwrap())
            .collect();
        addrs.extend(listeners.iter().map(|l| l.local_addr().unwrap()));
        let serving = ServingThread::start("target", move |first| async move {
            listeners.push(first);
            let (_handle, stop) = stop_pair();
            for listener in listeners {
                let handler = Rc::new(FixedResponse(Bytes::from_static(&[b'x'; ANSWER_BYTES])));
                let serving = serve(listener, Limits::default(), stop.clone(), handler);
                compio::runtime::spawn(serving).detach();
            }
            std::future::pending::<()>().await;
        });
        addrs.push(serving.addr);
    }
    addrs
}
