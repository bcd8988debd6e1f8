//! Aliases for the ids that several crates use, and the check of names that
//! come from outside the process.

use crate::{Error, ErrorKind, Result};

/// Name of an entry or control host.
pub type HostId = Box<str>;
/// Name of a worker: a machine that runs tasks.
pub type WorkerId = Box<str>;
/// Name of a target: one backend instance of a service.
pub type TargetId = Box<str>;
/// Name of a service.
pub type ServiceName = Box<str>;
/// Name of a caller: the value of the `Cyclamenloft-Caller` header or, if that is
/// absent, the caller's address.
pub type CallerName = Box<str>;
/// Name of a failure domain.
pub type DomainName = Box<str>;
/// Name of a rack inside a failure domain.
pub type RackName = Box<str>;
/// Name of a team that owns jobs and quotas.
pub type TeamName = Box<str>;
/// Id of a job, chosen by its submitter.
pub type JobId = Box<str>;
/// Class of a job; resource usage and interference are learned per class.
pub type JobClass = Box<str>;
/// Id of a request, unique across entry hosts.
pub type RequestId = Box<str>;
/// Id of a checkpoint that a worker has confirmed.
pub type CheckpointId = Box<str>;
/// Random id that a worker generates at each start.
pub type BootId = u64;
/// Number of an accepted configuration; numbers only increase.
pub type ConfigNumber = u64;
/// Number of an attempt to run a task; the first is 1.
pub type AttemptNumber = u32;
/// Number of a replica within its group.
pub type ReplicaId = u64;
/// Position of an entry in a replicated log; the first is 1.
pub type LogIndex = u64;
/// Election term of a replicated log.
pub type Term = u64;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Validates a name that came from outside the process: 1 to 64 characters,
/// each an ASCII letter, a digit, `-`, `_` or `.`.
///
/// # Errors
///
/// Returns [`ErrorKind::BadRequest`] with `what` and the invalid name.
pub fn check_name(what: &str, raw: &str) -> Result<Box<str>> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if raw.is_empty() || raw.len() > MAX_NAME_BYTES || !raw.chars().all(allowed) {
        let shown: String = raw.chars().take(MAX_NAME_BYTES).collect();
        return Err(Error::new(
            ErrorKind::BadRequest,
            format!(
                "{what} {shown:?}: expected 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.'"
            ),
        ));
    }
    Ok(raw.into())
}
