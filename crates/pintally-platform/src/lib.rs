//! The operators' platform protocol as state machines: bytes in, events for the host out.
//!
//! Nothing here reads a socket, a file or a clock, and nothing decides where a request goes. The
//! loop of `pintally-platform-node` carries the bytes.

mod answer;
mod ask;
mod config;
mod discovery;
mod outcome;
mod outgoing;

pub use answer::{AnswerReader, Progress};
pub use ask::{call, Ask, Call, Rejected};
pub use config::{Configuration, Limits};
pub use discovery::{Follower, Lines, List, Taken};
pub use outcome::{of_answer, of_transport, Phase};
pub use outgoing::{attempt_head, release, watch};

/// The most bytes of a message's body.
pub const MAX_BODY: usize = 256 << 10;
/// The most bytes of a message's head.
pub const MAX_HEAD: usize = 16 << 10;
