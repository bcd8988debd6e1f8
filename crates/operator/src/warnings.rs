//! Warnings about a valid configuration: entries without an effect, and limits that contradict
//! each other. They don't change whether a configuration is accepted.
//!
//! Services, teams, domains and classes don't name each other in the files. What joins them is
//! the quota that the domains divide, the name that a class shares with a service, and the
//! settings of all services under `routing`.

use crate::{
    context::join,
    deployment::Team,
    folder::{CheckedConfig, ConfigFile},
    merge::{Entry, Node, Tree, merge_files},
    report::{ConfigReport, Problem, ProblemKind},
};
use cyclamenloft_routing::{MAX_FIRST_BACKOFF, retry::MIN_HEDGE_WAIT};
use humantime::format_duration;
use std::fmt;

/// Minimum similarity, from 0 to 1, of the names of a class with a latency target and of a
/// service for which the class is taken for a misspelled one.
const MIN_NAME_SIMILARITY: f64 = 0.8;

/// Returns the warnings about a configuration, in the order of files and positions.
#[must_use]
pub fn warnings(checked: &CheckedConfig) -> ConfigReport {
    let files = checked.files();
    let tree = merge_files(files, &mut ConfigReport::default());
    let mut checker = Checker { checked, files, tree, found: Vec::new() };
    checker.check_quotas();
    checker.check_services();
    checker.check_classes();
    checker.check_switched_off();
    let mut found = checker.found;
    found.sort_by_key(|p| {
        (p.file().map(str::to_owned), p.position().map(|at| (at.line, at.column)))
    });
    let mut report = ConfigReport::default();
    found.into_iter().for_each(|warning| report.push(warning));
    report
}

struct Checker<'a> {
    checked: &'a CheckedConfig,
    files: &'a [ConfigFile],
    tree: Tree,
    found: Vec<Problem>,
}

impl Checker<'_> {
    fn entry(&self, path: &[&str]) -> Option<&Entry> {
        let (last, tables) = path.split_last()?;
        let mut tree = &self.tree;
        for key in tables {
            match &tree.get(*key)?.node {
                Node::Table(table) => tree = table,
                Node::Leaf(_) => return None,
            }
        }
        tree.get(*last)
    }

    fn is_set(&self, path: &[&str]) -> bool {
        self.entry(path).is_some()
    }

    /// Returns whether the files have a table at `path` without a key in it.
    fn is_empty_table(&self, path: &[&str]) -> bool {
        self.entry(path).is_some_and(|e| matches!(&e.node, Node::Table(table) if table.is_empty()))
    }

    /// Adds a warning at `path`, or at the table that contains it if the files don't set it.
    fn warn(&mut self, kind: ProblemKind, path: &[&str], what: impl fmt::Display) {
        let set = (1..=path.len()).rev().map(|n| &path[..n]).find(|path| self.is_set(path));
        let Some((path, entry)) = set.and_then(|path| Some((path, self.entry(path)?))) else {
            return;
        };
        let span = match &entry.node {
            Node::Leaf(leaf) => &leaf.span,
            Node::Table(_) => &entry.key,
        };
        let file = &self.files[span.file];
        let key = path.last().copied().unwrap_or_default();
        let dotted = path.iter().fold(Box::from(""), |joined: Box<str>, key| join(&joined, key));
        let text = format!("key \"{key}\" in {}: {what}", file.name);
        let warning = Problem::warning(kind, text).at(file, span.range.clone()).key(dotted);
        self.found.push(warning);
    }

    fn no_effect(&mut self, path: &[&str], what: impl fmt::Display) {
        self.warn(ProblemKind::NoEffect, path, format_args!("has no effect: {what}"));
    }

    fn contradiction(&mut self, path: &[&str], what: impl fmt::Display) {
        self.warn(ProblemKind::Contradiction, path, what);
    }

    /// Quotas are divided among the domains by weight, each part rounded down.
    fn check_quotas(&mut self) {
        let content = self.checked.deployment();
        let total: u64 = content.domains.values().map(|d| u64::from(d.weight)).sum();
        let has_quota = content.teams.values().any(|t| t.quota.is_some());
        for name in content.domains.keys() {
            let path = ["domains", &**name, "weight"];
            if !has_quota && self.is_set(&path) {
                self.no_effect(&path, "no team has a quota that the domains divide");
            }
        }
        if has_quota
            && total == 0
            && let Some(name) = content.domains.keys().next()
        {
            let what = "every domain has weight 0, so each one gets the whole of every quota";
            self.contradiction(&["domains", &**name, "weight"], what);
        }
        for (name, team) in &content.teams {
            if self.is_empty_table(&["teams", &**name]) {
                let what = "a team that isn't listed has the same weight and no quota";
                self.no_effect(&["teams", &**name], what);
            }
            self.check_quota(name, team, total);
        }
    }

    fn check_quota(&mut self, name: &str, team: &Team, total: u64) {
        let Some(quota) = team.quota else { return };
        if quota.cpu_millis == 0 {
            let what = "no task of the team can start, since each needs at least 1";
            self.contradiction(&["teams", name, "quota", "cpu_millis"], what);
        }
        let domains = &self.checked.deployment().domains;
        let amounts = [
            ("cpu_millis", u64::from(quota.cpu_millis)),
            ("memory_mib", u64::from(quota.memory_mib)),
            ("accelerators", u64::from(quota.accelerators)),
        ];
        for (key, amount) in amounts {
            let is_none = |weight: u32| weight > 0 && amount * u64::from(weight) < total;
            let without = domains.iter().filter(|(_, d)| amount > 0 && is_none(d.weight));
            let names: Vec<&str> = without.map(|(name, _)| &**name).collect();
            if !names.is_empty() {
                let what = format_args!(
                    "the part of domain {} is 0, so no task that needs any can start there",
                    names.join(", ")
                );
                self.contradiction(&["teams", name, "quota", key], what);
            }
        }
    }

    fn check_services(&mut self) {
        let content = self.checked.deployment();
        for (name, policy) in &content.services {
            let name = &**name;
            let deadline = policy.deadline;
            let hedging = ["services", name, "hedging"];
            let hedges = self.is_set(&hedging) && content.requests[name].hedging;
            if hedges && !content.routing.hedging {
                self.no_effect(&hedging, "\"routing.hedging\" is false");
            } else if hedges && deadline <= MIN_HEDGE_WAIT {
                let what = format_args!(
                    "no request is sent twice before {}, but the deadline is {}",
                    format_duration(MIN_HEDGE_WAIT),
                    format_duration(deadline)
                );
                self.contradiction(&hedging, what);
            }
            if policy.retry_percent > 0 && deadline <= MAX_FIRST_BACKOFF {
                let what = format_args!(
                    "{} leaves no time for a retry, which waits up to {}",
                    format_duration(deadline),
                    format_duration(MAX_FIRST_BACKOFF)
                );
                self.contradiction(&["services", name, "deadline"], what);
            }
            if content.spill.enabled && deadline <= content.spill.margin {
                let what = format_args!(
                    "{} is not above \"routing.spill.margin\" ({}), so no request that can \
                     still be served goes to another domain",
                    format_duration(deadline),
                    format_duration(content.spill.margin)
                );
                let deadline = ["services", name, "deadline"];
                match self.is_set(&deadline) {
                    true => self.contradiction(&deadline, what),
                    false => self.contradiction(&["routing", "spill", "margin"], what),
                }
            }
        }
    }

    fn check_classes(&mut self) {
        let content = self.checked.deployment();
        for (name, class) in &content.classes {
            let name = &**name;
            let path = ["classes", name, "latency_p99"];
            if self.is_empty_table(&["classes", name]) {
                self.no_effect(
                    &["classes", name],
                    "a class that isn't listed has no limits either",
                );
            }
            let Some(target) = class.latency_p99 else { continue };
            if let Some(cap) = class.run_time_cap.filter(|cap| target > *cap) {
                let what = format_args!(
                    "{} is above \"run_time_cap\" ({}), so no task lives long enough to miss it",
                    format_duration(target),
                    format_duration(cap)
                );
                self.contradiction(&path, what);
            }
            match content.services.get(name) {
                Some(service) if target > service.deadline => {
                    let what = format_args!(
                        "{} is above \"services.{name}.deadline\" ({}), after which requests end",
                        format_duration(target),
                        format_duration(service.deadline)
                    );
                    self.contradiction(&path, what);
                }
                Some(_) => {}
                None => {
                    let similarity =
                        |service: &str| strsim::normalized_damerau_levenshtein(name, service);
                    let is_similar = |service: &&str| similarity(service) >= MIN_NAME_SIMILARITY;
                    let similar = content.services.keys().map(|s| &**s).find(is_similar);
                    if let Some(service) = similar {
                        let what = format_args!(
                            "no service has the name of this class, did you mean \"{service}\"?"
                        );
                        self.warn(ProblemKind::NoEffect, &["classes", name], what);
                    }
                }
            }
        }
    }

    /// Settings of what is switched off.
    fn check_switched_off(&mut self) {
        let content = self.checked.deployment();
        let margin = ["routing", "spill", "margin"];
        if !content.spill.enabled && self.is_set(&margin) {
            self.no_effect(&margin, "\"routing.spill.enabled\" is false");
        }
        let cooldown = ["placement", "eviction", "cooldown"];
        if content.eviction.per_hour == 0 && self.is_set(&cooldown) {
            self.no_effect(&cooldown, "\"placement.eviction.per_hour\" is 0");
        }
    }
}
