//! Settings of `cyclamenloft-control`.

use super::raw::{self, ReplicaAddr, flag};
use crate::logging::LogSettings;
use clap::{ArgMatches, Command};
use cyclamenloft_http::Token;
use cyclamenloft_types::{DomainName, Error, HostId, ReplicaId, Result};
use std::{net::SocketAddr, path::PathBuf};

/// Validated settings of a control process.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// The name of this host.
    pub host: HostId,
    /// The failure domain of this host.
    pub domain: DomainName,
    /// The address of the listener for the system's own processes.
    pub peers: SocketAddr,
    /// The id of this replica in its placement group.
    pub replica: ReplicaId,
    /// The replicas of the placement group.
    pub placement: Vec<ReplicaAddr>,
    /// The id of this replica in the config group, if it is a voter there.
    pub config_replica: Option<ReplicaId>,
    /// The replicas of the config group.
    pub config_voters: Vec<ReplicaAddr>,
    /// The folder for all files.
    pub data: PathBuf,
    /// The token that authenticates peers.
    pub peer_token: Token,
    /// Whether decisions may use entries that are not durable yet.
    pub early_visibility: bool,
    /// The address that metrics are sent to.
    pub statsd: Option<SocketAddr>,
    /// The log settings.
    pub log: LogSettings,
}

/// Returns the definition of the command line of `cyclamenloft-control`.
#[must_use]
pub fn command() -> Command {
    raw::with_common_flags(Command::new("cyclamenloft-control"))
        .about("Runs a replica of the domain's placement group and, if set, of the config group")
        .arg(flag("replica", "ID", "Id of this replica in its placement group").required(true))
        .arg(
            flag("placement", "ID=IP:PORT,...", "The replicas of the placement group")
                .required(true),
        )
        .arg(flag("config-replica", "ID", "Id of this replica in the config group"))
        .arg(flag("data", "FOLDER", "Folder for all files").required(true))
        .arg(
            flag("early-visibility", "true|false", "Decide on entries that are not durable yet")
                .default_value("false"),
        )
}

impl TryFrom<&ArgMatches> for ControlSettings {
    type Error = Error;

    fn try_from(args: &ArgMatches) -> Result<Self> {
        let replica = raw::optional_number(args, "replica", 1..=u64::MAX)?.unwrap_or(1);
        let placement = raw::replicas(args, "placement")?;
        member_of("replica", replica, "placement", &placement)?;
        let config_voters = raw::replicas(args, "config-voters")?;
        let config_replica = raw::optional_number(args, "config-replica", 1..=u64::MAX)?;
        if let Some(id) = config_replica {
            member_of("config-replica", id, "config-voters", &config_voters)?;
        }
        let early_visibility = match raw::required(args, "early-visibility")? {
            "true" => true,
            "false" => false,
            other => return Err(raw::bad("early-visibility", other, "true or false")),
        };
        Ok(Self {
            host: raw::name(args, "host")?,
            domain: raw::name(args, "domain")?,
            peers: raw::addr(args, "peers")?,
            replica,
            placement,
            config_replica,
            config_voters,
            data: raw::required(args, "data")?.into(),
            peer_token: raw::token(args, "peer-token-file")?,
            early_visibility,
            statsd: raw::optional_addr(args, "statsd")?,
            log: raw::log(args)?,
        })
    }
}

fn member_of(flag: &str, id: ReplicaId, list: &str, members: &[ReplicaAddr]) -> Result<()> {
    if members.iter().any(|m| m.id == id) {
        return Ok(());
    }
    Err(raw::bad(flag, &id.to_string(), &format!("an id listed in --{list}")))
}
