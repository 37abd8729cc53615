//! Test lab: test doubles of all external systems, load generation, experiments and a history checker.

pub mod checker;
pub mod cluster;
pub mod demo;
pub mod experiments;
pub mod history;
pub mod load;
pub mod operator;
pub mod relay;
pub mod retry_bound;
pub mod settings_gate;
pub mod site;
pub mod site_demo;
pub mod slow_reading;
pub mod soak;
pub mod test_doubles;
pub mod users;
