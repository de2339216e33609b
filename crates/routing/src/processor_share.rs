//! Fair shares of the processor time of a router's one thread among its clients.
//!
//! A token bucket for each client, refilled by time: all clients together are allowed a part of the
//! thread's time, each an equal part of it. A client that uses more pays from a second part, which
//! is granted in order: it must pause until its excess has been paid at the rate of that part. So
//! however many clients send messages that only the router responds to, at full speed, the rest of
//! the time is left to requests and to the router's other tasks. The caller decides what is charged.
//!
//! Owns the time to which the second part is granted. It never delays a client that stays within
//! its allowance.

use crate::units::{Nanos, Timestamp};

/// The part of the thread's time that the allowances of all clients together have.
const ALLOWED_FRACTION: f64 = 0.2;
/// The part of the thread's time in which clients pay for what exceeds their allowances.
const EXCESS_FRACTION: f64 = 0.3;
/// The time for which a client that uses nothing collects its allowance, nanoseconds.
const COLLECTION_PERIOD: f64 = 100e6;
/// The largest allowance of one client, nanoseconds.
const MAX_ALLOWANCE: f64 = 10e6;

/// The processor time that one client may use without a pause.
#[derive(Debug, Default)]
pub struct Allowance {
    /// What is left at `updated_at`, nanoseconds.
    available: f64,
    /// The time of the last charge; `None` before the first one, when the allowance is full.
    updated_at: Option<Timestamp>,
}

impl Allowance {
    /// Adds what the client has collected by `now`, and returns what is available.
    fn refill(&mut self, now: Timestamp, rate: f64) -> f64 {
        let largest = (rate * COLLECTION_PERIOD).min(MAX_ALLOWANCE);
        let collected = match self.updated_at {
            Some(at) => rate * now.saturating_sub(at) as f64,
            None => largest,
        };
        self.updated_at = Some(now);
        self.available = (self.available + collected).min(largest);
        self.available
    }
}

/// Grants processor time to all clients of a router.
#[derive(Debug)]
pub struct ProcessorShare {
    /// The part of a processor that the router's thread has, above 0 and at most 1.
    processors: f64,
    /// The time at which all excess so far has been paid.
    paid_at: Timestamp,
}

impl ProcessorShare {
    /// Creates the shares of a thread that has this part of a processor; more than one counts as
    /// one.
    pub fn new(processors: f64) -> ProcessorShare {
        ProcessorShare {
            processors: processors.clamp(f64::MIN_POSITIVE, 1.0),
            paid_at: 0,
        }
    }

    /// Charges a client, one of `clients`, with processor time that it has used by `now`. Returns
    /// the time from which it may use more: `now` if its allowance covers the charge.
    pub fn charge(
        &mut self,
        now: Timestamp,
        allowance: &mut Allowance,
        used: Nanos,
        clients: usize,
    ) -> Timestamp {
        let rate = self.processors * ALLOWED_FRACTION / clients.max(1) as f64;
        let excess = used as f64 - allowance.refill(now, rate);
        allowance.available = (-excess).max(0.0);
        if excess <= 0.0 {
            return now;
        }
        let payment = (excess / (self.processors * EXCESS_FRACTION)) as Nanos;
        self.paid_at = self.paid_at.max(now).saturating_add(payment);
        self.paid_at
    }
}
