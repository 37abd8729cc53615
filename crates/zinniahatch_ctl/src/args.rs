//! Command-line arguments.

use crate::site_args::ExplainArgs;
use crate::site_args::LossesArgs;
use crate::site_args::SiteArgs;
use argh::FromArgs;

/// Operates zinniahatch: configuration, presets, accounts, members, reports.
#[derive(FromArgs, Debug)]
pub struct CtlArgs {
    /// a node's address, IP:port (default: the variable `ZINNIA_NODE`)
    #[argh(option)]
    pub(crate) node: Option<String>,
    /// the operator's token (default: the variable `ZINNIA_TOKEN`)
    #[argh(option)]
    pub(crate) token: Option<String>,
    /// table, json or csv (default: table); a report also takes html
    #[argh(option, default = "String::from(\"table\")")]
    pub(crate) format: String,
    #[argh(subcommand)]
    pub(crate) command: CtlCommand,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub(crate) enum CtlCommand {
    Config(ConfigArgs),
    Preset(PresetArgs),
    Account(AccountArgs),
    Nodes(NodesArgs),
    Backends(BackendsArgs),
    Status(StatusArgs),
    Report(ReportArgs),
    Digest(DigestArgs),
    Site(SiteArgs),
    Explain(ExplainArgs),
    Losses(LossesArgs),
}

/// the configuration and its changes
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "config")]
pub(crate) struct ConfigArgs {
    #[argh(subcommand)]
    pub(crate) command: ConfigCommand,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub(crate) enum ConfigCommand {
    Check(CheckArgs),
    Diff(DiffArgs),
    Apply(ApplyArgs),
    Status(ConfigStatusArgs),
    History(HistoryArgs),
    Bootstrap(BootstrapArgs),
}

/// check a folder of INI files without changing anything
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub(crate) struct CheckArgs {
    #[argh(positional)]
    pub(crate) folder: String,
    /// the preset in force to check with (default: the first)
    #[argh(option)]
    pub(crate) preset: Option<String>,
}

/// show which parts of a folder differ from those in force
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "diff")]
pub(crate) struct DiffArgs {
    #[argh(positional)]
    pub(crate) folder: String,
}

/// put the parts of a folder in force
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "apply")]
pub(crate) struct ApplyArgs {
    #[argh(positional)]
    pub(crate) folder: String,
    /// the revision that the change was made against (default: the one in force at the node)
    #[argh(option)]
    pub(crate) expect_revision: Option<u64>,
    /// the id of an earlier try whose outcome was unknown
    #[argh(option)]
    pub(crate) change: Option<String>,
}

/// show which node has which revision, and since when
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub(crate) struct ConfigStatusArgs {}

/// show the last changes
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "history")]
pub(crate) struct HistoryArgs {}

/// write the first configuration straight into an empty store
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "bootstrap")]
pub(crate) struct BootstrapArgs {
    #[argh(positional)]
    pub(crate) folder: String,
    /// the store's address, http://IP:port
    #[argh(option)]
    pub(crate) store: String,
    /// the preset to put in force
    #[argh(option)]
    pub(crate) preset: String,
}

/// presets
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "preset")]
pub(crate) struct PresetArgs {
    #[argh(subcommand)]
    pub(crate) command: PresetCommand,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub(crate) enum PresetCommand {
    List(PresetListArgs),
    Show(PresetShowArgs),
    Switch(PresetSwitchArgs),
}

/// list the presets and mark the one in force
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "list")]
pub(crate) struct PresetListArgs {}

/// show a preset's text
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "show")]
pub(crate) struct PresetShowArgs {
    #[argh(positional)]
    pub(crate) name: String,
}

/// put a preset in force
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "switch")]
pub(crate) struct PresetSwitchArgs {
    #[argh(positional)]
    pub(crate) name: String,
    /// the revision that the switch was decided against (default: the one in force at the node)
    #[argh(option)]
    pub(crate) expect_revision: Option<u64>,
    /// the id of an earlier try whose outcome was unknown
    #[argh(option)]
    pub(crate) change: Option<String>,
}

/// client accounts
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "account")]
pub(crate) struct AccountArgs {
    #[argh(subcommand)]
    pub(crate) command: AccountCommand,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub(crate) enum AccountCommand {
    List(AccountListArgs),
    Set(AccountSetArgs),
    Remove(AccountRemoveArgs),
}

/// list the accounts that the token may see
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "list")]
pub(crate) struct AccountListArgs {}

/// add or change an account
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "set")]
pub(crate) struct AccountSetArgs {
    #[argh(positional)]
    pub(crate) account: String,
    /// its home region
    #[argh(option)]
    pub(crate) home: String,
    /// its class, one of the preset's
    #[argh(option)]
    pub(crate) class: String,
    /// its team
    #[argh(option)]
    pub(crate) team: String,
    /// requests that it may have in progress on one node; 0 means no limit
    #[argh(option, default = "0")]
    pub(crate) in_progress_limit: u32,
    /// a caller and the digest of its API key, NAME=DIGEST; may be given several times
    #[argh(option)]
    pub(crate) caller: Vec<String>,
    /// the revision that the change was made against
    #[argh(option)]
    pub(crate) expect_revision: Option<u64>,
}

/// remove an account and its callers
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "remove")]
pub(crate) struct AccountRemoveArgs {
    #[argh(positional)]
    pub(crate) account: String,
    /// the revision that the change was made against
    #[argh(option)]
    pub(crate) expect_revision: Option<u64>,
}

/// list the entry VMs
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "nodes")]
pub(crate) struct NodesArgs {}

/// list the backend servers as one node sees them
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "backends")]
pub(crate) struct BackendsArgs {}

/// show one node's pools and links
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusArgs {}

/// report usage, cost and delays
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "report")]
pub(crate) struct ReportArgs {
    /// fields, separated by commas: account, caller, region, served, service, preset, result; on the
    /// platform the account is the route and the caller the data centre that received the request
    #[argh(option, default = "String::from(\"account\")")]
    pub(crate) by: String,
    /// first hour, counted from the epoch, or -N for N hours ago (default: -23)
    #[argh(option, default = "-23")]
    pub(crate) from: i64,
    /// last hour, likewise (default: 0, the current one)
    #[argh(option, default = "0")]
    pub(crate) until: i64,
}

/// print the digest under which a key or token is stored
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "digest")]
pub(crate) struct DigestArgs {
    #[argh(positional)]
    pub(crate) text: String,
}
