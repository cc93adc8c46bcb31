use std::time::Duration;

use rustix::fs::{mknodat, FileType, Mode, CWD};

use super::*;

fn replacement(file: PathBuf, text: &str) -> FileReplacement {
    FileReplacement { file, text: text.into(), events: Vec::new() }
}

/// Guards against clients that stop sending while a file waits for a busy disk. The file here is a pipe, to which a
/// write waits for the reader.
#[test]
fn slow_replacement_does_not_delay_its_caller() {
    let folder = tempfile::tempdir().unwrap();
    let (slow, next) = (folder.path().join("slow"), folder.path().join("next"));
    let pipe = fresh_path(&slow);
    mknodat(CWD, &pipe, FileType::Fifo, Mode::RUSR | Mode::WUSR, 0).unwrap();
    let (queued, is_queued) = channel::<()>();
    let reader = thread::spawn(move || {
        let in_time = is_queued.recv_timeout(Duration::from_secs(5)).is_ok();
        (in_time, fs::read_to_string(pipe).unwrap())
    });
    let writer = FileWriter::start(Recorder::default()).unwrap();
    writer.replace(replacement(slow, "first")).unwrap();
    writer.replace(replacement(next.clone(), "second")).unwrap();
    queued.send(()).unwrap();
    assert_eq!(reader.join().unwrap(), (true, "first".into()), "the caller went on while the disk was busy");
    drop(writer);
    assert_eq!(fs::read_to_string(next).unwrap(), "second", "all is written at the end");
}
