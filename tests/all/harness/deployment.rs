//! A deployment of real processes on loopback addresses.

use super::{
    Callers, Links, Process,
    limits::Permit,
    plan::{self, DomainLayout, EntryHost, Plan},
    until_ok, wait_for,
};
use crate::checker::{Departure, DepartureKind, Evidence, Proposal};
use cyclamenloft_http::{JsonClient, Token};
use cyclamenloft_operator::messages::{ApplyResponse, ShowResponse};
use cyclamenloft_peer::calls::StatusResponse;
use cyclamenloft_standin::journal::{self, Line};
use cyclamenloft_types::Result;
use std::{
    path::{Path, PathBuf},
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tempfile::TempDir;

/// The number of stand-ins that a deployment may start.
const MAX_STAND_INS: usize = 8;
/// The number of slots of each target in the tests' configurations.
const TARGET_SLOTS: usize = 8;

/// A running deployment. Dropping it kills its processes.
pub struct Deployment {
    pub controls: Vec<Process>,
    pub entries: Vec<Process>,
    pub hosts: Vec<EntryHost>,
    pub stand_ins: Vec<Process>,
    pub operators: JsonClient,
    /// The links between processes. They have no effect unless the deployment runs
    /// behind proxies.
    pub links: Links,
    plan: Plan,
    departures: Vec<Departure>,
    /// Dropped after the processes, so that their logs can still be printed.
    folder: TempDir,
    _permit: Permit,
}

impl Deployment {
    /// Starts control replicas and entry hosts. The voters of the config group are the
    /// first control replica of each domain or, if there is only one domain, all of its
    /// control replicas.
    pub fn start(domains: &[DomainLayout]) -> Self {
        Self::launch(domains, false, 0)
    }

    /// Like [`Deployment::start`], with a proxy on each link between two processes. `seed`
    /// determines which chunks the proxies delay as if they had been lost and resent.
    pub fn behind_proxies(domains: &[DomainLayout], seed: u64) -> Self {
        Self::launch(domains, true, seed)
    }

    fn launch(domains: &[DomainLayout], proxied: bool, seed: u64) -> Self {
        let count: usize = domains.iter().map(|d| usize::from(d.entries + d.controls)).sum();
        let permit = Permit::acquire(count + MAX_STAND_INS);
        let folder = TempDir::new().unwrap();
        let token = folder.path().join("token");
        std::fs::write(&token, "a-token-for-tests-only\n").unwrap();
        let links = Links::new(seed);
        let token = Token::from_file(&token).unwrap();
        let mut deployment = Self {
            controls: Vec::new(),
            entries: Vec::new(),
            hosts: Vec::new(),
            stand_ins: Vec::new(),
            operators: JsonClient::new(Some(token), Duration::from_secs(20)).unwrap(),
            plan: Plan::new(domains, folder.path(), proxied.then(|| links.clone())),
            links,
            departures: Vec::new(),
            folder,
            _permit: permit,
        };
        for (number, domain) in domains.iter().enumerate() {
            deployment.start_domain(number, domain);
        }
        deployment
    }

    fn start_domain(&mut self, number: usize, domain: &DomainLayout) {
        for control in 0..domain.controls {
            let (name, command) = self.plan.control(number, control);
            self.controls.push(Process::start(&name, self.folder.path(), command));
        }
        for entry in 0..domain.entries {
            let (name, command, host) = self.plan.entry(number, entry);
            self.entries.push(Process::start(&name, self.folder.path(), command));
            self.hosts.push(host);
        }
    }

    /// Waits until every entry host is ready and every group has a leader.
    ///
    /// # Panics
    ///
    /// Panics if a process has ended.
    pub async fn wait_until_all_ready(&mut self) {
        // A process with a wrong setting ends at once.
        compio::time::sleep(Duration::from_millis(100)).await;
        for process in self.controls.iter_mut().chain(&mut self.entries) {
            assert!(process.exit_status().is_none(), "{} ended:\n{}", process.name, process.log());
        }
        self.wait_until_ready(&self.hosts).await;
    }

    /// Waits until `hosts` and all control replicas of their domains are ready.
    pub async fn wait_until_ready(&self, hosts: &[EntryHost]) {
        for host in hosts {
            wait_for("all hosts to be ready", async || {
                let status = self.status(host).await;
                let expected = 1 + self.plan.controls_of(host.domain);
                status.is_ok_and(|all| all.len() == expected && all.iter().all(|s| s.ready))
            })
            .await;
        }
    }

    /// Returns the status of a host and of its domain's control replicas.
    pub async fn status(&self, host: &EntryHost) -> Result<Vec<StatusResponse>> {
        self.operators.get(host.operators, "/v1/status").await
    }

    /// Waits until a group has a leader, and returns the leader's process name.
    pub async fn leader(&self, host: &EntryHost, group: &str) -> String {
        until_ok("a leader", async || {
            let all = self.status(host).await?;
            let leads = |s: &&StatusResponse| {
                s.groups.iter().any(|g| &*g.group == group && &*g.role == "leader")
            };
            all.iter().find(leads).map(|s| s.host.to_string()).ok_or_else(|| {
                cyclamenloft_types::Error::new(
                    cyclamenloft_types::ErrorKind::NoQuorum,
                    format!("{all:?}"),
                )
            })
        })
        .await
    }

    /// Returns the control process with a name.
    pub fn control(&mut self, name: &str) -> &mut Process {
        self.controls.iter_mut().find(|p| p.name == name).unwrap()
    }

    /// Returns the names of a domain's control replicas and entry hosts.
    pub fn process_names(&self, domain: &str) -> Vec<String> {
        let prefix = format!("{domain}-");
        let all = self.controls.iter().chain(&self.entries).map(|p| p.name.clone());
        all.filter(|name| name.starts_with(&prefix)).collect()
    }

    /// Removes the files of a control process that has ended.
    pub fn wipe(&self, name: &str) {
        std::fs::remove_dir_all(self.folder.path().join(name)).unwrap();
    }

    /// Proposes a configuration with one file.
    pub async fn apply(&self, host: &EntryHost, number: u64, text: &str) -> Result<ApplyResponse> {
        self.propose(host, number, "test", text).await
    }

    /// Proposes a configuration with one file on behalf of `author`.
    pub async fn propose(
        &self,
        host: &EntryHost,
        number: u64,
        author: &str,
        text: &str,
    ) -> Result<ApplyResponse> {
        let req = plan::apply_request(number, author, text);
        self.operators.post_any_status(host.operators, "/v1/config", &req).await
    }

    /// Proposes configuration 1, retries until it is accepted and waits until it is
    /// active. A second call with the same content is a resend.
    pub async fn configure(&self, text: &str) -> Proposal {
        let first = self.hosts[0];
        let answer = until_ok("a configuration", async || self.apply(&first, 1, text).await).await;
        assert!(matches!(answer, ApplyResponse::Accepted(_)), "{answer:?}");
        self.wait_until_active(1).await;
        Proposal { number: 1, author: "test".into(), answers: vec![Ok(answer)] }
    }

    /// Waits until the configuration `number` is active at every entry host.
    pub async fn wait_until_active(&self, number: u64) {
        for host in &self.hosts {
            wait_for("the configuration to be in force", async || {
                let update: Result<ShowResponse> =
                    self.operators.get(host.operators, "/v1/config").await;
                update.is_ok_and(|u| u.number >= number)
            })
            .await;
        }
    }

    /// Starts a stand-in target in `domain` and returns its index in `stand_ins`.
    pub fn start_target(&mut self, domain: &str, service: &str, service_time: &str) -> usize {
        let number = self.stand_ins.len();
        let args = [
            ("service", service.to_owned()),
            ("listen", self.plan.target_addr(number).to_string()),
            ("service-time", service_time.to_owned()),
        ];
        self.start_stand_in("target", &format!("target-{number}"), domain, &args)
    }

    /// Starts a stand-in worker in `domain` and returns its index in `stand_ins`.
    pub fn start_worker(&mut self, domain: &str, name: &str, cores: u32) -> usize {
        self.start_worker_in_rack(domain, name, cores, "rack-1")
    }

    /// Like [`Deployment::start_worker`], in the rack `rack`.
    pub fn start_worker_in_rack(
        &mut self,
        domain: &str,
        name: &str,
        cores: u32,
        rack: &str,
    ) -> usize {
        let args = [("cores", cores.to_string()), ("rack", rack.to_owned())];
        self.start_stand_in("worker", name, domain, &args)
    }

    fn start_stand_in(
        &mut self,
        kind: &str,
        name: &str,
        domain: &str,
        args: &[(&str, String)],
    ) -> usize {
        let common = [
            ("name", name.to_owned()),
            ("domain", domain.to_owned()),
            ("platforms", self.plan.platforms(name, domain)),
            ("journal", self.journal(name).display().to_string()),
        ];
        let mut command = vec![env!("CARGO_BIN_EXE_cyclamenloft-standin").into(), kind.into()];
        plan::push_flags(&mut command, common.iter().chain(args));
        self.stand_ins.push(Process::start(name, self.folder.path(), command));
        self.stand_ins.len() - 1
    }

    /// Kills a stand-in and everything that it runs.
    pub fn kill_stand_in(&mut self, at: usize) {
        self.stand_ins[at].kill();
        self.record_departure(at, DepartureKind::Killed);
    }

    /// Suspends a stand-in.
    pub fn suspend_stand_in(&mut self, at: usize) {
        self.stand_ins[at].suspend();
        self.record_departure(at, DepartureKind::Suspended);
    }

    /// Asks a stand-in target to leave.
    pub fn stop_target(&mut self, at: usize) {
        self.stand_ins[at].terminate();
        self.record_departure(at, DepartureKind::Leaving);
    }

    fn record_departure(&mut self, at: usize, kind: DepartureKind) {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let who = self.stand_ins[at].name.clone().into();
        self.departures.push(Departure { who, at_us: since.as_micros() as u64, kind });
    }

    /// Returns the path of a stand-in's journal.
    pub fn journal(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("{name}.journal"))
    }

    /// Returns everything that the stand-ins have recorded so far, for the checker.
    pub fn evidence(&self) -> Evidence {
        let lines = self.stand_ins.iter().flat_map(|p| read_journal(&self.journal(&p.name)));
        Evidence::new(lines.collect(), self.departures.clone(), TARGET_SLOTS)
    }

    /// Stops the callers and returns the evidence with the outcomes of their requests.
    pub async fn evidence_with(&self, callers: Callers) -> Evidence {
        let traffic = callers.stop().await;
        self.evidence().with(traffic)
    }

    /// Returns the number of valid targets of a service that one entry host knows.
    pub async fn targets(&self, host: &EntryHost, service: &str) -> usize {
        let all = until_ok("status", async || self.status(host).await).await;
        let of_service = all.iter().flat_map(|s| &s.services).filter(|s| &*s.service == service);
        of_service.map(|s| s.targets).sum()
    }

    /// Waits until each of `hosts` knows exactly `count` targets of a service.
    pub async fn wait_for_targets(&self, hosts: &[EntryHost], service: &str, count: usize) {
        for host in hosts {
            let all = async || self.targets(host, service).await == count;
            wait_for("the targets", all).await;
        }
    }
}

/// Reads a stand-in's journal. The result is empty if the stand-in has not written a
/// journal yet.
pub fn read_journal(path: &Path) -> Vec<Line> {
    if path.exists() { journal::read(path).unwrap() } else { Vec::new() }
}
