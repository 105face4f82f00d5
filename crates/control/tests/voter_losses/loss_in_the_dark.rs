//! Orders in which machines go dark, lose their disks and return.

use crate::FOUNDING_MS;
use crate::schedule::Policy;
use crate::schedule::Schedule;

/// In which order machines return.
#[derive(Clone, Copy, Debug)]
pub enum Return {
    LostFirst,
    DarkFirst,
    Together,
}

/// Two machines go dark; while they are, two others lose their disks.
#[derive(Clone, Copy, Debug)]
pub struct LossInTheDark {
    size: usize,
    dark: [usize; 2],
    lost: [usize; 2],
    lost_after_ms: u64,
    order: Return,
}

impl LossInTheDark {
    pub fn all() -> Vec<LossInTheDark> {
        let mut all = Vec::new();
        for size in 5..=6 {
            for first in 0..size {
                for gap in [1, 2] {
                    for lost_after_ms in [2_700, 4_500] {
                        for order in [Return::LostFirst, Return::DarkFirst, Return::Together] {
                            let host = |number: usize| (first + number) % size;
                            all.push(LossInTheDark {
                                size,
                                dark: [host(0), host(1)],
                                lost: [host(2), host(2 + gap)],
                                lost_after_ms,
                                order,
                            });
                        }
                    }
                }
            }
        }
        all
    }

    pub fn run(self, policy: Policy) -> Result<(), String> {
        let mut schedule = Schedule::new(7, self.size, 2, policy);
        for _ in 0..FOUNDING_MS {
            schedule.advance()?;
        }
        let (dark_ms, lost_ms) = match self.order {
            Return::LostFirst => (6_000, 500),
            Return::DarkFirst => (1_000, 4_000),
            Return::Together => (1_000, 1_000),
        };
        for host in self.dark {
            schedule.cut_power(host, self.lost_after_ms + dark_ms);
        }
        for _ in 0..self.lost_after_ms {
            schedule.advance()?;
        }
        for host in self.lost {
            schedule.cut_power(host, lost_ms);
            schedule.replace_disk(host);
        }
        for _ in 0..dark_ms.max(lost_ms) + 10 {
            schedule.advance()?;
        }
        schedule.recover(2)
    }
}
