//! Idempotency keys, each bound to one incarnation of the agent that issued it.

use crate::ids::{Incarnation, TargetId};
use std::{
    fmt::{Display, Formatter},
    str::FromStr,
    time::{Duration, SystemTime},
};
use uuid::{NoContext, Timestamp, Uuid};

/// An idempotency key whose call only one incarnation of one agent may run.
///
/// The text form is `{UUID version 7}.{target}.{incarnation as 16 hexadecimal digits}`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdempotencyKey {
    /// UUID of version 7, which contains the time of issue in milliseconds.
    pub id: Uuid,
    /// Target whose agent owns the key.
    pub target: TargetId,
    /// Incarnation of the agent that owns the key.
    pub incarnation: Incarnation,
}

/// Reason why a string could not be parsed as an [`IdempotencyKey`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The string does not consist of three parts separated by dots.
    #[error("invalid idempotency key: expected three parts separated by dots")]
    Parts,
    /// The first part is not a UUID of version 7.
    #[error("invalid idempotency key: the first part is not a UUID of version 7")]
    Uuid,
    /// The target is not a valid name, see [`is_valid_name`].
    #[error("invalid idempotency key: the second part is not a valid target name")]
    Target,
    /// The incarnation is not 16 hexadecimal digits.
    #[error("invalid idempotency key: the incarnation is not 16 hexadecimal digits")]
    Incarnation,
}

impl IdempotencyKey {
    /// Creates a key at wall-clock time `wall`, owned by `incarnation` of the agent of `target`.
    pub fn issue(target: TargetId, incarnation: Incarnation, wall: SystemTime) -> Self {
        let since_epoch = wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let timestamp =
            Timestamp::from_unix(NoContext, since_epoch.as_secs(), since_epoch.subsec_nanos());
        Self { id: Uuid::new_v7(timestamp), target, incarnation }
    }

    /// Returns the wall-clock time of issue, with millisecond precision.
    pub fn issued_at(&self) -> SystemTime {
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
        if !is_valid_name(target) {
            return Err(KeyError::Target);
        }
        Ok(Self { id, target: target.to_owned(), incarnation: parse_incarnation(incarnation)? })
    }
}

/// Returns whether `text` is a valid name: 1 to 64 ASCII letters, digits, `-` or `_`.
///
/// An idempotency key can contain only such a name as its target.
pub fn is_valid_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    !text.is_empty() && text.len() <= 64 && text.chars().all(is_allowed)
}

fn parse_incarnation(text: &str) -> Result<Incarnation, KeyError> {
    let all_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if text.len() != 16 || !all_hex {
        return Err(KeyError::Incarnation);
    }
    Incarnation::from_str_radix(text, 16).map_err(|_| KeyError::Incarnation)
}

/// Returns the timestamp of a UUID of version 7, with millisecond precision.
pub(super) fn issue_time(id: Uuid) -> SystemTime {
    let (seconds, nanos) = id.get_timestamp().map_or((0, 0), |timestamp| timestamp.to_unix());
    SystemTime::UNIX_EPOCH + Duration::new(seconds, nanos)
}
