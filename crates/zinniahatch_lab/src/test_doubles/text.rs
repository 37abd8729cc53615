//! Deterministic response texts: callers compute them too and so can check every response.

use zinniahatch_base::tag_of;

/// Prefix of the operation's number in a prompt or path.
const MARK: &str = "operation=";

/// Returns the marker of an operation, to be put into a prompt or path.
pub fn operation_mark(operation: u64) -> String {
    format!("{MARK}{operation};")
}

/// Finds the operation whose marker a text contains.
pub fn find_operation(text: &str) -> Option<u64> {
    let from = text.find(MARK)? + MARK.len();
    let until = from + text[from..].find(';')?;
    text[from..until].parse().ok()
}

/// Returns the token at an index of the response to an operation.
pub fn token_at(operation: u64, index: u64) -> String {
    format!("w{:x} ", tag_of(&format!("{operation}/{index}")))
}

/// Returns the complete text of the response to an operation.
pub fn response_text(operation: u64, tokens: u64) -> String {
    (0..tokens)
        .map(|index| token_at(operation, index))
        .collect()
}

/// Returns the response of a plain service.
pub fn plain_response(operation: u64) -> String {
    format!(
        "{{\"operation\":{operation},\"check\":\"{:x}\"}}",
        tag_of(&format!("plain/{operation}"))
    )
}
