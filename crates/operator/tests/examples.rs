//! The example configurations of both users under `examples/`, and the
//! documentation of the keys.

use cyclamenloft_operator::{
    CheckedConfig, ConfigDraft, cli, keys::known_keys, service::IdempotentDefault,
};
use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
    time::Duration,
};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn example(user: &str) -> CheckedConfig {
    let folder = root().join("examples").join(user).join("config");
    let draft = ConfigDraft::read_folder(&folder).expect("the example folder is readable");
    CheckedConfig::try_from(draft)
        .unwrap_or_else(|report| panic!("{:?}", miette::Report::new(report)))
}

/// Each case is a user with its service and its failure domains.
macro_rules! deployments {
    ($($name:ident: $service:literal, [$($domain:literal),*];)*) => {$(
        #[test]
        fn $name() {
            let checked = example(stringify!($name));
            let content = checked.deployment();
            let policy = &content.services[$service];
            assert_eq!((policy.slots, policy.connections), (8, 64));
            let domains: BTreeSet<&str> = content.domains.keys().map(|name| &**name).collect();
            assert_eq!(domains, BTreeSet::from([$($domain),*]));
            assert!(content.classes[$service].latency_p99 == Some(content.requests[$service].latency_p99));
            assert_eq!(checked.files().len(), 7);
        }
    )*};
}

deployments! {
    roomwise: "matchdesk", ["cascadia-sea", "cascadia-pdx", "cascadia-geg"];
    comhar: "orders-desk", ["galway-yard", "mayo-yard", "clare-yard"];
}

#[test]
fn the_late_evening_file_overrides_only_its_keys() {
    let checked = example("roomwise");
    assert_eq!(checked.deployment().services["matchdesk"].queue, 1024);
    let quota = checked.deployment().teams["reconciliation"].quota.expect("the team has a quota");
    assert_eq!((quota.cpu_millis, quota.memory_mib), (160_000, 1_500_000));
    let origins = checked.origins();
    let queue = origins.iter().find(|o| &*o.key == "services.matchdesk.queue");
    let queue = queue.expect("the files set the queue");
    assert_eq!((&*queue.place.file, queue.place.line), ("90-late-evening.toml", 3));
    assert_eq!(&*queue.overrides[0].file, "20-matchdesk.toml");
}

#[test]
fn requests_of_the_orders_desk_are_never_sent_twice() {
    let request = example("comhar").deployment().requests["orders-desk"];
    assert_eq!((request.idempotent, request.hedging), (IdempotentDefault::Never, false));
    assert_eq!(example("comhar").deployment().eviction.cooldown, Duration::from_secs(1800));
}

#[test]
fn check_accepts_the_examples() {
    for user in ["roomwise", "comhar"] {
        let folder = root().join("examples").join(user).join("config");
        assert!(cli::check(&folder, cli::Format::Text).ok);
    }
}

/// The documentation lists every key with its type, range and default, and no
/// other key.
#[test]
fn the_documented_keys_match_the_code() {
    let page =
        fs::read_to_string(root().join("docs/CONFIGURATION.md")).expect("the page is readable");
    let keys = page
        .split("\n## ")
        .find(|part| part.starts_with("Keys\n"))
        .expect("the page has a section on keys");
    let rows: Vec<String> = known_keys()
        .iter()
        .map(|row| {
            let default = row.default.as_deref().unwrap_or("none");
            format!("| `{}` | {} | {} | {default} |", row.key, row.kind, row.expected)
        })
        .collect();
    for row in &rows {
        assert!(keys.contains(row.as_str()), "the page lacks {row}");
    }
    assert_eq!(keys.lines().filter(|line| line.starts_with("| `")).count(), rows.len());
}
