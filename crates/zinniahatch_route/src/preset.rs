//! The preset in force: how eagerly requests are admitted and sent away.
//!
//! The desired state says what may happen (routes, homes, limits, timeouts); a preset only says
//! how the gateway chooses among what may happen, so the two never contradict each other.

use zinniahatch_base::prelude::*;

domain! {
    /// A preset.
    pub struct ServingPreset {
        /// Its name.
        pub name: PresetId,
        /// Number of the switch that put it in force; it only rises.
        pub revision: Revision,
        /// Part of what is left of the goal, after the time spent and the way to another region, up to which
        /// the expected time of an admitted request may go.
        pub goal_margin: f64,
        /// Wait that every request may have, as a part of its goal.
        pub least_wait: f64,
        /// Expected time elsewhere, as a part of that at home, below which a late request goes
        /// away.
        pub away_gain: f64,
        /// Goal of urgent routes at admission, as a multiple of the real one.
        pub urgent_favour: f64,
    }
}

impl Default for ServingPreset {
    /// The preset for ordinary days, in force until an operator puts another in force.
    ///
    /// A margin of 0.5 leaves room for what the estimate cannot know, above all what other nodes sent in
    /// the last tenth of a second: on an overloaded site of 71 nodes, 7,975 of 12,688 long summaries
    /// began within their goal with a margin of 0.9 and a least wait of 0.4, 9,080 with 0.7 and 0.2,
    /// and 9,714 with 0.55 and 0.1, while 652, 740 and 835 were refused. A replica is busy with a
    /// short queue as with a long one. A long prompt cannot meet the goal even on an idle replica, and
    /// without a wait of its own it would be turned away at any load. Going away must gain a fifth,
    /// because the estimate for another region is older than the one for here.
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
