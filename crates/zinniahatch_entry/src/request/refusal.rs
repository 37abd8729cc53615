//! Answers of our own: refusals and failures.

use crate::request::answer::AnswerBody;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::attempt_id_header;

/// Number of the result, `docs/RESULTS.md`.
const CODE: HeaderName = HeaderName::from_static("x-zinnia-code");
/// Whether the request ran.
const EXECUTION: HeaderName = HeaderName::from_static("x-zinnia-execution");

/// Builds an answer of our own.
pub(crate) fn own_answer(
    code: ResultCode,
    attempt: Option<&str>,
    retry_after: Option<Duration>,
) -> Response<AnswerBody> {
    let status = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let text = format!(
        "{{\"code\":{},\"execution\":\"{}\",\"message\":\"{}\"}}\n",
        code.number(),
        code.execution().as_str(),
        code.text()
    );
    let mut response = Response::new(AnswerBody::whole(text));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    headers.insert(CODE, HeaderValue::from(code.number()));
    headers.insert(
        EXECUTION,
        HeaderValue::from_static(code.execution().as_str()),
    );
    if let Some((name, value)) = attempt.and_then(attempt_id_header) {
        headers.insert(name, value);
    }
    if let Some(after) = retry_after {
        let seconds = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// Tells whether an answer of another node says that the request did not run.
pub(crate) fn says_not_run(headers: &http::HeaderMap) -> bool {
    headers
        .get(EXECUTION)
        .is_some_and(|value| value.as_bytes() == Execution::NotRun.as_str().as_bytes())
}

/// Gives the result code of an answer that is another node's own; none of a replica's.
pub(crate) fn own_code(headers: &http::HeaderMap) -> Option<u16> {
    let code = headers.get(CODE)?;
    // Only nodes set this header, and only to a code.
    Some(
        code.to_str()
            .ok()
            .and_then(|text| text.parse().ok())
            .unwrap_or(0),
    )
}

/// Gives the retry hint of an answer.
pub(crate) fn retry_hint(headers: &http::HeaderMap) -> Option<Duration> {
    headers
        .get(header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse::<f64>().ok())
        .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
}
