//! Bytes packed for their way between members: by themselves, or as what differs from others that the
//! receiver has.

use serde::{Deserialize, Serialize};
use slipturn_core::rendezvous;
use snafu::{ResultExt as _, Snafu, ensure};

/// Speed of packing against size. The fastest: half a megabyte of routes takes some 2 ms and comes to
/// a tenth; a slower level saves a tenth of that for thrice the time.
const COMPRESSION_LEVEL: i32 = 1;
/// Smallest and largest distance, as a power of two, over which what repeats is found: bytes and base
/// are to lie within it, and its tables cost memory while something is packed.
const WINDOW_LOGS: std::ops::RangeInclusive<u32> = 10..=23;
/// Most bytes that are unpacked: what a member says of their number is not believed beyond it.
pub const MAX_DECOMPRESSED_BYTES: usize = 8 << 20;

/// Why bytes could not be packed, or are not what they should be.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CompressionError {
    /// The coder failed, or the bytes are damaged.
    #[snafu(display("packed bytes: {source}"))]
    Codec {
        /// What the coder said.
        source: std::io::Error,
    },
    /// They claim to be more than anything that is passed on.
    #[snafu(display("{length} packed bytes; at most {MAX_DECOMPRESSED_BYTES} are taken"))]
    TooLarge {
        /// What they claim.
        length: u32,
    },
    /// They are others than their sender had.
    #[snafu(display(
        "unpacked bytes have digest {found:016x}, and their sender's {expected:016x}"
    ))]
    Digest {
        /// The sender's.
        expected: u64,
        /// That of what was unpacked.
        found: u64,
    },
}

impl CompressionError {
    /// Of bytes that unpack and do not mean anything.
    pub(crate) fn code(error: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> Self {
        Self::Codec { source: std::io::Error::other(error) }
    }
}

/// Packed bytes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompressedBytes {
    packed: Vec<u8>,
    /// Number of bytes that were packed.
    length: u32,
    /// Digest of them: guards against a base that differs and against damage on the way.
    digest: u64,
}

impl CompressedBytes {
    /// Packs bytes as what differs from `base`, which may be empty.
    pub fn compress(bytes: &[u8], base: &[u8]) -> Result<Self, CompressionError> {
        let mut codec =
            zstd::bulk::Compressor::with_dictionary(COMPRESSION_LEVEL, base).context(CodecSnafu)?;
        let span = (bytes.len() + base.len()).max(1).ilog2() + 1;
        let window = span.clamp(*WINDOW_LOGS.start(), *WINDOW_LOGS.end());
        let window = zstd::zstd_safe::CParameter::WindowLog(window);
        codec.set_parameter(window).context(CodecSnafu)?;
        let packed = codec.compress(bytes).context(CodecSnafu)?;
        let length = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
        Ok(Self { packed, length, digest: rendezvous::stable_digest(bytes) })
    }

    /// The bytes, with the `base` that they were packed against.
    pub fn decompress(&self, base: &[u8]) -> Result<Vec<u8>, CompressionError> {
        let length = self.length;
        ensure!(length as usize <= MAX_DECOMPRESSED_BYTES, TooLargeSnafu { length });
        let mut codec = zstd::bulk::Decompressor::with_dictionary(base).context(CodecSnafu)?;
        let bytes = codec.decompress(&self.packed, length as usize).context(CodecSnafu)?;
        let (expected, found) = (self.digest, rendezvous::stable_digest(&bytes));
        ensure!(found == expected, DigestSnafu { expected, found });
        Ok(bytes)
    }

    /// Bytes that they take on their way.
    pub fn size(&self) -> usize {
        self.packed.len()
    }
}
