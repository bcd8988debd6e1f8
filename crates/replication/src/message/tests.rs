//! Messages survive the way there and back; anything else is refused.

use super::{Answer, AnswerBody, AppendRequest, Request, RequestBody, decode, encode};
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
    fn a_request_survives(term in any::<u64>(), commands in vec(vec(any::<u8>(), 0..50), 0..5)) {
        let req = append(term, commands);
        prop_assert_eq!(decode::<Request>(&encode(&req).unwrap()).unwrap(), req);
    }

    #[test]
    fn an_answer_survives(term in any::<u64>(), index in any::<u64>(), formed in any::<bool>()) {
        let from = Identity { id: 1, incarnation: 2 };
        let answer = Answer { from, term, formed, body: AnswerBody::Matches(index) };
        prop_assert_eq!(decode::<Answer>(&encode(&answer).unwrap()).unwrap(), answer);
    }

    #[test]
    fn any_bytes_are_decoded_or_refused(bytes in vec(any::<u8>(), 0..200)) {
        for e in [decode::<Request>(&bytes).err(), decode::<Answer>(&bytes).err()] {
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
        if let Err(e) = decode::<Request>(&bytes) {
            prop_assert_eq!(e.kind, ErrorKind::BadRequest);
        }
    }
}
