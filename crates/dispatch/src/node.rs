//! One replica of the group: its listener for the system's own processes, its
//! part in the log, and the leader's work while it leads.

use crate::{
    advise, answer,
    ask::{ASK_PATH, Ask, LOG_PATH, MAX_ASK_BYTES, Reply, Standing, decode, encode},
    awake::Awake,
    lead::{self, Leadership},
    members,
    metrics::Metrics,
    notify::Notify,
    port::Port,
    transport::{LogMessages, Peers, replica_id},
    upkeep,
};
use cyclamenloft_http::{
    Request, Response, error_response, full, read_limited, server::Handler, text_response,
};
use cyclamenloft_placement::{
    submission::{Change, Outcome, RouteTable, SubmissionState, WorkerInfo, waves::Wave},
    time::Timestamp,
};
use cyclamenloft_replication::{Config, Member, MemberKind, Replica};
use cyclamenloft_types::{DomainName, Error, ErrorKind, HostId, ReplicaId, Result};
use http::StatusCode;
use std::{
    cell::RefCell,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    rc::Rc,
    time::{Duration, Instant},
};

/// Name of the group on the wire.
const GROUP: &str = "dispatch";
/// Time between heartbeats of the leader: thirty round trips between domains.
const HEARTBEAT: Duration = Duration::from_millis(150);
/// Shortest silence after which a follower seeks election. A capped processor
/// stands still for up to 100 ms, and a disk's sync may take tens.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(900);
/// Entries between two snapshots: about ten seconds of a site's load.
const SNAPSHOT_ENTRIES: u64 = 4_000;
/// Size of a segment of the log: the disks hold 128 MB.
const SEGMENT_BYTES: u64 = 4 << 20;

/// Longest lease that is granted. A lasting task of a worker that has crashed
/// runs elsewhere only once its lease is over, for which the users give nine
/// seconds; cuts of six seconds should cost no run.
const LONGEST_LEASE: Duration = Duration::from_millis(7_000);

/// Longest wait for the leader when a worker's words are passed on: workers call
/// another replica after a second.
const PASS_ON: Duration = Duration::from_millis(700);

/// Settings of a replica.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of this host.
    pub host: HostId,
    /// Failure domain of this host.
    pub domain: DomainName,
    /// Address of this host.
    pub ip: Ipv4Addr,
    /// Port of the system's own processes, the same on every host.
    pub peer_port: u16,
    /// Hosts that form the group when the system starts for the first time.
    pub seeds: Vec<Ipv4Addr>,
    /// Whether the system starts for the first time.
    pub first_start: bool,
    /// Folder of the log.
    pub folder: PathBuf,
    /// Longest lease that a worker keeps.
    pub longest_lease: Duration,
    /// How long a submission that is over is remembered.
    pub remember: Duration,
    /// How long a machine is down for its upkeep.
    pub maintenance: Duration,
}

/// One replica and what its tasks share.
pub struct Node<P: Port> {
    pub(crate) settings: NodeSettings,
    pub(crate) replica: Replica<SubmissionState>,
    pub(crate) peers: Rc<Peers>,
    pub(crate) port: P,
    pub(crate) leadership: RefCell<Option<Rc<Leadership>>>,
    /// Whether this host was suspended.
    pub(crate) awake: Awake,
    /// Tells that a decision may follow from a change.
    pub(crate) due: Notify,
    /// Counters and histograms.
    pub metrics: Rc<Metrics>,
}

impl<P: Port> Node<P> {
    /// Opens the replica and starts its tasks.
    ///
    /// # Errors
    ///
    /// A wrong setting, or a folder that is damaged or in use.
    pub async fn open(
        mut settings: NodeSettings,
        port: P,
        metrics: Rc<Metrics>,
    ) -> Result<Rc<Self>> {
        settings.longest_lease = settings.longest_lease.min(LONGEST_LEASE);
        let me = replica_id(settings.ip);
        let seeds = settings.seeds.iter().map(|ip| replica_id(*ip));
        let initial: Vec<Member> = seeds.map(|id| Member { id, kind: MemberKind::Voter }).collect();
        let forms = settings.first_start && initial.iter().any(|m| m.id == me);
        let cfg = Config::new(GROUP, me, initial, settings.folder.clone())
            .heartbeat(HEARTBEAT)
            .election_timeout(ELECTION_TIMEOUT)
            .snapshot_entries(SNAPSHOT_ENTRIES)
            .segment_bytes(SEGMENT_BYTES)
            .may_form(forms);
        let peers = Rc::new(Peers::new(settings.peer_port));
        let replica =
            Replica::open(cfg, SubmissionState::default(), LogMessages(peers.clone())).await?;
        let node = Rc::new(Self {
            settings,
            replica,
            peers,
            port,
            leadership: RefCell::new(None),
            awake: Awake::default(),
            due: Notify::default(),
            metrics,
        });
        compio::runtime::spawn(lead::run(node.clone())).detach();
        compio::runtime::spawn(advise::run(node.clone())).detach();
        compio::runtime::spawn(upkeep::run(node.clone())).detach();
        compio::runtime::spawn(members::join(node.clone())).detach();
        Ok(node)
    }

    /// Whether this replica surely leads.
    #[must_use]
    pub fn leads(&self) -> bool {
        self.leading().is_some()
    }

    /// What this replica knows as the leader, while it surely leads.
    pub(crate) fn leading(&self) -> Option<Rc<Leadership>> {
        let leads = self.awake.check() && self.replica.leads(Instant::now());
        leads.then(|| self.leadership.borrow().clone())?
    }

    /// The leader's address, where one is known that isn't this host.
    #[must_use]
    pub fn other_leader(&self) -> Option<Ipv4Addr> {
        let leader = self.replica.status().leader?;
        crate::transport::replica_ip(leader).filter(|ip| *ip != self.settings.ip)
    }

    /// Where the group stands, as this replica sees it.
    #[must_use]
    pub fn standing(&self) -> Standing {
        let status = self.replica.status();
        Standing {
            leader: status.leader,
            leads: self.leads(),
            term: status.term,
            members: status.members.iter().map(|m| m.id).collect(),
            domain: self.settings.domain.clone(),
            configured: self.replica.state(|s| s.routes().number),
        }
    }

    /// Looks at the state of this replica.
    pub fn state<R>(&self, look: impl FnOnce(&SubmissionState) -> R) -> R {
        self.replica.state(look)
    }

    /// Puts a configuration in force, unless one with its number or a higher
    /// one is.
    ///
    /// # Errors
    ///
    /// Those of a proposal to the group.
    pub async fn configure(&self, routes: RouteTable) -> Result<()> {
        let (number, queues) = (routes.number, routes.queues.len());
        let before = self.state(|s| s.routes().number);
        self.propose(Change::Configure(routes)).await?;
        let outcome = if number > before { "in-force" } else { "already-newer" };
        tracing::info!(decision = "configure", number, before, queues, outcome);
        self.metrics.count("configure", outcome);
        self.due.notify();
        Ok(())
    }

    /// The newest configuration, as surely no newer one was accepted anywhere.
    ///
    /// # Errors
    ///
    /// Those of a proposal to the group.
    pub async fn newest_routes(&self) -> Result<RouteTable> {
        // A committed entry shows that no other leader was elected meanwhile,
        // also where this host was suspended and its clocks stood still.
        self.propose(Change::Barrier).await?;
        Ok(self.state(|s| s.routes().clone()))
    }

    /// Takes what a worker says of itself. Once this returns, the group knows:
    /// what is new is agreed on, by way of the leader where another replica
    /// leads.
    ///
    /// # Errors
    ///
    /// `Conflict` for a report of a life that a newer one has replaced, or
    /// those of a proposal to the group.
    pub async fn report(&self, worker: WorkerInfo) -> Result<()> {
        let (outdated, known) = self.state(|s| {
            let known = s.newest_incarnation(&worker.id).map(|(_, life)| {
                let w = &life.worker;
                w.started_ms == worker.started_ms && *w == w.updated(&worker)
            });
            (s.is_outdated(&worker.id, worker.started_ms), known == Some(true))
        });
        if outdated {
            let detail = format!("worker {}: a newer life is known", worker.id);
            return Err(Error::new(ErrorKind::Conflict, detail));
        }
        if known {
            return Ok(());
        }
        if !self.leads() {
            return self.pass_on(Ask::Report(worker)).await;
        }
        let (id, born_ms, draining) = (worker.id.clone(), worker.started_ms, worker.draining);
        let capacity = worker.capacity;
        self.propose(Change::Register(worker)).await?;
        tracing::info!(decision = "worker", worker = %id, born_ms, draining, capacity = %capacity, outcome = "registered");
        self.metrics.count("worker", if draining { "draining" } else { "registered" });
        self.due.notify();
        Ok(())
    }

    /// Takes the farewell of a worker: no new work, and its runs are over once
    /// it is out of reach.
    ///
    /// # Errors
    ///
    /// Those of a proposal to the group.
    pub async fn farewell(&self, id: &str) -> Result<()> {
        if !self.leads() {
            return self.pass_on(Ask::Farewell(id.into())).await;
        }
        let life = self.state(|s| s.newest_incarnation(id).map(|(_, life)| life.worker.clone()));
        match life {
            Some(worker) => {
                self.report(WorkerInfo { draining: true, leaving: true, ..worker }).await
            }
            None => Ok(()),
        }
    }

    /// Hands a worker's words to the leader.
    async fn pass_on(&self, ask: Ask) -> Result<()> {
        let no_leader = || Error::new(ErrorKind::NoQuorum, "no leader is known");
        let me = own_id(self);
        let leader = self.replica.status().leader.filter(|id| *id != me).ok_or_else(no_leader)?;
        match self.peers.ask(leader, &ask, Instant::now() + PASS_ON).await {
            Ok(Reply::Done) => Ok(()),
            Ok(Reply::Outdated) => {
                Err(Error::new(ErrorKind::Conflict, "a newer life of the worker is known"))
            }
            Ok(Reply::NotLeader(_)) => Err(no_leader()),
            Err(e) if e.kind == ErrorKind::NotReached => Err(no_leader()),
            Ok(_) => Err(Error::new(ErrorKind::ChangeUnknown, "the leader is not sure")),
            Err(e) => Err(Error::new(ErrorKind::ChangeUnknown, e.detail)),
        }
    }

    /// Takes a wave of upkeep; one that is known changes nothing.
    ///
    /// # Errors
    ///
    /// Those of a proposal to the group.
    pub async fn start_wave(&self, wave: Wave) -> Result<()> {
        let (number, machines, cap) = (wave.number, wave.machines.len(), wave.cap);
        let deadline_ms = wave.deadline_ms;
        self.propose(Change::Wave(wave)).await?;
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

    /// Proposes a change and notes how long the group took.
    pub(crate) async fn propose(&self, change: Change) -> Result<Outcome> {
        let began = Instant::now();
        let outcome = self.replica.propose(change).await;
        self.metrics.time("commit", began.elapsed());
        if let Err(e) = &outcome {
            self.metrics.count("commit", e.info().code);
        }
        outcome
    }

    /// Waits until this replica's files fail.
    pub async fn failed(&self) -> Error {
        self.replica.failed().await
    }

    /// Hands leadership over and releases the folder.
    pub async fn shut_down(&self) {
        self.leadership.replace(None);
        self.replica.shut_down().await;
    }
}

/// Answers the system's own processes.
pub struct PeerHandler<P: Port>(pub Rc<Node<P>>);

impl<P: Port> Handler for PeerHandler<P> {
    async fn handle(&self, req: Request, _remote: SocketAddr) -> Response {
        let path: Box<str> = req.uri().path().into();
        let answered = match read_limited(req.into_body(), MAX_ASK_BYTES).await {
            Ok(body) => match &*path {
                LOG_PATH => self.0.replica.handle(&body).await,
                ASK_PATH => self.ask(&body).await,
                _ => return text_response(StatusCode::NOT_FOUND, "no such path"),
            },
            Err(e) => Err(e),
        };
        match answered {
            Ok(bytes) => Response::new(full(bytes)),
            Err(e) => error_response(&e),
        }
    }
}

impl<P: Port> PeerHandler<P> {
    async fn ask(&self, body: &[u8]) -> Result<Vec<u8>> {
        let ask: Ask = decode(body)?;
        encode(&answer::answer(&self.0, ask).await)
    }
}

/// The wall clock, in milliseconds since 1970.
pub fn wall_ms() -> u64 {
    fail::fail_point!("wall-clock", |step: Option<String>| {
        // A test moves the clock by this many milliseconds.
        let step = step.and_then(|s| s.parse().ok()).unwrap_or(0);
        Timestamp::now().unix_ms().saturating_add_signed(step)
    });
    Timestamp::now().unix_ms()
}

/// The id of this replica's host.
pub(crate) fn own_id<P: Port>(node: &Node<P>) -> ReplicaId {
    replica_id(node.settings.ip)
}
