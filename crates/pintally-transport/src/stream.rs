//! Documents and commands over TCP.
//!
//! A request is one byte, the number of a document or of a command. The number of a command is followed by
//! the content of the command. The response is the content of the document or the result of the command. Each
//! content is preceded by its length and its CRC-32 checksum, both as 4 bytes in little-endian order. A
//! server that has no response closes the connection.

use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};

/// Largest document.
pub const MAX_DOCUMENT_BYTES: usize = 16 << 20;
/// Largest content of a command.
pub const MAX_COMMAND_BYTES: usize = 4096;
/// Numbers from this one on are those of commands; lower ones are those of documents.
const FIRST_COMMAND_NUMBER: u8 = 128;
/// How long the sender of a command waits for its result.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(5);
/// Limit of the connections that are served at once; further ones are closed.
const MAX_CONNECTIONS: usize = 4;
/// A peer that takes longer for one read or write is disconnected.
const IO_TIMEOUT: Duration = Duration::from_millis(500);
/// How often the acceptor checks whether the server is shutting down.
const ACCEPT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// A small stack is enough, since the threads keep their buffers on the heap.
const THREAD_STACK_BYTES: usize = 256 << 10;

/// Why a document, a command or a result was not received.
#[derive(Debug, thiserror::Error)]
pub enum StreamError {
    /// The connection failed or timed out, or the peer closed it without a response.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The announced length exceeds the limit.
    #[error("the announced length exceeds the limit")]
    TooLong,
    /// The content is shorter than announced, or its checksum does not match.
    #[error("the received content is truncated or corrupt")]
    Corrupt,
}

/// Returns the response to a document's number, or to a command's number and content.
type Handler = dyn Fn(u8, &[u8]) -> Option<Vec<u8>> + Send + Sync;

/// Serves documents and commands until it is dropped.
#[derive(Debug)]
pub struct StreamServer {
    is_stopping: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl StreamServer {
    /// Listens on an address. `handler` is called with the number of a document or command and the content of
    /// the command, which is empty for documents. It returns the response; without one the connection is
    /// closed.
    ///
    /// # Errors
    ///
    /// Any error of binding the address or starting the thread.
    pub fn serve(
        address: SocketAddr,
        handler: impl Fn(u8, &[u8]) -> Option<Vec<u8>> + Send + Sync + 'static,
    ) -> io::Result<StreamServer> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let is_stopping = Arc::new(AtomicBool::new(false));
        let acceptor = Acceptor {
            listener,
            handler: Arc::new(handler),
            connections: Arc::default(),
            is_stopping: is_stopping.clone(),
        };
        let thread = thread::Builder::new()
            .name("documents".into())
            .stack_size(THREAD_STACK_BYTES)
            .spawn(move || acceptor.run())?;
        Ok(StreamServer { is_stopping, thread: Some(thread) })
    }
}

impl Drop for StreamServer {
    fn drop(&mut self) {
        self.is_stopping.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Counts a connection until it is dropped.
struct ConnectionPermit(Arc<AtomicUsize>);

impl ConnectionPermit {
    /// Returns a permit, unless [`MAX_CONNECTIONS`] are in use.
    fn acquire(connections: &Arc<AtomicUsize>) -> Option<ConnectionPermit> {
        let in_use = connections.fetch_add(1, Ordering::AcqRel);
        let permit = ConnectionPermit(connections.clone());
        (in_use < MAX_CONNECTIONS).then_some(permit)
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Accepts connections and serves each on its own thread.
struct Acceptor {
    listener: TcpListener,
    handler: Arc<Handler>,
    connections: Arc<AtomicUsize>,
    is_stopping: Arc<AtomicBool>,
}

impl Acceptor {
    fn run(&self) {
        while !self.is_stopping.load(Ordering::Acquire) {
            match self.listener.accept() {
                Ok((stream, _)) => self.serve(stream),
                Err(_) => thread::sleep(ACCEPT_POLL_INTERVAL),
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Some(permit) = ConnectionPermit::acquire(&self.connections) else { return };
        let handler = self.handler.clone();
        let run = move || {
            let _permit = permit;
            // After an error the peer is disconnected; it retries by itself.
            let _ = serve_connection(stream, &*handler);
        };
        // If no thread can be started, the closure is dropped together with the connection and the permit.
        let _ = thread::Builder::new().name("document".into()).stack_size(THREAD_STACK_BYTES).spawn(run);
    }
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) -> Result<(), StreamError> {
    stream.set_nonblocking(false)?;
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    stream.set_write_timeout(Some(IO_TIMEOUT))?;
    let mut number = [0u8];
    stream.read_exact(&mut number)?;
    let [number] = number;
    let command = if number >= FIRST_COMMAND_NUMBER {
        read_content(&mut stream, MAX_COMMAND_BYTES)?
    } else {
        Vec::new()
    };
    let response = handler(number, &command).filter(|response| response.len() <= MAX_DOCUMENT_BYTES);
    if let Some(response) = response {
        write_content(&mut stream, &response)?;
    }
    Ok(())
}

fn write_content(stream: &mut TcpStream, content: &[u8]) -> io::Result<()> {
    let mut header = (content.len() as u32).to_le_bytes().to_vec();
    header.extend(crc32fast::hash(content).to_le_bytes());
    stream.write_all(&header)?;
    stream.write_all(content)
}

fn read_content(stream: &mut TcpStream, max_bytes: usize) -> Result<Vec<u8>, StreamError> {
    let mut header = [0u8; 8];
    stream.read_exact(&mut header)?;
    let [l0, l1, l2, l3, c0, c1, c2, c3] = header;
    let length = u32::from_le_bytes([l0, l1, l2, l3]) as usize;
    let checksum = u32::from_le_bytes([c0, c1, c2, c3]);
    if length > max_bytes {
        return Err(StreamError::TooLong);
    }
    // The buffer grows with the received bytes, so that an announced length alone allocates no memory.
    let mut content = Vec::new();
    stream.take(length as u64).read_to_end(&mut content)?;
    if content.len() != length || crc32fast::hash(&content) != checksum {
        return Err(StreamError::Corrupt);
    }
    Ok(content)
}

fn connect(own: IpAddr, to: SocketAddr, response_timeout: Duration) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
    if !own.is_unspecified() && own.is_ipv4() == to.is_ipv4() {
        socket.bind(&SocketAddr::new(own, 0).into())?;
    }
    socket.connect_timeout(&to.into(), IO_TIMEOUT)?;
    let stream: TcpStream = socket.into();
    stream.set_read_timeout(Some(response_timeout))?;
    stream.set_write_timeout(Some(IO_TIMEOUT))?;
    Ok(stream)
}

/// Fetches a document of a peer by its number. The connection is made from `own`, the address on which this
/// node listens, because peers and the network between them identify a node by that address.
///
/// # Errors
///
/// [`StreamError`] if the peer cannot be reached, has no such document, or sends a damaged one.
pub fn fetch_document(own: IpAddr, from: SocketAddr, number: u8) -> Result<Vec<u8>, StreamError> {
    let mut stream = connect(own, from, IO_TIMEOUT)?;
    stream.write_all(&[number])?;
    read_content(&mut stream, MAX_DOCUMENT_BYTES)
}

/// Sends an operator's command to a node and waits for the result. The number of a command is at least 128.
///
/// # Errors
///
/// [`StreamError`] if the node cannot be reached, does not accept the command, or sends a damaged result.
pub fn send_command(node: SocketAddr, number: u8, content: &[u8]) -> Result<Vec<u8>, StreamError> {
    let mut stream = connect(Ipv4Addr::UNSPECIFIED.into(), node, COMMAND_TIMEOUT)?;
    stream.write_all(&[number.max(FIRST_COMMAND_NUMBER)])?;
    write_content(&mut stream, content)?;
    read_content(&mut stream, MAX_DOCUMENT_BYTES)
}
