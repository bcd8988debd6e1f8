//! Replays of the traces of both deployments against their bounds, and of a
//! recorded trace.

use crate::common::*;
use cyclamenloft_placement::{
    AttemptEnd, LatencyTarget, PlacementPolicy,
    trace::{ClassModel, Event, ServiceModel, TimedEvent, TraceWriter, compare, read, replay},
};
use cyclamenloft_types::{ErrorKind, Priority, Resources};
use std::{fs::File, io::BufReader, path::Path};

fn trace(name: &str) -> Vec<TimedEvent> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/traces");
    read(BufReader::new(File::open(dir.join(name)).unwrap())).unwrap()
}

macro_rules! meets_bounds {
    ($name:ident, $file:literal) => {
        #[test]
        fn $name() {
            let entries = trace($file);
            assert!(entries.iter().any(|e| matches!(e.event, Event::Bounds(_))));
            let comparison = compare(&entries, &PlacementPolicy::default());
            assert!(comparison.unmet.is_empty(), "{:#?}", comparison);
            assert_eq!(comparison.first_fit.broken.total(), 0);
            assert_eq!(comparison.best_fit.broken.total(), 0);
            assert_eq!((comparison.given.cannot_run, comparison.given.failed), (1, 1));
        }
    };
}

meets_bounds!(roomwise_meets_its_bounds, "roomwise.jsonl");
meets_bounds!(comhar_meets_its_bounds, "comhar.jsonl");

#[test]
fn a_written_trace_reads_back_unchanged() {
    let entries = trace("roomwise.jsonl");
    let mut bytes = Vec::new();
    let mut writer = TraceWriter::new(&mut bytes);
    for entry in &entries {
        writer.write(entry.at, entry.event.clone()).unwrap();
    }
    assert_eq!(read(bytes.as_slice()).unwrap(), entries);
}

#[test]
fn an_error_gives_the_number_of_the_invalid_line() {
    let text = "{\"at\":0,\"event\":\"cancel\",\"jobs\":[]}\n{\"at\":1}\n";
    let e = read(text.as_bytes()).unwrap_err();
    assert_eq!(e.kind, ErrorKind::BadRequest);
    assert!(e.detail.starts_with("trace line 2:"), "{}", e.detail);
}

/// Returns the trace of a run in which one worker runs two batch tasks for twice
/// their declared time, with half of the declared memory and 1.5 times the CPU.
fn recorded_trace() -> Vec<TimedEvent> {
    let mut spec = job("j", 2, 2);
    spec.run_time_ms = 60_000;
    spec.deadline_ms = Some(80_000);
    let mut entries = vec![
        TimedEvent { at: 0, event: Event::Announce(announcement("w0", 1, cores(8))) },
        TimedEvent { at: 0, event: Event::Submit { spec, fails: false } },
    ];
    for sequence in 1..=62 {
        let task = |index| {
            let usage = Resources::new(3000, 512, 0);
            cyclamenloft_placement::RunningTask { usage, ..running_task("j", index, 1) }
        };
        let mut report = full_report("w0", 1, sequence, vec![task(0), task(1)]);
        if sequence == 61 {
            report.running.clear();
            report.ended = (0..2).map(|i| ended_task("j", i, 1, AttemptEnd::Finished)).collect();
        }
        entries.push(TimedEvent { at: sequence * 2000, event: Event::Report(report) });
    }
    entries.retain(|e| e.at <= 61 * 2000);
    entries
}

/// Guards against a replay that uses the declared run times of a recorded trace
/// instead of those in its reports.
#[test]
fn run_times_are_derived_from_recorded_reports() {
    let mut entries = recorded_trace();
    entries.push(TimedEvent { at: 170_000, event: Event::Cancel { jobs: Vec::new() } });
    let outcome = replay(&entries, &PlacementPolicy::default());
    assert_eq!((outcome.starts, outcome.batch_finished), (2, 2));
    assert_eq!(outcome.broken.total(), 0);
    // The deadline is late enough for the declared run time, but not for the
    // recorded one, around which the run times vary by a fifth.
    assert_eq!(outcome.deadline_misses, 2);
}

/// Guards against counting service reports with the latency target of the policy
/// instead of the target of the trace.
#[test]
fn a_service_slower_than_its_target_counts_as_over_target() {
    let mut spec = job("s", 1, 2);
    spec.priority = Priority::Service;
    spec.class = "service".into();
    spec.run_time_ms = 0;
    let service = |busy| ServiceModel {
        p99_us: 1000,
        idle: busy,
        busy,
        load_percent: vec![100],
        drift_minutes: 0.0,
    };
    let entries = |busy| {
        let class = ClassModel {
            class: "service".into(),
            cpu_ratio: 1.0,
            memory_ratio: 1.0,
            run_ratio: 1.0,
            checkpoints: false,
            service: Some(service(busy)),
        };
        vec![
            TimedEvent { at: 0, event: Event::Class(class) },
            TimedEvent { at: 0, event: Event::Announce(announcement("w0", 1, cores(8))) },
            TimedEvent { at: 0, event: Event::Submit { spec: spec.clone(), fails: false } },
            TimedEvent { at: 100_000, event: Event::Cancel { jobs: Vec::new() } },
        ]
    };
    let policy = PlacementPolicy {
        latency_targets: vec![LatencyTarget { class: "service".into(), p99_us: 1 }],
        ..PlacementPolicy::default()
    };
    let below_target = replay(&entries(0.5), &policy);
    assert!(below_target.service_reports > 0 && below_target.over_target == 0);
    let above_target = replay(&entries(1.5), &policy);
    assert_eq!(above_target.over_target, above_target.service_reports);
}
