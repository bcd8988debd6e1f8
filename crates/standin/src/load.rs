//! A load generator: sends numbered requests at a steady rate, whatever the
//! answers do, and checks that each answer is whole and its own.

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

/// What is sent, where and for how long.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Callers' listeners of entry hosts, in turn, as a balancer would.
    pub entries: Vec<SocketAddr>,
    /// The service that is asked.
    pub service: ServiceName,
    /// Requests a second.
    pub rate: f64,
    /// How long requests are sent.
    pub time: Duration,
    /// Deadline that each request states.
    pub deadline: Duration,
    /// Prefix of the request numbers, unique to this run.
    pub prefix: Box<str>,
}

/// What came of the requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LoadReport {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers of the request's own.
    pub answered: u64,
    /// Refusals that say `not-run`.
    pub refused: u64,
    /// Errors that say `unknown`, or no answer.
    pub unknown: u64,
    /// Answers that were cut or belong to another request.
    pub wrong: u64,
    /// Percentiles of the answers' times in microseconds.
    pub p50_us: u64,
    /// See `p50_us`.
    pub p99_us: u64,
    /// See `p50_us`.
    pub p999_us: u64,
    /// Numbers of the requests that were refused as `not-run`.
    #[serde(skip)]
    pub refused_numbers: Vec<Box<str>>,
}

enum Answered {
    Whole,
    NotRun,
    Unknown,
    Wrong,
}

/// Sends the load and waits for every answer.
///
/// # Errors
///
/// [`ErrorKind::BadSetting`] where no entry host is given.
pub async fn run(settings: LoadSettings) -> Result<LoadReport> {
    if settings.entries.is_empty() || settings.rate <= 0.0 {
        return Err(Error::new(ErrorKind::BadSetting, "load: expected entry hosts and a rate"));
    }
    let client = cyper::Client::builder()
        .no_proxy()
        .build()
        .map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
    let histogram =
        Histogram::<u64>::new(3).map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
    let shared = Rc::new(RefCell::new((LoadReport::default(), histogram)));
    let count = (settings.rate * settings.time.as_secs_f64()) as u64;
    let began = Instant::now();
    let mut tasks = Vec::new();
    for number in 0..count {
        let due = began + Duration::from_secs_f64(number as f64 / settings.rate);
        compio::time::sleep_until(due).await;
        let entry = settings.entries[(number % settings.entries.len() as u64) as usize];
        let name: Box<str> = format!("{}-{number}", settings.prefix).into();
        let (client, settings, shared) = (client.clone(), settings.clone(), shared.clone());
        tasks.push(compio::runtime::spawn(async move {
            let answered = send_one(&client, &settings, entry, &name).await;
            let took = due.elapsed();
            record(&mut shared.borrow_mut(), answered, took, name);
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
    answered: Answered,
    took: Duration,
    number: Box<str>,
) {
    let (report, histogram) = shared;
    report.sent += 1;
    match answered {
        Answered::Whole => {
            report.answered += 1;
            // The histogram grows with its values, so that every value is taken.
            let _ = histogram.record(took.as_micros() as u64);
        }
        Answered::NotRun => {
            report.refused += 1;
            report.refused_numbers.push(number);
        }
        Answered::Unknown => report.unknown += 1,
        Answered::Wrong => report.wrong += 1,
    }
}

async fn send_one(
    client: &cyper::Client,
    settings: &LoadSettings,
    entry: SocketAddr,
    number: &str,
) -> Answered {
    let url = format!("http://{entry}/{}/items", settings.service);
    let deadline = settings.deadline.as_millis().to_string();
    let built = client
        .get(url)
        .and_then(|req| req.header(NUMBER_HEADER, number))
        .and_then(|req| req.header("cyclamenloft-deadline-ms", deadline));
    let Ok(req) = built else {
        return Answered::Wrong;
    };
    let Ok(response) = req.send().await else {
        return Answered::Unknown;
    };
    let outcome = response.headers().get("cyclamenloft-outcome").cloned();
    let ok = response.status().is_success();
    match (ok, outcome.as_ref().and_then(|v| v.to_str().ok()), response.text().await) {
        (true, _, Ok(text)) if text.lines().next().is_some_and(|l| l.ends_with(number)) => {
            Answered::Whole
        }
        (true, _, _) => Answered::Wrong,
        (false, Some("not-run"), _) => Answered::NotRun,
        (false, _, _) => Answered::Unknown,
    }
}
