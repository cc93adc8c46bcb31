//! Clients in virtual time: what each has asked, of which node, and what it has heard.

use std::collections::BTreeMap;
use std::rc::Rc;

use pintally_emulator::BlockHash;
use pintally_host::RequestNumber;
use pintally_scenario::RequestDraft;

/// One try of a request.
#[derive(Clone, Debug)]
pub(crate) struct Try {
    /// Its name in the record.
    pub(crate) id: String,
    pub(crate) number: u64,
    pub(crate) tries: u32,
    pub(crate) draft: Rc<RequestDraft>,
    /// The chain of the prompt's whole blocks.
    pub(crate) chain: Rc<Vec<BlockHash>>,
    /// Its answer has begun.
    pub(crate) first: bool,
    /// It has its answer, or has given up.
    pub(crate) done: bool,
}

/// All tries that nodes still have, by node and ticket.
pub(crate) type Tries = BTreeMap<(usize, RequestNumber), Try>;

/// The name of a try in the record.
pub(crate) fn name(number: u64, tries: u32) -> String {
    match tries {
        0 => format!("c{number}"),
        _ => format!("c{number}~{tries}"),
    }
}
