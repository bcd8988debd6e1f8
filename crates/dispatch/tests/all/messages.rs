//! Messages between replicas.

use cyclamenloft_dispatch::{
    PeerRequest,
    protocol::{decode, encode},
    relay::{CallAnswer, RelayRequest, RelayedCall, WorkerCall, WorkerEndpoint},
};
use cyclamenloft_placement::submission::{
    ListedRun, Observation, OrderKind,
    fleet::{Order, OrderAnswer},
};
use proptest::prelude::*;

fn endpoint() -> WorkerEndpoint {
    WorkerEndpoint { id: "i-1".into(), started_ms: 5, addr: "10.0.0.1:80".parse().unwrap() }
}

fn order(kind: OrderKind) -> WorkerCall {
    WorkerCall::Order {
        order: Order { task: "5c0e7a21d94b36f8.0.1.17".parse().unwrap(), attempt: 2, kind },
        payload: "text".into(),
        checkpoint: "00000bb8".into(),
        ticket: "".into(),
        lease_end_ms: 486_000,
    }
}

fn calls(call: WorkerCall) -> PeerRequest {
    let calls = vec![RelayedCall { number: 1, worker: endpoint(), token: 7, call }];
    PeerRequest::Relay(RelayRequest::Calls { token: 7 << 24, calls })
}

macro_rules! round_trips {
    ($($name:ident: $type:ty = $value:expr;)*) => {$(
        #[test]
        fn $name() {
            let value: $type = $value;
            assert_eq!(decode::<$type>(&encode(&value).unwrap()).unwrap(), value);
        }
    )*};
}

round_trips! {
    a_start_arrives_as_sent: PeerRequest = calls(order(OrderKind::Start));
    a_pace_arrives_as_sent: PeerRequest = calls(order(OrderKind::Pace(40)));
    a_poll_without_a_lease_arrives_as_sent: PeerRequest =
        calls(WorkerCall::Poll { lease_end_ms: None, acknowledged: 9, wait_ms: 1_000 });
    an_evacuation_arrives_as_sent: PeerRequest =
        PeerRequest::Evacuate { domain: "z1".into(), on: true, expected: 3 };
    a_request_for_answers_arrives_as_sent: PeerRequest =
        PeerRequest::Relay(RelayRequest::Answers { token: 7 << 24, received: 3 });
    an_answer_to_an_order_arrives_as_sent: CallAnswer =
        CallAnswer::Ordered(OrderAnswer::Fenced, "fence".into());
    a_list_of_runs_arrives_as_sent: CallAnswer = CallAnswer::Polled(
        Observation {
            is_partial: false,
started_ms: 5,
            clock_ms: 482_113,
            running: vec![ListedRun {
                task: "5c0e7a21d94b36f8.0.1.17".parse().unwrap(),
                attempt: 2,
                checkpoint: "".into(),
                percent: 100,
                metric: 12,
            }],
            ended: vec![],
        },
        57,
    );
}

proptest! {
    /// Guards against a malformed message that ends a replica.
    #[test]
    fn malformed_messages_are_rejected_without_a_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
        cut in 0..200usize,
    ) {
        let _ = decode::<PeerRequest>(&bytes);
        let _ = decode::<CallAnswer>(&bytes);
        let whole = encode(&calls(order(OrderKind::Start))).unwrap();
        if cut < whole.len() {
            prop_assert!(decode::<PeerRequest>(&whole[..cut]).is_err());
        }
    }
}
