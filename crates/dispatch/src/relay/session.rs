//! The leader's sessions with the replicas that call workers for it.

use super::{
    AnswerNumber, CallAnswer, CallNumber, RelayRequest, RelayedCall, WorkerCall, WorkerEndpoint,
    holders::{FirstSessions, Holder, Holders},
};
use crate::{
    leader::Leadership,
    node::{Node, own_id},
    notify::Notify,
    port::Port,
    protocol::{PeerRequest, PeerResponse, decode},
    recovery::RecoveryStep,
};
use cyclamenloft_types::{DomainName, Error, ErrorKind, ReplicaId, Result, Term};
use futures_channel::oneshot;
use futures_util::{
    StreamExt,
    future::{Either, select},
    stream::FuturesUnordered,
};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    pin::pin,
    rc::{Rc, Weak},
    time::{Duration, Instant},
};

/// Longest wait for a replica to accept a session.
const OPEN_TIMEOUT: Duration = Duration::from_millis(250);
/// Time without answers to the leader's requests after which a session ends: as long as a
/// worker's silence may last in a call, so that a silent replica costs no lease.
const SESSION_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time between two checks whether sessions are to be opened.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the end of a session before another one is opened with the same replica, so that
/// a replica whose link is bad doesn't take turns with the leader.
const REOPEN_DELAY: Duration = Duration::from_secs(4);
/// Shortest time between two messages with calls to a replica. Calls that arrive sooner share a
/// message.
const SEND_INTERVAL: Duration = Duration::from_millis(8);
/// Pause after a failed request for answers.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// One session with a replica.
pub(crate) struct Session {
    replica: ReplicaId,
    token: Term,
    last_call: Cell<CallNumber>,
    outbox: RefCell<Vec<RelayedCall>>,
    queued: Notify,
    waiting: RefCell<HashMap<CallNumber, oneshot::Sender<Result<CallAnswer>>>>,
    closed: Cell<bool>,
}

impl Session {
    fn new(replica: ReplicaId, token: Term) -> Self {
        Self {
            replica,
            token,
            last_call: Cell::new(0),
            outbox: RefCell::default(),
            queued: Notify::default(),
            waiting: RefCell::default(),
            closed: Cell::new(false),
        }
    }

    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Makes a call with a fencing token through the replica.
    ///
    /// # Errors
    ///
    /// `NotReached` if the call has certainly not left this host, `PeerUnreachable` if the
    /// worker may have received it.
    pub async fn call(
        &self,
        worker: WorkerEndpoint,
        token: Term,
        call: WorkerCall,
    ) -> Result<CallAnswer> {
        if self.closed.get() {
            return Err(self.error(ErrorKind::NotReached));
        }
        let number = self.last_call.get() + 1;
        self.last_call.set(number);
        let (tx, rx) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, tx);
        self.outbox.borrow_mut().push(RelayedCall { number, worker, token, call });
        self.queued.notify();
        rx.await.unwrap_or_else(|_| Err(self.error(ErrorKind::PeerUnreachable)))
    }

    fn answer(&self, call: CallNumber, answer: Result<CallAnswer>) {
        // Nobody waits for the answer if the incarnation of the worker has ended.
        if let Some(tx) = self.waiting.borrow_mut().remove(&call) {
            let _ = tx.send(answer);
        }
    }

    fn close(&self) {
        self.closed.set(true);
        for unsent in self.outbox.take() {
            self.answer(unsent.number, Err(self.error(ErrorKind::NotReached)));
        }
        self.waiting.borrow_mut().clear();
    }

    fn error(&self, kind: ErrorKind) -> Error {
        Error::new(kind, format!("the session {} with replica {} ended", self.token, self.replica))
    }
}

/// The sessions of a leader.
pub(crate) struct Relays {
    holders: RefCell<Holders>,
    sessions: RefCell<BTreeMap<Term, Rc<Session>>>,
    /// When the last session with each replica ended.
    ended_at: RefCell<BTreeMap<ReplicaId, Instant>>,
    first_sessions: RefCell<FirstSessions>,
    /// Notified when one of the first sessions is open or the attempts have ended.
    ready: Notify,
}

impl Relays {
    pub fn new(term: Term) -> Self {
        Self {
            holders: RefCell::new(Holders::new(term)),
            sessions: RefCell::default(),
            ended_at: RefCell::default(),
            first_sessions: RefCell::default(),
            ready: Notify::default(),
        }
    }

    /// Waits until it is clear which replica calls the workers of `domain` first.
    pub async fn ready_for(&self, leader_domain: &str, domain: &str) {
        loop {
            let seen = self.ready.change_count();
            if self.first_sessions.borrow().may_call(leader_domain, domain) {
                return;
            }
            self.ready.changed(seen).await;
        }
    }

    /// Returns the holder that is to call a worker of `domain` next, and the session in which it
    /// does so, or `None` if the leader makes the calls.
    pub fn next_holder(
        &self,
        domain: &str,
        worker: &WorkerEndpoint,
    ) -> (Holder, Option<Rc<Session>>) {
        let holder = self.holders.borrow_mut().next_holder(domain, worker);
        (holder, self.sessions.borrow().get(&holder.issued()).cloned())
    }

    /// Forgets the workers that have been replaced. Returns the number of the others.
    pub fn retain(&self, may_return: impl Fn(&WorkerEndpoint) -> bool) -> usize {
        let mut holders = self.holders.borrow_mut();
        holders.retain(may_return);
        holders.known_count()
    }

    /// Records that the leader is too busy to call workers itself.
    pub fn record_overload(&self) {
        if self.holders.borrow_mut().record_overload() {
            tracing::info!(event = "overloaded", sessions = self.sessions.borrow().len());
        }
    }

    fn has_ended_recently(&self, replica: ReplicaId, now: Instant) -> bool {
        self.ended_at.borrow().get(&replica).is_some_and(|at| now < *at + REOPEN_DELAY)
    }

    fn add(&self, domain: DomainName, session: &Rc<Session>) {
        self.first_sessions.borrow_mut().record_opened(domain.clone());
        self.holders.borrow_mut().opened(domain, session.replica, session.token);
        self.sessions.borrow_mut().insert(session.token, session.clone());
        self.ready.notify();
    }

    fn end(&self, session: &Session, now: Instant) {
        self.ended_at.borrow_mut().insert(session.replica, now);
        self.sessions.borrow_mut().remove(&session.token);
        self.holders.borrow_mut().closed(session.token);
        session.close();
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.sessions.borrow().values().for_each(|s| s.close());
    }
}

/// Keeps a session open with one replica of each failure domain other than the leader's own,
/// for as long as the leadership lasts.
pub(crate) async fn maintain<P: Port>(node: Rc<Node<P>>, leadership: Weak<Leadership>) {
    let mut domains: BTreeMap<ReplicaId, DomainName> = BTreeMap::new();
    while let Some(leadership) = leadership.upgrade() {
        if !node.leads() {
            drop(leadership);
            compio::time::sleep(CHECK_INTERVAL).await;
            continue;
        }
        let now = Instant::now();
        let me = own_id(&node);
        let status = node.replica.status();
        let is_wanted = |id: &ReplicaId| {
            let has_session = |domain: &DomainName| {
                *domain == node.settings.domain
                    || leadership.relays.holders.borrow().has_session(domain)
            };
            let domain = domains.get(id);
            *id != me
                && !domain.is_some_and(has_session)
                && !leadership.relays.has_ended_recently(*id, now)
        };
        let wanted = status.members.iter().map(|m| m.id).filter(is_wanted).collect::<Vec<_>>();
        let mut attempts: FuturesUnordered<_> =
            wanted.into_iter().map(|id| open(&node, &leadership, id)).collect();
        // A replica that doesn't answer delays only its own domain.
        while let Some((id, domain)) = attempts.next().await {
            let Some((domain, session)) = domain else { continue };
            domains.insert(id, domain.clone());
            let has_session = leadership.relays.holders.borrow().has_session(&domain);
            if domain == node.settings.domain || has_session || !node.leads() {
                continue;
            }
            leadership.relays.add(domain.clone(), &session);
            tracing::info!(event = "relay-opened", replica = id, %domain, token = session.token);
            let run = run(node.clone(), Rc::downgrade(&leadership), session);
            compio::runtime::spawn(run).detach();
        }
        drop(attempts);
        leadership.relays.first_sessions.borrow_mut().record_all_tried();
        leadership.relays.ready.notify();
        leadership.record_recovery(RecoveryStep::RelaysOpen);
        drop(leadership);
        compio::time::sleep(CHECK_INTERVAL).await;
    }
}

async fn open<P: Port>(
    node: &Node<P>,
    leadership: &Leadership,
    replica: ReplicaId,
) -> (ReplicaId, Option<(DomainName, Rc<Session>)>) {
    let token = leadership.relays.holders.borrow_mut().issue();
    let req = PeerRequest::Relay(RelayRequest::Open { token });
    let until = Instant::now() + OPEN_TIMEOUT;
    let opened = match node.peers.request(replica, &req, until).await {
        Ok(PeerResponse::RelayOpened(domain)) => {
            Some((domain, Rc::new(Session::new(replica, token))))
        }
        _ => None,
    };
    (replica, opened)
}

/// Exchanges calls and answers until the replica stops answering or the leadership ends.
async fn run<P: Port>(node: Rc<Node<P>>, leadership: Weak<Leadership>, session: Rc<Session>) {
    let send = pin!(send_calls(&node, &session));
    let receive = pin!(receive_answers(&node, &leadership, &session));
    let reason = match select(send, receive).await {
        Either::Left((never, _)) => match never {},
        Either::Right((reason, _)) => reason,
    };
    match leadership.upgrade() {
        Some(leadership) => leadership.relays.end(&session, Instant::now()),
        None => session.close(),
    }
    tracing::info!(
        event = "relay-closed", replica = session.replica, token = session.token, reason = %reason
    );
    node.metrics.count("relay", "closed");
}

async fn send_calls<P: Port>(node: &Node<P>, session: &Session) -> std::convert::Infallible {
    loop {
        let seen = session.queued.change_count();
        let calls = session.outbox.take();
        if calls.is_empty() {
            session.queued.changed(seen).await;
            continue;
        }
        let began = Instant::now();
        let numbers: Vec<CallNumber> = calls.iter().map(|c| c.number).collect();
        node.metrics.count_many("relay", "calls", numbers.len() as u64);
        node.metrics.count("relay", "messages");
        let req = PeerRequest::Relay(RelayRequest::Calls { token: session.token, calls });
        let until = began + SESSION_TIMEOUT;
        let failure = match node.peers.request(session.replica, &req, until).await {
            Ok(PeerResponse::Done) => None,
            // The replica has not made the calls.
            Ok(_) => Some(ErrorKind::NotReached),
            // The state of the replica tells nothing of the workers.
            Err(e) if e.kind.is_not_sent() => Some(ErrorKind::NotReached),
            Err(_) => Some(ErrorKind::PeerUnreachable),
        };
        if let Some(kind) = failure {
            for number in numbers {
                session.answer(number, Err(session.error(kind)));
            }
        }
        compio::time::sleep_until(began + SEND_INTERVAL).await;
    }
}

/// Receives answers until the session ends, and returns why it has ended.
async fn receive_answers<P: Port>(
    node: &Node<P>,
    leadership: &Weak<Leadership>,
    session: &Session,
) -> Box<str> {
    let mut received: AnswerNumber = 0;
    let mut answered_at = Instant::now();
    loop {
        if leadership.strong_count() == 0 {
            return "the leadership has ended".into();
        }
        let req = RelayRequest::Answers { token: session.token, received };
        let until = answered_at + SESSION_TIMEOUT;
        match node.peers.request(session.replica, &PeerRequest::Relay(req), until).await {
            Ok(PeerResponse::Answers(answers)) => {
                answered_at = Instant::now();
                for answer in answers {
                    received = received.max(answer.number);
                    // A call is answered once, however often its answer arrives.
                    session.answer(answer.call, decode(&answer.encoded));
                }
            }
            Ok(response) => return format!("the replica answered {response:?}").into(),
            Err(e) if Instant::now() >= until => return e.to_string().into(),
            Err(e) => {
                tracing::debug!(replica = session.replica, error = %e, "no answers");
                compio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}
