//! Jobs and their homes: each job is owned by one failure domain.
//!
//! A job's home is what the job states, or else the domain with the highest
//! rendezvous hash of the job's id. Both are the same wherever the job is sent,
//! so that one id sent to two sides of a network partition can't live twice.

use super::Entry;
use crate::settings::raw::RemoteDomain;
use cyclamenloft_peer::{
    Method, PeerClient, PeerSet,
    calls::{
        CancelJobs, CancelResponse, Empty, JobSummary, ListJobs, ReadJob, SubmitJob, SubmitResponse,
    },
};
use cyclamenloft_types::{DomainName, Error, ErrorKind, JobId, JobSpec, JobState, Result};
use futures_util::future::join_all;
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};
use xxhash_rust::xxh3::xxh3_64;

/// Time for which a call is passed on inside the domain.
const PASS_ON_HERE: Duration = Duration::from_secs(8);
/// Time for which a call is passed on to another domain.
const PASS_ON_AWAY: Duration = Duration::from_secs(10);

/// Longest wait for one entry host of another domain. Between the time that the
/// other side takes to give up and the time that this side does, so that a host
/// that is cut off without a sign is not asked first again.
pub(super) const AWAY_TIMEOUT: Duration = Duration::from_secs(9);

/// Another failure domain, reached through its entry hosts.
pub(crate) struct Remote {
    domain: DomainName,
    entries: PeerSet,
}

/// Prepares the calls to other domains.
pub(super) fn remotes(client: &PeerClient, settings: &[RemoteDomain]) -> Vec<Remote> {
    let remote = |r: &RemoteDomain| Remote {
        domain: r.domain.clone(),
        entries: PeerSet::new(client.clone(), r.entries.clone()),
    };
    settings.iter().map(remote).collect()
}

/// Hands a job to its home.
pub(super) async fn submit(entry: &Entry, spec: JobSpec) -> Result<SubmitResponse> {
    let home = spec.home.clone().unwrap_or_else(|| home_of(entry, &spec.id));
    if home == entry.domain {
        return submit_here(entry, spec).await;
    }
    call_away::<SubmitJob>(remote(entry, &home)?, &spec).await
}

/// Hands a job whose home is here to the control leader.
pub(super) async fn submit_here(entry: &Entry, spec: JobSpec) -> Result<SubmitResponse> {
    entry.control.call::<SubmitJob>(&spec, Instant::now() + PASS_ON_HERE).await
}

/// Reads a job from the domain that owns it.
pub(super) async fn read(entry: &Entry, id: JobId) -> Result<JobState> {
    let here = read_here(entry, id.clone()).await;
    let mut unreachable = None;
    match here {
        Err(e) if e.kind == ErrorKind::UnknownJob => {}
        Err(e) if !entry.remotes.is_empty() => unreachable = Some(e),
        decided => return decided,
    }
    let asked = entry.remotes.iter().map(|r| call_away::<ReadJob>(r, &id));
    for answer in join_all(asked).await {
        match answer {
            Ok(state) => return Ok(state),
            Err(e) if e.kind == ErrorKind::UnknownJob => {}
            Err(e) => unreachable = Some(e),
        }
    }
    // A domain that can't be asked may be the job's home.
    Err(unreachable.unwrap_or_else(|| Error::new(ErrorKind::UnknownJob, format!("no job {id:?}"))))
}

/// Reads a job that this domain may own.
pub(super) async fn read_here(entry: &Entry, id: JobId) -> Result<JobState> {
    entry.control.call::<ReadJob>(&id, Instant::now() + PASS_ON_HERE).await
}

/// Lists the jobs of every domain that can be reached.
pub(super) async fn list(entry: &Entry) -> Result<Vec<JobSummary>> {
    let mut jobs = list_here(entry).await?;
    let asked = entry.remotes.iter().map(|r| call_away::<ListJobs>(r, &Empty {}));
    jobs.extend(join_all(asked).await.into_iter().filter_map(Result::ok).flatten());
    Ok(jobs)
}

/// Lists the jobs of this domain.
pub(super) async fn list_here(entry: &Entry) -> Result<Vec<JobSummary>> {
    entry.control.call::<ListJobs>(&Empty {}, Instant::now() + PASS_ON_HERE).await
}

/// Cancels jobs wherever they live. Jobs that no domain knows are named; where
/// a domain can't be reached, jobs that were not found elsewhere are an error.
pub(super) async fn cancel(entry: &Entry, ids: Vec<JobId>) -> Result<CancelResponse> {
    let here = cancel_here(entry, ids.clone());
    let away = join_all(entry.remotes.iter().map(|r| call_away::<CancelJobs>(r, &ids)));
    let (here, away) = futures_util::join!(here, away);
    let mut cancelled = BTreeSet::new();
    let mut unreachable = None;
    for answer in std::iter::once(here).chain(away) {
        match answer {
            Ok(answer) => cancelled.extend(answer.cancelled),
            Err(e) => unreachable = Some(e),
        }
    }
    let unknown: Vec<JobId> = ids.into_iter().filter(|id| !cancelled.contains(id)).collect();
    match unreachable {
        Some(e) if !unknown.is_empty() => Err(e),
        _ => Ok(CancelResponse { cancelled: cancelled.into_iter().collect(), unknown }),
    }
}

/// Cancels jobs that this domain owns.
pub(super) async fn cancel_here(entry: &Entry, ids: Vec<JobId>) -> Result<CancelResponse> {
    entry.control.call::<CancelJobs>(&ids, Instant::now() + PASS_ON_HERE).await
}

/// The home of a job that states none. The names come from this host's
/// settings, which are the same set on every entry host.
fn home_of(entry: &Entry, id: &str) -> DomainName {
    let domains = entry.remotes.iter().map(|r| &r.domain).chain([&entry.domain]);
    let chosen = domains.max_by_key(|domain| xxh3_64(format!("{domain}/{id}").as_bytes()));
    chosen.unwrap_or(&entry.domain).clone()
}

fn remote<'a>(entry: &'a Entry, domain: &str) -> Result<&'a Remote> {
    entry.remotes.iter().find(|r| &*r.domain == domain).ok_or_else(|| {
        Error::new(ErrorKind::BadRequest, format!("home {domain:?}: no such failure domain"))
    })
}

async fn call_away<M: Method>(remote: &Remote, params: &M::Params) -> Result<M::Response> {
    let call = remote.entries.call::<M>(params, Instant::now() + PASS_ON_AWAY);
    let called = compio::time::timeout(PASS_ON_AWAY, call).await.unwrap_or_else(|_| {
        Err(Error::new(ErrorKind::PeerUnreachable, "no entry host answered in time"))
    });
    called.map_err(|e| {
        // Whether the other side took the call is known only where it answered.
        let kind = match e.kind {
            ErrorKind::PeerUnreachable => ErrorKind::ChangeUnknown,
            ErrorKind::NotReached | ErrorKind::NotLeader | ErrorKind::NoQuorum => {
                ErrorKind::HomeUnreachable
            }
            other => other,
        };
        Error::new(kind, format!("domain {}: {}", remote.domain, e.detail))
    })
}
