//! `zinnia-lab`, the test side: never shipped to users' VMs.

use argh::FromArgs;
use std::process::ExitCode;
use std::time::Duration;
use zinniahatch_lab::experiments;
use zinniahatch_lab::experiments::faults::FaultKind;
use zinniahatch_lab::experiments::faults::FaultRun;
use zinniahatch_lab::soak::ReplicaAnnouncements;
use zinniahatch_lab::soak::SoakRun;

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
    Site(SiteArgs),
    Up(UpArgs),
    Experiment(ExperimentArgs),
    Soak(SoakArgs),
}

/// random faults on real processes, promises checked meanwhile; the last line is a JSON object with
/// "violations"
#[derive(FromArgs)]
#[argh(subcommand, name = "soak")]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a switch of the command line"
)]
struct SoakArgs {
    /// the first seed (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// how many seeds, one after the other (default: 1)
    #[argh(option, default = "1")]
    seeds: u64,
    /// seconds in which faults begin, for each seed (default: 12)
    #[argh(option, default = "12")]
    seconds: u64,
    /// entry VMs in each of three regions (default: 2)
    #[argh(option, default = "2")]
    entries: usize,
    /// callers at once (default: 12)
    #[argh(option, default = "12")]
    callers: usize,
    /// one more caller comes with a request that ends each replica which begins it
    #[argh(switch)]
    fatal: bool,
    /// let the store come back from an older copy
    #[argh(switch)]
    returns: bool,
    /// let replicas name rate limits
    #[argh(switch)]
    limits: bool,
    /// let replicas say in their answers that they leave, or ask for rest
    #[argh(switch)]
    notices: bool,
}

/// run a small site on the platform's protocol, with a kill and a planned stop
#[derive(FromArgs)]
#[argh(subcommand, name = "site")]
struct SiteArgs {}

/// one experiment; its last line is a JSON object with its figures and "violations"
#[derive(FromArgs)]
#[argh(subcommand, name = "experiment")]
struct ExperimentArgs {
    /// overhead, faults, policies, shares, spread, verdicts or control-cost
    #[argh(positional)]
    name: String,
    /// seed of every draw (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// seconds of each phase (default: the experiment's own)
    #[argh(option)]
    seconds: Option<u64>,
    /// one case alone
    #[argh(option)]
    only: Option<String>,
    /// factor on the load of the fault runs (default: 1)
    #[argh(option, default = "1.0")]
    scale: f64,
}

const EXPERIMENTS: &str = "overhead, faults, policies, shares, spread, verdicts, control-cost";

async fn run_experiment(args: ExperimentArgs) -> usize {
    println!("experiment {} with seed {}", args.name, args.seed);
    match args.name.as_str() {
        "overhead" => experiments::overhead::run(args.seconds.unwrap_or(5)).await,
        "faults" => {
            let phase = Duration::from_secs(args.seconds.unwrap_or(12));
            let only = match args
                .only
                .as_deref()
                .map(|word| (word, FaultKind::parse(word)))
            {
                Some((word, None)) => {
                    eprintln!("no fault `{word}`; the faults are: {}", FaultKind::WORDS);
                    return 1;
                }
                Some((_, kind)) => kind,
                None => None,
            };
            experiments::faults::run(
                &FaultRun {
                    seed: args.seed,
                    phase,
                    scale: args.scale,
                },
                only,
            )
            .await
        }
        "spread" => experiments::spread::run().await,
        "shares" => experiments::shares::run(args.seconds.unwrap_or(24)).await,
        "policies" => {
            experiments::policies::run(args.seed, args.seconds.unwrap_or(30), args.only.as_deref())
                .await
        }
        "verdicts" => experiments::verdicts::run(args.seed),
        "control-cost" => {
            experiments::control_cost::run(args.seconds.unwrap_or(20), args.only.as_deref()).await
        }
        other => {
            eprintln!("no experiment `{other}`; the experiments are: {EXPERIMENTS}");
            1
        }
    }
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
        LabCommand::Site(_) => zinniahatch_lab::site_demo::run().await,
        LabCommand::Up(up) => zinniahatch_lab::demo::run_up(&up.user, up.seconds, up.rate).await,
        LabCommand::Experiment(args) => run_experiment(args).await,
        LabCommand::Soak(args) => {
            let run = SoakRun {
                seed: args.seed,
                seeds: args.seeds,
                time: Duration::from_secs(args.seconds),
                entries: args.entries,
                callers: args.callers,
                crashing_request: args.fatal,
                store_restore: args.returns,
                announcements: ReplicaAnnouncements {
                    limits: args.limits,
                    notices: args.notices,
                },
            };
            zinniahatch_lab::soak::run(&run).await
        }
    };
    if violations == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
