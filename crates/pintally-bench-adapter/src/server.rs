//! Processes batches: hands each event to the router of its instance and writes the router's actions.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};

use pintally::interface::{Action, Micros};
use pintally::Router;
use pintally_wire::{LabelIndex, ParsedSettings};
use serde_json::Value;

use crate::error::{StreamError, StreamErrorCause};
use crate::incoming::{event, Incoming};
use crate::input::Input;
use crate::outgoing::{outgoing, Outgoing};

/// An instance of the decision core, and the labels in its settings.
struct Instance {
    router: Router,
    labels: LabelIndex,
}

/// The input, the output and the running instances.
struct Server<R, W: Write> {
    input: Input<R>,
    output: BufWriter<W>,
    instances: BTreeMap<u64, Instance>,
    /// A buffer for the actions of one event.
    actions: Vec<Action>,
}

/// Processes batches until the input ends.
///
/// # Errors
///
/// If the input or output fails, or the input violates the bench's protocol.
pub fn serve(reader: impl BufRead, writer: impl Write) -> Result<(), StreamError> {
    let mut server = Server {
        input: Input::new(reader),
        output: BufWriter::new(writer),
        instances: BTreeMap::new(),
        actions: Vec::new(),
    };
    while let Some(message) = server.input.next_message()? {
        let Incoming::Batch { clock, round } = message else {
            return Err(server.input.error(StreamErrorCause::OutsideBatch));
        };
        server.process_batch(pintally_wire::seconds_to_micros(clock), round)?;
    }
    Ok(())
}

impl<R: BufRead, W: Write> Server<R, W> {
    /// Handles the messages of one batch and ends the reply.
    fn process_batch(&mut self, now: Micros, round: u64) -> Result<(), StreamError> {
        loop {
            let Some(message) = self.input.next_message()? else {
                return Err(self.input.error(StreamErrorCause::UnfinishedBatch));
            };
            match message {
                Incoming::EndBatch => break,
                Incoming::Batch { .. } => return Err(self.input.error(StreamErrorCause::NestedBatch)),
                Incoming::StartInstance { node, seed, settings } => {
                    self.start_instance(node, seed, settings)?;
                }
                Incoming::StopInstance { node } => {
                    self.instances.remove(&node);
                }
                message => self.handle(now, message)?,
            }
        }
        self.write(&Outgoing::Ok { round })?;
        self.output.flush().map_err(|error| self.input.error(StreamErrorCause::Write(error)))
    }

    /// Starts an instance, or replies with the error in its settings.
    fn start_instance(&mut self, node: u64, seed: u64, settings: Value) -> Result<(), StreamError> {
        match pintally_wire::parse_settings(settings) {
            Ok(ParsedSettings { settings, labels, .. }) => {
                let router = Router::new(settings, seed);
                self.instances.insert(node, Instance { router, labels });
                Ok(())
            }
            Err(error) => self.write(&Outgoing::InvalidSettings { node, text: error.to_string() }),
        }
    }

    /// Hands an event to the router of its instance; events for unknown instances are dropped.
    fn handle(&mut self, now: Micros, message: Incoming) -> Result<(), StreamError> {
        let Some(node) = message.node() else { return Ok(()) };
        let Some(instance) = self.instances.get_mut(&node) else { return Ok(()) };
        let Some(event) = event(&instance.labels, message) else { return Ok(()) };
        let mut actions = std::mem::take(&mut self.actions);
        instance.router.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.write(&outgoing(node, action))?;
        }
        self.actions = actions;
        Ok(())
    }

    /// Writes one line of a reply.
    fn write(&mut self, line: &Outgoing) -> Result<(), StreamError> {
        serde_json::to_writer(&mut self.output, line)
            .map_err(io::Error::from)
            .and_then(|()| self.output.write_all(b"\n"))
            .map_err(|error| self.input.error(StreamErrorCause::Write(error)))
    }
}
