//! What the router has taken in, sent and answered; printed on SIGUSR1 and at exit.

use std::cell::Cell;
use std::fmt;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {
        /// Plain counts since the start; one thread owns them.
        #[derive(Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Cell<u64>,)+
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                let all = [$((stringify!($name), self.$name.get())),+];
                for (i, (name, n)) in all.iter().enumerate() {
                    write!(f, "{}{name}={n}", if i > 0 { " " } else { "" })?;
                }
                Ok(())
            }
        }
    };
}

counters! {
    /// Client connections accepted, and the times that there was no descriptor for one.
    clients, accept_errors,
    /// Idle client connections closed to make room; connections on which something came just as they were to be closed.
    evicted, reprieved,
    /// Requests taken in, and statements that were none.
    requests, rejected,
    /// Final answers, by kind; clients that left first; answers that the brain left overdue.
    served, refused, failed, client_left, overdue,
    /// Final answers that are refusals or failures of the brain's, by cause (`Cause` says what each means).
    gave_class, gave_group, gave_late, gave_attempts, gave_nobody, gave_crowded, gave_unsafe, gave_silent, gave_reserve,
    gave_unfit,
    /// Attempts, by how they ended.
    attempts, ok, errors, full, timed_out, connect_failed, reset, cancelled, moot, missed, spoilt, unsent, unfit,
    /// Attempts that were given up before they were written, so that nothing has run, and those of them whose client
    /// had gone; requests whose client had gone before they were looked at.
    unwritten, withdrawn, left_unread,
    /// Statements prepared on connections to instances, and those of them that an instance had forgotten.
    prepared, reprepared,
    /// Clients' requests to call something off, and those that named an open request.
    cancel_requests, cancels,
    /// Members that came into the list and left it, where it has several sources; queries for service records.
    members_came, members_went, dns_queries,
    /// Connections to instances, and those that did not come up: the instance had no room, it refused or broke off,
    /// it said nothing in time; probes.
    dials, dials_turned_away, dials_broken, dials_silent, probes,
    /// Connection pools of endpoints that were started at a first use, and those that were retired after a quiet time.
    pools_started, pools_retired,
    /// Calls to discovery, and those that ended with another status than 200, in silence, broke, or brought no list.
    list_calls, list_turned_away, list_silent, list_broken, list_unreadable,
}

/// Counts one more.
pub fn count(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}
