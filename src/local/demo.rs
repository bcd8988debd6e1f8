//! The demo of `cyclamenloft local`: a simulated service and workers, requests, a
//! job and a change of configuration.

use super::{Addresses, DOMAIN};
use cyclamenloft_http::{JsonClient, StopHandle, Token, stop_pair};
use cyclamenloft_operator::{
    ConfigFile,
    messages::{ApplyRequest, ApplyResponse, ShowResponse},
};
use cyclamenloft_peer::calls::{StatusResponse, SubmitResponse};
use cyclamenloft_standin::{
    LoadSettings, TargetSettings, TargetStandin, WorkerSettings, WorkerStandin, load,
};
use cyclamenloft_types::{
    Error, ErrorKind, JobSpec, JobState, Priority, Resources, Result, TaskState,
};
use std::{
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::{Duration, Instant},
};

const SERVICE: &str = "matchdesk";
const TARGETS: usize = 3;
const WORKERS: usize = 2;
const TASKS: u32 = 6;
/// The timeout of each step of the demo.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);
/// The time between two reads of a state.
const POLL_PERIOD: Duration = Duration::from_millis(50);
/// The time for which requests are sent.
const LOAD_DURATION: Duration = Duration::from_secs(2);
/// Requests per second.
const LOAD_RATE: f64 = 200.0;

/// The demo's running stand-ins.
pub(super) struct StandIns {
    handle: StopHandle,
    targets: Vec<compio::runtime::JoinHandle<Result<()>>>,
}

impl StandIns {
    /// Stops the stand-ins and waits until the targets have left gracefully.
    pub(super) async fn stop(mut self) {
        self.handle.stop();
        for target in self.targets {
            target.await.ok();
        }
    }
}

/// Shows requests, a job and a change of configuration. Returns the stand-ins,
/// which keep running.
pub(super) async fn run(addrs: Addresses, token: Token) -> Result<StandIns> {
    let operators = JsonClient::new(Some(token), Duration::from_secs(15))?;
    wait_until_ready(addrs, &operators).await?;
    apply(addrs, &operators, 1, "[services.matchdesk]\nslots = 8\ndeadline = \"2s\"\n").await?;
    println!("configuration 1 accepted: service {SERVICE} with 8 slots a target");
    let stand_ins = start_stand_ins(addrs)?;
    wait_for_targets(addrs, &operators).await?;
    show_requests(addrs).await?;
    show_job(addrs, &operators).await?;
    show_config_change(addrs, &operators).await?;
    Ok(stand_ins)
}

fn start_stand_ins(addrs: Addresses) -> Result<StandIns> {
    let (handle, stop) = stop_pair();
    let mut targets = Vec::new();
    for number in 1..=TARGETS {
        let target = TargetStandin::new(TargetSettings {
            name: format!("target-{number}").into(),
            service: SERVICE.into(),
            domain: DOMAIN.into(),
            addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            platforms: vec![addrs.platform],
            service_time: Duration::from_millis(5),
            journal: None,
        })?;
        let stop = stop.clone();
        targets.push(compio::runtime::spawn(async move { target.run(stop).await }));
    }
    for number in 1..=WORKERS {
        let worker = WorkerStandin::new(WorkerSettings {
            name: format!("worker-{number}").into(),
            boot: 1,
            domain: DOMAIN.into(),
            rack: "rack-1".into(),
            capacity: Resources::new(4000, 8192, 0),
            platforms: vec![addrs.platform],
            fails_everything: false,
            journal: None,
        })?;
        let stop = stop.clone();
        let run = async move { Rc::clone(&worker).run(stop).await };
        compio::runtime::spawn(run).detach();
    }
    Ok(StandIns { handle, targets })
}

async fn show_requests(addrs: Addresses) -> Result<()> {
    let report = load::run(LoadSettings {
        entries: vec![addrs.callers],
        service: SERVICE.into(),
        rate: LOAD_RATE,
        time: LOAD_DURATION,
        deadline: Duration::from_secs(2),
        prefix: "demo".into(),
    })
    .await?;
    println!(
        "{} requests sent, {} answered whole, {} refused, p50 {:.1} ms, p99 {:.1} ms",
        report.sent,
        report.answered,
        report.refused,
        report.p50_us as f64 / 1000.0,
        report.p99_us as f64 / 1000.0
    );
    Ok(())
}

async fn show_job(addrs: Addresses, operators: &JsonClient) -> Result<()> {
    let spec = JobSpec {
        id: "quotation-run-1".into(),
        team: "quotations".into(),
        class: "quotation".into(),
        priority: Priority::Batch,
        tasks: TASKS,
        resources: Resources::new(1000, 1024, 0),
        run_time_ms: 500,
        deadline_ms: None,
        home: None,
        payload: "".into(),
    };
    let began = Instant::now();
    let submitted: SubmitResponse = operators.post(addrs.operators, "/v1/jobs", &spec).await?;
    println!("job {} accepted with {TASKS} tasks", submitted.job);
    let path = format!("/v1/jobs/{}", submitted.job);
    wait_for("the job to finish", async || {
        let state: JobState = operators.get(addrs.operators, &path).await?;
        Ok(state.tasks.iter().all(|task| *task == TaskState::Finished))
    })
    .await?;
    println!("job {} finished after {:.1} s", submitted.job, began.elapsed().as_secs_f64());
    Ok(())
}

async fn show_config_change(addrs: Addresses, operators: &JsonClient) -> Result<()> {
    let began = Instant::now();
    apply(addrs, operators, 2, "[services.matchdesk]\nslots = 4\ndeadline = \"1s\"\n").await?;
    wait_for("configuration 2", async || {
        let update: ShowResponse = operators.get(addrs.operators, "/v1/config").await?;
        Ok(update.number == 2)
    })
    .await?;
    println!("configuration 2 in force after {:.0} ms", began.elapsed().as_secs_f64() * 1000.0);
    Ok(())
}

async fn apply(
    addrs: Addresses,
    operators: &JsonClient,
    number: u64,
    content: &str,
) -> Result<ApplyResponse> {
    let files = vec![ConfigFile { name: "10-demo.toml".into(), text: content.into() }];
    let req = ApplyRequest { number, author: "demo".into(), files };
    operators.post(addrs.operators, "/v1/config", &req).await
}

async fn wait_until_ready(addrs: Addresses, operators: &JsonClient) -> Result<()> {
    wait_for("the entry host", async || {
        let status: Result<Vec<StatusResponse>> =
            operators.get(addrs.operators, "/v1/status").await;
        Ok(status.is_ok_and(|all| all.len() > 1 && all.iter().all(|s| s.ready)))
    })
    .await
}

async fn wait_for_targets(addrs: Addresses, operators: &JsonClient) -> Result<()> {
    wait_for("the targets", async || {
        let all: Vec<StatusResponse> = operators.get(addrs.operators, "/v1/status").await?;
        let targets: usize = all.iter().flat_map(|s| &s.services).map(|s| s.targets).sum();
        Ok(targets == TARGETS)
    })
    .await
}

async fn wait_for(what: &str, reached: impl AsyncFn() -> Result<bool>) -> Result<()> {
    let deadline = Instant::now() + STEP_TIMEOUT;
    while !reached().await? {
        if Instant::now() > deadline {
            return Err(Error::new(
                ErrorKind::Internal,
                format!("demo: timed out waiting for {what}"),
            ));
        }
        compio::time::sleep(POLL_PERIOD).await;
    }
    Ok(())
}
