//! State shared by the threads of an entry host: the gates of all services and
//! the readiness of the host.

use crate::gate::Gate;
use cyclamenloft_types::{Error, ErrorKind, Result, ServiceName};
use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc, PoisonError, RwLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Instant,
};

/// The gates of all services, shared by the threads of an entry host.
#[derive(Clone, Default)]
pub struct Gates(Arc<RwLock<HashMap<ServiceName, Arc<Gate>>>>);

impl Gates {
    /// Returns the gate of a service.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::UnknownService`] naming the service.
    pub fn get(&self, service: &str) -> Result<Arc<Gate>> {
        let gates = self.0.read().unwrap_or_else(PoisonError::into_inner);
        gates.get(service).cloned().ok_or_else(|| {
            Error::new(ErrorKind::UnknownService, format!("no service {service:?} is configured"))
        })
    }

    /// Returns every gate with the name of its service.
    #[must_use]
    pub fn all(&self) -> Vec<(ServiceName, Arc<Gate>)> {
        let gates = self.0.read().unwrap_or_else(PoisonError::into_inner);
        gates.iter().map(|(name, gate)| (name.clone(), gate.clone())).collect()
    }

    /// Replaces the set of gates.
    pub fn set(&self, gates: impl IntoIterator<Item = (ServiceName, Arc<Gate>)>) {
        let mut present = self.0.write().unwrap_or_else(PoisonError::into_inner);
        *present = gates.into_iter().collect();
    }

    /// Returns the addresses of all targets that accept requests.
    #[must_use]
    pub fn live(&self, now: Instant) -> HashSet<SocketAddr> {
        let mut all = HashSet::new();
        for (_, gate) in self.all() {
            gate.add_live(now, &mut all);
        }
        all
    }
}

/// Whether the entry host accepts new connections.
#[derive(Clone, Debug, Default)]
pub struct Readiness(Arc<AtomicBool>);

impl Readiness {
    /// Sets whether the host is ready.
    pub fn set(&self, ready: bool) {
        self.0.store(ready, Ordering::Release);
    }

    /// Returns whether the host is ready.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}
