//! Sockets between the nodes of a fleet, as small as can be: UDP for what fits into a datagram, TCP on
//! the same port for whole texts. Everything is bounded: sizes, times, and how many texts are handed
//! out at once.

mod stream;
mod udp;

pub use stream::{fetch, order, StreamServer, MAX_ORDER_BYTES, MAX_TEXT_BYTES};
pub use udp::{ReceiveEvent, Udp, Waker};
