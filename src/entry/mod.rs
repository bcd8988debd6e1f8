//! The entry process: routes callers' requests on several threads, and on one
//! more hears targets, workers, operators and peers. It keeps no files.

mod homes;
mod keys;
mod operators;
mod peers;
mod platform;
mod services;
mod slots;
mod spill;
mod spread;

use crate::{
    board::ConfigBoard,
    control::follow_config,
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

/// Longest wait for an answer to a call; above the longest long poll.
const CALL_TIMEOUT: Duration = Duration::from_secs(35);
/// Longest wait for one control replica's answer to a call that is no long
/// poll. A replica may be cut off without a sign, and then the next is asked.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two looks at deadlines and expired announcements.
const TICK: Duration = Duration::from_millis(10);
/// Time between two rounds of closing idle connections.
const TRIM_PERIOD: Duration = Duration::from_secs(1);

/// What the tasks of the entry process's own thread share.
pub(crate) struct Entry {
    pub(crate) host: HostId,
    pub(crate) domain: DomainName,
    pub(crate) roster: Vec<HostId>,
    pub(crate) gates: Gates,
    pub(crate) readiness: Readiness,
    pub(crate) registry: RefCell<Registry>,
    pub(crate) board: ConfigBoard,
    /// The control replicas of the domain.
    pub(crate) control: PeerSet,
    /// The same, for workers that wait for orders.
    pub(crate) orders: PeerSet,
    /// The replicas of the config group.
    pub(crate) config_voters: PeerSet,
    pub(crate) spread: spread::Spread,
    /// The other failure domains.
    pub(crate) remotes: Vec<homes::Remote>,
    /// Connections to targets, counted over the threads that serve callers.
    pub(crate) connections: HostConnections,
    /// What became of requests with idempotency keys.
    pub(crate) keys: Keys,
    /// This life of the process, told apart from every earlier one.
    pub(crate) incarnation: Incarnation,
    /// Where entry hosts of other domains take requests.
    pub(crate) remote_addresses: spill::RemoteAddresses,
    /// Messages about slots on their way to the other entry hosts of the domain.
    pub(crate) slots: slots::Outboxes,
}

/// Runs an entry process until `stop`, then drains it.
///
/// # Errors
///
/// A wrong setting or an address in use.
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
    compio::runtime::spawn(services::keep(entry.clone())).detach();
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
    drained.unwrap_or_else(|_| Err(Error::new(ErrorKind::Internal, "drain did not end")))
}

fn create(settings: &EntrySettings) -> Result<(Entry, KeyCalls)> {
    let away = PeerClient::new(settings.peer_token.clone(), homes::AWAY_TIMEOUT)?;
    let to_control = PeerClient::new(settings.peer_token.clone(), CONTROL_TIMEOUT)?;
    let for_orders = PeerClient::new(settings.peer_token.clone(), platform::ORDERS_TIMEOUT)?;
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
        board: ConfigBoard::default(),
        control: PeerSet::new(to_control.clone(), addrs(&settings.control)),
        orders: PeerSet::new(for_orders, addrs(&settings.control)),
        config_voters: PeerSet::new(to_control, addrs(&settings.config_voters)),
        spread: spread::Spread::start(settings.peer_token.clone(), &settings.roster)?,
        remotes: homes::remotes(&away, &settings.remotes),
        // One thread more takes requests from other entry hosts.
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
        let hops = spill::Hops::new(settings, entry);
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
    hops: spill::Hops,
    stop: StopSignal,
) -> Result<()> {
    process::runtime()?.block_on(async move {
        let pool = Pool::new(PoolLimits::default(), connections);
        compio::runtime::spawn(trim(pool.clone(), gates.clone())).detach();
        let limits = CallerLimits::default();
        // A planned stop waits as long as any request may take.
        let listening = Limits { drain: MAX_DEADLINE, ..Limits::default() };
        let (client, rule) = hops.on_this_thread(pool.clone(), gates.clone());
        let forwarder = Forwarder::new(gates, pool, keys, limits).with_hops(client, rule);
        let handler = Rc::new(CallerHandler::new(forwarder, readiness));
        serve(listener, listening, stop, handler).await
    })
}

fn join_all(threads: Vec<JoinHandle<Result<()>>>) -> Result<()> {
    let died = || Err(Error::new(ErrorKind::Internal, "a thread that serves callers panicked"));
    // Every thread is waited for, also after one has failed.
    let ended: Vec<Result<()>> =
        threads.into_iter().map(|t| t.join().unwrap_or_else(|_| died())).collect();
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
    let handler = Rc::new(peers::PeersHandler { rpc, hops: take_hops(settings, entry) });
    compio::runtime::spawn(serve(peers, limits, stop.clone(), handler.clone())).detach();
    Ok(handler)
}

/// Takes requests that other entry hosts hand over, on this thread.
fn take_hops(settings: &EntrySettings, entry: &Entry) -> HopHandler {
    let pool = Pool::new(PoolLimits::default(), entry.connections.clone());
    compio::runtime::spawn(trim(pool.clone(), entry.gates.clone())).detach();
    let (gates, keys) = (entry.gates.clone(), entry.keys.clone());
    let forwarder = Forwarder::new(gates, pool, keys, CallerLimits::default());
    HopHandler::new(forwarder, entry.readiness.clone(), settings.peer_token.clone())
}

/// Starts the tasks that feed the configuration board, and the one that makes
/// the host ready once it has the highest number that any reachable source has.
fn start_config(settings: &EntrySettings, entry: &Rc<Entry>) -> Result<()> {
    let client = PeerClient::new(settings.peer_token.clone(), CALL_TIMEOUT)?;
    let control = settings.control.iter().chain(&settings.config_voters).map(|r| r.addr);
    let mut sources: Vec<SocketAddr> =
        control.chain(settings.roster.iter().map(|h| h.addr)).collect();
    sources.sort();
    sources.dedup();
    for source in &sources {
        let task = follow_config(entry.board.clone(), client.clone(), *source);
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
        let connections = entry.connections.totals();
        metrics.gauge("connections.made", connections.made);
        metrics.gauge("connections.failed", connections.failed);
        metrics.gauge("connections.busy", connections.busy);
        metrics.gauge("ready", u64::from(entry.readiness.is_ready()));
        metrics.gauge("config.number", entry.board.number());
        compio::time::sleep(metrics::PERIOD).await;
    }
}
