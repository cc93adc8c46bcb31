//! Speaks the bench's wire on standard input and output: JSON events in, JSON
//! actions out, one [`Router`] per instance. It decides nothing.

mod wire;

use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

use pintally::interface::{Action, Event};
use pintally::Router;
use pintally_wire::{LabelIndex, NodeConfiguration};
use wire::{Incoming, Outgoing};

/// What went wrong, and in which line of the input.
struct Fault {
    line: u64,
    what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "pintally-bench-adapter: line {}: {}", self.line, self.what)
    }
}

/// One instance of the decision module and the names of its settings.
struct Instance {
    router: Router,
    labels: LabelIndex,
}

/// Reads lines of JSON and counts them.
struct Input<R> {
    reader: R,
    line: u64,
    text: String,
}

impl<R: BufRead> Input<R> {
    /// The next message, or `None` at the end of the input.
    fn next(&mut self) -> Result<Option<Incoming>, Fault> {
        loop {
            self.text.clear();
            let read = self.reader.read_line(&mut self.text);
            self.line += 1;
            if read.map_err(|e| self.fault(format!("cannot read: {e}")))? == 0 {
                return Ok(None);
            }
            if !self.text.trim().is_empty() {
                break;
            }
        }
        serde_json::from_str(&self.text).map(Some).map_err(|e| self.fault(format!("malformed message: {e}")))
    }

    fn fault(&self, what: impl Into<String>) -> Fault {
        Fault { line: self.line, what: what.into() }
    }
}

/// Answers batches until the input ends.
fn serve(reader: impl BufRead, writer: impl Write) -> Result<(), Fault> {
    let mut input = Input { reader, line: 0, text: String::new() };
    let mut output = BufWriter::new(writer);
    let mut instances: BTreeMap<u64, Instance> = BTreeMap::new();
    let mut actions = Vec::new();
    loop {
        let (clock, round) = match input.next()? {
            None => return Ok(()),
            Some(Incoming::Batch { clock, round }) => (pintally_wire::micros(clock), round),
            Some(_) => return Err(input.fault("a batch must begin with its `batch` line")),
        };
        loop {
            let message = input.next()?.ok_or_else(|| input.fault("input ended inside a batch"))?;
            let (node, event) = match message {
                Incoming::OverToYou => break,
                Incoming::Batch { .. } => return Err(input.fault("a batch began inside a batch")),
                Incoming::Begin { node, salt, conf } => {
                    match pintally_wire::settings(conf) {
                        Ok(NodeConfiguration { settings, labels, .. }) => {
                            let router = Router::new(settings, salt);
                            instances.insert(node, Instance { router, labels });
                        }
                        Err(reason_text) => {
                            put(&mut output, &input, &Outgoing::Broken { node, reason_text })?
                        }
                    }
                    continue;
                }
                Incoming::Teardown { node } => {
                    instances.remove(&node);
                    continue;
                }
                other => match other.node() {
                    Some(node) => (node, other),
                    None => continue,
                },
            };
            let Some(instance) = instances.get_mut(&node) else { continue };
            let Some(event) = wire::event(&instance.labels, event) else { continue };
            relay(instance, clock, event, &mut actions);
            for action in actions.drain(..) {
                put(&mut output, &input, &wire::outgoing(node, action))?;
            }
        }
        put(&mut output, &input, &Outgoing::Ok { round })?;
        output.flush().map_err(|e| input.fault(format!("cannot write: {e}")))?;
    }
}

/// Hands one event to an instance's router.
fn relay(instance: &mut Instance, clock: u64, event: Event, actions: &mut Vec<Action>) {
    instance.router.handle(clock, event, actions);
}

/// Writes one line of a reply.
fn put<R: BufRead>(output: &mut impl Write, input: &Input<R>, line: &Outgoing) -> Result<(), Fault> {
    serde_json::to_writer(&mut *output, line)
        .map_err(io::Error::from)
        .and_then(|()| output.write_all(b"\n"))
        .map_err(|e| input.fault(format!("cannot write: {e}")))
}

fn main() -> ExitCode {
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("{fault}");
            ExitCode::FAILURE
        }
    }
}
