//! Stand-ins of the platform, clients and servers for the cases in `review/`, and the cases.
//!
//! It uses the standard library alone. `replica` runs one server process; `case NAME FOLDER` runs a
//! case: it starts the store, the servers and the entry VMs, sends requests, writes `record.txt`
//! and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod http;
mod json;
mod replica;
mod site;
mod store;

use std::process::exit;

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match &words[..] {
        ["replica", rest @ ..] => replica::run(rest),
        ["case", name, folder] => exit(cases::run(name, folder)),
        _ => {
            eprintln!("usage: stand_ins case NAME FOLDER");
            exit(2);
        }
    }
}
