//! Limits of the machine or container that an instance runs on, from its settings.

use serde::Deserialize;

use crate::units;

/// Least memory for which bounds can be derived: the process alone takes 10 MB, and more in a large fleet.
pub const MIN_MEMORY: units::ByteCount = units::ByteCount(64_000_000);
/// Open files that are not available to connections, such as listeners and the settings file.
pub const RESERVED_DESCRIPTORS: u32 = 200;
/// Fewest descriptors for which bounds can be derived.
pub const MIN_DESCRIPTORS: u32 = 2 * RESERVED_DESCRIPTORS;

/// How a request body obtains its part of the byte budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BodyAdmission {
    /// The declared length is reserved before the first byte is read.
    #[default]
    DeclaredLength,
    /// A step is reserved at a time, as the body arrives. Bodies that each hold a part may wait for each other.
    Incremental,
}

/// Limits of the machine, from which an instance derives what it takes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineLimits {
    /// Memory limit of the process.
    pub memory: units::ByteCount,
    /// Limit on open files.
    pub descriptors: u32,
    /// How bodies obtain their part of the byte budget.
    #[serde(default)]
    pub bodies: BodyAdmission,
}
