//! The settings of a small deployment, in the form that a router is told them.

/// The settings that differ between the cases. Times are in milliseconds.
pub struct Deployment {
    /// `subscribe` where discovery is asked, `automatic` where lists are pushed.
    pub registry_mode: &'static str,
    /// `silent`, `trailing` or `static`.
    pub list_role: &'static str,
    /// `bounce` or `silent`.
    pub guards: &'static str,
    /// `brought` or `kept`.
    pub session_marks: &'static str,
    /// `piggyback` or `pull`.
    pub reports: &'static str,
    /// The age that the class `board` allows.
    pub board_age_ms: u64,
    pub book: BookClass,
}

/// The class of writes.
pub struct BookClass {
    /// `dedup` or `fragile`.
    pub repeat: &'static str,
    pub deadline_ms: u64,
    pub window_ms: u64,
}

/// The keyed writes of the operators' deployment: given up after 2 s, repeats are dropped for 2 s.
pub const KEYED_BOOK: BookClass = BookClass {
    repeat: "dedup",
    deadline_ms: 2000,
    window_ms: 2000,
};

impl Deployment {
    /// Returns the settings object: the classes `board` (reads of bounded age), `any` (reads at any node), `own`
    /// (session reads), `now` (reads of all that was written) and `book` (writes).
    pub fn json(&self) -> String {
        let read = |name: &str, on_time: u64, deadline: u64| {
            format!(
                r#"{{"name":"{name}","onTime":{on_time}000000,"hardLimit":{deadline}000000,"credit":1.0,"lateWorth":0.0,"repeat":"retryable","group":"all","stream":false,"window":5000000000}}"#
            )
        };
        let classes = [
            read("board", 300, 1000),
            read("any", 500, 1200),
            read("own", 500, 1500),
            read("now", 800, 3000),
            format!(
                r#"{{"name":"book","onTime":750000000,"hardLimit":{}000000,"credit":6.0,"lateWorth":0.7,"repeat":"{}","group":"cell","stream":false,"window":{}000000}}"#,
                self.book.deadline_ms, self.book.repeat, self.book.window_ms
            ),
        ];
        format!(
            r#"{{"az":0,"zones":["a"],"groupSize":2,"period":5000000,"registryMode":"{}","kinds":["std-3c"],
  "ceilings":{{"connectTimeout":250000000,"idleClose":15000000000,"maxAttempts":10,"mayCancel":true,"probes":true,"secondCopies":true,"retryAfter":true,"maxRetryAfter":1000000000,"maxOpen":20000,"streamsPerConn":1}},
  "classes":[{}],
  "familyInfo":{{"freshness":["lag_bound","eventual","causal","strong","mutate"],"maxAge":[{}000000,0,0,0,0],"guards":"{}","holdsFor":0,"listRole":"{}","originTime":0,"sessionMarks":"{}","stamps":true,"waitsForCopy":false}},
  "report":{{"source":"{}","columns":["x0","x1","inflight","util"]}},
  "rules":{{"answerSlack":20000000,"askEvery":10000000000,"coldFrom":0.16,"drainGrace":250000000,"fall":1500000000,"fallMultiple":3.0,"warmAfter":17000000000}},
  "realms":[],"tier":0,"tiers":["cargo-db"],"weights":"nominal","worthBy":"request","me":0}}"#,
            self.registry_mode,
            classes.join(","),
            self.board_age_ms,
            self.guards,
            self.list_role,
            self.session_marks,
            self.reports,
        )
    }
}

/// The settings of the operators' deployment `kaohsiung-cargo`, as far as the cases need them.
pub const CARGO: Deployment = Deployment {
    registry_mode: "subscribe",
    list_role: "silent",
    guards: "bounce",
    session_marks: "brought",
    reports: "piggyback",
    board_age_ms: 300,
    book: KEYED_BOOK,
};
