//! The caller path of an entry host, on one serving thread.

use crate::thread::ServingThread;
use cyclamenloft_caller::{
    CallerHandler, CallerLimits, Forwarder, Gate, Gates, Keys, OutcomeStore, OutcomeStoreLimits,
    Readiness,
};
use cyclamenloft_http::{Limits, serve, stop_pair};
use cyclamenloft_routing::{RoutingPolicy, ServicePolicy, TargetRecord};
use cyclamenloft_target::{HostConnections, Pool, PoolLimits};
use std::{
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

/// Lifetime of a target record, longer than any run.
const RECORD_LIFETIME: Duration = Duration::from_secs(3600);

/// Starts the caller path of an entry host.
pub fn start(targets: &[SocketAddr]) -> ServingThread {
    let targets = targets.to_vec();
    ServingThread::start("entry", move |listener| async move {
        let gate = gate(&targets);
        let gates = Gates::default();
        gates.set([("matchdesk".into(), gate.clone())]);
        compio::runtime::spawn(tick(gate)).detach();
        let pool = Pool::new(PoolLimits::default(), HostConnections::new(1));
        let memory = OutcomeStore::new(OutcomeStoreLimits::default(), Instant::now());
        let (keys, _calls) = Keys::new("entry-1".into(), ["entry-1".into()], memory);
        let readiness = Readiness::default();
        readiness.set(true);
        let forwarder = Forwarder::new(gates, pool, keys, CallerLimits::default());
        let handler = Rc::new(CallerHandler::new(forwarder, readiness));
        let (_handle, stop) = stop_pair();
        serve(listener, Limits::default(), stop, handler).await.unwrap();
    })
}

fn gate(targets: &[SocketAddr]) -> Arc<Gate> {
    let roster = vec!["entry-1".into()];
    let (routing, policy) = (RoutingPolicy::default(), ServicePolicy::default());
    let gate = Gate::new("entry-1".into(), roster, routing, policy);
    let now = Instant::now();
    for (number, addr) in targets.iter().enumerate() {
        let record = TargetRecord {
            id: format!("target-{number}").into(),
            addr: *addr,
            domain: "cascadia-sea".into(),
            sequence: 1,
            leaving: false,
            in_flight: 0,
            expires: now + RECORD_LIFETIME,
        };
        gate.announce(record, now);
    }
    gate
}

/// Ticks the gate at the interval of the entry process.
async fn tick(gate: Arc<Gate>) {
    loop {
        compio::time::sleep(Duration::from_millis(10)).await;
        gate.tick(Instant::now());
    }
}
