//! The RPC methods of a control process.

use super::{
    CONFIG_GROUP, Control, PLACEMENT_GROUP,
    placement::{commit, with_scheduler},
};
use cyclamenloft_operator::messages::{
    ApplyRequest, ApplyResponse, HistoryRequest, HistoryResponse, Proposal, Refusal,
};
use cyclamenloft_peer::{
    Method, PeerHandler, answer,
    calls::{
        AnnounceWorker, ApplyConfig, CancelJobs, CancelResponse, ConfigHistory, GroupStatus,
        JobSummary, ListJobs, ListWorkers, ProcessStatus, ReadJob, ReportWorker, StatusResponse,
        SubmitJob, SubmitResponse, WaitConfig, WaitOrders, WorkerSummary,
    },
};
use cyclamenloft_placement::{
    Announcement, Command, Lease, NumberedOrder, OrdersRequest, Report, Timestamp,
    command::Applied, state::Job,
};
use cyclamenloft_replication::{MemberKind, Replica, StateMachine, Status};
use cyclamenloft_types::{Error, ErrorKind, JobId, JobSpec, JobState, Result, TaskState};
use cyclamenloft_worker::{check_announcement, check_orders_request, check_report};
use serde_json::value::RawValue;
use std::{rc::Rc, time::Duration};

/// Handles the calls and log messages that peers send to a control process.
pub(crate) struct ControlHandler(pub(crate) Rc<Control>);

impl PeerHandler for ControlHandler {
    async fn call(&self, method: &str, params: &str) -> Result<Box<RawValue>> {
        let control = &*self.0;
        match method {
            AnnounceWorker::NAME => {
                answer::<AnnounceWorker, _>(params, |p| announce(control, p)).await
            }
            ReportWorker::NAME => answer::<ReportWorker, _>(params, |p| report(control, p)).await,
            WaitOrders::NAME => answer::<WaitOrders, _>(params, |p| orders(control, p)).await,
            ListWorkers::NAME => {
                answer::<ListWorkers, _>(params, |_| async { Ok(workers(control)) }).await
            }
            SubmitJob::NAME => answer::<SubmitJob, _>(params, |p| submit(control, p)).await,
            ReadJob::NAME => answer::<ReadJob, _>(params, |p| read_job(control, p)).await,
            ListJobs::NAME => answer::<ListJobs, _>(params, |_| list_jobs(control)).await,
            CancelJobs::NAME => answer::<CancelJobs, _>(params, |p| cancel(control, p)).await,
            ApplyConfig::NAME => answer::<ApplyConfig, _>(params, |p| apply(control, p)).await,
            WaitConfig::NAME => {
                let wait = |p| async move { Ok(control.active_config.wait_for_update(p).await) };
                answer::<WaitConfig, _>(params, wait).await
            }
            ConfigHistory::NAME => {
                answer::<ConfigHistory, _>(params, |p| history(control, p)).await
            }
            ProcessStatus::NAME => {
                answer::<ProcessStatus, _>(params, |_| async { Ok(status(control)) }).await
            }
            _ => Err(Error::new(
                ErrorKind::NotFound,
                format!("a control process has no method {method:?}"),
            )),
        }
    }

    async fn log_message(&self, group: &str, message: &[u8]) -> Result<Vec<u8>> {
        match (group, &self.0.config) {
            (PLACEMENT_GROUP, _) => self.0.placement.handle(message).await,
            (CONFIG_GROUP, Some(config)) => config.handle(message).await,
            _ => {
                Err(Error::new(ErrorKind::NotFound, format!("no replica of group {group:?} here")))
            }
        }
    }
}

async fn announce(control: &Control, announcement: Announcement) -> Result<Lease> {
    check_announcement(&announcement)?;
    if announcement.domain != control.domain {
        return Err(Error::new(
            ErrorKind::BadRequest,
            format!("worker of domain {:?}: expected {:?}", announcement.domain, control.domain),
        ));
    }
    let command = with_scheduler(control, |s| s.announce(&announcement, Timestamp::now()))?;
    commit(control, command).await??;
    with_scheduler(control, |s| s.lease())
}

async fn report(control: &Control, report: Report) -> Result<Lease> {
    check_report(&report)?;
    let commands = with_scheduler(control, |scheduler| {
        control.placement.state(|state| scheduler.report(state, &report, Timestamp::now()))
    })??;
    for command in commands {
        commit(control, command).await??;
    }
    with_scheduler(control, |s| s.lease())
}

async fn orders(control: &Control, req: OrdersRequest) -> Result<Vec<NumberedOrder>> {
    check_orders_request(&req)?;
    let find = async {
        loop {
            let seen = control.orders_queued.change_count();
            let orders = with_scheduler(control, |s| s.orders(&req.worker, req.boot, req.handled))?;
            if !orders.is_empty() {
                return Ok(orders);
            }
            control.orders_queued.changed(seen).await;
        }
    };
    match compio::time::timeout(Duration::from_millis(req.wait_ms), find).await {
        Ok(found) => found,
        Err(_) => Ok(Vec::new()),
    }
}

fn workers(control: &Control) -> Vec<WorkerSummary> {
    control.placement.state(|state| {
        state
            .workers()
            .map(|w| WorkerSummary {
                worker: w.record.id.clone(),
                rack: w.record.rack.clone(),
                alive: w.alive,
                capacity: w.record.capacity,
                reserved: w.reserved,
                tasks: w.tasks.len(),
            })
            .collect()
    })
}

async fn submit(control: &Control, spec: JobSpec) -> Result<SubmitResponse> {
    spec.check()?;
    if spec.home.as_ref().is_some_and(|home| *home != control.domain) {
        return Err(Error::new(
            ErrorKind::HomeUnreachable,
            format!("job {:?}: this is {}, not its home", spec.id, control.domain),
        ));
    }
    let job = spec.id.clone();
    let at_unix_ms = Timestamp::now().unix_ms();
    let applied = commit(control, Command::Submit { spec, at_unix_ms }).await??;
    Ok(SubmitResponse { job, already: applied == Applied::Already })
}

async fn read_job(control: &Control, id: JobId) -> Result<JobState> {
    control.placement.barrier().await?;
    control.placement.state(|state| state.job_state(&id))
}

async fn list_jobs(control: &Control) -> Result<Vec<JobSummary>> {
    control.placement.barrier().await?;
    Ok(control.placement.state(|state| state.jobs().map(summarize).collect()))
}

fn summarize(job: &Job) -> JobSummary {
    let count = |predicate: fn(&TaskState) -> bool| {
        job.tasks.iter().filter(|task| predicate(&task.state)).count()
    };
    JobSummary {
        job: job.spec.id.clone(),
        team: job.spec.team.clone(),
        tasks: job.tasks.len(),
        waiting: count(|s| matches!(s, TaskState::Waiting { .. })),
        running: count(|s| matches!(s, TaskState::Placed { .. } | TaskState::Evicting { .. })),
        finished: count(|s| matches!(s, TaskState::Finished)),
    }
}

async fn cancel(control: &Control, ids: Vec<JobId>) -> Result<CancelResponse> {
    let exists = |id: &JobId| control.placement.state(|state| state.job_state(id).is_ok());
    control.placement.barrier().await?;
    let (cancelled, unknown): (Vec<JobId>, Vec<JobId>) = ids.into_iter().partition(exists);
    if !cancelled.is_empty() {
        commit(control, Command::Cancel(cancelled.clone())).await??;
    }
    Ok(CancelResponse { cancelled, unknown })
}

async fn apply(control: &Control, req: ApplyRequest) -> Result<ApplyResponse> {
    let Some(config) = &control.config else {
        return Err(Error::new(
            ErrorKind::NotLeader,
            format!("{} is no replica of the config group", control.host),
        ));
    };
    let Proposal { number, author, checked } = match req.check() {
        Ok(proposal) => proposal,
        Err(Refusal::Invalid(report)) => return Ok(ApplyResponse::Invalid((&report).into())),
        Err(Refusal::Error(e)) => return Err(e),
    };
    config.barrier().await?;
    let at_unix_ms = Timestamp::now().unix_ms();
    let files = checked.files().to_vec();
    let command = config.state(|state| state.command(number, files, author, at_unix_ms));
    let decided = config.propose(command).await?;
    config.state(|state| ApplyResponse::from_result(state, number, decided))
}

async fn history(control: &Control, req: HistoryRequest) -> Result<HistoryResponse> {
    match &control.config {
        Some(config) => {
            config.barrier().await?;
            Ok(config.state(|state| HistoryResponse::page(state, &req)))
        }
        None => Err(Error::new(ErrorKind::NotLeader, "no replica of the config group here")),
    }
}

fn status(control: &Control) -> StatusResponse {
    let mut groups = vec![group_status(PLACEMENT_GROUP, &control.placement)];
    groups.extend(control.config.as_ref().map(|c| group_status(CONFIG_GROUP, c)));
    StatusResponse {
        host: control.host.clone(),
        domain: control.domain.clone(),
        program: "control".into(),
        ready: groups.iter().all(|g| g.leader.is_some()) && has_caught_up(control),
        config: control.active_config.number(),
        groups,
        services: Vec::new(),
    }
}

/// Returns whether this replica has at some time applied every entry that it had
/// on disk or knew to be committed. A replica that lags under load afterwards is
/// still ready.
fn has_caught_up(control: &Control) -> bool {
    let config_applied = control.config.as_ref().is_none_or(|config| {
        is_applied(&config.status())
            && control.active_config.number() >= config.state(|s| s.number())
    });
    let caught_up =
        control.caught_up.get() || (config_applied && is_applied(&control.placement.status()));
    control.caught_up.set(caught_up);
    caught_up
}

/// Returns whether every known entry is applied. Returns false until the group
/// has been formed and this replica has heard from its leader, because no entry
/// is known to be committed before that.
fn is_applied(status: &Status) -> bool {
    status.committed > 0 && status.applied >= status.committed.max(status.durable)
}

fn group_status<M: StateMachine>(group: &str, replica: &Replica<M>) -> GroupStatus {
    let status = replica.status();
    let role = if is_learner(&status) { "learner".into() } else { format!("{:?}", status.role) };
    GroupStatus {
        group: group.into(),
        role: role.to_lowercase().into(),
        leader: status.leader,
        committed: status.committed,
    }
}

/// Returns whether this replica is a learner: the group has not made it a voter or witness
/// yet, or has not done so again since the replica lost its files.
fn is_learner(status: &Status) -> bool {
    let own = status.members.iter().find(|m| m.incarnation == status.incarnation);
    own.is_none_or(|own| own.kind == MemberKind::Learner)
}
