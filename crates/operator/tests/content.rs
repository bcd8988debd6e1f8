//! Typed content of a configuration, defaults, origins and differences.

use cyclamenloft_operator::{
    CheckedConfig, ConfigDraft, ConfigFile, Deployment, KeyChange, diff,
    origin::{Change, Location},
    service::{IdempotentDefault, RequestPolicy},
};
use cyclamenloft_placement::FitPolicy;
use cyclamenloft_routing::{ChoicePolicy, ServicePolicy};
use cyclamenloft_types::{Priority, Resources};
use std::time::Duration;

fn checked(files: &[(&str, &str)]) -> CheckedConfig {
    let file =
        |(name, text): &(&str, &str)| ConfigFile { name: (*name).into(), text: (*text).into() };
    ConfigDraft::from_files(files.iter().map(file).collect()).check().expect("the files are valid")
}

#[test]
fn an_empty_file_gives_the_defaults() {
    assert_eq!(checked(&[("a.toml", "")]).deployment(), &Deployment::default());
}

#[test]
fn a_service_without_keys_has_the_defaults() {
    let checked = checked(&[("a.toml", "[services.matchdesk]")]);
    assert_eq!(checked.deployment().services["matchdesk"], ServicePolicy::default());
    assert_eq!(checked.deployment().requests["matchdesk"], RequestPolicy::default());
}

#[test]
fn a_short_deadline_shortens_the_default_latency_target() {
    let checked = checked(&[("a.toml", "[services.m]\ndeadline = \"100ms\"")]);
    assert_eq!(checked.deployment().requests["m"].latency_p99, Duration::from_millis(100));
}

#[test]
fn every_key_of_a_service_is_read() {
    let text = r#"
        [services.orders-desk]
        slots = 16
        connections = 128
        deadline = "5s"
        queue = 1000
        retry_percent = 20
        hedging = false
        idempotent = "never"
        priority = "urgent"
        latency_p99 = "400ms"
        body_limit_bytes = 2048
    "#;
    let checked = checked(&[("a.toml", text)]);
    let policy = &checked.deployment().services["orders-desk"];
    assert_eq!((policy.slots, policy.connections, policy.queue), (16, 128, 1000));
    assert_eq!((policy.deadline, policy.retry_percent), (Duration::from_secs(5), 20));
    let expected = RequestPolicy {
        hedging: false,
        idempotent: IdempotentDefault::Never,
        priority: Priority::Urgent,
        latency_p99: Duration::from_millis(400),
        body_limit_bytes: 2048,
    };
    assert_eq!(checked.deployment().requests["orders-desk"], expected);
}

#[test]
fn every_key_of_policies_teams_and_classes_is_read() {
    let text = r#"
        [domains]
        galway-yard = { weight = 3 }
        mayo-yard.weight = 0
        [teams.crews]
        weight = 2
        quota = { cpu_millis = 64_000, memory_mib = 256_000, accelerators = 1 }
        [teams.quotes]
        [classes.quotation-run]
        run_time_cap = "2h"
        checkpointable = true
        [classes.inspection-watch]
        latency_p99 = "1s"
        [routing]
        choice = "least-in-flight"
        admission = false
        hedging = false
        max_ejected_percent = 10
        spill = { enabled = false, margin = "8ms" }
        [placement]
        fit = "best-fit"
        lease = "15s"
        report_period = "3s"
        drift_margin = "1s"
        max_failures = 3
        eviction = { per_hour = 12, cooldown = "10m" }
    "#;
    let checked = checked(&[("a.toml", text)]);
    let content = checked.deployment();
    assert_eq!(
        (content.domains["galway-yard"].weight, content.domains["mayo-yard"].weight),
        (3, 0)
    );
    assert_eq!(content.teams["crews"].weight, 2);
    assert_eq!(content.teams["crews"].quota, Some(Resources::new(64_000, 256_000, 1)));
    assert_eq!((content.teams["quotes"].weight, content.teams["quotes"].quota), (1, None));
    let run = content.classes["quotation-run"];
    assert_eq!((run.run_time_cap, run.checkpointable), (Some(Duration::from_secs(7200)), true));
    let watch = content.classes["inspection-watch"];
    assert_eq!((watch.latency_p99, watch.checkpointable), (Some(Duration::from_secs(1)), false));
    assert_eq!(content.routing.choice, ChoicePolicy::LeastInFlight);
    assert!(!content.routing.admission && !content.routing.hedging && !content.spill.enabled);
    assert_eq!(content.routing.max_ejected_percent, 10);
    assert_eq!(content.spill.margin, Duration::from_millis(8));
    let placement = &content.placement;
    assert_eq!((placement.fit, placement.max_failures), (FitPolicy::BestFit, 3));
    assert_eq!(placement.lease, Duration::from_secs(15));
    assert_eq!(placement.report_period, Duration::from_secs(3));
    assert_eq!(placement.drift_margin, Duration::from_secs(1));
    assert_eq!(content.eviction.per_hour, 12);
    assert_eq!(content.eviction.cooldown, Duration::from_secs(600));
}

#[test]
fn later_files_override_values_and_tables_are_merged_recursively() {
    let checked = checked(&[
        ("90-late.toml", "services.m.slots = 4\n"),
        ("20-m.toml", "[services.m]\nslots = 8\nqueue = 100\n"),
        ("95-later.toml", "[services.m]\nslots = 6\n"),
    ]);
    let policy = &checked.deployment().services["m"];
    assert_eq!((policy.slots, policy.queue), (6, 100));
    let origins = checked.origins();
    let keys: Vec<_> = origins.iter().map(|o| (&*o.key, &*o.value)).collect();
    assert_eq!(keys, [("services.m.queue", "100"), ("services.m.slots", "6")]);
    let place = |file: &str, line| Location { file: file.into(), line };
    assert_eq!(origins[1].place, place("95-later.toml", 2));
    assert_eq!(origins[1].overrides, [place("20-m.toml", 2), place("90-late.toml", 1)]);
    assert_eq!(origins[0].overrides, []);
}

#[test]
fn an_invalid_value_that_a_later_file_overrides_is_ignored() {
    let checked =
        checked(&[("1.toml", "services.m.slots = 0"), ("2.toml", "services.m.slots = 2")]);
    assert_eq!(checked.deployment().services["m"].slots, 2);
}

#[test]
fn names_with_dots_are_quoted_in_keys() {
    let checked = checked(&[("a.toml", "[teams.\"a.b\"]\nweight = 0x10")]);
    assert_eq!(&*checked.origins()[0].key, "teams.\"a.b\".weight");
    assert_eq!(&*checked.origins()[0].value, "16");
}

#[test]
fn diff_lists_added_removed_and_changed_keys() {
    let earlier =
        checked(&[("a.toml", "services.m = { slots = 8, queue = 1, deadline = \"1s\" }")]);
    let later = checked(&[
        ("b.toml", "services.m = { slots = 4, queue = 1 }"),
        ("c.toml", "routing.hedging = false"),
    ]);
    let change = |key: &str, change| KeyChange { key: key.into(), change };
    assert_eq!(
        diff(&earlier, &later),
        [
            change("routing.hedging", Change::Added { value: "false".into() }),
            change("services.m.deadline", Change::Removed { value: "\"1s\"".into() }),
            change("services.m.slots", Change::Changed { from: "8".into(), to: "4".into() }),
        ]
    );
    assert_eq!(diff(&later, &later), []);
}
