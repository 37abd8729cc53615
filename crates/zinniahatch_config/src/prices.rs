//! The price list by service.

use crate::ConfigError;
use crate::section::SectionFile;
use crate::section::SectionReader;
use zinniahatch_base::prelude::*;

domain! {
    /// The prices of one service, in the currency of the price list.
    #[derive(Default)]
    pub struct PriceEntry {
        /// Price per million prompt tokens that are computed.
        pub input: f64,
        /// Price per million prompt tokens found in a cache.
        pub cached: f64,
        /// Price per million generated tokens.
        pub output: f64,
        /// Price per call, independent of its size.
        pub call: f64,
        /// Surcharge per call served outside its home region.
        pub egress: f64,
    }
}

impl PriceEntry {
    /// Returns the cost of one request.
    pub fn cost(&self, input: u64, cached: u64, output: u64, away: bool) -> f64 {
        const MILLION: f64 = 1e6;
        let fresh = input.saturating_sub(cached) as f64;
        let tokens = fresh * self.input + cached as f64 * self.cached + output as f64 * self.output;
        let egress = if away { self.egress } else { 0.0 };
        tokens / MILLION + self.call + egress
    }
}

pub(crate) fn parse(
    file: &str,
    text: &str,
) -> Result<BTreeMap<ServiceId, PriceEntry>, ConfigError> {
    let parsed = SectionFile::parse(file, text)?;
    let mut prices = BTreeMap::new();
    for section in parsed.of_kinds(&["price"])? {
        let price = PriceEntry {
            input: read_price(section, "input_per_million")?,
            cached: read_price(section, "cached_per_million")?,
            output: read_price(section, "output_per_million")?,
            call: read_price(section, "per_call")?,
            egress: read_price(section, "egress_per_call")?,
        };
        prices.insert(section.name.clone(), price);
        section.finish()?;
    }
    Ok(prices)
}

fn read_price(section: &SectionReader, key: &str) -> Result<f64, ConfigError> {
    let value: f64 = section.number(key, Some(0.0))?;
    if value.is_finite() && value >= 0.0 {
        return Ok(value);
    }
    Err(section.error(
        key,
        &format!("{value} is no price"),
        "write a number of at least 0",
    ))
}
