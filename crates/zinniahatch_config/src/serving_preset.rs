//! The text form of the serving preset in force on the platform.

use crate::ConfigError;
use crate::section::SectionFile;
use crate::section::SectionReader;
use zinniahatch_route::ServingPreset;

/// Key in the platform's store that holds the preset in force.
pub const PRESET_KEY: &str = "zinniahatch/preset";

/// Parses a preset in the text form used by operators' files and in the store.
///
/// # Errors
///
/// Returns the first problem with its file, section, key and remedy.
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
    let defaults = ServingPreset::default();
    let preset = ServingPreset {
        name: section.name.clone(),
        revision: section.number("revision", Some(0))?,
        goal_margin: number_in_range(section, "goal_margin", defaults.goal_margin, 0.1, 2.0)?,
        least_wait: number_in_range(section, "least_wait", defaults.least_wait, 0.0, 2.0)?,
        away_gain: number_in_range(section, "away_gain", defaults.away_gain, 0.0, 2.0)?,
        urgent_favour: number_in_range(section, "urgent_favour", defaults.urgent_favour, 1.0, 4.0)?,
    };
    section.finish()?;
    Ok(preset)
}

fn number_in_range(
    section: &SectionReader,
    key: &str,
    default: f64,
    min: f64,
    max: f64,
) -> Result<f64, ConfigError> {
    let value: f64 = section.number(key, Some(default))?;
    if (min..=max).contains(&value) {
        return Ok(value);
    }
    Err(section.error(
        key,
        &format!("{value} is out of range"),
        &format!("write a number from {min} to {max}"),
    ))
}

/// Formats a preset in the text form that [`parse_serving_preset`] reads.
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
