//! The listener: accepts client connections, as many as are allowed.

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

/// The pause after an accept that failed, as when there are no more file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Accepts until the node closes. The listener does not block, so that a client that leaves between
/// readiness and accept holds up nobody.
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

/// Accepts until no more clients wait.
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

/// Starts a thread for a connection, or rejects it if there are too many.
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
    // Where the thread does not start the entry is dropped with its closure.
    spawn_small("client", move || connection::run(&entry.shared, stream, &waker))?;
    Ok(())
}

fn reject(mut stream: &TcpStream) {
    let body = pintally_kserve::error_body("too many connections", true);
    let headers = [("content-type", "application/json"), ("connection", "close")];
    // One small write into an empty buffer: it does not wait.
    let _ = stream.write(&response(503, &headers, body.as_bytes()));
}

/// An entry in the table of connections, removed however the thread ends.
struct ConnectionEntry {
    shared: Arc<Shared>,
    number: u64,
}

impl Drop for ConnectionEntry {
    fn drop(&mut self) {
        self.shared.remove_connection(self.number);
    }
}
