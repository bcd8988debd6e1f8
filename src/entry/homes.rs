//! Routes jobs to their home, the failure domain that owns them.
//!
//! A job's home is the one that its specification names, or else the domain with
//! the highest rendezvous hash of the job's id. Every entry host computes the same
//! home, so an id submitted on both sides of a network partition can't become two
//! jobs.

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

/// The time for which a call to this domain's control replicas is retried.
const LOCAL_CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// The time for which a call to another domain is retried.
const REMOTE_CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The timeout of a call to one entry host of another domain. It lies between
/// [`LOCAL_CALL_TIMEOUT`], after which the called host gives up, and
/// [`REMOTE_CALL_TIMEOUT`], after which this host does. A call to a host that became
/// unreachable without closing its connections therefore times out here, and the next
/// call tries another host first.
pub(super) const REMOTE_HOST_TIMEOUT: Duration = Duration::from_secs(9);

/// Another failure domain, reached through its entry hosts.
pub(crate) struct Remote {
    domain: DomainName,
    entries: PeerSet,
}

/// Creates the [`Remote`]s for the domains in the settings.
pub(super) fn remotes(client: &PeerClient, settings: &[RemoteDomain]) -> Vec<Remote> {
    let remote = |r: &RemoteDomain| Remote {
        domain: r.domain.clone(),
        entries: PeerSet::new(client.clone(), r.entries.clone()),
    };
    settings.iter().map(remote).collect()
}

/// Submits a job to its home.
pub(super) async fn submit(entry: &Entry, spec: JobSpec) -> Result<SubmitResponse> {
    let home = spec.home.clone().unwrap_or_else(|| home_of(entry, &spec.id));
    if home == entry.domain {
        return submit_local(entry, spec).await;
    }
    call_remote::<SubmitJob>(remote(entry, &home)?, &spec).await
}

/// Submits a job to the control leader of this domain, which must be the job's home.
pub(super) async fn submit_local(entry: &Entry, spec: JobSpec) -> Result<SubmitResponse> {
    entry.control.call::<SubmitJob>(&spec, Instant::now() + LOCAL_CALL_TIMEOUT).await
}

/// Reads a job from the domain that owns it.
pub(super) async fn read(entry: &Entry, id: JobId) -> Result<JobState> {
    let local = read_local(entry, id.clone()).await;
    let mut unreachable = None;
    match local {
        Err(e) if e.kind == ErrorKind::UnknownJob => {}
        Err(e) if !entry.remotes.is_empty() => unreachable = Some(e),
        answer => return answer,
    }
    let calls = entry.remotes.iter().map(|r| call_remote::<ReadJob>(r, &id));
    for answer in join_all(calls).await {
        match answer {
            Ok(state) => return Ok(state),
            Err(e) if e.kind == ErrorKind::UnknownJob => {}
            Err(e) => unreachable = Some(e),
        }
    }
    // A domain that can't be reached may be the job's home.
    Err(unreachable.unwrap_or_else(|| Error::new(ErrorKind::UnknownJob, format!("no job {id:?}"))))
}

/// Reads a job from this domain only.
pub(super) async fn read_local(entry: &Entry, id: JobId) -> Result<JobState> {
    entry.control.call::<ReadJob>(&id, Instant::now() + LOCAL_CALL_TIMEOUT).await
}

/// Lists the jobs of all reachable domains.
pub(super) async fn list(entry: &Entry) -> Result<Vec<JobSummary>> {
    let mut jobs = list_local(entry).await?;
    let calls = entry.remotes.iter().map(|r| call_remote::<ListJobs>(r, &Empty {}));
    jobs.extend(join_all(calls).await.into_iter().filter_map(Result::ok).flatten());
    Ok(jobs)
}

/// Lists the jobs of this domain.
pub(super) async fn list_local(entry: &Entry) -> Result<Vec<JobSummary>> {
    entry.control.call::<ListJobs>(&Empty {}, Instant::now() + LOCAL_CALL_TIMEOUT).await
}

/// Cancels jobs in the domains that own them. The answer lists the jobs that no domain
/// knows. If a domain can't be reached and a job was not found in the others, returns an
/// error instead.
pub(super) async fn cancel(entry: &Entry, ids: Vec<JobId>) -> Result<CancelResponse> {
    let local = cancel_local(entry, ids.clone());
    let remotes = join_all(entry.remotes.iter().map(|r| call_remote::<CancelJobs>(r, &ids)));
    let (local, remotes) = futures_util::join!(local, remotes);
    let mut cancelled = BTreeSet::new();
    let mut unreachable = None;
    for answer in std::iter::once(local).chain(remotes) {
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

/// Cancels jobs in this domain only.
pub(super) async fn cancel_local(entry: &Entry, ids: Vec<JobId>) -> Result<CancelResponse> {
    entry.control.call::<CancelJobs>(&ids, Instant::now() + LOCAL_CALL_TIMEOUT).await
}

/// Returns the home of a job whose specification names none. Every entry host computes
/// the same one, because the settings of all of them list the same set of domains.
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

async fn call_remote<M: Method>(remote: &Remote, params: &M::Params) -> Result<M::Response> {
    let call = remote.entries.call::<M>(params, Instant::now() + REMOTE_CALL_TIMEOUT);
    let answer = compio::time::timeout(REMOTE_CALL_TIMEOUT, call).await.unwrap_or_else(|_| {
        Err(Error::new(ErrorKind::PeerUnreachable, "no entry host answered in time"))
    });
    answer.map_err(|e| {
        // Without an answer, the other domain may or may not have made the change.
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
