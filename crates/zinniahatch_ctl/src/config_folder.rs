//! The parts of a configuration, read from a folder of INI files.

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
/// If a file cannot be read or parsed; the error names it.
pub fn read_parts(folder: &str) -> Result<PartTexts, CtlError> {
    let read_error = |error: std::io::Error| CtlError::Refused(format!("{folder}: {error}"));
    let mut parts = PartTexts::new();
    for entry in fs::read_dir(Path::new(folder)).map_err(read_error)? {
        let path = entry.map_err(read_error)?.path();
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
            "{folder}: no .ini file found; expected topology.ini, services.ini, backends.ini, accounts.ini, operators.ini, prices.ini and preset-NAME.ini"
        )));
    }
    Ok(parts)
}

/// Validates parts as the configuration of one revision.
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

/// Returns the parts that differ: added, changed, or removed from the folder.
pub(crate) fn diff_parts(current: &PartTexts, wanted: &PartTexts) -> Vec<(&'static str, Box<str>)> {
    let mut changes = Vec::new();
    let names: BTreeSet<&Box<str>> = current.keys().chain(wanted.keys()).collect();
    for name in names {
        match (current.get(name), wanted.get(name)) {
            (None, Some(_)) => changes.push(("added", name.clone())),
            (Some(_), None) => changes.push(("removed", name.clone())),
            (Some(old), Some(new)) if old != new => changes.push(("changed", name.clone())),
            (Some(_), Some(_)) | (None, None) => {}
        }
    }
    changes
}
