//! Regions, their data centres and the delays between regions.

use crate::ConfigError;
use crate::section::SectionFile;
use zinniahatch_base::prelude::*;

/// One-way delay between two regions without a `[link]` section.
const DEFAULT_DELAY: Duration = Duration::from_millis(40);

domain! {
    /// One region.
    pub struct RegionEntry {
        /// The region's data centres.
        pub data_centres: Vec<DataCentreId>,
    }

    /// All regions and the links between them.
    #[derive(Default)]
    pub struct TopologyTable {
        /// Regions by name.
        pub regions: BTreeMap<RegionId, RegionEntry>,
        /// One-way delays between regions; each pair is stored in both orders.
        pub links: BTreeMap<(RegionId, RegionId), Duration>,
    }
}

impl TopologyTable {
    pub(crate) fn parse(file: &str, text: &str) -> Result<Self, ConfigError> {
        let parsed = SectionFile::parse(file, text)?;
        let mut table = Self::default();
        for section in parsed.of_kinds(&["region", "link"])? {
            if &*section.kind == "region" {
                let data_centres = section.list("data_centres");
                if data_centres.is_empty() {
                    return Err(section.error(
                        "data_centres",
                        "the region has none",
                        "name at least one, separated by commas",
                    ));
                }
                table
                    .regions
                    .insert(section.name.clone(), RegionEntry { data_centres });
            } else {
                let Some((one, other)) = section.name.split_once(' ') else {
                    return Err(section.error(
                        "-",
                        "a link needs two regions",
                        "write [link lisboa porto]",
                    ));
                };
                let delay = section.duration("one_way", None)?;
                table.links.insert((one.into(), other.into()), delay);
                table.links.insert((other.into(), one.into()), delay);
            }
            section.finish()?;
        }
        table.check(file)?;
        Ok(table)
    }

    fn check(&self, file: &str) -> Result<(), ConfigError> {
        for (one, other) in self.links.keys() {
            if self.regions.contains_key(one) {
                continue;
            }
            return Err(ConfigError::new(
                file,
                &format!("link {one} {other}"),
                "-",
                &format!("no region `{one}`"),
                "add a [region] section or correct the name",
            ));
        }
        Ok(())
    }

    /// Returns the region of a data centre.
    pub fn region_of(&self, data_centre: &str) -> Option<&RegionId> {
        self.regions
            .iter()
            .find(|(_, region)| {
                region
                    .data_centres
                    .iter()
                    .any(|name| &**name == data_centre)
            })
            .map(|(name, _)| name)
    }

    /// Returns the one-way delay between two regions.
    pub fn delay(&self, one: &str, other: &str) -> Duration {
        if one == other {
            return Duration::ZERO;
        }
        self.links
            .get(&(one.into(), other.into()))
            .copied()
            .unwrap_or(DEFAULT_DELAY)
    }
}
