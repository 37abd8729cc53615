//! Execution of the commands.

use crate::CtlArgs;
use crate::CtlError;
use crate::args::AccountCommand;
use crate::args::AccountSetArgs;
use crate::args::ApplyArgs;
use crate::args::BootstrapArgs;
use crate::args::ConfigCommand;
use crate::args::CtlCommand;
use crate::args::PresetCommand;
use crate::client::AdminClient;
use crate::client::ConfigBody;
use crate::config_folder::check_parts;
use crate::config_folder::diff_parts;
use crate::config_folder::read_parts;
use crate::explain;
use crate::losses;
use crate::report;
use crate::site;
use crate::table::render;
use rand::RngExt;
use serde_json::Value;
use serde_json::json;
use zinniahatch_base::digest_text;
use zinniahatch_base::prelude::*;
use zinniahatch_change::ChangeError;
use zinniahatch_change::ChangeOutcome;
use zinniahatch_change::ChangeRequest;
use zinniahatch_change::ConfigUpdater;
use zinniahatch_platform::KvClient;

/// Runs a command and returns the text to print.
///
/// # Errors
///
/// If the command fails; [`CtlError::exit_code`] returns the exit code.
pub async fn run(args: CtlArgs) -> Result<String, CtlError> {
    let CtlArgs {
        node,
        token,
        format,
        command,
    } = args;
    let client = || AdminClient::new(node.clone(), token.clone());
    match command {
        CtlCommand::Site(args) => site::run(&format, args).await,
        CtlCommand::Explain(args) => explain::run(&args),
        CtlCommand::Losses(args) => losses::run(&args),
        CtlCommand::Digest(digest) => Ok(format!("{}\n", digest_text(&digest.text))),
        CtlCommand::Config(config) => match config.command {
            ConfigCommand::Check(check) => {
                let config = check_parts(&read_parts(&check.folder)?, check.preset.as_deref())?;
                Ok(format!(
                    "right: {} services, {} backends, {} accounts, {} presets\n",
                    config.services.len(),
                    config.backends.len(),
                    config.accounts.accounts.len(),
                    config.presets.len()
                ))
            }
            ConfigCommand::Diff(diff) => {
                let current: ConfigBody = client()?.get("config", &[]).await?;
                let wanted = read_parts(&diff.folder)?;
                let rows: Vec<Value> = diff_parts(&current.parts, &wanted)
                    .into_iter()
                    .map(|(change, part)| json!({"change": change, "part": part}))
                    .collect();
                if rows.is_empty() {
                    Ok("no difference\n".to_owned())
                } else {
                    render(&format, &rows)
                }
            }
            ConfigCommand::Apply(apply) => apply_folder(&client()?, &apply).await,
            ConfigCommand::Status(_) => nodes(&client()?, &format).await,
            ConfigCommand::History(_) => {
                let rows: Vec<Value> = client()?.get("history", &[]).await?;
                render(&format, &rows)
            }
            ConfigCommand::Bootstrap(bootstrap) => run_bootstrap(&bootstrap).await,
        },
        CtlCommand::Preset(preset) => run_preset(&client()?, &format, preset.command).await,
        CtlCommand::Account(account) => run_account(&client()?, &format, account.command).await,
        CtlCommand::Nodes(_) => nodes(&client()?, &format).await,
        CtlCommand::Backends(_) => {
            let rows: Vec<Value> = client()?.get("backends", &[]).await?;
            render(&format, &rows)
        }
        CtlCommand::Status(_) => {
            let status: Value = client()?.get("status", &[]).await?;
            if format == "json" {
                return Ok(serde_json::to_string_pretty(&status).unwrap_or_default() + "\n");
            }
            let pools = status["pools"].as_array().cloned().unwrap_or_default();
            Ok(
                render(&format, std::slice::from_ref(&status["brief"]))?
                    + &render(&format, &pools)?,
            )
        }
        CtlCommand::Report(args) => report::run(&client()?, &format, &args).await,
    }
}

async fn nodes(client: &AdminClient, format: &str) -> Result<String, CtlError> {
    let mut rows: Vec<Value> = client.get("cluster", &[]).await?;
    rows.sort_by_key(|row| row["node"].as_str().unwrap_or_default().to_owned());
    render(format, &rows)
}

async fn apply_folder(client: &AdminClient, args: &ApplyArgs) -> Result<String, CtlError> {
    let current: ConfigBody = client.get("config", &[]).await?;
    let wanted = read_parts(&args.folder)?;
    let mut parts = BTreeMap::new();
    for (change, name) in diff_parts(&current.parts, &wanted) {
        let text = if change == "removed" {
            None
        } else {
            wanted.get(&name).cloned()
        };
        parts.insert(name, text);
    }
    if parts.is_empty() && args.change.is_none() {
        return Ok(format!(
            "no difference; revision {} stays in force\n",
            current.revision
        ));
    }
    let req = ChangeRequest {
        change: args.change.clone().map_or_else(new_change_id, Box::from),
        expect_revision: args.expect_revision.unwrap_or(current.revision),
        preset: None,
        parts,
        check: false,
    };
    Ok(accepted(client.change("config", &req.change, &req).await?))
}

async fn run_bootstrap(args: &BootstrapArgs) -> Result<String, CtlError> {
    let parts = read_parts(&args.folder)?;
    check_parts(&parts, Some(&args.preset))?;
    let req = ChangeRequest {
        change: new_change_id(),
        expect_revision: 0,
        preset: Some(args.preset.as_str().into()),
        parts: parts
            .into_iter()
            .map(|(name, text)| (name, Some(text)))
            .collect(),
        check: false,
    };
    let updater = ConfigUpdater::new(KvClient::new(&args.store));
    match updater.apply(&req, "bootstrap", |_| None).await {
        Ok(ChangeOutcome::Accepted(revision)) => Ok(accepted(Some(revision))),
        Ok(ChangeOutcome::Checked) => Ok(accepted(None)),
        Ok(ChangeOutcome::Conflict(revision)) => Err(CtlError::Conflict(format!(
            "the store already contains revision {revision}; use `config apply`"
        ))),
        Ok(ChangeOutcome::Unknown) => Err(CtlError::Unknown(
            "the store's response was lost; run the command again".to_owned(),
        )),
        Err(ChangeError::Invalid(error)) => Err(CtlError::Config(error)),
        Err(ChangeError::StoreDown(error)) => Err(CtlError::Unreached(error.to_string())),
    }
}

async fn run_preset(
    client: &AdminClient,
    format: &str,
    command: PresetCommand,
) -> Result<String, CtlError> {
    let current: ConfigBody = client.get("config", &[]).await?;
    let name_of = |part: &str| part.strip_prefix("preset-").map(str::to_owned);
    match command {
        PresetCommand::List(_) => {
            let mut rows = Vec::new();
            for (part, text) in &current.parts {
                let Some(name) = name_of(part) else {
                    continue;
                };
                let title = text
                    .lines()
                    .find_map(|line| line.strip_prefix("title = "))
                    .unwrap_or_default();
                rows.push(
                    json!({"preset": name, "in_force": *name == *current.preset, "title": title}),
                );
            }
            render(format, &rows)
        }
        PresetCommand::Show(show) => current
            .parts
            .get(format!("preset-{}", show.name).as_str())
            .map(ToString::to_string)
            .ok_or_else(|| CtlError::Refused(format!("no preset `{}` exists", show.name))),
        PresetCommand::Switch(switch) => {
            let req = ChangeRequest {
                change: switch.change.map_or_else(new_change_id, Box::from),
                expect_revision: switch.expect_revision.unwrap_or(current.revision),
                preset: Some(switch.name.into()),
                parts: BTreeMap::new(),
                check: false,
            };
            Ok(accepted(client.change("config", &req.change, &req).await?))
        }
    }
}

async fn run_account(
    client: &AdminClient,
    format: &str,
    command: AccountCommand,
) -> Result<String, CtlError> {
    let accounts: BTreeMap<String, Value> = client.get("accounts", &[]).await?;
    let current: ConfigBody = client.get("config", &[]).await?;
    match command {
        AccountCommand::List(_) => {
            let rows: Vec<Value> = accounts
                .into_iter()
                .map(|(name, account)| json!({"account": name, "home": account["home"], "class": account["class"], "team": account["team"], "in_progress_limit": account["in_progress_limit"]}))
                .collect();
            render(format, &rows)
        }
        AccountCommand::Set(set) => {
            let change = new_change_id();
            let body = account_body(&set, &change, current.revision)?;
            Ok(accepted(client.change("accounts", &change, &body).await?))
        }
        AccountCommand::Remove(remove) => {
            let Some(known) = accounts.get(&remove.account) else {
                return Err(CtlError::Refused(format!(
                    "no account `{}` exists that this token may change",
                    remove.account
                )));
            };
            let change = new_change_id();
            let body = json!({
                "change": change, "expect_revision": remove.expect_revision.unwrap_or(current.revision),
                "account": remove.account, "home": known["home"], "class": known["class"], "team": known["team"], "remove": true
            });
            Ok(accepted(client.change("accounts", &change, &body).await?))
        }
    }
}

fn account_body(set: &AccountSetArgs, change: &str, revision: Revision) -> Result<Value, CtlError> {
    let mut callers = BTreeMap::new();
    for pair in &set.caller {
        let Some((name, digest)) = pair.split_once('=') else {
            return Err(CtlError::Refused(format!(
                "--caller {pair}: expected NAME=DIGEST, with the digest from `zinniactl digest KEY`"
            )));
        };
        callers.insert(name, digest);
    }
    Ok(json!({
        "change": change, "expect_revision": set.expect_revision.unwrap_or(revision),
        "account": set.account, "home": set.home, "class": set.class, "team": set.team,
        "in_progress_limit": set.in_progress_limit, "callers": callers
    }))
}

fn accepted(revision: Option<Revision>) -> String {
    match revision {
        Some(revision) => format!("accepted as revision {revision}\n"),
        None => "checked; nothing was changed\n".to_owned(),
    }
}

fn new_change_id() -> Box<str> {
    let number: u64 = rand::rng().random();
    format!("change-{number:016x}").into()
}
