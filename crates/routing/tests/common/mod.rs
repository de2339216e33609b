//! A small cluster for tests: settings, and a host that keeps what the brain asked for.
#![allow(dead_code)]

use reelrill_routing::*;
use std::sync::Arc;

pub const MS: Time = 1_000_000;
pub const T0: Time = 1_000_000 * MS;
pub const BOUNDED: u32 = 0;
pub const SESSION: u32 = 1;
pub const WRITE: u32 = 2;
pub const FRESH: u32 = 3;
pub const KEYED: u32 = 4;

pub fn class(need: Need, repeat: Repeat) -> Class {
    Class {
        need,
        repeat,
        window: 3000 * MS,
        aim: 400 * MS,
        aim_stretch: 0.0,
        deadline: 2000 * MS,
        worth: 1.0,
        late_worth: if need == Need::Write { 0.3 } else { 0.0 },
    }
}

pub fn settings() -> Settings {
    Settings {
        proxies: 2,
        zone: 0,
        round: 5 * MS,
        classes: vec![
            class(Need::Bounded(300 * MS), Repeat::Safe),
            class(Need::Session, Repeat::Safe),
            class(Need::Write, Repeat::Unsafe),
            class(Need::Fresh, Repeat::Safe),
            class(Need::Write, Repeat::Keyed(Scope::Group)),
        ],
        tenants: Vec::new(),
        over_share_worth: 1.0,
        reports: ReportSource::Silent,
        positions: true,
        tokens_carried: false,
        guard: Guard::Silent,
        list_role: ListRole::Late,
        must_subscribe: false,
        rules: Rules {
            drain_grace: 1000 * MS,
            only_draining_binds: false,
            cold_from: 0.2,
            warm_after: 10_000 * MS,
            fall_multiple: 3.0,
            fall: 1000 * MS,
            ask_every: 10_000 * MS,
        },
        limits: Limits {
            max_attempts: 6,
            probes: true,
            cancel: true,
            second_copies: true,
            retry_advice: true,
            max_retry_advice: 500 * MS,
            connect_timeout: 250 * MS,
        },
    }
}

pub fn entry(name: &str, primary: bool) -> Entry {
    Entry {
        member: Arc::from(name),
        started: 0,
        primary,
        state: State::Serving,
        weight: 1.0,
        group: 1,
        zone: 0,
    }
}

pub struct Host {
    pub brain: Brain,
    pub now: Time,
    pub next: RequestId,
    timers: Vec<Time>,
}

impl Host {
    /// Members `a` (listed as the primary), `b` and `c`.
    pub fn new(set: Settings) -> Host {
        Host::seeded(set, 7)
    }

    pub fn seeded(set: Settings, seed: u64) -> Host {
        let mut host = Host {
            brain: Brain::new(seed, set).unwrap(),
            now: T0,
            next: 1,
            timers: Vec::new(),
        };
        let entries = vec![entry("a", true), entry("b", false), entry("c", false)];
        host.feed(Event::List {
            kind: ListKind::Remembered,
            entries,
        });
        host
    }

    pub fn feed(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.brain.handle(self.now, event, &mut out);
        for a in &out {
            if let Action::SetTimer { after, .. } = a {
                self.timers.push(self.now + after);
            }
        }
        out
    }

    /// Moves the clock on and feeds the timers that come due; returns all that was asked for.
    pub fn wait(&mut self, span: Span) -> Vec<Action> {
        let (end, mut all) = (self.now + span, Vec::new());
        while let Some(&t) = self.timers.iter().filter(|t| **t <= end).min() {
            self.timers.retain(|x| *x != t);
            self.now = self.now.max(t);
            all.extend(self.feed(Event::Timer { token: 1 }));
        }
        self.now = end;
        all
    }

    pub fn request(&mut self, class: u32) -> (RequestId, Vec<Action>) {
        let id = self.next;
        self.next += 1;
        let req = Request {
            id,
            class,
            group: 1,
            session: Some(Arc::from("s")),
            since_write: None,
            tenant: None,
            work: None,
            is_retry: false,
            time_left: 2000 * MS,
        };
        (id, self.feed(Event::Request(req)))
    }

    pub fn outcome(
        &mut self,
        id: RequestId,
        to: &str,
        n: u32,
        ending: Ending,
        s: Standing,
    ) -> Vec<Action> {
        let o = Outcome {
            request: id,
            member: Arc::from(to),
            attempt: n,
            ending,
            standing: s,
            report: Standing::default(),
            latency: 50 * MS,
            closed: ending == Ending::Served,
        };
        self.feed(Event::Outcome(o))
    }

    /// Sends a request and serves it at once wherever it went; returns the member.
    pub fn serve(&mut self, class: u32, position: Time) -> String {
        let (id, mut out) = self.request(class);
        for n in 0.. {
            let to = sent(&out).expect("sent").to_string();
            let write = class == WRITE || class == KEYED;
            if write && to != "a" {
                out = self.outcome(id, &to, n, Ending::Miss, replica(position));
                continue;
            }
            let s = if to == "a" {
                primary(position)
            } else {
                replica(position)
            };
            self.outcome(id, &to, n, Ending::Served, s);
            return to;
        }
        unreachable!()
    }

    /// Lets every member show its role and position.
    pub fn warm_up(&mut self) {
        for _ in 0..12 {
            self.serve(SESSION, self.now);
        }
    }
}

pub fn primary(position: Time) -> Standing {
    Standing {
        role: Some(Role::Primary),
        position: Some(position),
    }
}

pub fn replica(position: Time) -> Standing {
    Standing {
        role: Some(Role::Replica),
        position: Some(position),
    }
}

pub fn sent(out: &[Action]) -> Option<&str> {
    out.iter().find_map(|a| {
        if let Action::Send { member, .. } = a {
            Some(&**member)
        } else {
            None
        }
    })
}

pub fn refused(out: &[Action]) -> bool {
    out.iter().any(|a| matches!(a, Action::Refuse { .. }))
}

pub fn failed(out: &[Action]) -> bool {
    out.iter().any(|a| matches!(a, Action::Fail { .. }))
}
