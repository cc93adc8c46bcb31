//! Atomic replacement of cached files.

use std::fs;

use super::files::replace_atomically;

/// Guards against two files in one directory that use the same temporary name. It happened to a scenario's
/// endpoint list and the cached list: one of the temporary files no longer existed when it was to be renamed.
#[test]
fn temporary_name_contains_full_file_name() {
    let folder = std::env::temp_dir().join(format!("pintally-watch-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    fs::write(folder.join("list.new"), "another's").unwrap();
    replace_atomically(&folder.join("list.kept"), b"kept").unwrap();
    assert_eq!(fs::read(folder.join("list.kept")).unwrap(), b"kept");
    assert_eq!(fs::read(folder.join("list.new")).unwrap(), b"another's");
    fs::remove_dir_all(&folder).unwrap();
}
