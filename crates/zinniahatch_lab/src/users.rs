//! The systems of the two example users, Amiantis and Aqsu, built from `examples/`.

use zinniahatch_base::prelude::*;
use zinniahatch_config::PartTexts;
use zinniahatch_config::split_accounts;

/// One region of a user's system.
#[derive(Clone, Debug)]
pub struct RegionPlan {
    /// The region.
    pub region: RegionId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Number of entry VMs.
    pub entries: usize,
}

/// A caller and its API key.
#[derive(Clone, Debug)]
pub struct CallerPlan {
    /// Its account.
    pub account: AccountId,
    /// The account's home region.
    pub home: RegionId,
    /// The API key.
    pub key: Box<str>,
}

/// One user's system.
#[derive(Clone, Debug)]
pub struct UserPlan {
    /// The user's name.
    pub name: &'static str,
    /// Regions, data centres and entry VMs.
    pub regions: Vec<RegionPlan>,
    /// The parts of the configuration.
    pub parts: PartTexts,
    /// The initial preset.
    pub preset: &'static str,
    /// The model service.
    pub engine: &'static str,
    /// The plain service.
    pub plain: &'static str,
    /// Callers.
    pub callers: Vec<CallerPlan>,
    /// Token of the operator with all permissions.
    pub chief: String,
    /// Token of the operator who may switch presets.
    pub shift: String,
    /// Token of the manager who may read reports.
    pub reader: String,
}

macro_rules! part_texts {
    ($user:literal) => {
        [
            (
                "topology",
                include_str!(concat!("../../../examples/", $user, "/topology.ini")),
            ),
            (
                "services",
                include_str!(concat!("../../../examples/", $user, "/services.ini")),
            ),
            (
                "backends",
                include_str!(concat!("../../../examples/", $user, "/backends.ini")),
            ),
            (
                "accounts",
                include_str!(concat!("../../../examples/", $user, "/accounts.ini")),
            ),
            (
                "operators",
                include_str!(concat!("../../../examples/", $user, "/operators.ini")),
            ),
            (
                "prices",
                include_str!(concat!("../../../examples/", $user, "/prices.ini")),
            ),
            (
                "preset-ordinary",
                include_str!(concat!("../../../examples/", $user, "/preset-ordinary.ini")),
            ),
            (
                "preset-peak",
                include_str!(concat!("../../../examples/", $user, "/preset-peak.ini")),
            ),
            (
                "preset-maintenance",
                include_str!(concat!(
                    "../../../examples/",
                    $user,
                    "/preset-maintenance.ini"
                )),
            ),
        ]
    };
}

/// Finds a user's system by name.
pub fn find(name: &str) -> Option<UserPlan> {
    match name {
        "amiantis" => Some(amiantis()),
        "aqsu" => Some(aqsu()),
        _ => None,
    }
}

/// Returns Amiantis' system: three regions, seven entry VMs.
pub fn amiantis() -> UserPlan {
    let callers = [
        ("camara-lisboa", "lisboa", "obras-lisboa"),
        ("escolas-porto", "porto", "secretaria-porto"),
        ("cooperativa-faro", "faro", "gestor-faro"),
        ("inspecao-nacional", "lisboa", "inspetor-1"),
        ("inspecao-nacional", "lisboa", "inspetor-2"),
    ];
    UserPlan {
        name: "amiantis",
        regions: regions(&[
            ("lisboa", "lisboa-a", 3),
            ("porto", "porto-a", 2),
            ("faro", "faro-a", 2),
        ]),
        parts: parts(&part_texts!("amiantis")),
        preset: "ordinary",
        engine: "register-llm",
        plain: "register-portal",
        callers: caller_plans(&callers),
        chief: "amiantis-chief-example-token".to_owned(),
        shift: "amiantis-shift-example-token".to_owned(),
        reader: "amiantis-reader-example-token".to_owned(),
    }
}

/// Returns Aqsu's system: three regions, seven entry VMs.
pub fn aqsu() -> UserPlan {
    let callers = [
        ("almaty-wholesale", "almaty", "buyer-almaty"),
        ("shymkent-shops", "shymkent", "shop-shymkent"),
        ("karaganda-shops", "karaganda", "clerk-karaganda"),
        ("route-drivers", "almaty", "driver-1"),
        ("route-drivers", "almaty", "driver-2"),
    ];
    UserPlan {
        name: "aqsu",
        regions: regions(&[
            ("almaty", "almaty-hall-a", 3),
            ("shymkent", "shymkent-hall-b", 2),
            ("karaganda", "karaganda-hall-c", 2),
        ]),
        parts: parts(&part_texts!("aqsu")),
        preset: "ordinary",
        engine: "zinnia-desk",
        plain: "coldbook",
        callers: caller_plans(&callers),
        chief: "aqsu-chief-example-token".to_owned(),
        shift: "aqsu-shift-example-token".to_owned(),
        reader: "aqsu-reader-example-token".to_owned(),
    }
}

fn regions(list: &[(&str, &str, usize)]) -> Vec<RegionPlan> {
    list.iter()
        .map(|(region, data_centre, entries)| RegionPlan {
            region: (*region).into(),
            data_centre: (*data_centre).into(),
            entries: *entries,
        })
        .collect()
}

fn caller_plans(list: &[(&str, &str, &str)]) -> Vec<CallerPlan> {
    list.iter()
        .map(|(account, home, caller)| CallerPlan {
            account: (*account).into(),
            home: (*home).into(),
            key: format!("{caller}-example-key").into(),
        })
        .collect()
}

fn parts(texts: &[(&str, &str)]) -> PartTexts {
    let mut parts = PartTexts::new();
    for (name, text) in texts {
        if *name != "accounts" {
            parts.insert((*name).into(), (*text).into());
            continue;
        }
        let shards = split_accounts(name, text).expect("the example accounts are valid");
        parts.extend(shards.into_iter().map(|(shard, text)| (shard, text.into())));
    }
    parts
}
