//! Accounting: request counts by client account, how they are merged, and the reports made from
//! them.

mod count_buffer;
mod counts;
mod delays;
mod hourly_counts;
mod html;
mod merge_queue;
mod query;
mod table;

/// Prefix of the keys in the platform's store that hold a region's hourly counts:
/// `PREFIX REGION/HOUR`.
pub const ACCOUNTS_PREFIX: &str = "zinniahatch/accounts/";

pub use count_buffer::BatchStates;
pub use count_buffer::CountBuffer;
pub use count_buffer::MAX_SEALED_BATCHES;
pub use count_buffer::REPORT_SHARDS;
pub use count_buffer::SealedBatch;
pub use counts::CountKey;
pub use counts::CountRow;
pub use counts::CountTable;
pub use delays::DelayHistogram;
pub use hourly_counts::CountGap;
pub use hourly_counts::HourlyCounts;
pub use hourly_counts::MergedBatches;
pub use html::render_html;
pub use merge_queue::MergeQueue;
pub use merge_queue::MergeTask;
pub use merge_queue::ReceivedBatch;
pub use query::ReportField;
pub use query::ReportLine;
pub use query::ReportQuery;
pub use query::ReportResult;
pub use query::run_query;
pub use table::render_csv;
pub use table::render_table;
