//! Names of things, each a type of its own so that one cannot be passed for another.

use std::{fmt, str, sync};

use snafu::Snafu;

/// Longest accepted name, in bytes.
pub const MAX_NAME_LENGTH: usize = 96;

/// Why a text is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "found '{found}', expected 1 to {MAX_NAME_LENGTH} letters, digits, '.', '_', ':' or '-'"
))]
pub struct NameError {
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
            /// The name as text.
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
    /// One model engine, the upstream of completions.
    EngineId
}
text_id! {
    /// A plain service, served by any of its upstreams.
    ServiceId
}
text_id! {
    /// One entry instance: it runs one entry and one scheduler.
    InstanceId
}
text_id! {
    /// A data centre.
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
    /// A model, named by callers and served by engines.
    ModelId
}
text_id! {
    /// One request of a caller: `INSTANCE:BOOT:SEQUENCE`, so that it tells which instance to ask.
    RequestId
}
text_id! {
    /// One attempt of a request: the request's id, a colon and the attempt's number.
    AttemptId
}

text_id! {
    /// One start of an upstream: `IDENTIFIER`, or `IDENTIFIER@START` where upstreams tell their starts
    /// apart.
    ///
    /// An upstream may start again under its identifier, and then knows nothing of before. What it
    /// held, was given and was believed of it belongs to one start, and is kept under this name.
    checked by check_upstream
    UpstreamId
}

impl UpstreamId {
    /// An upstream by its identifier alone; a text that names a start is none.
    pub fn of_identifier(text: &str) -> Result<Self, NameError> {
        check_name(text)?;
        Ok(Self(text.into()))
    }

    /// This start of the same upstream.
    pub fn with_start(&self, start: UpstreamStart) -> Self {
        Self(format!("{}{START_MARK}{start}", self.identifier()).into())
    }

    /// What all starts of the upstream have in common.
    pub fn identifier(&self) -> &str {
        self.0.split_once(START_MARK).map_or(&*self.0, |(identifier, _)| identifier)
    }

    /// Which start it is, if the upstream reports it.
    pub fn start(&self) -> Option<UpstreamStart> {
        self.0.split_once(START_MARK)?.1.parse().ok()
    }
}

/// Between an upstream's identifier and its start; no identifier holds it.
const START_MARK: char = '@';

fn check_upstream(text: &str) -> Result<(), NameError> {
    let (identifier, start) = match text.split_once(START_MARK) {
        Some((identifier, start)) => (identifier, Some(start)),
        None => (text, None),
    };
    let sound = start.is_none_or(|start| start.parse::<UpstreamStart>().is_ok());
    if sound { check_name(identifier) } else { Err(NameError::of(text)) }
}

/// When an upstream started, Unix milliseconds by its own clock.
///
/// Clocks may be wrong: two starts that differ are different ones, and neither is known to be the
/// later.
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
    /// Builds the id of the `sequence`th request of an instance since it started.
    pub fn new(instance: &InstanceId, boot: BootId, sequence: u64) -> Self {
        Self(format!("{instance}:{boot}:{sequence:x}").into())
    }

    /// The instance that took the request, or `None` for an id slipturn did not make.
    pub fn instance(&self) -> Option<InstanceId> {
        let mut parts = self.0.rsplitn(3, ':');
        let (_sequence, _boot, instance) = (parts.next()?, parts.next()?, parts.next()?);
        instance.parse().ok()
    }
}

impl AttemptId {
    /// Builds the id of the `number`th attempt of a request.
    pub fn new(request: &RequestId, number: u32) -> Self {
        Self(format!("{request}:{number}").into())
    }

    /// The request this is an attempt of, or `None` for an id slipturn did not make.
    pub fn request(&self) -> Option<RequestId> {
        self.0.rsplit_once(':')?.0.parse().ok()
    }
}

/// One start of a process. A process that starts again has another one.
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
