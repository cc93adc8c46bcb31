//! Sockets between the nodes of a fleet, as small as can be: UDP for what fits into a datagram, TCP on
//! the same port for whole texts. Everything is bounded: sizes, times, and how many texts are handed
//! out at once.

mod udp;
mod whole;

pub use udp::{Came, Udp, Waker};
pub use whole::{fetch, order, Whole, MAX_ORDER, MAX_TEXT};
