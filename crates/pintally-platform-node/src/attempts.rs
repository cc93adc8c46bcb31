//! Commands of the host, carried out: attempts, calls off, answers, releases.

use std::io::ErrorKind;
use std::net::SocketAddr;

use pintally::interface::{EngineId, Micros, Outcome, RequestId};
use pintally_host::{AttemptOrder, Command, Input, RequestNumber};
use pintally_platform::{attempt_head, release, AnswerReader};
use serde_json::Value;

use crate::conn::{Conn, Engine, Key, Work};
use crate::node::Node;
use crate::poll::{self, Flags};

/// So much later than the close of its connection the host hears that an attempt was given up. Guards against
/// a second copy: what is sent or answered then goes over another connection, on which it could overtake
/// the close, and the engine, or whoever counts there, would see two attempts at once.
const CLOSE_LEAD: Micros = 2_000;

impl Node {
    pub(crate) fn command(&mut self, command: Command) {
        match command {
            Command::Attempt(order) => self.attempt(order),
            Command::Cancel(ticket, _) => self.call_off(ticket),
            Command::Answer(ticket, answer) => self.final_answer(ticket, answer),
            Command::Over(ticket) => {
                if let Some(job) = self.jobs.remove(&ticket) {
                    self.bytes -= job.body.len();
                }
            }
            Command::Release { name, engine, address, new_connection } => {
                self.release(name, engine, address, new_connection)
            }
            Command::ProbeConnection(ticket, attempt, engine, address) => {
                self.probe_connection(ticket, attempt, &engine, address)
            }
            Command::WithdrawReleases(id) => self.call_back(&id),
            // The platform's engines are not probed, and its list comes by itself.
            Command::HealthCheck(engine, _, _) => {
                self.inputs.push_back(Input::HealthChecked(engine, false, None))
            }
            Command::ReloadEndpointList => self.watch_again(),
            Command::Log(text) => {
                if self.quota.allows(self.clock.now()) {
                    tracing::info!("{text}");
                }
            }
            // Nodes on the platform know of no peers.
            Command::QueryPeer(_)
            | Command::RecoveryStage(_)
            | Command::RequestQuota(_)
            | Command::PublishOutlierReport(_)
            | Command::PublishZoneReport(..) => {}
            Command::Stopped => self.stopped = true,
        }
    }

    fn attempt(&mut self, order: AttemptOrder) {
        let now = self.clock.now();
        // Guards against a second copy: an attempt that is still out ends before the next one begins.
        self.call_off(order.ticket);
        let Some(job) = self.jobs.get(&order.ticket) else {
            return self.over(order.ticket, order.attempt, Outcome::NeverSent);
        };
        let timeout_at = now.saturating_add(order.timeout);
        let head = attempt_head(&job.head, order.timeout / 1000, job.body.len());
        let body = job.body.clone();
        let work = Work::Attempt {
            ticket: order.ticket,
            attempt: order.attempt,
            step: order.step,
            timeout_at,
            begun: false,
        };
        match self.carry(order.address, &order.engine, head, Some(body), work, false) {
            Ok(key) => {
                if let Some(job) = self.jobs.get_mut(&order.ticket) {
                    job.out = Some((order.attempt, key));
                }
                tracing::debug!(ticket = order.ticket, attempt = order.attempt, engine = %order.engine.0,
                    step = ?order.step, timeout_ms = order.timeout / 1000, "an attempt goes out");
                let tally = self.tallies.entry(order.engine).or_default();
                tally.sent += 1;
                tally.out += 1;
                self.engine_writes(key);
            }
            Err(outcome) => self.over(order.ticket, order.attempt, outcome),
        }
    }

    fn over(&mut self, ticket: RequestNumber, attempt: u32, outcome: Outcome) {
        self.inputs.push_back(Input::AttemptEnded {
            ticket,
            attempt,
            outcome,
            cached_tokens: 0,
            load: None,
            state: None,
        });
    }

    /// Lets go of what is held for a request.
    fn release(&mut self, id: RequestId, engine: EngineId, address: SocketAddr, anew: bool) {
        let until = self.clock.now() + self.settings.limits.background_call_timeout;
        let work = Work::Release { id: id.clone(), engine: engine.clone(), until };
        match self.carry(address, &engine, release(&id.0), None, work, anew) {
            Ok(key) => {
                tracing::debug!(id = %id.0, engine = %engine.0, "a call to let go goes out");
                self.engine_writes(key);
            }
            Err(_) => self.inputs.push_back(Input::Released(id, engine, false)),
        }
    }

    /// Whether an attempt is out and its last byte has been written on a connection opened for it. Guards
    /// against a kept one that has fallen silent while its engine's machine is there, or there again.
    pub(crate) fn is_written(&self, ticket: RequestNumber, attempt: u32) -> bool {
        let out = self.jobs.get(&ticket).and_then(|job| job.out).filter(|out| out.0 == attempt);
        let conn = out.and_then(|(_, key)| self.conns.get(key));
        matches!(conn, Some(Conn::Engine(e)) if e.written() && e.idle.is_none())
    }

    /// Opens a connection beside that of an attempt that is silent: whether its engine's machine is there.
    fn probe_connection(
        &mut self,
        ticket: RequestNumber,
        attempt: u32,
        engine: &EngineId,
        address: SocketAddr,
    ) {
        if !self.is_written(ticket, attempt) {
            return;
        }
        let Ok(key) = self.connect(address, engine, true) else { return };
        let (now, connect) = (self.clock.now(), self.settings.limits.connect_timeout);
        let Some(Conn::Engine(conn)) = self.conns.get_mut(key) else { return };
        conn.work = Some(Work::ConnectionProbe { ticket, attempt });
        conn.connect_by = now + connect;
        if conn.up {
            return self.connection_probe_answered(key, ticket, attempt);
        }
        self.watch_over(key);
    }

    /// Ends calls that let go of a request, on whatever connection they wait.
    fn call_back(&mut self, id: &RequestId) {
        let calls = |c: &Conn| match c {
            Conn::Engine(e) => matches!(&e.work, Some(Work::Release { id: own, .. }) if own == id),
            Conn::Client(_) => false,
        };
        let keys: Vec<Key> = self.conns.iter().filter(|(_, c)| calls(c)).map(|(key, _)| key).collect();
        for key in keys {
            self.abort_engine(key);
        }
    }

    /// Gives work to a connection: the sound one that was used last, or a new one; `anew` if only that will do.
    fn carry(
        &mut self,
        address: SocketAddr,
        engine: &EngineId,
        head: Vec<u8>,
        body: Option<std::rc::Rc<[u8]>>,
        work: Work,
        anew: bool,
    ) -> Result<Key, Outcome> {
        let now = self.clock.now();
        let (mut found, mut idle) = (None, None);
        while let Some(key) = (!anew).then(|| self.pool.take(now, address)).flatten() {
            let Some(Conn::Engine(conn)) = self.conns.get(key) else { continue };
            // Guards against a request on a connection that the engine has closed or spoilt, which
            // would end as a reset that may have run.
            let fresh = now < conn.last + self.keep.limit(now);
            let quiet = matches!(conn.stream.peek(&mut [0; 1]), Err(e) if e.kind() == ErrorKind::WouldBlock);
            if fresh && quiet {
                idle = Some(now - conn.last);
                found = Some(key);
                break;
            }
            self.close_engine(key);
        }
        let key = match found {
            Some(key) => key,
            None => self.connect(address, engine, matches!(work, Work::Release { .. }))?,
        };
        let connect = self.settings.limits.connect_timeout;
        if let Some(Conn::Engine(conn)) = self.conns.get_mut(key) {
            conn.engine = engine.clone();
            conn.head = head;
            conn.body = body;
            conn.gone = 0;
            conn.reader = AnswerReader::default();
            conn.paused = false;
            conn.last = now;
            conn.connect_by = now + connect;
            conn.work = Some(work);
            conn.idle = idle;
        }
        self.watch_over(key);
        Ok(key)
    }

    fn connect(&mut self, address: SocketAddr, engine: &EngineId, call: bool) -> Result<Key, Outcome> {
        if !self.room_for_engine(call) {
            return Err(Outcome::NeverSent);
        }
        let socket = poll::socket(address).map_err(|_| Outcome::NeverSent)?;
        let up = poll::connect(&socket, address).map_err(|_| Outcome::Unreachable)?;
        let now = self.clock.now();
        let flags = if up { Flags::IN | Flags::RDHUP } else { Flags::OUT };
        let conn = Engine {
            stream: socket.into(),
            address,
            engine: engine.clone(),
            up,
            connect_by: now,
            head: Vec::new(),
            body: None,
            gone: 0,
            reader: AnswerReader::default(),
            work: None,
            idle: None,
            last: now,
            paused: false,
            progressed: now,
            flags,
            due: Micros::MAX,
        };
        let key = self.enter(Conn::Engine(Box::new(conn))).ok_or(Outcome::NeverSent)?;
        self.tallies.entry(engine.clone()).or_default().connections += 1;
        Ok(key)
    }

    /// Calls the request's attempt off, if one is out: its connection ends.
    pub(crate) fn call_off(&mut self, ticket: RequestNumber) {
        let Some((_, key)) = self.jobs.get(&ticket).and_then(|job| job.out) else { return };
        self.give_up(key, Outcome::Cancelled);
    }

    /// What a connection is used for ends without an answer, and so does the connection.
    pub(crate) fn give_up(&mut self, key: Key, outcome: Outcome) {
        self.end_attempt(key, outcome, 0, None, false);
    }

    /// The attempt on a connection has ended; the host hears of it, and the connection is kept if it
    /// is sound.
    pub(crate) fn end_attempt(
        &mut self,
        key: Key,
        outcome: Outcome,
        kept: u64,
        load: Option<pintally::interface::LoadReport>,
        reusable: bool,
    ) {
        let Some(Conn::Engine(conn)) = self.conns.get_mut(key) else { return };
        let reusable = reusable && conn.written();
        let Some(work) = conn.work.take() else { return self.close_engine(key) };
        let (engine, why) = (conn.engine.clone(), conn.reader.why());
        let idle_ms = conn.idle.map(|span| span / 1000);
        match work {
            Work::Attempt { ticket, attempt, step, .. } => {
                if let Some(job) = self.jobs.get_mut(&ticket).filter(|j| j.out == Some((attempt, key))) {
                    job.out = None;
                }
                self.count_end(&engine, outcome);
                tracing::debug!(ticket, attempt, engine = %engine.0, ?step, ?outcome, kept, ?load, reusable, why, idle_ms,
                    "an attempt has ended");
                let state = (outcome == Outcome::Read).then(|| std::sync::Arc::new(Value::Null));
                let ended =
                    Input::AttemptEnded { ticket, attempt, outcome, cached_tokens: kept, load, state };
                match outcome {
                    Outcome::TimedOut | Outcome::ConnectionBroken | Outcome::Cancelled => {
                        let heard_at = self.clock.now().saturating_add(CLOSE_LEAD);
                        self.given_up.push_back((heard_at, ended));
                    }
                    _ => self.inputs.push_back(ended),
                }
            }
            Work::Release { id, engine, .. } => {
                tracing::debug!(id = %id.0, engine = %engine.0, ?outcome, "a call to let go has ended");
                self.inputs.push_back(Input::Released(id, engine, outcome == Outcome::Served));
            }
            Work::ConnectionProbe { .. } => {}
        }
        match outcome {
            Outcome::TimedOut | Outcome::ConnectionBroken | Outcome::Cancelled | Outcome::Unreachable => {
                self.abort_engine(key);
            }
            _ => self.done_with(key, reusable),
        }
    }

    fn count_end(&mut self, engine: &EngineId, outcome: Outcome) {
        let tally = self.tallies.entry(engine.clone()).or_default();
        tally.out = tally.out.saturating_sub(1);
        match outcome {
            Outcome::Served => tally.served += 1,
            Outcome::Read => tally.read += 1,
            Outcome::Overloaded | Outcome::StateNotFound => tally.turned_away += 1,
            Outcome::Cancelled | Outcome::NeverSent => {}
            _ => tally.failed += 1,
        }
    }
}
