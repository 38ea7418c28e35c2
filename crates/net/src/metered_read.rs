//! A read half that stops after an allowance, so that no peer can make a buffer grow without end.

use std::{cell, io, rc};

use monoio::{
    BufResult,
    buf::{IoBufMut, IoVecBufMut},
    io::AsyncReadRent,
};

/// Bytes that may still be read; shared by the reader and whoever sets the allowance.
#[derive(Debug, Clone, Default)]
pub struct ReadAllowance(rc::Rc<cell::Cell<u64>>);

impl ReadAllowance {
    /// Allows `bytes` more from now on.
    pub fn set(&self, bytes: u64) {
        self.0.set(bytes);
    }

    /// Whether nothing is left of it.
    pub fn used_up(&self) -> bool {
        self.0.get() == 0
    }

    fn spend(&self, bytes: usize) {
        self.0.set(self.0.get().saturating_sub(bytes as u64));
    }
}

/// A reader that fails once its allowance is used up.
#[derive(Debug)]
pub struct MeteredRead<R> {
    inner: R,
    allowance: ReadAllowance,
}

impl<R> MeteredRead<R> {
    /// Puts `inner` under an allowance, which starts at nothing.
    pub fn new(inner: R) -> (Self, ReadAllowance) {
        let allowance = ReadAllowance::default();
        (Self { inner, allowance: allowance.clone() }, allowance)
    }
}

impl<R: AsyncReadRent> AsyncReadRent for MeteredRead<R> {
    async fn read<T: IoBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        if self.allowance.used_up() {
            return (Err(used_up()), buf);
        }
        let (result, buf) = self.inner.read(buf).await;
        if let Ok(count) = &result {
            self.allowance.spend(*count);
        }
        (result, buf)
    }

    async fn readv<T: IoVecBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        if self.allowance.used_up() {
            return (Err(used_up()), buf);
        }
        let (result, buf) = self.inner.readv(buf).await;
        if let Ok(count) = &result {
            self.allowance.spend(*count);
        }
        (result, buf)
    }
}

fn used_up() -> io::Error {
    io::Error::new(io::ErrorKind::FileTooLarge, "more bytes than allowed")
}
