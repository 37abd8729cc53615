//! What each account was given: counts, their merging, and the reports made of them.

mod book;
mod counts;
mod delays;
mod desk;
mod html;
mod ledger;
mod query;
mod table;

/// Start of the keys in the platform's store that hold a region's hours, `PREFIX REGION/HOUR`.
pub const ACCOUNTS_PREFIX: &str = "zinniahatch/accounts/";

pub use book::CountBook;
pub use book::KEPT_SHEETS;
pub use book::REPORT_SHARDS;
pub use book::SealedSheet;
pub use book::SheetStates;
pub use counts::CountKey;
pub use counts::CountRow;
pub use counts::CountSheet;
pub use delays::DelayHistogram;
pub use desk::DeskSheet;
pub use desk::MergeDesk;
pub use desk::MergeTask;
pub use html::render_html;
pub use ledger::GapNote;
pub use ledger::HourLedger;
pub use ledger::MergedMark;
pub use query::ReportField;
pub use query::ReportLine;
pub use query::ReportQuery;
pub use query::ReportResult;
pub use query::run_query;
pub use table::render_csv;
pub use table::render_table;
