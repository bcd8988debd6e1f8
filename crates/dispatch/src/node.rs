//! One replica of the group: its listener for the other processes of the
//! system, its replicated log, and the leader's tasks, which act while it leads.

use crate::{
    advise,
    leader::{self, Leadership},
    load::Load,
    maintenance, members,
    metrics::Metrics,
    notify::Notify,
    port::Port,
    protocol::{
        ASK_PATH, GroupStatus, LOG_PATH, MAX_REQUEST_BYTES, PeerRequest, PeerResponse, decode,
        encode,
    },
    relay,
    reports::{self, ReportStore},
    requests,
    run_log::{self, RunLog},
    suspension::SuspensionDetector,
    transport::{LogTransport, Peers, replica_id},
};
use cyclamenloft_http::{
    Content, Request, Response, error_response, full, server::Handler, text_response,
};
use cyclamenloft_placement::{
    submission::{
        Command, CommandResult, IncarnationId, ReportBound, ReportStamp, RouteTable,
        SubmissionState, WorkerInfo, WorkerReport,
        load_policy::LoadPolicy,
        waves::{Wave, WaveNumber},
    },
    time::Timestamp,
};
use cyclamenloft_replication::{Config, Member, MemberKind, Replica};
use cyclamenloft_types::{DomainName, Error, ErrorKind, HostId, LogIndex, ReplicaId, Result};
use http::StatusCode;
use std::{
    cell::RefCell,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    rc::{Rc, Weak},
    time::{Duration, Instant},
};

/// Name of the group on the wire.
const GROUP: &str = "dispatch";
/// Time between two heartbeats of the leader: thirty round trips between failure domains.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);
/// Shortest time without a heartbeat after which a follower starts an election.
/// A process with a CPU quota can be throttled for up to 100 ms, and an fsync
/// can take tens of milliseconds.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(900);
/// Number of log entries between two snapshots: about ten seconds of a site's load.
const SNAPSHOT_ENTRIES: u64 = 4_000;
/// Size of a log segment. The disk of a replica holds 128 MB.
const SEGMENT_BYTES: u64 = 4 << 20;

/// Number of copies of a submission while it is committed: decoded, and encoded as a command.
const COMMITTED_COPIES: usize = 2;

/// Longest lease that is granted. A long-running task of a crashed worker is
/// restarted elsewhere only after its lease has expired, and users require the
/// restart within nine seconds. Network partitions of six seconds should not
/// end any run.
pub(crate) const MAX_LEASE: Duration = Duration::from_millis(7_000);

/// Settings of a replica.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of this host.
    pub host: HostId,
    /// Failure domain of this host.
    pub domain: DomainName,
    /// Address of this host.
    pub ip: Ipv4Addr,
    /// Port for calls between processes of the system, the same on every host.
    pub peer_port: u16,
    /// Hosts that form the group when the system starts for the first time.
    pub seeds: Vec<Ipv4Addr>,
    /// Whether the system starts for the first time.
    pub first_start: bool,
    /// Folder of the log.
    pub folder: PathBuf,
    /// Longest lease that a worker accepts.
    pub longest_lease: Duration,
    /// How long the state of an ended submission is kept.
    pub retention: Duration,
    /// How long a machine is down during its maintenance.
    pub maintenance: Duration,
    /// How long a voter may be unresponsive before a learner that has caught up replaces it.
    pub replacement_delay: Duration,
    /// Number of disks that may be lost at once without a loss of state.
    pub tolerated_losses: usize,
    /// How long a start may rely on a capacity that a worker has reported; `None` means without
    /// a limit.
    pub report_bound: Option<ReportBound>,
    /// Time after the acknowledgment of an evacuation from which no task may start in the
    /// domain. `None` sets no deadline for starts.
    pub evacuation_bound: Option<Duration>,
    /// Which parts of the handling of overload are switched on.
    pub load_policy: LoadPolicy,
    /// Size of the log entries between two snapshots, in bytes.
    pub snapshot_bytes: usize,
    /// Maximum memory that the submissions may take at each replica, in bytes, by the estimate of
    /// [`kept_bytes`](cyclamenloft_placement::submission::kept::kept_bytes).
    pub kept_bytes: usize,
}

/// One replica and the state that its tasks share.
pub struct Node<P: Port> {
    pub(crate) settings: NodeSettings,
    pub(crate) replica: Replica<SubmissionState>,
    pub(crate) peers: Rc<Peers>,
    pub(crate) port: P,
    pub(crate) leadership: RefCell<Option<Rc<Leadership>>>,
    /// Detects suspensions of this host.
    pub(crate) suspension: SuspensionDetector,
    /// Calls workers for the leader.
    pub(crate) agent: relay::Agent<P>,
    /// Signals a change that may require a new decision.
    pub(crate) decision_due: Notify,
    /// Counters and histograms.
    pub metrics: Rc<Metrics>,
    /// How busy this replica is as the leader.
    pub(crate) load: Load,
    /// Log lines about runs.
    pub(crate) run_log: RunLog,
    /// The newest reports of workers.
    pub(crate) reports: ReportStore,
}

impl<P: Port> Node<P> {
    /// Opens the replica and starts its tasks.
    ///
    /// # Errors
    ///
    /// A setting is invalid, or the folder is damaged or in use.
    pub async fn open(settings: NodeSettings, port: P, metrics: Rc<Metrics>) -> Result<Rc<Self>> {
        let me = replica_id(settings.ip);
        let seeds = settings.seeds.iter().map(|ip| replica_id(*ip));
        let initial: Vec<Member> = seeds.map(|id| Member { id, kind: MemberKind::Voter }).collect();
        let forms_group = settings.first_start && initial.iter().any(|m| m.id == me);
        let cfg = Config::new(GROUP, me, initial, settings.folder.clone())
            .heartbeat(HEARTBEAT_INTERVAL)
            .election_timeout(ELECTION_TIMEOUT)
            .snapshot_entries(SNAPSHOT_ENTRIES)
            .snapshot_bytes(settings.snapshot_bytes)
            .segment_bytes(SEGMENT_BYTES)
            .may_form(forms_group);
        let peers = Rc::new(Peers::new(settings.peer_port));
        let replica =
            Replica::open(cfg, SubmissionState::default(), LogTransport(peers.clone())).await?;
        let node = Rc::new(Self {
            settings,
            replica,
            peers,
            port,
            leadership: RefCell::new(None),
            suspension: SuspensionDetector::default(),
            agent: relay::Agent::default(),
            decision_due: Notify::default(),
            metrics,
            load: Load::default(),
            run_log: RunLog::default(),
            reports: ReportStore::default(),
        });
        compio::runtime::spawn(flush_run_log(Rc::downgrade(&node))).detach();
        compio::runtime::spawn(leader::run(node.clone())).detach();
        compio::runtime::spawn(advise::run(node.clone())).detach();
        compio::runtime::spawn(maintenance::run(node.clone())).detach();
        compio::runtime::spawn(members::join(node.clone())).detach();
        compio::runtime::spawn(members::maintain(node.clone())).detach();
        compio::runtime::spawn(leader::housekeep(node.clone())).detach();
        compio::runtime::spawn(leader::settle_starts(node.clone())).detach();
        compio::runtime::spawn(leader::measure_lag(Rc::downgrade(&node))).detach();
        if node.settings.report_bound.is_some() {
            compio::runtime::spawn(reports::send(Rc::downgrade(&node))).detach();
        }
        Ok(node)
    }

    /// Returns whether this replica is certain to be the leader.
    #[must_use]
    pub fn leads(&self) -> bool {
        self.leading().is_some()
    }

    /// Returns the leader's state while this replica is certain to be the leader.
    pub(crate) fn leading(&self) -> Option<Rc<Leadership>> {
        let leads = self.suspension.update_and_check() && self.replica.leads(Instant::now());
        leads.then(|| self.leadership.borrow().clone())?
    }

    /// Returns the status of the group as this replica sees it.
    #[must_use]
    pub fn group_status(&self) -> GroupStatus {
        let status = self.replica.status();
        GroupStatus {
            leader: status.leader,
            leads: self.leads(),
            term: status.term,
            members: status.members.iter().map(|m| m.id).collect(),
            domain: self.settings.domain.clone(),
            configured: self.replica.state(|s| s.routes().number),
        }
    }

    /// Calls `read` with the state of this replica.
    pub fn state<R>(&self, read: impl FnOnce(&SubmissionState) -> R) -> R {
        self.replica.state(read)
    }

    /// Makes a configuration active unless the active one has the same or a higher
    /// number. Like the other changes and reads of workers and operators, it may be asked of
    /// any replica and takes at most until `until`.
    ///
    /// # Errors
    ///
    /// Those of [`Self::carry_out`], and `BadRequest` if the configuration is too large.
    pub async fn configure(&self, routes: RouteTable, until: Instant) -> Result<()> {
        let number = routes.number;
        let is_active = |s: &SubmissionState| s.routes().number >= number;
        self.change(&PeerRequest::Configure(routes), is_active, until).await
    }

    /// Commits a configuration as the leader.
    pub(crate) async fn commit_routes(&self, routes: RouteTable) -> Result<()> {
        let (number, queues) = (routes.number, routes.queues.len());
        let before = self.state(|s| s.routes().number);
        self.propose(Command::Configure(routes)).await?;
        let outcome = if number > before { "in-force" } else { "already-newer" };
        tracing::info!(decision = "configure", number, before, queues, outcome);
        self.metrics.count("configure", outcome);
        self.decision_due.notify();
        Ok(())
    }

    /// Returns the newest configuration that any replica has accepted.
    ///
    /// # Errors
    ///
    /// Those of [`Self::carry_out`].
    pub async fn newest_routes(&self, until: Instant) -> Result<RouteTable> {
        self.catch_up(until).await?;
        Ok(self.state(|s| s.routes().clone()))
    }

    /// Returns whether all maintenance of a wave is done, or `None` if the wave is unknown.
    ///
    /// # Errors
    ///
    /// Those of [`Self::carry_out`].
    pub async fn is_wave_complete(
        &self,
        number: WaveNumber,
        until: Instant,
    ) -> Result<Option<bool>> {
        self.catch_up(until).await?;
        Ok(self.state(|s| s.wave(number).map(Wave::is_complete)))
    }

    /// Commits an entry as the leader and returns its index or a later one.
    pub(crate) async fn read_index(&self) -> Result<LogIndex> {
        // A committed entry proves that no other leader has been elected in the
        // meantime, even if this host was suspended and its clocks had stopped.
        self.propose(Command::Barrier).await?;
        Ok(self.replica.status().applied)
    }

    /// Waits until this replica has applied every change that was acknowledged before the
    /// call.
    pub(crate) async fn catch_up(&self, until: Instant) -> Result<()> {
        let response = self.carry_out(&PeerRequest::ReadIndex, |_| false, until).await?;
        let PeerResponse::ReadIndex(index) = response else {
            return Err(unexpected_response(&response));
        };
        loop {
            let applied = self.replica.status().applied;
            if applied >= index {
                return Ok(());
            }
            let changed = self.replica.changed(applied);
            if compio::time::timeout_at(until, changed).await.is_err() {
                let detail = format!("applied up to entry {applied}, the group is at {index}");
                return Err(Error::new(ErrorKind::NoQuorum, detail));
            }
        }
    }

    /// Carries out a change.
    pub(crate) async fn change(
        &self,
        req: &PeerRequest,
        is_done: impl Fn(&SubmissionState) -> bool,
        until: Instant,
    ) -> Result<()> {
        match self.carry_out(req, is_done, until).await? {
            PeerResponse::Done => Ok(()),
            PeerResponse::Outdated => {
                Err(Error::new(ErrorKind::Conflict, "a newer incarnation of the worker is known"))
            }
            PeerResponse::Invalid(detail) => Err(Error::new(ErrorKind::BadRequest, detail)),
            other => Err(unexpected_response(&other)),
        }
    }

    /// Records a worker's report about itself. When this returns, everything new in the
    /// report has been committed, and the leader knows the age of the report if it limits it.
    /// Without a `stamp` the age of the report isn't known, and the report doesn't count as new.
    ///
    /// # Errors
    ///
    /// `Conflict` for a report of an incarnation that a newer one has replaced, or those of
    /// [`Self::carry_out`].
    pub async fn report(
        &self,
        report: WorkerReport,
        stamp: Option<ReportStamp>,
        until: Instant,
    ) -> Result<()> {
        self.check_newest(&report.worker)?;
        let req = PeerRequest::Report(report.clone());
        self.change(&req, |s| s.reflects(&report), until).await?;
        match stamp {
            Some(stamp) => reports::deliver(self, &report.worker.service, stamp, until).await,
            None => Ok(()),
        }
    }

    fn check_newest(&self, worker: &WorkerInfo) -> Result<()> {
        if self.state(|s| s.is_outdated(&worker.id, worker.started_ms)) {
            let detail = format!("worker {}: a newer incarnation is known", worker.id);
            return Err(Error::new(ErrorKind::Conflict, detail));
        }
        Ok(())
    }

    /// Checks that a report can be one of the worker that it names.
    fn check_own(&self, worker: &WorkerInfo) -> Result<()> {
        match self.state(|s| s.find_foreign(worker)) {
            None => Ok(()),
            Some(foreign) => {
                self.metrics.count("worker", "foreign-report");
                let (id, service) = (&worker.id, &worker.service);
                let detail = format!("report of worker {id} in service {service}: ");
                Err(Error::new(ErrorKind::BadRequest, detail + foreign.detail()))
            }
        }
    }

    /// Commits a worker's report as the leader.
    pub(crate) async fn register(&self, report: WorkerReport) -> Result<()> {
        self.check_newest(&report.worker)?;
        self.check_own(&report.worker)?;
        if self.state(|s| s.reflects(&report)) {
            return Ok(());
        }
        let WorkerReport { worker, sequence } = report.clone();
        let (replaced, known, is_return) = self.state(|s| {
            let replaced = s.replaced_by(&worker);
            let replaced: Vec<_> =
                replaced.map(|(id, i)| (id, i.worker.clone(), i.runs.len())).collect();
            let known = s.newest_incarnation(&worker.id).map(|(_, i)| i.worker.started_ms);
            let is_return = s.is_return(&worker.id, worker.started_ms);
            (replaced, known == Some(worker.started_ms), is_return)
        });
        self.record_crashes(replaced.iter().map(|(id, ..)| *id), &worker).await?;
        if let CommandResult::GivenUp(given_up) = self.propose(Command::Report(report)).await? {
            leader::log_given_up(self, &given_up);
        }
        for (life, former, runs) in replaced {
            let WorkerInfo { id, started_ms, draining, leaving, .. } = &former;
            tracing::info!(
                decision = "worker", worker = %id, life, runs, born_ms = started_ms, draining,
                leaving, successor = %worker.id, successor_born_ms = worker.started_ms,
                successor_service = %worker.service,
                reason = former.shared_with(&worker).unwrap_or_default(), outcome = "replaced"
            );
            self.metrics.count("worker", "replaced");
            self.metrics.count_many("worker", "runs-lost", runs as u64);
        }
        let WorkerInfo { id, started_ms, draining, capacity, .. } = worker;
        let outcome = match (draining, known) {
            (true, _) => "draining",
            (false, true) => "changed",
            (false, false) if is_return => "returned",
            (false, false) => "registered",
        };
        tracing::info!(
            decision = "worker", worker = %id, born_ms = started_ms, draining, sequence,
            capacity = %capacity, outcome
        );
        self.metrics.count("worker", outcome);
        self.decision_due.notify();
        Ok(())
    }

    /// Commits what is known of incarnations that have ended because `successor` runs in their
    /// place.
    async fn record_crashes(
        &self,
        ids: impl IntoIterator<Item = IncarnationId>,
        successor: &WorkerInfo,
    ) -> Result<()> {
        let Some(leadership) = self.leadership.borrow().clone() else { return Ok(()) };
        let silences = self.state(|s| {
            let mut fleet = leadership.fleet.borrow_mut();
            let (now, wall_ms) = (Instant::now(), wall_ms());
            let starts = fleet.hold_back(s, successor, now, wall_ms);
            if starts > 0 {
                tracing::info!(event = "starts-held-back", worker = %successor.id, starts);
                self.metrics.count_many("worker", "starts-held-back", starts as u64);
            }
            ids.into_iter()
                .filter_map(|id| fleet.take_replaced(s, id, successor, now, wall_ms))
                .collect()
        });
        leader::commit_silences(self, silences).await
    }

    /// Records that a worker is shutting down: it gets no new work, and its runs
    /// count as ended once it is unreachable.
    ///
    /// # Errors
    ///
    /// Those of [`Self::carry_out`].
    pub async fn deregister(&self, id: &str, until: Instant) -> Result<()> {
        let is_leaving = |s: &SubmissionState| {
            s.newest_incarnation(id).is_some_and(|(_, incarnation)| incarnation.worker.leaving)
        };
        self.change(&PeerRequest::Farewell(id.into()), is_leaving, until).await
    }

    /// Commits, as the leader, that a worker is shutting down.
    pub(crate) async fn register_leaving(&self, id: &str) -> Result<()> {
        let incarnation = self
            .state(|s| s.newest_incarnation(id).map(|(_, incarnation)| incarnation.worker.clone()));
        match incarnation {
            // The announcement doesn't name the life, and a worker drains before it exits.
            Some(worker) if !worker.draining => {
                tracing::info!(event = "exit-not-expected", worker = %id);
                self.metrics.count("worker", "exit-not-expected");
                Ok(())
            }
            Some(worker) => {
                let worker = WorkerInfo { draining: true, leaving: true, ..worker };
                // The rest is no news, and a report may change it in the meantime.
                self.register(WorkerReport { worker, sequence: 0 }).await
            }
            None => Ok(()),
        }
    }

    /// Starts a maintenance wave. Has no effect if the wave is already known.
    ///
    /// # Errors
    ///
    /// Those of [`Self::carry_out`].
    pub async fn start_wave(&self, wave: Wave, until: Instant) -> Result<()> {
        let number = wave.number;
        let is_known = |s: &SubmissionState| s.wave(number).is_some();
        self.change(&PeerRequest::StartWave(wave), is_known, until).await
    }

    /// Commits a maintenance wave as the leader.
    pub(crate) async fn commit_wave(&self, wave: Wave) -> Result<()> {
        let (number, machines, cap) = (wave.number, wave.machines.len(), wave.cap);
        let deadline_ms = wave.deadline_ms;
        self.propose(Command::Wave(wave)).await?;
        tracing::info!(
            decision = "wave",
            wave = number,
            machines,
            cap,
            deadline_ms,
            outcome = "taken"
        );
        self.metrics.count("wave", "taken");
        Ok(())
    }

    /// Proposes a command and records how long the commit took.
    pub(crate) async fn propose(&self, command: Command) -> Result<CommandResult> {
        let began = Instant::now();
        let outcome = self.replica.propose(command).await;
        self.metrics.time("commit", began.elapsed());
        if let Err(e) = &outcome {
            self.metrics.count("commit", e.info().code);
        }
        outcome
    }

    /// Waits until this replica fails to access its files.
    pub async fn failed(&self) -> Error {
        self.replica.failed().await
    }

    /// Transfers leadership and releases the folder.
    pub async fn shut_down(&self) {
        self.leadership.replace(None);
        self.replica.shut_down().await;
        self.run_log.flush();
    }
}

async fn flush_run_log<P: Port>(node: Weak<Node<P>>) {
    while let Some(node) = node.upgrade() {
        node.run_log.flush();
        drop(node);
        compio::time::sleep(run_log::MAX_DELAY).await;
    }
}

/// Handles requests of other processes of the system.
pub struct PeerHandler<P: Port>(pub Rc<Node<P>>);

impl<P: Port> Handler for PeerHandler<P> {
    async fn handle(&self, req: Request, _remote: SocketAddr) -> Response {
        let path: Box<str> = req.uri().path().into();
        let result = match req.into_body().read(MAX_REQUEST_BYTES).await {
            Ok(body) => match &*path {
                LOG_PATH => self.0.replica.handle(&body).await,
                ASK_PATH => self.handle_request(body).await,
                _ => return text_response(StatusCode::NOT_FOUND, "no such path"),
            },
            Err(e) => Err(e),
        };
        match result {
            Ok(bytes) => Response::new(full(bytes)),
            Err(e) => error_response(&e),
        }
    }
}

impl<P: Port> PeerHandler<P> {
    async fn handle_request(&self, body: Content) -> Result<Vec<u8>> {
        let req = decode(&body)?;
        // The decoded request is kept until the answer, the body isn't.
        let claim = body.into_claim();
        if let PeerRequest::Submit { draft, .. } = &req {
            claim.resize(COMMITTED_COPIES * draft.held_bytes(), Instant::now())?;
        }
        let response = match req {
            PeerRequest::Relay(req) => relay::handle(&self.0, req).await,
            req => requests::handle_request(&self.0, req).await,
        };
        encode(&response)
    }
}

fn unexpected_response(response: &PeerResponse) -> Error {
    Error::new(ErrorKind::ChangeUnknown, format!("unexpected response of the leader: {response:?}"))
}

/// Returns the wall-clock time, in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    fail::fail_point!("wall-clock", |step: Option<String>| {
        // Tests shift the clock by this many milliseconds.
        let step = step.and_then(|s| s.parse().ok()).unwrap_or(0);
        Timestamp::now().unix_ms().saturating_add_signed(step)
    });
    Timestamp::now().unix_ms()
}

/// Returns the id of this replica, which is derived from its host's address.
pub(crate) fn own_id<P: Port>(node: &Node<P>) -> ReplicaId {
    replica_id(node.settings.ip)
}
