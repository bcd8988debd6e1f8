//! Carries out a request on any replica. The leader commits it; another replica forwards it
//! to the leader and answers itself. Callers lose some answers and may be sent to a leader
//! that is suspended, so a redirect would cost them a call that can fail on its own.

use crate::{
    node::{Node, own_id},
    port::Port,
    protocol::{PeerRequest, PeerResponse},
    requests,
};
use cyclamenloft_placement::submission::SubmissionState;
use cyclamenloft_types::{Error, ErrorKind, ReplicaId, Result};
use futures_util::future::{Either, select};
use std::{
    pin::pin,
    time::{Duration, Instant},
};

/// Pause before the next attempt when no leader is known or the attempt failed.
const RETRY_PAUSE: Duration = Duration::from_millis(30);

impl<P: Port> Node<P> {
    /// Carries out an idempotent request, here or on the leader, at most until `until`. It is
    /// repeated when another leader is elected. The request also counts as done once the
    /// state of this replica satisfies `is_done`, since that state is committed.
    ///
    /// # Errors
    ///
    /// `NoQuorum` if the request reached no leader, `ChangeUnknown` if it may have been
    /// carried out.
    pub(crate) async fn carry_out(
        &self,
        req: &PeerRequest,
        is_done: impl Fn(&SubmissionState) -> bool,
        until: Instant,
    ) -> Result<PeerResponse> {
        let mut unsure = false;
        while Instant::now() < until {
            if self.state(&is_done) {
                return Ok(PeerResponse::Done);
            }
            match self.attempt(req, &is_done, until).await {
                Ok(PeerResponse::NotLeader(_)) => {}
                Ok(PeerResponse::Unsure) => unsure = true,
                Ok(response) => return Ok(response),
                Err(e) => {
                    tracing::debug!(error = %e, "request not carried out by the leader");
                    unsure |= !e.kind.is_not_sent();
                }
            }
            compio::time::sleep(RETRY_PAUSE).await;
        }
        Err(if unsure {
            Error::new(ErrorKind::ChangeUnknown, "the leader has not answered in time")
        } else {
            Error::new(ErrorKind::NoQuorum, "no leader is known")
        })
    }

    async fn attempt(
        &self,
        req: &PeerRequest,
        is_done: impl Fn(&SubmissionState) -> bool,
        until: Instant,
    ) -> Result<PeerResponse> {
        if self.leads() {
            let response = requests::handle_request(self, req.clone());
            return Ok(compio::time::timeout_at(until, response)
                .await
                .unwrap_or(PeerResponse::Unsure));
        }
        let leader = self.replica.status().leader.filter(|id| *id != own_id(self));
        let Some(leader) = leader else { return Ok(PeerResponse::NotLeader(None)) };
        let response = pin!(self.peers.request(leader, req, until));
        let superseded = pin!(self.until_superseded(leader, is_done));
        match select(response, superseded).await {
            Either::Left((response, _)) => response,
            Either::Right(_) => Ok(PeerResponse::Unsure),
        }
    }

    /// Waits until the response of `leader` no longer matters: this replica knows that the
    /// request is done, or that another replica leads.
    async fn until_superseded(
        &self,
        leader: ReplicaId,
        is_done: impl Fn(&SubmissionState) -> bool,
    ) {
        loop {
            let status = self.replica.status();
            if status.leader != Some(leader) || self.state(&is_done) {
                return;
            }
            self.replica.changed(status.applied).await;
        }
    }
}
