//! A reader for the sections of an INI file that detects unknown keys.

use crate::ConfigError;
use crate::units::parse_duration;
use ini::Ini;
use std::cell::RefCell;
use std::str::FromStr;
use zinniahatch_base::prelude::*;

/// The sections of one file.
pub(crate) struct SectionFile {
    file: Box<str>,
    sections: Vec<SectionReader>,
}

/// One section with its kind, its name and its keys.
///
/// `[service register-llm]` has the kind `service` and the name `register-llm`.
pub(crate) struct SectionReader {
    file: Box<str>,
    pub(crate) title: Box<str>,
    pub(crate) kind: Box<str>,
    pub(crate) name: Box<str>,
    pairs: BTreeMap<Box<str>, Box<str>>,
    /// Keys that were read so far; [`SectionReader::finish`] reports any other key as unknown.
    read_keys: RefCell<BTreeSet<Box<str>>>,
}

impl SectionFile {
    pub(crate) fn parse(file: &str, text: &str) -> Result<Self, ConfigError> {
        let parsed = Ini::load_from_str_noescape(text).map_err(|error| {
            ConfigError::new(
                file,
                "-",
                "-",
                &error.to_string(),
                "write INI: [section], key = value",
            )
        })?;
        let mut sections = Vec::new();
        let mut titles = BTreeSet::new();
        for (title, properties) in &parsed {
            let Some(title) = title else {
                if let Some((key, _)) = properties.iter().next() {
                    return Err(ConfigError::new(
                        file,
                        "-",
                        key,
                        "is outside any section",
                        "move it below a [section]",
                    ));
                }
                continue;
            };
            if !titles.insert(title.to_owned()) {
                return Err(ConfigError::new(
                    file,
                    title,
                    "-",
                    "the section occurs twice",
                    "merge the two",
                ));
            }
            sections.push(SectionReader::build(file, title, properties)?);
        }
        Ok(Self {
            file: file.into(),
            sections,
        })
    }

    /// Returns the sections after checking that each is of one of the given kinds.
    pub(crate) fn of_kinds(&self, kinds: &[&str]) -> Result<&[SectionReader], ConfigError> {
        for section in &self.sections {
            if kinds.contains(&&*section.kind) {
                continue;
            }
            let remedy = format!("the sections of this file are: {}", kinds.join(", "));
            return Err(ConfigError::new(
                &self.file,
                &section.title,
                "-",
                "unknown section",
                &remedy,
            ));
        }
        Ok(&self.sections)
    }

    /// Returns the section with this title, which must exist.
    pub(crate) fn single(&self, title: &str) -> Result<&SectionReader, ConfigError> {
        self.optional(title).ok_or_else(|| {
            ConfigError::new(&self.file, title, "-", "the section is missing", "add it")
        })
    }

    pub(crate) fn optional(&self, title: &str) -> Option<&SectionReader> {
        self.sections
            .iter()
            .find(|section| &*section.title == title)
    }
}

impl SectionReader {
    fn build(file: &str, title: &str, properties: &ini::Properties) -> Result<Self, ConfigError> {
        let (kind, name) = title.split_once(' ').unwrap_or((title, ""));
        let mut pairs = BTreeMap::new();
        for (key, value) in properties {
            if pairs
                .insert(Box::from(key), Box::from(value.trim()))
                .is_some()
            {
                return Err(ConfigError::new(
                    file,
                    title,
                    key,
                    "the key occurs twice",
                    "keep one",
                ));
            }
        }
        Ok(Self {
            file: file.into(),
            title: title.into(),
            kind: kind.into(),
            name: name.trim().into(),
            pairs,
            read_keys: RefCell::new(BTreeSet::new()),
        })
    }

    pub(crate) fn text(&self, key: &str) -> Result<Box<str>, ConfigError> {
        self.optional_text(key)
            .ok_or_else(|| self.error(key, "the key is missing", "add it"))
    }

    pub(crate) fn optional_text(&self, key: &str) -> Option<Box<str>> {
        self.read_keys.borrow_mut().insert(key.into());
        self.pairs
            .get(key)
            .filter(|value| !value.is_empty())
            .cloned()
    }

    pub(crate) fn number<T: FromStr>(
        &self,
        key: &str,
        default: Option<T>,
    ) -> Result<T, ConfigError> {
        match (self.optional_text(key), default) {
            (Some(value), _) => value.parse().map_err(|_| {
                self.error(
                    key,
                    &format!("`{value}` is not a number of the right range"),
                    "write a plain number without a unit",
                )
            }),
            (None, Some(default)) => Ok(default),
            (None, None) => Err(self.error(key, "the key is missing", "add it, a plain number")),
        }
    }

    pub(crate) fn duration(
        &self,
        key: &str,
        default: Option<Duration>,
    ) -> Result<Duration, ConfigError> {
        match (self.optional_text(key), default) {
            (Some(value), _) => parse_duration(&value)
                .map_err(|remedy| self.error(key, &format!("`{value}` is not a duration"), remedy)),
            (None, Some(default)) => Ok(default),
            (None, None) => Err(self.error(key, "the key is missing", "add it, such as 250ms")),
        }
    }

    /// Reads a share between 0 and 1.
    pub(crate) fn share(&self, key: &str, default: Option<f64>) -> Result<f64, ConfigError> {
        let share: f64 = self.number(key, default)?;
        if (0.0..=1.0).contains(&share) {
            return Ok(share);
        }
        Err(self.error(
            key,
            &format!("{share} is not a share"),
            "write a number between 0 and 1",
        ))
    }

    pub(crate) fn choice<T>(
        &self,
        key: &str,
        names: &str,
        parse: impl Fn(&str) -> Option<T>,
        default: Option<T>,
    ) -> Result<T, ConfigError> {
        match (self.optional_text(key), default) {
            (Some(value), _) => parse(&value).ok_or_else(|| {
                self.error(
                    key,
                    &format!("`{value}` is not known"),
                    &format!("write one of: {names}"),
                )
            }),
            (None, Some(default)) => Ok(default),
            (None, None) => {
                Err(self.error(key, "the key is missing", &format!("write one of: {names}")))
            }
        }
    }

    pub(crate) fn list(&self, key: &str) -> Vec<Box<str>> {
        let Some(value) = self.optional_text(key) else {
            return Vec::new();
        };
        value
            .split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty())
            .map(Box::from)
            .collect()
    }

    /// Returns all pairs, for sections whose keys are names; counts every key as known.
    pub(crate) fn pairs(&self) -> impl Iterator<Item = (&str, &str)> {
        self.pairs.iter().map(|(key, value)| {
            self.read_keys.borrow_mut().insert(key.clone());
            (&**key, &**value)
        })
    }

    /// Checks that the section has no key that was never read, which is an unknown key.
    pub(crate) fn finish(&self) -> Result<(), ConfigError> {
        let read_keys = self.read_keys.borrow();
        for key in self.pairs.keys() {
            if read_keys.contains(key) {
                continue;
            }
            let known: Vec<&str> = read_keys.iter().map(|name| &**name).collect();
            let remedy = format!("the keys of this section are: {}", known.join(", "));
            return Err(self.error(key, "unknown key", &remedy));
        }
        Ok(())
    }

    pub(crate) fn error(&self, key: &str, problem: &str, remedy: &str) -> ConfigError {
        ConfigError::new(&self.file, &self.title, key, problem, remedy)
    }
}
