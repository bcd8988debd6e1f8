//! The error table is complete and unambiguous.

use cyclamenloft_types::{Error, ErrorKind, error::ANSWERS};
use std::collections::HashSet;

#[test]
fn every_code_stands_once() {
    let codes: HashSet<_> = ANSWERS.iter().map(|a| a.code).collect();
    let rpc_codes: HashSet<_> = ANSWERS.iter().map(|a| a.rpc_code).collect();
    assert_eq!(codes.len(), ANSWERS.len());
    assert_eq!(rpc_codes.len(), ANSWERS.len());
}

#[test]
fn a_peer_gets_the_same_kind_back() {
    for row in ANSWERS {
        let back = Error::from_rpc(row.rpc_code, "x");
        assert_eq!(back.kind, row.kind);
        assert_eq!(back.answer().code, row.code);
    }
    assert_eq!(Error::from_rpc(1, "x").kind, ErrorKind::Internal);
}
