//! Background calls to engines on loopback.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;

use pintally_config::NodeSettings;
use socket2::{Domain, Socket, Type};

use super::*;
use crate::shared::DecisionMessage;

/// A running thread of background calls, and the inputs that it sends to the host.
struct Fixture {
    calls: Option<CallSender>,
    messages: Receiver<DecisionMessage>,
    shared: Arc<Shared>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Fixture {
    fn new(limits: &str) -> Fixture {
        let text = format!(
            r#"(pintally (node (name "t") (engines "unused")) (limits {limits})
            (class "c" (effect safe) (aim-ms 500) (patience-ms 2000))
            (kind "r" (role reader)) (kind "w" (role writer)))"#
        );
        let settings = Arc::new(NodeSettings::parse("test", &text).expect("valid settings"));
        let (decision_sender, messages) = bounded(1 << 12);
        let shared = Arc::new(Shared::new(settings, decision_sender));
        let (calls, queue) = channel().unwrap();
        let thread_shared = shared.clone();
        let thread = Some(thread::spawn(move || run(&thread_shared, &queue)));
        Fixture { calls: Some(calls), messages, shared, thread }
    }

    #[track_caller]
    fn send(&self, call: BackgroundCall) {
        assert!(self.calls.as_ref().is_some_and(|calls| calls.send(call).is_ok()));
    }

    fn release(&self, name: &str, address: SocketAddr) {
        let call = BackgroundCall::Release {
            name: RequestId(name.into()),
            engine: EngineId(name.into()),
            address,
            new_connection: false,
        };
        self.send(call);
    }

    fn probe_connection(&self, request_number: RequestNumber, address: SocketAddr) {
        self.send(BackgroundCall::ConnectionProbe { request_number, attempt: 0, address });
    }

    /// The next input for the host, within two seconds.
    fn next_input(&self) -> Option<Input> {
        match self.messages.recv_timeout(Duration::from_secs(2)).ok()? {
            DecisionMessage::Host(input) => Some(input),
            _ => None,
        }
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        self.calls = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// An engine that answers every request with 204.
fn answering_engine() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut buffer = [0; 4096];
                while matches!(stream.read(&mut buffer), Ok(n) if n > 0) {
                    let _ = stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
                }
            });
        }
    });
    address
}

/// An engine that never answers: connections are established in the listener's backlog but not accepted.
fn silent_engine() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Guards against reservations that stay at engines because releases for silent engines occupy all concurrent
/// calls.
#[test]
fn silent_engines_do_not_delay_releases_for_others() {
    let fixture = Fixture::new("(errands 8) (errand-ms 250)");
    let (silent_listeners, addresses): (Vec<_>, Vec<_>) = (0..3).map(|_| silent_engine()).unzip();
    let answering = answering_engine();
    for n in 0..300 {
        fixture.release(&format!("silent-{n}"), addresses[n % addresses.len()]);
    }
    let started = Instant::now();
    for n in 0..20 {
        fixture.release(&format!("answering-{n}"), answering);
    }
    let mut released = 0;
    while released < 20 {
        match fixture.next_input() {
            Some(Input::Released(name, _, true)) if name.0.starts_with("answering") => released += 1,
            Some(Input::Released(name, _, false)) if name.0.starts_with("silent") => {}
            other => panic!("{other:?} after {released}"),
        }
    }
    assert!(started.elapsed() < Duration::from_millis(240), "{:?}", started.elapsed());
    drop(silent_listeners);
    fixture.shared.kill();
}

/// Guards against a reservation that cannot be released because its engine has the maximum number of attempts
/// in flight.
#[test]
fn release_bypasses_attempt_limit() {
    let fixture = Fixture::new("(streams 1)");
    let answering = answering_engine();
    let attempt = fixture.shared.pool.acquire(answering, Duration::from_secs(1)).expect("a connection");
    fixture.release("x", answering);
    assert!(matches!(fixture.next_input(), Some(Input::Released(_, _, true))));
    drop(attempt);
}

#[test]
fn connection_probe_confirms_only_reachable_machines() {
    let fixture = Fixture::new("(errand-ms 100)");
    let (listener, address) = silent_engine();
    fixture.probe_connection(1, address);
    assert!(matches!(fixture.next_input(), Some(Input::DeliveryConfirmed(1, 0))));
    drop(listener);
    fixture.probe_connection(2, address);
    fixture.release("refuses", address);
    assert!(matches!(fixture.next_input(), Some(Input::Released(_, _, false))), "no engine is there");
    // No connection is established while the listener's backlog is full.
    let full = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    full.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    full.listen(0).unwrap();
    let address = full.local_addr().unwrap().as_socket().unwrap();
    let mut fillers = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
        fillers.push(stream);
    }
    fixture.probe_connection(3, address);
    fixture.release("behind", address);
    assert!(
        matches!(fixture.next_input(), Some(Input::Released(_, _, false))),
        "the connection probe is not answered"
    );
}
