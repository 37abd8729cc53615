//! The complete configuration of one revision, parsed from its parts.

use crate::AccountTable;
use crate::BackendEntry;
use crate::ConfigError;
use crate::ConfigHead;
use crate::OperatorEntry;
use crate::PresetEntry;
use crate::PriceEntry;
use crate::ServiceEntry;
use crate::TopologyTable;
use crate::checks;
use crate::operators;
use crate::prices;
use crate::services;
use zinniahatch_base::prelude::*;

/// The texts of the configuration parts by part name.
pub type PartTexts = BTreeMap<Box<str>, Box<str>>;

/// The complete configuration of one revision; immutable and shared by reference.
#[derive(Clone, Debug, Default)]
pub struct ClusterConfig {
    /// The revision.
    pub revision: Revision,
    /// The name of the preset in force.
    pub preset_name: PresetId,
    /// Regions and the links between them.
    pub topology: TopologyTable,
    /// Services by name.
    pub services: BTreeMap<ServiceId, ServiceEntry>,
    /// Backend servers by name.
    pub backends: BTreeMap<ReplicaId, BackendEntry>,
    /// Client accounts and callers.
    pub accounts: AccountTable,
    /// Operators by the digest of their token.
    pub operators: BTreeMap<PartHash, OperatorEntry>,
    /// Prices by service.
    pub prices: BTreeMap<ServiceId, PriceEntry>,
    /// Presets by name.
    pub presets: BTreeMap<PresetId, PresetEntry>,
}

impl ClusterConfig {
    /// Parses and validates a complete configuration.
    ///
    /// # Errors
    ///
    /// Returns the first problem with its file, section, key and remedy.
    pub fn build(head: &ConfigHead, texts: &PartTexts) -> Result<Self, ConfigError> {
        let mut config = Self {
            revision: head.revision,
            preset_name: head.preset.clone(),
            ..Self::default()
        };
        for (name, text) in texts {
            config.add_part(name, text)?;
        }
        checks::check(&config)?;
        Ok(config)
    }

    fn add_part(&mut self, name: &str, text: &str) -> Result<(), ConfigError> {
        match name {
            "topology" => self.topology = TopologyTable::parse(name, text)?,
            "services" => self.services = services::parse_services(name, text)?,
            "backends" => self.backends = services::parse_backends(name, text)?,
            "operators" => self.operators = operators::parse(name, text)?,
            "prices" => self.prices = prices::parse(name, text)?,
            _ if name.starts_with("accounts") => self.accounts.add(name, text)?,
            _ => {
                let Some(preset) = name.strip_prefix("preset-") else {
                    return Err(ConfigError::new(
                        name,
                        "-",
                        "-",
                        "unknown part",
                        "the parts are: topology, services, backends, accounts, operators, prices, preset-NAME",
                    ));
                };
                self.presets
                    .insert(preset.into(), PresetEntry::parse(name, text)?);
            }
        }
        Ok(())
    }

    /// Returns the preset in force.
    ///
    /// # Panics
    ///
    /// Never: [`ClusterConfig::build`] rejects a head whose preset is missing.
    pub fn preset(&self) -> &PresetEntry {
        &self.presets[&self.preset_name]
    }

    /// Returns a service's backend servers in a data centre.
    pub fn backends_in<'a>(
        &'a self,
        service: &'a str,
        data_centre: &'a str,
    ) -> impl Iterator<Item = (&'a ReplicaId, &'a BackendEntry)> {
        self.backends.iter().filter(move |(_, backend)| {
            &*backend.service == service && &*backend.data_centre == data_centre
        })
    }
}
