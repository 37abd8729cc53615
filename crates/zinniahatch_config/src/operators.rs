//! Operators, their tokens and their roles.

use crate::ConfigError;
use crate::section::SectionFile;
use zinniahatch_base::prelude::*;

string_enum! {
    /// What an operator may do; each role includes those before it.
    pub enum OperatorRole { View = "view", Switch = "switch", Accounts = "accounts", All = "all" }
}

domain! {
    /// One operator.
    pub struct OperatorEntry {
        /// The operator's name.
        pub operator: OperatorId,
        /// What the operator may do.
        pub role: OperatorRole,
        /// The operator's team; empty means every team.
        pub team: Box<str>,
    }
}

/// Reads operators by the digest of their token.
pub(crate) fn parse(
    file: &str,
    text: &str,
) -> Result<BTreeMap<PartHash, OperatorEntry>, ConfigError> {
    let parsed = SectionFile::parse(file, text)?;
    let mut operators = BTreeMap::new();
    for section in parsed.of_kinds(&["operator"])? {
        let operator = OperatorEntry {
            operator: section.name.clone(),
            role: section.word("role", OperatorRole::NAMES, OperatorRole::parse, None)?,
            team: section.maybe("team").unwrap_or_default(),
        };
        operators.insert(section.text("token_digest")?, operator);
        section.finish()?;
    }
    Ok(operators)
}
