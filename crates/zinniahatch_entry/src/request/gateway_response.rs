//! Responses that the gateway itself generates: refusals and failures.

use crate::request::response_body::ResponseBody;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::attempt_id_header;

/// Header with the number of the result code, see `docs/RESULTS.md`.
const CODE: HeaderName = HeaderName::from_static("x-zinnia-code");
/// Header that tells whether the request ran.
const EXECUTION: HeaderName = HeaderName::from_static("x-zinnia-execution");
/// Header with the sends that replicas may have received and that this node did not charge to its
/// retry budget. The node that forwarded the request charges them.
const UNCHARGED_SENDS: HeaderName = HeaderName::from_static("x-zinnia-uncharged-sends");

/// Builds a response of the gateway itself.
pub(crate) fn gateway_response(
    code: ResultCode,
    attempt: Option<&str>,
    retry_after: Option<Duration>,
) -> Response<ResponseBody> {
    let status = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let text = format!(
        "{{\"code\":{},\"execution\":\"{}\",\"message\":\"{}\"}}\n",
        code.number(),
        code.execution().as_str(),
        code.text()
    );
    let mut response = Response::new(ResponseBody::whole(text));
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
    report_uncharged(headers, 0);
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

/// Returns whether another node's response says that the request did not run.
pub(crate) fn reports_not_run(headers: &http::HeaderMap) -> bool {
    headers
        .get(EXECUTION)
        .is_some_and(|value| value.as_bytes() == Execution::NotRun.as_str().as_bytes())
}

/// Returns the result code of a response that another node generated itself, `None` if the response
/// comes from a replica.
pub(crate) fn gateway_code(headers: &http::HeaderMap) -> Option<u16> {
    let code = headers.get(CODE)?;
    // Only nodes set this header, and always to a result code.
    Some(
        code.to_str()
            .ok()
            .and_then(|text| text.parse().ok())
            .unwrap_or(0),
    )
}

/// Sets the sends that this node did not charge to its retry budget.
pub(crate) fn report_uncharged(headers: &mut http::HeaderMap, sends: u32) {
    headers.insert(UNCHARGED_SENDS, HeaderValue::from(sends));
}

/// Returns the sends that another node's refusal leaves to this node to charge.
///
/// Nodes of earlier versions do not report them, and may have sent the request to one replica.
pub(crate) fn uncharged_sends(headers: &http::HeaderMap) -> u32 {
    headers
        .get(UNCHARGED_SENDS)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .unwrap_or(1)
}

/// Returns the time in the `Retry-After` header of a response.
pub(crate) fn retry_hint(headers: &http::HeaderMap) -> Option<Duration> {
    headers
        .get(header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse::<f64>().ok())
        .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
}
