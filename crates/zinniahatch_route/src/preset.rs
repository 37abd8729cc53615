//! The preset in force: how readily requests are admitted and sent to other regions.
//!
//! The desired state defines what is permitted (routes, homes, limits, time-outs). A preset only
//! affects how the gateway chooses among the permitted options, so the two never contradict each
//! other.

use zinniahatch_base::prelude::*;

domain! {
    /// A named set of tuning parameters.
    pub struct ServingPreset {
        /// Its name.
        pub name: PresetId,
        /// Number of the switch that put it in force; it only increases.
        pub revision: Revision,
        /// Fraction of the remaining latency target, after the time spent and the round trip to
        /// another region, that the expected time of an admitted request may take up.
        pub goal_margin: f64,
        /// Wait that every request is allowed, as a fraction of its latency target.
        pub least_wait: f64,
        /// A late request is sent to another region if the expected time there, as a fraction of
        /// that in the own region, is below this value.
        pub away_gain: f64,
        /// Latency target used at admission of urgent routes, as a multiple of the actual one.
        pub urgent_favour: f64,
    }
}

impl Default for ServingPreset {
    /// Returns the preset for normal operation, in force until an operator selects another.
    ///
    /// A margin of 0.5 leaves room for what the estimate does not include, above all what other
    /// nodes sent in the last tenth of a second. On an overloaded site of 71 nodes, 7,975 of
    /// 12,688 long summaries began within their latency target with a margin of 0.9 and a least
    /// wait of 0.4, 9,080 with 0.7 and 0.2, and 9,714 with 0.55 and 0.1, while 652, 740 and 835
    /// were refused. A replica is fully used with a short queue as well as with a long one. A long
    /// prompt cannot meet the target even on an idle replica, and without an allowed wait it would
    /// be refused at any load. Sending a request away must gain a fifth, because the estimate for
    /// another region is older than the local one.
    fn default() -> Self {
        Self {
            name: "ordinary".into(),
            revision: 0,
            goal_margin: 0.5,
            least_wait: 0.1,
            away_gain: 0.8,
            urgent_favour: 1.25,
        }
    }
}
