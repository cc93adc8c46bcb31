//! Background calls: health checks, releases and connection probes. Short exchanges with engines that no
//! client waits for, in one thread that blocks on none of them.
//!
//! Guards against reservations that stay at engines because their release waits behind calls to engines
//! that do not answer: each call has a timeout of its own, engines take turns, and one engine has a quarter
//! of all places at the most. The limit on attempts at an engine does not count for calls, as an engine
//! full of attempts has reservations to release like any other.

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

use self::exchange::{Completion, Exchange, READ_BUFFER_BYTES};
use self::schedule::CallSchedule;

/// Calls that may wait in the channel, and again that many for their engine's turn.
const MAX_WAITING_CALLS: usize = 1 << 14;

/// A call to an engine.
#[derive(Debug)]
pub(crate) enum BackgroundCall {
    /// Reads the engine's metrics.
    HealthCheck { engine: EngineId, address: SocketAddr, slots: u64 },
    /// Releases a reservation, on a connection opened for it if that is asked for.
    Release { name: RequestId, engine: EngineId, address: SocketAddr, new_connection: bool },
    /// Whether the engine's machine accepts a connection, for an attempt that is in flight.
    ConnectionProbe { ticket: RequestNumber, attempt: AttemptNumber, address: SocketAddr },
}

impl BackgroundCall {
    fn address(&self) -> SocketAddr {
        match self {
            BackgroundCall::HealthCheck { address, .. }
            | BackgroundCall::Release { address, .. }
            | BackgroundCall::ConnectionProbe { address, .. } => *address,
        }
    }

    /// Whether an idle connection will do. For a connection probe only a new one proves anything.
    fn reuse(&self) -> Reuse {
        match self {
            BackgroundCall::ConnectionProbe { .. } | BackgroundCall::Release { new_connection: true, .. } => {
                Reuse::Never
            }
            BackgroundCall::HealthCheck { .. } | BackgroundCall::Release { .. } => Reuse::Idle,
        }
    }

    /// The request as it goes out.
    fn encode(&self) -> Vec<u8> {
        match self {
            BackgroundCall::HealthCheck { .. } => health_check(),
            BackgroundCall::Release { name, .. } => release(&name.0),
            BackgroundCall::ConnectionProbe { .. } => Vec::new(),
        }
    }

    /// The host's input about a call that has ended, by the answer's status and body if there was one. Of a
    /// connection probe that failed there is none: where no engine listens, none has the attempt.
    fn into_input(self, answer: Option<(u16, &[u8])>) -> Option<Input> {
        match self {
            BackgroundCall::HealthCheck { engine, slots, .. } => {
                let page = answer.filter(|(status, _)| *status == 200).map(|(_, body)| body);
                let load = page.and_then(|body| load_from_metrics(&String::from_utf8_lossy(body), slots));
                Some(Input::HealthChecked(engine, page.is_some(), load))
            }
            BackgroundCall::Release { name, engine, .. } => {
                let released = answer.is_some_and(|(status, _)| status < 500);
                Some(Input::Released(name, engine, released))
            }
            BackgroundCall::ConnectionProbe { ticket, attempt, .. } => {
                answer.map(|_| Input::DeliveryConfirmed(ticket, attempt))
            }
        }
    }
}

/// Where the decision thread hands in calls. Dropping it ends the thread of the calls.
pub(crate) struct CallSender {
    sender: Option<Sender<BackgroundCall>>,
    waker: Arc<Waker>,
}

/// Where their thread takes them.
pub(crate) struct CallQueue {
    receiver: Receiver<BackgroundCall>,
    waker: Arc<Waker>,
}

/// A channel for calls.
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
    /// Hands in a call; it comes back if too many wait.
    pub(crate) fn send(&self, call: BackgroundCall) -> Result<(), BackgroundCall> {
        let Some(sender) = &self.sender else { return Err(call) };
        sender.try_send(call).map_err(crossbeam_channel::TrySendError::into_inner)?;
        self.waker.wake();
        Ok(())
    }
}

impl Drop for CallSender {
    fn drop(&mut self) {
        // The channel closes before the thread wakes to see it closed.
        self.sender = None;
        self.waker.wake();
    }
}

/// Runs calls until the sender is dropped and none is in flight, or the node has died.
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

struct CallThread<'a> {
    shared: &'a Shared,
    schedule: CallSchedule,
    in_flight: Vec<Exchange>,
    buffer: Vec<u8>,
}

impl CallThread<'_> {
    /// Takes calls from the channel; whether it is closed and empty.
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

    /// Starts calls as long as there are places.
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

    /// Goes on with the exchanges whose sockets are ready, and ends those that have timed out.
    fn advance(&mut self, ready: &[bool]) {
        let now = Instant::now();
        // From the back, so that what is removed moves nothing that has yet to be looked at.
        for index in (0..self.in_flight.len()).rev() {
            let exchange = &mut self.in_flight[index];
            let mut completion = None;
            if ready[index] {
                completion = exchange.advance(&mut self.buffer);
            }
            let timed_out = now >= exchange.deadline;
            if let Some(completion) = completion.or_else(|| timed_out.then_some(Completion::Failed)) {
                let exchange = self.in_flight.swap_remove(index);
                self.schedule.finished(exchange.call.address());
                self.complete(exchange, completion);
            }
        }
    }

    /// Notifies the host of how a call ended, and returns its connection to the pool if it can be used again.
    fn complete(&self, exchange: Exchange, completion: Completion) {
        let address = exchange.call.address();
        let answer = match completion {
            Completion::Answered { .. } => Some((exchange.status, &exchange.body[..])),
            Completion::Failed => None,
        };
        self.notify_host(exchange.call, answer);
        if matches!(completion, Completion::Answered { reusable: true }) {
            self.shared.pool.add_idle(address, exchange.stream);
        }
    }

    fn notify_host(&self, call: BackgroundCall, answer: Option<(u16, &[u8])>) {
        if let Some(input) = call.into_input(answer) {
            self.shared.send_input(input);
        }
    }
}
