//! Builds responses: JSON, plain text, and the response for an error.

use crate::{body::full, server::Response};
use cyclamenloft_types::{Error, ErrorKind, RetryAdvice};
use http::{HeaderValue, StatusCode, header};
use serde::Serialize;
use std::time::Duration;

/// The header of an error response that states whether the work of the request ran.
pub const OUTCOME_HEADER: &str = "cyclamenloft-outcome";
/// The header with the error code.
pub const ERROR_HEADER: &str = "cyclamenloft-error";

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
    detail: &'a str,
    outcome: &'a str,
}

/// Builds a JSON response.
#[must_use]
pub fn json_response(status: StatusCode, value: &impl Serialize) -> Response {
    match serde_json::to_vec(value) {
        Ok(content) => with_type(status, "application/json", content),
        Err(e) => {
            let text = format!("response could not be encoded: {e}");
            with_type(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", text.into_bytes())
        }
    }
}

/// Builds a plain text response.
#[must_use]
pub fn text_response(status: StatusCode, text: impl Into<String>) -> Response {
    with_type(status, "text/plain; charset=utf-8", text.into().into_bytes())
}

/// Builds the response for an error from the table of error kinds.
#[must_use]
pub fn error_response(error: &Error) -> Response {
    error_response_with_retry(error, None)
}

/// Builds the response for an error. `retry_after`, if given, replaces the retry delay
/// from the table of error kinds.
#[must_use]
pub fn error_response_with_retry(error: &Error, retry_after: Option<Duration>) -> Response {
    let answer = error.info();
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let outcome = answer.outcome.as_str();
    let body = ErrorBody { error: answer.code, detail: &error.detail, outcome };
    let mut response = json_response(status, &body);
    let headers = response.headers_mut();
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome));
    headers.insert(ERROR_HEADER, HeaderValue::from_static(answer.code));
    if error.kind == ErrorKind::TooLarge {
        // The rest of the body is not read, so the connection can't be reused. Without
        // this header, a client would send its next request on the same connection.
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    let advised = match answer.retry {
        RetryAdvice::After(wait) => Some(retry_after.unwrap_or(wait)),
        RetryAdvice::OtherHost => Some(Duration::ZERO),
        RetryAdvice::Never => None,
    };
    if let Some(wait) = advised {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(whole_seconds_up(wait)));
    }
    response
}

fn whole_seconds_up(wait: Duration) -> u64 {
    wait.as_secs() + u64::from(wait.subsec_nanos() > 0)
}

fn with_type(status: StatusCode, content_type: &'static str, content: Vec<u8>) -> Response {
    let mut response = Response::new(full(content));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
