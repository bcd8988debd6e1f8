//! How a target's slots are divided among the entry hosts of its domain.

use cyclamenloft_types::HostId;
use xxhash_rust::xxh3::xxh3_64;

/// The fixed share of one entry host at one target: the slots are divided as
/// evenly as they go, and the remainder goes to hosts picked by the target's
/// hash, so that no host has all the remainders.
#[must_use]
pub fn base_share(slots: u16, target: &str, roster: &[HostId], host: &str) -> u16 {
    let Some(position) = roster.iter().position(|h| &**h == host) else {
        return 0;
    };
    let hosts = roster.len() as u64;
    let rotated = (position as u64 + xxh3_64(target.as_bytes()) % hosts) % hosts;
    let remainder = u64::from(slots) % hosts;
    // Both terms are at most `slots`, so they fit.
    (u64::from(slots) / hosts) as u16 + u16::from(rotated < remainder)
}
