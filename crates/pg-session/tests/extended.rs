//! Pipelines against a client that waits for each answer: whatever runs at once, in whatever order it ends, the
//! client must get what it would have got one by one, and nothing may start too early.

use proptest::prelude::*;
use reelrill_pg_protocol::Format;
use reelrill_pg_protocol::frontend::{Bind, Command, ObjectKind};
use reelrill_pg_protocol::oid;
use reelrill_pg_session::SessionError;
use reelrill_pg_session::extended::{ExtendedSession, Output, SharedResources, StartedRequest};
use reelrill_pg_session::limits::{Limits, SharedBudgets};
use reelrill_pg_session::request::ClassCatalog;
use reelrill_pg_session::template::TemplateStore;
use reelrill_routing::{Class, Consistency, Idempotency, Operation};
use rstest::rstest;
use std::collections::HashMap;
use std::rc::Rc;

const READ: &str = "SELECT data FROM facts WHERE code = $1 /* c=board,cluster=1 */";
const WRITE: &str =
    "INSERT INTO facts (code, data) VALUES ($1, 'v') RETURNING data /* c=book,cluster=1 */";

fn common(limits: Limits) -> Rc<SharedResources> {
    let class = |operation| Class {
        operation,
        idempotency: Idempotency::Idempotent,
        deduplication_window: 0,
        latency_objective: 1,
        objective_stretch: 0.0,
        deadline: 1_000_000_000,
        priority_weight: 1.0,
        late_weight: 0.0,
    };
    let names = ["board", "book"].map(str::to_owned).into();
    Rc::new(SharedResources {
        templates: TemplateStore::new(limits.text_bytes, oid::BYTEA),
        limits,
        budgets: SharedBudgets::new(&limits),
        classes: ClassCatalog::new(
            names,
            vec![
                class(Operation::Read(Consistency::Eventual)),
                class(Operation::Write),
            ],
        ),
        should_translate: false,
    })
}

#[derive(Debug, Clone)]
enum Op {
    Parse(&'static str, bool),
    Bind(&'static str, &'static str),
    Execute(&'static str),
    CloseStatement(&'static str),
    ClosePortal(&'static str),
    DescribeStatement(&'static str),
    Sync,
}

/// A few commands that go together, or any one.
fn ops() -> impl Strategy<Value = Vec<Op>> {
    let name = || prop_oneof![2 => Just(""), 1 => Just("a"), 1 => Just("b")];
    prop_oneof![
        4 => (name(), name(), 0..4).prop_map(|(s, p, w)| {
            vec![Op::Parse(s, w == 0), Op::Bind(p, s), Op::Execute(p)]
        }),
        6 => (name(), name()).prop_map(|(s, p)| vec![Op::Bind(p, s), Op::Execute(p)]),
        1 => (name(), any::<bool>()).prop_map(|(n, w)| vec![Op::Parse(n, w)]),
        1 => (name(), name()).prop_map(|(p, s)| vec![Op::Bind(p, s)]),
        1 => name().prop_map(|n| vec![Op::Execute(n)]),
        1 => name().prop_map(|n| vec![Op::CloseStatement(n)]),
        1 => name().prop_map(|n| vec![Op::ClosePortal(n)]),
        1 => name().prop_map(|n| vec![Op::DescribeStatement(n)]),
        6 => Just(vec![Op::Sync]),
    ]
}

/// `id` becomes the name of a request that is bound now.
fn give(plan: &mut ExtendedSession<bool>, op: &Op, id: usize) {
    let command = match *op {
        Op::Parse(name, is_write) => Command::Parse {
            name,
            text: if is_write { WRITE } else { READ },
            types: Vec::new(),
        },
        Op::Bind(portal, statement) => Command::Bind(Bind {
            portal,
            statement,
            parameter_formats: Vec::new(),
            values: vec![Some(b"k")],
            result_formats: vec![Format::Binary],
        }),
        Op::Execute(portal) => Command::Execute {
            portal,
            row_limit: 0,
        },
        Op::CloseStatement(name) => Command::Close(ObjectKind::Statement, name),
        Op::ClosePortal(name) => Command::Close(ObjectKind::Portal, name),
        Op::DescribeStatement(name) => Command::Describe(ObjectKind::Statement, name),
        Op::Sync => Command::Sync,
    };
    plan.on_command(&command, id as u64);
}

/// What a client gets that sends a command, waits for its answer, and sends the next: `fates` says by the
/// place of a request's Bind whether it is served. Also gives the writes that were served.
fn one_by_one(ops: &[Op], fates: &[bool]) -> (Vec<String>, Vec<u64>) {
    let (mut said, mut ran) = (Vec::new(), Vec::new());
    let mut statements: HashMap<&str, bool> = HashMap::new();
    let mut portals: HashMap<&str, (bool, usize, bool)> = HashMap::new();
    let mut skipping = false;
    for (at, op) in ops.iter().enumerate() {
        if skipping && !matches!(op, Op::Sync) {
            continue;
        }
        let word = match *op {
            Op::Sync => {
                portals.clear();
                skipping = false;
                "ReadyForQuery"
            }
            Op::Parse(name, _) if !name.is_empty() && statements.contains_key(name) => {
                "DuplicateStatement"
            }
            Op::Parse(name, is_write) => {
                statements.insert(name, is_write);
                "ParseComplete"
            }
            Op::Bind(portal, statement) => match statements.get(statement) {
                None => "UnknownStatement",
                Some(_) if !portal.is_empty() && portals.contains_key(portal) => "DuplicatePortal",
                Some(is_write) => {
                    portals.insert(portal, (*is_write, at, false));
                    "BindComplete"
                }
            },
            Op::Execute(portal) => match portals.get_mut(portal) {
                None => "UnknownPortal",
                Some((true, _, true)) => "PortalAlreadyRun",
                Some((false, _, true)) => "CommandComplete",
                Some((is_write, id, has_run)) => {
                    *has_run = true;
                    if *is_write && fates[*id] {
                        ran.push(*id as u64);
                    }
                    if fates[*id] { "served" } else { "failed" }
                }
            },
            Op::CloseStatement(name) => {
                statements.remove(name);
                "CloseComplete"
            }
            Op::ClosePortal(name) => {
                portals.remove(name);
                "CloseComplete"
            }
            Op::DescribeStatement(name) if statements.contains_key(name) => {
                said.push("ParameterDescription".to_owned());
                "RowDescription"
            }
            Op::DescribeStatement(_) => "UnknownStatement",
        };
        let errors = [
            "DuplicateStatement",
            "UnknownStatement",
            "DuplicatePortal",
            "UnknownPortal",
            "PortalAlreadyRun",
            "failed",
        ];
        skipping |= errors.contains(&word);
        said.push(word.to_owned());
    }
    (said, ran)
}

fn word(output: &Output<bool>) -> String {
    match output {
        Output::Response { response, .. } => if *response { "served" } else { "failed" }.to_owned(),
        Output::Error(wrong) => format!("{wrong:?}")
            .split(['(', ' '])
            .next()
            .unwrap_or("")
            .to_owned(),
        other => format!("{other:?}")
            .split(['(', ' '])
            .next()
            .unwrap_or("")
            .to_owned(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1500,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_pipeline_answers_as_one_by_one(
        ops in proptest::collection::vec(ops(), 1..24),
        fates in proptest::collection::vec(proptest::bool::weighted(0.8), 80),
        choices in proptest::collection::vec(any::<proptest::sample::Index>(), 200),
        reads in 1usize..5,
    ) {
        let mut ops = ops.concat();
        ops.push(Op::Sync);
        let (wanted, writes) = one_by_one(&ops, &fates);
        let limits = Limits { reads, commands: 12, ..Limits::default() };
        let mut plan: ExtendedSession<bool> = ExtendedSession::new(common(limits));
        let (mut given, mut said) = (0, Vec::new());
        let (mut out, mut written): (Vec<StartedRequest>, Vec<u64>) = (Vec::new(), Vec::new());
        for choice in choices.iter().cycle().take(5000) {
            while given < ops.len() && !plan.is_full() {
                give(&mut plan, &ops[given], given);
                given += 1;
                if choice.index(3) == 0 {
                    break;
                }
            }
            while let Some(start) = plan.start_next() {
                prop_assert!(!out.iter().any(|o| o.request.is_write), "beside a write");
                prop_assert!(!start.request.is_write || out.is_empty(), "a write beside others");
                prop_assert!(out.len() < reads);
                out.push(start);
            }
            // The answers so far must be a beginning of the wanted ones, whenever they are looked at.
            while let Some(output) = plan.pop_output() {
                said.push(word(&output));
            }
            prop_assert!(wanted.starts_with(&said), "{said:?} for {wanted:?}");
            if out.is_empty() {
                if given == ops.len() {
                    break;
                }
                continue;
            }
            let ended = out.swap_remove(choice.index(out.len()));
            let id = ended.request.id.unwrap();
            let fate = fates[id as usize];
            if ended.request.is_write && fate {
                written.push(id);
            }
            let off = plan.finish(ended.number, fate, fate);
            out.retain(|o| !off.contains(&o.number));
            prop_assert!(plan.finish(ended.number, !fate, !fate).is_empty(), "a second end changes something");
        }
        prop_assert_eq!(&said, &wanted);
        prop_assert!(plan.is_idle());
        prop_assert_eq!(written, writes, "a write ran that one by one would not have, or did not");
    }
}

/// Takes all that may start, ends it as served, and gives what is said.
fn settle(plan: &mut ExtendedSession<bool>) -> Vec<String> {
    let mut said = Vec::new();
    loop {
        while let Some(output) = plan.pop_output() {
            said.push(word(&output));
        }
        let Some(start) = plan.start_next() else {
            return said;
        };
        plan.finish(start.number, true, true);
    }
}

#[test]
fn a_row_limit_of_one_leaves_its_portal_suspended() {
    let mut plan: ExtendedSession<bool> = ExtendedSession::new(common(Limits::default()));
    for op in [Op::Parse("", false), Op::Bind("", "")] {
        give(&mut plan, &op, 1);
    }
    plan.on_command(
        &Command::Execute {
            portal: "",
            row_limit: 1,
        },
        1,
    );
    plan.on_command(
        &Command::Execute {
            portal: "",
            row_limit: 1,
        },
        1,
    );
    plan.on_command(&Command::Describe(ObjectKind::Portal, ""), 1);
    let start = plan.start_next().unwrap();
    assert!(plan.start_next().is_none());
    assert_eq!(
        [plan.pop_output(), plan.pop_output(), plan.pop_output()],
        [
            Some(Output::ParseComplete),
            Some(Output::BindComplete),
            None
        ]
    );
    plan.finish(start.number, true, true);
    assert_eq!(
        plan.pop_output(),
        Some(Output::Response {
            response: true,
            is_suspended: true
        })
    );
    assert_eq!(plan.pop_output(), Some(Output::CommandComplete("SELECT 0")));
    assert_eq!(
        plan.pop_output(),
        Some(Output::RowDescription(Format::Binary))
    );
}

#[rstest]
#[case("DEALLOCATE a", "CommandComplete")]
#[case("DEALLOCATE x", "Error")]
#[case("DISCARD ALL", "CommandComplete")]
#[case("SET x = 1", "CommandComplete")]
#[case("", "EmptyQueryResponse")]
fn utilities_run_without_an_instance(#[case] text: &str, #[case] wanted: &str) {
    let mut plan: ExtendedSession<bool> = ExtendedSession::new(common(Limits::default()));
    give(&mut plan, &Op::Parse("a", false), 1);
    plan.on_command(
        &Command::Parse {
            name: "u",
            text,
            types: Vec::new(),
        },
        1,
    );
    let bind = Bind {
        portal: "",
        statement: "u",
        parameter_formats: vec![],
        values: vec![],
        result_formats: vec![],
    };
    plan.on_command(&Command::Bind(bind), 1);
    plan.on_command(
        &Command::Execute {
            portal: "",
            row_limit: 0,
        },
        1,
    );
    plan.on_command(&Command::Sync, 1);
    let said = settle(&mut plan);
    assert_eq!(
        &said[..3],
        ["ParseComplete", "ParseComplete", "BindComplete"]
    );
    assert!(
        said[3] == wanted || (wanted == "Error" && said[3] == "UnknownStatement"),
        "{said:?}"
    );
    assert_eq!(
        plan.statement_count(),
        match text {
            "DEALLOCATE a" => 1,
            "DISCARD ALL" => 0,
            _ => 2,
        }
    );
}

/// Guards the bounds: what is over one is refused by name, and what was there before goes on.
#[test]
fn bounds_are_kept_and_named() {
    let limits = Limits {
        statements: 3,
        all_statements: 5,
        portals: 2,
        segment: 6,
        ..Limits::default()
    };
    let common = common(limits);
    let mut plans: Vec<ExtendedSession<bool>> = (0..2)
        .map(|_| ExtendedSession::new(common.clone()))
        .collect();
    let limit = |what, most| Some(Output::Error(SessionError::LimitExceeded { what, most }));
    let names = ["a", "b", "c", "d"];
    let last = |plan: &mut ExtendedSession<bool>| {
        let mut last = None;
        while let Some(output) = plan.pop_output() {
            last = Some(output);
        }
        last
    };
    for (plan, wanted) in plans.iter_mut().zip([
        limit("prepared statements of one client", 3),
        limit("prepared statements of all clients", 5),
    ]) {
        for name in names {
            give(plan, &Op::Parse(name, false), 1);
        }
        assert_eq!(last(plan), wanted);
        give(plan, &Op::Sync, 1);
        last(plan);
    }
    let plan = &mut plans[0];
    for name in names {
        give(plan, &Op::Bind(name, "a"), 1);
    }
    assert_eq!(last(plan), limit("portals of one client", 2));
    give(plan, &Op::Sync, 1);
    for _ in 0..7 {
        give(plan, &Op::ClosePortal("x"), 1);
    }
    assert_eq!(last(plan), limit("commands in a segment", 6));
    give(plan, &Op::Sync, 1);
    give(plan, &Op::Bind("", "a"), 1);
    give(plan, &Op::Execute(""), 1);
    assert_eq!(settle(plan).last().unwrap(), "served");
    drop(plans);
    assert_eq!(
        (common.budgets.statements.used(), common.templates.usage()),
        (0, (0, 0))
    );
}

/// Guards the memory of bound values, whether they are kept as values or as literals; a Sync gives it back.
#[rstest]
fn bound_values_are_bounded(#[values(false, true)] should_translate: bool) {
    let limits = Limits {
        value_bytes: 1000,
        ..Limits::default()
    };
    let mut common = Rc::try_unwrap(common(limits)).unwrap();
    common.should_translate = should_translate;
    let common = Rc::new(common);
    let mut plan: ExtendedSession<bool> = ExtendedSession::new(common.clone());
    for round in 0..2 {
        give(&mut plan, &Op::Parse("", false), 1);
        let names: Vec<String> = (0..20).map(|n| format!("p{n}")).collect();
        for portal in &names {
            let (parameter_formats, values) = (Vec::new(), vec![Some(&[b'k'; 100][..])]);
            let bind = Bind {
                portal,
                statement: "",
                parameter_formats,
                values,
                result_formats: Vec::new(),
            };
            plan.on_command(&Command::Bind(bind), 1);
        }
        assert!(common.budgets.value_bytes.used() <= 1000);
        give(&mut plan, &Op::Sync, 1);
        let mut said = Vec::new();
        while let Some(output) = plan.pop_output() {
            said.push(output);
        }
        let wanted = SessionError::LimitExceeded {
            what: "bytes of values",
            most: 1000,
        };
        assert_eq!(said[said.len() - 2], Output::Error(wanted), "round {round}");
        assert!(said.len() > 4 && said.len() < 14, "{said:?}");
        assert_eq!(common.budgets.value_bytes.used(), 0);
    }
}
