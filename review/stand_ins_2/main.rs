//! The stand-ins of the second review, and its cases that are scripts: `stand_ins CASE RECORD`.

mod engine;
mod fleet;
mod gone;
mod site;
mod skipped;
mod store;
mod web;

use site::Record;
use std::sync::Arc;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (words.get(1), words.get(2)) else {
        println!("stand_ins CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::create(path));
    let code = match case.as_str() {
        "gone" => gone::run(&record, trouble),
        "drain" => skipped::drain(&record, trouble),
        "recover" => skipped::recover(&record, trouble),
        _ => site::give_up(&record, "there is no such case"),
    };
    println!("{}", ["the rule held", "the rule was broken"][code as usize]);
    std::process::exit(code);
}
