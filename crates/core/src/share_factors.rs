//! Temporary changes of customers' weights by operators, as each member knows them.

use std::{collections, fmt, num, str, time};

use snafu::{ResultExt as _, Snafu};

use crate::{ids, units};

/// Range of factors. A factor of 100 leaves others less than a hundredth, and one of 0.01 the customer.
const FACTOR_RANGE: (f64, f64) = (0.01, 100.0);
/// How long a factor lasts unless the operator says otherwise.
pub const DEFAULT_TIME: time::Duration = time::Duration::from_secs(10 * 60);
/// Longest time for which a factor lasts.
pub const MAX_TIME: time::Duration = time::Duration::from_secs(120 * 60);
/// Largest number of customers with a factor, so that one message holds them all.
pub const MAX_FACTORS: usize = 64;

/// Error of a factor, or of its duration.
#[derive(Debug, Snafu)]
pub enum FactorError {
    /// The text is not a number.
    #[snafu(display("found '{found}', expected a factor such as 2 or 0.5"))]
    Number {
        /// The invalid text.
        found: String,
        /// Error of the number parser.
        source: num::ParseFloatError,
    },
    /// The factor is out of range.
    #[snafu(display("found {found}, expected a factor from 0.01 to 100"))]
    Range {
        /// The invalid factor.
        found: f64,
    },
    /// Too many customers have a factor.
    #[snafu(display("{MAX_FACTORS} customers have a temporary weight already"))]
    Full,
}

/// Factor by which a customer's weight is multiplied.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct ShareFactor(f64);

impl ShareFactor {
    /// The factor as a number; above zero.
    pub fn value(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for ShareFactor {
    type Error = FactorError;

    fn try_from(found: f64) -> Result<Self, FactorError> {
        if (FACTOR_RANGE.0..=FACTOR_RANGE.1).contains(&found) {
            return Ok(Self(found));
        }
        RangeSnafu { found }.fail()
    }
}

impl str::FromStr for ShareFactor {
    type Err = FactorError;

    fn from_str(text: &str) -> Result<Self, FactorError> {
        text.parse::<f64>().context(NumberSnafu { found: text })?.try_into()
    }
}

impl fmt::Display for ShareFactor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A factor in force.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FactorSetting {
    /// The factor.
    pub factor: ShareFactor,
    /// Number of the change of this customer's factor. Of two settings the one with the higher number holds, and of
    /// equal numbers, as two operators may produce them, the one with the larger factor.
    pub revision: u64,
    /// When the factor ends.
    pub until: units::MonoTime,
}

/// Factors of all customers that have one.
#[derive(Debug, Default)]
pub struct ShareFactors {
    /// At most [`MAX_FACTORS`] that have not ended.
    settings: collections::BTreeMap<ids::CustomerId, FactorSetting>,
}

impl ShareFactors {
    /// Sets a customer's factor for a time of at most [`MAX_TIME`].
    ///
    /// # Errors
    ///
    /// [`FactorError::Full`] if [`MAX_FACTORS`] other customers have a factor.
    pub fn set(
        &mut self,
        now: units::MonoTime,
        customer: &ids::CustomerId,
        factor: ShareFactor,
        duration: time::Duration,
    ) -> Result<FactorSetting, FactorError> {
        let known = self.settings.get(customer).map_or(0, |setting| setting.revision);
        let until = now + duration.min(MAX_TIME);
        let setting = FactorSetting { factor, revision: known.saturating_add(1), until };
        snafu::ensure!(self.receive(now, customer, setting), FullSnafu);
        Ok(setting)
    }

    /// Applies a setting that another member knows; returns whether it is news.
    pub fn receive(
        &mut self,
        now: units::MonoTime,
        customer: &ids::CustomerId,
        setting: FactorSetting,
    ) -> bool {
        self.settings.retain(|_, setting| setting.until > now);
        let until = setting.until.min(now + MAX_TIME);
        if until <= now {
            return false;
        }
        if let Some(known) = self.settings.get_mut(customer) {
            let order = |setting: &FactorSetting| (setting.revision, setting.factor);
            let is_newer = order(&setting) > order(known);
            if is_newer {
                *known = FactorSetting { until, ..setting };
            } else if order(&setting) == order(known) {
                // The remaining time is as old as its message, so the earliest end is the most accurate one.
                known.until = known.until.min(until);
            }
            return is_newer;
        }
        let has_room = self.settings.len() < MAX_FACTORS;
        if has_room {
            self.settings.insert(customer.clone(), FactorSetting { until, ..setting });
        }
        has_room
    }

    /// Factor of a customer's weight; 1 without a setting.
    pub fn factor(&self, now: units::MonoTime, customer: &ids::CustomerId) -> f64 {
        let setting = self.settings.get(customer).filter(|setting| setting.until > now);
        setting.map_or(1.0, |setting| setting.factor.value())
    }

    /// The settings in force.
    pub fn in_force(
        &self,
        now: units::MonoTime,
    ) -> impl Iterator<Item = (&ids::CustomerId, &FactorSetting)> {
        self.settings.iter().filter(move |(_, setting)| setting.until > now)
    }
}
