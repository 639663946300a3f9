//! Teams and their shares of the arrivals.

use fulmarhead_lib::ids::TeamId;
use std::str::FromStr;

/// A team that sends requests.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamShare {
    /// Name of the team in the report.
    pub name: TeamId,
    /// Bearer token of the team.
    pub token: String,
    /// Weight of the team among all teams.
    pub share: f64,
}

/// Why the text of a team can't be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TeamShareError {
    /// The text does not have three parts.
    #[error("not of the form NAME:TOKEN:SHARE")]
    Form,
    /// The share is not a positive number.
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
            return Err(TeamShareError::Form);
        };
        let share: f64 = share.parse().map_err(|_| TeamShareError::Share)?;
        if !share.is_finite() || share <= 0.0 {
            return Err(TeamShareError::Share);
        }
        Ok(Self { name: name.to_owned(), token: token.to_owned(), share })
    }
}
