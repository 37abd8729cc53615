//! Presets: named sets of policy values between which operators switch.

use crate::ConfigError;
use crate::WorkKind;
use crate::section::SectionFile;
use zinniahatch_base::prelude::*;

/// Tolerated deviation of a sum of shares from 1, which allows for rounding in the text.
const SHARE_SLACK: f64 = 1e-6;

domain! {
    /// One preset; exactly one preset is in force at a time.
    pub struct PresetEntry {
        /// The purpose of the preset.
        pub title: Box<str>,
        /// Weight of cost in the placement score, per unit of the price list.
        pub cost_weight: f64,
        /// Weight of time in the placement score, per second.
        pub tail_weight: f64,
        /// Shares of a contended pool by account class, which add up to 1.
        pub classes: BTreeMap<Box<str>, f64>,
        /// Share of a contended pool for interactive work; long work gets the remainder.
        pub interactive_share: f64,
        /// Whether requests not bound to their home region may be served in another one.
        pub away: bool,
        /// Share of a region's capacity that requests from other regions may use, by region.
        pub guest_shares: BTreeMap<RegionId, f64>,
        /// Maximum number of requests queued on one node for one service.
        pub queue_limit: usize,
        /// Maximum wait for a slot.
        pub wait_limit: Duration,
        /// Retry budget as a share of requests.
        pub retry_budget: f64,
        /// Hedge budget as a share of requests.
        pub hedge_budget: f64,
        /// Time without a first byte after which a hedge request is sent; zero disables hedging.
        pub hedge_after: Duration,
        /// Time without data after which a stream is probed on a new connection.
        pub stall_after: Duration,
        /// The model that the replicas of each engine service should have loaded.
        pub models: BTreeMap<ServiceId, ModelId>,
    }
}

impl PresetEntry {
    pub(crate) fn parse(file: &str, text: &str) -> Result<Self, ConfigError> {
        let parsed = SectionFile::parse(file, text)?;
        parsed.of_kinds(&[
            "preset", "weights", "classes", "work", "away", "guests", "waits", "budgets", "models",
        ])?;
        let about = parsed.single("preset")?;
        let weights = parsed.single("weights")?;
        let work = parsed.single("work")?;
        let away = parsed.single("away")?;
        let waits = parsed.single("waits")?;
        let budgets = parsed.single("budgets")?;
        let preset = Self {
            title: about.text("title")?,
            cost_weight: weights.number("cost", None)?,
            tail_weight: weights.number("tail", None)?,
            classes: parse_shares(&parsed, "classes")?,
            interactive_share: work.share("interactive", None)?,
            away: away.choice("allowed", "yes, no", parse_yes_no, None)?,
            guest_shares: parse_guest_shares(&parsed)?,
            queue_limit: waits.number("queue_limit", Some(1_000))?,
            wait_limit: waits.duration("wait_limit", None)?,
            retry_budget: budgets.share("retry", None)?,
            hedge_budget: budgets.share("hedge", None)?,
            hedge_after: budgets.duration("hedge_after", Some(Duration::ZERO))?,
            stall_after: budgets.duration("stall_after", Some(Duration::from_secs(3)))?,
            models: parse_models(&parsed),
        };
        for section in [about, weights, work, away, waits, budgets] {
            section.finish()?;
        }
        for (key, weight) in [("cost", preset.cost_weight), ("tail", preset.tail_weight)] {
            if weight.is_finite() && weight >= 0.0 {
                continue;
            }
            return Err(weights.error(
                key,
                &format!("{weight} is no weight"),
                "write a number of at least 0",
            ));
        }
        Ok(preset)
    }

    /// Returns the weight of an account class and a kind of work in a contended pool.
    pub fn weight(&self, class: &str, work: WorkKind) -> f64 {
        const MIN_WEIGHT: f64 = 1e-3;
        let class_share = self.classes.get(class).copied().unwrap_or(MIN_WEIGHT);
        let work_share = match work {
            WorkKind::Interactive => self.interactive_share,
            WorkKind::Long => 1.0 - self.interactive_share,
        };
        (class_share * work_share).max(MIN_WEIGHT)
    }
}

fn parse_yes_no(text: &str) -> Option<bool> {
    match text {
        "yes" => Some(true),
        "no" => Some(false),
        _ => None,
    }
}

fn parse_shares(parsed: &SectionFile, title: &str) -> Result<BTreeMap<Box<str>, f64>, ConfigError> {
    let section = parsed.single(title)?;
    let mut shares = BTreeMap::new();
    for (key, _) in section.pairs() {
        shares.insert(Box::from(key), section.share(key, None)?);
    }
    let sum: f64 = shares.values().sum();
    if (sum - 1.0).abs() > SHARE_SLACK {
        return Err(section.error(
            "-",
            &format!("the shares add up to {sum:.4}"),
            "make them add up to 1",
        ));
    }
    Ok(shares)
}

fn parse_guest_shares(parsed: &SectionFile) -> Result<BTreeMap<RegionId, f64>, ConfigError> {
    let mut shares = BTreeMap::new();
    let Some(section) = parsed.optional("guests") else {
        return Ok(shares);
    };
    for (key, _) in section.pairs() {
        shares.insert(Box::from(key), section.share(key, None)?);
    }
    Ok(shares)
}

fn parse_models(parsed: &SectionFile) -> BTreeMap<ServiceId, ModelId> {
    let Some(section) = parsed.optional("models") else {
        return BTreeMap::new();
    };
    section
        .pairs()
        .map(|(key, value)| (key.into(), value.into()))
        .collect()
}
