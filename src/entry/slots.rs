//! Divides the targets' slots among the entry hosts of the domain. For each other entry
//! host, one task sends this host's slot messages and handles the answers.

use super::Entry;
use crate::settings::EntrySettings;
use cyclamenloft_caller::Gate;
use cyclamenloft_peer::{
    PeerClient,
    calls::{ExchangeSlots, ServiceSlots},
};
use cyclamenloft_routing::{
    RoutingPolicy, ServicePolicy,
    slots::{Envelope, LeaseConfig},
};
use cyclamenloft_types::{HostId, Result, ServiceName};
use futures_channel::mpsc;
use futures_util::StreamExt;
use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

/// The timeout of a call to another entry host. A message whose call times out is not
/// sent again, because the protocol tolerates the loss of any message.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);
/// The time between two checks for messages that are due.
const PERIOD: Duration = Duration::from_millis(20);
/// The maximum number of messages in one call.
const MAX_BATCH: usize = 512;
/// The longest deadline of a request on a leased slot. Requests with a longer deadline
/// use slots without a lease, because the leased slots of a failed host become free only
/// after the longest request on them could have ended.
const MAX_LEASED_REQUEST: Duration = Duration::from_secs(3);
/// The time for which a planned stop waits so that its last messages are sent.
const STOP_WAIT: Duration = Duration::from_millis(100);

/// Queues of messages to be sent, one for each other entry host.
#[derive(Default)]
pub(crate) struct Outboxes(RefCell<BTreeMap<HostId, mpsc::UnboundedSender<ServiceSlots>>>);

impl Outboxes {
    fn send(&self, service: &ServiceName, messages: impl IntoIterator<Item = Envelope>) {
        let outboxes = self.0.borrow();
        for Envelope { to, message } in messages {
            if let Some(tx) = outboxes.get(&to) {
                // The receiving task runs until the process ends.
                let _ = tx.unbounded_send(ServiceSlots { service: service.clone(), message });
            }
        }
    }
}

/// Creates the gate of a new service. It shares the targets' slots if the domain
/// has other entry hosts.
pub(super) fn new_gate(
    entry: &Entry,
    routing: RoutingPolicy,
    policy: ServicePolicy,
    now: Instant,
) -> Arc<Gate> {
    let longest_request = policy.deadline.min(MAX_LEASED_REQUEST);
    let gate = Gate::new(entry.host.clone(), entry.roster.clone(), routing, policy);
    if entry.roster.len() > 1 {
        let max_deadline = cyclamenloft_caller::attributes::MAX_DEADLINE;
        let config = LeaseConfig { longest_request, max_deadline, ..LeaseConfig::default() };
        gate.enable_leases(entry.incarnation, config, now);
    }
    gate
}

/// Starts one task for each other entry host, and one task that queues the messages that
/// are due.
pub(super) fn start(settings: &EntrySettings, entry: &Rc<Entry>) -> Result<()> {
    let client = PeerClient::new(settings.peer_token.clone(), EXCHANGE_TIMEOUT)?;
    for other in &settings.roster {
        let (tx, rx) = mpsc::unbounded();
        entry.slots.0.borrow_mut().insert(other.host.clone(), tx);
        let task = exchange(entry.clone(), client.clone(), other.addr, rx);
        compio::runtime::spawn(task).detach();
    }
    compio::runtime::spawn(send_due_messages(entry.clone())).detach();
    Ok(())
}

/// Handles messages from another entry host and returns the messages to send back to it.
/// A message never leads to messages to a third host.
pub(super) fn handle_messages(
    entry: &Entry,
    messages: Vec<ServiceSlots>,
    now: Instant,
) -> Vec<ServiceSlots> {
    let mut answers = Vec::new();
    for ServiceSlots { service, message } in messages {
        // A service that is not configured here yet has no slots to share.
        let Ok(gate) = entry.gates.get(&service) else { continue };
        let answer = |envelope: Envelope| ServiceSlots {
            service: service.clone(),
            message: envelope.message,
        };
        answers.extend(gate.handle_slot_message(message, now).into_iter().map(answer));
    }
    answers
}

/// Gives back this host's leased slots, so that the other hosts can use them at once.
pub(super) async fn stop(entry: &Entry) {
    for (service, gate) in entry.gates.all() {
        entry.slots.send(&service, gate.stop_leases(Instant::now()));
    }
    compio::time::sleep(STOP_WAIT).await;
}

async fn send_due_messages(entry: Rc<Entry>) {
    loop {
        compio::time::sleep(PERIOD).await;
        for (service, gate) in entry.gates.all() {
            entry.slots.send(&service, gate.slot_messages(Instant::now()));
        }
    }
}

async fn exchange(
    entry: Rc<Entry>,
    client: PeerClient,
    addr: SocketAddr,
    mut rx: mpsc::UnboundedReceiver<ServiceSlots>,
) {
    while let Some(first) = rx.next().await {
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH
            && let Ok(next) = rx.try_recv()
        {
            batch.push(next);
        }
        match client.call::<ExchangeSlots>(addr, &batch).await {
            // The messages in a response don't have to be responded to.
            Ok(answers) => drop(handle_messages(&entry, answers, Instant::now())),
            Err(e) => tracing::debug!(%addr, error = %e, "messages about slots lost"),
        }
    }
}
