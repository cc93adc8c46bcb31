//! Datagrams and whole texts on loopback.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use pintally_transport::{fetch, order, ReceiveEvent, StreamServer, Udp, MAX_ORDER_BYTES};

fn any() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn free() -> SocketAddr {
    TcpListener::bind(any()).unwrap().local_addr().unwrap()
}

#[test]
fn datagrams_go_and_waiting_ends() {
    let (one, two) = (Udp::bind(any()).unwrap(), Udp::bind(any()).unwrap());
    assert!(one.send(two.address().unwrap(), b"word"));
    let by = Instant::now() + Duration::from_secs(5);
    assert_eq!(two.receive(by).unwrap(), ReceiveEvent::Datagram(one.address().unwrap(), b"word".to_vec()));
    let began = Instant::now();
    assert_eq!(two.receive(began + Duration::from_millis(30)).unwrap(), ReceiveEvent::Nothing);
    assert!(began.elapsed() >= Duration::from_millis(30));
    // A closed port's refusal is not an error of this socket.
    let closed = Udp::bind(any()).unwrap().address().unwrap();
    one.send(closed, b"x");
    std::thread::sleep(Duration::from_millis(20));
    assert_eq!(one.receive(Instant::now() + Duration::from_millis(20)).unwrap(), ReceiveEvent::Nothing);
}

#[test]
fn texts_come_whole_or_not_at_all() {
    let at = free();
    let text = vec![7u8; 300_000];
    let own = text.clone();
    let _whole = StreamServer::serve(at, move |what, _: &[u8]| (what == 1).then(|| own.clone())).unwrap();
    assert_eq!(fetch(at.ip(), at, 1).unwrap(), text);
    assert!(fetch(at.ip(), at, 2).is_err(), "nothing is there under this number");
}

/// Guards against a peer that answers with nonsense, with half of what it says, or with nothing.
#[test]
fn a_peer_that_lies_costs_a_bounded_time() {
    for (answer, what) in [
        (vec![255u8; 8], "a length beyond all texts"),
        (vec![100, 0, 0, 0, 1, 2, 3, 4, 5], "half a text"),
        (Vec::new(), "nothing"),
    ] {
        let listener = TcpListener::bind(any()).unwrap();
        let at = listener.local_addr().unwrap();
        let peer = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let _ = stream.read(&mut [0u8]);
            let _ = stream.write_all(&answer);
            let _ = stream.read(&mut [0u8]);
        });
        let began = Instant::now();
        assert!(fetch(at.ip(), at, 1).is_err(), "{what}");
        assert!(began.elapsed() < Duration::from_secs(3), "{what}");
        peer.join().unwrap();
    }
}

#[test]
fn orders_are_heard_and_answered_and_who_waits_is_woken() {
    let at = free();
    let _whole = StreamServer::serve(at, |what, asked: &[u8]| {
        (what == 128).then(|| asked.iter().rev().copied().collect())
    })
    .unwrap();
    assert_eq!(order(at, 128, b"abc").unwrap(), b"cba");
    assert!(order(at, 129, b"abc").is_err(), "nobody takes it");
    assert!(order(at, 128, &vec![0; MAX_ORDER_BYTES + 1]).is_err(), "longer than orders are");
    let one = Udp::bind(any()).unwrap();
    one.waker().unwrap().wake();
    let came = one.receive(Instant::now() + Duration::from_secs(5)).unwrap();
    assert!(matches!(came, ReceiveEvent::Datagram(_, bytes) if bytes.is_empty()));
}
