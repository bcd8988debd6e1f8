//! Keeping the gates in line with the configuration in force and with the
//! targets' announcements.

use super::{Entry, slots};
use crate::board::Next;
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

/// Longest wait for one source before the host becomes ready without it.
const READY_WAIT: Duration = Duration::from_millis(800);
/// Time for an announcement to come here through another entry host.
const SPREAD_MARGIN: Duration = Duration::from_millis(200);
/// Pause before the sources are asked again when none answered.
const READY_PAUSE: Duration = Duration::from_millis(100);

/// Rebuilds the gates whenever a configuration comes into force.
pub(super) async fn keep(entry: Rc<Entry>) {
    let mut number = 0;
    loop {
        number = entry.board.changed(number).await;
        rebuild(&entry);
    }
}

fn rebuild(entry: &Entry) {
    let checked = entry.board.checked();
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
    registry.valid(now).for_each(|announcement| tell_gate(entry, announcement, now));
}

/// Takes in an announcement that a target or another entry host sent. Returns
/// whether it was news.
pub(super) fn hear(entry: &Entry, announcement: &TargetAnnouncement, now: Instant) -> bool {
    let news = entry.registry.borrow_mut().update(announcement, now);
    if news {
        tell_gate(entry, announcement, now);
    }
    news
}

fn tell_gate(entry: &Entry, announcement: &TargetAnnouncement, now: Instant) {
    // Targets of a service that is not configured yet wait in the registry.
    if let Ok(gate) = entry.gates.get(&announcement.service) {
        gate.announce(announcement.record(now), now);
        if let Some(count) = announcement.in_flight_of(&entry.host) {
            gate.observe_own_in_flight(&announcement.target, count, now);
        }
    }
}

/// Makes the host ready once it has the highest configuration number that any
/// source that can be reached has in force, and has heard its targets.
pub(super) async fn become_ready(entry: Rc<Entry>, client: PeerClient, sources: Vec<SocketAddr>) {
    loop {
        let asked = sources.iter().map(|source| ask(&entry, &client, *source));
        let answered = join_all(asked).await.into_iter().filter(|ok| *ok).count();
        if answered > 0 {
            hear_targets(&entry).await;
            entry.readiness.set(true);
            tracing::info!(answered, number = entry.board.number(), "entry ready");
            return;
        }
        compio::time::sleep(READY_PAUSE).await;
    }
}

/// Waits until every living target has announced itself, where a service needs
/// any: a host that knows none refuses what its neighbours could answer.
async fn hear_targets(entry: &Entry) {
    if !entry.board.checked().deployment().services.is_empty() {
        compio::time::sleep(ANNOUNCE_PERIOD + SPREAD_MARGIN).await;
    }
}

/// Asks one source for its configuration at once. Returns whether it answered.
async fn ask(entry: &Entry, client: &PeerClient, source: SocketAddr) -> bool {
    let mut whole = false;
    loop {
        let params = WaitConfigParams { above: entry.board.number(), whole, wait_ms: 0 };
        let call = client.call::<WaitConfig>(source, &params);
        let Ok(Ok(update)) = compio::time::timeout(READY_WAIT, call).await else {
            return false;
        };
        if entry.board.offer(&update) == Next::Changes || whole {
            return true;
        }
        whole = true;
    }
}
