//! `zinniahatchd`, the daemon that runs on every entry VM.

use argh::FromArgs;
use std::process::ExitCode;

/// Serves callers, operators and other nodes on one entry VM.
#[derive(FromArgs)]
struct DaemonArgs {
    /// the settings file; where it is left out, the platform names it in the environment
    #[argh(option)]
    config: Option<String>,
    /// only check the settings file
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args: DaemonArgs = argh::from_env();
    match zinniahatch_daemon::run_daemon(args.config, args.check) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("zinniahatchd: {error}");
            ExitCode::FAILURE
        }
    }
}
