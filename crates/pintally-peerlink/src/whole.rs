//! Whole texts over TCP: one byte asks for a text, a length and a checksum come before it.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Bytes of the longest text.
pub const TEXT_MOST: usize = 16 << 20;
/// Texts handed out at once.
const AT_ONCE: usize = 4;
/// A peer that takes longer for a step is let go.
const STEP: Duration = Duration::from_millis(500);
/// How often the listener looks whether it is to end.
const LOOK: Duration = Duration::from_millis(50);

/// Hands out whole texts until it is dropped.
#[derive(Debug)]
pub struct Whole {
    ends: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Whole {
    /// Listens on an address and hands out what `text` has for a number; nothing closes the connection.
    pub fn serve(
        address: SocketAddr,
        text: impl Fn(u8) -> Option<Vec<u8>> + Send + Sync + 'static,
    ) -> io::Result<Whole> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let ends = Arc::new(AtomicBool::new(false));
        let (own, text, busy) = (ends.clone(), Arc::new(text), Arc::new(AtomicUsize::new(0)));
        let run = move || {
            while !own.load(Ordering::Acquire) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(LOOK);
                    continue;
                };
                if busy.fetch_add(1, Ordering::AcqRel) >= AT_ONCE {
                    busy.fetch_sub(1, Ordering::AcqRel);
                    continue;
                }
                let (text, done) = (text.clone(), busy.clone());
                let handed =
                    thread::Builder::new().name("text".into()).stack_size(256 << 10).spawn(move || {
                        let _ = hand_out(stream, &*text);
                        done.fetch_sub(1, Ordering::AcqRel);
                    });
                if handed.is_err() {
                    busy.fetch_sub(1, Ordering::AcqRel);
                }
            }
        };
        let thread = thread::Builder::new().name("texts".into()).stack_size(256 << 10).spawn(run)?;
        Ok(Whole { ends, thread: Some(thread) })
    }
}

impl Drop for Whole {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn hand_out(mut stream: TcpStream, text: &dyn Fn(u8) -> Option<Vec<u8>>) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_read_timeout(Some(STEP))?;
    stream.set_write_timeout(Some(STEP))?;
    let mut what = [0u8];
    stream.read_exact(&mut what)?;
    let Some(text) = text(what[0]).filter(|t| t.len() <= TEXT_MOST) else { return Ok(()) };
    let mut head = (text.len() as u32).to_le_bytes().to_vec();
    head.extend(crc32fast::hash(&text).to_le_bytes());
    stream.write_all(&head)?;
    stream.write_all(&text)
}

/// Asks a peer for a text by its number.
pub fn fetch(from: SocketAddr, what: u8) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect_timeout(&from, STEP)?;
    stream.set_read_timeout(Some(STEP))?;
    stream.set_write_timeout(Some(STEP))?;
    stream.write_all(&[what])?;
    let mut head = [0u8; 8];
    stream.read_exact(&mut head)?;
    let word = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    let (length, sum) = (word(0) as usize, word(4));
    if length > TEXT_MOST {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "the text is longer than texts may be"));
    }
    // Grows with what comes, so that a length alone takes no memory.
    let mut text = Vec::new();
    stream.take(length as u64).read_to_end(&mut text)?;
    if text.len() != length || crc32fast::hash(&text) != sum {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "the text came cut off or garbled"));
    }
    Ok(text)
}
