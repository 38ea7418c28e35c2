//! Identifiers, each a distinct type so that one cannot be passed in place of another.

use std::{fmt, str, sync};

use snafu::Snafu;

/// Longest valid name, in bytes.
pub const MAX_NAME_LENGTH: usize = 96;

/// Error for a text that is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "found '{found}', expected 1 to {MAX_NAME_LENGTH} letters, digits, '.', '_', ':' or '-'"
))]
pub struct NameError {
    /// The text, cut to [`MAX_NAME_LENGTH`] characters.
    found: String,
}

fn check_name(text: &str) -> Result<(), NameError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._:-".contains(&byte);
    if !text.is_empty() && text.len() <= MAX_NAME_LENGTH && text.bytes().all(allowed) {
        return Ok(());
    }
    Err(NameError::of(text))
}

impl NameError {
    fn of(text: &str) -> Self {
        Self { found: text.chars().take(MAX_NAME_LENGTH).collect() }
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        text_id! { $(#[$doc])* checked by check_name $name }
    };
    ($(#[$doc:meta])* checked by $check:ident $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(sync::Arc<str>);

        impl $name {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl str::FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                $check(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.as_str().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

text_id! {
    /// An engine: an upstream that runs a model and serves completions.
    EngineId
}
text_id! {
    /// A service, provided by a group of upstreams.
    ServiceId
}
text_id! {
    /// An instance, which runs one entry and one scheduler.
    InstanceId
}
text_id! {
    /// A data centre, in which instances and upstreams run and which operators can evacuate.
    DataCenterId
}
text_id! {
    /// A customer, the second level of the settings tree.
    CustomerId
}
text_id! {
    /// An application of a customer, the third level of the settings tree.
    ApplicationId
}
text_id! {
    /// A request class of an application, the fourth level of the settings tree.
    ClassId
}
text_id! {
    /// A model that callers request by this name and engines serve.
    ModelId
}
text_id! {
    /// A request of a caller: `INSTANCE:BOOT:SEQUENCE`, from which the instance that received it can
    /// be derived.
    RequestId
}
text_id! {
    /// An attempt of a request: the request's id, a colon and the attempt's number.
    AttemptId
}

text_id! {
    /// One start of an upstream, which is one life of its process: `IDENTIFIER`, or
    /// `IDENTIFIER@START` if the upstream reports its start.
    ///
    /// An upstream may restart under its identifier and loses its state then. Its memory contents, its
    /// assigned work and what is known of it belong to one start, so they are stored under this name.
    checked by check_upstream
    UpstreamId
}

impl UpstreamId {
    /// Creates the id of an upstream without a start; fails if `text` contains one.
    pub fn of_identifier(text: &str) -> Result<Self, NameError> {
        check_name(text)?;
        Ok(Self(text.into()))
    }

    /// Returns the id of the given start of the same upstream.
    pub fn with_start(&self, start: UpstreamStart) -> Self {
        Self(format!("{}{START_SEPARATOR}{start}", self.identifier()).into())
    }

    /// Returns the identifier, which all starts of the upstream share.
    pub fn identifier(&self) -> &str {
        self.0.split_once(START_SEPARATOR).map_or(&*self.0, |(identifier, _)| identifier)
    }

    /// Returns the start, if the upstream reports it.
    pub fn start(&self) -> Option<UpstreamStart> {
        self.0.split_once(START_SEPARATOR)?.1.parse().ok()
    }
}

/// Separates an upstream's identifier from its start; not valid in identifiers.
const START_SEPARATOR: char = '@';

fn check_upstream(text: &str) -> Result<(), NameError> {
    let (identifier, start) = match text.split_once(START_SEPARATOR) {
        Some((identifier, start)) => (identifier, Some(start)),
        None => (text, None),
    };
    let is_valid = start.is_none_or(|start| start.parse::<UpstreamStart>().is_ok());
    if is_valid { check_name(identifier) } else { Err(NameError::of(text)) }
}

/// Time at which an upstream started, in Unix milliseconds by its own clock.
///
/// Clocks may be wrong: unequal values are different starts, but their order does not tell which
/// one is later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamStart(pub u64);

impl fmt::Display for UpstreamStart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl str::FromStr for UpstreamStart {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

impl RequestId {
    /// Creates the id of the `sequence`th request of an instance since it started.
    pub fn new(instance: &InstanceId, boot: BootId, sequence: u64) -> Self {
        Self(format!("{instance}:{boot}:{sequence:x}").into())
    }

    /// Returns the instance that received the request, or `None` for an id of another format.
    pub fn instance(&self) -> Option<InstanceId> {
        let mut parts = self.0.rsplitn(3, ':');
        let (_sequence, _boot, instance) = (parts.next()?, parts.next()?, parts.next()?);
        instance.parse().ok()
    }
}

impl AttemptId {
    /// Creates the id of the `number`th attempt of a request.
    pub fn new(request: &RequestId, number: u32) -> Self {
        Self(format!("{request}:{number}").into())
    }

    /// Returns the request that the attempt belongs to, or `None` for an id of another format.
    pub fn request(&self) -> Option<RequestId> {
        self.0.rsplit_once(':')?.0.parse().ok()
    }
}

/// Identifies one run of an instance's process; it changes with each restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BootId(pub u64);

impl fmt::Display for BootId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl str::FromStr for BootId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
