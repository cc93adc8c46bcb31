//! Classification of the errors that Linux documents for each call.

use super::*;

fn error(errno: Errno) -> io::Error {
    io::Error::from_raw_os_error(errno.raw_os_error())
}

#[test]
fn accept_error_table() {
    use AcceptFailure::{NonePending, OutOfDescriptors, RetryLater, RetryNow};
    let table = [
        (Errno::AGAIN, NonePending),
        (Errno::WOULDBLOCK, NonePending),
        (Errno::INTR, RetryNow),
        (Errno::CONNABORTED, RetryNow),
        (Errno::PROTO, RetryNow),
        (Errno::NETDOWN, RetryNow),
        (Errno::NOPROTOOPT, RetryNow),
        (Errno::HOSTDOWN, RetryNow),
        (Errno::NONET, RetryNow),
        (Errno::HOSTUNREACH, RetryNow),
        (Errno::OPNOTSUPP, RetryNow),
        (Errno::NETUNREACH, RetryNow),
        (Errno::TIMEDOUT, RetryNow),
        (Errno::MFILE, OutOfDescriptors),
        (Errno::NFILE, RetryLater),
        (Errno::NOBUFS, RetryLater),
        (Errno::NOMEM, RetryLater),
        (Errno::PERM, RetryLater),
        (Errno::BADF, RetryLater),
        (Errno::INVAL, RetryLater),
        (Errno::NOTSOCK, RetryLater),
    ];
    for (errno, expected) in table {
        assert_eq!(accept_failure(&error(errno)), expected, "{errno}");
    }
}

#[test]
fn startup_retries_only_transient_errors() {
    let mut left = 3;
    let done = retry_during_startup("a call", || {
        left -= 1;
        match left {
            0 => Ok("done"),
            _ => Err(error(Errno::NOBUFS)),
        }
    });
    assert_eq!(done.ok(), Some("done"));
    for errno in [Errno::NOENT, Errno::ACCESS, Errno::INVAL, Errno::AFNOSUPPORT] {
        let mut calls = 0;
        let failed = retry_during_startup("a call", || -> io::Result<()> {
            calls += 1;
            Err(error(errno))
        });
        assert_eq!((failed.map_err(|e| e.raw_os_error()), calls), (Err(Some(errno.raw_os_error())), 1));
    }
}
