//! Experiments: each prints its figures, and as its last line one JSON object with `violations`.

pub mod figures;
