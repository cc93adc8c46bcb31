//! The life of one request in its client's thread: mail from the deciding thread in, attempts and
//! the one final answer out.

use std::io::{self, ErrorKind, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, Receiver, TryRecvError};
use pintally::interface::{Attempt, Micros, Outcome, RequestId};
use pintally_host::{FinalAnswer, IncomingRequest, Input, RequestNumber};
use pintally_http::{chunk, header_line, response, response_head, sse_event, LAST_CHUNK};
use pintally_kserve::{self as kserve, Form, InferenceRequest};
use tracing::debug;

use crate::attempt;
use crate::shared::{Mail, Mailbox, Message, Shared};
use crate::wait::{wait, Client, Waker};

/// The most mail that a request can have open: an attempt, its cancel, an answer and the end.
const MAX_MAIL: usize = 8;
/// The longest answer that is gathered before it goes out whole.
const MAX_WHOLE: usize = 16 << 20;

/// What a client has asked.
pub(crate) struct Asked {
    pub(crate) ask: InferenceRequest,
    pub(crate) form: Form,
    pub(crate) model: String,
    pub(crate) keep_alive: bool,
}

/// A request in its thread.
pub(crate) struct Life<'a> {
    pub(crate) shared: &'a Shared,
    pub(crate) client: &'a mut TcpStream,
    pub(crate) waker: &'a Waker,
    pub(crate) mail: Receiver<Mail>,
    pub(crate) asked: &'a Asked,
    pub(crate) ticket: RequestNumber,
    /// The attempt that is out, for the guard.
    pub(crate) out: Option<Attempt>,
    /// The client has left, and the host knows.
    pub(crate) gone: bool,
    request: Option<RequestId>,
    answered: bool,
    over: bool,
    /// The head of a streamed answer has gone out.
    head_out: bool,
    /// Text that has not gone out.
    text: String,
}

/// Sees a request through; `false` if the connection is of no more use.
pub(crate) fn run(
    shared: &Shared,
    client: &mut TcpStream,
    waker: &Arc<Waker>,
    asked: &Asked,
    arrival: IncomingRequest,
) -> bool {
    let (sender, mail) = bounded(MAX_MAIL);
    let ticket = arrival.ticket;
    let mailbox = Mailbox { mail: sender, waker: waker.clone() };
    // The last quarter of the channel is for what already runs.
    let capacity = shared.decide.capacity().unwrap_or(usize::MAX);
    let crowded = shared.decide.len() > capacity / 4 * 3 || shared.is_closing();
    if crowded || shared.decide.try_send(Message::Arrived(arrival, mailbox)).is_err() {
        shared.counts.turned_away.fetch_add(1, Ordering::Relaxed);
        return turn_away(client, None, asked.keep_alive).is_ok() && asked.keep_alive;
    }
    let mut life = Life {
        shared,
        client,
        waker,
        mail,
        asked,
        ticket,
        out: None,
        gone: false,
        request: None,
        answered: false,
        over: false,
        head_out: false,
        text: String::new(),
    };
    life.see_through();
    let over = life.over;
    over && asked.keep_alive && !life.gone
}

impl Life<'_> {
    fn see_through(&mut self) {
        while !self.over && !self.shared.is_dead() {
            match self.mail.try_recv() {
                Ok(Mail::Attempt(order)) => {
                    self.request.get_or_insert_with(|| order.request.clone());
                    attempt::run(self, order);
                }
                Ok(Mail::Answer(answer)) => self.finish(answer),
                Ok(Mail::Over) => self.over = true,
                // The attempt has ended meanwhile.
                Ok(Mail::Cancel(_)) => {}
                Err(TryRecvError::Disconnected) => return,
                Err(TryRecvError::Empty) => {
                    let what = if self.gone || self.answered { Client::Nothing } else { Client::Leaving };
                    match wait(self.waker, Some((self.client, what)), None, None) {
                        Ok(ready) if ready.client => self.leave(),
                        Ok(_) => {}
                        Err(_) => self.leave(),
                    }
                }
            }
        }
    }

    /// The client has left: told once.
    pub(crate) fn leave(&mut self) {
        if !std::mem::replace(&mut self.gone, true) && !self.answered {
            self.shared.send_input(Input::ClientLeft(self.ticket));
        }
    }

    /// What is waited for at the client while an attempt is out.
    pub(crate) fn client_watch(&self) -> Client {
        if self.gone {
            Client::Nothing
        } else {
            Client::Leaving
        }
    }

    /// Takes in some of the answer.
    pub(crate) fn push_text(&mut self, text: &str) {
        self.text.push_str(text);
    }

    /// Sends on what has come in, if the answer streams; `false` if the client does not take it, or
    /// the answer has grown too long.
    pub(crate) fn flush(&mut self) -> bool {
        if self.asked.form != Form::Stream {
            return self.text.len() <= MAX_WHOLE;
        }
        if self.text.is_empty() || self.gone || self.answered {
            return !self.gone;
        }
        let part = kserve::stream_part(&self.asked.model, &self.id(), &self.text);
        self.text.clear();
        let mut bytes = self.stream_head();
        bytes.extend(chunk(&sse_event(&part)));
        if self.write(&bytes).is_err() {
            self.leave();
        }
        !self.gone
    }

    /// The head of a streamed answer, if it has not gone out.
    fn stream_head(&mut self) -> Vec<u8> {
        if std::mem::replace(&mut self.head_out, true) {
            return Vec::new();
        }
        let id = self.request_id();
        let mut headers = vec![("content-type", "text/event-stream"), ("cache-control", "no-cache")];
        if !id.is_empty() {
            headers.push(("x-request-id", id.as_str()));
        }
        response_head(200, &headers)
    }

    /// Gives the one final answer.
    pub(crate) fn finish(&mut self, answer: FinalAnswer) {
        if std::mem::replace(&mut self.answered, true) || self.gone {
            return;
        }
        debug!(request = self.request_id(), ?answer, "answered");
        let (model, id) = (&self.asked.model, self.id());
        let streamed = self.asked.form == Form::Stream;
        let written = match answer {
            FinalAnswer::Served if streamed => {
                let end = kserve::stream_end(model, &id);
                self.end_stream(&end)
            }
            FinalAnswer::Served => {
                let body = match self.asked.form {
                    Form::Infer => kserve::infer_answer(model, &id, &self.text),
                    _ => kserve::generate_answer(model, &id, &self.text),
                };
                self.whole(200, &body)
            }
            _ if self.head_out => self.end_stream(&kserve::stream_error("the answer was cut off")),
            FinalAnswer::Rejected(after) => turn_away(self.client, after, self.asked.keep_alive),
            FinalAnswer::Failed | FinalAnswer::StreamCut => {
                self.whole(502, &kserve::error("the request failed", false))
            }
        };
        if written.is_err() {
            self.shared.counts.unwritten.fetch_add(1, Ordering::Relaxed);
            debug!(request = self.request_id(), "the answer could not be written");
            self.gone = true;
        }
    }

    fn end_stream(&mut self, event: &str) -> io::Result<()> {
        let mut bytes = self.stream_head();
        bytes.extend(chunk(&sse_event(event)));
        bytes.extend_from_slice(LAST_CHUNK);
        self.write(&bytes)
    }

    fn whole(&mut self, status: u16, body: &str) -> io::Result<()> {
        let id = self.request_id();
        let mut headers = vec![("content-type", "application/json")];
        if !id.is_empty() {
            headers.push(("x-request-id", id.as_str()));
        }
        if !self.asked.keep_alive {
            headers.push(("connection", "close"));
        }
        self.write(&response(status, &headers, body.as_bytes()))
    }

    /// Writes all of it within the time for writing, however slowly the client takes it.
    fn write(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        let limit = Duration::from_micros(self.shared.settings.limits.write_timeout);
        let by = Instant::now() + limit;
        while !bytes.is_empty() {
            match self.client.write(bytes) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => bytes = &bytes[n..],
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
            if !bytes.is_empty() {
                let left = by.saturating_duration_since(Instant::now());
                if left.is_zero() || self.shared.is_dead() {
                    return Err(ErrorKind::TimedOut.into());
                }
            }
        }
        Ok(())
    }

    /// The id that the answer carries: the client's own, or the node's.
    fn id(&self) -> String {
        self.asked.ask.id.clone().unwrap_or_else(|| self.request_id())
    }

    fn request_id(&self) -> String {
        self.request.as_ref().map(|r| r.0.to_string()).unwrap_or_default()
    }
}

/// Guards against a thread that ends without its request: nothing may hang on it.
impl Drop for Life<'_> {
    fn drop(&mut self) {
        if self.over || self.shared.is_dead() {
            return;
        }
        if let Some(attempt) = self.out.take() {
            let (ticket, outcome) = (self.ticket, Outcome::ConnectionBroken);
            self.shared.send_input(Input::AttemptEnded {
                ticket,
                attempt,
                outcome,
                cached_tokens: 0,
                load: None,
                state: None,
            });
        }
        self.leave();
    }
}

/// Turns a request away, with a time to come back if there is one.
fn turn_away(client: &mut TcpStream, after: Option<Micros>, keep: bool) -> io::Result<()> {
    let body = kserve::error("no room: try again", true);
    let mut head = format!("HTTP/1.1 503 Service Unavailable\r\ncontent-length: {}\r\n", body.len());
    header_line(&mut head, "content-type", "application/json");
    if let Some(after) = after {
        header_line(&mut head, "retry-after", &after.div_ceil(1_000_000).to_string());
        header_line(&mut head, "retry-after-ms", &after.div_ceil(1000).to_string());
    }
    if !keep {
        header_line(&mut head, "connection", "close");
    }
    head.push_str("\r\n");
    head.push_str(&body);
    client.write_all(head.as_bytes())
}
