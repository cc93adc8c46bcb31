//! Datagrams, documents and commands over the loopback interface.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use pintally_transport::{
    fetch_document, send_command, DatagramSocket, ReceiveEvent, StreamServer, MAX_COMMAND_BYTES,
};

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn free_address() -> SocketAddr {
    TcpListener::bind(any_port()).unwrap().local_addr().unwrap()
}

#[test]
fn datagram_is_received_and_receive_times_out() {
    let (sender, receiver) =
        (DatagramSocket::bind(any_port()).unwrap(), DatagramSocket::bind(any_port()).unwrap());
    assert!(sender.send(receiver.address().unwrap(), b"word"));
    let deadline = Instant::now() + Duration::from_secs(5);
    assert_eq!(
        receiver.receive(deadline).unwrap(),
        ReceiveEvent::Datagram(sender.address().unwrap(), b"word".to_vec())
    );
    let started = Instant::now();
    assert_eq!(receiver.receive(started + Duration::from_millis(30)).unwrap(), ReceiveEvent::TimedOut);
    assert!(started.elapsed() >= Duration::from_millis(30));
    // A datagram to a closed port does not make a later receive fail.
    let closed = DatagramSocket::bind(any_port()).unwrap().address().unwrap();
    sender.send(closed, b"x");
    std::thread::sleep(Duration::from_millis(20));
    assert_eq!(sender.receive(Instant::now() + Duration::from_millis(20)).unwrap(), ReceiveEvent::TimedOut);
}

#[test]
fn document_is_fetched_or_refused() {
    let address = free_address();
    let document = vec![7u8; 300_000];
    let served = document.clone();
    let _server =
        StreamServer::serve(address, move |number, _: &[u8]| (number == 1).then(|| served.clone())).unwrap();
    assert_eq!(fetch_document(address.ip(), address, 1).unwrap(), document);
    assert!(fetch_document(address.ip(), address, 2).is_err(), "no document has this number");
}

/// Guards against waiting without bound for a peer that responds with an invalid length, with half of a
/// document, or not at all.
#[test]
fn fetch_from_faulty_peer_fails_in_bounded_time() {
    for (response, case) in [
        (vec![255u8; 8], "a length over the limit"),
        (vec![100, 0, 0, 0, 1, 2, 3, 4, 5], "half a document"),
        (Vec::new(), "nothing"),
    ] {
        let listener = TcpListener::bind(any_port()).unwrap();
        let address = listener.local_addr().unwrap();
        let peer = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let _ = stream.read(&mut [0u8]);
            let _ = stream.write_all(&response);
            let _ = stream.read(&mut [0u8]);
        });
        let started = Instant::now();
        assert!(fetch_document(address.ip(), address, 1).is_err(), "{case}");
        assert!(started.elapsed() < Duration::from_secs(3), "{case}");
        peer.join().unwrap();
    }
}

#[test]
fn command_is_answered_and_waker_ends_receive() {
    let address = free_address();
    let _server = StreamServer::serve(address, |number, content: &[u8]| {
        (number == 128).then(|| content.iter().rev().copied().collect())
    })
    .unwrap();
    assert_eq!(send_command(address, 128, b"abc").unwrap(), b"cba");
    assert!(send_command(address, 129, b"abc").is_err(), "no such command");
    assert!(send_command(address, 128, &vec![0; MAX_COMMAND_BYTES + 1]).is_err(), "longer than the limit");
    let socket = DatagramSocket::bind(any_port()).unwrap();
    socket.waker().unwrap().wake();
    let event = socket.receive(Instant::now() + Duration::from_secs(5)).unwrap();
    assert!(matches!(event, ReceiveEvent::Datagram(_, bytes) if bytes.is_empty()));
}
