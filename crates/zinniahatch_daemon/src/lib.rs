//! The daemon: it connects the sockets to the control tables and runs the background tasks of the
//! roles that the tables assign to this node.

mod clock;
mod counts;
mod directory;
mod lingering;
mod listen;
mod load_polls;
mod logging;
mod orders;
mod queued_appender;
mod run;
mod settings;
mod shutdown;
mod signals;
mod tasks;
mod ticks;
mod transport;
mod watch;

pub use run::StartError;
pub use run::run_daemon;
pub use settings::SettingsError;
