//! The command-line tool of operators and managers.

mod args;
mod client;
mod commands;
mod config_folder;
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
pub use config_folder::read_parts;
pub use error::CtlError;
