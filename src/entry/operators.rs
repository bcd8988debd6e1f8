//! The HTTP API for operators and submitters of jobs.

use super::{Entry, homes};
use cyclamenloft_http::{
    Handler, Request, Response, Token, error_response, json_response, read_json,
};
use cyclamenloft_operator::messages::{ApplyRequest, ApplyResponse, HistoryRequest, Refusal};
use cyclamenloft_peer::{
    Method, PeerSet,
    calls::{
        ApplyConfig, ConfigHistory, Empty, ListWorkers, ProcessStatus, ServiceStatus,
        StatusResponse,
    },
};
use cyclamenloft_types::{Error, ErrorKind, JobId, JobSpec, Result, check_name};
use http::{Method as HttpMethod, StatusCode};
use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

/// The maximum size of a configuration in bytes.
const MAX_CONFIG_BYTES: usize = 2 * 1024 * 1024;
/// The maximum size of a job in bytes.
const MAX_JOB_BYTES: usize = 64 * 1024;
/// The maximum size of a list of jobs to cancel in bytes.
const MAX_CANCEL_BYTES: usize = 1024 * 1024;
/// The time for which a forwarded call is retried.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(10);

/// Handles the requests of operators.
pub(super) struct OperatorHandler {
    pub(super) entry: Rc<Entry>,
    pub(super) token: Token,
}

impl OperatorHandler {
    async fn respond(&self, req: Request) -> Result<Response> {
        self.token.check(req.headers())?;
        let path = req.uri().path().to_owned();
        let entry = &*self.entry;
        match (req.method().clone(), &*path) {
            (HttpMethod::POST, "/v1/jobs") => {
                let spec: JobSpec = read_json(req.into_body(), MAX_JOB_BYTES).await?;
                spec.check()?;
                Ok(json_response(StatusCode::OK, &homes::submit(entry, spec).await?))
            }
            (HttpMethod::GET, "/v1/jobs") => {
                Ok(json_response(StatusCode::OK, &homes::list(entry).await?))
            }
            (HttpMethod::POST, "/v1/jobs/cancel") => {
                let ids: Vec<JobId> = read_json(req.into_body(), MAX_CANCEL_BYTES).await?;
                Ok(json_response(StatusCode::OK, &homes::cancel(entry, ids).await?))
            }
            (HttpMethod::POST, "/v1/config") => {
                let req: ApplyRequest = read_json(req.into_body(), MAX_CONFIG_BYTES).await?;
                apply(entry, req).await
            }
            (HttpMethod::GET, "/v1/config") => {
                Ok(json_response(StatusCode::OK, &entry.active_config.show()))
            }
            (HttpMethod::POST, "/v1/config/history") => {
                let req: HistoryRequest = read_json(req.into_body(), MAX_JOB_BYTES).await?;
                forward::<ConfigHistory>(&entry.config_voters, &req).await
            }
            (HttpMethod::GET, "/v1/workers") => {
                forward::<ListWorkers>(&entry.control, &Empty {}).await
            }
            (HttpMethod::GET, "/v1/status") => {
                Ok(json_response(StatusCode::OK, &domain_status(entry).await))
            }
            (HttpMethod::GET, path) if path.starts_with("/v1/jobs/") => {
                let id = check_name("job id", path.trim_start_matches("/v1/jobs/"))?;
                Ok(json_response(StatusCode::OK, &homes::read(entry, id).await?))
            }
            (method, path) => {
                Err(Error::new(ErrorKind::NotFound, format!("no {method} on path {path:?}")))
            }
        }
    }
}

impl Handler for OperatorHandler {
    async fn handle(&self, req: Request, _remote: SocketAddr) -> Response {
        self.respond(req).await.unwrap_or_else(|e| error_response(&e))
    }
}

async fn forward<M: Method>(to: &PeerSet, params: &M::Params) -> Result<Response> {
    let answer = to.call::<M>(params, Instant::now() + FORWARD_TIMEOUT).await?;
    Ok(json_response(StatusCode::OK, &answer))
}

/// Proposes a configuration to the config group. Invalid files are rejected here,
/// so that the group gets valid content only.
async fn apply(entry: &Entry, req: ApplyRequest) -> Result<Response> {
    let answer = match req.clone().check() {
        Ok(_) => {
            let deadline = Instant::now() + FORWARD_TIMEOUT;
            entry.config_voters.call::<ApplyConfig>(&req, deadline).await?
        }
        Err(Refusal::Invalid(report)) => ApplyResponse::Invalid((&report).into()),
        Err(Refusal::Error(e)) => return Err(e),
    };
    let kind = match &answer {
        ApplyResponse::Accepted(_) => return Ok(json_response(StatusCode::OK, &answer)),
        ApplyResponse::Conflict { .. } => ErrorKind::Conflict,
        ApplyResponse::Invalid(_) => ErrorKind::InvalidConfig,
    };
    let status = StatusCode::from_u16(kind.info().status).unwrap_or(StatusCode::CONFLICT);
    Ok(json_response(status, &answer))
}

/// Returns the status of this entry host.
pub(super) fn status(entry: &Entry) -> StatusResponse {
    let registry = entry.registry.borrow();
    let now = Instant::now();
    let checked = entry.active_config.checked();
    let services = checked.deployment().services.keys().map(|service| ServiceStatus {
        service: service.clone(),
        targets: registry.valid(now).filter(|a| a.service == *service).count(),
    });
    StatusResponse {
        host: entry.host.clone(),
        domain: entry.domain.clone(),
        program: "entry".into(),
        ready: entry.readiness.is_ready(),
        config: entry.active_config.number(),
        groups: Vec::new(),
        services: services.collect(),
    }
}

/// Returns the status of this host and of every control replica that answers.
async fn domain_status(entry: &Entry) -> Vec<StatusResponse> {
    let mut all = vec![status(entry)];
    all.extend(entry.control.call_all::<ProcessStatus>(&Empty {}).await);
    all
}
