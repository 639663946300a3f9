//! Teams and their shares of the requests.

use fulmarhead_lib::ids::TeamId;
use std::str::FromStr;

/// A team that sends requests, parsed from `NAME:TOKEN:SHARE`.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamShare {
    /// Name of the team in the report.
    pub name: TeamId,
    /// Bearer token that the team's requests carry.
    pub token: String,
    /// Weight of the team relative to the sum over all teams.
    pub share: f64,
}

/// Reason that the text of a team can't be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TeamShareError {
    /// The text does not consist of three parts separated by colons.
    #[error("not of the form NAME:TOKEN:SHARE")]
    Format,
    /// The share is not a positive finite number.
    #[error("the share is not a positive number")]
    Share,
}

impl FromStr for TeamShare {
    type Err = TeamShareError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split(':');
        let (Some(name), Some(token), Some(share), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(TeamShareError::Format);
        };
        let share: f64 = share.parse().map_err(|_| TeamShareError::Share)?;
        if !share.is_finite() || share <= 0.0 {
            return Err(TeamShareError::Share);
        }
        Ok(Self { name: name.to_owned(), token: token.to_owned(), share })
    }
}
