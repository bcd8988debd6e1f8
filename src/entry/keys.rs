//! Sends requests about idempotency keys to the entry hosts that own the keys.

use crate::settings::{EntrySettings, raw::HostAddr};
use cyclamenloft_caller::KeyCalls;
use cyclamenloft_peer::{PeerClient, calls::AskKey};
use cyclamenloft_types::{Error, ErrorKind, Result};
use futures_util::StreamExt;
use std::{rc::Rc, time::Duration};

/// The timeout of a call to the owner of a key.
const KEY_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts a task that receives the requests and sends each of them in a task of its own.
pub(super) fn start(settings: &EntrySettings, mut calls: KeyCalls) -> Result<()> {
    let client = PeerClient::new(settings.peer_token.clone(), KEY_CALL_TIMEOUT)?;
    let roster: Rc<[HostAddr]> = settings.roster.clone().into();
    compio::runtime::spawn(async move {
        while let Some(call) = calls.next().await {
            let (client, roster) = (client.clone(), roster.clone());
            compio::runtime::spawn(async move {
                let owner = roster.iter().find(|h| h.host == call.owner);
                let answer = match owner {
                    Some(owner) => client.call::<AskKey>(owner.addr, &call.request).await,
                    None => Err(Error::new(
                        ErrorKind::PeerUnreachable,
                        format!("owner {:?} of the key has no address", call.owner),
                    )),
                };
                // Sending the reply fails if its receiver has been dropped, which isn't an
                // error.
                let _ = call.reply.send(answer);
            })
            .detach();
        }
    })
    .detach();
    Ok(())
}
