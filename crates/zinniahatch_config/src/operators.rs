//! Operators, their tokens and their roles.

use crate::ConfigError;
use crate::section::SectionFile;
use zinniahatch_base::prelude::*;

string_enum! {
    /// The permissions of an operator; each role includes those before it.
    pub enum OperatorRole { View = "view", Switch = "switch", Accounts = "accounts", All = "all" }
}

domain! {
    /// One operator.
    pub struct OperatorEntry {
        /// The operator's name.
        pub operator: OperatorId,
        /// The operator's role.
        pub role: OperatorRole,
        /// The operator's team; empty means every team.
        pub team: Box<str>,
    }
}

/// Parses the operators, keyed by the digest of their token.
pub(crate) fn parse(
    file: &str,
    text: &str,
) -> Result<BTreeMap<PartHash, OperatorEntry>, ConfigError> {
    let parsed = SectionFile::parse(file, text)?;
    let mut operators = BTreeMap::new();
    for section in parsed.of_kinds(&["operator"])? {
        let operator = OperatorEntry {
            operator: section.name.clone(),
            role: section.choice("role", OperatorRole::NAMES, OperatorRole::parse, None)?,
            team: section.optional_text("team").unwrap_or_default(),
        };
        operators.insert(section.text("token_digest")?, operator);
        section.finish()?;
    }
    Ok(operators)
}
