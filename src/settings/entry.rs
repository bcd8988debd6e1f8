//! Settings of `cyclamenloft-entry`.

use super::raw::{self, HostAddr, RemoteDomain, ReplicaAddr, flag};
use crate::logging::LogSettings;
use clap::{ArgMatches, Command};
use cyclamenloft_http::Token;
use cyclamenloft_types::{DomainName, Error, HostId, Result};
use std::{net::SocketAddr, time::Duration};

/// Checked settings of an entry process.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Name of this host.
    pub host: HostId,
    /// Failure domain of this host.
    pub domain: DomainName,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for targets, workers and the balancer.
    pub platform: SocketAddr,
    /// Listener for operators.
    pub operators: SocketAddr,
    /// Listener for the system's own processes.
    pub peers: SocketAddr,
    /// The other entry hosts of the domain.
    pub roster: Vec<HostAddr>,
    /// The other failure domains.
    pub remotes: Vec<RemoteDomain>,
    /// The control replicas of the domain.
    pub control: Vec<ReplicaAddr>,
    /// The replicas of the config group.
    pub config_voters: Vec<ReplicaAddr>,
    /// Token of peers.
    pub peer_token: Token,
    /// Token of operators.
    pub operator_token: Token,
    /// Threads that serve callers.
    pub threads: usize,
    /// Time between losing readiness and the end of accepting.
    pub lame_duck: Duration,
    /// Where metrics are sent.
    pub statsd: Option<SocketAddr>,
    /// The log.
    pub log: LogSettings,
}

/// The command line of `cyclamenloft-entry`.
#[must_use]
pub fn command() -> Command {
    raw::with_common_flags(Command::new("cyclamenloft-entry"))
        .about("Routes requests and hands jobs and reports to the domain's control leader")
        .arg(flag("callers", "IP:PORT", "Listener for callers").required(true))
        .arg(
            flag("platform", "IP:PORT", "Listener for targets, workers and the balancer")
                .required(true),
        )
        .arg(flag("operators", "IP:PORT", "Listener for operators").required(true))
        .arg(flag("operator-token-file", "FILE", "File with the token of operators").required(true))
        .arg(flag("roster", "NAME=IP:PORT,...", "The other entry hosts of the domain"))
        .arg(flag(
            "remotes",
            "DOMAIN=IP:PORT,...",
            "Peers' listeners of the other domains' entry hosts, one item for each host",
        ))
        .arg(flag("control", "ID=IP:PORT,...", "The control replicas of the domain").required(true))
        .arg(flag("threads", "N", "Threads that serve callers").default_value("2"))
        .arg(
            flag("lame-duck", "TIME", "Time between losing readiness and the end of accepting")
                .default_value("5s"),
        )
}

impl TryFrom<&ArgMatches> for EntrySettings {
    type Error = Error;

    fn try_from(args: &ArgMatches) -> Result<Self> {
        let host = raw::name(args, "host")?;
        let roster = raw::hosts(args, "roster")?;
        if roster.iter().any(|other| other.host == host) {
            return Err(raw::bad("roster", &host, "the other entry hosts, without this one"));
        }
        let domain = raw::name(args, "domain")?;
        let remotes = raw::remotes(args, "remotes")?;
        if remotes.iter().any(|other| other.domain == domain) {
            return Err(raw::bad("remotes", &domain, "the other domains, without this one"));
        }
        Ok(Self {
            host,
            domain,
            callers: raw::addr(args, "callers")?,
            platform: raw::addr(args, "platform")?,
            operators: raw::addr(args, "operators")?,
            peers: raw::addr(args, "peers")?,
            roster,
            remotes,
            control: raw::replicas(args, "control")?,
            config_voters: raw::replicas(args, "config-voters")?,
            peer_token: raw::token(args, "peer-token-file")?,
            operator_token: raw::token(args, "operator-token-file")?,
            threads: raw::optional_number(args, "threads", 1..=64)?.unwrap_or(2) as usize,
            lame_duck: raw::duration(args, "lame-duck")?,
            statsd: raw::optional_addr(args, "statsd")?,
            log: raw::log(args)?,
        })
    }
}
