//! The daemon: it pumps sockets into the tables and does the duties that the tables give it.

mod clock;
mod counts;
mod directory;
mod logging;
mod orders;
mod polls;
mod pump;
mod run;
mod stop;
mod transport;
mod watch;

pub use run::StartError;
pub use run::run_daemon;
