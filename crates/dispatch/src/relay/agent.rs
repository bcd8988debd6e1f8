//! Makes calls to workers for the leader.

use super::{
    AnswerNumber, CallAnswer, CallNumber, RelayRequest, RelayedAnswer, RelayedCall, WorkerCall,
    WorkerEndpoint, holders::term_of,
};
use crate::{
    node::Node,
    notify::Notify,
    port::{OrderCall, PollCall, Port, tells_of_worker},
    protocol::{PeerResponse, encode},
};
use cyclamenloft_placement::submission::{OrderKind, fleet::OrderAnswer};
use cyclamenloft_types::Term;
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::{Duration, Instant},
};

/// Longest wait for an answer before the leader is told that there is none. It is also how
/// often the leader sees that this replica still makes its calls.
const ANSWERS_WAIT: Duration = Duration::from_millis(300);
/// How long further answers are awaited once there is one, so that they share a message.
const GATHER_TIME: Duration = Duration::from_millis(8);
/// Size after which a message to the leader takes no further answer, in bytes.
const MAX_ANSWERS_BYTES: usize = 256 << 10;
/// Time without a call after which the connections to a worker are closed: several times the
/// longest time between two polls.
const CONNECTION_IDLE: Duration = Duration::from_secs(8);

struct Connection<P: Port> {
    calls: Rc<P::Connection>,
    used: Instant,
}

/// The calls that this replica makes under one token.
struct Session<P: Port> {
    token: Term,
    connections: RefCell<BTreeMap<WorkerEndpoint, Connection<P>>>,
    next_sweep: Cell<Instant>,
    /// The answers that the leader may not have received yet.
    answers: RefCell<VecDeque<RelayedAnswer>>,
    last_answer: Cell<AnswerNumber>,
    answered: Notify,
}

impl<P: Port> Session<P> {
    fn new(token: Term, now: Instant) -> Self {
        Self {
            token,
            connections: RefCell::default(),
            next_sweep: Cell::new(now + CONNECTION_IDLE),
            answers: RefCell::default(),
            last_answer: Cell::new(0),
            answered: Notify::default(),
        }
    }

    fn connection(&self, port: &P, worker: WorkerEndpoint, now: Instant) -> Rc<P::Connection> {
        let mut connections = self.connections.borrow_mut();
        if now >= self.next_sweep.get() {
            self.next_sweep.set(now + CONNECTION_IDLE);
            connections.retain(|_, c| now < c.used + CONNECTION_IDLE);
        }
        let calls = || Rc::new(port.connection(&worker));
        let connection = match connections.get_mut(&worker) {
            Some(connection) => connection,
            None => {
                let connection = Connection { calls: calls(), used: now };
                connections.entry(worker).or_insert(connection)
            }
        };
        connection.used = now;
        connection.calls.clone()
    }

    fn record(&self, call: CallNumber, answer: &CallAnswer) {
        let encoded = match encode(answer) {
            Ok(encoded) => encoded,
            // The call then gets no answer, and the leader repeats it in another session.
            Err(e) => return tracing::error!(event = "answer-not-encoded", error = %e),
        };
        let number = self.last_answer.get() + 1;
        self.last_answer.set(number);
        self.answers.borrow_mut().push_back(RelayedAnswer { number, call, encoded });
        self.answered.notify();
    }

    /// Returns the answers after `received`, and forgets those up to it.
    fn take_answers(&self, received: AnswerNumber) -> Vec<RelayedAnswer> {
        let mut answers = self.answers.borrow_mut();
        while answers.front().is_some_and(|a| a.number <= received) {
            answers.pop_front();
        }
        let mut bytes = 0;
        let fits = |a: &&RelayedAnswer| {
            let is_first = bytes == 0;
            bytes += a.encoded.len();
            is_first || bytes <= MAX_ANSWERS_BYTES
        };
        answers.iter().take_while(fits).cloned().collect()
    }
}

/// Makes calls to workers for the leader.
pub(crate) struct Agent<P: Port> {
    session: RefCell<Option<Rc<Session<P>>>>,
}

impl<P: Port> Default for Agent<P> {
    fn default() -> Self {
        Self { session: RefCell::new(None) }
    }
}

impl<P: Port> Agent<P> {
    fn session(&self, token: Term) -> Option<Rc<Session<P>>> {
        self.session.borrow().as_ref().filter(|s| s.token == token).cloned()
    }

    /// Opens a session unless a later one is known.
    fn open(&self, token: Term, now: Instant) -> bool {
        let mut session = self.session.borrow_mut();
        if session.as_ref().is_some_and(|s| s.token >= token) {
            return false;
        }
        *session = Some(Rc::new(Session::new(token, now)));
        true
    }
}

/// Handles a request of the leader.
pub(crate) async fn handle<P: Port>(node: &Rc<Node<P>>, req: RelayRequest) -> PeerResponse {
    let status = node.replica.status();
    let (RelayRequest::Open { token }
    | RelayRequest::Calls { token, .. }
    | RelayRequest::Answers { token, .. }) = req;
    if term_of(token) < status.term {
        return PeerResponse::NotLeader(status.leader);
    }
    match req {
        RelayRequest::Open { .. } if !node.agent.open(token, Instant::now()) => {
            PeerResponse::Outdated
        }
        RelayRequest::Open { .. } => PeerResponse::RelayOpened(node.settings.domain.clone()),
        RelayRequest::Calls { calls, .. } => {
            let Some(session) = node.agent.session(token) else { return PeerResponse::Outdated };
            let now = Instant::now();
            for RelayedCall { number, worker, token, call } in calls {
                let id = worker.id.clone();
                let connection = session.connection(&node.port, worker, now);
                let (node, session) = (node.clone(), session.clone());
                compio::runtime::spawn(async move {
                    let answer = make_call(&node, &id, &connection, token, call).await;
                    session.record(number, &answer);
                })
                .detach();
            }
            PeerResponse::Done
        }
        RelayRequest::Answers { received, .. } => {
            let Some(session) = node.agent.session(token) else { return PeerResponse::Outdated };
            let seen = session.answered.change_count();
            let mut answers = session.take_answers(received);
            if answers.is_empty() {
                let answered = session.answered.changed(seen);
                if compio::time::timeout(ANSWERS_WAIT, answered).await.is_ok() {
                    compio::time::sleep(GATHER_TIME).await;
                }
                answers = session.take_answers(received);
            }
            PeerResponse::Answers(answers)
        }
    }
}

async fn make_call<P: Port>(
    node: &Node<P>,
    worker: &str,
    connection: &P::Connection,
    token: Term,
    call: WorkerCall,
) -> CallAnswer {
    match call {
        WorkerCall::Poll { lease_end_ms, acknowledged, wait_ms } => {
            let wait = Duration::from_millis(wait_ms.into());
            let call = PollCall { lease_end_ms, token, acknowledged, wait };
            match node.port.poll(connection, call).await {
                Ok((seen, last_end)) if seen.is_partial => CallAnswer::PolledInPart(seen, last_end),
                Ok((seen, last_end)) => CallAnswer::Polled(seen, last_end),
                Err(e) if tells_of_worker(e.kind) => CallAnswer::Failed(e.kind, e.detail),
                Err(e) => CallAnswer::PollFailed(e.to_string().into()),
            }
        }
        WorkerCall::Order { order, .. }
            if order.kind == OrderKind::Start && !node.may_start_on(worker) =>
        {
            CallAnswer::Ordered(OrderAnswer::NotSent, "the worker's domain is evacuated".into())
        }
        WorkerCall::Order { order, payload, checkpoint, ticket, lease_end_ms } => {
            let call = OrderCall { order, token, payload, checkpoint, ticket, lease_end_ms };
            let response = node.port.order(connection, &call).await;
            CallAnswer::Ordered(response.answer, response.detail)
        }
    }
}
