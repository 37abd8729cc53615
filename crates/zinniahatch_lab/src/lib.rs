//! The lab: stand-ins for everything outside, load, experiments, and the history checker.

pub mod checker;
pub mod cluster;
pub mod demo;
pub mod experiments;
pub mod history;
pub mod load;
pub mod operator;
pub mod relay;
pub mod site;
pub mod site_demo;
pub mod soak;
pub mod test_doubles;
pub mod users;
