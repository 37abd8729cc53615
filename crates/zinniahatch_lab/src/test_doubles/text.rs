//! Texts that both sides can compute, so that every answer can be checked.

use zinniahatch_base::tag_of;

/// Marks the operation in a prompt or a path.
const MARK: &str = "operation=";

/// Gives the mark of an operation.
pub fn operation_mark(operation: u64) -> String {
    format!("{MARK}{operation};")
}

/// Finds the operation that a text names.
pub fn find_operation(text: &str) -> Option<u64> {
    let from = text.find(MARK)? + MARK.len();
    let until = from + text[from..].find(';')?;
    text[from..until].parse().ok()
}

/// Gives the token at an index of the answer to an operation.
pub fn token_at(operation: u64, index: u64) -> String {
    format!("w{:x} ", tag_of(&format!("{operation}/{index}")))
}

/// Gives the whole text of the answer to an operation.
pub fn answer_text(operation: u64, tokens: u64) -> String {
    (0..tokens)
        .map(|index| token_at(operation, index))
        .collect()
}

/// Gives the answer of a plain service.
pub fn plain_answer(operation: u64) -> String {
    format!(
        "{{\"operation\":{operation},\"check\":\"{:x}\"}}",
        tag_of(&format!("plain/{operation}"))
    )
}
