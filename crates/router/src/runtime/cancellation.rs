//! Registers the clients that can cancel their requests, by the process id and secret of BackendKeyData.
//!
//! A client's key must never be disclosed to another client, which could then cancel the client's requests.

use event_listener::Event;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

/// The process id and secret that a cancel request must contain. The client received them in BackendKeyData.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CancellationKey {
    /// The process id, unique among open clients. A client with process id 0 cannot cancel requests.
    pub process: u32,
    /// The secret key, which no other client receives.
    pub secret: u32,
}

/// Holds the open clients that can cancel their requests.
#[derive(Default)]
pub struct CancellationRegistry {
    clients: RefCell<HashMap<u32, RegisteredClient>>,
    last_process: Cell<u32>,
}

struct RegisteredClient {
    secret: u32,
    signal: Rc<CancellationSignal>,
}

/// Notifies a client's task that its client sent a cancel request on another connection.
#[derive(Default)]
pub struct CancellationSignal {
    is_requested: Cell<bool>,
    event: Event,
}

impl CancellationSignal {
    /// Clears an earlier cancel request, so that it has no effect on later requests.
    pub fn reset(&self) {
        self.is_requested.set(false);
    }

    /// Waits until the client sends a cancel request.
    pub async fn wait(&self) {
        while !self.is_requested.get() {
            self.event.listen().await;
        }
    }

    fn notify(&self) {
        self.is_requested.set(true);
        self.event.notify(usize::MAX);
    }
}

impl CancellationRegistry {
    /// Registers a client, and returns a key that no other open client has.
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

    /// Returns the next process id that no open client has. There are far fewer clients than process ids.
    fn unused_process(&self) -> u32 {
        let clients = self.clients.borrow();
        let mut process = self.last_process.get().wrapping_add(1);
        while process == 0 || clients.contains_key(&process) {
            process = process.wrapping_add(1);
        }
        process
    }

    /// Removes a client whose connection was closed.
    pub fn remove(&self, process: u32) {
        self.clients.borrow_mut().remove(&process);
    }

    /// Notifies the client with this key that a cancel request arrived. Returns whether an open client has the key.
    pub fn cancel(&self, key: CancellationKey) -> bool {
        let clients = self.clients.borrow();
        let client = clients.get(&key.process);
        let Some(client) = client.filter(|client| client.secret == key.secret) else {
            return false;
        };
        client.signal.notify();
        true
    }
}
