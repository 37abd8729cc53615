//! Sparse histograms of delays with logarithmic buckets.

use zinniahatch_base::prelude::*;

/// Buckets per doubling of the delay; with eight, a quantile is at most about 9 % too high.
const BUCKETS_PER_DOUBLING: f64 = 8.0;
/// Upper end of the first bucket, in microseconds; shorter delays share it.
const FIRST_BUCKET_MICROS: f64 = 100.0;

domain! {
    /// Counts of delays by bucket; empty buckets are not stored.
    #[derive(Default)]
    pub struct DelayHistogram {
        /// Count by bucket.
        pub buckets: BTreeMap<u16, u64>,
    }
}

impl DelayHistogram {
    /// Counts a delay.
    pub fn record(&mut self, delay: Duration) {
        *self.buckets.entry(bucket_index(delay)).or_default() += 1;
    }

    /// Adds the counts of another histogram.
    pub fn merge(&mut self, other: &Self) {
        for (bucket, count) in &other.buckets {
            *self.buckets.entry(*bucket).or_default() += count;
        }
    }

    /// Returns how many delays were counted.
    pub fn count(&self) -> u64 {
        self.buckets.values().sum()
    }

    /// Returns a quantile as the upper end of its bucket, or `None` if nothing was counted.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut delays = zinniahatch_report::DelayHistogram::default();
    /// delays.record(Duration::from_millis(10));
    /// let median = delays.quantile(0.5).unwrap();
    /// assert!(median >= Duration::from_millis(10) && median < Duration::from_millis(11));
    /// ```
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        let total = self.count();
        if total == 0 {
            return None;
        }
        let rank = (quantile * total as f64).ceil().max(1.0) as u64;
        let mut seen = 0;
        for (bucket, count) in &self.buckets {
            seen += count;
            if seen >= rank {
                return Some(bucket_upper_end(*bucket));
            }
        }
        None
    }
}

fn bucket_index(delay: Duration) -> u16 {
    let micros = delay.as_micros() as f64;
    if micros <= FIRST_BUCKET_MICROS {
        return 0;
    }
    ((micros / FIRST_BUCKET_MICROS).log2() * BUCKETS_PER_DOUBLING).ceil() as u16
}

fn bucket_upper_end(bucket: u16) -> Duration {
    let micros = FIRST_BUCKET_MICROS * (f64::from(bucket) / BUCKETS_PER_DOUBLING).exp2();
    Duration::from_micros(micros as u64)
}
