//! `zinnia-lab`, the command of the test harness; it is never shipped to users' VMs.

use argh::FromArgs;
use std::process::ExitCode;
use std::time::Duration;
use zinniahatch_lab::experiments;
use zinniahatch_lab::experiments::faults::FaultKind;
use zinniahatch_lab::experiments::faults::FaultRun;
use zinniahatch_lab::soak::DrawnFaults;
use zinniahatch_lab::soak::ReplicaAnnouncements;
use zinniahatch_lab::soak::ReplicaAnswers;
use zinniahatch_lab::soak::SoakRun;
use zinniahatch_lab::soak::USUAL_RETRY_SLACK;

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

/// random faults on real processes, with invariants checked throughout; the last line is a JSON object
/// with "violations"
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
    /// number of seeds, which run one after the other (default: 1)
    #[argh(option, default = "1")]
    seeds: u64,
    /// seconds during which faults begin, for each seed (default: 12)
    #[argh(option, default = "12")]
    seconds: u64,
    /// entry VMs in each of three regions (default: 2)
    #[argh(option, default = "2")]
    entries: usize,
    /// concurrent callers (default: 12)
    #[argh(option, default = "12")]
    callers: usize,
    /// add a caller that repeats a request which crashes each replica that runs it
    #[argh(switch)]
    fatal: bool,
    /// prompts of further callers share a part that crashes each replica that begins an answer on it
    #[argh(switch)]
    fatal_part: bool,
    /// draw silences of replicas that go on, beside planned work, in place of the other faults
    #[argh(switch)]
    silences: bool,
    /// restore the store from an older backup
    #[argh(switch)]
    returns: bool,
    /// let replicas announce rate limits
    #[argh(switch)]
    limits: bool,
    /// let replicas announce in their responses that they are leaving, or ask for backoff
    #[argh(switch)]
    notices: bool,
    /// let all replicas refuse for some time
    #[argh(switch)]
    refusals: bool,
    /// let replicas give their answers other forms, whole or broken off
    #[argh(switch)]
    forms: bool,
    /// let replicas of two software versions serve side by side, and replace the older one
    #[argh(switch)]
    versions: bool,
    /// kill replicas at short notice inside answers without a length, and read large answers slowly
    #[argh(switch)]
    ends: bool,
    /// retries that all nodes together may send in 10 s beyond a fifth of the requests (default: 54)
    #[argh(option, default = "USUAL_RETRY_SLACK")]
    retry_slack: f64,
}

/// a small site on the platform's protocol, with a killed entry VM and a planned stop
#[derive(FromArgs)]
#[argh(subcommand, name = "site")]
struct SiteArgs {}

/// one experiment; its last line is a JSON object with its results and "violations"
#[derive(FromArgs)]
#[argh(subcommand, name = "experiment")]
struct ExperimentArgs {
    /// overhead, faults, policies, shares, spread, verdicts or control-cost
    #[argh(positional)]
    name: String,
    /// seed of all random draws (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// seconds of each phase (default: the experiment's own)
    #[argh(option)]
    seconds: Option<u64>,
    /// run only this case
    #[argh(option)]
    only: Option<String>,
    /// factor on the rate of the load in the experiment "faults" (default: 1)
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
                    eprintln!("no fault `{word}`; the faults are: {}", FaultKind::NAMES);
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

/// one user's system, by default without load, on which to try zinniactl
#[derive(FromArgs)]
#[argh(subcommand, name = "up")]
struct UpArgs {
    /// amiantis or aqsu (default: amiantis)
    #[argh(option, default = "String::from(\"amiantis\")")]
    user: String,
    /// seconds that it runs (default: 600)
    #[argh(option, default = "600")]
    seconds: u64,
    /// operations per second in each region (default: none)
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
                crashing_part: args.fatal_part,
                faults: match (args.silences, args.ends) {
                    (true, _) => DrawnFaults::Silences,
                    (false, true) => DrawnFaults::Ends,
                    (false, false) => DrawnFaults::Usual,
                },
                store_restore: args.returns,
                announcements: ReplicaAnnouncements {
                    limits: args.limits,
                    notices: args.notices,
                },
                answers: ReplicaAnswers {
                    refusals: args.refusals,
                    forms: args.forms,
                    versions: args.versions,
                },
                retry_slack: args.retry_slack,
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
