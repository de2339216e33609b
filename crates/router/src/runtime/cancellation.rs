//! The registry of clients that may cancel what they wait for, by the numbers of their BackendKeyData.
//!
//! Must never tell one client's numbers to another: a request to cancel has to name both the process and the secret.

use event_listener::Event;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

/// The numbers that a request to cancel has to name, as BackendKeyData told them to the client.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CancellationKey {
    /// No other open client has this number. 0: the client can't cancel anything.
    pub process: u32,
    /// Known to the client only.
    pub secret: u32,
}

/// The open clients that may cancel what they wait for.
#[derive(Default)]
pub struct CancellationRegistry {
    clients: RefCell<HashMap<u32, RegisteredClient>>,
    last_process: Cell<u32>,
}

struct RegisteredClient {
    secret: u32,
    signal: Rc<CancellationSignal>,
}

/// Tells a client's task that its client, on another connection, cancels what it waits for.
#[derive(Default)]
pub struct CancellationSignal {
    is_requested: Cell<bool>,
    event: Event,
}

impl CancellationSignal {
    /// Forgets an earlier request: it does not count for what comes now.
    pub fn reset(&self) {
        self.is_requested.set(false);
    }

    /// Waits until the client cancels.
    pub async fn wait(&self) {
        while !self.is_requested.get() {
            self.event.listen().await;
        }
    }

    fn request(&self) {
        self.is_requested.set(true);
        self.event.notify(usize::MAX);
    }
}

impl CancellationRegistry {
    /// Registers a client under a key that no other open client has.
    pub fn register(&self, signal: &Rc<CancellationSignal>) -> CancellationKey {
        let process = self.unused_process();
        self.last_process.set(process);
        let key = CancellationKey {
            process,
            secret: rand::random(),
        };
        let client = RegisteredClient {
            secret: key.secret,
            signal: signal.clone(),
        };
        self.clients.borrow_mut().insert(process, client);
        key
    }

    /// The next number that no open client has; there are far fewer clients than numbers.
    fn unused_process(&self) -> u32 {
        let clients = self.clients.borrow();
        let mut process = self.last_process.get().wrapping_add(1);
        while process == 0 || clients.contains_key(&process) {
            process = process.wrapping_add(1);
        }
        process
    }

    /// Forgets a client that has closed its connection.
    pub fn remove(&self, process: u32) {
        self.clients.borrow_mut().remove(&process);
    }

    /// Cancels what a client waits for. Returns whether the key is that of an open client.
    pub fn cancel(&self, key: CancellationKey) -> bool {
        let clients = self.clients.borrow();
        let client = clients.get(&key.process);
        let Some(client) = client.filter(|client| client.secret == key.secret) else {
            return false;
        };
        client.signal.request();
        true
    }
}
