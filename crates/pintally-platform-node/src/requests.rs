//! The requests in flight, and the memory that they use.

use std::collections::HashMap;
use std::rc::Rc;

use pintally::interface::AttemptNumber;
use pintally_host::RequestNumber;

use crate::connection::ConnectionKey;

/// A request, from its arrival until the host ends it.
pub(crate) struct ActiveRequest {
    pub(crate) client: Option<ConnectionKey>,
    pub(crate) head: String,
    pub(crate) body: Rc<[u8]>,
    /// The attempt in flight, and its connection.
    pub(crate) attempt: Option<(AttemptNumber, ConnectionKey)>,
}

impl ActiveRequest {
    fn held_bytes(&self) -> usize {
        self.head.len() + self.body.len()
    }
}

/// The requests in flight.
#[derive(Default)]
pub(crate) struct Requests {
    by_number: HashMap<RequestNumber, ActiveRequest>,
    next_number: RequestNumber,
    /// Number of bytes of the heads and bodies of all requests.
    held_bytes: usize,
}

impl Requests {
    /// The number of the next request.
    pub(crate) fn next_number(&self) -> RequestNumber {
        self.next_number
    }

    /// Number of bytes of the heads and bodies of all requests.
    pub(crate) fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    pub(crate) fn get(&self, number: RequestNumber) -> Option<&ActiveRequest> {
        self.by_number.get(&number)
    }

    pub(crate) fn get_mut(&mut self, number: RequestNumber) -> Option<&mut ActiveRequest> {
        self.by_number.get_mut(&number)
    }

    /// The attempt in flight of this request, and its connection.
    pub(crate) fn attempt_of(&self, number: RequestNumber) -> Option<(AttemptNumber, ConnectionKey)> {
        self.get(number).and_then(|request| request.attempt)
    }

    /// Adds a request under the next number.
    pub(crate) fn insert(&mut self, client: ConnectionKey, head: String, body: Vec<u8>) {
        let request = ActiveRequest { client: Some(client), head, body: Rc::from(body), attempt: None };
        self.held_bytes += request.held_bytes();
        self.by_number.insert(self.next_number, request);
        self.next_number += 1;
    }

    /// Removes a request that the host has ended.
    pub(crate) fn remove(&mut self, number: RequestNumber) {
        if let Some(request) = self.by_number.remove(&number) {
            self.held_bytes -= request.held_bytes();
        }
    }

    /// Frees the body of a request that is not retried again.
    pub(crate) fn discard_body(&mut self, number: RequestNumber) {
        if let Some(request) = self.by_number.get_mut(&number) {
            self.held_bytes -= request.body.len();
            request.body = Rc::from([]);
        }
    }
}
