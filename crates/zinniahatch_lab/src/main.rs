//! `zinnia-lab`, the test side: never shipped to users' VMs.

use argh::FromArgs;
use std::process::ExitCode;

/// Runs the demonstration and the experiments.
#[derive(FromArgs)]
struct LabArgs {
    #[argh(subcommand)]
    command: LabCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum LabCommand {
    Demo(DemoArgs),
    Up(UpArgs),
}

/// one user's system, without load, to try the command line on
#[derive(FromArgs)]
#[argh(subcommand, name = "up")]
struct UpArgs {
    /// amiantis or aqsu (default: amiantis)
    #[argh(option, default = "String::from(\"amiantis\")")]
    user: String,
    /// how long it runs (default: 600)
    #[argh(option, default = "600")]
    seconds: u64,
    /// operations a second in each region (default: none)
    #[argh(option, default = "0.0")]
    rate: f64,
}

/// both users' systems for half a minute, with a preset switch and a planned stop
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
struct DemoArgs {}

#[tokio::main]
async fn main() -> ExitCode {
    let args: LabArgs = argh::from_env();
    let violations = match args.command {
        LabCommand::Demo(_) => zinniahatch_lab::demo::run_demo().await,
        LabCommand::Up(up) => zinniahatch_lab::demo::run_up(&up.user, up.seconds, up.rate).await,
    };
    if violations == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
