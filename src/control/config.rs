//! Keeps a control process's active configuration up to date, from its own
//! replica of the config group, if it has one, and from other processes.

use super::Control;
use crate::current_config::{NextFetch, SharedActiveConfig};
use cyclamenloft_peer::{
    PeerClient,
    calls::{WaitConfig, WaitConfigParams},
};
use std::{net::SocketAddr, rc::Rc, time::Duration};

/// The time for which one long poll asks a source to wait for a newer
/// configuration.
const WAIT: Duration = Duration::from_secs(10);
/// The pause after a source failed to answer.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Starts the tasks that update the active configuration, one for each source.
pub(crate) fn start(control: &Rc<Control>, client: PeerClient, sources: Vec<SocketAddr>) {
    if control.config.is_some() {
        compio::runtime::spawn(follow_replica(control.clone())).detach();
    }
    for source in sources {
        compio::runtime::spawn(follow_source(
            control.active_config.clone(),
            client.clone(),
            source,
        ))
        .detach();
    }
}

/// Updates the active configuration from this process's replica of the config
/// group.
async fn follow_replica(control: Rc<Control>) {
    let Some(replica) = &control.config else {
        return;
    };
    let mut seen = 0;
    loop {
        let number = control.active_config.number();
        if control.active_config.offer(&replica.state(|s| s.since(number))) == NextFetch::Full {
            control.active_config.offer(&replica.state(|s| s.since(0)));
        }
        control.state_changed.notify();
        seen = replica.changed(seen).await;
    }
}

/// Updates the active configuration from another process, by one long poll
/// after another.
pub(crate) async fn follow_source(
    active_config: SharedActiveConfig,
    client: PeerClient,
    source: SocketAddr,
) {
    let mut next = NextFetch::Changes;
    loop {
        let wait_ms = if next == NextFetch::Full { 0 } else { WAIT.as_millis() as u64 };
        let params = WaitConfigParams {
            above: active_config.number(),
            whole: next == NextFetch::Full,
            wait_ms,
        };
        match client.call::<WaitConfig>(source, &params).await {
            Ok(update) => next = active_config.offer(&update),
            Err(e) => {
                tracing::debug!(%source, error = %e, "no configuration from source");
                compio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}
