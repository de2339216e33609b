//! A hierarchical timer wheel for many timers, most of which are moved before they are due.
//!
//! Each level has 64 slots, each slot holds a linked list of timers, and a slot of one level spans all slots of the
//! level below. A timer is stored at the level of the highest 6-bit group in which its due time differs from the
//! current time, so inserting, moving and cancelling take constant time. When time reaches a slot, its timers are
//! distributed to lower levels. Each timer is moved at most once per level.

use reelrill_routing::Timestamp;

const BITS_PER_LEVEL: u32 = 6;
const SLOTS_PER_LEVEL: usize = 1 << BITS_PER_LEVEL;
/// Number of levels that cover 64 bits of time.
const LEVELS: usize = 11;
/// Binary logarithm of the tick length in nanoseconds: a tick is 2^20 ns, or 1.05 ms. Timers are never early, and late
/// by less than one tick.
const TICK_SHIFT: u32 = 20;
/// Marks the end of a list of nodes.
const NO_NODE: u32 = u32::MAX;

/// Identifies a timer. A handle whose timer has fired or was cancelled refers to nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TimerHandle {
    index: u32,
    generation: u32,
}

#[derive(Debug, Clone)]
struct Node<T> {
    due_tick: u64,
    previous: u32,
    next: u32,
    slot_index: u32,
    generation: u32,
    value: Option<T>,
}

/// A set of timers, each with a value that is returned when the timer is due.
#[derive(Debug, Clone)]
pub struct TimerWheel<T> {
    nodes: Vec<Node<T>>,
    free_nodes: Vec<u32>,
    /// The first node of each slot, grouped by level.
    slot_heads: Vec<u32>,
    /// A bit set of the non-empty slots for each level.
    occupied_slots: [u64; LEVELS],
    current_tick: u64,
}

impl<T> TimerWheel<T> {
    /// Returns a wheel without timers whose current time is `now`.
    pub fn new(now: Timestamp) -> TimerWheel<T> {
        TimerWheel {
            nodes: Vec::new(),
            free_nodes: Vec::new(),
            slot_heads: vec![NO_NODE; LEVELS * SLOTS_PER_LEVEL],
            occupied_slots: [0; LEVELS],
            current_tick: now >> TICK_SHIFT,
        }
    }

    /// Returns the number of timers.
    pub fn len(&self) -> usize {
        self.nodes.len() - self.free_nodes.len()
    }

    /// Returns whether there are no timers.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a timer that is due at `at` and returns its handle.
    ///
    /// # Panics
    /// If the wheel already has 2^32 - 1 timers.
    pub fn insert(&mut self, at: Timestamp, value: T) -> TimerHandle {
        let due_tick = ticks_rounded_up(at);
        let index = match self.free_nodes.pop() {
            Some(index) => {
                let node = &mut self.nodes[index as usize];
                node.due_tick = due_tick;
                node.value = Some(value);
                index
            }
            None => {
                assert!(
                    self.nodes.len() < NO_NODE as usize,
                    "timer wheel is full: expected at most {NO_NODE} timers"
                );
                self.nodes.push(Node {
                    due_tick,
                    previous: NO_NODE,
                    next: NO_NODE,
                    slot_index: 0,
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

    /// Moves a timer to `at`. Returns `false` if the timer no longer exists.
    pub fn reset(&mut self, handle: TimerHandle, at: Timestamp) -> bool {
        if !self.is_live(handle) {
            return false;
        }
        self.unlink(handle.index);
        self.nodes[handle.index as usize].due_tick = ticks_rounded_up(at);
        self.link(handle.index);
        true
    }

    /// Cancels a timer and returns its value; `None` if the timer no longer exists.
    pub fn cancel(&mut self, handle: TimerHandle) -> Option<T> {
        if !self.is_live(handle) {
            return None;
        }
        self.unlink(handle.index);
        self.release(handle.index)
    }

    /// Returns the time at which [`TimerWheel::expire`] must be called again at the latest; no timer is due before it.
    /// `None` if there are no timers.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.next_slot().map(|(_, _, tick)| tick << TICK_SHIFT)
    }

    /// Advances the current time to `now` and appends the values of all due timers to `due`, ordered by tick.
    pub fn expire(&mut self, now: Timestamp, due: &mut Vec<T>) {
        let target_tick = now >> TICK_SHIFT;
        while let Some((level, slot, tick)) =
            self.next_slot().filter(|(.., tick)| *tick <= target_tick)
        {
            self.current_tick = self.current_tick.max(tick);
            let mut index = std::mem::replace(
                &mut self.slot_heads[level * SLOTS_PER_LEVEL + slot],
                NO_NODE,
            );
            self.occupied_slots[level] &= !(1 << slot);
            while index != NO_NODE {
                let next = self.nodes[index as usize].next;
                if self.nodes[index as usize].due_tick <= self.current_tick {
                    due.extend(self.release(index));
                } else {
                    self.link(index);
                }
                index = next;
            }
        }
        self.current_tick = self.current_tick.max(target_tick);
    }

    fn is_live(&self, handle: TimerHandle) -> bool {
        let node = self.nodes.get(handle.index as usize);
        node.is_some_and(|n| n.generation == handle.generation && n.value.is_some())
    }

    fn release(&mut self, index: u32) -> Option<T> {
        let node = &mut self.nodes[index as usize];
        node.generation = node.generation.wrapping_add(1);
        self.free_nodes.push(index);
        node.value.take()
    }

    /// Returns the level and index of the next non-empty slot, and the tick at which it begins. The due times at a
    /// higher level differ from the current tick in higher bits, so the next slot is the lowest one of the lowest
    /// non-empty level.
    fn next_slot(&self) -> Option<(usize, usize, u64)> {
        let level = self.occupied_slots.iter().position(|slots| *slots != 0)?;
        let slot = self.occupied_slots[level].trailing_zeros() as usize;
        let shift = BITS_PER_LEVEL * level as u32;
        let higher_bits = self
            .current_tick
            .checked_shr(shift + BITS_PER_LEVEL)
            .and_then(|n| n.checked_shl(shift + BITS_PER_LEVEL))
            .unwrap_or(0);
        Some((level, slot, higher_bits | ((slot as u64) << shift)))
    }

    fn link(&mut self, index: u32) {
        // A timer that is already due is put into the current slot.
        let tick = self.nodes[index as usize].due_tick.max(self.current_tick);
        let level = match tick ^ self.current_tick {
            0 => 0,
            difference => (difference.ilog2() / BITS_PER_LEVEL) as usize,
        };
        let slot = (tick >> (BITS_PER_LEVEL * level as u32)) as usize % SLOTS_PER_LEVEL;
        let slot_index = level * SLOTS_PER_LEVEL + slot;
        let head = std::mem::replace(&mut self.slot_heads[slot_index], index);
        if head != NO_NODE {
            self.nodes[head as usize].previous = index;
        }
        let node = &mut self.nodes[index as usize];
        node.previous = NO_NODE;
        node.next = head;
        node.slot_index = slot_index as u32;
        self.occupied_slots[level] |= 1 << slot;
    }

    fn unlink(&mut self, index: u32) {
        let (previous, next, slot_index) = {
            let node = &self.nodes[index as usize];
            (node.previous, node.next, node.slot_index as usize)
        };
        if next != NO_NODE {
            self.nodes[next as usize].previous = previous;
        }
        if previous != NO_NODE {
            self.nodes[previous as usize].next = next;
        } else {
            self.slot_heads[slot_index] = next;
            if next == NO_NODE {
                self.occupied_slots[slot_index / SLOTS_PER_LEVEL] &=
                    !(1 << (slot_index % SLOTS_PER_LEVEL));
            }
        }
    }
}

/// Converts a time to ticks, rounding up so that timers are never early.
fn ticks_rounded_up(at: Timestamp) -> u64 {
    (at >> TICK_SHIFT) + u64::from(at & ((1 << TICK_SHIFT) - 1) != 0)
}

#[cfg(test)]
mod tests;
