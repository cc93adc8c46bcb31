//! Each rule of the audit can fail: deliberately broken nodes run a small scenario, and each breaks exactly the
//! rule that its fault violates, or at least that rule. The same node without a fault keeps all rules.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use pintally::interface::{EndpointState, Outcome};
use pintally_audit::Report;
use pintally_config::{EngineEntry, EngineList, NodeSettings};
use pintally_engine::{completion, release, AttemptReader, Completion, Progress, Step};
use pintally_http::{chunk, response, response_head, sse_event, RequestReader, LAST_CHUNK};
use pintally_kserve::{generate_response, stream_end, stream_part, InferenceEndpoint, InferenceRequest};
use pintally_scenario::{run_steady, RunningNode, Scenario};
use serde_json::Value;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Fault {
    None,
    AnswersTwice,
    NeverAnswers,
    AnswersLate,
    SendsAfterTheEnd,
    RunsUnsafeTwice,
    RefusesWhatRan,
    SendsToDrained,
    RushesCold,
    ForgetsStates,
}

/// A minimal node: it uses the first engines of the list, with one thread per request.
struct BrokenNode {
    address: SocketAddr,
    dead: Arc<AtomicBool>,
}

impl RunningNode for BrokenNode {
    fn address(&self) -> SocketAddr {
        self.address
    }

    fn kill(self: Box<Self>) {
        self.dead.store(true, Ordering::Release);
        let _ = TcpStream::connect(self.address);
    }

    fn stop(self: Box<Self>) {
        self.kill();
    }
}

struct BrokenNodeServer {
    settings: Arc<NodeSettings>,
    fault: Fault,
    serial: AtomicU64,
}

fn launch(fault: Fault, settings: Arc<NodeSettings>) -> Box<dyn RunningNode> {
    let listener = TcpListener::bind(settings.listen).unwrap();
    let address = listener.local_addr().unwrap();
    let dead = Arc::new(AtomicBool::new(false));
    let (flag, shared) =
        (dead.clone(), Arc::new(BrokenNodeServer { settings, fault, serial: AtomicU64::new(0) }));
    thread::spawn(move || {
        for client in listener.incoming().map_while(Result::ok) {
            if flag.load(Ordering::Acquire) {
                return;
            }
            let shared = shared.clone();
            thread::spawn(move || shared.serve(client));
        }
    });
    Box::new(BrokenNode { address, dead })
}

impl BrokenNodeServer {
    fn engines(&self) -> Vec<EngineEntry> {
        let text = std::fs::read_to_string(&self.settings.engines_file).unwrap_or_default();
        EngineList::parse("", &text).map(|l| l.engines).unwrap_or_default()
    }

    /// The first serving engine of a kind, unless the fault prefers another one.
    fn pick(&self, kind: &str) -> Option<EngineEntry> {
        let mut all: Vec<EngineEntry> = self.engines().into_iter().filter(|e| e.kind == kind).collect();
        if self.fault == Fault::SendsToDrained {
            if let Some(drained) = all.iter().find(|e| e.state == EndpointState::Draining) {
                return Some(drained.clone());
            }
        }
        all.retain(|e| e.state == EndpointState::Serving);
        let cold = all.iter().position(|e| e.started_unix_ms.is_some());
        match cold.filter(|_| self.fault == Fault::RushesCold) {
            Some(at) => Some(all.swap_remove(at)),
            // Without that fault, cold engines are not used at all.
            None => all.into_iter().find(|e| e.started_unix_ms.is_none()),
        }
    }

    fn connect(&self, to: SocketAddr) -> Option<TcpStream> {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).ok()?;
        let from = SocketAddr::new(self.settings.source?, 0);
        socket.bind(&from.into()).ok()?;
        socket.connect(&to.into()).ok()?;
        Some(socket.into())
    }

    fn attempt(
        &self,
        ask: &InferenceRequest,
        id: &str,
        n: u32,
        step: Step,
        engine: &EngineEntry,
        state: Option<&Value>,
    ) -> Option<(Outcome, String, Option<Value>)> {
        let mut stream = self.connect(engine.address)?;
        let key = ask.id.as_deref().unwrap_or(id);
        let (prompt, tenant) = (&ask.prompt, ask.tenant.as_deref());
        let max_tokens = ask.max_tokens.unwrap_or(8);
        let bytes = completion(&Completion {
            step,
            model: "default",
            id,
            attempt: n,
            key,
            tenant,
            prompt,
            max_tokens,
            state,
        });
        stream.write_all(&bytes).ok()?;
        let (mut reader, mut out, mut buffer, mut text) =
            (AttemptReader::new(step, 0), Vec::new(), [0u8; 4096], String::new());
        loop {
            match stream.read(&mut buffer) {
                Ok(n) if n > 0 => reader.push(&buffer[..n], &mut out),
                _ => reader.closed(&mut out),
            }
            for progress in out.drain(..) {
                match progress {
                    Progress::Text(t) => text.push_str(&t),
                    Progress::Ended { outcome, state, .. } => return Some((outcome, text, state)),
                }
            }
        }
    }

    fn serve(&self, mut client: TcpStream) {
        let mut reader = RequestReader::new(1 << 16, 1 << 24);
        let mut buffer = [0u8; 16384];
        let request = loop {
            match reader.next_request() {
                Ok(Some(request)) => break request,
                Ok(None) => {}
                Err(_) => return,
            }
            match client.read(&mut buffer) {
                Ok(n) if n > 0 => reader.push(&buffer[..n]),
                _ => return,
            }
        };
        let streamed = request.target.ends_with("_stream");
        let Ok(ask) = InferenceRequest::parse(InferenceEndpoint::Generate, &request.body, None) else {
            return;
        };
        let serial = self.serial.fetch_add(1, Ordering::Relaxed);
        let id = format!("{}-{serial}", self.settings.name);
        let every_fifth = serial % 5 == 4;
        if self.fault == Fault::NeverAnswers && every_fifth {
            thread::sleep(Duration::from_secs(5));
            return;
        }
        if self.fault == Fault::AnswersLate && every_fifth {
            thread::sleep(Duration::from_millis(ask.deadline_ms.unwrap_or(0) + 2500));
        }
        let Some((outcome, text)) = self.read_and_write(&ask, &id, 0) else {
            let _ = client.write_all(&response(502, &[], b"{}"));
            return;
        };
        if self.fault == Fault::RunsUnsafeTwice && ask.class.as_deref() == Some("graded-submit") {
            self.read_and_write(&ask, &id, 10);
        }
        if self.fault == Fault::RefusesWhatRan && ask.class.as_deref() == Some("graded-submit") {
            let _ = client.write_all(&response(503, &[], b"{}"));
            return;
        }
        if outcome != Outcome::Served {
            let _ = client.write_all(&response(502, &[], b"{}"));
            return;
        }
        let id = ask.id.clone().unwrap_or_default();
        let bytes = if streamed {
            let mut bytes = response_head(200, &[("content-type", "text/event-stream")]);
            bytes.extend(chunk(&sse_event(&stream_part("default", &id, &text))));
            bytes.extend(chunk(&sse_event(&stream_end("default", &id))));
            bytes.extend_from_slice(LAST_CHUNK);
            bytes
        } else {
            response(200, &[], generate_response("default", &id, &text).as_bytes())
        };
        let _ = client.write_all(&bytes);
        if self.fault == Fault::AnswersTwice && every_fifth {
            let _ = client.write_all(&bytes);
        }
        if self.fault == Fault::SendsAfterTheEnd && every_fifth {
            thread::sleep(Duration::from_millis(2500));
            self.read_and_write(&ask, &format!("{id}-again"), 0);
        }
    }

    /// Reads and writes a request; releases the read state if it is not fetched, unless the fault is to
    /// forget it.
    fn read_and_write(&self, ask: &InferenceRequest, id: &str, n: u32) -> Option<(Outcome, String)> {
        let reader = self.pick("prefill")?;
        let (outcome, _, state) = self.attempt(ask, id, n, Step::Read, &reader, None)?;
        if outcome != Outcome::Read {
            return Some((outcome, String::new()));
        }
        let fetched = self.pick("decode").and_then(|w| {
            if self.fault == Fault::ForgetsStates
                && n == 0
                && ask.id.as_deref().is_some_and(|i| i.ends_with('3'))
            {
                return None;
            }
            self.attempt(ask, id, n + 1, Step::Fetch, &w, state.as_ref())
        });
        if fetched.is_none() && self.fault != Fault::ForgetsStates {
            let mut stream = self.connect(reader.address)?;
            stream.write_all(&release(&format!("{id}.{n}"))).ok()?;
            let _ = stream.read(&mut [0u8; 256]);
        }
        fetched.map(|(outcome, text, _)| (outcome, text))
    }
}

const SCENARIO: &str = r#"(day (name "broken") (seconds 4) (settle-seconds 12) (slack-ms 400)
  (nodes 1 (notice-ms 50)) (racks 1) (drain-grace-ms 300)
  (rules (warm-after-ms 60000) (tip-window-ms 1000) (cold-from 0.1) (tip-multiple 1))
  (class "hint" (effect safe) (aim-ms 1000) (patience-ms 2500))
  (class "graded-submit" (effect unsafe) (aim-ms 1500) (patience-ms 2500))
  (kind "prefill" (role reader) (slots 8) (memory-tokens 500000))
  (kind "decode" (role writer) (slots 48) (memory-tokens 500000))
  (engines "prefill" (count 3) (queue 500) (read-per-s 9000) (link-per-s 9000000))
  (engines "decode" (count 3) (queue 500) (token-gap-ms 1))
  (traffic (per-second 30) (retries 0) (shared-tokens 50 100)
    (class "hint" (share 60) (answer 4 8) (patience-percent 99 100))
    (class "graded-submit" (share 40) (answer 4 8) (patience-percent 99 100)))
  (fault drain (at 0.5) (for 60) (engines "decode-1"))
  (fault replace (at 1) (for 0.1) (engines "prefill-2") (size 500)))"#;

fn run(fault: Fault) -> Report {
    let scenario = Scenario::parse("broken", SCENARIO).unwrap();
    let start = |settings: Arc<NodeSettings>, _seed: u64| Ok(launch(fault, settings));
    let report = run_steady(&scenario, 11, Some(&start)).unwrap().report;
    assert!(report.requests > 60, "{report:?}");
    report
}

/// Names of the rules that a node with this fault breaks.
fn broken_rules(fault: Fault) -> Vec<&'static str> {
    let report = run(fault);
    report.rules.each().iter().filter(|(_, found)| !found.is_empty()).map(|(name, _)| *name).collect()
}

#[test]
fn node_without_fault_keeps_all_rules() {
    let report = run(Fault::None);
    assert!(report.rules.kept(), "{:#?}", report.rules);
    assert_eq!(report.served, report.requests);
}

#[test]
fn lost_requests_are_detected() {
    for fault in [Fault::NeverAnswers, Fault::AnswersTwice, Fault::AnswersLate, Fault::SendsAfterTheEnd] {
        assert!(broken_rules(fault).contains(&"lost"), "{fault:?}");
    }
}

#[test]
fn repeated_effects_are_detected() {
    assert_eq!(broken_rules(Fault::RunsUnsafeTwice), ["twice"]);
    assert_eq!(broken_rules(Fault::RefusesWhatRan), ["twice"]);
}

#[test]
fn work_for_a_drained_engine_is_detected() {
    assert_eq!(broken_rules(Fault::SendsToDrained), ["drain"]);
}

#[test]
fn overload_of_a_cold_engine_is_detected() {
    assert!(broken_rules(Fault::RushesCold).contains(&"cold"));
}

#[test]
fn unreleased_states_are_detected() {
    assert_eq!(broken_rules(Fault::ForgetsStates), ["pinned"]);
}
