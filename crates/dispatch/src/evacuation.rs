//! Evacuation of failure domains, as ordered by operators at any replica.

use crate::{
    leader::Leadership,
    node::{Node, own_id, wall_ms},
    port::Port,
    protocol::{PeerRequest, PeerResponse},
};
use cyclamenloft_placement::submission::{
    Command, CommandResult, IncarnationId, SubmissionState,
    evacuation::{EvacuationOutcome, EvacuationVersion},
    fleet::{evacuation_start_bound, latest_start_ms},
};
use cyclamenloft_types::{DomainName, Error, ErrorKind, ReplicaId, Result};
use futures_util::future::join_all;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Longest wait for the other replicas to state their domains: thirty round trips between
/// failure domains.
const DOMAINS_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause before an order is carried out. A call that was held up by a cut or while this host was
/// suspended arrives together with the end of its connection, since its caller has given up on it.
/// It may be older than orders that other replicas have acknowledged. The connection's end is
/// noticed within a round of the event loop.
const ABANDONED_CALL_PAUSE: Duration = Duration::from_millis(20);

/// Pause before an order that had no effect is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(15);

impl<P: Port> Node<P> {
    /// Evacuates a failure domain or withdraws the order, at most until `until`. When this
    /// returns, this order or an equal one that came after the call is committed. An order that
    /// has no effect, because another one was committed first, is tried again.
    ///
    /// The replica first applies everything that was acknowledged before the call. Otherwise an
    /// order at a replica that lags, for example after a suspension, would count as earlier than
    /// one that was acknowledged before it. From then on only an equal order that was applied after
    /// the call arrived counts as done.
    ///
    /// The order is carried out after a short pause. If the caller's connection has closed by then,
    /// the server drops this future, and the order has no effect.
    ///
    /// # Errors
    ///
    /// Those of [`Self::carry_out`].
    pub async fn evacuate(&self, domain: DomainName, on: bool, until: Instant) -> Result<()> {
        self.catch_up(until).await?;
        let mut expected = self.state(|s| s.evacuations().version());
        compio::time::sleep(ABANDONED_CALL_PAUSE).await;
        loop {
            let is_done = |s: &SubmissionState| {
                let evacuations = s.evacuations();
                evacuations.version_of(&domain) > expected && evacuations.contains(&domain) == on
            };
            let req = PeerRequest::Evacuate { domain: domain.clone(), on, expected };
            match self.change(&req, is_done, until).await {
                // Another order came first, maybe an older one that only now was committed.
                Err(e) if e.kind == ErrorKind::Conflict && Instant::now() < until => {
                    compio::time::sleep(RETRY_PAUSE).await;
                    expected = self.state(|s| s.evacuations().version());
                }
                result => return result,
            }
        }
    }

    /// Commits an evacuation order as the leader.
    pub(crate) async fn commit_evacuation(
        &self,
        domain: DomainName,
        on: bool,
        expected: EvacuationVersion,
    ) -> Result<()> {
        let name = domain.clone();
        let command = Command::Evacuate { domain, on, expected, at_ms: wall_ms() };
        let CommandResult::Evacuated(outcome, version) = self.propose(command).await? else {
            return Err(Error::new(ErrorKind::Internal, "unexpected result of an evacuation"));
        };
        tracing::info!(
            decision = "evacuate", domain = %name, on, version, outcome = outcome.as_str()
        );
        self.metrics.count("evacuate", outcome.as_str());
        if outcome == EvacuationOutcome::Superseded {
            return Err(Error::new(ErrorKind::Conflict, "a later order for the domain stands"));
        }
        if matches!(outcome, EvacuationOutcome::InForce | EvacuationOutcome::Withdrawn) {
            self.wake_domain(&name);
            self.decision_due.notify();
        }
        Ok(())
    }

    /// Wakes the order tasks of a domain's workers: runs that are placed there and not started
    /// are to be stopped.
    fn wake_domain(&self, domain: &str) {
        if let Some(leadership) = &*self.leadership.borrow() {
            self.state(|s| {
                let inside = s.incarnations().filter(|(_, i)| *i.worker.domain == *domain);
                inside.for_each(|(id, _)| leadership.wake(id));
            });
        }
    }

    /// Checks that a domain has a replica or a worker, or was evacuated before.
    ///
    /// # Errors
    ///
    /// `BadRequest` if it has none. `NoQuorum` if that isn't certain, because this replica can't
    /// catch up with the group or another replica doesn't state its domain.
    pub async fn check_domain(&self, domain: &str, until: Instant) -> Result<()> {
        if self.knows_domain(domain) {
            return Ok(());
        }
        // A replica that lags, or has lost its disk, knows of few workers and members.
        self.catch_up(until).await?;
        if self.knows_domain(domain) {
            return Ok(());
        }
        let members = self.replica.status().members;
        let others = members.iter().map(|m| m.id).filter(|id| *id != own_id(self));
        let answers = join_all(others.map(|id| self.domain_of(id))).await;
        let silent = answers.iter().filter(|a| a.is_none()).count();
        let mut known: BTreeSet<DomainName> = answers.into_iter().flatten().collect();
        if known.contains(domain) {
            return Ok(());
        }
        if silent > 0 {
            let detail = format!("domain {domain:?}: {silent} replicas don't state their domains");
            return Err(Error::new(ErrorKind::NoQuorum, detail));
        }
        known.insert(self.settings.domain.clone());
        known.extend(self.state(|s| {
            let domains = s.incarnations().map(|(_, i)| i.worker.domain.clone());
            domains.collect::<BTreeSet<_>>()
        }));
        Err(unknown_domain(domain, known.iter()))
    }

    fn knows_domain(&self, domain: &str) -> bool {
        *self.settings.domain == *domain
            || self.state(|s| {
                s.evacuations().version_of(domain) > 0
                    || s.incarnations().any(|(_, i)| *i.worker.domain == *domain)
            })
    }

    /// Returns whether a task may be started on a worker, as far as this replica knows. A replica
    /// that makes calls for the leader may know of an evacuation before that leader, or while the
    /// leader is one that has been replaced.
    pub(crate) fn may_start_on(&self, worker: &str) -> bool {
        self.state(|s| {
            let known = s.newest_incarnation(worker).map(|(_, i)| &i.worker.domain);
            !s.evacuations().contains(known.unwrap_or(&self.settings.domain))
        })
    }

    /// Returns the latest time, on the worker's clock in milliseconds, at which the worker may
    /// carry out a start that is sent now; `None` if nothing limits it.
    pub(crate) fn latest_start_ms(
        &self,
        leadership: &Leadership,
        incarnation: IncarnationId,
        now: Instant,
    ) -> Option<u64> {
        let clock_ms = leadership.fleet.borrow().view(incarnation)?.lease.clock_ms(now);
        latest_start_ms(clock_ms, self.settings.evacuation_bound.map(evacuation_start_bound))
    }

    async fn domain_of(&self, replica: ReplicaId) -> Option<DomainName> {
        let until = Instant::now() + DOMAINS_TIMEOUT;
        match self.peers.request(replica, &PeerRequest::Where, until).await {
            Ok(PeerResponse::Standing(status)) => Some(status.domain),
            _ => None,
        }
    }
}

/// The numbers of runs that were reported last, by evacuated domain.
#[derive(Default)]
pub(crate) struct Reported {
    runs_left: BTreeMap<DomainName, usize>,
    led: bool,
}

impl Reported {
    /// Updates the gauges. The leader also logs each domain whose number of runs has changed, and
    /// a new leader all of them.
    pub(crate) fn update<P: Port>(&mut self, node: &Node<P>) {
        let runs_left = node.state(|s| s.runs_left());
        for domain in self.runs_left.keys().filter(|domain| !runs_left.contains_key(*domain)) {
            node.metrics.domain_level("evacuated", domain, 0);
            node.metrics.domain_level("runs-left", domain, 0);
        }
        let leads = node.leads();
        for (domain, left) in &runs_left {
            node.metrics.domain_level("evacuated", domain, 1);
            node.metrics.domain_level("runs-left", domain, *left);
            if leads && (!self.led || self.runs_left.get(domain) != Some(left)) {
                tracing::info!(event = "evacuated", %domain, runs_left = left);
            }
        }
        (self.runs_left, self.led) = (runs_left, leads);
    }
}

/// Returns the error for an order that names none of the `known` domains.
pub fn unknown_domain<'a>(domain: &str, known: impl Iterator<Item = &'a DomainName>) -> Error {
    let known: Vec<&str> = known.map(|d| &**d).collect();
    let known = known.join(", ");
    Error::new(ErrorKind::BadRequest, format!("domain {domain:?}: expected one of {known}"))
}
