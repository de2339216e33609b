//! A hierarchical timer wheel: many timers, most of which are moved before they are due.
//!
//! Each level has 64 slots, each slot a list; a slot of one level spans all slots of the level below. A timer lies at
//! the level of the highest 6 bits in which its time differs from the wheel's, so to insert, move or cancel one takes
//! the same few steps however many there are. As the wheel turns, a slot that is reached is dealt out to lower levels;
//! a timer is touched once a level at most.

use reelrill_routing::Timestamp;

const BITS: u32 = 6;
const SLOTS: usize = 1 << BITS;
/// As many as 64 bits of time need.
const LEVELS: usize = 11;
/// One tick, in nanoseconds: 1.05 ms. A timer is never early, and late by less than one tick.
const TICK: u32 = 20;
const NONE: u32 = u32::MAX;

/// Names a timer. Using one after its timer has gone finds nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TimerHandle {
    index: u32,
    generation: u32,
}

#[derive(Debug, Clone)]
struct Node<T> {
    /// In ticks.
    at: u64,
    previous: u32,
    next: u32,
    slot: u32,
    generation: u32,
    value: Option<T>,
}

/// Timers, each with a value that is given back when it is due.
#[derive(Debug, Clone)]
pub struct TimerWheel<T> {
    nodes: Vec<Node<T>>,
    free: Vec<u32>,
    /// The first node of each slot, level by level.
    heads: Vec<u32>,
    /// Which slots of a level hold anything.
    occupied: [u64; LEVELS],
    /// In ticks.
    now: u64,
}

impl<T> TimerWheel<T> {
    /// A wheel that stands at `now`.
    pub fn new(now: Timestamp) -> TimerWheel<T> {
        TimerWheel {
            nodes: Vec::new(),
            free: Vec::new(),
            heads: vec![NONE; LEVELS * SLOTS],
            occupied: [0; LEVELS],
            now: now >> TICK,
        }
    }

    /// How many timers there are.
    pub fn len(&self) -> usize {
        self.nodes.len() - self.free.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a timer.
    ///
    /// # Panics
    /// Beyond 2^32 - 1 timers.
    pub fn insert(&mut self, at: Timestamp, value: T) -> TimerHandle {
        let at = ticks(at);
        let index = match self.free.pop() {
            Some(index) => {
                let node = &mut self.nodes[index as usize];
                node.at = at;
                node.value = Some(value);
                index
            }
            None => {
                assert!(self.nodes.len() < NONE as usize, "too many timers");
                self.nodes.push(Node {
                    at,
                    previous: NONE,
                    next: NONE,
                    slot: 0,
                    generation: 0,
                    value: Some(value),
                });
                self.nodes.len() as u32 - 1
            }
        };
        self.link(index);
        TimerHandle {
            index,
            generation: self.nodes[index as usize].generation,
        }
    }

    /// Moves a timer; says whether it was still there.
    pub fn reset(&mut self, handle: TimerHandle, at: Timestamp) -> bool {
        if !self.holds(handle) {
            return false;
        }
        self.unlink(handle.index);
        self.nodes[handle.index as usize].at = ticks(at);
        self.link(handle.index);
        true
    }

    /// Takes a timer out, if it is still there.
    pub fn cancel(&mut self, handle: TimerHandle) -> Option<T> {
        if !self.holds(handle) {
            return None;
        }
        self.unlink(handle.index);
        self.release(handle.index)
    }

    /// When to look again at the latest: no timer is due before. None: there is no timer.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.next_slot().map(|(_, _, at)| at << TICK)
    }

    /// Turns the wheel and gives all that is due, in the order in which it is, tick by tick.
    pub fn expire(&mut self, now: Timestamp, due: &mut Vec<T>) {
        let target = now >> TICK;
        while let Some((level, slot, at)) = self.next_slot().filter(|(.., at)| *at <= target) {
            self.now = self.now.max(at);
            let mut index = std::mem::replace(&mut self.heads[level * SLOTS + slot], NONE);
            self.occupied[level] &= !(1 << slot);
            while index != NONE {
                let next = self.nodes[index as usize].next;
                if self.nodes[index as usize].at <= self.now {
                    due.extend(self.release(index));
                } else {
                    self.link(index);
                }
                index = next;
            }
        }
        self.now = self.now.max(target);
    }

    fn holds(&self, handle: TimerHandle) -> bool {
        let node = self.nodes.get(handle.index as usize);
        node.is_some_and(|n| n.generation == handle.generation && n.value.is_some())
    }

    fn release(&mut self, index: u32) -> Option<T> {
        let node = &mut self.nodes[index as usize];
        node.generation = node.generation.wrapping_add(1);
        self.free.push(index);
        node.value.take()
    }

    /// The first slot that holds anything, and the tick at which it begins. Levels hold what differs from now in
    /// higher bits the higher they are, so the lowest level comes first, and there the lowest slot.
    fn next_slot(&self) -> Option<(usize, usize, u64)> {
        let level = self.occupied.iter().position(|o| *o != 0)?;
        let slot = self.occupied[level].trailing_zeros() as usize;
        let shift = BITS * level as u32;
        let above = self
            .now
            .checked_shr(shift + BITS)
            .and_then(|n| n.checked_shl(shift + BITS))
            .unwrap_or(0);
        Some((level, slot, above | ((slot as u64) << shift)))
    }

    fn link(&mut self, index: u32) {
        // One that is due already waits in the present slot.
        let at = self.nodes[index as usize].at.max(self.now);
        let level = match at ^ self.now {
            0 => 0,
            differs => (differs.ilog2() / BITS) as usize,
        };
        let slot = (at >> (BITS * level as u32)) as usize % SLOTS;
        let place = level * SLOTS + slot;
        let head = std::mem::replace(&mut self.heads[place], index);
        if head != NONE {
            self.nodes[head as usize].previous = index;
        }
        let node = &mut self.nodes[index as usize];
        node.previous = NONE;
        node.next = head;
        node.slot = place as u32;
        self.occupied[level] |= 1 << slot;
    }

    fn unlink(&mut self, index: u32) {
        let (previous, next, place) = {
            let node = &self.nodes[index as usize];
            (node.previous, node.next, node.slot as usize)
        };
        if next != NONE {
            self.nodes[next as usize].previous = previous;
        }
        if previous != NONE {
            self.nodes[previous as usize].next = next;
        } else {
            self.heads[place] = next;
            if next == NONE {
                self.occupied[place / SLOTS] &= !(1 << (place % SLOTS));
            }
        }
    }
}

/// A time in ticks, rounded up: never early.
fn ticks(at: Timestamp) -> u64 {
    (at >> TICK) + u64::from(at & ((1 << TICK) - 1) != 0)
}

#[cfg(test)]
mod tests;
