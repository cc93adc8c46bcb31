//! One attempt: the request to an engine, what comes back, and the time that it may take.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

use pintally::interface::{LoadReport, Micros, Outcome};
use pintally_engine::{of_transport, work, AttemptReader, Phase, Progress, Step, Work};
use pintally_host::{AttemptOrder, Input};
use serde_json::Value;
use tracing::debug;

use crate::life::Life;
use crate::pool::NoConnection;
use crate::shared::Mail;
use crate::wait::wait;

/// How often one look at the engine reads before clients and mail are looked at again.
const READS: usize = 8;

/// How an attempt has ended.
struct End {
    outcome: Outcome,
    kept: u64,
    load: Option<LoadReport>,
    state: Option<Value>,
    reusable: bool,
}

impl End {
    fn of(outcome: Outcome) -> End {
        End { outcome, kept: 0, load: None, state: None, reusable: false }
    }
}

/// The times of an attempt.
struct Times {
    /// The first token has to come by then.
    first: Instant,
    /// The whole answer has to come by then, if it goes out whole.
    whole: Option<Instant>,
    stall: Duration,
    /// When the engine last sent something.
    heard: Instant,
}

impl Times {
    fn until(&self, started: bool) -> Instant {
        let until = if started { self.heard + self.stall } else { self.first };
        self.whole.map_or(until, |whole| until.min(whole))
    }
}

/// Makes an attempt and tells the host how it ended; tells nothing if the node has died.
pub(crate) fn run(life: &mut Life, order: AttemptOrder) {
    let shared = life.shared;
    let began = Instant::now();
    let span = |us: Micros| Duration::from_micros(us);
    let times = Times {
        first: began + span(order.timeout),
        whole: order.complete_by.map(|us| began + span(us)),
        stall: span(shared.settings.limits.stall_timeout),
        heard: began,
    };
    life.out = Some(order.attempt);
    let within = span(shared.settings.limits.connect_timeout.min(order.timeout));
    let end = match shared.pool.take(order.address, within) {
        // As many attempts as allowed are out there: to this node the engine is full.
        Err(NoConnection::Limit) => Some(End::of(Outcome::Overloaded)),
        Err(NoConnection::Io) => Some(End::of(of_transport(Phase::Connecting, ErrorKind::Other))),
        Ok(mut stream) => {
            let end = exchange(life, &order, &mut stream, times);
            let reusable = end.as_ref().is_some_and(|e| e.reusable);
            shared.pool.give_back(order.address, Some(stream).filter(|_| reusable));
            end
        }
    };
    let Some(end) = end else { return };
    debug!(
        request = %order.request.0, cell = %order.cell, attempt = order.attempt, engine = %order.engine.0, step = ?order.step,
        outcome = ?end.outcome, took_us = began.elapsed().as_micros() as u64, "attempt ended"
    );
    life.out = None;
    life.shared.send_input(Input::AttemptEnded {
        ticket: order.ticket,
        attempt: order.attempt,
        outcome: end.outcome,
        cached_tokens: end.kept,
        load: end.load,
        state: end.state.map(Arc::new),
    });
}

/// Sends the request and follows the answer; `None` if the node has died.
fn exchange(life: &mut Life, order: &AttemptOrder, stream: &mut TcpStream, mut times: Times) -> Option<End> {
    let asked = life.asked;
    let key = asked.ask.id.as_deref().unwrap_or(&order.request.0);
    let bytes = work(&Work {
        step: order.step,
        model: &asked.model,
        id: &order.request.0,
        attempt: order.attempt,
        key,
        tenant: asked.ask.tenant.as_deref(),
        prompt: &asked.ask.prompt,
        max_tokens: order.max_tokens,
        state: order.state.as_deref(),
    });
    let mut unsent = &bytes[..];
    let mut reader = AttemptReader::new(order.step, order.slots);
    let (mut started, mut progress, mut buffer) = (false, Vec::new(), [0u8; 16 << 10]);
    loop {
        let until = times.until(started);
        let client = Some((&*life.client as &dyn crate::wait::AsFdDyn, life.client_watch()));
        let Ok(ready) = wait(life.waker, client, Some((stream, !unsent.is_empty())), Some(until)) else {
            return Some(End::of(Outcome::ConnectionBroken));
        };
        if life.shared.is_dead() {
            return None;
        }
        if ready.client {
            life.leave();
        }
        // What streams to nobody ends; what has not begun ends when it is called off.
        if life.gone && started {
            return Some(End::of(Outcome::Cancelled));
        }
        if ready.woken {
            while let Ok(mail) = life.mail.try_recv() {
                match mail {
                    Mail::Cancel(attempt) if attempt == order.attempt => {
                        return Some(End::of(Outcome::Cancelled))
                    }
                    Mail::Answer(answer) => life.finish(answer),
                    Mail::Cancel(_) | Mail::Attempt(_) | Mail::Over => {}
                }
            }
        }
        if ready.engine_write && !unsent.is_empty() {
            match stream.write(unsent) {
                Ok(n) => unsent = &unsent[n..],
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
                // It may have answered before it closed: reading tells.
                Err(_) => unsent = &[],
            }
        }
        if ready.engine_read {
            read(stream, &mut reader, &mut buffer, &mut progress);
            times.heard = Instant::now();
        }
        let mut end = None;
        for step in progress.drain(..) {
            match step {
                Progress::Text(text) if order.step != Step::Read => {
                    if !std::mem::replace(&mut started, true) {
                        life.shared.send_input(Input::FirstToken(order.ticket, order.attempt));
                    }
                    life.push_text(&text);
                }
                Progress::Text(_) => {}
                Progress::Over { outcome, kept, load, state, reusable } => {
                    end = Some(End { outcome, kept, load, state, reusable: reusable && unsent.is_empty() })
                }
            }
        }
        if !life.flush() && started && end.is_none() {
            let outcome = if life.gone { Outcome::Cancelled } else { Outcome::ConnectionBroken };
            return Some(End::of(outcome));
        }
        if end.is_some() {
            return end;
        }
        if Instant::now() >= times.until(started) {
            return Some(End::of(Outcome::TimedOut));
        }
    }
}

/// Reads what is there, within bounds, and appends what it tells.
fn read(stream: &mut TcpStream, reader: &mut AttemptReader, buffer: &mut [u8], progress: &mut Vec<Progress>) {
    for _ in 0..READS {
        match stream.read(buffer) {
            Ok(0) => return reader.closed(progress),
            Ok(n) => {
                reader.push(&buffer[..n], progress);
                if n < buffer.len() {
                    return;
                }
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => return,
            Err(e) => {
                let outcome = of_transport(Phase::Sent, e.kind());
                let (kept, load, state, reusable) = (0, None, None, false);
                return progress.push(Progress::Over { outcome, kept, load, state, reusable });
            }
        }
    }
}
