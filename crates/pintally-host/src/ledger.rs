//! The ledger of requests that have no answer yet or whose last attempt has not ended.

use std::collections::{BTreeMap, HashMap};

use pintally::interface::RequestId;

use crate::input::RequestNumber;
use crate::request_record::RequestRecord;

/// Requests by number and by name.
#[derive(Default)]
pub(crate) struct RequestLedger {
    records: BTreeMap<RequestNumber, RequestRecord>,
    numbers: HashMap<RequestId, RequestNumber>,
    /// Requests that the current input has changed, in the order of the changes.
    changed: Vec<RequestNumber>,
}

impl RequestLedger {
    /// The number of requests.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are none.
    pub(crate) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether a request of this number is recorded.
    pub(crate) fn contains(&self, number: RequestNumber) -> bool {
        self.records.contains_key(&number)
    }

    /// Whether a request of this name is recorded.
    pub(crate) fn contains_id(&self, id: &RequestId) -> bool {
        self.numbers.contains_key(id)
    }

    /// The number of the request of this name.
    pub(crate) fn number(&self, id: &RequestId) -> Option<RequestNumber> {
        self.numbers.get(id).copied()
    }

    /// The request of this number.
    pub(crate) fn get(&self, number: RequestNumber) -> Option<&RequestRecord> {
        self.records.get(&number)
    }

    /// The request of this number, for modification.
    pub(crate) fn get_mut(&mut self, number: RequestNumber) -> Option<&mut RequestRecord> {
        self.records.get_mut(&number)
    }

    /// The request of this name, for modification.
    pub(crate) fn by_id_mut(&mut self, id: &RequestId) -> Option<&mut RequestRecord> {
        self.numbers.get(id).and_then(|number| self.records.get_mut(number))
    }

    /// The request of this number if its final answer is still due.
    pub(crate) fn open_mut(&mut self, number: RequestNumber) -> Option<&mut RequestRecord> {
        self.records.get_mut(&number).filter(|record| !record.is_closed)
    }

    /// All requests, by number.
    pub(crate) fn iter(&self) -> impl DoubleEndedIterator<Item = (RequestNumber, &RequestRecord)> {
        self.records.iter().map(|(number, record)| (*number, record))
    }

    /// The requests whose final answer is still due, by number.
    pub(crate) fn open_numbers(&self) -> Vec<RequestNumber> {
        self.iter().filter(|(_, record)| !record.is_closed).map(|(number, _)| number).collect()
    }

    /// Adds a request.
    pub(crate) fn insert(&mut self, number: RequestNumber, record: RequestRecord) {
        self.numbers.insert(record.id.clone(), number);
        self.records.insert(number, record);
        self.changed.push(number);
    }

    /// Records that the current input has changed a request.
    pub(crate) fn mark_changed(&mut self, number: RequestNumber) {
        self.changed.push(number);
    }

    /// The requests changed since this was last called.
    pub(crate) fn take_changed(&mut self) -> Vec<RequestNumber> {
        std::mem::take(&mut self.changed)
    }

    /// Removes a request if nothing more can happen to it.
    pub(crate) fn remove_complete(&mut self, number: RequestNumber) -> Option<RequestRecord> {
        self.records.get(&number).filter(|record| record.is_complete())?;
        let record = self.records.remove(&number)?;
        self.numbers.remove(&record.id);
        Some(record)
    }
}
