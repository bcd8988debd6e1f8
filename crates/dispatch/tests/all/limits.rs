//! The shares of a process's memory and descriptors.

use cyclamenloft_dispatch::{
    group_client::MAX_ATTEMPTS,
    limits::{MAX_CLIENT_BODY_BYTES, MAX_CONTROL_BODY_BYTES, ProcessLimits},
    protocol::MAX_REQUEST_BYTES,
};
use std::time::Duration;

const DRAIN: Duration = Duration::from_secs(1);

/// Defines a test for each process, given as memory in megabytes and descriptors.
macro_rules! shares {
    ($($name:ident: $memory_mb:literal, $descriptors:literal;)*) => {$(
        #[test]
        fn $name() {
            check(ProcessLimits { memory_bytes: $memory_mb << 20, descriptors: $descriptors });
        }
    )*};
}

/// Checks that the largest request fits into each budget, and that the connections fit into the
/// descriptors and serve ten entry hosts.
fn check(limits: ProcessLimits) {
    let (clients, probes) = (limits.clients(DRAIN), limits.probes(DRAIN));
    let (control, peers) = (limits.control(DRAIN), limits.peers(MAX_REQUEST_BYTES, DRAIN));
    assert!(clients.budget_bytes / 4 * 3 >= MAX_CLIENT_BODY_BYTES);
    assert!(control.budget_bytes / 4 * 3 >= MAX_CONTROL_BODY_BYTES);
    assert!(peers.budget_bytes / 4 * 3 >= MAX_REQUEST_BYTES);
    let shared = limits.descriptors - 200;
    assert!(clients.connections + MAX_ATTEMPTS + 2 * probes.connections <= shared);
    let workers = limits.worker_descriptors() * 8 / 10;
    assert!(control.connections + peers.connections + probes.connections + workers <= shared);
    // Replicas have no less.
    if limits.memory_bytes >= 256 << 20 {
        assert!(peers.connections >= 10 * MAX_ATTEMPTS);
    }
}

shares! {
    an_entry_host_of_a_small_site: 260, 4_100;
    a_replica_of_a_small_site: 256, 4_096;
    an_entry_host_of_a_grown_site: 160, 4_100;
    a_replica_of_a_grown_site: 384, 4_096;
    a_replica_of_a_large_site: 640, 4_324;
    a_process_of_the_crowds: 96, 512;
}
