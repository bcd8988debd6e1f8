//! Log lines are written in blocks, whole and in order.

use cyclamenloft_dispatch::telemetry::BlockWriter;
use std::{
    cell::RefCell,
    io::{self, Write},
    rc::Rc,
    time::Duration,
};

/// Records what each call writes.
#[derive(Clone, Default)]
struct Calls(Rc<RefCell<Vec<Vec<u8>>>>);

impl Write for Calls {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.borrow_mut().push(buf.to_vec());
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_burst_of_lines_is_written_in_few_calls() {
    let calls = Calls::default();
    let mut writer = BlockWriter::new(calls.clone(), Duration::ZERO);
    let lines: Vec<String> =
        (0..1_000).map(|n| format!("{{\"line\":{n},\"text\":\"{:150}\"}}\n", "")).collect();
    for line in &lines {
        writer.write_all(line.as_bytes()).unwrap();
    }
    writer.flush().unwrap();
    let calls = calls.0.borrow();
    assert!(calls.len() <= 4, "{} calls for 1,000 lines", calls.len());
    assert_eq!(calls.concat(), lines.concat().into_bytes());
}

#[test]
fn a_single_line_is_written_at_once() {
    let calls = Calls::default();
    let mut writer = BlockWriter::new(calls.clone(), Duration::ZERO);
    writer.write_all(b"{}\n").unwrap();
    writer.flush().unwrap();
    assert_eq!(*calls.0.borrow(), [b"{}\n".to_vec()]);
}
