//! The methods that an entry process answers to other processes.

use super::{Entry, operators::status, services::hear};
use cyclamenloft_peer::{
    Method, PeerHandler, answer,
    calls::{Nothing, ProcessStatus, SpreadTargets, WaitConfig},
};
use cyclamenloft_target::TargetAnnouncement;
use cyclamenloft_types::{Error, ErrorKind, Result};
use serde_json::value::RawValue;
use std::{rc::Rc, time::Instant};

/// Answers the peers of an entry process.
pub(super) struct EntryHandler(pub(super) Rc<Entry>);

impl PeerHandler for EntryHandler {
    async fn call(&self, method: &str, params: &str) -> Result<Box<RawValue>> {
        let entry = &*self.0;
        match method {
            SpreadTargets::NAME => {
                answer::<SpreadTargets, _>(params, |p| async move { spread(entry, &p) }).await
            }
            WaitConfig::NAME => {
                let wait = |p| async move { Ok(entry.board.answer_wait(p).await) };
                answer::<WaitConfig, _>(params, wait).await
            }
            ProcessStatus::NAME => {
                answer::<ProcessStatus, _>(params, |_| async { Ok(status(entry)) }).await
            }
            _ => Err(Error::new(
                ErrorKind::NotFound,
                format!("an entry process has no method {method:?}"),
            )),
        }
    }

    async fn log_message(&self, group: &str, _message: &[u8]) -> Result<Vec<u8>> {
        Err(Error::new(ErrorKind::NotFound, format!("no replica of group {group:?} here")))
    }
}

fn spread(entry: &Entry, announcements: &[TargetAnnouncement]) -> Result<Nothing> {
    announcements.iter().try_for_each(TargetAnnouncement::check)?;
    let now = Instant::now();
    for announcement in announcements {
        hear(entry, announcement, now);
    }
    Ok(Nothing {})
}
