//! Each error that Linux documents for a call, and its meaning.

use super::*;

fn error(errno: Errno) -> io::Error {
    io::Error::from_raw_os_error(errno.raw_os_error())
}

#[test]
fn accept_error_table() {
    use AcceptFailure::{NobodyWaits, OutOfDescriptors, TryLater, TryNext};
    let table = [
        (Errno::AGAIN, NobodyWaits),
        (Errno::WOULDBLOCK, NobodyWaits),
        (Errno::INTR, TryNext),
        (Errno::CONNABORTED, TryNext),
        (Errno::PROTO, TryNext),
        (Errno::NETDOWN, TryNext),
        (Errno::NOPROTOOPT, TryNext),
        (Errno::HOSTDOWN, TryNext),
        (Errno::NONET, TryNext),
        (Errno::HOSTUNREACH, TryNext),
        (Errno::OPNOTSUPP, TryNext),
        (Errno::NETUNREACH, TryNext),
        (Errno::TIMEDOUT, TryNext),
        (Errno::MFILE, OutOfDescriptors),
        (Errno::NFILE, TryLater),
        (Errno::NOBUFS, TryLater),
        (Errno::NOMEM, TryLater),
        (Errno::PERM, TryLater),
        (Errno::BADF, TryLater),
        (Errno::INVAL, TryLater),
        (Errno::NOTSOCK, TryLater),
    ];
    for (errno, meaning) in table {
        assert_eq!(accept_failure(&error(errno)), meaning, "{errno}");
    }
}

#[test]
fn start_retries_transient_errors_only() {
    let mut left = 3;
    let done = retry_at_start("a call", || {
        left -= 1;
        match left {
            0 => Ok("done"),
            _ => Err(error(Errno::NOBUFS)),
        }
    });
    assert_eq!(done.ok(), Some("done"));
    for errno in [Errno::NOENT, Errno::ACCESS, Errno::INVAL, Errno::AFNOSUPPORT] {
        let mut calls = 0;
        let failed = retry_at_start("a call", || -> io::Result<()> {
            calls += 1;
            Err(error(errno))
        });
        assert_eq!((failed.map_err(|e| e.raw_os_error()), calls), (Err(Some(errno.raw_os_error())), 1));
    }
}
