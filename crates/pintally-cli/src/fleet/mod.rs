//! Commands on fleet-wide state: quotas, replicas, outlier detection, failover.

pub(crate) mod limits;
mod operator;
pub(crate) mod outliers;
pub(crate) mod replicas;
pub(crate) mod zones;
