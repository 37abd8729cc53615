//! The text form of the preset in force on the platform.

use crate::ConfigError;
use crate::section::SectionFile;
use crate::section::SectionReader;
use zinniahatch_route::ServingPreset;

/// Key in the platform's store that holds the one preset in force.
pub const PRESET_KEY: &str = "zinniahatch/preset";

/// Reads a preset, as operators write it into a file and as it lies in the store.
///
/// # Errors
///
/// Names file, section, key and what would be right.
pub fn parse_serving_preset(file: &str, text: &str) -> Result<ServingPreset, ConfigError> {
    let parsed = SectionFile::parse(file, text)?;
    let sections = parsed.of_kinds(&["preset"])?;
    let [section] = sections else {
        return Err(ConfigError::new(
            file,
            "preset",
            "-",
            "exactly one preset is needed",
            "write one section [preset NAME]",
        ));
    };
    if section.name.is_empty() {
        return Err(section.error("-", "the preset has no name", "write [preset NAME]"));
    }
    let ordinary = ServingPreset::default();
    let preset = ServingPreset {
        name: section.name.clone(),
        revision: section.number("revision", Some(0))?,
        goal_margin: ratio(section, "goal_margin", ordinary.goal_margin, 0.1, 2.0)?,
        least_wait: ratio(section, "least_wait", ordinary.least_wait, 0.0, 2.0)?,
        away_gain: ratio(section, "away_gain", ordinary.away_gain, 0.0, 2.0)?,
        urgent_favour: ratio(section, "urgent_favour", ordinary.urgent_favour, 1.0, 4.0)?,
    };
    section.finish()?;
    Ok(preset)
}

fn ratio(
    section: &SectionReader,
    key: &str,
    default: f64,
    least: f64,
    most: f64,
) -> Result<f64, ConfigError> {
    let value: f64 = section.number(key, Some(default))?;
    if (least..=most).contains(&value) {
        return Ok(value);
    }
    Err(section.error(
        key,
        &format!("{value} is out of range"),
        &format!("write a number from {least} to {most}"),
    ))
}

/// Writes a preset as [`parse_serving_preset`] reads it.
pub fn format_serving_preset(preset: &ServingPreset) -> String {
    format!(
        "[preset {}]\nrevision = {}\ngoal_margin = {}\nleast_wait = {}\naway_gain = {}\n\
         urgent_favour = {}\n",
        preset.name,
        preset.revision,
        preset.goal_margin,
        preset.least_wait,
        preset.away_gain,
        preset.urgent_favour
    )
}
