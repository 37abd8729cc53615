//! A folder of INI files as parts of the configuration.

use crate::CtlError;
use std::fs;
use std::path::Path;
use zinniahatch_base::prelude::*;
use zinniahatch_config::ClusterConfig;
use zinniahatch_config::ConfigHead;
use zinniahatch_config::PartTexts;
use zinniahatch_config::split_accounts;

/// Reads a folder: each `NAME.ini` is a part, and `accounts.ini` is split into its shards.
///
/// # Errors
///
/// Names the file that cannot be read or understood.
pub fn read_parts(folder: &str) -> Result<PartTexts, CtlError> {
    let unread = |error: std::io::Error| CtlError::Refused(format!("{folder}: {error}"));
    let mut parts = PartTexts::new();
    for entry in fs::read_dir(Path::new(folder)).map_err(unread)? {
        let path = entry.map_err(unread)?.path();
        let (Some(name), Some("ini")) = (
            path.file_stem().and_then(|name| name.to_str()),
            path.extension().and_then(|name| name.to_str()),
        ) else {
            continue;
        };
        let text = fs::read_to_string(&path)
            .map_err(|error| CtlError::Refused(format!("{}: {error}", path.display())))?;
        if name != "accounts" {
            parts.insert(name.into(), text.into());
            continue;
        }
        for (shard, text) in split_accounts("accounts", &text)? {
            parts.insert(shard, text.into());
        }
    }
    if parts.is_empty() {
        return Err(CtlError::Refused(format!(
            "{folder}: there is no .ini file; write topology.ini, services.ini, backends.ini, accounts.ini, operators.ini, prices.ini and preset-NAME.ini"
        )));
    }
    Ok(parts)
}

/// Checks parts as the configuration of one revision.
pub(crate) fn check_parts(
    parts: &PartTexts,
    preset: Option<&str>,
) -> Result<ClusterConfig, CtlError> {
    let first = parts
        .keys()
        .find_map(|name| name.strip_prefix("preset-"))
        .unwrap_or_default();
    let head = ConfigHead {
        revision: 1,
        preset: preset.unwrap_or(first).into(),
        ..ConfigHead::default()
    };
    Ok(ClusterConfig::build(&head, parts)?)
}

/// Says which parts differ: added, changed, or missing in the folder.
pub(crate) fn compare(current: &PartTexts, wanted: &PartTexts) -> Vec<(&'static str, Box<str>)> {
    let mut lines = Vec::new();
    let names: BTreeSet<&Box<str>> = current.keys().chain(wanted.keys()).collect();
    for name in names {
        match (current.get(name), wanted.get(name)) {
            (None, Some(_)) => lines.push(("added", name.clone())),
            (Some(_), None) => lines.push(("removed", name.clone())),
            (Some(old), Some(new)) if old != new => lines.push(("changed", name.clone())),
            (Some(_), Some(_)) | (None, None) => {}
        }
    }
    lines
}
