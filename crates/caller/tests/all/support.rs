//! Test support: the caller side of an entry host in its own thread, scripted
//! targets that send raw bytes, and callers that do the same.

use cyclamenloft_caller::{
    CallerHandler, CallerLimits, Forwarder, Gate, Gates, Hop, HopClient, HopHandler, HopRule,
    KeyCalls, Keys, OutcomeStore, OutcomeStoreLimits, Readiness,
};
use cyclamenloft_http::{Limits, StopHandle, Token, bind, serve, stop_pair};
use cyclamenloft_routing::{Refusal, RequestMeta, RoutingPolicy, ServicePolicy, TargetRecord};
use cyclamenloft_target::{HostConnections, Pool, PoolLimits};
use cyclamenloft_types::{HostId, ServiceName};
use std::{
    io::{Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    rc::Rc,
    sync::{Arc, Mutex},
    thread::JoinHandle,
    time::{Duration, Instant},
};

/// Maximum wait for any condition; reached only if a test fails.
pub const TIMEOUT: Duration = Duration::from_secs(30);
pub const SERVICE: &str = "matchdesk";

/// Defines one test for each case.
#[macro_export]
macro_rules! cases {
    ($($name:ident => $test:expr;)*) => {$(
        #[test]
        fn $name() {
            $test;
        }
    )*};
}

/// Waits until `condition` returns true; panics with `what` after [`TIMEOUT`].
pub fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "waited too long for {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// A running entry host with its caller side. Dropping it stops it.
pub struct Entry {
    pub addr: SocketAddr,
    /// The address at which other entry hosts hand requests over.
    pub peers: SocketAddr,
    pub gate: Arc<Gate>,
    pub connections: HostConnections,
    /// Receives the calls that this host makes to other hosts that own an idempotency
    /// key.
    pub key_calls: Option<KeyCalls>,
    stop: Option<StopHandle>,
    thread: Option<JoinHandle<()>>,
}

/// The settings of an entry host in a test.
#[derive(Clone)]
pub struct Setup {
    pub policy: ServicePolicy,
    pub limits: CallerLimits,
    pub server_limits: Limits,
    pub pool: PoolLimits,
    /// The entry hosts that own idempotency keys. This host is `entry-1`.
    pub roster: Vec<HostId>,
    pub store: OutcomeStoreLimits,
    /// The peer listener of the host to which refused requests are handed over; `None`
    /// if they aren't handed over.
    pub hop_to: Option<SocketAddr>,
    /// The token that this host presents to the host at `hop_to`.
    pub token: &'static str,
    /// Whether hedging is enabled.
    pub hedging: bool,
}

pub const TOKEN: &str = "a-token-for-tests-only";

/// A hop rule that hands over every refused request.
struct AlwaysHop(Hop);

impl HopRule for AlwaysHop {
    fn choose(&self, _: &ServiceName, _: &RequestMeta, _: &Refusal, _: Instant) -> Option<Hop> {
        Some(self.0.clone())
    }
}

impl Default for Setup {
    fn default() -> Self {
        let limits = CallerLimits::default();
        Self {
            policy: ServicePolicy { deadline: Duration::from_secs(20), ..ServicePolicy::default() },
            limits,
            server_limits: Limits { drain: Duration::ZERO, ..Limits::default() },
            pool: PoolLimits::default(),
            roster: vec!["entry-1".into()],
            store: OutcomeStoreLimits::default(),
            hop_to: None,
            token: TOKEN,
            hedging: false,
        }
    }
}

impl Entry {
    /// Starts an entry host with `targets` announced.
    pub fn start(setup: Setup, targets: &[&Target]) -> Self {
        let listener = bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
        let addr = listener.local_addr().unwrap();
        let peers_listener = bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
        let peers = peers_listener.local_addr().unwrap();
        let policy = setup.policy.clone();
        let gate =
            Gate::new("entry-1".into(), vec!["entry-1".into()], routing(setup.hedging), policy);
        let gates = Gates::default();
        gates.set([(SERVICE.into(), gate.clone())]);
        for (number, target) in targets.iter().enumerate() {
            gate.announce(target.record(number), Instant::now());
        }
        let connections = HostConnections::new(1);
        let (stop, signal) = stop_pair();
        let store = OutcomeStore::new(setup.store, Instant::now());
        let (keys, key_calls) = Keys::new("entry-1".into(), setup.roster, store);

        let (ticking_gate, host) = (gate.clone(), connections.clone());
        let thread = std::thread::spawn(move || {
            compio::runtime::Runtime::new().unwrap().block_on(async move {
                compio::runtime::spawn(tick(ticking_gate)).detach();
                let pool = Pool::new(setup.pool, host);
                compio::runtime::spawn(trim(pool.clone(), gates.clone())).detach();
                let readiness = Readiness::default();
                readiness.set(true);
                let forwarder = Forwarder::new(gates, pool.clone(), keys, setup.limits);
                let token = Token::try_from(TOKEN).unwrap();
                let hop_handler = HopHandler::new(forwarder.clone(), readiness.clone(), token);
                let (server_limits, stop) = (setup.server_limits, signal.clone());
                let hops = serve(peers_listener, server_limits, stop, Rc::new(hop_handler));
                compio::runtime::spawn(hops).detach();
                let forwarder = match setup.hop_to {
                    None => forwarder,
                    Some(addr) => {
                        let token = Token::try_from(setup.token).unwrap();
                        let client = HopClient::new("entry-1".into(), token, pool, 8);
                        let hop = Hop { host: "entry-2".into(), addr };
                        forwarder.with_hops(client, Rc::new(AlwaysHop(hop)))
                    }
                };
                let handler = CallerHandler::new(forwarder, readiness);
                serve(listener, server_limits, signal, Rc::new(handler)).await.unwrap();
            });
        });
        let (stop, thread) = (Some(stop), Some(thread));
        Self { addr, peers, gate, connections, key_calls: Some(key_calls), stop, thread }
    }

    /// Sends raw bytes and reads until the connection ends.
    pub fn send(&self, raw: impl AsRef<[u8]>) -> Response {
        let mut caller = self.connect();
        caller.write_all(raw.as_ref()).unwrap();
        read_response(&mut caller)
    }

    /// Opens a connection as a caller.
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.addr).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream
    }
}

/// Returns a policy with round robin and without admission control, so that the order of
/// the targets is predictable.
fn routing(hedging: bool) -> RoutingPolicy {
    let choice = cyclamenloft_routing::ChoicePolicy::RoundRobin;
    RoutingPolicy { choice, admission: false, hedging, ..RoutingPolicy::default() }
}

async fn tick(gate: Arc<Gate>) {
    loop {
        compio::time::sleep(Duration::from_millis(5)).await;
        gate.tick(Instant::now());
    }
}

async fn trim(pool: Pool, gates: Gates) {
    loop {
        compio::time::sleep(Duration::from_millis(20)).await;
        let live = gates.live(Instant::now());
        pool.trim(Instant::now(), |addr| live.contains(&addr));
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        // compio aborts the process if a panicking thread wakes a task of another
        // thread, so another thread sends the stop.
        let stop = self.stop.take();
        std::thread::spawn(move || drop(stop)).join().unwrap();
        let ended = self.thread.take().unwrap().join();
        assert!(ended.is_ok() || std::thread::panicking());
    }
}

/// The bytes that a caller read until its connection ended.
pub struct Response {
    pub text: String,
    /// Whether the connection ended with an end of stream and not with an error.
    pub clean: bool,
}

impl Response {
    /// Returns the status code, or 0 if there was no response.
    pub fn status(&self) -> u16 {
        self.text.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let head = self.text.split("\r\n\r\n").next()?;
        let mut lines = head.lines().filter_map(|line| line.split_once(": "));
        lines.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    pub fn outcome(&self) -> &str {
        self.header("cyclamenloft-outcome").unwrap_or("-")
    }

    pub fn error(&self) -> &str {
        self.header("cyclamenloft-error").unwrap_or("-")
    }

    pub fn body(&self) -> &str {
        self.text.split_once("\r\n\r\n").map_or("", |(_, body)| body)
    }
}

/// Reads until the connection ends.
pub fn read_response(caller: &mut TcpStream) -> Response {
    let mut content = Vec::new();
    let clean = caller.read_to_end(&mut content).is_ok();
    Response { text: String::from_utf8_lossy(&content).into_owned(), clean }
}

/// The reaction of a target to a request. The second parameter is the number of the
/// request at this target, from 1.
pub type Script = fn(&mut TcpStream, usize) -> Next;

/// What a target does with the connection after a request.
#[derive(PartialEq, Eq)]
pub enum Next {
    Read,
    Close,
    /// Waits until the entry host closes the connection.
    Hold,
}

#[derive(Default)]
pub struct Seen {
    /// Heads and bodies, in the order in which they were read.
    pub requests: Vec<String>,
    pub connections: usize,
    /// Number of connections that ended.
    pub closed: usize,
}

/// A target that follows a script.
pub struct Target {
    pub addr: SocketAddr,
    pub seen: Arc<Mutex<Seen>>,
}

impl Target {
    /// Starts a target; its threads end with the test's process.
    pub fn start(script: Script) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let addr = listener.local_addr().unwrap();
        let seen = Arc::new(Mutex::new(Seen::default()));
        let shared = seen.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (stream, seen) = (stream.unwrap(), shared.clone());
                seen.lock().unwrap().connections += 1;
                std::thread::spawn(move || {
                    serve_scripted(stream, script, &seen);
                    seen.lock().unwrap().closed += 1;
                });
            }
        });
        Self { addr, seen }
    }

    /// Returns a target whose address refuses connections, as no test listens on it.
    pub fn unreachable() -> Self {
        Self { addr: SocketAddr::from((Ipv4Addr::new(127, 0, 0, 2), 9)), seen: Arc::default() }
    }

    /// Returns the announcement of this target. `number` sets its place in the order
    /// of the targets.
    pub fn record(&self, number: usize) -> TargetRecord {
        TargetRecord {
            id: format!("target-{number}").into(),
            addr: self.addr,
            domain: "cascadia-sea".into(),
            sequence: 1,
            leaving: false,
            in_flight: 0,
            expires: Instant::now() + TIMEOUT * 10,
        }
    }

    /// Returns the number of requests read so far.
    pub fn count(&self) -> usize {
        self.seen.lock().unwrap().requests.len()
    }

    pub fn request(&self, number: usize) -> String {
        self.seen.lock().unwrap().requests[number].clone()
    }
}

fn serve_scripted(mut stream: TcpStream, script: Script, seen: &Mutex<Seen>) {
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    while let Some(request) = read_request(&mut stream) {
        let number = {
            let mut seen = seen.lock().unwrap();
            seen.requests.push(request);
            seen.requests.len()
        };
        match script(&mut stream, number) {
            Next::Read => {}
            Next::Close => break,
            Next::Hold => {
                let _ = stream.read_to_end(&mut Vec::new());
                break;
            }
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

/// Reads a head and a body with a content length or in chunks. Returns `None` if the
/// connection ended first.
fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = read_until(stream, b"\r\n\r\n")?;
    let head = text.to_lowercase();
    if head.contains("cut-me") {
        // The script reads the body.
        return Some(text);
    }
    if head.contains("transfer-encoding: chunked") {
        text.push_str(&read_until(stream, b"0\r\n")?);
        text.push_str(&read_until(stream, b"\r\n")?);
    } else if let Some((_, rest)) = head.split_once("content-length: ") {
        let length: usize = rest.lines().next()?.trim().parse().ok()?;
        let mut body = vec![0; length];
        stream.read_exact(&mut body).ok()?;
        text.push_str(&String::from_utf8_lossy(&body));
    }
    Some(text)
}

fn read_until(stream: &mut TcpStream, end: &[u8]) -> Option<String> {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(end) {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        text.push(byte[0]);
    }
    Some(String::from_utf8_lossy(&text).into_owned())
}

/// A script that responds with raw bytes and reads the next request.
#[macro_export]
macro_rules! respond_with {
    ($raw:literal) => {
        |stream, _| {
            std::io::Write::write_all(stream, $raw.as_bytes()).unwrap();
            $crate::support::Next::Read
        }
    };
}
