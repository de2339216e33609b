//! All decisions of reelrill. Types, events and actions: `crates/routing/src/interface.rs`.
//!
//! The ordinary path is the query cost calibrator's: an endpoint's calibrated cost is its running average
//! of observed over estimated latency, a read rotates over the fit replicas within 20% of the cheapest
//! (the two cheapest at least), a failed endpoint costs infinity. The rest guards that path.
use crate::admission::{self, QuotaTracker};
use crate::decaying_average::DecayingAverage;
use crate::discovery_backoff::ListSubscription;
use crate::random::SplitMix64;
use crate::retry::RetryBudget;
use crate::session_consistency::SessionTokens;
use crate::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Width of the rotation band, from the design.
const BAND: f64 = 1.2;
/// An endpoint this many times dearer than the cheapest leaves even the band of two; the primary takes
/// reads when it is cheaper than every fit replica by this factor.
const FAR: f64 = 2.0;
/// A failed endpoint gets a trial read after this time, from the design.
const TRIAL: Nanos = 5_000_000_000;
/// Averaging window of the calibrated cost, in longest aims.
const WINDOW: f64 = 2.0;
/// Samples that evidence lasts for, at this router's pace: an endpoint's cost, its crowding, a role's crowding.
const FEW: (f64, f64, f64) = (2.0, 1.0, 8.0);
/// Longest aims over which the pace is counted.
const PACE: f64 = 8.0;
/// Weight of the replica set's mean in each endpoint's average, in aims: an endpoint unheard of drifts back to it.
const PRIOR: f64 = 1.0;
/// Spoilt answers, or broken connections, in a row and without a good answer, that tell of the endpoint.
const IN_A_ROW: u32 = 3;
/// What an answer tells counts as known this long after it was given, whether or not it came (the protocol).
const HEARD: Nanos = 100_000_000;
/// Part of the multiple that a cold primary takes of its writes: the allowance beyond the multiple covers chance in one
/// window, and not the worst of all windows while it warms up.
const WRITE_MARGIN: f64 = 0.85;

/// An attempt that is out.
struct Attempt {
    request: RequestId,
    number: u32,
    sent: Timestamp,
    latency_objective: f64,
    /// For a write, and the session that must see it: its client may be gone when it is served.
    write: bool,
    session: Option<Arc<str>>,
}

#[derive(Default)]
struct Endpoint {
    id: EndpointId,
    replica_set: u32,
    zone: u32,
    listed: bool,
    /// When it left the list.
    left: Timestamp,
    leaving: Option<Timestamp>,
    listed_primary: bool,
    started: Timestamp,
    role: Option<Role>,
    applied_position: Option<Timestamp>,
    seen: Timestamp,
    /// Latency: in aims, for the cost; in shortest aims, for crowding.
    latency: [DecayingAverage; 2],
    out: Vec<Attempt>,
    answered: Timestamp,
    /// When the latest attempt that it has served was sent.
    overtaking: Timestamp,
    /// It returned an error: costs infinity until an answer, to a trial read if need be, shows it back.
    down: bool,
    trial_at: Timestamp,
    /// Turned away or not connected: it rests until then.
    rest_until: Timestamp,
    /// Times since its last answer that it was full, and that it was out of reach.
    fulls: u32,
    away: u32,
    spoilt: u32,
    broken: u32,
    away_since: Timestamp,
    /// Trial reads since its last answer.
    trials: u32,
    looked: Timestamp,
    /// Place in the rotation: the count of picks when it was last passed.
    picked: f64,
}

#[derive(Default)]
struct ReplicaSet {
    endpoints: Vec<usize>,
    primary: Option<usize>,
    /// When its primary was found, or found back.
    found: Timestamp,
    held: VecDeque<RequestId>,
    scout_at: Timestamp,
    scouted: Vec<usize>,
}

struct Pending {
    req: Request,
    deadline: Timestamp,
    objective_end: Timestamp,
    latency_objective: Nanos,
    token: Option<Timestamp>,
    sent: u32,
    /// Attempts that are out or may have run: number, endpoint, time of sending.
    ran: Vec<(u32, usize, Timestamp)>,
    out: u32,
    tried: Vec<usize>,
    is_over_quota: bool,
    /// One draw for the request's whole life: a cold endpoint takes it or it does not.
    luck: f64,
    streaming: bool,
    held: bool,
}

/// One router's decisions.
pub struct Balancer {
    set: Settings,
    rng: SplitMix64,
    endpoints: Vec<Endpoint>,
    /// Places in `endpoints` that those forgotten have left.
    free: Vec<usize>,
    index: BTreeMap<EndpointId, usize>,
    replica_sets: BTreeMap<u32, ReplicaSet>,
    /// The endpoints that the list does not name, by the time when each left it.
    unlisted: BTreeSet<(Timestamp, usize)>,
    /// The replica sets with requests that are held.
    holding: BTreeSet<u32>,
    pending: BTreeMap<RequestId, Pending>,
    sessions: SessionTokens,
    quotas: QuotaTracker,
    retry_budget: RetryBudget,
    /// This router's requests: how fast evidence comes in.
    pace: DecayingAverage,
    /// Crowding of all replicas, and of all primaries.
    pool: [DecayingAverage; 2],
    picks: f64,
    ticking: bool,
    subscription: ListSubscription,
    max_objective: f64,
    min_objective: f64,
    min_bound: Option<Nanos>,
    tick: Nanos,
}

const TICK: u64 = 1;

impl Balancer {
    /// A balancer that knows nothing yet. `seed` feeds its random choices.
    pub fn new(seed: u64, set: Settings) -> Result<Balancer, SettingsError> {
        set.check()?;
        let objectives = || set.classes.iter().map(|c| c.latency_objective);
        let (min_objective, max_objective) = (
            objectives().min().unwrap_or(1),
            objectives().max().unwrap_or(1),
        );
        let bounds = set.classes.iter().filter_map(|c| match c.operation {
            Operation::Read(Consistency::BoundedStaleness(b)) => Some(b),
            _ => None,
        });
        let tick = (min_objective / 12).max(set.round).max(1_000_000);
        Ok(Balancer {
            rng: SplitMix64::new(seed),
            endpoints: Vec::new(),
            free: Vec::new(),
            index: BTreeMap::new(),
            replica_sets: BTreeMap::new(),
            unlisted: BTreeSet::new(),
            holding: BTreeSet::new(),
            pending: BTreeMap::new(),
            sessions: SessionTokens::default(),
            quotas: QuotaTracker::new(&set, max_objective as f64),
            retry_budget: RetryBudget::new(),
            pace: DecayingAverage::default(),
            pool: Default::default(),
            picks: 0.0,
            ticking: false,
            subscription: ListSubscription::new(&set, tick),
            max_objective: max_objective as f64,
            min_objective: min_objective as f64,
            min_bound: bounds.min(),
            tick,
            set,
        })
    }

    /// Takes one event at `now` and appends what is to be done, in order.
    pub fn handle(&mut self, now: Timestamp, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::List { kind, entries } => self.on_list(now, kind, entries),
            Event::Request(req) => self.on_request(now, req, out),
            Event::AttemptEnded(o) => self.on_outcome(now, o, out),
            Event::ResponseStarted {
                request,
                attempt: _,
                endpoint,
            } => {
                if let Some(p) = self.pending.get_mut(&request) {
                    p.streaming = true;
                }
                if let Some(&m) = self.index.get(&endpoint) {
                    self.answered(now, m);
                }
            }
            Event::ClientLeft { request } => self.close(request, out),
            Event::Timer { token } if token != TICK => {}
            Event::Timer { .. } => {
                self.ticking = false;
                self.on_tick(now, out);
            }
            // A probe can't see a full connection table, a cut link or a hang: it brings no endpoint back.
            Event::ProbeEnded {
                endpoint, report, ..
            } => {
                if let Some(&m) = self.index.get(&endpoint) {
                    self.learn(now, m, report, false);
                }
            }
        }
        if self.subscription.poll(now) {
            out.push(Action::Subscribe);
        }
        if !self.ticking && (!self.pending.is_empty() || self.subscription.is_pending()) {
            self.ticking = true;
            out.push(Action::SetTimer {
                after: self.tick,
                token: TICK,
            });
        }
    }

    fn class(&self, p: &Pending) -> &Class {
        &self.set.classes[p.req.class as usize]
    }

    // ---- the list of endpoints ----

    fn on_list(&mut self, now: Timestamp, kind: ListKind, entries: Vec<EndpointEntry>) {
        if kind == ListKind::Failed {
            self.subscription.record_failure(now, &mut self.rng);
            return;
        }
        if kind == ListKind::Cached {
            self.subscription.record_cached_list(now, &mut self.rng);
        } else {
            self.subscription.record_success();
        }
        let binds = !self.set.rules.only_draining_binds;
        if kind != ListKind::Changes {
            let named: BTreeSet<&EndpointId> = entries.iter().map(|e| &e.endpoint).collect();
            let left_out = |(id, _): &(&EndpointId, &usize)| binds && !named.contains(*id);
            let left_out: Vec<usize> = self
                .index
                .iter()
                .filter(left_out)
                .map(|(_, m)| *m)
                .collect();
            left_out.into_iter().for_each(|m| self.unlist(now, m));
        }
        for e in entries {
            let m = self.intern(now, &e);
            match e.state {
                EndpointState::Serving => self.list(m),
                EndpointState::Draining => {
                    self.endpoints[m].leaving = self.endpoints[m].leaving.or(Some(now))
                }
                EndpointState::Removed if binds => self.unlist(now, m),
                EndpointState::Removed => {}
            }
            if e.state == EndpointState::Removed {
                continue;
            }
            let old = &mut self.endpoints[m];
            if e.started > old.started {
                // It has started again, so it is there: no need to wait out a rest that was for its absence.
                (old.started, old.rest_until) = (e.started, now);
            }
            old.listed_primary = e.primary && self.set.list_role != ListRole::Silent;
        }
        self.forget_gone(now);
    }

    /// How many endpoints it keeps in mind.
    pub fn known(&self) -> usize {
        self.index.len()
    }

    /// The list names the endpoint, and lets it have new work.
    fn list(&mut self, m: usize) {
        let x = &mut self.endpoints[m];
        if !x.listed {
            self.unlisted.remove(&(x.left, m));
        }
        (x.listed, x.leaving) = (true, None);
    }

    /// The list names the endpoint no more.
    fn unlist(&mut self, now: Timestamp, m: usize) {
        let x = &mut self.endpoints[m];
        if x.listed {
            (x.listed, x.left) = (false, now);
            self.unlisted.insert((now, m));
        }
    }

    /// Those that left the list a while ago, once nothing refers to them. On a long day of replacements they
    /// would be most of all endpoints, and evidence would be kept as if they shared the traffic, too. The cost
    /// follows the number of those that left, not the fleet.
    fn forget_gone(&mut self, now: Timestamp) {
        // One that the list leaves out for a moment comes back as it was.
        let is_long_gone =
            |(left, _): &&(Timestamp, usize)| now > *left + self.set.rules.slow_start_duration;
        let long_gone = self
            .unlisted
            .iter()
            .take_while(is_long_gone)
            .map(|(_, m)| *m);
        let mut forgotten: Vec<usize> = long_gone
            .filter(|m| self.endpoints[*m].out.is_empty())
            .collect();
        if forgotten.is_empty() {
            return;
        }
        let used_by = |p: &Pending| {
            p.tried
                .iter()
                .copied()
                .chain(p.ran.iter().map(|r| r.1))
                .collect::<Vec<_>>()
        };
        let used: BTreeSet<usize> = self.pending.values().flat_map(used_by).collect();
        forgotten.retain(|m| !used.contains(m));
        for m in forgotten {
            let x = std::mem::take(&mut self.endpoints[m]);
            self.unlisted.remove(&(x.left, m));
            self.index.remove(&x.id);
            if let Some(g) = self.replica_sets.get_mut(&x.replica_set) {
                g.endpoints.retain(|i| *i != m);
                g.scouted.retain(|i| *i != m);
                g.primary = g.primary.filter(|i| *i != m);
            }
            self.free.push(m);
        }
    }

    fn intern(&mut self, now: Timestamp, e: &EndpointEntry) -> usize {
        if let Some(&m) = self.index.get(&e.endpoint) {
            return m;
        }
        let m = self.free.pop().unwrap_or(self.endpoints.len());
        let (id, started) = (e.endpoint.clone(), e.started);
        let (replica_set, zone, answered) = (e.replica_set, e.zone, now);
        // Last in the rotation, in an order of this router's own: routers that hear of the same endpoints in
        // the same instant must not all turn to the same one first.
        let picked = self.picks + self.rng.next_f64();
        if m == self.endpoints.len() {
            self.endpoints.push(Endpoint::default());
        }
        self.endpoints[m] = Endpoint {
            id,
            replica_set,
            zone,
            started,
            answered,
            picked,
            ..Endpoint::default()
        };
        self.unlisted.insert((self.endpoints[m].left, m));
        self.index.insert(e.endpoint.clone(), m);
        let endpoints = &self.endpoints;
        let replica_set = self.replica_sets.entry(e.replica_set).or_default();
        replica_set.endpoints.push(m);
        replica_set
            .endpoints
            .sort_by(|&a, &b| endpoints[a].id.cmp(&endpoints[b].id));
        m
    }

    // ---- cost ----

    /// Observed over estimated latency of the replica set's endpoints together: where each average starts.
    fn replica_set_factor(&self, now: Timestamp, replica_set: u32) -> f64 {
        let tau = self.tau(now, 0);
        // A fresh router starts at factor one.
        let (mut o, mut e) = (0.2, 0.2);
        for &m in self
            .replica_sets
            .get(&replica_set)
            .map_or(&[][..], |g| &g.endpoints)
        {
            let (sum, n) = self.endpoints[m].latency[0].totals(now, tau);
            (o, e) = (o + sum, e + n);
        }
        o / e
    }

    /// How long evidence on an endpoint counts: by age, but never so short that a router of few requests would
    /// have none. The pool of a role keeps its last samples.
    fn tau(&self, now: Timestamp, w: usize) -> f64 {
        let gap =
            PACE * self.max_objective / self.pace.totals(now, PACE * self.max_objective).1.max(1.0);
        let own = gap * self.index.len() as f64;
        match w {
            0 => (WINDOW * self.max_objective).max(FEW.0 * own),
            1 => self.min_objective.max(FEW.1 * own),
            _ => self.min_objective.max(FEW.2 * gap),
        }
    }

    /// Calibrated cost, in aims; over the short window (w = 1) latency in shortest aims. Unanswered attempts
    /// count with their age, as censored observations do in the mean of a lifetime: it climbs with a hang,
    /// a cut link, a slow machine or a queue before any time-out lands. Could harm where one class is far
    /// slower than its aim says.
    fn cost(&self, now: Timestamp, m: usize, w: usize) -> f64 {
        let (x, tau) = (&self.endpoints[m], self.tau(now, w));
        // One that another, sent a shortest aim later, has overtaken does not queue: its work is long, or its
        // answer is lost. Over a shorter time, endpoints with several cores overtake by chance.
        let counts = |a: &&Attempt| {
            w == 0 || a.sent.saturating_add(self.min_objective as Nanos) >= x.overtaking
        };
        let latency_objective = |a: &Attempt| {
            if w == 0 {
                a.latency_objective
            } else {
                self.min_objective
            }
        };
        let age = |a: &Attempt| now.saturating_sub(a.sent) as f64 / latency_objective(a);
        let age: f64 = x.out.iter().filter(counts).map(age).sum();
        // The prior: one sample of the replica set, or of the pool of its role as far as that has any news.
        let (o, e) = if w == 0 {
            (self.replica_set_factor(now, x.replica_set), PRIOR)
        } else {
            self.pooled(now, m)
        };
        let (sum, n) = x.latency[w].totals(now, tau);
        (sum + age + o) / (n + e)
    }

    fn leads(&self, m: usize) -> usize {
        usize::from(
            self.replica_sets
                .get(&self.endpoints[m].replica_set)
                .is_some_and(|g| g.primary == Some(m)),
        )
    }

    fn pooled(&self, now: Timestamp, m: usize) -> (f64, f64) {
        let (role, replica_set) = (
            self.leads(m),
            &self.replica_sets[&self.endpoints[m].replica_set],
        );
        let (sum, n) = self.pool[role].totals(now, self.tau(now, 2));
        let (mut o, mut e) = (sum / n.max(1.0), n.clamp(0.2, 1.0));
        for &i in replica_set
            .endpoints
            .iter()
            .filter(|&&i| i != m && self.leads(i) == role)
        {
            let (sum, n) = self.endpoints[i].latency[1].totals(now, self.tau(now, 1));
            (o, e) = (o + sum, e + n);
        }
        (o / e.max(1.0), e.min(1.0))
    }

    /// A sample of the cost: an answer, or none in time.
    fn observe(&mut self, now: Timestamp, m: usize, took: f64, latency_objective: f64) {
        let tau = self.tau(now, 0);
        self.endpoints[m].latency[0].add(now, tau, took / latency_objective);
    }

    /// A sample of crowding; only answers go into the pool, so that one bad endpoint is not taken for all.
    fn crowded(&mut self, now: Timestamp, m: usize, took: f64, pooled: bool) {
        let (role, own, all) = (self.leads(m), self.tau(now, 1), self.tau(now, 2));
        self.endpoints[m].latency[1].add(now, own, took / self.min_objective);
        if pooled {
            self.pool[role].add(now, all, took / self.min_objective);
        }
    }

    // ---- health ----

    fn answered(&mut self, now: Timestamp, m: usize) {
        let x = &mut self.endpoints[m];
        // Back from out of reach: had its process died, its log would have stood still. The list tells of the
        // restart seconds later, when all routers together have long pushed the cold one over. A moment out
        // of reach tells nothing: the usual lag is longer, and a warm endpoint taken for a cold one is lost.
        let gone = now.saturating_sub(x.away_since);
        let behind = gone > self.max_objective as Nanos
            && x.applied_position.unwrap_or(0).saturating_add(gone / 2) < now;
        if x.away > 0 && behind && x.role != Some(Role::Primary) {
            x.started = x.started.max(now);
        }
        if x.down || x.away > 0 {
            self.replica_sets.entry(x.replica_set).or_default().found = now;
        }
        x.answered = now;
        (x.down, x.trials, x.fulls, x.away, x.spoilt, x.broken) = (false, 0, 0, 0, 0, 0);
    }

    fn learn(&mut self, now: Timestamp, m: usize, s: ReplicationStatus, direct: bool) {
        let x = &mut self.endpoints[m];
        if let Some(p) = s.applied_position {
            // One ahead of the clock would look fresh for ever.
            x.applied_position = x.applied_position.max(Some(p.min(now)));
            if direct || now.saturating_sub(x.seen) > self.tick {
                x.seen = now;
            }
        }
        let Some(role) = s.role else { return };
        let g = self.replica_sets.entry(x.replica_set).or_default();
        if direct || g.primary.is_none() && x.role.is_none() {
            x.role = Some(role);
            if role == Role::Primary && g.primary != Some(m) {
                (g.primary, g.found) = (Some(m), now);
                g.scouted.clear();
            } else if role == Role::Replica && g.primary == Some(m) {
                g.primary = None;
                g.scout_at = now;
            }
        }
    }

    /// The share of a warm endpoint's load that a cold one may get: the least that its capacity can be.
    fn cold_share(&self, now: Timestamp, m: usize) -> f64 {
        let (r, started) = (&self.set.rules, self.endpoints[m].started);
        if started == 0 || now >= started.saturating_add(r.slow_start_duration) {
            return 1.0;
        }
        let t = now.saturating_sub(started) as f64 / r.slow_start_duration as f64;
        r.slow_start_initial_fraction + (1.0 - r.slow_start_initial_fraction) * t
    }

    /// Guards rule 4 at any number of routers, unknown to each: a cold endpoint takes a request by chance, in
    /// proportion to its share, so that the sum over all routers keeps to it however few each sends. Writes
    /// have nowhere else to go and get most of the rule's multiple, reads half. Could slow a busy replica set's return.
    fn admits(&self, now: Timestamp, m: usize, p: &Pending) -> bool {
        let share = self.cold_share(now, m);
        // What is held does not become admissible as the share grows: else a window's requests and the held ones
        // of the seconds before would come together.
        let arrived = p.deadline.saturating_sub(p.req.time_left);
        let share_at_arrival = self.cold_share(now.min(arrived), m);
        let multiple = self.set.rules.overload_multiple;
        let leads = self.lead(now, p.req.replica_set) == Some(m);
        let times = match self.class(p).operation {
            Operation::Write if leads => WRITE_MARGIN * multiple,
            Operation::Read(Consistency::Eventual)
            | Operation::Read(Consistency::BoundedStaleness(_))
            | Operation::Read(Consistency::ReadYourWrites)
                if !leads =>
            {
                multiple / 2.0
            }
            // When nobody else is fit, all reads of the replica set come here: it takes an endpoint's part of them.
            _ => multiple / 2.0 / self.replica_sets[&p.req.replica_set].endpoints.len() as f64,
        };
        // Further tries would find their way to the cold one from everywhere.
        let first = p.sent == 0 || leads;
        share >= 1.0 || first && p.luck < share_at_arrival * times
    }

    /// May get new work by the list, and is not known to be full.
    fn open(&self, now: Timestamp, m: usize) -> bool {
        let x = &self.endpoints[m];
        x.listed && x.leaving.is_none() && x.rest_until <= now
    }

    /// Open, at finite cost, and not too cold for this request.
    fn ready(&self, now: Timestamp, m: usize, p: &Pending) -> bool {
        self.open(now, m) && !self.endpoints[m].down && self.admits(now, m, p)
    }

    // ---- the primary ----

    /// The primary as answers name it, else as the list does, unless that endpoint has said that it follows:
    /// the list is late, and a read sent to it could be stale (a write may scout it). A leaving one takes
    /// writes until half of the grace has passed, which leaves time for a connection, and never after the cutoff.
    fn lead(&self, now: Timestamp, replica_set: u32) -> Option<usize> {
        let g = self.replica_sets.get(&replica_set)?;
        let named =
            |m: &usize| self.endpoints[*m].listed_primary && self.endpoints[*m].role.is_none();
        let m = g
            .primary
            .or_else(|| g.endpoints.iter().copied().find(named))?;
        let x = &self.endpoints[m];
        let rules = &self.set.rules;
        let drain_limit = rules.drain_cutoff().min(rules.drain_grace / 2);
        let staying = x
            .leaving
            .is_none_or(|t| now < t.saturating_add(drain_limit));
        (x.listed && staying).then_some(m)
    }

    /// Where a write or a read that must be current may go now. While the primary is out of reach they are
    /// held. An erring one still is the only one.
    fn lead_open(&self, now: Timestamp, replica_set: u32, p: &Pending) -> Option<usize> {
        let m = self.lead(now, replica_set)?;
        let x = &self.endpoints[m];
        let up = x.rest_until <= now;
        let g = &self.replica_sets[&replica_set];
        // What many routers have held meanwhile must not come in the same instant: each at a time of its own.
        let due = !p.held || now >= g.found + (p.luck * self.max_objective / 2.0) as Nanos;
        (up && due && self.admits(now, m, p)).then_some(m)
    }

    fn pick_lead(&mut self, now: Timestamp, p: &Pending) -> Option<usize> {
        let (replica_set, tried) = (p.req.replica_set, |m: usize| p.tried.contains(&m));
        let lost = self.lead(now, replica_set).is_none_or(|m| {
            let x = &self.endpoints[m];
            x.away > 1 || self.replica_sets[&replica_set].primary.is_none() && tried(m)
        });
        let lead = self
            .lead_open(now, replica_set, p)
            .filter(|m| !lost || !tried(*m));
        // A read that must be current may look, too, where endpoints turn away what they are behind for: with
        // little traffic the next write may be seconds away.
        let checked = self.set.stale_reads == StaleReadPolicy::Reject
            || self.class(p).operation == Operation::Write;
        let scouts = lost && checked && p.sent + 2 < self.set.limits.max_attempts;
        lead.or_else(|| if scouts { self.scout(now, p) } else { None })
    }

    /// With no primary known or alive, one held write at a time goes to the endpoint most likely to have
    /// taken over: the listed one, else the one that has most of the log. A miss costs nothing.
    fn scout(&mut self, now: Timestamp, p: &Pending) -> Option<usize> {
        let replica_set = p.req.replica_set;
        let g = self.replica_sets.get(&replica_set)?;
        if now < g.scout_at {
            return None;
        }
        let pick = |m: &&usize| {
            Some(**m) != g.primary && !g.scouted.contains(*m) && self.ready(now, **m, p)
        };
        let rank = |m: &&usize| {
            let x = &self.endpoints[**m];
            (
                x.listed_primary,
                x.applied_position,
                std::cmp::Reverse(&x.id),
            )
        };
        let best = g
            .endpoints
            .iter()
            .filter(pick)
            .max_by(|a, b| rank(a).cmp(&rank(b)))
            .copied();
        let pause = (self.max_objective / 4.0) as Nanos;
        let g = self.replica_sets.get_mut(&replica_set)?;
        g.scout_at = now + pause;
        match best {
            Some(m) => g.scouted.push(m),
            None => g.scouted.clear(),
        }
        best
    }

    /// Where only answers tell positions, replicas that get few reads fall out of the bound, and then get
    /// none: their reads crowd the primary. A new write is first shown to such a replica, which turns it
    /// away untouched and says where it stands. Not to one that may hang, which would swallow the write, nor
    /// to a cold one: what it turns away counts as pushing, too.
    fn look(&mut self, now: Timestamp, p: &Pending) -> Option<usize> {
        let replica_set = p.req.replica_set;
        let bound = self
            .min_bound
            .filter(|_| self.set.reports == ReportSource::Silent && self.set.positions)?;
        let lead = self.lead(now, replica_set)?;
        let stale = |m: &&usize| {
            let x = &self.endpoints[**m];
            let awake = x.out.is_empty() || now < x.answered + bound;
            let old = x
                .looked
                .max(x.applied_position.unwrap_or(0))
                .saturating_add(bound / 2)
                < now;
            **m != lead
                && awake
                && old
                && self.cold_share(now, **m) >= 1.0
                && self.ready(now, **m, p)
        };
        let endpoints = &self.replica_sets.get(&replica_set)?.endpoints;
        let m = endpoints
            .iter()
            .filter(stale)
            .min_by_key(|m| self.endpoints[**m].applied_position)
            .copied()?;
        self.endpoints[m].looked = now;
        Some(m)
    }

    // ---- reads ----

    /// Whether the endpoint is known to be fresh enough. Where endpoints check reads themselves, its lag when
    /// last seen is taken to hold on: a wrong guess costs a miss. Where they don't, only what is known.
    fn fit(&self, now: Timestamp, m: usize, p: &Pending) -> bool {
        let x = &self.endpoints[m];
        let guess = self.set.stale_reads != StaleReadPolicy::Serve;
        let wanted = match (self.class(p).operation, p.token) {
            (Operation::Read(Consistency::Eventual), _)
            | (Operation::Read(Consistency::ReadYourWrites), None) => return true,
            (Operation::Read(Consistency::BoundedStaleness(b)), _) => now.saturating_sub(b),
            (Operation::Read(Consistency::ReadYourWrites), Some(token)) => token,
            (Operation::Read(Consistency::Strong) | Operation::Write, _) => return false,
        };
        match x.applied_position {
            None => guess && x.seen == 0,
            Some(at) if guess => at.saturating_add(now.saturating_sub(x.seen)) >= wanted,
            Some(at) => at >= wanted,
        }
    }

    fn pick_read(&mut self, now: Timestamp, p: &Pending) -> Option<usize> {
        let lead = self.lead(now, p.req.replica_set);
        let g = self.replica_sets.get(&p.req.replica_set)?;
        let mut fit: Vec<(f64, usize)> = Vec::new();
        let mut trial = None;
        for &m in g
            .endpoints
            .iter()
            .filter(|m| !p.tried.contains(m) && self.open(now, **m))
        {
            let x = &self.endpoints[m];
            if Some(m) != lead && !self.fit(now, m, p) {
                continue;
            }
            if x.down {
                if x.trial_at <= now && self.admits(now, m, p) {
                    trial = trial.or(Some(m));
                }
            } else if Some(m) != lead {
                fit.push((self.cost(now, m, 0), m));
            }
        }
        if let Some(m) = trial.filter(|_| p.sent == 0) {
            let x = &mut self.endpoints[m];
            x.trials += 1;
            x.trial_at = now + TRIAL.min((self.max_objective as Nanos) << x.trials.min(8));
            return Some(m);
        }
        fit.sort_by(|a, b| a.0.total_cmp(&b.0));
        let primary = lead.filter(|m| !p.tried.contains(m) && self.ready(now, *m, p));
        let best = fit.first().map(|f| f.0);
        if let Some(m) = primary.filter(|&m| best.is_none_or(|b| b > FAR * self.cost(now, m, 0))) {
            return Some(m);
        }
        let best = best?;
        let within =
            |(i, f): &(usize, &(f64, usize))| f.0 <= if *i < 2 { FAR } else { BAND } * best;
        let mut band: Vec<usize> = fit
            .iter()
            .enumerate()
            .filter(within)
            .map(|(_, f)| f.1)
            .collect();
        // A cold endpoint's turn passes whether it takes the request or not.
        band.sort_by(|&a, &b| {
            self.endpoints[a]
                .picked
                .total_cmp(&self.endpoints[b].picked)
        });
        let taker = band.iter().position(|&m| self.admits(now, m, p));
        for &m in &band[..taker.map_or(band.len(), |i| i + 1)] {
            self.picks += 1.0;
            self.endpoints[m].picked = self.picks;
        }
        // With the band too cold for it a read goes on to a dearer endpoint, but not to one that hangs while
        // the primary does not: such a one is the spare of every router.
        let dear = primary.map_or(f64::INFINITY, |m| FAR * self.cost(now, m, 0));
        let spare = || {
            fit.iter()
                .find(|f| f.0 <= dear && self.admits(now, f.1, p))
                .map(|f| f.1)
        };
        taker.map(|i| band[i]).or_else(spare).or(primary)
    }

    // ---- requests ----

    fn on_request(&mut self, now: Timestamp, req: Request, out: &mut Vec<Action>) {
        let id = req.id;
        let Some(class) = self.set.classes.get(req.class as usize) else {
            out.push(Action::Reject {
                request: id,
                reason: RejectReason::UnknownClass,
                retry_after: None,
            });
            return;
        };
        let stretch = req.work.map_or(0.0, |w| w as f64 * class.objective_stretch) as Nanos;
        let latency_objective = class
            .latency_objective
            .saturating_add(stretch)
            .min(class.deadline)
            .max(1);
        let token = if self.set.sessions_carry_position {
            req.since_write.map(|ago| now.saturating_sub(ago))
        } else {
            let position = self.sessions.required_position(req.session.as_ref());
            position.max(self.is_writing(now, &req).then_some(now))
        };
        let is_over_quota = self
            .quotas
            .is_over_quota(now, &req, &self.set, &mut self.rng);
        self.pace.add(now, PACE * self.max_objective, 1.0);
        self.retry_budget.deposit(self.pace.count_at_last_sample());
        let p = Pending {
            deadline: now.saturating_add(req.time_left),
            objective_end: now.saturating_add(latency_objective.min(req.time_left)),
            latency_objective,
            token,
            sent: 0,
            ran: Vec::new(),
            out: 0,
            tried: Vec::new(),
            is_over_quota,
            luck: self.rng.next_f64(),
            streaming: false,
            held: false,
            req,
        };
        self.place(now, id, p, out);
    }

    /// Sends the request, holds it, or gives it up.
    fn place(&mut self, now: Timestamp, id: RequestId, mut p: Pending, out: &mut Vec<Action>) {
        let (class, replica_set) = (self.class(&p).clone(), p.req.replica_set);
        // Too late to be worth anything: answered at once.
        let end = if class.late_weight > 0.0 {
            p.deadline
        } else {
            p.objective_end
        };
        let takes = p.latency_objective as f64 * self.replica_set_factor(now, replica_set).min(0.5);
        let late = now + self.tick.max(takes as Nanos) >= end;
        let spent = p.sent >= self.set.limits.max_attempts;
        let known = self.replica_sets.contains_key(&replica_set);
        let ends = [
            (!known, RejectReason::UnknownReplicaSet),
            (late, RejectReason::DeadlineTooClose),
            (spent, RejectReason::AttemptLimitReached),
        ];
        if let Some((_, reason)) = ends.into_iter().find(|e| e.0) {
            return self.give_up(p, reason, out);
        }
        let to_lead = matches!(
            class.operation,
            Operation::Write | Operation::Read(Consistency::Strong)
        );
        let look =
            class.operation == Operation::Write && p.sent == 0 && self.set.limits.max_attempts > 2;
        if let Some(m) = if look { self.look(now, &p) } else { None } {
            return self.send(now, id, m, p, out);
        }
        let target = if to_lead {
            self.pick_lead(now, &p)
        } else {
            self.pick_read(now, &p)
        };
        let Some(m) = target else {
            // Nobody to send it to before half of its time is over: better known now than then.
            if p.sent == 0 && !self.may_come(now, &p) {
                return self.give_up(p, RejectReason::NoEligibleEndpoint, out);
            }
            p.held = true;
            p.tried.clear();
            if let Some(g) = self.replica_sets.get_mut(&replica_set) {
                g.held.push_back(id);
                self.holding.insert(replica_set);
            }
            self.pending.insert(id, p);
            return;
        };
        // Overload: what would likely miss its aim is refused early, first what lies beyond a share and
        // the reads that crowd the primary. Could harm when one endpoint's queue is taken for the replica set's.
        let load = self.load(now, m, &p);
        let trial = self.endpoints[m].down;
        let shed = p.sent == 0 && !trial && self.rng.next_f64() < admission::shed_probability(load);
        if shed || !self.may_send(now, m, &p) {
            return self.give_up(
                p,
                if shed {
                    RejectReason::LoadShed
                } else {
                    RejectReason::NotRetryable
                },
                out,
            );
        }
        self.send(now, id, m, p, out);
    }

    /// The latency to be feared at the endpoint, in the request's aims.
    fn load(&self, now: Timestamp, m: usize, p: &Pending) -> f64 {
        let to_lead = matches!(
            self.class(p).operation,
            Operation::Write | Operation::Read(Consistency::Strong)
        );
        let on_lead = !to_lead && Some(m) == self.lead(now, p.req.replica_set);
        let less = if on_lead { FAR } else { 1.0 } * if p.is_over_quota { FAR } else { 1.0 };
        // Few samples may hide a queue: the less is known of the endpoint, the more they weigh.
        let doubt =
            1.0 + 1.0 / (PRIOR + self.endpoints[m].latency[1].totals(now, self.tau(now, 1)).1);
        less * doubt * self.cost(now, m, 1) * self.min_objective / p.latency_objective as f64
    }

    /// Whether any endpoint of the replica set may be open within the first half of the request's time.
    fn may_come(&self, now: Timestamp, p: &Pending) -> bool {
        let half = p.deadline.saturating_sub(p.req.time_left / 2).max(now);
        let mut endpoints = self.replica_sets[&p.req.replica_set]
            .endpoints
            .iter()
            .map(|&m| &self.endpoints[m]);
        endpoints.any(|x| x.listed && x.leaving.is_none() && x.rest_until <= half)
    }

    /// Rule 2: what may have run goes out again only as its class allows.
    fn may_send(&self, now: Timestamp, m: usize, p: &Pending) -> bool {
        let class = self.class(p);
        let x = &self.endpoints[m];
        let knows = |&(_, other, sent): &(u32, usize, Timestamp)| {
            let o = &self.endpoints[other];
            let same = match class.idempotency {
                Idempotency::Idempotent | Idempotency::IdempotencyKey(KeyScope::All) => true,
                Idempotency::IdempotencyKey(KeyScope::Zone) => o.zone == x.zone,
                Idempotency::IdempotencyKey(KeyScope::ReplicaSet) => o.replica_set == x.replica_set,
                Idempotency::NonIdempotent => false,
            };
            same && now.saturating_sub(sent) < class.deduplication_window
        };
        class.idempotency == Idempotency::Idempotent || p.ran.iter().all(knows)
    }

    fn send(
        &mut self,
        now: Timestamp,
        id: RequestId,
        m: usize,
        mut p: Pending,
        out: &mut Vec<Action>,
    ) {
        let class = self.class(&p);
        let write = class.operation == Operation::Write;
        // The attempt may have to wait for a connection: the window holds for when it is written, too.
        let first = p
            .ran
            .iter()
            .map(|r| r.2)
            .min()
            .filter(|_| class.idempotency != Idempotency::Idempotent);
        let by = first.map(|at| at.saturating_add(class.deduplication_window));
        let x = &mut self.endpoints[m];
        let session = p.req.session.clone().filter(|_| write);
        x.out.push(Attempt {
            request: id,
            number: p.sent,
            sent: now,
            latency_objective: p.latency_objective as f64,
            write,
            session,
        });
        p.ran.push((p.sent, m, now));
        p.tried.push(m);
        p.sent += 1;
        p.out += 1;
        p.held = false;
        out.push(Action::Send {
            request: id,
            endpoint: x.id.clone(),
            limit: None,
            by,
        });
        self.pending.insert(id, p);
    }

    /// The final answer, at once: refused where that is certain to do no harm, else failed.
    fn give_up(&mut self, p: Pending, reason: RejectReason, out: &mut Vec<Action>) {
        let request = p.req.id;
        let idempotency = self.class(&p).idempotency;
        let harmless = p.ran.is_empty()
            || matches!(
                idempotency,
                Idempotency::Idempotent | Idempotency::IdempotencyKey(KeyScope::All)
            );
        if harmless {
            let longest = self.set.limits.max_retry_advice as f64;
            let advice = (longest * (0.5 + self.rng.next_f64() / 2.0)) as Nanos;
            let retry_after = self.set.limits.retry_advice.then_some(advice);
            out.push(Action::Reject {
                request,
                reason,
                retry_after,
            });
        } else {
            out.push(Action::Fail { request, reason });
        }
        self.pending.insert(request, p);
        self.close(request, out);
    }

    /// The request is over: what is still out for it is called off.
    fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(p) = self.pending.remove(&id) else {
            return;
        };
        if let Some(g) = self
            .replica_sets
            .get_mut(&p.req.replica_set)
            .filter(|_| p.held)
        {
            g.held.retain(|h| *h != id);
            if g.held.is_empty() {
                self.holding.remove(&p.req.replica_set);
            }
        }
        if p.out > 0 && self.set.limits.cancel {
            for (attempt, m, _) in p.ran {
                if self.endpoints[m]
                    .out
                    .iter()
                    .any(|a| a.request == id && a.number == attempt)
                {
                    out.push(Action::Cancel {
                        request: id,
                        attempt,
                    });
                }
            }
        }
    }

    fn on_outcome(&mut self, now: Timestamp, o: AttemptEnded, out: &mut Vec<Action>) {
        let Some(&m) = self.index.get(&o.endpoint) else {
            return;
        };
        let x = &mut self.endpoints[m];
        let replica_set = x.replica_set;
        let spot = x
            .out
            .iter()
            .position(|a| a.request == o.request && a.number == o.attempt);
        let Some(attempt) = spot.map(|i| x.out.swap_remove(i)) else {
            return;
        };
        self.judge(now, m, &attempt, &o);
        if attempt.write && !o.outcome.is_never_executed() {
            // One that may have run binds its session, too; all that is known of its place: before now.
            let commit = o
                .replication
                .applied_position
                .filter(|_| o.outcome == AttemptOutcome::Served);
            let session = attempt
                .session
                .filter(|_| !self.set.sessions_carry_position);
            self.sessions.record_write(session, commit.unwrap_or(now));
        }
        if let Some(mut p) = self.pending.remove(&o.request) {
            p.out = p.out.saturating_sub(1);
            if o.outcome.is_never_executed() {
                p.ran.retain(|r| r.0 != o.attempt);
            }
            if !o.closed && p.out == 0 && !p.streaming {
                self.again(now, o.request, p, o.outcome, out);
            } else {
                self.pending.insert(o.request, p);
                if o.closed {
                    self.close(o.request, out);
                }
            }
        }
        self.release(now, replica_set, out);
    }

    /// A write of the request's session is out for so long that its answer may have been lost.
    fn is_writing(&self, now: Timestamp, req: &Request) -> bool {
        let own =
            |a: &Attempt| a.session.is_some() && a.session == req.session && a.sent + HEARD <= now;
        let endpoints = self
            .replica_sets
            .get(&req.replica_set)
            .map_or(&[][..], |g| &g.endpoints);
        endpoints
            .iter()
            .any(|&m| self.endpoints[m].out.iter().any(own))
    }

    /// What an outcome tells of the endpoint.
    fn judge(&mut self, now: Timestamp, m: usize, a: &Attempt, o: &AttemptEnded) {
        let mut replication = o.replication;
        if a.write && o.outcome == AttemptOutcome::Served {
            replication.applied_position = None;
        }
        self.learn(now, m, o.report, false);
        self.learn(now, m, replication, true);
        let took = o.latency as f64;
        self.endpoints[m].spoilt += u32::from(o.outcome == AttemptOutcome::MalformedResponse);
        self.endpoints[m].broken += u32::from(o.outcome == AttemptOutcome::ConnectionReset);
        match o.outcome {
            AttemptOutcome::Served => {
                self.endpoints[m].overtaking = self.endpoints[m].overtaking.max(a.sent);
                self.observe(now, m, took, a.latency_objective);
                self.crowded(now, m, took, true);
                self.answered(now, m);
            }
            AttemptOutcome::Misrouted | AttemptOutcome::InvalidRequest => self.answered(now, m),
            // Any endpoint's answer may be spoilt on its way, so one tells nothing of its health.
            AttemptOutcome::MalformedResponse if self.endpoints[m].spoilt < IN_A_ROW => {}
            // Full or draining: no sample of its cost, but a rest that grows as it repeats, and crowding:
            // with all queues full nothing is answered in time, and no latency would tell.
            AttemptOutcome::Overloaded => {
                let x = &mut self.endpoints[m];
                x.fulls = (x.fulls + 1).min(6);
                x.rest_until = now + (self.tick << x.fulls) / 2;
                self.crowded(now, m, FAR * a.latency_objective, false);
            }
            AttemptOutcome::Error if a.write && replication.role == Some(Role::Replica) => {
                self.answered(now, m)
            }
            AttemptOutcome::Error | AttemptOutcome::MalformedResponse => {
                // A quick error must not look cheap: it counts as an answer far beyond the aim.
                self.answered(now, m);
                self.observe(
                    now,
                    m,
                    took.max(FAR * a.latency_objective),
                    a.latency_objective,
                );
                let next_f64 = 0.25 + self.rng.next_f64() / 2.0;
                let x = &mut self.endpoints[m];
                (x.down, x.trial_at) = (true, now + (self.max_objective * next_f64) as Nanos);
            }
            // It may only be lost: no crowding, unless the endpoint says that it is full.
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled => {
                self.observe(now, m, took, a.latency_objective);
                if self.endpoints[m].fulls > 0 {
                    self.crowded(now, m, took, false);
                }
            }
            // A dead process, a cut link and a full connection table look alike, and a shallow probe tells
            // none of them: it rests, at growing pauses up to the design's five seconds, drawn so that many
            // routers do not come back in step. Those who hold a connection keep to it meanwhile.
            // One connection may break on its own: a process that died breaks all and refuses new ones.
            AttemptOutcome::ConnectionReset if self.endpoints[m].broken < IN_A_ROW => {}
            AttemptOutcome::ConnectFailed | AttemptOutcome::ConnectionReset => {
                let next_f64 = 0.5 + self.rng.next_f64();
                let x = &mut self.endpoints[m];
                let replica_set = x.replica_set;
                x.away_since = if x.away == 0 { now } else { x.away_since };
                x.away = (x.away + 1).min(8);
                let alone = !self.replica_sets[&replica_set]
                    .endpoints
                    .iter()
                    .any(|&i| i != m && self.open(now, i));
                // With the whole replica set out of reach a failed connect costs little, and a long rest much.
                let longest = if alone {
                    self.max_objective
                } else {
                    TRIAL as f64
                };
                let x = &mut self.endpoints[m];
                let pause = (self.min_objective / 4.0 * f64::from(1u32 << x.away)).min(longest);
                x.rest_until = now + (pause * next_f64) as Nanos;
            }
            AttemptOutcome::Abandoned | AttemptOutcome::NotSent => {}
        }
    }

    /// An attempt has failed and no other is out: another one, or the final answer.
    fn again(
        &mut self,
        now: Timestamp,
        id: RequestId,
        mut p: Pending,
        outcome: AttemptOutcome,
        out: &mut Vec<Action>,
    ) {
        if outcome == AttemptOutcome::InvalidRequest {
            out.push(Action::Fail {
                request: id,
                reason: RejectReason::InvalidRequest,
            });
            self.pending.insert(id, p);
            return self.close(id, out);
        }
        let class = self.class(&p);
        let allowed = match class.idempotency {
            Idempotency::Idempotent => outcome != AttemptOutcome::TimedOut || now < p.objective_end,
            Idempotency::IdempotencyKey(_) => outcome != AttemptOutcome::TimedOut,
            Idempotency::NonIdempotent => p.ran.is_empty(),
        };
        if class.operation == Operation::Write && !outcome.is_never_executed() {
            p.tried.clear();
        }
        // What never ran cost nothing; other further attempts share one small budget, so that retries
        // can't feed an overload.
        let price = if matches!(
            outcome,
            AttemptOutcome::Misrouted | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
        ) {
            0.0
        } else {
            1.0
        };
        if !allowed || !self.retry_budget.covers(price) || outcome == AttemptOutcome::Abandoned {
            let reason = match outcome {
                AttemptOutcome::Abandoned => RejectReason::DeadlineTooClose,
                _ if allowed => RejectReason::RetryBudgetExhausted,
                AttemptOutcome::TimedOut => RejectReason::AttemptTimedOut,
                _ => RejectReason::NotRetryable,
            };
            return self.give_up(p, reason, out);
        }
        self.retry_budget.withdraw(price);
        // Turned away by a cold endpoint it has pushed it all the same: back at half the chance, or none.
        if outcome == AttemptOutcome::Overloaded {
            p.luck = 2.0 * p.luck.max(0.5);
        }
        if let Some(g) = self
            .replica_sets
            .get_mut(&p.req.replica_set)
            .filter(|g| g.primary.is_none())
        {
            g.scout_at = now;
        }
        self.place(now, id, p, out);
    }

    /// Held requests of a replica set get another look, in order of arrival.
    fn release(&mut self, now: Timestamp, replica_set: u32, out: &mut Vec<Action>) {
        let Some(g) = self.replica_sets.get_mut(&replica_set) else {
            return;
        };
        self.holding.remove(&replica_set);
        for id in std::mem::take(&mut g.held) {
            if let Some(p) = self.pending.remove(&id) {
                self.place(now, id, p, out);
            }
        }
    }

    fn on_tick(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        for replica_set in self.holding.iter().copied().collect::<Vec<u32>>() {
            self.release(now, replica_set, out);
        }
    }
}
