//! A reader with a byte limit, so that no peer can make a read buffer grow without bound.

use std::{cell, io, rc};

use monoio::{
    BufResult,
    buf::{IoBufMut, IoVecBufMut},
    io::AsyncReadRent,
};

/// Number of bytes that a [`MeteredRead`] may still read. Clones share one counter.
#[derive(Debug, Clone, Default)]
pub struct ReadAllowance(rc::Rc<cell::Cell<u64>>);

impl ReadAllowance {
    /// Sets the number of bytes that may be read from now on; what was left of the previous allowance
    /// is discarded.
    pub fn set(&self, bytes: u64) {
        self.0.set(bytes);
    }

    /// Returns whether no more bytes may be read.
    pub fn is_exhausted(&self) -> bool {
        self.0.get() == 0
    }

    fn spend(&self, bytes: usize) {
        self.0.set(self.0.get().saturating_sub(bytes as u64));
    }
}

/// A reader that fails with [`io::ErrorKind::FileTooLarge`] once its allowance is exhausted.
///
/// The read that exhausts the allowance may exceed it by the length of its buffer.
#[derive(Debug)]
pub struct MeteredRead<R> {
    inner: R,
    allowance: ReadAllowance,
}

impl<R> MeteredRead<R> {
    /// Wraps `inner`. Reads fail until the returned allowance is set.
    pub fn new(inner: R) -> (Self, ReadAllowance) {
        let allowance = ReadAllowance::default();
        (Self { inner, allowance: allowance.clone() }, allowance)
    }
}

impl<R: AsyncReadRent> AsyncReadRent for MeteredRead<R> {
    async fn read<T: IoBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        if self.allowance.is_exhausted() {
            return (Err(limit_exceeded()), buf);
        }
        let (result, buf) = self.inner.read(buf).await;
        if let Ok(count) = &result {
            self.allowance.spend(*count);
        }
        (result, buf)
    }

    async fn readv<T: IoVecBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        if self.allowance.is_exhausted() {
            return (Err(limit_exceeded()), buf);
        }
        let (result, buf) = self.inner.readv(buf).await;
        if let Ok(count) = &result {
            self.allowance.spend(*count);
        }
        (result, buf)
    }
}

fn limit_exceeded() -> io::Error {
    io::Error::new(io::ErrorKind::FileTooLarge, "more bytes than allowed")
}
