//! Experiments; each prints its results and, as its last line, a JSON object with `violations`.

pub mod control_cost;
mod count_trace;
pub mod faults;
pub mod figures;
pub mod overhead;
pub mod policies;
pub mod shares;
pub mod spread;
pub mod verdicts;
