//! Tests of the connections of a listener without network.

use super::Connections;
use futures_util::FutureExt;
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(1);

#[test]
fn a_new_connection_takes_the_place_of_the_one_that_waits_longest() {
    let (connections, mut now) = (Connections::new(3), Instant::now());
    let mut add = || {
        now += TICK;
        connections.add(now).unwrap().1
    };
    let open: Vec<_> = (0..3).map(|_| add()).collect();
    // The first one has answered a request meanwhile.
    open[0].begin_handling();
    open[0].await_client(Instant::now() + Duration::from_secs(1));
    add();
    let closed: Vec<bool> = open.iter().map(|c| c.is_closing()).collect();
    assert_eq!(closed, [false, true, false]);
    assert_eq!(connections.count(), 4, "the closed one has not ended");
    assert!(connections.until_closed().now_or_never().is_none());
    connections.remove(2);
    assert!(connections.until_closed().now_or_never().is_some());
}

#[test]
fn a_connection_whose_request_is_handled_stays() {
    let (connections, now) = (Connections::new(2), Instant::now());
    let open: Vec<_> = (0..2).map(|_| connections.add(now).unwrap()).collect();
    open.iter().for_each(|(_, connection)| connection.begin_handling());
    assert!(connections.add(now).is_none());
    connections.remove(open[0].0);
    assert!(connections.add(now).is_some());
    assert!(open.iter().all(|(_, connection)| !connection.is_closing()));
}
