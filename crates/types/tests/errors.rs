//! Codes in the error table are unique, and a JSON-RPC code maps back to its kind.

use cyclamenloft_types::{Error, ErrorKind, error::ERROR_TABLE};
use std::collections::HashSet;

#[test]
fn every_code_is_unique() {
    let codes: HashSet<_> = ERROR_TABLE.iter().map(|a| a.code).collect();
    let rpc_codes: HashSet<_> = ERROR_TABLE.iter().map(|a| a.rpc_code).collect();
    assert_eq!(codes.len(), ERROR_TABLE.len());
    assert_eq!(rpc_codes.len(), ERROR_TABLE.len());
}

#[test]
fn rpc_code_maps_back_to_the_same_kind() {
    for row in ERROR_TABLE {
        let back = Error::from_rpc(row.rpc_code, "x");
        assert_eq!(back.kind, row.kind);
        assert_eq!(back.info().code, row.code);
    }
    assert_eq!(Error::from_rpc(1, "x").kind, ErrorKind::Internal);
}
