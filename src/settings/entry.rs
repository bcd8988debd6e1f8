//! Settings of `cyclamenloft-entry`.

use super::raw::{self, HostAddr, RemoteDomain, ReplicaAddr, flag};
use crate::logging::LogSettings;
use clap::{ArgMatches, Command};
use cyclamenloft_http::Token;
use cyclamenloft_types::{DomainName, Error, HostId, Result};
use std::{net::SocketAddr, time::Duration};

/// Validated settings of an entry process.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// The name of this host.
    pub host: HostId,
    /// The failure domain of this host.
    pub domain: DomainName,
    /// The address of the listener for callers.
    pub callers: SocketAddr,
    /// The address of the listener for targets, workers and the load balancer.
    pub platform: SocketAddr,
    /// The address of the listener for operators.
    pub operators: SocketAddr,
    /// The address of the listener for the system's own processes.
    pub peers: SocketAddr,
    /// The other entry hosts of the domain.
    pub roster: Vec<HostAddr>,
    /// The other failure domains.
    pub remotes: Vec<RemoteDomain>,
    /// The control replicas of the domain.
    pub control: Vec<ReplicaAddr>,
    /// The replicas of the config group.
    pub config_voters: Vec<ReplicaAddr>,
    /// The token that authenticates peers.
    pub peer_token: Token,
    /// The token that authenticates operators.
    pub operator_token: Token,
    /// The number of threads that serve callers.
    pub threads: usize,
    /// The time for which a stopping host reports not ready before it stops accepting
    /// connections.
    pub lame_duck: Duration,
    /// The address that metrics are sent to.
    pub statsd: Option<SocketAddr>,
    /// The log settings.
    pub log: LogSettings,
}

/// Returns the definition of the command line of `cyclamenloft-entry`.
#[must_use]
pub fn command() -> Command {
    raw::with_common_flags(Command::new("cyclamenloft-entry"))
        .about("Routes requests and forwards jobs and reports to the domain's control leader")
        .arg(flag("callers", "IP:PORT", "Listener for callers").required(true))
        .arg(
            flag("platform", "IP:PORT", "Listener for targets, workers and the load balancer")
                .required(true),
        )
        .arg(flag("operators", "IP:PORT", "Listener for operators").required(true))
        .arg(flag("operator-token-file", "FILE", "File with the token of operators").required(true))
        .arg(flag("roster", "NAME=IP:PORT,...", "The other entry hosts of the domain"))
        .arg(flag(
            "remotes",
            "DOMAIN=IP:PORT,...",
            "Peers' listeners of the other domains' entry hosts, one item per host",
        ))
        .arg(flag("control", "ID=IP:PORT,...", "The control replicas of the domain").required(true))
        .arg(flag("threads", "N", "Number of threads that serve callers").default_value("2"))
        .arg(
            flag("lame-duck", "TIME", "Time from reporting not ready until accepting ends")
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
