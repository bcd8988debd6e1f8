//! A deployment of real processes on loopback addresses.

use super::{Process, until_ok, wait_for};
use cyclamenloft_http::{JsonClient, Token};
use cyclamenloft_operator::{
    ConfigFile,
    messages::{ApplyAnswer, ApplyRequest, ShowAnswer},
};
use cyclamenloft_peer::calls::StatusAnswer;
use cyclamenloft_types::Result;
use std::{
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::atomic::{AtomicU8, Ordering},
    time::Duration,
};
use tempfile::TempDir;

const CALLERS: u16 = 7000;
const PLATFORM: u16 = 7001;
const OPERATORS: u16 = 7002;
const PEERS: u16 = 7003;
const CONTROL: u16 = 7004;
const TARGET: u16 = 8000;

/// Tells deployments of one test run apart.
static NEXT: AtomicU8 = AtomicU8::new(0);

/// What a failure domain has.
#[derive(Clone, Copy)]
pub struct DomainLayout {
    pub name: &'static str,
    pub entries: u8,
    pub controls: u8,
}

/// An entry host's addresses.
#[derive(Clone, Copy)]
pub struct EntryHost {
    pub callers: SocketAddr,
    pub platform: SocketAddr,
    pub operators: SocketAddr,
}

/// A running deployment. Dropping it kills its processes.
pub struct Deployment {
    pub controls: Vec<Process>,
    pub entries: Vec<Process>,
    pub hosts: Vec<EntryHost>,
    pub stand_ins: Vec<Process>,
    pub operators: JsonClient,
    net: [u8; 2],
    /// Dropped last, so that the processes' logs can still be shown.
    folder: TempDir,
}

impl Deployment {
    /// Starts control replicas and entry hosts. The first control replica of
    /// each domain, or all of a single domain, vote in the config group.
    pub fn start(domains: &[DomainLayout]) -> Self {
        let folder = TempDir::new().unwrap();
        let token = folder.path().join("token");
        std::fs::write(&token, "a-token-for-tests-only\n").unwrap();
        let net = [1 + (std::process::id() % 250) as u8, NEXT.fetch_add(1, Ordering::Relaxed)];
        let operators =
            JsonClient::new(Some(Token::from_file(&token).unwrap()), Duration::from_secs(20));
        let mut deployment = Self {
            folder,
            controls: Vec::new(),
            entries: Vec::new(),
            hosts: Vec::new(),
            stand_ins: Vec::new(),
            operators: operators.unwrap(),
            net,
        };
        for (number, domain) in domains.iter().enumerate() {
            deployment.start_domain(number as u8, domain, domains);
        }
        deployment
    }

    /// Waits until every entry host is ready and every group has a leader.
    ///
    /// # Panics
    ///
    /// Where a process has ended.
    pub async fn ready(&mut self) {
        // A process with a wrong setting ends at once.
        compio::time::sleep(Duration::from_millis(100)).await;
        for process in self.controls.iter_mut().chain(&mut self.entries) {
            assert!(process.ended().is_none(), "{} ended:\n{}", process.name, process.log());
        }
        wait_for("all hosts to be ready", async || {
            for host in &self.hosts {
                let status = self.status(host).await;
                if !status.is_ok_and(|all| all.len() > 1 && all.iter().all(|s| s.ready)) {
                    return false;
                }
            }
            true
        })
        .await;
    }

    /// The standing of a host and of its domain's control replicas.
    pub async fn status(&self, host: &EntryHost) -> Result<Vec<StatusAnswer>> {
        self.operators.get(host.operators, "/v1/status").await
    }

    /// Has a configuration of one file accepted.
    pub async fn apply(&self, host: &EntryHost, number: u64, text: &str) -> Result<ApplyAnswer> {
        let files = vec![ConfigFile { name: "10-test.toml".into(), text: text.into() }];
        let req = ApplyRequest { number, author: "test".into(), files };
        self.operators.post_decided(host.operators, "/v1/config", &req).await
    }

    /// Waits until a configuration is in force at every entry host.
    pub async fn in_force(&self, number: u64) {
        for host in &self.hosts {
            wait_for("the configuration to be in force", async || {
                let update: Result<ShowAnswer> =
                    self.operators.get(host.operators, "/v1/config").await;
                update.is_ok_and(|u| u.number >= number)
            })
            .await;
        }
    }

    /// Starts a stand-in target in `domain`; returns its position in `stand_ins`.
    pub fn start_target(&mut self, domain: &str, service: &str, service_time: &str) -> usize {
        let number = self.stand_ins.len();
        let listen = SocketAddr::from((self.ip(200), TARGET + number as u16));
        let name = format!("target-{number}");
        let args = [
            ("service", service.to_owned()),
            ("listen", listen.to_string()),
            ("service-time", service_time.to_owned()),
        ];
        self.start_stand_in("target", &name, domain, &args)
    }

    /// Starts a stand-in worker in `domain`; returns its position in `stand_ins`.
    pub fn start_worker(&mut self, domain: &str, name: &str, cores: u32) -> usize {
        self.start_stand_in("worker", name, domain, &[("cores", cores.to_string())])
    }

    /// The journal that a stand-in writes.
    pub fn journal(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("{name}.journal"))
    }

    /// The number of valid targets of a service at one host.
    pub async fn targets(&self, host: &EntryHost, service: &str) -> usize {
        let all = until_ok("status", async || self.status(host).await).await;
        let of_service = all.iter().flat_map(|s| &s.services).filter(|s| &*s.service == service);
        of_service.map(|s| s.targets).sum()
    }

    fn start_stand_in(
        &mut self,
        kind: &str,
        name: &str,
        domain: &str,
        args: &[(&str, String)],
    ) -> usize {
        let platforms: Vec<String> = self.hosts.iter().map(|h| h.platform.to_string()).collect();
        let journal = self.journal(name);
        let mut command = vec![env!("CARGO_BIN_EXE_cyclamenloft-standin").into(), kind.into()];
        let common = [
            ("name", name.to_owned()),
            ("domain", domain.to_owned()),
            ("platforms", platforms.join(",")),
            ("journal", journal.display().to_string()),
        ];
        push_flags(&mut command, common.iter().chain(args));
        self.stand_ins.push(Process::start(name, self.folder.path(), command));
        self.stand_ins.len() - 1
    }

    fn start_domain(&mut self, number: u8, domain: &DomainLayout, all: &[DomainLayout]) {
        let placement = self.replica_list((0..domain.controls).map(|c| (number, c)));
        let voters = self.config_voters(all);
        for control in 0..domain.controls {
            let name = format!("{}-control-{}", domain.name, control + 1);
            let peers = SocketAddr::from((self.control_ip(number, control), CONTROL));
            let config_replica = voters
                .iter()
                .position(|addr| *addr == peers)
                .map(|position| (position + 1).to_string());
            let mut args = self.common_args(&name, domain.name, peers, &voters);
            args.push(("replica", (control + 1).to_string()));
            args.push(("placement", placement.clone()));
            args.push(("data", self.folder.path().join(&name).display().to_string()));
            args.extend(config_replica.map(|id| ("config-replica", id)));
            let mut command = vec![env!("CARGO_BIN_EXE_cyclamenloft-control").into()];
            push_flags(&mut command, args.iter());
            self.controls.push(Process::start(&name, self.folder.path(), command));
        }
        for entry in 0..domain.entries {
            let remotes = self.remotes(number, all);
            self.start_entry(number, entry, domain, [&placement, &remotes], &voters);
        }
    }

    fn start_entry(
        &mut self,
        number: u8,
        entry: u8,
        domain: &DomainLayout,
        [placement, remotes]: [&str; 2],
        voters: &[SocketAddr],
    ) {
        let name = format!("{}-entry-{}", domain.name, entry + 1);
        let ip = self.entry_ip(number, entry);
        let at = |port: u16| SocketAddr::from((ip, port));
        let roster: Vec<String> = (0..domain.entries)
            .filter(|other| *other != entry)
            .map(|other| {
                let addr = SocketAddr::from((self.entry_ip(number, other), PEERS));
                format!("{}-entry-{}={addr}", domain.name, other + 1)
            })
            .collect();
        let mut args = self.common_args(&name, domain.name, at(PEERS), voters);
        args.push(("callers", at(CALLERS).to_string()));
        args.push(("platform", at(PLATFORM).to_string()));
        args.push(("operators", at(OPERATORS).to_string()));
        args.push(("operator-token-file", self.token_file()));
        args.push(("roster", roster.join(",")));
        args.push(("remotes", remotes.to_owned()));
        args.push(("control", placement.to_owned()));
        args.push(("lame-duck", "300ms".into()));
        let mut command = vec![env!("CARGO_BIN_EXE_cyclamenloft-entry").into()];
        push_flags(&mut command, args.iter());
        self.entries.push(Process::start(&name, self.folder.path(), command));
        self.hosts.push(EntryHost {
            callers: at(CALLERS),
            platform: at(PLATFORM),
            operators: at(OPERATORS),
        });
    }

    fn common_args(
        &self,
        name: &str,
        domain: &str,
        peers: SocketAddr,
        voters: &[SocketAddr],
    ) -> Vec<(&'static str, String)> {
        let listed: Vec<String> =
            voters.iter().enumerate().map(|(i, addr)| format!("{}={addr}", i + 1)).collect();
        vec![
            ("host", name.to_owned()),
            ("domain", domain.to_owned()),
            ("peers", peers.to_string()),
            ("peer-token-file", self.token_file()),
            ("config-voters", listed.join(",")),
        ]
    }

    fn token_file(&self) -> String {
        self.folder.path().join("token").display().to_string()
    }

    fn config_voters(&self, all: &[DomainLayout]) -> Vec<SocketAddr> {
        let voters_of = |domain: &DomainLayout| if all.len() == 1 { domain.controls } else { 1 };
        let voters = all.iter().enumerate().flat_map(|(number, domain)| {
            (0..voters_of(domain)).map(move |control| (number as u8, control))
        });
        voters
            .map(|(number, control)| SocketAddr::from((self.control_ip(number, control), CONTROL)))
            .collect()
    }

    /// The entry hosts of every domain but `own`.
    fn remotes(&self, own: u8, all: &[DomainLayout]) -> String {
        let others = all.iter().enumerate().filter(|(number, _)| *number != usize::from(own));
        let listed: Vec<String> = others
            .flat_map(|(number, domain)| {
                (0..domain.entries).map(move |entry| {
                    let addr = SocketAddr::from((self.entry_ip(number as u8, entry), PEERS));
                    format!("{}={addr}", domain.name)
                })
            })
            .collect();
        listed.join(",")
    }

    fn replica_list(&self, replicas: impl Iterator<Item = (u8, u8)>) -> String {
        let listed: Vec<String> = replicas
            .enumerate()
            .map(|(i, (number, control))| {
                format!("{}={}:{CONTROL}", i + 1, self.control_ip(number, control))
            })
            .collect();
        listed.join(",")
    }

    fn entry_ip(&self, domain: u8, entry: u8) -> Ipv4Addr {
        self.ip(1 + domain * 20 + entry)
    }

    fn control_ip(&self, domain: u8, control: u8) -> Ipv4Addr {
        self.ip(11 + domain * 20 + control)
    }

    fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], host)
    }
}

fn push_flags<'a>(command: &mut Vec<String>, flags: impl Iterator<Item = &'a (&'a str, String)>) {
    for (flag, value) in flags.filter(|(_, value)| !value.is_empty()) {
        command.push(format!("--{flag}"));
        command.push(value.clone());
    }
}

/// Reads a stand-in's journal; empty where it has written none yet.
pub fn read_journal(path: &Path) -> Vec<cyclamenloft_standin::journal::Line> {
    if !path.exists() {
        return Vec::new();
    }
    cyclamenloft_standin::journal::read(path).unwrap()
}
