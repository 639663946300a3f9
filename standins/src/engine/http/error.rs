//! Mapping of engine errors to HTTP responses.

use crate::{aborted::aborted_response, engine::EngineError};
use axum::{
    http::StatusCode,
    response::{IntoResponse, Response},
};

impl IntoResponse for EngineError {
    fn into_response(self) -> Response {
        let status = match self {
            Self::UnknownModel | Self::UnknownLease | Self::UnknownStream => StatusCode::NOT_FOUND,
            Self::NoMemory => StatusCode::INSUFFICIENT_STORAGE,
            Self::Overloaded => StatusCode::SERVICE_UNAVAILABLE,
            Self::StaleFencing => StatusCode::CONFLICT,
            Self::MalformedCache => StatusCode::BAD_REQUEST,
            Self::Restarted => return aborted_response(),
        };
        (status, self.to_string()).into_response()
    }
}
