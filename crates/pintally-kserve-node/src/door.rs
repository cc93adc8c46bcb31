//! The door: accepts clients, as many as there is room for.

use std::net::TcpListener;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use pintally_http::response;
use tracing::{debug, warn};

use crate::shared::{spawn_small, Shared};
use crate::wait::{wait, Client, Waker};
use crate::{connection, wait};

/// A pause after an accept that failed, as when there are no more file descriptors.
const PAUSE: Duration = Duration::from_millis(20);

/// Accepts until the node closes. The listener does not block, so that a client that leaves between
/// readiness and accept holds nobody.
pub(crate) fn run(shared: &Arc<Shared>, listener: &TcpListener, waker: &Arc<Waker>) {
    let numbers = AtomicU64::new(1);
    while !shared.is_closing() {
        if let Err(e) = wait(waker, Some((listener, Client::Readable)), None, None) {
            warn!(error = %e, "cannot wait for clients");
            std::thread::sleep(PAUSE);
        }
        loop {
            match listener.accept() {
                Ok((stream, peer)) => {
                    let number = numbers.fetch_add(1, Ordering::Relaxed);
                    if let Err(e) = admit(shared, stream, number) {
                        debug!(%peer, error = %e, "a client was not let in");
                    }
                }
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => break,
                Err(e) => {
                    warn!(error = %e, "cannot accept");
                    std::thread::sleep(PAUSE);
                    break;
                }
            }
        }
    }
}

fn admit(shared: &Arc<Shared>, stream: std::net::TcpStream, number: u64) -> std::io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(Duration::from_micros(shared.settings.limits.write_timeout)))?;
    let waker = Arc::new(wait::Waker::new()?);
    if shared.enter(number, waker.clone()).is_none() {
        shared.counts.over_limit.fetch_add(1, Ordering::Relaxed);
        let body = pintally_kserve::error("too many connections", true);
        let headers = [("content-type", "application/json"), ("connection", "close")];
        // One small write into an empty buffer: it does not wait.
        let _ = std::io::Write::write(&mut &stream, &response(503, &headers, body.as_bytes()));
        return Ok(());
    }
    shared.counts.connections.fetch_add(1, Ordering::Relaxed);
    let own = shared.clone();
    let spawned = spawn_small("client", move || {
        let entered = Entered { shared: own, number };
        connection::run(&entered.shared, stream, &waker);
    });
    if let Err(e) = spawned {
        shared.leave(number);
        return Err(e);
    }
    Ok(())
}

/// Leaves the register however the thread ends.
struct Entered {
    shared: Arc<Shared>,
    number: u64,
}

impl Drop for Entered {
    fn drop(&mut self) {
        self.shared.leave(self.number);
    }
}
