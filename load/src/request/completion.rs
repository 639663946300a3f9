//! A streamed completion.

use super::{Seen, Sender, failed, read_problem, stream, text};
use crate::record::{Ending, ErrorKind};
use fulmarhead_lib::ids::{ModelId, Tokens};
use fulmarhead_runtime::http::{ClientError, Endpoint};
use hyper::{
    HeaderMap, Method, Response,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
};
use serde_json::json;

/// Sends a prompt of `prompt` tokens and reads its answer of `output` tokens into `seen`.
pub(crate) async fn complete(
    sender: &Sender,
    model: &ModelId,
    number: u64,
    (prompt, output): (Tokens, Tokens),
    seen: &mut Seen,
) {
    let Ok(mut headers) = sender.headers() else {
        return seen.ending = Ending::Error(ErrorKind::Malformed);
    };
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let prompt = text::prompt(number, prompt);
    let body = json!({ "model": model, "prompt": prompt, "max_tokens": output, "stream": true });
    let body = body.to_string();
    drop(prompt);
    match post(sender, headers, body).await {
        Ok(answer) if answer.status().is_success() => {
            seen.ending = Ending::Broken;
            stream::read(answer.into_body(), output, &sender.clock, seen).await;
        }
        Ok(answer) => seen.ending = read_problem(answer).await,
        Err(error) => seen.ending = failed(&error),
    }
}

async fn post(
    sender: &Sender,
    headers: HeaderMap,
    body: String,
) -> Result<Response<Incoming>, ClientError> {
    let endpoint = Endpoint::new(sender.entry, "/v1/completions");
    sender.client.send(Method::POST, &endpoint, headers, body.into()).await
}
