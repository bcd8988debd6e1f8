//! The limits on connections, over several pools of one host.
//!
//! The tests guard against a host that opens more connections to a target than its share,
//! and against a thread that leaves none of the share to the other threads.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use compio::runtime::Runtime;
use cyclamenloft_target::{
    Acquired, Endpoint, HostConnections, NoConnectionCause, Pool, PoolLimits,
};
use std::{
    net::{Ipv4Addr, TcpListener},
    time::{Duration, Instant},
};

/// Defines one test for each case.
macro_rules! cases {
    ($($name:ident => $test:expr;)*) => {$(
        #[test]
        fn $name() {
            Runtime::new().unwrap().block_on($test);
        }
    )*};
}

cases! {
    the_host_share_is_divided_among_threads => check_shares(8, 2, [4, 4]);
    each_thread_may_open_one_connection_of_a_small_share => check_shares(3, 4, [1, 1]);
    a_share_of_one_is_never_exceeded => check_shares(1, 2, [1, 0]);
    a_dropped_connection_frees_its_place => dropped_connection();
    the_total_connections_of_a_thread_are_limited => thread_limit();
}

fn target() -> (TcpListener, Endpoint) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, Endpoint { addr, connections: 1 })
}

/// Acquires connections until the pool refuses one.
async fn take_all(pool: &Pool, to: Endpoint) -> Vec<Acquired> {
    let mut taken = Vec::new();
    loop {
        let now = Instant::now();
        match pool.acquire(to, now + Duration::from_secs(30), now).await {
            Ok(connection) => taken.push(connection),
            Err(e) => {
                assert_eq!(e.cause, NoConnectionCause::Busy, "{}", e.detail);
                return taken;
            }
        }
    }
}

async fn check_shares(connections: u16, threads: usize, expected: [usize; 2]) {
    let (_listener, to) = target();
    let to = Endpoint { connections, ..to };
    let host = HostConnections::new(threads);
    let pools = [(); 2].map(|()| Pool::new(PoolLimits::default(), host.clone()));
    let first = take_all(&pools[0], to).await;
    let second = take_all(&pools[1], to).await;
    assert_eq!([first.len(), second.len()], expected);
    assert_eq!(host.open(to.addr), expected.iter().sum::<usize>());
    assert_eq!(host.totals().busy, 2);
}

async fn dropped_connection() {
    let (_listener, to) = target();
    let host = HostConnections::new(1);
    let pool = Pool::new(PoolLimits::default(), host.clone());
    let taken = take_all(&pool, to).await;
    assert_eq!(taken.len(), 1);
    drop(taken);
    assert_eq!(host.open(to.addr), 0);
    assert_eq!(take_all(&pool, to).await.len(), 1);
}

async fn thread_limit() {
    let targets = [target(), target(), target()];
    let limits = PoolLimits { connections: 2, ..PoolLimits::default() };
    let pool = Pool::new(limits, HostConnections::new(1));
    let mut held = Vec::new();
    for (_, to) in &targets {
        held.extend(take_all(&pool, *to).await);
    }
    assert_eq!(held.len(), 2);
}
