//! A simulated target: it announces itself, responds after a fixed service time, and
//! records every request in a journal.

use crate::journal::{Event, Journal};
use cyclamenloft_http::{
    Handler, JsonClient, Limits, Request, Response, StopSignal, bind, full, read_limited, serve,
    stop_pair, text_response,
};
use cyclamenloft_target::{AnnounceResponse, EntryInFlight, TargetAnnouncement, TargetPhase};
use cyclamenloft_types::{DomainName, HostId, Result, ServiceName, TargetId};
use http::{HeaderMap, StatusCode};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Header with the number that the load generator gave a request.
pub const NUMBER_HEADER: &str = "x-request-number";
/// Largest request body that the stand-in accepts.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Time from the announcement that the target is leaving until it stops accepting
/// connections.
const LEAVE_DELAY: Duration = Duration::from_secs(4);
/// Timeout of an announcement to an entry host.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Settings of a simulated target.
#[derive(Clone, Debug)]
pub struct TargetSettings {
    /// The target's name.
    pub name: TargetId,
    /// The service that it provides.
    pub service: ServiceName,
    /// Its failure domain.
    pub domain: DomainName,
    /// The address to listen on; with port 0 the system chooses a port.
    pub addr: SocketAddr,
    /// Platform listeners of entry hosts, called in rotation.
    pub platforms: Vec<SocketAddr>,
    /// Processing time of each request.
    pub service_time: Duration,
    /// File of the journal; `None` writes none.
    pub journal: Option<PathBuf>,
}

/// A simulated target.
pub struct TargetStandin {
    settings: TargetSettings,
    journal: Journal,
    in_flight: Cell<usize>,
    by_entry: RefCell<BTreeMap<HostId, u16>>,
    phase: Cell<TargetPhase>,
    next_platform: Cell<usize>,
    last_sequence: Cell<u64>,
}

impl TargetStandin {
    /// Creates a target, which announces itself once [`run`](Self::run) is called.
    ///
    /// # Errors
    ///
    /// Returns an error if the journal can't be opened.
    pub fn new(settings: TargetSettings) -> Result<Rc<Self>> {
        let journal = Journal::open(&settings.name, settings.journal.as_deref())?;
        Ok(Rc::new(Self {
            settings,
            journal,
            in_flight: Cell::new(0),
            by_entry: RefCell::default(),
            phase: Cell::new(TargetPhase::Serving),
            next_platform: Cell::new(0),
            last_sequence: Cell::new(0),
        }))
    }

    /// Serves until `stop`, then announces that it is leaving and drains.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn run(self: &Rc<Self>, stop: StopSignal) -> Result<()> {
        let listener = bind(self.settings.addr)?;
        let addr = listener.local_addr().unwrap_or(self.settings.addr);
        let (mut serve_stop, signal) = stop_pair();
        let limits = Limits { drain: Duration::from_secs(10), ..Limits::default() };
        let serving = compio::runtime::spawn(serve(listener, limits, signal, self.clone()));
        let announcing = compio::runtime::spawn(self.clone().announce_loop(addr));
        stop.stopped().await;
        self.phase.set(TargetPhase::Leaving);
        self.announce(addr).await;
        compio::time::sleep(LEAVE_DELAY).await;
        serve_stop.stop();
        drop(announcing);
        serving.await.unwrap_or(Ok(()))
    }

    async fn announce_loop(self: Rc<Self>, addr: SocketAddr) {
        loop {
            let period = self.announce(addr).await;
            compio::time::sleep(period).await;
        }
    }

    /// Announces the target to the next entry host, or to the one after it if the call
    /// fails. Returns the time until the next announcement.
    async fn announce(&self, addr: SocketAddr) -> Duration {
        let announcement = TargetAnnouncement {
            target: self.settings.name.clone(),
            service: self.settings.service.clone(),
            domain: self.settings.domain.clone(),
            addr,
            sequence: self.next_sequence(),
            phase: self.phase.get(),
            in_flight: self.in_flight.get() as u16,
            by_entry: Some(self.count_by_entry()),
        };
        let Ok(client) = JsonClient::new(None, ANNOUNCE_TIMEOUT) else {
            return Duration::from_millis(200);
        };
        for _ in 0..self.settings.platforms.len() {
            let index = self.next_platform.get() % self.settings.platforms.len();
            self.next_platform.set(index + 1);
            let platform = self.settings.platforms[index];
            let answer: Result<AnnounceResponse> =
                client.post(platform, "/v1/targets/announce", &announcement).await;
            match answer {
                Ok(answer) => return Duration::from_millis(answer.period_ms),
                Err(e) => tracing::debug!(%platform, error = %e, "announcement not taken"),
            }
        }
        Duration::from_millis(200)
    }

    fn count_by_entry(&self) -> Vec<EntryInFlight> {
        let counts = self.by_entry.borrow();
        counts
            .iter()
            .filter(|(_, count)| **count > 0)
            .map(|(host, count)| EntryInFlight { host: host.clone(), in_flight: *count })
            .collect()
    }

    /// Returns a sequence number from the wall clock, so that the numbers increase
    /// across restarts too.
    fn next_sequence(&self) -> u64 {
        let now_us = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |t| u64::try_from(t.as_micros()).unwrap_or(u64::MAX));
        let next = now_us.max(self.last_sequence.get() + 1);
        self.last_sequence.set(next);
        next
    }

    async fn serve_request(&self, req: Request) -> Result<Response> {
        let number: Box<str> = req
            .headers()
            .get(NUMBER_HEADER)
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default()
            .into();
        let _in_flight = InFlightGuard::begin(self, req.headers());
        self.journal.write(Event::RequestBegan {
            number: number.clone(),
            in_flight: self.in_flight.get(),
            leaving: self.phase.get() == TargetPhase::Leaving,
        });
        let body = read_limited(req.into_body(), MAX_BODY_BYTES).await?;
        compio::time::sleep(self.settings.service_time).await;
        self.journal.write(Event::RequestEnded { number: number.clone() });
        // The response names the request and echoes its body, so that a caller can
        // detect a swapped or truncated response.
        let mut content = format!("{} {number}\n", self.settings.name).into_bytes();
        content.extend_from_slice(&body);
        Ok(Response::new(full(content)))
    }
}

/// Counts a request as in flight until it is dropped.
struct InFlightGuard<'a> {
    target: &'a TargetStandin,
    entry: HostId,
}

impl<'a> InFlightGuard<'a> {
    fn begin(target: &'a TargetStandin, headers: &HeaderMap) -> Self {
        let header = headers.get("cyclamenloft-entry").and_then(|v| v.to_str().ok());
        let entry: HostId = header.unwrap_or_default().into();
        target.in_flight.set(target.in_flight.get() + 1);
        *target.by_entry.borrow_mut().entry(entry.clone()).or_default() += 1;
        Self { target, entry }
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.target.in_flight.set(self.target.in_flight.get() - 1);
        if let Some(count) = self.target.by_entry.borrow_mut().get_mut(&self.entry) {
            *count -= 1;
        }
    }
}

impl Handler for TargetStandin {
    async fn handle(&self, req: Request, _remote: SocketAddr) -> Response {
        match self.serve_request(req).await {
            Ok(response) => response,
            Err(e) => text_response(StatusCode::BAD_REQUEST, e.to_string()),
        }
    }
}
