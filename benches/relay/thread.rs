//! A serving thread and its CPU time.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    sync::mpsc,
    time::Duration,
};

/// A thread that serves a loopback address.
pub struct ServingThread {
    pub addr: SocketAddr,
    /// The file in which the kernel reports the thread's CPU time.
    schedstat: PathBuf,
}

impl ServingThread {
    /// Runs `serve` on its own runtime, on a thread with this name.
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

    /// Returns the CPU time that the thread has used.
    pub fn cpu_time(&self) -> Duration {
        let text = std::fs::read_to_string(&self.schedstat).unwrap();
        Duration::from_nanos(text.split(' ').next().unwrap().parse().unwrap())
    }
}
