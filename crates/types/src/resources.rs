//! Amounts of processor time, memory and accelerators.
//!
//! Arithmetic is checked or saturating: an amount never wraps around.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// A kind of resource of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResourceKind {
    /// Processor time, in thousandths of a core.
    Processor,
    /// Memory, in MiB.
    Memory,
    /// Whole accelerators.
    Accelerator,
}

impl fmt::Display for ResourceKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ResourceKind::Processor => "processor",
            ResourceKind::Memory => "memory",
            ResourceKind::Accelerator => "accelerator",
        })
    }
}

/// An amount of each resource.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Thousandths of a core.
    pub millicores: u64,
    /// MiB of memory.
    pub memory_mib: u64,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

impl Resources {
    /// Zero of each resource.
    pub const ZERO: Resources = Resources::new(0, 0, 0);

    /// Creates an amount from thousandths of a core, MiB of memory and whole accelerators.
    pub const fn new(millicores: u64, memory_mib: u64, accelerators: u32) -> Resources {
        Resources {
            millicores,
            memory_mib,
            accelerators,
        }
    }

    /// Whether every amount is zero.
    pub fn is_zero(&self) -> bool {
        *self == Resources::ZERO
    }

    /// Whether `self` is at most `available` in each resource.
    pub fn fits_in(&self, available: &Resources) -> bool {
        self.limiting(available).is_none()
    }

    /// The first resource, in the order of [`ResourceKind`], of which `available` has less than
    /// `self`.
    pub fn limiting(&self, available: &Resources) -> Option<ResourceKind> {
        if self.millicores > available.millicores {
            return Some(ResourceKind::Processor);
        }
        if self.memory_mib > available.memory_mib {
            return Some(ResourceKind::Memory);
        }
        if self.accelerators > available.accelerators {
            return Some(ResourceKind::Accelerator);
        }
        None
    }

    /// The sum of each resource, or `None` on overflow.
    pub fn checked_add(&self, other: &Resources) -> Option<Resources> {
        Some(Resources {
            millicores: self.millicores.checked_add(other.millicores)?,
            memory_mib: self.memory_mib.checked_add(other.memory_mib)?,
            accelerators: self.accelerators.checked_add(other.accelerators)?,
        })
    }

    /// The difference of each resource, or `None` if `other` exceeds `self` in any.
    pub fn checked_sub(&self, other: &Resources) -> Option<Resources> {
        Some(Resources {
            millicores: self.millicores.checked_sub(other.millicores)?,
            memory_mib: self.memory_mib.checked_sub(other.memory_mib)?,
            accelerators: self.accelerators.checked_sub(other.accelerators)?,
        })
    }

    /// The sum of each resource, clamped to the maximum of its type.
    pub fn saturating_add(&self, other: &Resources) -> Resources {
        Resources {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// The difference of each resource, or zero where `other` exceeds `self`.
    pub fn saturating_sub(&self, other: &Resources) -> Resources {
        Resources {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// This amount multiplied by `count`, or `None` on overflow.
    pub fn checked_mul(&self, count: u32) -> Option<Resources> {
        Some(Resources {
            millicores: self.millicores.checked_mul(u64::from(count))?,
            memory_mib: self.memory_mib.checked_mul(u64::from(count))?,
            accelerators: self.accelerators.checked_mul(count)?,
        })
    }

    /// The larger amount of each resource.
    pub fn max(&self, other: &Resources) -> Resources {
        Resources {
            millicores: self.millicores.max(other.millicores),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }
}

/// The error for a text that is not the `Display` form of [`Resources`], of which the accelerators
/// may be left out.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("expected `<millicores>m/<memory>Mi/<accelerators>a`, got `{0}`")]
pub struct ParseResourcesError(pub String);

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}m/{}Mi/{}a",
            self.millicores, self.memory_mib, self.accelerators
        )
    }
}

impl FromStr for Resources {
    type Err = ParseResourcesError;

    fn from_str(text: &str) -> Result<Resources, ParseResourcesError> {
        parse(text).ok_or_else(|| ParseResourcesError(text.to_owned()))
    }
}

fn parse(text: &str) -> Option<Resources> {
    let mut parts = text.split('/');
    let millicores = parts.next()?.strip_suffix('m')?.parse().ok()?;
    let memory_mib = parts.next()?.strip_suffix("Mi")?.parse().ok()?;
    let accelerators = match parts.next() {
        Some(part) => part.strip_suffix('a')?.parse().ok()?,
        None => 0,
    };
    match parts.next() {
        Some(_) => None,
        None => Some(Resources {
            millicores,
            memory_mib,
            accelerators,
        }),
    }
}
