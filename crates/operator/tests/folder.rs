//! Reading a configuration folder from disk.

use cyclamenloft_operator::{
    ConfigDraft, ProblemKind,
    folder::{MAX_FILE_BYTES, MAX_FILES},
};
use std::{fs, path::Path};

fn write(folder: &Path, name: &str, bytes: impl AsRef<[u8]>) {
    fs::write(folder.join(name), bytes).expect("a temporary folder is writable");
}

#[test]
fn files_are_read_in_the_order_of_their_names() {
    let dir = tempfile::tempdir().unwrap();
    write(dir.path(), "90-late.toml", "[routing]\n");
    write(dir.path(), "10-domains.toml", "[domains.cascadia-sea]\n");
    write(dir.path(), "README.md", "not a configuration file");
    write(dir.path(), ".10-domains.toml", "= an editor's copy");
    let checked = ConfigDraft::from_folder(dir.path()).unwrap().check().unwrap();
    let names: Vec<_> = checked.files().iter().map(|file| &*file.name).collect();
    assert_eq!(names, ["10-domains.toml", "90-late.toml"]);
}

#[test]
fn an_empty_folder_is_refused() {
    let dir = tempfile::tempdir().unwrap();
    let error = ConfigDraft::from_folder(dir.path()).unwrap_err();
    let expected =
        format!("folder {}: expected at least one .toml file, found none", dir.path().display());
    assert_eq!(&*error.detail, expected);
}

#[test]
fn a_missing_folder_is_refused() {
    let dir = tempfile::tempdir().unwrap();
    let report = ConfigDraft::read_folder(&dir.path().join("missing")).unwrap_err();
    assert_eq!(report.problems()[0].kind(), ProblemKind::Folder);
}

#[test]
fn every_unreadable_file_is_reported() {
    let dir = tempfile::tempdir().unwrap();
    write(dir.path(), "10-good.toml", "");
    write(dir.path(), "20-latin.toml", b"[teams.a]\n# Gr\xfc\xdfe\n");
    write(dir.path(), "30-large.toml", vec![b' '; MAX_FILE_BYTES + 1]);
    fs::create_dir(dir.path().join("40-folder.toml")).unwrap();
    let report = ConfigDraft::read_folder(dir.path()).unwrap_err();
    let texts: Vec<_> = report.problems().iter().map(ToString::to_string).collect();
    assert_eq!(
        texts,
        [
            "file 20-latin.toml: expected UTF-8, found byte 0xfc",
            "file 30-large.toml: expected at most 65536 bytes, found more",
            "file 40-folder.toml: expected a regular file",
        ]
    );
    let at = report.problems()[0].position().unwrap();
    assert_eq!((at.line, at.column), (2, 5));
}

#[test]
fn too_many_files_are_refused_before_any_is_read() {
    let dir = tempfile::tempdir().unwrap();
    for i in 0..=MAX_FILES {
        write(dir.path(), &format!("{i:03}.toml"), "=");
    }
    let report = ConfigDraft::read_folder(dir.path()).unwrap_err();
    assert_eq!(report.problems().len(), 1);
    assert_eq!(report.problems()[0].kind(), ProblemKind::TooLarge);
}
