//! The listener: accepts client connections up to the maximum number.

use std::io::{ErrorKind, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use pintally_http::response;
use tracing::{debug, warn};

use crate::connection;
use crate::shared::{spawn_small, Shared};
use crate::wait::{wait, ClientInterest, Waker};

/// Pause after a failed accept, for example when there are no file descriptors left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Accepts connections until the node shuts down. The listening socket is non-blocking, because a blocking
/// accept would hang if the client disconnects after the socket became ready.
pub(crate) fn run(shared: &Arc<Shared>, listener: &TcpListener, waker: &Arc<Waker>) {
    let mut connection_number = 0;
    while !shared.is_closing() {
        if let Err(error) = wait(waker, Some((listener.as_fd(), ClientInterest::Readable)), None, None) {
            warn!(%error, "wait for clients failed");
            std::thread::sleep(ACCEPT_BACKOFF);
        }
        accept_all(shared, listener, &mut connection_number);
    }
}

/// Accepts connections until none is pending.
fn accept_all(shared: &Arc<Shared>, listener: &TcpListener, connection_number: &mut u64) {
    loop {
        match listener.accept() {
            Ok((stream, client)) => {
                *connection_number += 1;
                if let Err(error) = admit(shared, stream, *connection_number) {
                    debug!(%client, %error, "client connection not admitted");
                }
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => return,
            Err(error) => {
                warn!(%error, "accept failed");
                std::thread::sleep(ACCEPT_BACKOFF);
                return;
            }
        }
    }
}

/// Starts a thread for a connection, or rejects the connection if there are too many.
fn admit(shared: &Arc<Shared>, stream: TcpStream, number: u64) -> std::io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(Duration::from_micros(shared.settings.limits.write_timeout)))?;
    let waker = Arc::new(Waker::new()?);
    if !shared.add_connection(number, waker.clone()) {
        shared.counters.over_limit.fetch_add(1, Ordering::Relaxed);
        reject(&stream);
        return Ok(());
    }
    shared.counters.connections.fetch_add(1, Ordering::Relaxed);
    let entry = ConnectionEntry { shared: shared.clone(), number };
    // If the thread cannot be started, the closure is dropped, and with it the entry.
    spawn_small("client", move || connection::run(&entry.shared, stream, &waker))?;
    Ok(())
}

fn reject(mut stream: &TcpStream) {
    let body = pintally_kserve::error_body("too many connections", true);
    let headers = [("content-type", "application/json"), ("connection", "close")];
    // A single small write fits into the empty send buffer and does not block.
    let _ = stream.write(&response(503, &headers, body.as_bytes()));
}

/// An entry in the table of connections. Its drop removes it, also when the thread panics.
struct ConnectionEntry {
    shared: Arc<Shared>,
    number: u64,
}

impl Drop for ConnectionEntry {
    fn drop(&mut self) {
        self.shared.remove_connection(self.number);
    }
}
