//! The HTTP API for targets, workers and the load balancer's probes.

use super::{Entry, services::accept_announcement};
use cyclamenloft_http::{
    Handler, Request, Response, error_response, json_response, read_json, text_response,
};
use cyclamenloft_peer::{
    Method, PeerSet,
    calls::{AnnounceWorker, ReportWorker, WaitOrders},
};
use cyclamenloft_placement::OrdersRequest;
use cyclamenloft_target::{AnnounceResponse, TargetAnnouncement};
use cyclamenloft_types::{Error, ErrorKind, Result};
use cyclamenloft_worker::paths;
use http::{Method as HttpMethod, StatusCode};
use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

/// The path of targets' announcements.
pub const ANNOUNCE_TARGET: &str = "/v1/targets/announce";
/// The path of the load balancer's readiness probe.
pub const READY: &str = "/ready";
/// The path of the liveness probe.
pub const LIVE: &str = "/live";

/// The maximum size of a target's announcement in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 4 * 1024;
/// The time for which a worker's message to the control leader is retried.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(4);

/// The maximum duration of a long poll for orders at one control replica. A worker's
/// request for a longer wait is shortened to this.
const ORDERS_WAIT: Duration = Duration::from_secs(5);
/// The timeout of a long poll for orders at one control replica. It ends before the
/// worker gives up. A poll at a replica that became unreachable without closing its
/// connections therefore times out here, and the next poll tries another replica first.
pub(super) const ORDERS_TIMEOUT: Duration = Duration::from_secs(6);

/// Handles the requests of targets, workers and the load balancer.
pub(super) struct PlatformHandler(pub(super) Rc<Entry>);

impl PlatformHandler {
    async fn respond(&self, req: Request) -> Result<Response> {
        let path = req.uri().path().to_owned();
        let control = &self.0.control;
        match (req.method(), &*path) {
            (&HttpMethod::GET, READY) => Ok(self.ready()),
            (&HttpMethod::GET, LIVE) => Ok(text_response(StatusCode::OK, "live\n")),
            (&HttpMethod::POST, ANNOUNCE_TARGET) => self.announce_target(req).await,
            (&HttpMethod::POST, paths::ANNOUNCE) => {
                let params = read_json(req.into_body(), paths::MAX_ANNOUNCEMENT_BYTES).await?;
                forward::<AnnounceWorker>(control, &params).await
            }
            (&HttpMethod::POST, paths::REPORT) => {
                let params = read_json(req.into_body(), paths::MAX_REPORT_BYTES).await?;
                forward::<ReportWorker>(control, &params).await
            }
            (&HttpMethod::POST, paths::ORDERS) => {
                let limit = paths::MAX_ORDERS_REQUEST_BYTES;
                let mut params: OrdersRequest = read_json(req.into_body(), limit).await?;
                params.wait_ms = params.wait_ms.min(ORDERS_WAIT.as_millis() as u64);
                forward::<WaitOrders>(&self.0.orders, &params).await
            }
            (method, path) => {
                Err(Error::new(ErrorKind::NotFound, format!("no {method} on path {path:?}")))
            }
        }
    }

    fn ready(&self) -> Response {
        if self.0.readiness.is_ready() {
            return text_response(StatusCode::OK, "ready\n");
        }
        error_response(&Error::new(ErrorKind::Draining, "not ready"))
    }

    async fn announce_target(&self, req: Request) -> Result<Response> {
        let announcement: TargetAnnouncement =
            read_json(req.into_body(), MAX_ANNOUNCEMENT_BYTES).await?;
        announcement.check()?;
        let entry = &*self.0;
        if announcement.domain != entry.domain {
            return Err(Error::new(
                ErrorKind::BadRequest,
                format!(
                    "target {:?} of domain {:?}: expected {:?}",
                    announcement.target, announcement.domain, entry.domain
                ),
            ));
        }
        if accept_announcement(entry, &announcement, Instant::now()) {
            entry.announcements.send(&announcement);
        }
        Ok(json_response(StatusCode::OK, &AnnounceResponse::default()))
    }
}

/// Forwards a worker's message to the control leader and returns the answer.
async fn forward<M: Method>(control: &PeerSet, params: &M::Params) -> Result<Response> {
    let answer = control.call::<M>(params, Instant::now() + FORWARD_TIMEOUT).await?;
    Ok(json_response(StatusCode::OK, &answer))
}

impl Handler for PlatformHandler {
    async fn handle(&self, req: Request, remote: SocketAddr) -> Response {
        let path = req.uri().path().to_owned();
        self.respond(req).await.unwrap_or_else(|e| {
            if e.kind == ErrorKind::BadRequest {
                tracing::warn!(%remote, path, error = %e, "message not understood");
            }
            error_response(&e)
        })
    }
}
