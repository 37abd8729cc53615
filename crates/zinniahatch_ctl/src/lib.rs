//! The command-line tool of operators and managers.

mod args;
mod client;
mod commands;
mod directory_of_parts;
mod error;
mod explain;
mod log_lines;
mod losses;
mod report;
mod site;
mod site_args;
mod table;

pub use args::CtlArgs;
pub use commands::run;
pub use directory_of_parts::read_parts;
pub use error::CtlError;
