//! Checks that `docs/RESULTS.md` lists exactly the result codes in the code.

use zinniahatch_base::ResultCode;

#[test]
fn results_page_has_every_code() {
    let page = include_str!("../../../docs/RESULTS.md");
    let rows: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| ") && !line.starts_with("| number"))
        .collect();
    let expected: Vec<String> = ResultCode::ALL
        .iter()
        .map(|code| {
            format!(
                "| {} | {} | {} | {} | {} |",
                code.number(),
                code.name(),
                code.status(),
                code.execution().as_str(),
                code.text()
            )
        })
        .collect();
    assert_eq!(rows, expected);
}

#[test]
fn result_numbers_are_unique() {
    let numbers: std::collections::BTreeSet<u16> =
        ResultCode::ALL.iter().map(|code| code.number()).collect();
    assert_eq!(numbers.len(), ResultCode::ALL.len());
}
