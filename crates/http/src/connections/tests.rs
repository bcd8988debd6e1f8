//! Tests of the connections of a listener without network.

use super::Connections;
use futures_util::FutureExt;
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(1);

/// Defines a test for each async function.
macro_rules! tests {
    ($($name:ident => $test:ident;)*) => {$(
        #[test]
        fn $name() {
            compio::runtime::RuntimeBuilder::new().build().unwrap().block_on($test());
        }
    )*};
}

tests! {
    longest_waiting_is_displaced =>
        a_new_connection_takes_the_place_of_the_one_that_waits_longest;
    busy_one_is_closed_for_a_new_one => a_busy_connection_is_to_be_closed_for_a_new_one;
    one_that_sends_a_response_stays => a_connection_that_sends_a_response_stays_while_it_is_read;
    handled_one_stays => a_connection_whose_request_is_handled_stays;
}

async fn has_room(connections: &Connections) -> bool {
    connections.until_room().now_or_never().is_some()
}

async fn a_new_connection_takes_the_place_of_the_one_that_waits_longest() {
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
    assert!(!has_room(&connections).await);
    connections.remove(2);
    assert!(has_room(&connections).await);
}

async fn a_busy_connection_is_to_be_closed_for_a_new_one() {
    let (connections, now) = (Connections::new(2), Instant::now());
    let open: Vec<_> = (0..2).map(|_| connections.add(now).unwrap()).collect();
    open.iter().for_each(|(_, connection)| connection.begin_handling());
    assert!(!connections.take_wanted(), "no new one waits");
    assert!(!has_room(&connections).await);
    assert!(connections.take_wanted());
    assert!(!connections.take_wanted(), "one place is enough");
    open[1].1.await_client(now);
    assert!(has_room(&connections).await);
}

async fn a_connection_whose_request_is_handled_stays() {
    let (connections, now) = (Connections::new(2), Instant::now());
    let open: Vec<_> = (0..2).map(|_| connections.add(now).unwrap()).collect();
    open.iter().for_each(|(_, connection)| connection.begin_handling());
    assert!(connections.add(now).is_none());
    connections.remove(open[0].0);
    assert!(connections.add(now).is_some());
    assert!(open.iter().all(|(_, connection)| !connection.is_closing()));
}

/// Guards against answers that are cut off in the middle.
async fn a_connection_that_sends_a_response_stays_while_it_is_read() {
    let (connections, now) = (Connections::new(1), Instant::now());
    let sending = connections.add(now).unwrap().1;
    sending.begin_response();
    assert!(connections.add(now + Duration::from_secs(60)).is_none(), "the client reads");
    sending.set_stalled(Some(now));
    assert!(connections.add(now + TICK).is_none(), "the client has just read");
    assert!(connections.add(now + Duration::from_secs(2)).is_some());
    assert!(sending.is_closing());
}
