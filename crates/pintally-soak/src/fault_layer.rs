//! The `LD_PRELOAD` library that makes system calls of a node fail with transient errors. It is built once for each
//! run.

use std::path::{Path, PathBuf};
use std::process::Command;

const SOURCE: &str = include_str!("fault_layer.c");

/// Builds the library in a directory. `None` if this machine has no C compiler.
pub fn build(folder: &Path) -> Option<PathBuf> {
    let (source, library) = (folder.join("fault_layer.c"), folder.join("fault_layer.so"));
    std::fs::write(&source, SOURCE).ok()?;
    let mut compiler = Command::new("cc");
    compiler.args(["-shared", "-fPIC", "-O1", "-o"]).arg(&library).arg(&source).arg("-ldl");
    compiler.status().ok()?.success().then_some(library)
}
