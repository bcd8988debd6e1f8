//! The listener for operators and submitters of jobs.

use super::Entry;
use cyclamenloft_http::{
    Handler, Request, Response, Token, error_response, json_response, read_json,
};
use cyclamenloft_operator::{ConfigFile, Draft};
use cyclamenloft_peer::{
    Method, PeerSet,
    calls::{
        ApplyConfig, ApplyParams, CancelJobs, ConfigHistory, ConfigUpdate, ListJobs, ListWorkers,
        Nothing, ProcessStatus, ReadJob, ServiceStatus, StatusAnswer, SubmitJob, WaitConfigParams,
    },
};
use cyclamenloft_types::{Error, ErrorKind, JobId, JobSpec, Result, check_name};
use http::{Method as HttpMethod, StatusCode};
use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

/// Largest configuration in bytes.
const MAX_CONFIG_BYTES: usize = 2 * 1024 * 1024;
/// Largest job in bytes.
const MAX_JOB_BYTES: usize = 64 * 1024;
/// Largest list of jobs to cancel in bytes.
const MAX_CANCEL_BYTES: usize = 1024 * 1024;
/// Time for which an operator's call is passed on.
const PASS_ON: Duration = Duration::from_secs(10);

/// Answers operators.
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
                pass_on::<SubmitJob>(&entry.control, &spec).await
            }
            (HttpMethod::GET, "/v1/jobs") => pass_on::<ListJobs>(&entry.control, &Nothing {}).await,
            (HttpMethod::POST, "/v1/jobs/cancel") => {
                let ids: Vec<JobId> = read_json(req.into_body(), MAX_CANCEL_BYTES).await?;
                pass_on::<CancelJobs>(&entry.control, &ids).await
            }
            (HttpMethod::POST, "/v1/config") => {
                let params: ApplyParams = read_json(req.into_body(), MAX_CONFIG_BYTES).await?;
                check_name("author", &params.author)?;
                Draft::from_files(params.files.clone()).check()?;
                pass_on::<ApplyConfig>(&entry.config_voters, &params).await
            }
            (HttpMethod::GET, "/v1/config") => {
                Ok(json_response(StatusCode::OK, &show(entry).await))
            }
            (HttpMethod::GET, "/v1/config/history") => {
                pass_on::<ConfigHistory>(&entry.config_voters, &Nothing {}).await
            }
            (HttpMethod::GET, "/v1/workers") => {
                pass_on::<ListWorkers>(&entry.control, &Nothing {}).await
            }
            (HttpMethod::GET, "/v1/status") => {
                Ok(json_response(StatusCode::OK, &whole_status(entry).await))
            }
            (HttpMethod::GET, path) if path.starts_with("/v1/jobs/") => {
                let id = check_name("job id", path.trim_start_matches("/v1/jobs/"))?;
                pass_on::<ReadJob>(&entry.control, &id).await
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

async fn pass_on<M: Method>(to: &PeerSet, params: &M::Params) -> Result<Response> {
    let answer = to.call::<M>(params, Instant::now() + PASS_ON).await?;
    Ok(json_response(StatusCode::OK, &answer))
}

async fn show(entry: &Entry) -> ConfigUpdate {
    let files: Option<Vec<ConfigFile>> =
        entry.board.answer_wait(WaitConfigParams { above: 0, wait_ms: 0 }).await.files;
    ConfigUpdate { number: entry.board.number(), files }
}

/// The standing of this entry host.
pub(super) fn status(entry: &Entry) -> StatusAnswer {
    let registry = entry.registry.borrow();
    let now = Instant::now();
    let deployment = entry.board.deployment();
    let services = deployment.services.keys().map(|service| ServiceStatus {
        service: service.clone(),
        targets: registry.valid(now).filter(|a| a.service == *service).count(),
    });
    StatusAnswer {
        host: entry.host.clone(),
        domain: entry.domain.clone(),
        program: "entry".into(),
        ready: entry.readiness.is_ready(),
        config: entry.board.number(),
        groups: Vec::new(),
        services: services.collect(),
    }
}

/// The standing of this host and of every control replica that answers.
async fn whole_status(entry: &Entry) -> Vec<StatusAnswer> {
    let mut all = vec![status(entry)];
    all.extend(entry.control.call_each::<ProcessStatus>(&Nothing {}).await);
    all
}
