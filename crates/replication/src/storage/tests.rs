//! Recovery of a damaged folder. A truncated file or a flipped byte must either
//! lose nothing that was synced or be reported as corruption with file and
//! offset.

use super::{DiskWrite, Record, Recovered, Storage, sync_point::NAME as SYNC_POINT_FILE};
use crate::{
    config::{Member, MemberKind},
    entry::{Blob, Entry, HardState, Identity, Payload, Snapshot},
    membership::Membership,
};
use cyclamenloft_types::{ErrorKind, LogIndex, Result};
use proptest::{collection::vec, prelude::*, sample::Index, test_runner::RngSeed};
use std::{
    fs,
    path::{Path, PathBuf},
};
use tempfile::TempDir;

/// Size of a segment, so small that a few writes fill several segments.
const SEGMENT_BYTES: u64 = 200;

/// One write of a random history.
#[derive(Clone, Debug)]
enum Step {
    /// Appends entries with commands of these lengths, after removing this many
    /// of the last entries.
    Entries(Vec<usize>, usize),
    Hard(u64),
    Snapshot(Index),
    /// Installs a snapshot from the leader that replaces the whole log and ends
    /// this many entries after it.
    Install(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (vec(0..60usize, 1..4), 0..4usize).prop_map(|(e, r)| Step::Entries(e, r)),
        2 => (0..3u64).prop_map(Step::Hard),
        1 => any::<Index>().prop_map(Step::Snapshot),
        1 => (1..5u64).prop_map(Step::Install),
    ]
}

/// The expected contents of the folder.
#[derive(Clone, Debug, Default, PartialEq)]
struct Model {
    hard_state: HardState,
    snapshot: Option<Snapshot>,
    entries: Vec<Entry>,
}

impl Model {
    fn base(&self) -> LogIndex {
        self.snapshot.as_ref().map_or(0, |s| s.index)
    }

    fn last(&self) -> LogIndex {
        self.base() + self.entries.len() as u64
    }

    /// Applies `step` to the model; returns the writes for the storage.
    fn apply(&mut self, step: &Step) -> Vec<DiskWrite> {
        match step {
            Step::Entries(lengths, replaced) => {
                let kept = self.entries.len().saturating_sub(*replaced);
                self.entries.truncate(kept);
                let term = self.hard_state.term + 1;
                let payload = |length: &usize| Payload::Command(Blob(vec![9; *length].into()));
                lengths
                    .iter()
                    .map(|length| {
                        let index = self.last() + 1;
                        self.entries.push(Entry { index, term, payload: payload(length) });
                        DiskWrite::Record(Record::Entry(self.entries.last().unwrap().clone()))
                    })
                    .collect()
            }
            Step::Hard(terms) => {
                let vote = Some(Identity { id: *terms, incarnation: 5 });
                self.hard_state = HardState { term: self.hard_state.term + terms, vote };
                vec![DiskWrite::Record(Record::Hard(self.hard_state))]
            }
            Step::Snapshot(position) if self.entries.is_empty() => {
                let _ = position;
                Vec::new()
            }
            Step::Snapshot(position) => {
                let last = position.index(self.entries.len());
                let snapshot = snapshot(self.entries[last].index, self.entries[last].term);
                self.entries.drain(..=last);
                self.snapshot = Some(snapshot.clone());
                vec![DiskWrite::Snapshot(snapshot)]
            }
            Step::Install(ahead) => {
                let (index, term) = (self.last() + ahead, self.hard_state.term + 1);
                self.entries.clear();
                self.snapshot = Some(snapshot(index, term));
                let reset = DiskWrite::Record(Record::Reset { index, term });
                vec![DiskWrite::Snapshot(snapshot(index, term)), reset]
            }
        }
    }
}

fn snapshot(index: LogIndex, term: u64) -> Snapshot {
    let members = [Member { id: 1, kind: MemberKind::Voter }];
    let membership = Membership::initial(&members, |_| Some(5));
    Snapshot { index, term, membership, data: Blob(vec![3; 40].into()) }
}

fn open(folder: &Path) -> Result<(Storage, Recovered)> {
    Storage::open(folder, "test", 1, SEGMENT_BYTES)
}

fn recovered(folder: &Path) -> Result<Model> {
    open(folder).map(|(_, r)| Model {
        hard_state: r.hard_state,
        snapshot: r.snapshot,
        entries: r.entries,
    })
}

/// Creates a folder in which `steps` were written.
fn written(steps: &[Step]) -> (TempDir, Storage, Model) {
    let folder = TempDir::new().unwrap();
    let (mut storage, _) = open(folder.path()).unwrap();
    let mut model = Model::default();
    for step in steps {
        storage.write(model.apply(step)).unwrap();
    }
    (folder, storage, model)
}

/// Returns the files that aren't empty.
fn files(folder: &Path) -> Vec<PathBuf> {
    let mut files: Vec<_> = fs::read_dir(folder).unwrap().map(|e| e.unwrap().path()).collect();
    files.retain(|f| fs::metadata(f).unwrap().len() > 0);
    files.sort();
    files
}

/// Checks that opening a damaged folder returns everything that was synced, or
/// fails with an error that names a file and an offset.
fn check(folder: &Path, model: &Model) -> Result<(), TestCaseError> {
    match recovered(folder) {
        Ok(found) => prop_assert_eq!(&found, model),
        Err(e) => {
            prop_assert_eq!(e.kind, ErrorKind::Corrupt);
            let folder = folder.to_str().unwrap();
            prop_assert!(e.detail.contains(folder) && e.detail.contains("at offset"), "{e}");
        }
    }
    Ok(())
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(0x10C),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(100))]

    #[test]
    fn written_state_is_recovered(steps in vec(step(), 0..30)) {
        let (folder, storage, model) = written(&steps);
        drop(storage);
        prop_assert_eq!(&recovered(folder.path()).unwrap(), &model);
        prop_assert_eq!(&recovered(folder.path()).unwrap(), &model);
    }

    #[test]
    fn writes_continue_after_recovery(before in vec(step(), 0..15), after in vec(step(), 0..15)) {
        let (folder, storage, mut model) = written(&before);
        drop(storage);
        let (mut storage, _) = open(folder.path()).unwrap();
        for step in &after {
            storage.write(model.apply(step)).unwrap();
        }
        drop(storage);
        prop_assert_eq!(&recovered(folder.path()).unwrap(), &model);
    }
}

proptest! {
    #![proptest_config(config(400))]

    #[test]
    fn a_flipped_byte_loses_nothing_or_is_reported(
        steps in vec(step(), 0..20), file in any::<Index>(), at in any::<Index>(), bits in 1..=255u8,
    ) {
        let (folder, storage, model) = written(&steps);
        drop(storage);
        let files = files(folder.path());
        let file = file.get(&files);
        let mut bytes = fs::read(file).unwrap();
        let at = at.index(bytes.len());
        bytes[at] ^= bits;
        fs::write(file, &bytes).unwrap();
        check(folder.path(), &model)?;
    }

    #[test]
    fn a_truncated_file_loses_nothing_or_is_reported(
        steps in vec(step(), 0..20), file in any::<Index>(), at in any::<Index>(),
    ) {
        let (folder, storage, model) = written(&steps);
        drop(storage);
        let files = files(folder.path());
        let file = file.get(&files);
        let bytes = fs::read(file).unwrap();
        fs::write(file, &bytes[..at.index(bytes.len())]).unwrap();
        check(folder.path(), &model)?;
    }

    #[test]
    fn a_missing_file_loses_nothing_or_is_reported(steps in vec(step(), 1..20), file in any::<Index>()) {
        let (folder, storage, model) = written(&steps);
        drop(storage);
        let files = files(folder.path());
        let file = file.get(&files);
        // A folder that lost its identity file but never held anything is
        // treated as new.
        prop_assume!(!file.ends_with("identity") || model != Model::default());
        fs::remove_file(file).unwrap();
        match recovered(folder.path()) {
            // If the snapshot is missing, a log that goes back to its first
            // entry still contains everything.
            Ok(found) if found.snapshot.is_none() && model.snapshot.is_some() => {
                prop_assert_eq!(found.hard_state, model.hard_state);
                prop_assert_eq!(found.entries.len() as u64, model.last());
                prop_assert!(found.entries.ends_with(&model.entries));
            }
            _ => check(folder.path(), &model)?,
        }
    }

    /// A loss of power tears the records that are being written. Recovery must
    /// truncate the log there and keep everything that was synced before.
    #[test]
    fn a_torn_tail_is_truncated(
        steps in vec(step(), 0..20), lengths in vec(0..60usize, 1..5), at in any::<Index>(),
        garbage in vec(any::<u8>(), 0..20),
    ) {
        let (folder, mut storage, model) = written(&steps);
        let sync_point = fs::read(folder.path().join(SYNC_POINT_FILE)).unwrap();
        let log = storage.active().path().to_path_buf();
        let synced = storage.active().size() as usize;
        let mut torn = model.clone();
        storage.write(torn.apply(&Step::Entries(lengths, 0))).unwrap();
        prop_assume!(storage.active().path() == log);
        drop(storage);
        fs::write(folder.path().join(SYNC_POINT_FILE), sync_point).unwrap();
        let bytes = fs::read(&log).unwrap();
        let kept = synced + at.index(bytes.len() - synced);
        fs::write(&log, [&bytes[..kept], &garbage].concat()).unwrap();
        let found = recovered(folder.path()).unwrap();
        prop_assert_eq!(&found.hard_state, &model.hard_state);
        prop_assert_eq!(&found.snapshot, &model.snapshot);
        prop_assert!(found.entries.starts_with(&model.entries));
        prop_assert!(torn.entries.starts_with(&found.entries));
    }
}

#[test]
fn a_second_open_of_a_folder_is_refused() {
    let (folder, storage, _) = written(&[]);
    assert_eq!(open(folder.path()).err().unwrap().kind, ErrorKind::FolderInUse);
    drop(storage);
    assert!(open(folder.path()).is_ok());
}

#[test]
fn the_folder_of_another_replica_is_refused() {
    let (folder, storage, _) = written(&[]);
    drop(storage);
    let other = Storage::open(folder.path(), "test", 2, SEGMENT_BYTES).err().unwrap();
    assert_eq!(other.kind, ErrorKind::BadSetting);
    let other = Storage::open(folder.path(), "other", 1, SEGMENT_BYTES).err().unwrap();
    assert_eq!(other.kind, ErrorKind::BadSetting);
}

#[test]
fn an_interrupted_creation_is_repeated() {
    for kept in 0..4 {
        let (folder, storage, model) = written(&[]);
        drop(storage);
        // In the reverse of the order in which a folder's files are created, so
        // that the files that remain are those of an interrupted creation.
        let names = ["identity", SYNC_POINT_FILE, "log-0000000000000001"];
        for name in &names[..kept.min(3)] {
            fs::remove_file(folder.path().join(name)).unwrap();
        }
        fs::write(folder.path().join("synced.tmp"), "torn").unwrap();
        assert_eq!(recovered(folder.path()).unwrap(), model);
    }
}

#[test]
fn a_new_folder_gets_a_new_incarnation() {
    let incarnation = |folder: &Path| open(folder).unwrap().1.incarnation;
    let (a, b) = (TempDir::new().unwrap(), TempDir::new().unwrap());
    assert_ne!(incarnation(a.path()), incarnation(b.path()));
    assert_eq!(incarnation(a.path()), incarnation(a.path()));
}
