//! Statistics of one block, and their spread over blocks.

use hdrhistogram::Histogram;

/// Latencies of one block in microseconds.
#[derive(Clone, Debug)]
pub struct Stats {
    /// Requests that were answered.
    pub answered: u64,
    /// Requests that were not answered or that failed.
    pub failed: u64,
    /// Median of the time to the first token.
    pub p50: f64,
    /// 99th percentile of the time to the first token.
    pub p99: f64,
    /// The maximum delay with which the load generator itself sent a request.
    pub own_lateness: f64,
}

impl Stats {
    pub(crate) fn of(histogram: &Histogram<u64>, failed: u64, own_lateness: u64) -> Stats {
        Stats {
            answered: histogram.len(),
            failed,
            p50: histogram.value_at_quantile(0.5) as f64,
            p99: histogram.value_at_quantile(0.99) as f64,
            own_lateness: own_lateness as f64,
        }
    }
}

/// The minimum, median and maximum of some values.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[allow(missing_docs)]
pub struct Spread {
    pub least: f64,
    pub median: f64,
    pub most: f64,
}

impl Spread {
    /// The spread of values; zeros if there are none.
    pub fn of(values: impl IntoIterator<Item = f64>) -> Spread {
        let mut values: Vec<f64> = values.into_iter().collect();
        values.sort_by(f64::total_cmp);
        match values.len() {
            0 => Spread::default(),
            n => Spread {
                least: values[0],
                median: (values[(n - 1) / 2] + values[n / 2]) / 2.0,
                most: values[n - 1],
            },
        }
    }
}

impl std::fmt::Display for Spread {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:.3} ({:.3} to {:.3})", self.median, self.least, self.most)
    }
}

#[cfg(test)]
mod tests;
