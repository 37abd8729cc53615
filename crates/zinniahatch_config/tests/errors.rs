//! Tests that each error names the file, section and key, and the remedy.

use test_case::test_case;
use zinniahatch_config::ClusterConfig;
use zinniahatch_config::ConfigHead;
use zinniahatch_config::NodeSettings;
use zinniahatch_config::PartTexts;

const SETTINGS: &str = "[node]\nname = n1\ndata_centre = d\nregion = r\nlisten = 127.0.0.1:1\npeer_listen = 127.0.0.1:2\nsecret = 0123456789abcdef\n[platform]\nstore = http://127.0.0.1:3\ndirectory = http://127.0.0.1:4\nvm_list = http://127.0.0.1:5\n";

#[test]
fn settings_parse_valid() {
    let settings = NodeSettings::parse("n.ini", SETTINGS).expect("the settings are valid");
    assert_eq!(&*settings.name, "n1");
}

#[test_case("secret = 0123456789abcdef", "secret = short", "n.ini: [node] secret: the secret is too short; write at least 16 characters, the same on every node"; "short secret")]
#[test_case("listen = 127.0.0.1:1\n", "listen = here\n", "n.ini: [node] listen: `here` is no address; write IP:port"; "no address")]
#[test_case("region = r\n", "", "n.ini: [node] region: the key is missing; add it"; "missing key")]
#[test_case("region = r", "region = r\nregions = s", "n.ini: [node] regions: unknown key; the keys of this section are: data_centre, listen, name, peer_listen, region, secret, seeds"; "unknown key")]
#[test_case("[platform]", "[limits]\nbody_timeout = 3\n[platform]", "n.ini: [limits] body_timeout: `3` is not a duration; write a whole number and a unit of ms, s, m or h, such as 250ms"; "wrong unit")]
#[test_case("[platform]", "[plattform]", "n.ini: [plattform] -: unknown section; the sections of this file are: node, platform, translate, routing, limits, reports, log"; "unknown section")]
#[test_case("[platform]", "[node]", "n.ini: [node] -: the section occurs twice; merge the two"; "section twice")]
fn settings_parse_invalid(from: &str, to: &str, expected: &str) {
    let text = SETTINGS.replace(from, to);
    let error = NodeSettings::parse("n.ini", &text).expect_err("the settings are invalid");
    assert_eq!(error.to_string(), expected);
}

fn texts() -> PartTexts {
    PartTexts::from([
        ("topology".into(), "[region r]\ndata_centres = d\n".into()),
        ("services".into(), "[service s]\nkind = plain\nbinding = free\nrepeat = repeatable\ndeadline = 5s\n".into()),
        ("backends".into(), "[backend b]\nservice = s\ndata_centre = d\naddress = http://127.0.0.1:9\nslots = 4\n".into()),
        ("accounts-00".into(), "[account a]\nhome = r\nclass = c\nteam = t\n".into()),
        ("prices".into(), "[price s]\nper_call = 1\n".into()),
        ("preset-p".into(), "[preset]\ntitle = p\n[weights]\ncost = 1\ntail = 1\n[classes]\nc = 1\n[work]\ninteractive = 0.5\n[away]\nallowed = yes\n[waits]\nwait_limit = 9s\n[budgets]\nretry = 0.1\nhedge = 0\n".into()),
    ])
}

fn build(texts: &PartTexts) -> Result<ClusterConfig, String> {
    let head = ConfigHead {
        revision: 1,
        preset: "p".into(),
        ..ConfigHead::default()
    };
    ClusterConfig::build(&head, texts).map_err(|error| error.to_string())
}

#[test]
fn cluster_build_valid() {
    assert!(build(&texts()).is_ok());
}

#[test_case("backends", "service = s", "service = x", "backends: [backend b] service: no service `x`; name a service of the services part"; "missing service")]
#[test_case("backends", "data_centre = d", "data_centre = x", "backends: [backend b] data_centre: no data centre `x`; name a data centre of the topology part"; "missing data centre")]
#[test_case("backends", "slots = 4", "slots = 0", "backends: [backend b] slots: 0 slots serve nothing; write at least 1, or remove the section"; "no slots")]
#[test_case("services", "deadline = 5s", "deadline = soon", "services: [service s] deadline: `soon` is not a duration; write a whole number and a unit of ms, s, m or h, such as 250ms"; "wrong deadline")]
#[test_case("services", "kind = plain", "kind = strange", "services: [service s] kind: `strange` is not known; write one of: engine, plain"; "wrong word")]
#[test_case("services", "repeat = repeatable", "repeat = repeatable\nonce_methods = SEND", "services: [service s] once_methods: `SEND` is no method; write some of: GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS"; "wrong method")]
#[test_case("accounts-00", "home = r", "home = x", "accounts: [account a] home: no region `x`; name a region of the topology part"; "missing region")]
#[test_case("accounts-00", "class = c", "class = x", "accounts: [account a] class: preset `p` has no class `x`; add the class to [classes] of every preset"; "missing class")]
#[test_case("prices", "per_call = 1", "per_call = -1", "prices: [price s] per_call: -1 is no price; write a number of at least 0"; "negative price")]
#[test_case("prices", "per_call = 1", "cached_per_million = -1", "prices: [price s] cached_per_million: -1 is no price; write a number of at least 0"; "negative price of cached tokens")]
#[test_case("preset-p", "c = 1", "c = 0.5", "preset-p: [classes] -: the shares add up to 0.5000; make them add up to 1"; "shares")]
#[test_case("preset-p", "interactive = 0.5", "interactive = 2", "preset-p: [work] interactive: 2 is not a share; write a number between 0 and 1"; "no share")]
#[test_case("preset-p", "retry = 0.1", "retry = 0.1\nretries = 3", "preset-p: [budgets] retries: unknown key; the keys of this section are: hedge, hedge_after, retry, stall_after"; "unknown key")]
fn cluster_build_invalid(part: &str, from: &str, to: &str, expected: &str) {
    let mut texts = texts();
    let text = texts[part].replace(from, to);
    texts.insert(part.into(), text.into());
    assert_eq!(build(&texts).expect_err("the part is invalid"), expected);
}
