//! Background calls: health checks, releases and connection probes. These are short exchanges with engines
//! that no client waits for. One thread makes them all with non-blocking sockets.
//!
//! Engines that do not answer must not delay the releases of reservations at other engines. Therefore each
//! call has a timeout, engines are served round-robin, and at most a quarter of the concurrent calls are for
//! one engine. The limit on attempts at an engine does not apply to calls, because an engine with the maximum
//! number of attempts also has reservations to release.

mod exchange;
mod schedule;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, Receiver, Sender, TryRecvError};
use pintally::interface::{AttemptNumber, EngineId, RequestId};
use pintally_engine::{health_check, load_from_metrics, release};
use pintally_host::{Input, RequestNumber};

use crate::pool::Reuse;
use crate::shared::Shared;
use crate::wait::{wait_for_many, Waker};

use self::exchange::{CallOutcome, Exchange, READ_BUFFER_BYTES};
use self::schedule::CallSchedule;

/// Maximum number of calls that wait in the channel, and of those that wait in the schedule.
const MAX_WAITING_CALLS: usize = 1 << 14;

/// A call to an engine.
#[derive(Debug)]
pub(crate) enum BackgroundCall {
    /// Reads the engine's metrics.
    HealthCheck { engine: EngineId, address: SocketAddr, slots: u64 },
    /// Releases a reservation, on a new connection if `new_connection` is set.
    Release { name: RequestId, engine: EngineId, address: SocketAddr, new_connection: bool },
    /// Checks whether the engine's machine establishes a new connection, for an attempt that is in flight.
    ConnectionProbe { request_number: RequestNumber, attempt: AttemptNumber, address: SocketAddr },
}

impl BackgroundCall {
    fn address(&self) -> SocketAddr {
        match self {
            BackgroundCall::HealthCheck { address, .. }
            | BackgroundCall::Release { address, .. }
            | BackgroundCall::ConnectionProbe { address, .. } => *address,
        }
    }

    /// Whether an idle connection may be used. A connection probe needs a new one, because an idle one does
    /// not show whether the engine's machine is reachable.
    fn reuse(&self) -> Reuse {
        match self {
            BackgroundCall::ConnectionProbe { .. } | BackgroundCall::Release { new_connection: true, .. } => {
                Reuse::Never
            }
            BackgroundCall::HealthCheck { .. } | BackgroundCall::Release { .. } => Reuse::Idle,
        }
    }

    /// Encodes the request; empty for a connection probe.
    fn encode(&self) -> Vec<u8> {
        match self {
            BackgroundCall::HealthCheck { .. } => health_check(),
            BackgroundCall::Release { name, .. } => release(&name.0),
            BackgroundCall::ConnectionProbe { .. } => Vec::new(),
        }
    }

    /// The host's input for a call that has ended, from the status and body of the response if there was one.
    /// A connection probe that failed gives no input: where no engine listens, none has the attempt.
    fn into_input(self, answer: Option<(u16, &[u8])>) -> Option<Input> {
        match self {
            BackgroundCall::HealthCheck { engine, slots, .. } => {
                let metrics = answer.filter(|(status, _)| *status == 200).map(|(_, body)| body);
                let load = metrics.and_then(|body| load_from_metrics(&String::from_utf8_lossy(body), slots));
                Some(Input::HealthChecked(engine, metrics.is_some(), load))
            }
            BackgroundCall::Release { name, engine, .. } => {
                let released = answer.is_some_and(|(status, _)| status < 500);
                Some(Input::Released(name, engine, released))
            }
            BackgroundCall::ConnectionProbe { request_number, attempt, .. } => {
                answer.map(|_| Input::DeliveryConfirmed(request_number, attempt))
            }
        }
    }
}

/// The decision thread's sender of calls. Dropping it ends the thread that makes them.
pub(crate) struct CallSender {
    sender: Option<Sender<BackgroundCall>>,
    waker: Arc<Waker>,
}

/// The receiving side of [`CallSender`], for the thread that makes the calls.
pub(crate) struct CallQueue {
    receiver: Receiver<BackgroundCall>,
    waker: Arc<Waker>,
}

/// Creates a channel for calls.
///
/// # Errors
///
/// The system has no file descriptor for the waker.
pub(crate) fn channel() -> std::io::Result<(CallSender, CallQueue)> {
    let (sender, receiver) = bounded(MAX_WAITING_CALLS);
    let waker = Arc::new(Waker::new()?);
    Ok((CallSender { sender: Some(sender), waker: waker.clone() }, CallQueue { receiver, waker }))
}

impl CallSender {
    /// Sends a call; returns it as the error if too many calls wait.
    pub(crate) fn send(&self, call: BackgroundCall) -> Result<(), BackgroundCall> {
        let Some(sender) = &self.sender else { return Err(call) };
        sender.try_send(call).map_err(crossbeam_channel::TrySendError::into_inner)?;
        self.waker.wake();
        Ok(())
    }
}

impl Drop for CallSender {
    fn drop(&mut self) {
        // Closes the channel before the wake-up, so that the thread finds it closed.
        self.sender = None;
        self.waker.wake();
    }
}

/// Makes calls until the sender is dropped and none is in flight, or the node is killed.
pub(crate) fn run(shared: &Shared, queue: &CallQueue) {
    let mut thread = CallThread {
        shared,
        schedule: CallSchedule::new(shared.settings.limits.max_background_calls),
        in_flight: Vec::new(),
        buffer: vec![0; READ_BUFFER_BYTES],
    };
    loop {
        let closed = thread.take_calls(queue);
        thread.start_calls();
        if shared.is_dead() || closed && thread.in_flight.is_empty() {
            return;
        }
        let until = thread.in_flight.iter().map(|exchange| exchange.deadline).min();
        let sockets: Vec<_> = thread.in_flight.iter().map(Exchange::interest).collect();
        let Ok(ready) = wait_for_many(&queue.waker, &sockets, until) else { return };
        thread.advance(&ready);
    }
}

/// The state of the thread that makes background calls.
struct CallThread<'a> {
    shared: &'a Shared,
    schedule: CallSchedule,
    in_flight: Vec<Exchange>,
    buffer: Vec<u8>,
}

impl CallThread<'_> {
    /// Moves calls from the channel to the schedule. Returns whether the channel is closed and empty.
    fn take_calls(&mut self, queue: &CallQueue) -> bool {
        while self.schedule.waiting() < MAX_WAITING_CALLS {
            match queue.receiver.try_recv() {
                Ok(call) => self.schedule.push(call),
                Err(TryRecvError::Empty) => return false,
                Err(TryRecvError::Disconnected) => return true,
            }
        }
        false
    }

    /// Starts calls until the maximum number is in flight.
    fn start_calls(&mut self) {
        let timeout = Duration::from_micros(self.shared.settings.limits.background_call_timeout);
        while self.in_flight.len() < self.shared.settings.limits.max_background_calls {
            let Some(call) = self.schedule.next() else { break };
            let address = call.address();
            match self.shared.pool.connect_for_call(address, call.reuse()) {
                Ok(connection) => {
                    self.in_flight.push(Exchange::new(call, connection, Instant::now() + timeout));
                }
                Err(_) => {
                    self.schedule.finished(address);
                    self.notify_host(call, None);
                }
            }
        }
    }

    /// Advances the exchanges whose sockets are ready, and ends those that have timed out.
    fn advance(&mut self, ready: &[bool]) {
        let now = Instant::now();
        // In reverse, so that `swap_remove` only moves exchanges that have been processed already.
        for index in (0..self.in_flight.len()).rev() {
            let exchange = &mut self.in_flight[index];
            let mut outcome = None;
            if ready[index] {
                outcome = exchange.advance(&mut self.buffer);
            }
            let timed_out = now >= exchange.deadline;
            if let Some(outcome) = outcome.or_else(|| timed_out.then_some(CallOutcome::Failed)) {
                let exchange = self.in_flight.swap_remove(index);
                self.schedule.finished(exchange.call.address());
                self.complete(exchange, outcome);
            }
        }
    }

    /// Notifies the host of how a call ended, and returns its connection to the pool if it can be used again.
    fn complete(&self, exchange: Exchange, outcome: CallOutcome) {
        let address = exchange.call.address();
        let answer = match outcome {
            CallOutcome::Answered { .. } => Some((exchange.status, &exchange.body[..])),
            CallOutcome::Failed => None,
        };
        self.notify_host(exchange.call, answer);
        if matches!(outcome, CallOutcome::Answered { reusable: true }) {
            self.shared.pool.add_idle(address, exchange.stream);
        }
    }

    fn notify_host(&self, call: BackgroundCall, answer: Option<(u16, &[u8])>) {
        if let Some(input) = call.into_input(answer) {
            self.shared.send_input(input);
        }
    }
}
