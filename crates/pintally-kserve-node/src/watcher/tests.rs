//! Atomic replacement of cached files.

use std::fs;

use super::files::replace_atomically;

/// Guards against two files beside each other that take the same temporary name: a scenario's list and the
/// cached list did, and one of them was gone when it was to be renamed.
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
