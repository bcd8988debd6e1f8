//! Simulates callers behind a load balancer: numbered requests are sent at a steady
//! rate to the entry hosts that report ready, each on its own connection.

use super::plan::EntryHost;
use bytes::Bytes;
use compio::{net::TcpStream, runtime::spawn};
use cyclamenloft_http::JsonClient;
use cyclamenloft_standin::target::NUMBER_HEADER;
use cyper_core::HyperStream;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

/// The time between two requests.
const SEND_PERIOD: Duration = Duration::from_millis(15);
/// The time between two readiness probes of a host.
const PROBE_PERIOD: Duration = Duration::from_millis(50);
/// The timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum number of requests in one run.
const MAX_REQUESTS: u64 = 4000;
/// The size that request bodies stay below.
const MAX_BODY_BYTES: u64 = 50_000;

/// The outcome of a request as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer to this request.
    Answered,
    /// An error that says that the request did not run.
    NotRun,
    /// An error that says that the request may have run.
    Unknown,
    /// The connection ended before the complete answer was received.
    Cut(Box<str>),
    /// An answer that doesn't belong to this request.
    Wrong(Box<str>),
}

/// A request that was sent, with its outcome.
#[derive(Clone, Debug)]
pub struct SentRequest {
    pub idempotent: bool,
    pub outcome: Outcome,
}

/// The requests of a run, by the unique name of each request.
pub type Traffic = BTreeMap<Box<str>, SentRequest>;

/// Callers that send until they are told to stop.
pub struct Callers {
    shared: Rc<Shared>,
    sending: compio::runtime::JoinHandle<()>,
}

struct Shared {
    prefix: Box<str>,
    service: Box<str>,
    deadline: Duration,
    ready: Vec<(SocketAddr, Cell<bool>)>,
    stopped: Cell<bool>,
    traffic: RefCell<Traffic>,
}

impl Callers {
    /// Starts sending to `hosts`. `prefix` makes the requests' names unique.
    pub fn start(hosts: &[EntryHost], service: &str, prefix: &str, deadline: Duration) -> Self {
        let shared = Rc::new(Shared {
            prefix: prefix.into(),
            service: service.into(),
            deadline,
            ready: hosts.iter().map(|h| (h.callers, Cell::new(false))).collect(),
            stopped: Cell::new(false),
            traffic: RefCell::default(),
        });
        for (at, host) in hosts.iter().enumerate() {
            spawn(probe(shared.clone(), at, host.platform)).detach();
        }
        let sending = spawn(send_all(shared.clone()));
        Self { shared, sending }
    }

    /// Returns the number of requests answered so far.
    pub fn answered(&self) -> usize {
        let traffic = self.shared.traffic.borrow();
        traffic.values().filter(|sent| sent.outcome == Outcome::Answered).count()
    }

    /// Waits until `more` further requests have been answered.
    pub async fn wait_for_answers(&self, more: usize) {
        let wanted = self.answered() + more;
        super::wait_for("answers", async || self.answered() >= wanted).await;
    }

    /// Stops sending, waits for the requests in flight and returns all outcomes.
    pub async fn stop(self) -> Traffic {
        self.shared.stopped.set(true);
        self.sending.await.unwrap();
        self.shared.traffic.take()
    }
}

async fn probe(shared: Rc<Shared>, at: usize, platform: SocketAddr) {
    let client = JsonClient::new(None, PROBE_TIMEOUT).unwrap();
    while !shared.stopped.get() {
        let answer = client.send(Method::GET, platform, "/ready", Vec::new()).await;
        shared.ready[at].1.set(answer.is_ok());
        compio::time::sleep(PROBE_PERIOD).await;
    }
}

async fn send_all(shared: Rc<Shared>) {
    let mut in_flight = Vec::new();
    for number in 0..MAX_REQUESTS {
        if shared.stopped.get() {
            break;
        }
        in_flight.push(spawn(send(shared.clone(), number)));
        compio::time::sleep(SEND_PERIOD).await;
    }
    for request in in_flight {
        request.await.unwrap();
    }
}

/// Sends a request to a host that is ready. Like a load balancer, it tries the next
/// host if a connection fails.
async fn send(shared: Rc<Shared>, number: u64) {
    let hosts = shared.ready.len() as u64;
    for turn in number..number + hosts {
        let (addr, ready) = &shared.ready[(turn % hosts) as usize];
        if !ready.get() {
            continue;
        }
        let Ok(stream) = TcpStream::connect(*addr).await else {
            continue;
        };
        let name: Box<str> = format!("{}-{number}", shared.prefix).into();
        let idempotent = !number.is_multiple_of(3);
        let outcome = exchange(&shared, stream, &name, number).await;
        shared.traffic.borrow_mut().insert(name, SentRequest { idempotent, outcome });
        return;
    }
}

async fn exchange(shared: &Shared, stream: TcpStream, name: &str, number: u64) -> Outcome {
    let body = body_of(number);
    match round_trip(shared, stream, name, number, body.clone()).await {
        Ok(response) => classify(response, name, &body),
        Err(e) => Outcome::Cut(e.to_string().into()),
    }
}

async fn round_trip(
    shared: &Shared,
    stream: TcpStream,
    name: &str,
    number: u64,
    body: Bytes,
) -> Result<Response<Bytes>, hyper::Error> {
    let (mut sender, connection) = http1::handshake(HyperStream::new_plain(stream)).await?;
    let driving = spawn(connection);
    let response = sender.send_request(request(shared, name, number, body)).await?;
    let (parts, body): (_, Incoming) = response.into_parts();
    let body = body.collect().await?.to_bytes();
    drop(driving);
    Ok(Response::from_parts(parts, body))
}

/// Creates a request. Of every three requests, one is a POST that must run at most once,
/// one is a POST that is marked as idempotent, and one is a GET.
fn request(shared: &Shared, name: &str, number: u64, body: Bytes) -> Request<Full<Bytes>> {
    let (method, idempotent) = match number % 3 {
        0 => (Method::POST, "false"),
        1 => (Method::POST, "true"),
        _ => (Method::GET, "true"),
    };
    Request::builder()
        .method(method)
        .uri(format!("/{}/items", shared.service))
        .header("host", "entry")
        .header("connection", "close")
        .header(NUMBER_HEADER, name)
        .header("cyclamenloft-idempotent", idempotent)
        .header("cyclamenloft-deadline-ms", shared.deadline.as_millis().to_string())
        .body(Full::new(body))
        .unwrap()
}

/// Returns a body that differs between requests. A GET has none.
fn body_of(number: u64) -> Bytes {
    if number % 3 == 2 {
        return Bytes::new();
    }
    let length = number * 977 % MAX_BODY_BYTES;
    (0..length).map(|at| b'a' + ((at * 31 + number) % 26) as u8).collect()
}

fn classify(response: Response<Bytes>, name: &str, body: &Bytes) -> Outcome {
    if !response.status().is_success() {
        let outcome = response.headers().get("cyclamenloft-outcome");
        return match outcome.map(|v| v.as_bytes()) {
            Some(b"not-run") => Outcome::NotRun,
            Some(b"unknown") => Outcome::Unknown,
            other => Outcome::Wrong(format!("{} with outcome {other:?}", response.status()).into()),
        };
    }
    let answer = response.body();
    let head = answer.iter().position(|b| *b == b'\n').unwrap_or(answer.len());
    let own = answer[..head].ends_with(format!(" {name}").as_bytes());
    if own && answer.get(head + 1..) == Some(&body[..]) {
        return Outcome::Answered;
    }
    let shown = String::from_utf8_lossy(&answer[..head.min(80)]).into_owned();
    Outcome::Wrong(format!("{shown:?} and {} bytes", answer.len() - head).into())
}
