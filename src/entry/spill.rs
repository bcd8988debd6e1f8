//! Hands requests over to other domains. The expected waits at the entry hosts of
//! the other domains are read periodically, and a request that would wait longer
//! at this host is handed over to one of them.

use super::Entry;
use crate::settings::{EntrySettings, raw::RemoteDomain};
use cyclamenloft_caller::{Gates, Hop, HopClient, HopRule};
use cyclamenloft_http::Token;
use cyclamenloft_peer::{
    PeerClient,
    calls::{Empty, ReadWaits, ServiceWait},
};
use cyclamenloft_routing::{Refusal, RequestMeta};
use cyclamenloft_target::Pool;
use cyclamenloft_types::{ErrorKind, HostId, Result, ServiceName};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

/// The time between two reads of the expected waits at one host.
const PERIOD: Duration = Duration::from_millis(500);
/// The timeout of a read.
const TIMEOUT: Duration = Duration::from_secs(1);
/// The number of connections that a thread keeps to one other entry host.
const HOP_CONNECTIONS: u16 = 64;
/// The weight of a new measurement in the moving average of the network delay to
/// a host.
const DELAY_WEIGHT: f64 = 0.2;

/// The addresses of the hosts whose expected waits have been read, shared by all
/// threads.
#[derive(Clone, Debug, Default)]
struct Addresses(Arc<Mutex<BTreeMap<HostId, SocketAddr>>>);

impl Addresses {
    fn set(&self, host: &HostId, addr: SocketAddr) {
        let mut addresses = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        addresses.insert(host.clone(), addr);
    }

    fn get(&self, host: &str) -> Option<SocketAddr> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).get(host).copied()
    }
}

/// Creates a thread's [`HopClient`] and [`HopRule`] for other domains.
pub(super) struct HopFactory {
    host: HostId,
    token: Token,
    addresses: Addresses,
}

impl HopFactory {
    pub(super) fn new(settings: &EntrySettings, entry: &Entry) -> Self {
        Self {
            host: settings.host.clone(),
            token: settings.peer_token.clone(),
            addresses: entry.remote_addresses.0.clone(),
        }
    }

    /// Creates the `HopClient` and the `HopRule` for the calling thread.
    pub(super) fn build(self, pool: Pool, gates: Gates) -> (HopClient, Rc<dyn HopRule>) {
        let client = HopClient::new(self.host, self.token, pool, HOP_CONNECTIONS);
        (client, Rc::new(SpillRule { gates, addresses: self.addresses }))
    }
}

/// The entry process's handle to the addresses that its threads share.
#[derive(Clone, Debug, Default)]
pub(crate) struct RemoteAddresses(Addresses);

struct SpillRule {
    gates: Gates,
    addresses: Addresses,
}

impl HopRule for SpillRule {
    fn choose(
        &self,
        service: &ServiceName,
        meta: &RequestMeta,
        refusal: &Refusal,
        now: Instant,
    ) -> Option<Hop> {
        if !may_spill(refusal.kind) {
            return None;
        }
        let choice = self.gates.get(service).ok()?.spill(meta, now)?;
        let addr = self.addresses.get(&choice.host)?;
        tracing::info!(
            target: "cyclamenloft::decision",
            request = %meta.id,
            %service,
            host = %choice.host,
            domain = %choice.domain,
            reason = choice.reason,
            local_wait = ?choice.local_wait,
            remote_wait = ?choice.remote_wait,
            link_delay = ?choice.link_delay,
            "spill"
        );
        Some(Hop { host: choice.host, addr })
    }
}

/// Returns whether a request that is refused for this reason may go to another
/// domain.
fn may_spill(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::NoTarget | ErrorKind::Overloaded | ErrorKind::DeadlineTooShort)
}

/// Starts one task for each entry host of the other domains.
pub(super) fn start(settings: &EntrySettings, entry: &Rc<Entry>) -> Result<()> {
    let client = PeerClient::new(settings.peer_token.clone(), TIMEOUT)?;
    for RemoteDomain { entries, .. } in &settings.remotes {
        for addr in entries {
            let task = read_waits(entry.clone(), client.clone(), *addr);
            compio::runtime::spawn(task).detach();
        }
    }
    Ok(())
}

/// Returns how long requests of each service would wait at this host. Entry hosts of other
/// domains read this.
pub(super) fn waits(entry: &Entry) -> Vec<ServiceWait> {
    let wait = |(service, gate): (ServiceName, Arc<cyclamenloft_caller::Gate>)| ServiceWait {
        service,
        report: gate.wait_report(&entry.domain),
    };
    entry.gates.all().into_iter().map(wait).collect()
}

async fn read_waits(entry: Rc<Entry>, client: PeerClient, addr: SocketAddr) {
    let mut link_delay: Option<Duration> = None;
    loop {
        let sent_at = Instant::now();
        match client.call::<ReadWaits>(addr, &Empty {}).await {
            Ok(waits) => {
                let one_way = sent_at.elapsed() / 2;
                let previous = link_delay.unwrap_or(one_way);
                let delay = previous.mul_f64(1.0 - DELAY_WEIGHT) + one_way.mul_f64(DELAY_WEIGHT);
                link_delay = Some(delay);
                observe(&entry, addr, waits, delay);
            }
            Err(e) => tracing::debug!(%addr, error = %e, "waits of another domain not read"),
        }
        compio::time::sleep(PERIOD).await;
    }
}

fn observe(entry: &Entry, addr: SocketAddr, waits: Vec<ServiceWait>, delay: Duration) {
    // While spilling is disabled, no reports are recorded, and those recorded earlier soon
    // expire.
    if !entry.active_config.checked().deployment().spill.enabled {
        return;
    }
    for ServiceWait { service, report } in waits {
        entry.remote_addresses.0.set(&report.host, addr);
        if let Ok(gate) = entry.gates.get(&service) {
            gate.observe_remote(report, delay, Instant::now());
        }
    }
}
