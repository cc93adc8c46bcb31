//! Answers batches: hands each event to the router of its instance and writes the router's actions.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};

use pintally::interface::{Action, Micros};
use pintally::Router;
use pintally_wire::{LabelIndex, NodeConfiguration};
use serde_json::Value;

use crate::error::{StreamError, StreamErrorCause};
use crate::incoming::{event, Incoming};
use crate::input::Input;
use crate::outgoing::{outgoing, Outgoing};

/// One instance of the decision module and the labels of its settings.
struct Instance {
    router: Router,
    labels: LabelIndex,
}

/// The input, the output and the instances that the bench has begun.
struct Server<R, W: Write> {
    input: Input<R>,
    output: BufWriter<W>,
    instances: BTreeMap<u64, Instance>,
    /// Reused for the actions of each event.
    actions: Vec<Action>,
}

/// Answers batches until the input ends.
///
/// # Errors
///
/// Where the input or output fails, or the input does not follow the wire.
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
        server.answer_batch(pintally_wire::micros(clock), round)?;
    }
    Ok(())
}

impl<R: BufRead, W: Write> Server<R, W> {
    /// Handles the messages of one batch and closes the reply.
    fn answer_batch(&mut self, now: Micros, round: u64) -> Result<(), StreamError> {
        loop {
            let Some(message) = self.input.next_message()? else {
                return Err(self.input.error(StreamErrorCause::UnfinishedBatch));
            };
            match message {
                Incoming::OverToYou => break,
                Incoming::Batch { .. } => return Err(self.input.error(StreamErrorCause::NestedBatch)),
                Incoming::Begin { node, salt, conf } => self.begin(node, salt, conf)?,
                Incoming::Teardown { node } => {
                    self.instances.remove(&node);
                }
                message => self.handle(now, message)?,
            }
        }
        self.write(&Outgoing::Ok { round })?;
        self.output.flush().map_err(|error| self.input.error(StreamErrorCause::Write(error)))
    }

    /// Begins an instance, or answers what is wrong with its settings.
    fn begin(&mut self, node: u64, salt: u64, settings: Value) -> Result<(), StreamError> {
        match pintally_wire::settings(settings) {
            Ok(NodeConfiguration { settings, labels, .. }) => {
                let router = Router::new(settings, salt);
                self.instances.insert(node, Instance { router, labels });
                Ok(())
            }
            Err(error) => self.write(&Outgoing::Broken { node, reason_text: error.to_string() }),
        }
    }

    /// Hands an event to the router of its instance; events of unknown instances are dropped.
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
