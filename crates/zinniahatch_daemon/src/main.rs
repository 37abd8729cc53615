//! `zinniahatchd`, the daemon that runs on every entry VM.

use argh::FromArgs;
use std::process::ExitCode;
use zinniahatch_daemon::StartError;
use zinniahatch_daemon::run_daemon;
use zinniahatch_entry::HeldHangup;
use zinniahatch_entry::fail_writes_at_file_limit;

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
    // First, since a signal that comes before ends the process.
    let hangup = HeldHangup::hold();
    let file_limit = fail_writes_at_file_limit();
    let args: DaemonArgs = argh::from_env();
    let outcome = file_limit
        .and(hangup)
        .map_err(|error| StartError::Resource(error.to_string()))
        .and_then(|hangup| run_daemon(hangup, args.config, args.check));
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("zinniahatchd: {error}");
            ExitCode::FAILURE
        }
    }
}
