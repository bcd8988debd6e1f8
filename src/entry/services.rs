//! Keeps the gates up to date with the active configuration and with the targets'
//! announcements.

use super::{Entry, slots};
use crate::current_config::NextFetch;
use cyclamenloft_peer::{
    PeerClient,
    calls::{WaitConfig, WaitConfigParams},
};
use cyclamenloft_target::{TargetAnnouncement, announcement::ANNOUNCE_PERIOD};
use futures_util::future::join_all;
use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

/// The timeout of a call to a source of configurations, after which the host may become
/// ready without that source.
const READY_WAIT: Duration = Duration::from_millis(800);
/// The time that an announcement may take to arrive by way of another entry host.
const SPREAD_MARGIN: Duration = Duration::from_millis(200);
/// The pause before the sources are tried again after none answered.
const READY_PAUSE: Duration = Duration::from_millis(100);

/// Rebuilds the gates whenever a configuration becomes active.
pub(super) async fn rebuild_on_change(entry: Rc<Entry>) {
    let mut number = 0;
    loop {
        number = entry.active_config.changed(number).await;
        rebuild(&entry);
    }
}

fn rebuild(entry: &Entry) {
    let checked = entry.active_config.checked();
    let deployment = checked.deployment();
    let gates: Vec<_> = deployment
        .services
        .iter()
        .map(|(service, policy)| {
            let routing = deployment.routing.clone();
            let gate = entry.gates.get(service).unwrap_or_else(|_| {
                slots::new_gate(entry, routing.clone(), policy.clone(), Instant::now())
            });
            gate.set_policy(routing, policy.clone());
            (service.clone(), gate)
        })
        .collect();
    entry.gates.set(gates);
    let now = Instant::now();
    let registry = entry.registry.borrow();
    registry.valid(now).for_each(|announcement| update_gate(entry, announcement, now));
}

/// Processes an announcement from a target or another entry host. Returns whether
/// it was new.
pub(super) fn accept_announcement(
    entry: &Entry,
    announcement: &TargetAnnouncement,
    now: Instant,
) -> bool {
    let is_new = entry.registry.borrow_mut().update(announcement, now);
    if is_new {
        update_gate(entry, announcement, now);
    }
    is_new
}

fn update_gate(entry: &Entry, announcement: &TargetAnnouncement, now: Instant) {
    // Targets of a service that is not configured yet stay in the registry only.
    if let Ok(gate) = entry.gates.get(&announcement.service) {
        gate.announce(announcement.record(now), now);
        if let Some(count) = announcement.in_flight_of(&entry.host) {
            gate.observe_own_in_flight(&announcement.target, count, now);
        }
    }
}

/// Makes the host ready once its active configuration is the newest that any reachable
/// source has, and all live targets have had time to announce themselves.
pub(super) async fn become_ready(entry: Rc<Entry>, client: PeerClient, sources: Vec<SocketAddr>) {
    loop {
        let fetches = sources.iter().map(|source| fetch_config(&entry, &client, *source));
        let answered = join_all(fetches).await.into_iter().filter(|ok| *ok).count();
        if answered > 0 {
            wait_for_targets(&entry).await;
            entry.readiness.set(true);
            tracing::info!(answered, number = entry.active_config.number(), "entry ready");
            return;
        }
        compio::time::sleep(READY_PAUSE).await;
    }
}

/// Waits long enough for every live target to announce itself, if any service is
/// configured. A host that knows no targets would refuse requests that other entry hosts
/// could serve.
async fn wait_for_targets(entry: &Entry) {
    if !entry.active_config.checked().deployment().services.is_empty() {
        compio::time::sleep(ANNOUNCE_PERIOD + SPREAD_MARGIN).await;
    }
}

/// Fetches the active configuration of one source, without waiting for a newer one.
/// Returns whether the source answered.
async fn fetch_config(entry: &Entry, client: &PeerClient, source: SocketAddr) -> bool {
    let mut whole = false;
    loop {
        let params = WaitConfigParams { above: entry.active_config.number(), whole, wait_ms: 0 };
        let call = client.call::<WaitConfig>(source, &params);
        let Ok(Ok(update)) = compio::time::timeout(READY_WAIT, call).await else {
            return false;
        };
        if entry.active_config.offer(&update) == NextFetch::Changes || whole {
            return true;
        }
        whole = true;
    }
}
