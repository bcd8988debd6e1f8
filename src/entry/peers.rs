//! The RPC methods of an entry process, and the requests that other entry hosts
//! hand over.

use super::{Entry, homes, operators::status, services::accept_announcement, slots, spill};
use cyclamenloft_caller::{HopHandler, hop::HOP_PATH};
use cyclamenloft_http::{Handler, Request, Response};
use cyclamenloft_peer::{
    Method, PeerHandler, RpcService, answer,
    calls::{
        AskKey, CancelJobs, Empty, ExchangeSlots, ForwardedTargets, ListJobs, ProcessStatus,
        ReadJob, ReadWaits, SpreadTargets, SubmitJob, WaitConfig,
    },
};
use cyclamenloft_types::{Error, ErrorKind, Result};
use serde_json::value::RawValue;
use std::{net::SocketAddr, rc::Rc, time::Instant};

/// Handles all requests to the peers' listener.
pub(super) struct PeersHandler {
    /// Handles RPC calls.
    pub(super) rpc: RpcService<EntryHandler>,
    /// Handles requests that other entry hosts hand over.
    pub(super) hops: HopHandler,
}

impl Handler for PeersHandler {
    async fn handle(&self, req: Request, remote: SocketAddr) -> Response {
        if req.uri().path().starts_with(HOP_PATH) {
            return self.hops.handle(req, remote).await;
        }
        self.rpc.handle(req, remote).await
    }
}

/// Handles the calls that peers send to an entry process.
pub(super) struct EntryHandler(pub(super) Rc<Entry>);

impl PeerHandler for EntryHandler {
    async fn call(&self, method: &str, params: &str) -> Result<Box<RawValue>> {
        let entry = &*self.0;
        match method {
            SpreadTargets::NAME => {
                answer::<SpreadTargets, _>(params, |p| async move {
                    Ok(accept_announcements(entry, &p))
                })
                .await
            }
            ExchangeSlots::NAME => {
                let exchange =
                    |p| async move { Ok(slots::handle_messages(entry, p, Instant::now())) };
                answer::<ExchangeSlots, _>(params, exchange).await
            }
            ReadWaits::NAME => {
                answer::<ReadWaits, _>(params, |_| async move { Ok(spill::waits(entry)) }).await
            }
            AskKey::NAME => {
                let ask = |p| async move { entry.keys.handle(p, Instant::now()) };
                answer::<AskKey, _>(params, ask).await
            }
            WaitConfig::NAME => {
                let wait = |p| async move { Ok(entry.active_config.wait_for_update(p).await) };
                answer::<WaitConfig, _>(params, wait).await
            }
            SubmitJob::NAME => {
                answer::<SubmitJob, _>(params, |p| homes::submit_local(entry, p)).await
            }
            ReadJob::NAME => answer::<ReadJob, _>(params, |p| homes::read_local(entry, p)).await,
            ListJobs::NAME => answer::<ListJobs, _>(params, |_| homes::list_local(entry)).await,
            CancelJobs::NAME => {
                answer::<CancelJobs, _>(params, |p| homes::cancel_local(entry, p)).await
            }
            ProcessStatus::NAME => {
                answer::<ProcessStatus, _>(params, |_| async { Ok(status(entry)) }).await
            }
            _ => Err(Error::new(
                ErrorKind::NotFound,
                format!("an entry process has no method {method:?}"),
            )),
        }
    }

    async fn log_message(&self, group: &str, _message: &[u8]) -> Result<Vec<u8>> {
        Err(Error::new(ErrorKind::NotFound, format!("no replica of group {group:?} here")))
    }
}

fn accept_announcements(entry: &Entry, forwarded: &ForwardedTargets) -> Empty {
    let now = Instant::now();
    for announcement in &forwarded.announcements {
        accept_announcement(entry, announcement, now);
    }
    if let Some(e) = forwarded.skipped.first() {
        entry.skipped.record(forwarded.skipped.len() as u64, e, now);
    }
    Empty {}
}
