//! Idempotency keys that name the agent that owns them.

use crate::ids::{Incarnation, TargetId};
use std::{
    fmt::{Display, Formatter},
    str::FromStr,
    time::{Duration, SystemTime},
};
use uuid::{NoContext, Timestamp, Uuid};

/// A key that only one life of one agent may run.
///
/// Its text is `{UUID version 7}.{target}.{incarnation in 16 hexadecimal digits}`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdempotencyKey {
    /// Unique part; holds the time of issue in milliseconds.
    pub id: Uuid,
    /// Target whose agent owns the key.
    pub target: TargetId,
    /// Life of the agent that owns the key.
    pub incarnation: Incarnation,
}

/// Why a text is not a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The text has not three parts with dots between them.
    #[error("an idempotency key has three parts")]
    Parts,
    /// The first part is not a UUID of version 7.
    #[error("an idempotency key starts with a UUID of version 7")]
    Uuid,
    /// The target is empty or has characters other than letters, digits, `-` and `_`.
    #[error("an idempotency key names a target")]
    Target,
    /// The incarnation is not 16 hexadecimal digits.
    #[error("an idempotency key ends with 16 hexadecimal digits")]
    Incarnation,
}

impl IdempotencyKey {
    /// Issues a key at `wall` for the agent of `target` in its life `incarnation`.
    pub fn issue(target: TargetId, incarnation: Incarnation, wall: SystemTime) -> Self {
        let since = wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let time = Timestamp::from_unix(NoContext, since.as_secs(), since.subsec_nanos());
        Self { id: Uuid::new_v7(time), target, incarnation }
    }

    /// Returns the time of issue, to the millisecond.
    pub fn issued(&self) -> SystemTime {
        issue_time(self.id)
    }
}

impl Display for IdempotencyKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}.{:016x}", self.id, self.target, self.incarnation)
    }
}

impl FromStr for IdempotencyKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let mut parts = text.split('.');
        let (Some(id), Some(target), Some(incarnation), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(KeyError::Parts);
        };
        let id = Uuid::parse_str(id).map_err(|_| KeyError::Uuid)?;
        if id.get_version_num() != 7 {
            return Err(KeyError::Uuid);
        }
        if !is_name(target) {
            return Err(KeyError::Target);
        }
        Ok(Self { id, target: target.to_owned(), incarnation: parse_incarnation(incarnation)? })
    }
}

/// Returns whether an idempotency key can carry `text` as the name of its target.
pub fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    !text.is_empty() && text.len() <= 64 && text.chars().all(allowed)
}

fn parse_incarnation(text: &str) -> Result<Incarnation, KeyError> {
    let digits = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if text.len() != 16 || !digits {
        return Err(KeyError::Incarnation);
    }
    Incarnation::from_str_radix(text, 16).map_err(|_| KeyError::Incarnation)
}

/// Returns the time that a UUID of version 7 holds, to the millisecond.
pub(super) fn issue_time(id: Uuid) -> SystemTime {
    let (seconds, nanos) = id.get_timestamp().map_or((0, 0), |timestamp| timestamp.to_unix());
    SystemTime::UNIX_EPOCH + Duration::new(seconds, nanos)
}
