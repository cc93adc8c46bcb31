//! The rules of the service that invalid settings can violate, as they are named in error messages.

pub(crate) const NO_REQUEST_LOST: &str = "no request is lost";
pub(crate) const NO_EFFECT_TWICE: &str = "no effect happens twice";
pub(crate) const DRAINS_RESPECTED: &str = "drains are respected";
pub(crate) const COLD_ENGINES_PROTECTED: &str = "cold engines are not overloaded";
pub(crate) const NO_RESERVATION_LEFT: &str = "no reservation is left behind";
