//! A serving thread and the processor time that it has used.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    sync::mpsc,
    time::Duration,
};

/// A thread that serves an address.
pub struct Serving {
    pub addr: SocketAddr,
    /// Where the kernel counts the thread's processor time.
    schedstat: PathBuf,
}

impl Serving {
    /// Runs `serve` on a runtime of its own, on a thread with this name.
    pub fn start<F: Future<Output = ()>>(
        name: &str,
        serve: impl FnOnce(TcpListener) -> F + Send + 'static,
    ) -> Self {
        let listener = cyclamenloft_http::bind((Ipv4Addr::LOCALHOST, 0).into()).unwrap();
        let addr = listener.local_addr().unwrap();
        let (tx, rx) = mpsc::channel();
        let thread = std::thread::Builder::new().name(name.into());
        let body = move || {
            let link = std::fs::read_link("/proc/thread-self").unwrap();
            tx.send(PathBuf::from("/proc").join(link).join("schedstat")).unwrap();
            cyclamenloft::process::runtime().unwrap().block_on(serve(listener));
        };
        thread.spawn(body).unwrap();
        Self { addr, schedstat: rx.recv().unwrap() }
    }

    /// Processor time that the thread has used.
    pub fn cpu(&self) -> Duration {
        let text = std::fs::read_to_string(&self.schedstat).unwrap();
        Duration::from_nanos(text.split(' ').next().unwrap().parse().unwrap())
    }
}
