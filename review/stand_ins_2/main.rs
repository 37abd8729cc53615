//! The stand-ins of the second review, and its cases that are scripts: `stand_ins CASE RECORD`.

mod engine;
mod fleet;
mod gone;
mod site;
mod skipped;
mod store;
mod web;

use site::Record;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (words.get(1), words.get(2)) else {
        println!("stand_ins CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::create(path));
    let run = match case.as_str() {
        "gone" => gone::run,
        "drain" => skipped::drain,
        "recover" => skipped::recover,
        _ => {
            println!("there is no such case");
            std::process::exit(2);
        }
    };
    // A case that gives up unwinds, so that its processes are ended.
    let Ok(broken) = catch_unwind(AssertUnwindSafe(|| run(&record, trouble))) else {
        std::process::exit(2);
    };
    println!("{}", if broken { "the rule was broken" } else { "the rule held" });
    std::process::exit(i32::from(broken));
}
