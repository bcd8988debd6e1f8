//! Parses single settings. Each flag has an environment variable, and each error
//! names the flag, the value and what was expected.

use crate::logging::{LogFormat, LogSettings};
use clap::{Arg, ArgMatches, Command};
use cyclamenloft_http::Token;
use cyclamenloft_types::{DomainName, Error, ErrorKind, ReplicaId, Result, check_name};
use std::{net::SocketAddr, path::Path, str::FromStr, time::Duration};

/// The prefix of the environment variables.
pub const ENV_PREFIX: &str = "CYCLAMENLOFT_";

/// Defines a flag with its environment variable.
pub fn flag(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    let env = format!("{ENV_PREFIX}{}", name.replace('-', "_").to_uppercase());
    Arg::new(name).long(name).env(env).value_name(value).help(help)
}

/// Adds the flags that every daemon has.
#[must_use]
pub fn with_common_flags(command: Command) -> Command {
    command
        .version(clap::crate_version!())
        .arg(flag("host", "NAME", "Name of this host, unique in the deployment").required(true))
        .arg(flag("domain", "NAME", "Failure domain of this host").required(true))
        .arg(flag("peers", "IP:PORT", "Listener for the system's own processes").required(true))
        .arg(flag("peer-token-file", "FILE", "File with the token of peers").required(true))
        .arg(flag("config-voters", "ID=IP:PORT,...", "Replicas of the config group").required(true))
        .arg(flag("statsd", "IP:PORT", "Address that metrics are sent to; none are sent if absent"))
        .arg(flag("log-format", "text|json", "Format of log lines").default_value("text"))
        .arg(flag("log-filter", "FILTER", "Which lines are logged").default_value("info"))
}

/// Returns the error for a wrong setting.
#[must_use]
pub fn bad(name: &str, found: &str, expected: &str) -> Error {
    Error::new(ErrorKind::BadSetting, format!("--{name} {found:?}: expected {expected}"))
}

/// Returns a setting's text, if it was given.
#[must_use]
pub fn text<'a>(args: &'a ArgMatches, name: &str) -> Option<&'a str> {
    args.get_one::<String>(name).map(String::as_str)
}

/// Returns the text of a setting that is required.
///
/// # Errors
///
/// Returns [`ErrorKind::BadSetting`] naming the flag.
pub fn required<'a>(args: &'a ArgMatches, name: &str) -> Result<&'a str> {
    text(args, name).ok_or_else(|| {
        Error::new(ErrorKind::BadSetting, format!("--{name}: expected a value, found none"))
    })
}

/// Parses a required name of up to 64 letters, digits or `-`, `_`, `.`, such as a host
/// name.
///
/// # Errors
///
/// Returns [`ErrorKind::BadSetting`] naming flag and value.
pub fn name(args: &ArgMatches, flag: &str) -> Result<Box<str>> {
    let raw = required(args, flag)?;
    check_name(flag, raw).map_err(|_| bad(flag, raw, "1 to 64 letters, digits, '-', '_' or '.'"))
}

/// Parses a required address.
///
/// # Errors
///
/// Returns [`ErrorKind::BadSetting`] naming flag and value.
pub fn addr(args: &ArgMatches, flag: &str) -> Result<SocketAddr> {
    parse_addr(flag, required(args, flag)?)
}

/// Parses an optional address.
///
/// # Errors
///
/// Returns [`ErrorKind::BadSetting`] naming flag and value.
pub fn optional_addr(args: &ArgMatches, flag: &str) -> Result<Option<SocketAddr>> {
    text(args, flag).map(|raw| parse_addr(flag, raw)).transpose()
}

/// Parses an optional number, which must lie in the range `expected`.
///
/// # Errors
///
/// Returns [`ErrorKind::BadSetting`] naming flag and value.
pub fn optional_number(
    args: &ArgMatches,
    flag: &str,
    expected: std::ops::RangeInclusive<u64>,
) -> Result<Option<u64>> {
    let Some(raw) = text(args, flag) else {
        return Ok(None);
    };
    let parsed = raw.parse().ok().filter(|n| expected.contains(n));
    let range = format!("{}..={}", expected.start(), expected.end());
    parsed.map(Some).ok_or_else(|| bad(flag, raw, &range))
}

/// Parses a required duration such as `250ms` or `5s`.
///
/// # Errors
///
/// Returns [`ErrorKind::BadSetting`] naming flag and value.
pub fn duration(args: &ArgMatches, flag: &str) -> Result<Duration> {
    let raw = required(args, flag)?;
    humantime::parse_duration(raw).map_err(|_| bad(flag, raw, "a time such as 250ms or 5s"))
}

/// Reads a token from a file.
///
/// # Errors
///
/// Returns [`ErrorKind::BadSetting`] naming flag and file.
pub fn token(args: &ArgMatches, flag: &str) -> Result<Token> {
    let raw = required(args, flag)?;
    Token::from_file(Path::new(raw))
        .map_err(|e| Error::new(ErrorKind::BadSetting, format!("--{flag}: {}", e.detail)))
}

/// A replica and its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaAddr {
    /// The replica's id in its group.
    pub id: ReplicaId,
    /// The address where it listens for peers.
    pub addr: SocketAddr,
}

/// Parses a list of replicas, `ID=IP:PORT,...`.
///
/// # Errors
///
/// Returns [`ErrorKind::BadSetting`] naming flag and item.
pub fn replicas(args: &ArgMatches, flag: &str) -> Result<Vec<ReplicaAddr>> {
    pairs(flag, required(args, flag)?, "ID=IP:PORT with an ID above 0", |id| {
        ReplicaId::from_str(id).ok().filter(|id| *id > 0)
    })
    .map(|pairs| pairs.into_iter().map(|(id, addr)| ReplicaAddr { id, addr }).collect())
}

/// A host and its address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostAddr {
    /// The host's name.
    pub host: Box<str>,
    /// The address where it listens for peers.
    pub addr: SocketAddr,
}

/// Parses a list of hosts, `NAME=IP:PORT,...`. Returns an empty list if the flag is absent.
///
/// # Errors
///
/// Returns [`ErrorKind::BadSetting`] naming flag and item.
pub fn hosts(args: &ArgMatches, flag: &str) -> Result<Vec<HostAddr>> {
    let raw = text(args, flag).unwrap_or_default();
    pairs(flag, raw, "NAME=IP:PORT", |host| check_name(flag, host).ok())
        .map(|pairs| pairs.into_iter().map(|(host, addr)| HostAddr { host, addr }).collect())
}

/// Another failure domain and its entry hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemoteDomain {
    /// The domain's name.
    pub domain: DomainName,
    /// The addresses where its entry hosts listen for peers.
    pub entries: Vec<SocketAddr>,
}

/// Parses a list of other domains, `DOMAIN=IP:PORT,...`. Returns an empty list if the flag
/// is absent. A domain is listed once for each of its entry hosts.
///
/// # Errors
///
/// Returns [`ErrorKind::BadSetting`] naming flag and item.
pub fn remotes(args: &ArgMatches, flag: &str) -> Result<Vec<RemoteDomain>> {
    let raw = text(args, flag).unwrap_or_default();
    let mut remotes: Vec<RemoteDomain> = Vec::new();
    for item in items(raw) {
        let (domain, addr) =
            pair(flag, item, "DOMAIN=IP:PORT", |name| check_name(flag, name).ok())?;
        match remotes.iter_mut().find(|r| r.domain == domain) {
            Some(known) => known.entries.push(addr),
            None => remotes.push(RemoteDomain { domain, entries: vec![addr] }),
        }
    }
    Ok(remotes)
}

/// Parses the log settings.
///
/// # Errors
///
/// Returns [`ErrorKind::BadSetting`] naming flag and value.
pub fn log(args: &ArgMatches) -> Result<LogSettings> {
    let format = match required(args, "log-format")? {
        "text" => LogFormat::Text,
        "json" => LogFormat::Json,
        raw => return Err(bad("log-format", raw, "text or json")),
    };
    Ok(LogSettings { format, filter: required(args, "log-filter")?.into() })
}

fn parse_addr(flag: &str, raw: &str) -> Result<SocketAddr> {
    raw.parse().map_err(|_| bad(flag, raw, "an address such as 127.0.0.1:7000"))
}

fn items(raw: &str) -> impl Iterator<Item = &str> {
    raw.split(',').map(str::trim).filter(|item| !item.is_empty())
}

fn pair<K>(
    flag: &str,
    item: &str,
    expected: &str,
    key: impl Fn(&str) -> Option<K>,
) -> Result<(K, SocketAddr)> {
    item.split_once('=')
        .and_then(|(k, a)| Some((key(k)?, a.parse().ok()?)))
        .ok_or_else(|| bad(flag, item, expected))
}

/// Parses a list of pairs in which each key may occur once.
fn pairs<K: PartialEq>(
    flag: &str,
    raw: &str,
    expected: &str,
    key: impl Fn(&str) -> Option<K>,
) -> Result<Vec<(K, SocketAddr)>> {
    let mut found: Vec<(K, SocketAddr)> = Vec::new();
    for item in items(raw) {
        let pair = pair(flag, item, expected, &key)?;
        if found.iter().any(|(k, _)| *k == pair.0) {
            return Err(bad(flag, item, "each name or id once"));
        }
        found.push(pair);
    }
    Ok(found)
}
