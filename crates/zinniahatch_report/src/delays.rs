//! Sparse histograms of delays with logarithmic buckets.

use zinniahatch_base::prelude::*;

/// Buckets for each doubling; eight keep a quantile within nine parts in a hundred.
const BUCKETS_PER_DOUBLING: f64 = 8.0;
/// Delays below this share one bucket, in microseconds.
const FLOOR_MICROS: f64 = 100.0;

domain! {
    /// Counts of delays by bucket; buckets without a delay take no space.
    #[derive(Default)]
    pub struct DelayHistogram {
        /// Count by bucket.
        pub buckets: BTreeMap<u16, u64>,
    }
}

impl DelayHistogram {
    /// Counts a delay.
    pub fn record(&mut self, delay: Duration) {
        *self.buckets.entry(bucket_of(delay)).or_default() += 1;
    }

    /// Adds the counts of another histogram.
    pub fn merge(&mut self, other: &Self) {
        for (bucket, count) in &other.buckets {
            *self.buckets.entry(*bucket).or_default() += count;
        }
    }

    /// Gives how many delays were counted.
    pub fn count(&self) -> u64 {
        self.buckets.values().sum()
    }

    /// Gives a quantile, as the upper end of its bucket, or `None` where nothing was counted.
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
                return Some(upper_end(*bucket));
            }
        }
        None
    }
}

fn bucket_of(delay: Duration) -> u16 {
    let micros = delay.as_micros() as f64;
    if micros <= FLOOR_MICROS {
        return 0;
    }
    ((micros / FLOOR_MICROS).log2() * BUCKETS_PER_DOUBLING).ceil() as u16
}

fn upper_end(bucket: u16) -> Duration {
    let micros = FLOOR_MICROS * (f64::from(bucket) / BUCKETS_PER_DOUBLING).exp2();
    Duration::from_micros(micros as u64)
}
