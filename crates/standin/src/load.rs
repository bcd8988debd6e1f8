//! An open-loop load generator: sends numbered requests at a constant rate, however
//! long responses take, and checks that each response is complete and belongs to its
//! request.

use crate::target::NUMBER_HEADER;
use cyclamenloft_types::{Error, ErrorKind, Result, ServiceName};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

/// Settings of a load.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Addresses at which entry hosts listen for callers; requests go to them in
    /// rotation, as behind a load balancer.
    pub entries: Vec<SocketAddr>,
    /// The service that the requests name.
    pub service: ServiceName,
    /// Requests per second.
    pub rate: f64,
    /// Time during which requests are sent.
    pub time: Duration,
    /// Deadline in the header of each request.
    pub deadline: Duration,
    /// Prefix of the request numbers, which must be unique to this run.
    pub prefix: Box<str>,
}

/// Results of a load.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LoadReport {
    /// Number of requests sent.
    pub sent: u64,
    /// Number of responses that were complete and belonged to their request.
    pub answered: u64,
    /// Number of error responses whose outcome header says `not-run`.
    pub refused: u64,
    /// Number of requests that got any other error response or no response.
    pub unknown: u64,
    /// Number of responses that were truncated or belonged to another request.
    pub wrong: u64,
    /// Latency percentiles of the answered requests, in microseconds from the time at
    /// which each request was due.
    pub p50_us: u64,
    /// See `p50_us`.
    pub p99_us: u64,
    /// See `p50_us`.
    pub p999_us: u64,
    /// Numbers of the requests that were refused as `not-run`.
    #[serde(skip)]
    pub refused_numbers: Vec<Box<str>>,
}

/// How a request ended.
enum RequestOutcome {
    Complete,
    NotRun,
    Unknown,
    Wrong,
}

/// Sends the load and waits for all responses.
///
/// # Errors
///
/// [`ErrorKind::BadSetting`] without an entry host or a positive rate.
pub async fn run(settings: LoadSettings) -> Result<LoadReport> {
    if settings.entries.is_empty() || settings.rate <= 0.0 {
        return Err(Error::new(
            ErrorKind::BadSetting,
            "load: expected entry hosts and a positive rate",
        ));
    }
    let client = cyper::Client::builder()
        .no_proxy()
        .build()
        .map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
    let histogram =
        Histogram::<u64>::new(3).map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
    let shared = Rc::new(RefCell::new((LoadReport::default(), histogram)));
    let count = (settings.rate * settings.time.as_secs_f64()) as u64;
    let started = Instant::now();
    let mut tasks = Vec::new();
    for index in 0..count {
        let due = started + Duration::from_secs_f64(index as f64 / settings.rate);
        compio::time::sleep_until(due).await;
        let entry = settings.entries[(index % settings.entries.len() as u64) as usize];
        let number: Box<str> = format!("{}-{index}", settings.prefix).into();
        let (client, settings, shared) = (client.clone(), settings.clone(), shared.clone());
        tasks.push(compio::runtime::spawn(async move {
            let outcome = send_one(&client, &settings, entry, &number).await;
            let latency = due.elapsed();
            record(&mut shared.borrow_mut(), outcome, latency, number);
        }));
    }
    for task in tasks {
        task.await.ok();
    }
    let (mut report, histogram) = shared.borrow().clone();
    report.p50_us = histogram.value_at_quantile(0.5);
    report.p99_us = histogram.value_at_quantile(0.99);
    report.p999_us = histogram.value_at_quantile(0.999);
    Ok(report)
}

fn record(
    shared: &mut (LoadReport, Histogram<u64>),
    outcome: RequestOutcome,
    latency: Duration,
    number: Box<str>,
) {
    let (report, histogram) = shared;
    report.sent += 1;
    match outcome {
        RequestOutcome::Complete => {
            report.answered += 1;
            // The histogram resizes itself, so that it accepts every value.
            let _ = histogram.record(latency.as_micros() as u64);
        }
        RequestOutcome::NotRun => {
            report.refused += 1;
            report.refused_numbers.push(number);
        }
        RequestOutcome::Unknown => report.unknown += 1,
        RequestOutcome::Wrong => report.wrong += 1,
    }
}

async fn send_one(
    client: &cyper::Client,
    settings: &LoadSettings,
    entry: SocketAddr,
    number: &str,
) -> RequestOutcome {
    let url = format!("http://{entry}/{}/items", settings.service);
    let deadline = settings.deadline.as_millis().to_string();
    let req = client
        .get(url)
        .and_then(|req| req.header(NUMBER_HEADER, number))
        .and_then(|req| req.header("cyclamenloft-deadline-ms", deadline));
    let Ok(req) = req else {
        return RequestOutcome::Wrong;
    };
    let Ok(response) = req.send().await else {
        return RequestOutcome::Unknown;
    };
    let outcome_header = response.headers().get("cyclamenloft-outcome").cloned();
    let ok = response.status().is_success();
    match (ok, outcome_header.as_ref().and_then(|v| v.to_str().ok()), response.text().await) {
        (true, _, Ok(text)) if text.lines().next().is_some_and(|l| l.ends_with(number)) => {
            RequestOutcome::Complete
        }
        (true, _, _) => RequestOutcome::Wrong,
        (false, Some("not-run"), _) => RequestOutcome::NotRun,
        (false, _, _) => RequestOutcome::Unknown,
    }
}
