//! Measures the cost of a configuration: time to parse and validate it, memory
//! of a checked configuration, and sizes of the replicated state, log entries
//! and updates.
//!
//! `cargo run --release -p cyclamenloft-operator --example config_cost`

use cyclamenloft_operator::{
    ActiveConfig, CheckedConfig, ConfigDraft, ConfigFile, ConfigState, UpdateOutcome, diff,
};
use cyclamenloft_replication::StateMachine;
use std::{
    fmt::Write as _,
    fs,
    hint::black_box,
    time::{Duration, Instant},
};

/// Numbers of services for which the cost is measured.
const SERVICE_COUNTS: [usize; 3] = [10, 100, 1_000];
/// Number of teams in every configuration.
const TEAM_COUNT: usize = 110;
/// Number of failure domains in every configuration.
const DOMAIN_COUNT: usize = 27;
/// Number of services in one file.
const SERVICES_PER_FILE: usize = 10;
/// Number of repetitions of each timed step.
const REPETITIONS: usize = 51;
/// Number of copies of a configuration over which its memory is averaged.
const COPIES: usize = 400;
/// History lengths for which sizes are measured.
const HISTORY_LENGTHS: [u64; 3] = [10, 1_000, 60_000];

fn main() {
    println!("services  files  bytes  check p50  check max  origins p50  diff p50  memory");
    for services in SERVICE_COUNTS {
        cost_of_content(services);
    }
    println!();
    println!("history  snapshot  encode p50  decode p50  Propose  Amend  whole  delta  offer p50");
    for length in HISTORY_LENGTHS {
        cost_of_state(length);
    }
}

fn cost_of_content(services: usize) {
    let files = content(services, 0);
    let bytes: usize = files.iter().map(|f| f.text.len()).sum();
    let (check, check_max) = timed(|| checked(&files));
    let now = checked(&files);
    let later = checked(&content(services, 1));
    let (origins, _) = timed(|| now.origins());
    let (difference, _) = timed(|| diff(&now, &later));
    let memory = memory_of(&files);
    let count = files.len();
    println!(
        "{services:8}  {count:5}  {bytes:5}  {check:.2?}  {check_max:.2?}  {origins:.2?}  \
         {difference:.2?}  {memory} B"
    );
}

fn cost_of_state(length: u64) {
    let mut state = ConfigState::default();
    for number in 1..=length {
        apply(&mut state, number, content(10, number));
    }
    let snapshot = state.encode();
    let (encode, _) = timed(|| state.encode());
    let (decode, _) =
        timed(|| ConfigState::decode(&snapshot).expect("the state was encoded above"));
    let mut behind = ActiveConfig::default();
    behind.apply_update(&state.since(0));

    let next = content(10, length + 1);
    let whole = state.command(length + 2, next.clone(), "operator-3", length);
    let amend = state.command(length + 1, next.clone(), "operator-3", length);
    apply(&mut state, length + 1, next);
    let (full, delta) = (state.since(0), state.since(length));
    let (offer, _) = timed(|| {
        let mut process = behind.clone();
        assert!(matches!(process.apply_update(&delta), UpdateOutcome::Applied));
        process
    });
    println!(
        "{length:7}  {} B  {encode:.2?}  {decode:.2?}  {} B  {} B  {} B  {} B  {offer:.2?}",
        snapshot.len(),
        postcard_len(&whole),
        postcard_len(&amend),
        postcard_len(&full),
        postcard_len(&delta),
    );
}

/// Applies `files` under `number`, proposed by one of 20 operators.
fn apply(state: &mut ConfigState, number: u64, files: Vec<ConfigFile>) {
    let author = format!("operator-{}", number % 20);
    let at_unix_ms = 1_796_320_800_000 + number * 14_400;
    let command = state.command(number, files, author, at_unix_ms);
    state.apply(number, &command).expect("the next number is accepted");
}

/// Returns a configuration whose file `90-late.toml` depends on `edition`.
fn content(services: usize, edition: u64) -> Vec<ConfigFile> {
    let mut files = vec![named("10-domains.toml", &domains()), named("30-teams.toml", &teams())];
    for first in (0..services).step_by(SERVICES_PER_FILE) {
        let mut text = String::new();
        for i in first..services.min(first + SERVICES_PER_FILE) {
            let _ = write!(
                text,
                "[services.service-{i}]\nslots = 8\nconnections = 64\ndeadline = \"2s\"\n\
                 latency_p99 = \"150ms\"\nqueue = 512\nretry_percent = 10\n\
                 idempotent = \"by-method\"\n\n"
            );
        }
        files.push(named(&format!("20-services-{first:04}.toml"), &text));
    }
    let late = format!("[services.service-0]\nqueue = {}\n", 100 + edition % 1_000);
    files.push(named("90-late.toml", &late));
    files
}

fn domains() -> String {
    (0..DOMAIN_COUNT).map(|i| format!("[domains.domain-{i}]\nweight = 1\n")).collect()
}

fn teams() -> String {
    let team = |i| {
        format!(
            "[teams.team-{i}]\nweight = 2\n\
             quota = {{ cpu_millis = 400_000, memory_mib = 1_500_000, accelerators = 4 }}\n"
        )
    };
    (0..TEAM_COUNT).map(team).collect()
}

fn named(name: &str, text: &str) -> ConfigFile {
    ConfigFile { name: name.into(), text: text.into() }
}

fn checked(files: &[ConfigFile]) -> CheckedConfig {
    ConfigDraft::from_files(files.to_vec()).check().expect("the content is valid")
}

/// Returns the median and the maximum duration of `run`.
fn timed<T>(run: impl Fn() -> T) -> (Duration, Duration) {
    let mut times: Vec<Duration> = (0..REPETITIONS)
        .map(|_| {
            let start = Instant::now();
            black_box(run());
            start.elapsed()
        })
        .collect();
    times.sort();
    (times[REPETITIONS / 2], times[REPETITIONS - 1])
}

/// Returns the resident bytes of one checked configuration.
fn memory_of(files: &[ConfigFile]) -> usize {
    let before = resident_bytes();
    let copies: Vec<CheckedConfig> = (0..COPIES).map(|_| checked(files)).collect();
    let after = resident_bytes();
    black_box(copies.len());
    after.saturating_sub(before) / COPIES
}

fn resident_bytes() -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().strip_suffix(" kB")?.trim().parse::<usize>().ok());
    kib.unwrap_or_default() * 1024
}

fn postcard_len(value: &impl serde::Serialize) -> usize {
    postcard::to_stdvec(value).map_or(0, |bytes| bytes.len())
}
