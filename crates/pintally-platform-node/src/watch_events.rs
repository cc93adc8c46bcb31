//! Handling of readiness events and messages of the endpoint watch.

use pintally::interface::Micros;

use crate::event_source::WatchId;
use crate::node::Node;
use crate::poller::EventFlags;
use crate::watch_connection::{WatchError, WatchMessage};

impl Node {
    pub(crate) fn handle_watch_event(&mut self, id: WatchId, events: EventFlags) {
        let now = self.clock.now();
        let Some(connection) = self.watch.connection_mut(id) else { return };
        if let Err(error) = connection.handle_event(&self.poller, events, &mut self.read_buffer) {
            return self.fail_watch(id, now, &error);
        }
        self.handle_watch_messages(id, now);
    }

    fn handle_watch_messages(&mut self, id: WatchId, now: Micros) {
        while let Some(connection) = self.watch.connection_mut(id) {
            match connection.next_message() {
                Ok(Some(message)) => self.handle_watch_message(id, now, message),
                Ok(None) => return,
                Err(error) => return self.fail_watch(id, now, &error),
            }
        }
    }

    fn handle_watch_message(&mut self, id: WatchId, now: Micros, message: WatchMessage) {
        if let WatchMessage::List(list) = message {
            self.apply_list(list, self.watch.last_message);
        }
        self.watch.record_message(id, now);
    }

    fn fail_watch(&mut self, id: WatchId, now: Micros, error: &WatchError) {
        self.watch.fail(id, now);
        self.warn_about_watch(now, error);
    }
}
