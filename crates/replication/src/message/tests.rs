//! Messages round-trip through their encoding, and invalid bytes are refused.

use super::{
    AppendRequest, MAX_TERM_OR_INDEX, Request, RequestBody, Response, ResponseBody, encode,
};
use crate::entry::{Blob, Entry, Identity, Payload};
use cyclamenloft_types::ErrorKind;
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(0x3E5),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn append(term: u64, commands: Vec<Vec<u8>>) -> Request {
    let entry = |(command, index): (Vec<u8>, u64)| Entry {
        index,
        term,
        payload: Payload::Command(Blob(command.into())),
    };
    let entries = commands.into_iter().zip(8..).map(entry).collect();
    let append = AppendRequest { prev_index: 7, prev_term: 1, commit: 3, entries };
    Request {
        group: "test".into(),
        from: Identity { id: 1, incarnation: 2 },
        term,
        body: RequestBody::Append(append),
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_request_round_trips(term in 0..=MAX_TERM_OR_INDEX, commands in vec(vec(any::<u8>(), 0..50), 0..5)) {
        let req = append(term, commands);
        prop_assert_eq!(Request::decode(&encode(&req).unwrap()).unwrap(), req);
    }

    #[test]
    fn a_response_round_trips(term in 0..=MAX_TERM_OR_INDEX, index in any::<u64>(), formed in any::<bool>()) {
        let from = Identity { id: 1, incarnation: 2 };
        let response = Response { from, term, formed, body: ResponseBody::Matches(index) };
        prop_assert_eq!(Response::decode(&encode(&response).unwrap()).unwrap(), response);
    }

    #[test]
    fn any_bytes_are_decoded_or_refused(bytes in vec(any::<u8>(), 0..200)) {
        for e in [Request::decode(&bytes).err(), Response::decode(&bytes).err()] {
            prop_assert!(e.is_none_or(|e| e.kind == ErrorKind::BadRequest));
        }
    }

    #[test]
    fn a_damaged_request_is_decoded_or_refused(
        commands in vec(vec(any::<u8>(), 0..20), 0..4), at in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut bytes = encode(&append(4, commands)).unwrap();
        let at = at.index(bytes.len());
        bytes[at] = byte;
        if let Err(e) = Request::decode(&bytes) {
            prop_assert_eq!(e.kind, ErrorKind::BadRequest);
        }
    }
}

#[test]
fn terms_that_could_overflow_are_refused() {
    for term in [MAX_TERM_OR_INDEX + 1, u64::MAX] {
        let refused = Request::decode(&encode(&append(term, Vec::new())).unwrap());
        assert_eq!(refused.unwrap_err().kind, ErrorKind::BadRequest);
    }
}
