//! The rules of the service that invalid settings can violate, as they are named in error messages.

pub(crate) const NO_REQUEST_LOST: &str = "no request is lost";
pub(crate) const NO_EFFECT_TWICE: &str = "no effect happens twice";
pub(crate) const DRAINS_RESPECTED: &str = "drains are kept";
pub(crate) const COLD_ENGINES_PROTECTED: &str = "a cold engine is not pushed over";
pub(crate) const NO_RESERVATION_LEFT: &str = "nothing is left pinned";
