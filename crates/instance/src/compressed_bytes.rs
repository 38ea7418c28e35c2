//! Bytes compressed for transfer between members, alone or as a delta against a base that the receiver has.

use serde::{Deserialize, Serialize};
use slipturn_core::rendezvous;
use snafu::{ResultExt as _, Snafu, ensure};

/// zstd level, the fastest: half a megabyte of routes takes some 2 ms and shrinks to a tenth. A slower level saves a tenth
/// of that size in three times the time.
const COMPRESSION_LEVEL: i32 = 1;
/// Smallest and largest binary logarithm of the match window. The window should span the bytes and their base, and its
/// tables take memory during compression.
const WINDOW_LOGS: std::ops::RangeInclusive<u32> = 10..=23;
/// Most bytes that are decompressed, whatever length a member claims.
pub const MAX_DECOMPRESSED_BYTES: usize = 8 << 20;

/// Why bytes could not be compressed or decompressed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CompressionError {
    /// The codec failed, or the bytes are damaged.
    #[snafu(display("compressed bytes: {source}"))]
    Codec {
        /// The error of the codec.
        source: std::io::Error,
    },
    /// The claimed length exceeds [`MAX_DECOMPRESSED_BYTES`].
    #[snafu(display(
        "claimed length of {length} bytes exceeds the limit of {MAX_DECOMPRESSED_BYTES}"
    ))]
    TooLarge {
        /// Claimed length of the decompressed bytes.
        length: u32,
    },
    /// The decompressed bytes differ from those that the sender compressed.
    #[snafu(display("digest of decompressed bytes is {found:016x}, expected {expected:016x}"))]
    Digest {
        /// Digest that the sender stated.
        expected: u64,
        /// Digest of the decompressed bytes.
        found: u64,
    },
}

impl CompressionError {
    /// Creates an error for bytes that decompress but cannot be decoded, or that could not be encoded.
    pub(crate) fn codec(error: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> Self {
        Self::Codec { source: std::io::Error::other(error) }
    }
}

/// Compressed bytes, with the length and digest of the original ones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompressedBytes {
    /// The output of the codec, zstd.
    packed: Vec<u8>,
    /// Length of the original bytes.
    length: u32,
    /// Digest of the original bytes: detects a different base and damage in transfer.
    digest: u64,
}

impl CompressedBytes {
    /// Compresses bytes as a delta against `base`, which may be empty.
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

    /// Decompresses the bytes, given the `base` that they were compressed against.
    pub fn decompress(&self, base: &[u8]) -> Result<Vec<u8>, CompressionError> {
        let length = self.length;
        ensure!(length as usize <= MAX_DECOMPRESSED_BYTES, TooLargeSnafu { length });
        let mut codec = zstd::bulk::Decompressor::with_dictionary(base).context(CodecSnafu)?;
        let bytes = codec.decompress(&self.packed, length as usize).context(CodecSnafu)?;
        let (expected, found) = (self.digest, rendezvous::stable_digest(&bytes));
        ensure!(found == expected, DigestSnafu { expected, found });
        Ok(bytes)
    }

    /// Number of bytes after compression, without the length and the digest.
    pub fn size(&self) -> usize {
        self.packed.len()
    }
}
