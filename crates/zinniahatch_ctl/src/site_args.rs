//! Arguments of the commands for a site: a system that runs on the users' platform.

use crate::args::ReportArgs;
use argh::FromArgs;

/// a system on the users' platform, driven through the platform's store
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "site")]
pub(crate) struct SiteArgs {
    /// the store's address, IP:port (default: the variable `ZINNIA_STORE`)
    #[argh(option)]
    pub(crate) store: Option<String>,
    #[argh(subcommand)]
    pub(crate) command: SiteCommand,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub(crate) enum SiteCommand {
    Show(SiteShowArgs),
    Switch(SiteSwitchArgs),
    Report(ReportArgs),
}

/// show the preset in force
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "preset")]
pub(crate) struct SiteShowArgs {}

/// put a preset in force everywhere
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "switch")]
pub(crate) struct SiteSwitchArgs {
    /// the file with the preset, INI
    #[argh(positional)]
    pub(crate) file: String,
    /// switch only if this preset is in force (default: whichever is)
    #[argh(option)]
    pub(crate) from: Option<String>,
}

/// show what happened to a request, from the decision logs of the nodes
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
pub(crate) struct ExplainArgs {
    /// the request's id
    #[argh(positional)]
    pub(crate) request: String,
    /// log files of any nodes; none reads the standard input
    #[argh(positional)]
    pub(crate) files: Vec<String>,
}

/// count requests that were not answered completely and in time, by cause, from the decision logs
/// of all nodes
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "losses")]
pub(crate) struct LossesArgs {
    /// what to count by, of: route, region, window, cause (default: route,region,cause)
    #[argh(option, default = "String::from(\"route,region,cause\")")]
    pub(crate) by: String,
    /// seconds of a window (default: 2)
    #[argh(option, default = "2")]
    pub(crate) window: u64,
    /// table, json or csv (default: table)
    #[argh(option, default = "String::from(\"table\")")]
    pub(crate) format: String,
    /// log files of all nodes; none reads the standard input
    #[argh(positional)]
    pub(crate) files: Vec<String>,
}
