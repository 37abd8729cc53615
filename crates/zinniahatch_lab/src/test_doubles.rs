//! Test doubles of the platform's services and of backend servers, run in-process.

pub mod answer_form;
pub mod backend;
pub mod crashing;
pub mod directory;
pub mod engine;
pub mod faults;
pub mod flood;
pub mod head_cut;
pub mod limit_record;
pub mod notice_record;
pub mod plain;
pub mod replica;
pub mod scripted_plain;
pub mod scripted_replica;
pub mod serve;
pub mod store;
pub mod text;
