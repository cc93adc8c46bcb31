//! Probes and releases: short exchanges with engines that no client waits for.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crossbeam_channel::Receiver;
use pintally_engine::{load_from_metrics, probe, release};
use pintally_host::Input;
use pintally_http::{Part, ResponseReader};

use crate::shared::{Errand, Shared};

/// The longest answer to an errand.
const ANSWER_MOST: usize = 1 << 20;

/// Runs errands until the channel closes.
pub(crate) fn run(shared: &Shared, errands: &Receiver<Errand>) {
    while let Ok(errand) = errands.recv() {
        if shared.is_dead() {
            return;
        }
        match errand {
            Errand::Probe(engine, address, slots) => {
                let page = exchange(shared, address, &probe()).filter(|(status, _)| *status == 200);
                let load =
                    page.as_ref().and_then(|(_, b)| load_from_metrics(&String::from_utf8_lossy(b), slots));
                shared.tell(Input::Probed(engine, page.is_some(), load));
            }
            Errand::Release(name, engine, address) => {
                let heard = exchange(shared, address, &release(&name.0)).is_some_and(|(s, _)| s < 500);
                shared.tell(Input::Released(name, engine, heard));
            }
        }
    }
}

/// One request and its whole answer, within the time for an errand.
fn exchange(shared: &Shared, address: SocketAddr, request: &[u8]) -> Option<(u16, Vec<u8>)> {
    let by = Instant::now() + Duration::from_micros(shared.settings.limits.errand);
    let within = by.saturating_duration_since(Instant::now());
    let mut stream = shared.pool.take(address, within).ok()?;
    let answer = talk(&mut stream, request, by);
    let reusable = answer.as_ref().is_some_and(|a| a.2);
    let stream = Some(stream).filter(|s| reusable && s.set_nonblocking(true).is_ok());
    shared.pool.give_back(address, stream);
    answer.map(|(status, body, _)| (status, body))
}

fn talk(stream: &mut TcpStream, request: &[u8], by: Instant) -> Option<(u16, Vec<u8>, bool)> {
    stream.set_nonblocking(false).ok()?;
    let left = || Some(by.saturating_duration_since(Instant::now())).filter(|l| !l.is_zero());
    stream.set_write_timeout(Some(left()?)).ok()?;
    stream.write_all(request).ok()?;
    let (mut reader, mut status, mut body, mut buffer) =
        (ResponseReader::new(16 << 10), 0, Vec::new(), [0u8; 4096]);
    loop {
        while let Some(part) = reader.next_part().ok()? {
            match part {
                Part::Head(s, _) => status = s,
                Part::Body(bytes) if body.len() + bytes.len() <= ANSWER_MOST => body.extend(bytes),
                Part::Body(_) => return None,
                Part::End(reusable) => return Some((status, body, reusable)),
            }
        }
        stream.set_read_timeout(Some(left()?)).ok()?;
        match stream.read(&mut buffer) {
            Ok(0) => return reader.closed().ok().map(|_| (status, body, false)),
            Ok(n) => reader.push(&buffer[..n]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return None,
        }
    }
}
