//! A network between two processes: a proxy that forwards whole messages. It can hold one request
//! up, and it can cut one process off.
//!
//! What is sent behind a cut arrives after it, when TCP sends it again: after 0.2 s, 0.6 s, 1.4 s,
//! 3.0 s, 6.2 s and so on, as long as the kernel of the sender has it. That the sender has closed
//! its connection meanwhile doesn't change that; TCP sends its close again one round trip later.

use crate::{http::MessageReader, note};
use std::{
    fs,
    io::Write,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// First time after which TCP sends again; it doubles each time.
const FIRST_RETRANSMISSION: Duration = Duration::from_millis(200);

/// Time from the arrival of bytes that were held up to that of the close of their connection: a
/// round trip between zones, of 3.9 ms each way on the sheet of a small deployment.
const ROUND_TRIP: Duration = Duration::from_millis(8);

/// What the network does to a request.
pub enum Fate {
    /// It arrives at once.
    Forward,
    /// It arrives after this time, and its answer is lost. The connection stays silent.
    HoldUp(Duration),
}

/// Decides on a request by its bytes.
pub type Decide = Arc<dyn Fn(&[u8]) -> Fate + Send + Sync>;

/// Who is cut off from what is behind a proxy.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Whom {
    /// The process with this id.
    Process(u32),
    /// All that connect to the proxy.
    All,
}

/// A time in which someone is cut off.
#[derive(Clone, Default)]
pub struct Cut(Arc<Mutex<Option<(Whom, Instant, Instant)>>>);

impl Cut {
    /// Begins a cut.
    pub fn begin(&self, whom: Whom, length: Duration) {
        let now = Instant::now();
        *self.0.lock().unwrap_or_else(|e| e.into_inner()) = Some((whom, now, now + length));
    }

    fn get(&self) -> Option<(Whom, Instant, Instant)> {
        *self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Returns whether everyone is cut off now.
    pub fn is_complete(&self) -> bool {
        let now = Instant::now();
        self.get().is_some_and(|(whom, from, to)| whom == Whom::All && now >= from && now < to)
    }

    /// Returns when something that is sent now over the connection from this local port arrives.
    fn arrival(&self, port: u16, now: Instant) -> Instant {
        let Some((whom, from, until)) = self.get() else { return now };
        let is_affected = || match whom {
            Whom::Process(id) => owns_port(id, port),
            Whom::All => true,
        };
        if now < from || now >= until || !is_affected() {
            return now;
        }
        let mut wait = FIRST_RETRANSMISSION;
        let mut at = now + wait;
        while at < until {
            wait *= 2;
            at += wait;
        }
        at
    }
}

/// Starts a proxy that listens on `listen` and connects to `target`.
pub fn start(
    listen: SocketAddr,
    target: SocketAddr,
    cut: Cut,
    decide: Decide,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(listen)?;
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let (cut, decide) = (cut.clone(), decide.clone());
            thread::spawn(move || {
                let _ = relay(client, target, &cut, &decide);
            });
        }
    });
    Ok(())
}

fn relay(client: TcpStream, target: SocketAddr, cut: &Cut, decide: &Decide) -> std::io::Result<()> {
    let Ok(mut server) = TcpStream::connect_timeout(&target, Duration::from_secs(2)) else {
        return client.shutdown(Shutdown::Both);
    };
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let port = client.peer_addr()?.port();
    let (responses, mut to_client) = (server.try_clone()?, client.try_clone()?);
    let cut_of_responses = cut.clone();
    thread::spawn(move || {
        let mut responses = MessageReader::new(responses);
        while let Ok(Some(response)) = responses.next() {
            sleep_until(cut_of_responses.arrival(port, Instant::now()));
            if to_client.write_all(&response.raw).is_err() {
                break;
            }
        }
        let _ = to_client.shutdown(Shutdown::Both);
    });
    let mut requests = MessageReader::new(client);
    let (mut is_silent, mut was_late) = (false, false);
    while let Ok(Some(request)) = requests.next() {
        if is_silent {
            continue;
        }
        match decide(&request.raw) {
            Fate::Forward => {
                let now = Instant::now();
                let at = cut.arrival(port, now);
                sleep_until(at);
                server.write_all(&request.raw)?;
                was_late = at > now;
                if was_late {
                    let path = request.path().to_string();
                    note!("network: a request to {path} arrives after {:?}", at - now);
                }
            }
            Fate::HoldUp(delay) => {
                is_silent = true;
                thread::spawn(move || {
                    thread::sleep(delay);
                    deliver(target, &request.raw);
                });
            }
        }
    }
    if was_late {
        thread::sleep(ROUND_TRIP);
    }
    server.shutdown(Shutdown::Write)
}

/// Delivers a request that was held up. Its sender has closed the connection meanwhile.
fn deliver(target: SocketAddr, raw: &[u8]) {
    let Ok(mut stream) = TcpStream::connect_timeout(&target, Duration::from_secs(2)) else {
        return note!("network: the request that was held up reaches no process");
    };
    note!("network: the request that was held up arrives at {target}");
    if stream.write_all(raw).is_ok() {
        thread::sleep(ROUND_TRIP);
        let _ = stream.shutdown(Shutdown::Write);
    }
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Returns whether a process that this one started has the socket with this local port.
fn owns_port(process: u32, port: u16) -> bool {
    let Ok(table) = fs::read_to_string("/proc/net/tcp") else { return false };
    let local = format!(":{port:04X}");
    let inodes: Vec<String> = table
        .lines()
        .skip(1)
        .map(|line| line.split_whitespace().collect::<Vec<_>>())
        .filter(|columns| columns.get(1).is_some_and(|a| a.ends_with(&local)))
        .filter_map(|columns| columns.get(9).map(|inode| format!("socket:[{inode}]")))
        .collect();
    let Ok(files) = fs::read_dir(format!("/proc/{process}/fd")) else { return false };
    let links = files.flatten().filter_map(|file| fs::read_link(file.path()).ok());
    links.into_iter().any(|link| inodes.iter().any(|inode| link.as_os_str() == inode.as_str()))
}
