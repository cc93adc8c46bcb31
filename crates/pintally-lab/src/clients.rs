//! Simulated clients: the requests they have sent, to which node, and the answers they have received.

use std::collections::BTreeMap;
use std::rc::Rc;

use pintally_emulator::BlockHash;
use pintally_host::RequestNumber;
use pintally_scenario::RequestDraft;

/// One try of a client request: the first, or a retry after a rejection.
#[derive(Clone, Debug)]
pub(crate) struct Try {
    /// The request id in the record.
    pub(crate) id: String,
    /// The number of the client request, shared by all of its tries.
    pub(crate) request_number: u64,
    /// How many retries came before: 0 for the first try.
    pub(crate) retry: u32,
    pub(crate) draft: Rc<RequestDraft>,
    /// The hash chain of the prompt's complete blocks.
    pub(crate) block_hashes: Rc<Vec<BlockHash>>,
    /// The client has received the first token.
    pub(crate) first_token_received: bool,
    /// The client has received the final answer, or has given up.
    pub(crate) done: bool,
}

/// All tries that a node has not completed yet, by node and by the node's request number.
pub(crate) type Tries = BTreeMap<(usize, RequestNumber), Try>;

/// The request id of a try in the record.
pub(crate) fn request_id(request_number: u64, retry: u32) -> String {
    match retry {
        0 => format!("c{request_number}"),
        _ => format!("c{request_number}~{retry}"),
    }
}
