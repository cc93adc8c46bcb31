//! Whole texts over TCP: one byte asks for a text, a length and a checksum come before it. An order of
//! the operators goes the same way: its byte, the order's own length and checksum, and its text.

use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};

/// Bytes of the longest text.
pub const MAX_TEXT_BYTES: usize = 16 << 20;
/// Bytes of the longest order.
pub const MAX_ORDER_BYTES: usize = 4096;
/// From this number on a text of the asker follows.
const ORDERS: u8 = 128;
/// Whoever orders waits so long for what became of it.
const ORDER_WITHIN: Duration = Duration::from_secs(5);
/// Texts handed out at once.
const AT_ONCE: usize = 4;
/// A peer that takes longer for a step is let go.
const STEP: Duration = Duration::from_millis(500);
/// How often the listener looks whether it is to end.
const LOOK: Duration = Duration::from_millis(50);

/// What there is for a number, and for an order's text.
type Texts = dyn Fn(u8, &[u8]) -> Option<Vec<u8>>;

/// Hands out whole texts until it is dropped.
#[derive(Debug)]
pub struct StreamServer {
    ends: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl StreamServer {
    /// Listens on an address and hands out what `text` has for a number, and for an order's text if the
    /// number is one of orders; nothing closes the connection.
    pub fn serve(
        address: SocketAddr,
        text: impl Fn(u8, &[u8]) -> Option<Vec<u8>> + Send + Sync + 'static,
    ) -> io::Result<StreamServer> {
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
        Ok(StreamServer { ends, thread: Some(thread) })
    }
}

impl Drop for StreamServer {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn hand_out(mut stream: TcpStream, text: &Texts) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_read_timeout(Some(STEP))?;
    stream.set_write_timeout(Some(STEP))?;
    let mut what = [0u8];
    stream.read_exact(&mut what)?;
    let asked = if what[0] >= ORDERS { take(&mut stream, MAX_ORDER_BYTES)? } else { Vec::new() };
    match text(what[0], &asked).filter(|t| t.len() <= MAX_TEXT_BYTES) {
        Some(text) => give(&mut stream, &text),
        None => Ok(()),
    }
}

fn give(stream: &mut TcpStream, text: &[u8]) -> io::Result<()> {
    let mut head = (text.len() as u32).to_le_bytes().to_vec();
    head.extend(crc32fast::hash(text).to_le_bytes());
    stream.write_all(&head)?;
    stream.write_all(text)
}

fn take(stream: &mut TcpStream, most: usize) -> io::Result<Vec<u8>> {
    let mut head = [0u8; 8];
    stream.read_exact(&mut head)?;
    let word = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    let (length, sum) = (word(0) as usize, word(4));
    if length > most {
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

fn reach(own: IpAddr, from: SocketAddr, answers_within: Duration) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(from), Type::STREAM, Some(Protocol::TCP))?;
    if !own.is_unspecified() && own.is_ipv4() == from.is_ipv4() {
        socket.bind(&SocketAddr::new(own, 0).into())?;
    }
    socket.connect_timeout(&from.into(), STEP)?;
    let stream: TcpStream = socket.into();
    stream.set_read_timeout(Some(answers_within))?;
    stream.set_write_timeout(Some(STEP))?;
    Ok(stream)
}

/// Asks a peer for a text by its number, from the address at which one listens oneself: that is the one
/// by which peers, and whatever stands between, know a node.
pub fn fetch(own: IpAddr, from: SocketAddr, what: u8) -> io::Result<Vec<u8>> {
    let mut stream = reach(own, from, STEP)?;
    stream.write_all(&[what])?;
    take(&mut stream, MAX_TEXT_BYTES)
}

/// Gives a node an order by its number, from 128 on, and waits for what becomes of it.
pub fn order(node: SocketAddr, what: u8, text: &[u8]) -> io::Result<Vec<u8>> {
    let mut stream = reach(Ipv4Addr::UNSPECIFIED.into(), node, ORDER_WITHIN)?;
    stream.write_all(&[what.max(ORDERS)])?;
    give(&mut stream, text)?;
    take(&mut stream, MAX_TEXT_BYTES)
}
