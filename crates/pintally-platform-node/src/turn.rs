//! The loop: one turn after another, each with what has happened, what has come due, and what the
//! host makes of it.

use std::io;
use std::time::Duration;

use pintally::interface::Micros;
use pintally_guards::CloseReason;
use pintally_host::{Command, Host, Input};
use slotmap::Key as _;

use crate::conn::{Conn, Key};
use crate::node::{Node, Source};
use crate::poll::{Flags, Happened};

/// Nothing is waited for longer than this.
const MAX_TURN: u64 = 100_000;

impl Node {
    /// Runs until all is done after a signal to stop.
    pub(crate) fn run(&mut self) -> io::Result<()> {
        let mut happened: Vec<Happened> = Vec::new();
        loop {
            let now = self.clock.now();
            let given_up = self.given_up.front().map(|(at, _)| *at);
            let wakes = [
                self.host.next_wake(),
                self.due.first().map(|d| d.0),
                given_up,
                self.reload_due(),
                self.accepting.again,
                Some(self.watch.due()),
            ];
            let next = wakes.into_iter().flatten().min().unwrap_or(u64::MAX);
            let most = match self.ready.is_empty() {
                true => next.saturating_sub(now).min(MAX_TURN),
                false => 0,
            };
            happened.clear();
            self.poll.wait(Duration::from_micros(most), &mut happened)?;
            self.clients_that_left(&happened);
            if self.signals.have_come() {
                self.signalled();
            }
            for one in &happened {
                self.happened(*one);
            }
            self.tick();
            for key in std::mem::take(&mut self.ready) {
                if let Some(client) = self.client(key) {
                    client.ready = false;
                }
                self.requests(key);
            }
            self.flush_dirty();
            if self.finished() {
                tracing::info!("all that was taken is answered: the end");
                return Ok(());
            }
        }
    }

    /// Clients that have gone come first. Guards against an attempt that begins, by what else has happened,
    /// for a client whose connection had ended by then.
    fn clients_that_left(&mut self, happened: &[Happened]) {
        for one in happened {
            let Source::Connection(key) = Source::of(one.token) else { continue };
            if self.client(key).is_some_and(|client| client.has_left(one.flags)) {
                self.client_gone(key, CloseReason::ClientLeft);
            }
        }
    }

    fn happened(&mut self, one: Happened) {
        match Source::of(one.token) {
            Source::Listener => self.accept(),
            Source::Signals => self.signalled(),
            Source::Watch => self.watch_event(one.flags),
            Source::Connection(key) => match self.conns.get(key) {
                Some(Conn::Client(_)) => self.client_event(key, one.flags),
                Some(Conn::Engine(_)) => self.engine_event(key, one.flags),
                None => {}
            },
        }
    }

    fn signalled(&mut self) {
        let (stop, reload) = self.signals.take();
        if reload {
            self.reload();
        }
        if stop && self.stopping.is_none() {
            self.stopping = Some(self.clock.now());
            tracing::info!(held = self.host.open_requests(), "told to stop: nothing new is taken");
            self.feed(Input::Stop);
        }
    }

    /// Hands the host an input and carries out what it commands, until nothing is left of either.
    pub(crate) fn feed(&mut self, input: Input) {
        self.inputs.push_back(input);
        self.work_off();
    }

    /// Hands on what has been put off.
    pub(crate) fn work_off(&mut self) {
        while let Some(input) = self.inputs.pop_front() {
            let now = self.clock.now();
            self.ask_host(|host, commands| host.handle(now, input, commands));
        }
    }

    /// Carries out what the host commands when it is asked.
    fn ask_host(&mut self, ask: impl FnOnce(&mut Host, &mut Vec<Command>)) {
        let mut commands = std::mem::take(&mut self.commands);
        ask(&mut self.host, &mut commands);
        for command in commands.drain(..) {
            self.command(command);
        }
        self.commands = commands;
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        if self.host.next_wake().is_some_and(|at| at <= now) {
            self.ask_host(|host, commands| host.tick(now, commands));
            self.work_off();
        }
        self.expire(now);
        self.hear_of_given_up(now);
        self.retry_reload(now);
        self.resume_accepting(now);
        self.look_after_watch(now);
        self.sweep(now);
    }

    /// Tells the host of attempts that were given up long enough ago.
    fn hear_of_given_up(&mut self, now: Micros) {
        while let Some((_, input)) = self.given_up.pop_front_if(|(at, _)| *at <= now) {
            self.feed(input);
        }
    }

    /// Takes a connection into the loop; one that cannot be waited on is closed.
    pub(crate) fn enter(&mut self, conn: Conn) -> Option<Key> {
        let key = self.conns.insert(conn);
        let (stream, flags) = match self.conns.get(key)? {
            Conn::Client(c) => (&c.stream, c.flags),
            Conn::Engine(e) => (&e.stream, e.flags),
        };
        if self.poll.add(stream, Node::token(key), flags).is_err() {
            self.conns.remove(key);
            return None;
        }
        Some(key)
    }

    /// The token under which a connection is waited on.
    pub(crate) fn token(key: Key) -> u64 {
        key.data().as_ffi()
    }

    /// What a connection is waited on for, told to the system if it has changed.
    pub(crate) fn interest(&mut self, key: Key, wanted: Flags) {
        let (stream, flags) = match self.conns.get_mut(key) {
            Some(Conn::Client(c)) => (&c.stream, &mut c.flags),
            Some(Conn::Engine(e)) => (&e.stream, &mut e.flags),
            None => return,
        };
        if *flags != wanted && self.poll.modify(stream, Node::token(key), wanted).is_ok() {
            *flags = wanted;
        }
    }
}
