//! A request for a streamed completion.

use super::{RequestContext, ResponseRecord, connection_error, read_problem, stream, text};
use crate::{
    prefixes::SharedPrefixes,
    record::{ErrorKind, RequestResult},
};
use fulmarhead_lib::ids::{ModelId, Tokens};
use fulmarhead_runtime::http::{ClientError, Endpoint};
use hyper::{
    HeaderMap, Method, Response,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
};
use serde_json::json;

/// Sends a prompt of `prompt_tokens` tokens, reads its response of `output_tokens` tokens, and
/// writes the token times and the result to `record`.
pub(crate) async fn complete(
    context: &RequestContext,
    model: &ModelId,
    number: u64,
    (prompt_tokens, output_tokens): (Tokens, Tokens),
    prefixes: SharedPrefixes,
    record: &mut ResponseRecord,
) {
    let Ok(mut headers) = context.headers() else {
        return record.result = RequestResult::Error(ErrorKind::Malformed);
    };
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let prompt = text::prompt(number, prompt_tokens, prefixes.select(number, prompt_tokens));
    let body =
        json!({ "model": model, "prompt": prompt, "max_tokens": output_tokens, "stream": true });
    let body = body.to_string();
    drop(prompt);
    match post(context, headers, body).await {
        Ok(response) if response.status().is_success() => {
            record.result = RequestResult::Broken;
            stream::read(response.into_body(), output_tokens, &context.clock, record).await;
        }
        Ok(response) => record.result = read_problem(response).await,
        Err(error) => record.result = connection_error(&error),
    }
}

async fn post(
    context: &RequestContext,
    headers: HeaderMap,
    body: String,
) -> Result<Response<Incoming>, ClientError> {
    let endpoint = Endpoint::new(context.entry, "/v1/completions");
    context.client.send(Method::POST, &endpoint, headers, body.into()).await
}
