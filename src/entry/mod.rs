//! The entry process: routes callers' requests on several threads, and serves
//! targets, workers, operators and peers on one more. It stores no files.

mod announcements;
mod homes;
mod keys;
mod operators;
mod peers;
mod platform;
mod services;
mod slots;
mod spill;

use crate::{
    control::follow_config,
    current_config::SharedActiveConfig,
    metrics::{self, Metrics},
    process,
    settings::EntrySettings,
};
use cyclamenloft_caller::{
    CallerHandler, CallerLimits, Forwarder, Gates, HopHandler, KeyCalls, Keys, OutcomeStore,
    OutcomeStoreLimits, Readiness, attributes::MAX_DEADLINE,
};
use cyclamenloft_http::{Limits, StopSignal, bind, serve, stop_pair};
use cyclamenloft_peer::{PeerClient, PeerSet, RpcService};
use cyclamenloft_routing::slots::Incarnation;
use cyclamenloft_target::{HostConnections, Pool, PoolLimits, Registry};
use cyclamenloft_types::{DomainName, Error, ErrorKind, HostId, Result};
use std::{
    cell::RefCell,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    thread::JoinHandle,
    time::{Duration, Instant},
};

/// The timeout of a call to a source of configurations. It exceeds the longest long poll.
const CALL_TIMEOUT: Duration = Duration::from_secs(35);
/// The timeout of a call, other than a long poll, to one control replica. It allows the next
/// replica to be tried when one became unreachable without closing its connections.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// The time between two checks for requests whose deadline has passed and for targets whose
/// announcement has expired.
const TICK: Duration = Duration::from_millis(10);
/// The time between two checks for idle connections to close.
const TRIM_PERIOD: Duration = Duration::from_secs(1);

/// The state that the tasks on the entry process's main thread share.
pub(crate) struct Entry {
    pub(crate) host: HostId,
    pub(crate) domain: DomainName,
    pub(crate) roster: Vec<HostId>,
    pub(crate) gates: Gates,
    pub(crate) readiness: Readiness,
    pub(crate) registry: RefCell<Registry>,
    pub(crate) active_config: SharedActiveConfig,
    /// The control replicas of the domain.
    pub(crate) control: PeerSet,
    /// The control replicas of the domain, called with a longer timeout for the long polls of
    /// workers that wait for orders.
    pub(crate) orders: PeerSet,
    /// The replicas of the config group.
    pub(crate) config_voters: PeerSet,
    pub(crate) announcements: announcements::AnnouncementSender,
    /// Announcements of other entry hosts that can't be used.
    pub(crate) skipped: announcements::SkippedAnnouncements,
    /// The other failure domains.
    pub(crate) remotes: Vec<homes::Remote>,
    /// Connections to targets, counted over all threads.
    pub(crate) connections: HostConnections,
    /// The outcomes of requests with idempotency keys.
    pub(crate) keys: Keys,
    /// A random number that distinguishes this run of the process from earlier ones.
    pub(crate) incarnation: Incarnation,
    /// The addresses at which entry hosts of other domains accept requests.
    pub(crate) remote_addresses: spill::RemoteAddresses,
    /// Queues of messages about slots to the other entry hosts of the domain.
    pub(crate) slots: slots::Outboxes,
}

/// Runs an entry process until `stop`, then drains it.
///
/// # Errors
///
/// Returns an error for a wrong setting or an address in use.
pub async fn run(settings: EntrySettings, stop: StopSignal) -> Result<()> {
    let callers = bind(settings.callers)?;
    let (platform, operators, peers) =
        (bind(settings.platform)?, bind(settings.operators)?, bind(settings.peers)?);
    let (entry, key_calls) = create(&settings)?;
    let entry = Rc::new(entry);
    keys::start(&settings, key_calls)?;
    slots::start(&settings, &entry)?;
    spill::start(&settings, &entry)?;

    let (mut callers_stop, callers_signal) = stop_pair();
    let (mut rest_stop, rest_signal) = stop_pair();
    let threads = start_callers(&settings, &entry, &callers, &callers_signal)?;
    drop(callers);
    let peers = start_listeners(&settings, &entry, [platform, operators, peers], &rest_signal)?;
    start_config(&settings, &entry)?;
    compio::runtime::spawn(services::rebuild_on_change(entry.clone())).detach();
    compio::runtime::spawn(tick(entry.clone())).detach();
    let metrics = Metrics::new("entry", settings.statsd)?;
    compio::runtime::spawn(send_metrics(entry.clone(), metrics)).detach();
    tracing::info!(host = %settings.host, callers = %settings.callers, "entry started");

    stop.stopped().await;
    tracing::info!(lame_duck = ?settings.lame_duck, "stopping: no longer ready");
    entry.readiness.set(false);
    compio::time::sleep(settings.lame_duck).await;
    callers_stop.stop();
    let drained = compio::runtime::spawn_blocking(move || join_all(threads)).await;
    peers.hops.drained(MAX_DEADLINE).await;
    slots::stop(&entry).await;
    rest_stop.stop();
    tracing::info!("entry stopped");
    drained.unwrap_or_else(|_| {
        Err(Error::new(ErrorKind::Internal, "the task that waits for the drain failed"))
    })
}

fn create(settings: &EntrySettings) -> Result<(Entry, KeyCalls)> {
    let remote_client = PeerClient::new(settings.peer_token.clone(), homes::REMOTE_HOST_TIMEOUT)?;
    let control_client = PeerClient::new(settings.peer_token.clone(), CONTROL_TIMEOUT)?;
    let orders_client = PeerClient::new(settings.peer_token.clone(), platform::ORDERS_TIMEOUT)?;
    let addrs = |list: &[crate::settings::raw::ReplicaAddr]| -> Vec<SocketAddr> {
        list.iter().map(|r| r.addr).collect()
    };
    let mut roster: Vec<HostId> = settings.roster.iter().map(|h| h.host.clone()).collect();
    roster.push(settings.host.clone());
    roster.sort();
    let memory = OutcomeStore::new(OutcomeStoreLimits::default(), Instant::now());
    let (keys, key_calls) = Keys::new(settings.host.clone(), roster.clone(), memory);
    let entry = Entry {
        host: settings.host.clone(),
        domain: settings.domain.clone(),
        roster,
        gates: Gates::default(),
        readiness: Readiness::default(),
        registry: RefCell::default(),
        active_config: SharedActiveConfig::default(),
        control: PeerSet::new(control_client.clone(), addrs(&settings.control)),
        orders: PeerSet::new(orders_client, addrs(&settings.control)),
        config_voters: PeerSet::new(control_client, addrs(&settings.config_voters)),
        skipped: announcements::SkippedAnnouncements::default(),
        announcements: announcements::AnnouncementSender::start(
            settings.peer_token.clone(),
            &settings.roster,
        )?,
        remotes: homes::remotes(&remote_client, &settings.remotes),
        // In addition to these threads, the main thread serves requests that other entry hosts hand
        // over.
        connections: HostConnections::new(settings.threads + 1),
        keys,
        incarnation: rand::random(),
        remote_addresses: spill::RemoteAddresses::default(),
        slots: slots::Outboxes::default(),
    };
    Ok((entry, key_calls))
}

/// Starts the threads that serve callers; each has a runtime of its own.
fn start_callers(
    settings: &EntrySettings,
    entry: &Entry,
    listener: &TcpListener,
    stop: &StopSignal,
) -> Result<Vec<JoinHandle<Result<()>>>> {
    let internal = |e: std::io::Error| Error::new(ErrorKind::Internal, format!("thread: {e}"));
    let mut threads = Vec::new();
    for number in 0..settings.threads {
        let listener = listener.try_clone().map_err(internal)?;
        let (gates, readiness, stop) = (entry.gates.clone(), entry.readiness.clone(), stop.clone());
        let (connections, keys) = (entry.connections.clone(), entry.keys.clone());
        let hops = spill::HopFactory::new(settings, entry);
        let thread = std::thread::Builder::new()
            .name(format!("callers-{number}"))
            .spawn(move || serve_callers(listener, gates, readiness, connections, keys, hops, stop))
            .map_err(internal)?;
        threads.push(thread);
    }
    Ok(threads)
}

fn serve_callers(
    listener: TcpListener,
    gates: Gates,
    readiness: Readiness,
    connections: HostConnections,
    keys: Keys,
    hops: spill::HopFactory,
    stop: StopSignal,
) -> Result<()> {
    process::runtime()?.block_on(async move {
        let pool = Pool::new(PoolLimits::default(), connections);
        compio::runtime::spawn(trim(pool.clone(), gates.clone())).detach();
        let limits = CallerLimits::default();
        // A planned stop waits for requests in flight, for at most the maximum duration of
        // a request.
        let server_limits = Limits { drain: MAX_DEADLINE, ..Limits::default() };
        let (client, rule) = hops.build(pool.clone(), gates.clone());
        let forwarder = Forwarder::new(gates, pool, keys, limits).with_hops(client, rule);
        let handler = Rc::new(CallerHandler::new(forwarder, readiness));
        serve(listener, server_limits, stop, handler).await
    })
}

fn join_all(threads: Vec<JoinHandle<Result<()>>>) -> Result<()> {
    let panicked = || Err(Error::new(ErrorKind::Internal, "a thread that serves callers panicked"));
    // Waits for every thread, even after one has failed.
    let ended: Vec<Result<()>> =
        threads.into_iter().map(|t| t.join().unwrap_or_else(|_| panicked())).collect();
    ended.into_iter().collect()
}

fn start_listeners(
    settings: &EntrySettings,
    entry: &Rc<Entry>,
    [platform, operators, peers]: [TcpListener; 3],
    stop: &StopSignal,
) -> Result<Rc<peers::PeersHandler>> {
    let limits = Limits { drain: Duration::from_secs(2), ..Limits::default() };
    let handler = Rc::new(platform::PlatformHandler(entry.clone()));
    compio::runtime::spawn(serve(platform, limits, stop.clone(), handler)).detach();
    let token = settings.operator_token.clone();
    let handler = Rc::new(operators::OperatorHandler { entry: entry.clone(), token });
    compio::runtime::spawn(serve(operators, limits, stop.clone(), handler)).detach();
    let rpc =
        RpcService::new(settings.peer_token.clone(), Rc::new(peers::EntryHandler(entry.clone())))?;
    let handler = Rc::new(peers::PeersHandler { rpc, hops: hop_handler(settings, entry) });
    compio::runtime::spawn(serve(peers, limits, stop.clone(), handler.clone())).detach();
    Ok(handler)
}

/// Creates the handler of requests that other entry hosts hand over. The handler runs on the
/// calling thread.
fn hop_handler(settings: &EntrySettings, entry: &Entry) -> HopHandler {
    let pool = Pool::new(PoolLimits::default(), entry.connections.clone());
    compio::runtime::spawn(trim(pool.clone(), entry.gates.clone())).detach();
    let (gates, keys) = (entry.gates.clone(), entry.keys.clone());
    let forwarder = Forwarder::new(gates, pool, keys, CallerLimits::default());
    HopHandler::new(forwarder, entry.readiness.clone(), settings.peer_token.clone())
}

/// Starts the tasks that update the active configuration, and the one that makes the host ready
/// once its active configuration is the newest that any reachable source has.
fn start_config(settings: &EntrySettings, entry: &Rc<Entry>) -> Result<()> {
    let client = PeerClient::new(settings.peer_token.clone(), CALL_TIMEOUT)?;
    let control = settings.control.iter().chain(&settings.config_voters).map(|r| r.addr);
    let mut sources: Vec<SocketAddr> =
        control.chain(settings.roster.iter().map(|h| h.addr)).collect();
    sources.sort();
    sources.dedup();
    for source in &sources {
        let task = follow_config(entry.active_config.clone(), client.clone(), *source);
        compio::runtime::spawn(task).detach();
    }
    compio::runtime::spawn(services::become_ready(entry.clone(), client, sources)).detach();
    Ok(())
}

async fn tick(entry: Rc<Entry>) {
    loop {
        compio::time::sleep(TICK).await;
        let now = Instant::now();
        for (_, gate) in entry.gates.all() {
            gate.tick(now);
        }
        entry.registry.borrow_mut().remove_expired(now);
        entry.keys.tick(now);
    }
}

async fn trim(pool: Pool, gates: Gates) {
    loop {
        compio::time::sleep(TRIM_PERIOD).await;
        let now = Instant::now();
        let live = gates.live(now);
        pool.trim(now, |addr| live.contains(&addr));
    }
}

async fn send_metrics(entry: Rc<Entry>, metrics: Metrics) {
    loop {
        let targets = entry.registry.borrow().valid(Instant::now()).count();
        metrics.gauge("targets", targets as u64);
        metrics.gauge("announcements.skipped", entry.skipped.count());
        let connections = entry.connections.totals();
        metrics.gauge("connections.made", connections.made);
        metrics.gauge("connections.failed", connections.failed);
        metrics.gauge("connections.busy", connections.busy);
        metrics.gauge("ready", u64::from(entry.readiness.is_ready()));
        metrics.gauge("config.number", entry.active_config.number());
        compio::time::sleep(metrics::PERIOD).await;
    }
}
