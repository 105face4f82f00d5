//! A count of the bytes that something holds at the moment, such as a queue.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// The count; clones share it.
#[derive(Clone, Default)]
pub(crate) struct ByteCount(Arc<AtomicUsize>);

/// A share of a count, which is taken off it when this is dropped.
pub(crate) struct CountedBytes {
    count: ByteCount,
    size_bytes: usize,
}

impl ByteCount {
    pub(crate) fn bytes(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    pub(crate) fn add(&self, size_bytes: usize) -> CountedBytes {
        self.0.fetch_add(size_bytes, Ordering::Relaxed);
        CountedBytes {
            count: self.clone(),
            size_bytes,
        }
    }
}

impl Drop for CountedBytes {
    fn drop(&mut self) {
        self.count.0.fetch_sub(self.size_bytes, Ordering::Relaxed);
    }
}
