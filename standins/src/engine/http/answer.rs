//! How errors of an engine look on the wire.

use crate::{broken::broken, engine::EngineError};
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
            Self::Restarted => return broken(),
        };
        (status, self.to_string()).into_response()
    }
}
