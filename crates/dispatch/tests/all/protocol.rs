//! Messages between processes.

use cyclamenloft_dispatch::{
    Draft,
    protocol::{decode, encode},
};
use cyclamenloft_placement::submission::{Step, spec::MAX_STEPS};

fn draft(steps: usize) -> Draft {
    Draft {
        payload: "".into(),
        steps: vec![Step::default(); steps],
        first_due_ms: 0,
        interval_ms: 0,
        occurrences: 1,
    }
}

/// Guards against a message whose decoded form takes many times its memory.
#[test]
fn more_steps_than_a_submission_may_have_are_not_decoded() {
    let largest = draft(MAX_STEPS);
    assert_eq!(decode::<Draft>(&encode(&largest).unwrap()).unwrap(), largest);
    let too_many = encode(&draft(MAX_STEPS + 1)).unwrap();
    assert!(decode::<Draft>(&too_many).is_err());
}
