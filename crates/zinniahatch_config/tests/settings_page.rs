//! Checks that `docs/SETTINGS.md` lists exactly the keys that the code reads.

use std::collections::BTreeSet;
use test_case::test_case;
use zinniahatch_config::ClusterConfig;
use zinniahatch_config::ConfigHead;
use zinniahatch_config::EntrySettings;
use zinniahatch_config::NodeSettings;
use zinniahatch_config::PartTexts;
use zinniahatch_config::parse_serving_preset;

const PAGE: &str = include_str!("../../../docs/SETTINGS.md");

/// Returns the keys that the page lists for a section.
fn page_keys(section: &str) -> BTreeSet<String> {
    keys_below(&format!("### `[{section}]`"))
}

/// Returns the keys listed below a heading of the page.
fn keys_below(start: &str) -> BTreeSet<String> {
    let mut lines = PAGE.lines().skip_while(|line| *line != start);
    assert!(lines.next().is_some(), "the page has no heading `{start}`");
    lines
        .take_while(|line| !line.starts_with('#'))
        .filter_map(|line| {
            line.strip_prefix("| `")?
                .split('`')
                .next()
                .map(str::to_owned)
        })
        .collect()
}

/// Returns the keys listed in an error about an unknown key.
fn code_keys(error: &str) -> BTreeSet<String> {
    let list = error
        .rsplit("the keys of this section are: ")
        .next()
        .expect("the error lists the keys");
    list.split(", ").map(str::to_owned).collect()
}

const SETTINGS: &str = "[node]\nname = n1\ndata_centre = d\nregion = r\nlisten = 127.0.0.1:1\npeer_listen = 127.0.0.1:2\nsecret = 0123456789abcdef\n[platform]\nstore = http://127.0.0.1:3\ndirectory = http://127.0.0.1:4\nvm_list = http://127.0.0.1:5\n[limits]\n[reports]\n[log]\n[routing]\n";

#[test_case("node")]
#[test_case("platform")]
#[test_case("limits")]
#[test_case("reports")]
#[test_case("log")]
#[test_case("routing")]
fn settings_page_names_node_keys(section: &str) {
    let text = SETTINGS.replace(
        &format!("[{section}]\n"),
        &format!("[{section}]\nzzz = 1\n"),
    );
    let error = NodeSettings::parse("n", &text)
        .expect_err("the key is unknown")
        .to_string();
    assert_eq!(page_keys(section), code_keys(&error));
}

#[test_case("topology", "[region r]\ndata_centres = d\nzzz = 1\n", "region NAME")]
#[test_case("topology", "[link r s]\none_way = 1ms\nzzz = 1\n", "link NAME NAME")]
#[test_case(
    "services",
    "[service s]\nkind = plain\nbinding = free\nrepeat = repeatable\ndeadline = 5s\nzzz = 1\n",
    "service NAME"
)]
#[test_case(
    "backends",
    "[backend b]\nservice = s\ndata_centre = d\naddress = http://127.0.0.1:9\nslots = 4\nzzz = 1\n",
    "backend NAME"
)]
#[test_case(
    "accounts-00",
    "[account a]\nhome = r\nclass = c\nteam = t\nzzz = 1\n",
    "account NAME"
)]
#[test_case(
    "accounts-00",
    "[caller a]\naccount = r\nkey_digest = c\nzzz = 1\n",
    "caller NAME"
)]
#[test_case(
    "operators",
    "[operator o]\ntoken_digest = r\nrole = all\nzzz = 1\n",
    "operator NAME"
)]
#[test_case("prices", "[price p]\nzzz = 1\n", "price NAME")]
fn settings_page_names_part_keys(part: &str, text: &str, section: &str) {
    let texts = PartTexts::from([(part.into(), text.into())]);
    let error = ClusterConfig::build(&ConfigHead::default(), &texts)
        .expect_err("the key is unknown")
        .to_string();
    assert_eq!(page_keys(section), code_keys(&error));
}

#[test_case("preset")]
#[test_case("weights")]
#[test_case("work")]
#[test_case("away")]
#[test_case("waits")]
#[test_case("budgets")]
fn settings_page_names_preset_keys(section: &str) {
    let preset = "[preset]\ntitle = p\n[weights]\ncost = 1\ntail = 1\n[classes]\nc = 1\n[work]\ninteractive = 0.5\n[away]\nallowed = yes\n[waits]\nwait_limit = 9s\n[budgets]\nretry = 0.1\nhedge = 0\n";
    let text = preset.replace(
        &format!("[{section}]\n"),
        &format!("[{section}]\nzzz = 1\n"),
    );
    let texts = PartTexts::from([("preset-p".into(), text.into())]);
    let error = ClusterConfig::build(&ConfigHead::default(), &texts)
        .expect_err("the key is unknown")
        .to_string();
    assert_eq!(page_keys(section), code_keys(&error));
}

const ENTRY: &str = "[node]\nname = n1\nregion = r\ndata_centre = d\n[listen]\nfront = 127.0.0.1:1\nreadiness = 127.0.0.1:2\ncontrol = 127.0.0.1:3\ndirectory = 127.0.0.1:4\npeer = 127.0.0.1:5\n[regions]\nd = r\n[store]\naddress = 127.0.0.1:6\n[bounds]\n[log]\n";

#[test_case("node")]
#[test_case("listen")]
#[test_case("store")]
#[test_case("bounds")]
#[test_case("log")]
fn settings_page_names_entry_keys(section: &str) {
    let text = ENTRY.replace(
        &format!("[{section}]\n"),
        &format!("[{section}]\nzzz = 1\n"),
    );
    let error = EntrySettings::parse("n", &text)
        .expect_err("the key is unknown")
        .to_string();
    let page = keys_below(&format!("### `[{section}]` of an entry VM"));
    assert_eq!(page, code_keys(&error));
}

#[test]
fn settings_page_names_serving_preset_keys() {
    let error = parse_serving_preset("p", "[preset p]\nzzz = 1\n")
        .expect_err("the key is unknown")
        .to_string();
    assert_eq!(page_keys("preset NAME"), code_keys(&error));
}
