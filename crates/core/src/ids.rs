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
    Err(NameError { found: text.chars().take(MAX_NAME_LENGTH).collect() })
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
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
                check_name(text)?;
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
    /// One upstream of a plain service.
    UpstreamId
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
