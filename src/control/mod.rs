//! The control process: a replica of its domain's placement group and, if its settings say
//! so, of the config group. One thread owns all of its state.

mod config;
mod methods;
mod placement;
mod policy;

use crate::{
    current_config::SharedActiveConfig,
    metrics::{self, Metrics},
    settings::{ControlSettings, raw::ReplicaAddr},
};
use cyclamenloft_dispatch::notify::Notify;
use cyclamenloft_http::{JsonClient, Limits, StopSignal, bind, serve};
use cyclamenloft_operator::ConfigState;
use cyclamenloft_peer::{LogTransport, PeerClient, RpcService};
use cyclamenloft_placement::{PlacementState, Scheduler};
use cyclamenloft_replication::{Config, Member, MemberKind, Replica, StateMachine};
use cyclamenloft_types::{Error, HostId, ReplicaId, Result, TaskState};
use futures_util::future::{Either, select};
use std::{
    cell::{Cell, RefCell},
    path::Path,
    pin::pin,
    rc::Rc,
    time::Duration,
};

pub(crate) use config::follow_source as follow_config;

/// The name of the placement group on the wire.
pub const PLACEMENT_GROUP: &str = "placement";
/// The name of the config group on the wire.
pub const CONFIG_GROUP: &str = "config";

/// The timeout of a log message to another replica.
const LOG_TIMEOUT: Duration = Duration::from_secs(2);
/// The timeout of a call to another control process. It exceeds the longest
/// long poll for a configuration.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// The state that the tasks of a control process share.
pub(crate) struct Control {
    pub(crate) host: HostId,
    pub(crate) domain: Box<str>,
    pub(crate) placement: Replica<PlacementState>,
    pub(crate) config: Option<Replica<ConfigState>>,
    pub(crate) active_config: SharedActiveConfig,
    /// The scheduler; `None` unless this replica leads the placement group.
    pub(crate) scheduler: RefCell<Option<Scheduler>>,
    /// Notified when orders for workers may have been queued.
    pub(crate) orders_queued: Notify,
    /// Notified when a change of state may require a placement decision.
    pub(crate) state_changed: Notify,
    /// Whether decisions may use entries that are not durable yet.
    pub(crate) early_visibility: bool,
    /// Whether this replica has at some time caught up with its groups.
    pub(crate) caught_up: Cell<bool>,
}

/// Runs a control process until `stop`.
///
/// # Errors
///
/// Returns an error for a wrong setting, a damaged folder or one in use, or a
/// failing disk.
pub async fn run(settings: ControlSettings, stop: StopSignal) -> Result<()> {
    let listener = bind(settings.peers)?;
    let control = Rc::new(open(&settings).await?);
    let handler = Rc::new(methods::ControlHandler(control.clone()));
    let service = Rc::new(RpcService::new(settings.peer_token.clone(), handler)?);
    let calls = PeerClient::new(settings.peer_token.clone(), CALL_TIMEOUT)?;
    let sources = settings.config_voters.iter().map(|v| v.addr);
    config::start(&control, calls, sources.filter(|a| *a != settings.peers).collect());
    compio::runtime::spawn(placement::run_leader_loop(control.clone())).detach();
    let metrics = Metrics::new("control", settings.statsd)?;
    compio::runtime::spawn(send_metrics(control.clone(), metrics)).detach();
    tracing::info!(host = %settings.host, peers = %settings.peers, "control ready");

    let (mut serve_stop, serve_signal) = cyclamenloft_http::stop_pair();
    let limits = Limits { drain: Duration::from_secs(2), ..Limits::default() };
    let serving = compio::runtime::spawn(serve(listener, limits, serve_signal, service));
    let Some(()) = unless_failed(&control, stop.stopped()).await else {
        // After a failed write the process must not acknowledge anything, so it
        // ends at once.
        return Err(failure(&control).await);
    };
    // Leadership is transferred while the listener still answers the other
    // replicas.
    control.placement.shut_down().await;
    if let Some(config) = &control.config {
        config.shut_down().await;
    }
    serve_stop.stop();
    let served = serving.await;
    tracing::info!("control stopped");
    served.unwrap_or(Ok(()))
}

/// Waits for `work`. Returns `None` if a replica fails to access its files
/// first.
async fn unless_failed<T>(control: &Control, work: impl Future<Output = T>) -> Option<T> {
    match select(pin!(work), pin!(failure(control))).await {
        Either::Left((value, _)) => Some(value),
        Either::Right(_) => None,
    }
}

/// Waits until a replica fails to access its files, and returns the error.
async fn failure(control: &Control) -> Error {
    let placement = pin!(control.placement.failed());
    let Some(config) = &control.config else {
        return placement.await;
    };
    select(placement, pin!(config.failed())).await.factor_first().0
}

async fn open(settings: &ControlSettings) -> Result<Control> {
    let placement =
        open_group(settings, PLACEMENT_GROUP, settings.replica, &settings.placement).await?;
    let config = match settings.config_replica {
        Some(id) => Some(open_group(settings, CONFIG_GROUP, id, &settings.config_voters).await?),
        None => None,
    };
    Ok(Control {
        host: settings.host.clone(),
        domain: settings.domain.clone(),
        placement,
        config,
        active_config: SharedActiveConfig::default(),
        scheduler: RefCell::new(None),
        orders_queued: Notify::default(),
        state_changed: Notify::default(),
        early_visibility: settings.early_visibility,
        caught_up: Cell::new(false),
    })
}

async fn open_group<M: StateMachine + Default>(
    settings: &ControlSettings,
    group: &str,
    id: ReplicaId,
    replicas: &[ReplicaAddr],
) -> Result<Replica<M>> {
    let members: Vec<Member> =
        replicas.iter().map(|r| Member { id: r.id, kind: MemberKind::Voter }).collect();
    let folder = Path::new(&settings.data).join(group);
    let cfg = Config::new(group, id, members, folder).early_visibility(settings.early_visibility);
    let http = JsonClient::new(Some(settings.peer_token.clone()), LOG_TIMEOUT)?;
    let transport = LogTransport::new(http, group, replicas.iter().map(|r| (r.id, r.addr)));
    Replica::open(cfg, M::default(), transport).await
}

async fn send_metrics(control: Rc<Control>, metrics: Metrics) {
    loop {
        let (waiting, running) = control.placement.state(|state| {
            let running = state
                .jobs()
                .flat_map(|job| &job.tasks)
                .filter(|task| matches!(task.state, TaskState::Placed { .. }))
                .count();
            (state.waiting().count(), running)
        });
        metrics.gauge("tasks.waiting", waiting as u64);
        metrics.gauge("tasks.running", running as u64);
        metrics.gauge("log.committed", control.placement.status().committed);
        metrics.gauge("config.number", control.active_config.number());
        compio::time::sleep(metrics::PERIOD).await;
    }
}
