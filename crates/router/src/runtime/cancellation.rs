//! The registry of clients that may cancel what they wait for, by the numbers of their BackendKeyData.
//!
//! Must never tell one client's numbers to another: a request to cancel has to name both the process and the secret.

use event_listener::Event;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

/// The clients that may call off what they wait for, by the numbers that BackendKeyData told them.
#[derive(Default)]
pub struct Cancels {
    clients: RefCell<HashMap<u32, (u32, Rc<Cancel>)>>,
    next: Cell<u32>,
}

/// A client's wish to call off what it waits for.
#[derive(Default)]
pub struct Cancel {
    wanted: Cell<bool>,
    event: Event,
}

impl Cancel {
    /// What was wished before does not count for what comes now.
    pub fn reset(&self) {
        self.wanted.set(false);
    }

    pub async fn wait(&self) {
        while !self.wanted.get() {
            self.event.listen().await;
        }
    }
}

impl Cancels {
    /// Numbers that no other open client has: the process, and a secret.
    pub fn register(&self, cancel: &Rc<Cancel>) -> (u32, u32) {
        let mut clients = self.clients.borrow_mut();
        // Clients are far fewer than numbers.
        let free = |n: &u32| *n != 0 && !clients.contains_key(n);
        let process = std::iter::successors(Some(self.next.get().wrapping_add(1)), |n| {
            Some(n.wrapping_add(1))
        });
        let process = process.into_iter().find(free).unwrap_or_default();
        self.next.set(process);
        let secret = rand::random();
        clients.insert(process, (secret, cancel.clone()));
        (process, secret)
    }

    pub fn remove(&self, process: u32) {
        self.clients.borrow_mut().remove(&process);
    }

    /// Calls off what a client waits for; says whether the numbers are those of one.
    pub fn cancel(&self, process: u32, secret: u32) -> bool {
        let clients = self.clients.borrow();
        let found = clients.get(&process).filter(|(known, _)| *known == secret);
        if let Some((_, cancel)) = found {
            cancel.wanted.set(true);
            cancel.event.notify(usize::MAX);
        }
        found.is_some()
    }
}
