//! The `cyclamenloft local` command: runs the whole system in one process with its
//! files in a temporary folder, to try it out and for development.

mod demo;

use crate::{
    control, entry,
    logging::{self, LogFormat, LogSettings},
    process,
    settings::{
        ControlSettings, EntrySettings,
        raw::{ReplicaAddr, flag, optional_number, text},
    },
};
use clap::{Arg, ArgAction, ArgMatches, Command};
use cyclamenloft_http::{StopHandle, StopSignal, Token, stop_pair};
use cyclamenloft_types::{Error, ErrorKind, Result};
use std::{
    future::Future,
    net::{Ipv4Addr, SocketAddr},
    path::Path,
    thread::JoinHandle,
    time::Duration,
};

/// The first port if none is set.
const DEFAULT_BASE_PORT: u64 = 7070;
/// The number of consecutive ports that the system uses.
const PORT_COUNT: u64 = 5;
/// The name of the failure domain.
const DOMAIN: &str = "local";

/// Returns the definition of the `local` command.
#[must_use]
pub fn command() -> Command {
    Command::new("local")
        .about("Runs the whole system in one process with a temporary data folder")
        .arg(
            Arg::new("demo").long("demo").action(ArgAction::SetTrue).help(
                "Add a simulated service and workers; show requests, a job and a config change",
            ),
        )
        .arg(flag("base-port", "PORT", "First of five ports on 127.0.0.1").default_value("7070"))
        .arg(flag("log-filter", "FILTER", "Which lines are logged").default_value("warn"))
}

/// The addresses of the system's listeners.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Addresses {
    pub(crate) callers: SocketAddr,
    pub(crate) platform: SocketAddr,
    pub(crate) operators: SocketAddr,
    peers: SocketAddr,
    control: SocketAddr,
}

impl Addresses {
    fn from_base(base: u16) -> Self {
        let at = |offset: u16| SocketAddr::from((Ipv4Addr::LOCALHOST, base + offset));
        Self { callers: at(0), platform: at(1), operators: at(2), peers: at(3), control: at(4) }
    }
}

/// Runs the system until Ctrl-C.
///
/// # Errors
///
/// Returns an error if a port is in use or the demo fails.
pub fn run(args: &ArgMatches) -> Result<()> {
    let max_base = u64::from(u16::MAX) - PORT_COUNT;
    let base = optional_number(args, "base-port", 1024..=max_base)?.unwrap_or(DEFAULT_BASE_PORT);
    let filter = text(args, "log-filter").unwrap_or("warn").into();
    logging::start(&LogSettings { format: LogFormat::Text, filter })?;
    let folder = tempfile::tempdir()
        .map_err(|e| Error::new(ErrorKind::DiskFailed, format!("temporary folder: {e}")))?;
    let addrs = Addresses::from_base(base as u16);
    let token = write_token(folder.path())?;
    let (control, control_thread) = {
        let settings = control_settings(addrs, folder.path(), token.clone());
        start("control", move |stop| control::run(settings, stop))?
    };
    let (entry, entry_thread) = {
        let settings = entry_settings(addrs, token.clone());
        start("entry", move |stop| entry::run(settings, stop))?
    };
    let demo = args.get_flag("demo");
    let served = process::runtime()?.block_on(serve(addrs, token, folder.path(), demo));
    // The entry host stops first, since its requests may still need the control
    // process.
    let entry_ended = stop_and_join(entry, entry_thread);
    let control_ended = stop_and_join(control, control_thread);
    served.and(entry_ended).and(control_ended)
}

async fn serve(addrs: Addresses, token: Token, folder: &Path, demo: bool) -> Result<()> {
    let stand_ins = if demo { Some(demo::run(addrs, token).await?) } else { None };
    println!("callers    http://{}/SERVICE/PATH", addrs.callers);
    println!("platform   http://{}", addrs.platform);
    println!(
        "operators  {} with --operator-token-file {}",
        addrs.operators,
        token_path(folder).display()
    );
    println!("Ctrl-C stops gracefully.");
    process::terminated().await;
    println!("stopping");
    if let Some(stand_ins) = stand_ins {
        stand_ins.stop().await;
    }
    Ok(())
}

/// Starts one part of the system on a thread with a runtime of its own.
fn start<F>(
    name: &str,
    run: impl FnOnce(StopSignal) -> F + Send + 'static,
) -> Result<(StopHandle, JoinHandle<Result<()>>)>
where
    F: Future<Output = Result<()>>,
{
    let (handle, stop) = stop_pair();
    let thread = std::thread::Builder::new()
        .name(name.into())
        .spawn(move || {
            let ended = process::runtime().and_then(|rt| rt.block_on(run(stop)));
            if let Err(e) = &ended {
                eprintln!("{e}");
            }
            ended
        })
        .map_err(|e| Error::new(ErrorKind::Internal, format!("thread {name}: {e}")))?;
    Ok((handle, thread))
}

fn stop_and_join(mut handle: StopHandle, thread: JoinHandle<Result<()>>) -> Result<()> {
    handle.stop();
    let panicked = || Err(Error::new(ErrorKind::Internal, "a thread panicked"));
    thread.join().unwrap_or_else(|_| panicked())
}

fn token_path(folder: &Path) -> std::path::PathBuf {
    folder.join("token")
}

/// Generates a token for this run and writes it to a file for the command line.
fn write_token(folder: &Path) -> Result<Token> {
    let path = token_path(folder);
    let secret = format!("{}{}", ulid::Ulid::new(), ulid::Ulid::new());
    std::fs::write(&path, &secret)
        .map_err(|e| Error::new(ErrorKind::DiskFailed, format!("{}: {e}", path.display())))?;
    Token::from_file(&path)
}

fn control_settings(addrs: Addresses, folder: &Path, peer_token: Token) -> ControlSettings {
    let replicas = vec![ReplicaAddr { id: 1, addr: addrs.control }];
    ControlSettings {
        host: "control-1".into(),
        domain: DOMAIN.into(),
        peers: addrs.control,
        replica: 1,
        placement: replicas.clone(),
        config_replica: Some(1),
        config_voters: replicas,
        data: folder.join("data"),
        peer_token,
        early_visibility: false,
        statsd: None,
        log: LogSettings { format: LogFormat::Text, filter: "warn".into() },
    }
}

fn entry_settings(addrs: Addresses, token: Token) -> EntrySettings {
    let replicas = vec![ReplicaAddr { id: 1, addr: addrs.control }];
    EntrySettings {
        host: "entry-1".into(),
        domain: DOMAIN.into(),
        callers: addrs.callers,
        platform: addrs.platform,
        operators: addrs.operators,
        peers: addrs.peers,
        roster: Vec::new(),
        remotes: Vec::new(),
        control: replicas.clone(),
        config_voters: replicas,
        peer_token: token.clone(),
        operator_token: token,
        threads: 2,
        lame_duck: Duration::from_millis(200),
        statsd: None,
        log: LogSettings { format: LogFormat::Text, filter: "warn".into() },
    }
}
