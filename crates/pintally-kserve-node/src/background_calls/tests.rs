//! Background calls against engines on loopback.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;

use pintally_config::NodeSettings;
use socket2::{Domain, Socket, Type};

use super::*;
use crate::shared::DecisionMessage;

/// The thread of background calls, the inputs that the host gets of it, and its connections.
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
        let (decide, messages) = bounded(1 << 12);
        let shared = Arc::new(Shared::new(settings, decide));
        let (calls, queue) = channel().unwrap();
        let own = shared.clone();
        let thread = Some(thread::spawn(move || run(&own, &queue)));
        Fixture { calls: Some(calls), messages, shared, thread }
    }

    #[track_caller]
    fn send(&self, call: BackgroundCall) {
        assert!(self.calls.as_ref().is_some_and(|calls| calls.send(call).is_ok()));
    }

    fn release(&self, name: &str, at: SocketAddr) {
        let call = BackgroundCall::Release {
            name: RequestId(name.into()),
            engine: EngineId(name.into()),
            address: at,
            new_connection: false,
        };
        self.send(call);
    }

    fn probe_connection(&self, ticket: RequestNumber, at: SocketAddr) {
        self.send(BackgroundCall::ConnectionProbe { ticket, attempt: 0, address: at });
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
    let at = listener.local_addr().unwrap();
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
    at
}

/// An engine whose machine accepts connections and whose process never answers.
fn silent_engine() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    (listener, at)
}

/// Guards against reservations that stay at engines because releases for silent ones take all places.
#[test]
fn silent_engines_do_not_delay_releases_for_others() {
    let fixture = Fixture::new("(errands 8) (errand-ms 250)");
    let (silent_listeners, at): (Vec<_>, Vec<_>) = (0..3).map(|_| silent_engine()).unzip();
    let answering = answering_engine();
    for n in 0..300 {
        fixture.release(&format!("silent-{n}"), at[n % at.len()]);
    }
    let from = Instant::now();
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
    assert!(from.elapsed() < Duration::from_millis(240), "{:?}", from.elapsed());
    drop(silent_listeners);
    fixture.shared.kill();
}

/// Guards against a reservation that cannot be released because attempts take all places of its engine.
#[test]
fn release_bypasses_attempt_limit() {
    let fixture = Fixture::new("(streams 1)");
    let answering = answering_engine();
    let attempt = fixture.shared.pool.take(answering, Duration::from_secs(1)).expect("a place");
    fixture.release("x", answering);
    assert!(matches!(fixture.next_input(), Some(Input::Released(_, _, true))));
    drop(attempt);
}

#[test]
fn connection_probe_confirms_only_reachable_machines() {
    let fixture = Fixture::new("(errand-ms 100)");
    let (there, at) = silent_engine();
    fixture.probe_connection(1, at);
    assert!(matches!(fixture.next_input(), Some(Input::DeliveryConfirmed(1, 0))));
    drop(there);
    fixture.probe_connection(2, at);
    fixture.release("refuses", at);
    assert!(matches!(fixture.next_input(), Some(Input::Released(_, _, false))), "no engine is there");
    // Where the backlog of the listener is full no connection is established.
    let full = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    full.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    full.listen(0).unwrap();
    let at = full.local_addr().unwrap().as_socket().unwrap();
    let mut fillers = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&at, Duration::from_millis(100)) {
        fillers.push(stream);
    }
    fixture.probe_connection(3, at);
    fixture.release("behind", at);
    assert!(
        matches!(fixture.next_input(), Some(Input::Released(_, _, false))),
        "the connection probe is not answered"
    );
}
