//! Reads the settings object that the adapter gets on the wire and the router in its configuration.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use reelrill_routing::*;
use serde_json::Value;

/// What a host needs of the settings: the balancer's part, and what only the host itself uses.
#[derive(Debug, Clone)]
pub struct Site {
    /// What the balancer is told.
    pub settings: Settings,
    /// The clock time from which positions are counted on the simulator's wire.
    pub origin: Timestamp,
    /// The classes' names, in the order that [`Request::class`] counts.
    pub class_names: Vec<String>,
    /// The zones' names, in the order that [`Entry::zone`] counts.
    pub zones: Vec<String>,
    /// An endpoint closes a connection that has been idle this long (0: not told).
    pub idle_close: Nanos,
}

/// A place in the settings, with its path for messages.
struct At<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> At<'a> {
    fn get(&self, key: &str) -> Result<At<'a>, String> {
        let path = if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        };
        match self.value.get(key) {
            Some(value) if !value.is_null() => Ok(At { value, path }),
            _ => Err(format!("{path} is missing")),
        }
    }

    fn wrong(&self, wanted: &str) -> String {
        format!("{} is not {wanted}", self.path)
    }

    fn float(&self, key: &str) -> Result<f64, String> {
        let at = self.get(key)?;
        at.value.as_f64().ok_or_else(|| at.wrong("a number"))
    }

    fn whole(&self, key: &str) -> Result<u64, String> {
        let at = self.get(key)?;
        let fits = |f: f64| (f >= 0.0 && f.fract() == 0.0 && f < 1.8e19).then_some(f as u64);
        at.value
            .as_u64()
            .or_else(|| at.value.as_f64().and_then(fits))
            .ok_or_else(|| at.wrong("a whole number"))
    }

    fn small(&self, key: &str) -> Result<u32, String> {
        u32::try_from(self.whole(key)?).map_err(|_| format!("{}.{key} is too large", self.path))
    }

    fn flag(&self, key: &str) -> Result<bool, String> {
        let at = self.get(key)?;
        at.value.as_bool().ok_or_else(|| at.wrong("true or false"))
    }

    fn word(&self, key: &str) -> Result<&'a str, String> {
        let at = self.get(key)?;
        at.value.as_str().ok_or_else(|| at.wrong("a text"))
    }

    fn unknown<T>(&self, key: &str, word: &str) -> Result<T, String> {
        Err(format!("{}.{key}: unknown word '{word}'", self.path))
    }

    fn list(&self, key: &str) -> Result<Vec<At<'a>>, String> {
        let at = self.get(key)?;
        let items = at.value.as_array().ok_or_else(|| at.wrong("a list"))?;
        let item = |(i, value)| At {
            value,
            path: format!("{}[{i}]", at.path),
        };
        Ok(items.iter().enumerate().map(item).collect())
    }

    /// The value, or `other` where the key is absent.
    fn or<T>(
        &self,
        key: &str,
        other: T,
        read: impl Fn(&Self, &str) -> Result<T, String>,
    ) -> Result<T, String> {
        if self.value.get(key).is_none_or(Value::is_null) {
            Ok(other)
        } else {
            read(self, key)
        }
    }
}

/// Reads the settings; an error names the field and what is wrong with it.
pub fn read(value: &Value) -> Result<Site, String> {
    let top = At {
        value,
        path: String::new(),
    };
    let family = top.get("familyInfo")?;
    let ages = family.list("maxAge")?;
    let needs = family.list("freshness")?;
    let (mut classes, mut class_names) = (Vec::new(), Vec::new());
    for (i, c) in top.list("classes")?.iter().enumerate() {
        let operation = match needs.get(i).and_then(|n| n.value.as_str()) {
            Some("eventual") => Operation::Read(Consistency::Eventual),
            Some("lag_bound") => {
                let age = ages.get(i).and_then(|a| a.value.as_u64());
                Operation::Read(Consistency::BoundedStaleness(
                    age.ok_or(format!("familyInfo.maxAge[{i}] is missing"))?,
                ))
            }
            Some("causal") => Operation::Read(Consistency::ReadYourWrites),
            Some("strong") => Operation::Read(Consistency::Strong),
            Some("mutate") => Operation::Write,
            Some(other) => return family.unknown(&format!("freshness[{i}]"), other),
            None => return Err(format!("familyInfo.freshness[{i}] is missing")),
        };
        let idempotency = match c.word("repeat")? {
            "retryable" => Idempotency::Idempotent,
            "fragile" => Idempotency::NonIdempotent,
            "dedup" => Idempotency::IdempotencyKey(match c.word("group")? {
                "all" => KeyScope::All,
                "zone" => KeyScope::Zone,
                "cell" => KeyScope::ReplicaSet,
                other => return c.unknown("group", other),
            }),
            other => return c.unknown("repeat", other),
        };
        class_names.push(c.or("name", "", At::word)?.to_owned());
        classes.push(Class {
            operation,
            idempotency,
            deduplication_window: c.or("window", 0, At::whole)?,
            latency_objective: c.whole("onTime")?,
            objective_stretch: c.or("aimStretch", 0.0, At::float)?,
            deadline: c.whole("hardLimit")?,
            priority_weight: c.float("credit")?,
            late_weight: c.or("lateWorth", 0.0, At::float)?,
        });
    }
    let mut tenants = Vec::new();
    for t in top.or("realms", Vec::new(), At::list)? {
        tenants.push(Tenant {
            quota: t.float("quotaRps")?,
        });
    }
    let rules = top.get("rules")?;
    let limits = top.get("ceilings")?;
    let report = top.get("report")?;
    let reports = match report.word("source")? {
        "piggyback" => ReportSource::Answers,
        "pull" => ReportSource::Probes,
        "silent" => ReportSource::Silent,
        other => return report.unknown("source", other),
    };
    let stale_reads = match family.word("guards")? {
        "silent" => StaleReadPolicy::Serve,
        "bounce" => StaleReadPolicy::Reject,
        "await" => StaleReadPolicy::Wait(family.or("holdsFor", 0, At::whole)?),
        other => return family.unknown("guards", other),
    };
    let list_role = match family.word("listRole")? {
        "trailing" => ListRole::Late,
        "static" => ListRole::Start,
        "silent" => ListRole::Silent,
        other => return family.unknown("listRole", other),
    };
    let sessions_carry_position = match family.word("sessionMarks")? {
        "brought" => true,
        "kept" => false,
        other => return family.unknown("sessionMarks", other),
    };
    let must_subscribe = match top.word("registryMode")? {
        "subscribe" => true,
        "automatic" => false,
        other => return top.unknown("registryMode", other),
    };
    let settings = Settings {
        router_count: top.or("groupSize", 1, At::small)?,
        zone: top.or("az", 0, At::small)?,
        round: top.or("period", 0, At::whole)?,
        classes,
        tenants,
        over_quota_weight: top.or("overShareWorth", 1.0, At::float)?,
        reports,
        positions: family.flag("stamps")?,
        sessions_carry_position,
        stale_reads,
        list_role,
        must_subscribe,
        rules: Rules {
            drain_grace: rules.whole("drainGrace")?,
            only_draining_binds: rules.or("droppedStayOpen", false, At::flag)?,
            slow_start_initial_fraction: rules.float("coldFrom")?,
            slow_start_duration: rules.whole("warmAfter")?,
            overload_multiple: rules.float("fallMultiple")?,
            overload_window: rules.whole("fall")?,
            poll_interval: rules.or("askEvery", 0, At::whole)?,
        },
        limits: Limits {
            max_attempts: limits.small("maxAttempts")?,
            probes: limits.flag("probes")?,
            cancel: limits.flag("mayCancel")?,
            hedging: limits.flag("secondCopies")?,
            retry_advice: limits.flag("retryAfter")?,
            max_retry_advice: limits.or("maxRetryAfter", 0, At::whole)?,
            connect_timeout: limits.or("connectTimeout", 0, At::whole)?,
        },
    };
    let mut zones = Vec::new();
    for z in top.or("zones", Vec::new(), At::list)? {
        zones.push(
            z.value
                .as_str()
                .ok_or_else(|| z.wrong("a text"))?
                .to_owned(),
        );
    }
    let idle_close = limits.or("idleClose", 0, At::whole)?;
    Ok(Site {
        settings,
        origin: family.whole("originTime")?,
        class_names,
        zones,
        idle_close,
    })
}
