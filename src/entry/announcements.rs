//! Forwards targets' announcements to the other entry hosts of the domain, with one
//! task for each host.

use crate::settings::raw::HostAddr;
use cyclamenloft_http::Token;
use cyclamenloft_peer::{
    PeerClient,
    calls::{ForwardedTargets, SpreadTargets},
};
use cyclamenloft_target::TargetAnnouncement;
use cyclamenloft_types::{Error, Result};
use futures_channel::mpsc;
use futures_util::StreamExt;
use std::{
    cell::Cell,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// The timeout of a call to another entry host. A target's next announcement
/// replaces a lost one.
const TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum number of announcements in one call.
const MAX_BATCH: usize = 256;
/// The shortest time between two log lines about announcements that can't be used.
const LOG_INTERVAL: Duration = Duration::from_secs(60);

/// Sends announcements to the other entry hosts.
pub(crate) struct AnnouncementSender {
    hosts: Vec<mpsc::UnboundedSender<TargetAnnouncement>>,
}

impl AnnouncementSender {
    /// Starts one task for each of `others`.
    pub(crate) fn start(token: Token, others: &[HostAddr]) -> Result<Self> {
        let client = PeerClient::new(token, TIMEOUT)?;
        let start_one = |other: &HostAddr| {
            let (tx, rx) = mpsc::unbounded();
            compio::runtime::spawn(send_all(client.clone(), other.addr, rx)).detach();
            tx
        };
        Ok(Self { hosts: others.iter().map(start_one).collect() })
    }

    /// Queues an announcement for all other entry hosts.
    pub(crate) fn send(&self, announcement: &TargetAnnouncement) {
        for host in &self.hosts {
            // The receiving task runs until the process ends.
            let _ = host.unbounded_send(announcement.clone());
        }
    }
}

async fn send_all(
    client: PeerClient,
    addr: SocketAddr,
    mut rx: mpsc::UnboundedReceiver<TargetAnnouncement>,
) {
    while let Some(first) = rx.next().await {
        let mut announcements = vec![first];
        while announcements.len() < MAX_BATCH
            && let Ok(next) = rx.try_recv()
        {
            announcements.push(next);
        }
        let batch = ForwardedTargets { announcements, skipped: Vec::new() };
        if let Err(e) = client.call::<SpreadTargets>(addr, &batch).await {
            tracing::debug!(%addr, error = %e, "announcements not passed on");
        }
    }
}

/// Counts and logs the announcements of other entry hosts that can't be used.
#[derive(Default)]
pub(crate) struct SkippedAnnouncements {
    count: Cell<u64>,
    logged_at: Cell<Option<Instant>>,
}

impl SkippedAnnouncements {
    /// Returns the number of announcements skipped so far.
    pub(crate) fn count(&self) -> u64 {
        self.count.get()
    }

    /// Records `count` announcements, of which the first can't be used for the reason `first`.
    pub(crate) fn record(&self, count: u64, first: &Error, now: Instant) {
        self.count.set(self.count.get() + count);
        if self.logged_at.get().is_none_or(|at| now >= at + LOG_INTERVAL) {
            self.logged_at.set(Some(now));
            let total = self.count.get();
            tracing::warn!(count, total, error = %first, "announcements skipped");
        }
    }
}
