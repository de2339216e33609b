//! Tests of a client's extended query session. A pipelined client, whose requests run at once and end in any order,
//! must receive the same responses as a client that waits for each response, and no request may start too early.

use proptest::prelude::*;
use reelrill_pg_protocol::Format;
use reelrill_pg_protocol::frontend::{Bind, Command, ObjectKind};
use reelrill_pg_protocol::oid;
use reelrill_pg_session::SessionError;
use reelrill_pg_session::extended::{
    ExtendedSession, Output, RESERVED_RESPONSE_BYTES, SharedResources, StartedRequest,
};
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

/// Returns shared resources with a read class `board` and a write class `book`.
fn shared_resources(limits: Limits) -> Rc<SharedResources> {
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
        budgets: SharedBudgets::new(&limits, 1 << 20),
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

/// A command of a client; the flag of a Parse is whether its statement writes.
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

/// Generates a typical sequence of commands, or any single one.
fn ops() -> impl Strategy<Value = Vec<Op>> {
    let name = || prop_oneof![2 => Just(""), 1 => Just("a"), 1 => Just("b")];
    prop_oneof![
        4 => (name(), name(), 0..4).prop_map(|(statement, portal, kind)| {
            vec![Op::Parse(statement, kind == 0), Op::Bind(portal, statement), Op::Execute(portal)]
        }),
        6 => (name(), name()).prop_map(|(statement, portal)| vec![Op::Bind(portal, statement), Op::Execute(portal)]),
        1 => (name(), any::<bool>()).prop_map(|(statement, is_write)| vec![Op::Parse(statement, is_write)]),
        1 => (name(), name()).prop_map(|(portal, statement)| vec![Op::Bind(portal, statement)]),
        1 => name().prop_map(|portal| vec![Op::Execute(portal)]),
        1 => name().prop_map(|statement| vec![Op::CloseStatement(statement)]),
        1 => name().prop_map(|portal| vec![Op::ClosePortal(portal)]),
        1 => name().prop_map(|statement| vec![Op::DescribeStatement(statement)]),
        6 => Just(vec![Op::Sync]),
    ]
}

/// Passes a command to a session. `id` is the generated id of a request bound by it.
fn send(session: &mut ExtendedSession<bool>, op: &Op, id: usize) {
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
    session.on_command(&command, id as u64);
}

/// Models a client that waits for the response to each command before it sends the next. `outcomes` holds, by the index
/// of a request's Bind, whether the request is served. Returns the outputs by name, and the ids of the writes served.
fn expected_outputs(ops: &[Op], outcomes: &[bool]) -> (Vec<String>, Vec<u64>) {
    let (mut outputs, mut served_writes) = (Vec::new(), Vec::new());
    // By name: whether the statement writes.
    let mut statements: HashMap<&str, bool> = HashMap::new();
    // By name: whether the portal writes, the index of its Bind, and whether it has run.
    let mut portals: HashMap<&str, (bool, usize, bool)> = HashMap::new();
    let mut is_skipping = false;
    for (index, op) in ops.iter().enumerate() {
        if is_skipping && !matches!(op, Op::Sync) {
            continue;
        }
        let output = match *op {
            Op::Sync => {
                portals.clear();
                is_skipping = false;
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
                    portals.insert(portal, (*is_write, index, false));
                    "BindComplete"
                }
            },
            Op::Execute(portal) => match portals.get_mut(portal) {
                None => "UnknownPortal",
                Some((true, _, true)) => "PortalAlreadyRun",
                Some((false, _, true)) => "CommandComplete",
                Some((is_write, id, has_run)) => {
                    *has_run = true;
                    if *is_write && outcomes[*id] {
                        served_writes.push(*id as u64);
                    }
                    if outcomes[*id] { "served" } else { "failed" }
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
                outputs.push("ParameterDescription".to_owned());
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
        is_skipping |= errors.contains(&output);
        outputs.push(output.to_owned());
    }
    (outputs, served_writes)
}

/// Returns the name of an output: "served", "failed", or the name of the variant or error.
fn output_name(output: &Output<bool>) -> String {
    match output {
        Output::Response { response, .. } => if *response { "served" } else { "failed" }.to_owned(),
        Output::Error(error) => format!("{error:?}")
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

    /// Guards against a pipeline that changes what a client observes: with random commands, outcomes and order of
    /// completion, outputs and served writes must be those of a client that waits for each response.
    #[test]
    fn a_pipeline_responds_as_if_commands_ran_one_by_one(
        ops in proptest::collection::vec(ops(), 1..24),
        outcomes in proptest::collection::vec(proptest::bool::weighted(0.8), 80),
        choices in proptest::collection::vec(any::<proptest::sample::Index>(), 200),
        reads in 1usize..5,
    ) {
        let mut ops = ops.concat();
        ops.push(Op::Sync);
        let (expected, expected_writes) = expected_outputs(&ops, &outcomes);
        let limits = Limits { reads, commands: 12, ..Limits::default() };
        let mut session: ExtendedSession<bool> = ExtendedSession::new(shared_resources(limits));
        let (mut sent, mut outputs) = (0, Vec::new());
        let (mut running, mut served_writes): (Vec<StartedRequest>, Vec<u64>) = (Vec::new(), Vec::new());
        for choice in choices.iter().cycle().take(5000) {
            while sent < ops.len() && !session.is_full() {
                send(&mut session, &ops[sent], sent);
                sent += 1;
                if choice.index(3) == 0 {
                    break;
                }
            }
            while let Some(start) = session.start_next() {
                prop_assert!(
                    !running.iter().any(|other| other.request.is_write),
                    "a request started while a write was running"
                );
                prop_assert!(
                    !start.request.is_write || running.is_empty(),
                    "a write started while others were running"
                );
                prop_assert!(running.len() < reads);
                running.push(start);
            }
            // The outputs so far must be the first of the expected ones, after each step.
            while let Some(output) = session.pop_output() {
                outputs.push(output_name(&output));
            }
            prop_assert!(expected.starts_with(&outputs), "{outputs:?} instead of {expected:?}");
            if running.is_empty() {
                if sent == ops.len() {
                    break;
                }
                continue;
            }
            let finished = running.swap_remove(choice.index(running.len()));
            let id = finished.request.id.unwrap();
            let is_served = outcomes[id as usize];
            if finished.request.is_write && is_served {
                served_writes.push(id);
            }
            let cancelled = session.finish(finished.number, is_served, is_served, 1);
            running.retain(|request| !cancelled.contains(&request.number));
            prop_assert!(
                session.finish(finished.number, !is_served, !is_served, 1).is_empty(),
                "a second response had an effect"
            );
        }
        prop_assert_eq!(&outputs, &expected);
        prop_assert!(session.is_idle());
        prop_assert_eq!(served_writes, expected_writes, "the served writes differ");
    }
}

/// Starts all requests, finishes each as served, and returns the names of the outputs.
fn run_until_idle(session: &mut ExtendedSession<bool>) -> Vec<String> {
    let mut outputs = Vec::new();
    loop {
        while let Some(output) = session.pop_output() {
            outputs.push(output_name(&output));
        }
        let Some(start) = session.start_next() else {
            return outputs;
        };
        session.finish(start.number, true, true, 1);
    }
}

/// Guards against an Execute with a limit of one row that does not suspend the portal, and against a second request to
/// an endpoint for the next Execute, which must report that there are no more rows.
#[test]
fn a_row_limit_of_one_suspends_the_portal() {
    let mut session: ExtendedSession<bool> =
        ExtendedSession::new(shared_resources(Limits::default()));
    for op in [Op::Parse("", false), Op::Bind("", "")] {
        send(&mut session, &op, 1);
    }
    session.on_command(
        &Command::Execute {
            portal: "",
            row_limit: 1,
        },
        1,
    );
    session.on_command(
        &Command::Execute {
            portal: "",
            row_limit: 1,
        },
        1,
    );
    session.on_command(&Command::Describe(ObjectKind::Portal, ""), 1);
    let start = session.start_next().unwrap();
    assert!(session.start_next().is_none());
    assert_eq!(
        [
            session.pop_output(),
            session.pop_output(),
            session.pop_output()
        ],
        [
            Some(Output::ParseComplete),
            Some(Output::BindComplete),
            None
        ]
    );
    session.finish(start.number, true, true, 1);
    assert_eq!(
        session.pop_output(),
        Some(Output::Response {
            response: true,
            is_suspended: true
        })
    );
    assert_eq!(
        session.pop_output(),
        Some(Output::CommandComplete("SELECT 0"))
    );
    assert_eq!(
        session.pop_output(),
        Some(Output::RowDescription(Format::Binary))
    );
}

/// Guards against a utility statement that is sent to an endpoint, and against a DEALLOCATE or DISCARD ALL that keeps
/// the prepared statements, or another utility statement that discards them.
#[rstest]
#[case("DEALLOCATE a", "CommandComplete")]
#[case("DEALLOCATE x", "Error")]
#[case("DISCARD ALL", "CommandComplete")]
#[case("SET x = 1", "CommandComplete")]
#[case("", "EmptyQueryResponse")]
fn utility_statements_run_without_an_endpoint(#[case] text: &str, #[case] expected: &str) {
    let mut session: ExtendedSession<bool> =
        ExtendedSession::new(shared_resources(Limits::default()));
    send(&mut session, &Op::Parse("a", false), 1);
    session.on_command(
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
    session.on_command(&Command::Bind(bind), 1);
    session.on_command(
        &Command::Execute {
            portal: "",
            row_limit: 0,
        },
        1,
    );
    session.on_command(&Command::Sync, 1);
    let outputs = run_until_idle(&mut session);
    assert_eq!(
        &outputs[..3],
        ["ParseComplete", "ParseComplete", "BindComplete"]
    );
    assert!(
        outputs[3] == expected || (expected == "Error" && outputs[3] == "UnknownStatement"),
        "{outputs:?}"
    );
    assert_eq!(
        session.statement_count(),
        match text {
            "DEALLOCATE a" => 1,
            "DISCARD ALL" => 0,
            _ => 2,
        }
    );
}

/// Guards against a command over a limit that succeeds, or fails with an error that does not name the limit; against a
/// session that then no longer executes its prepared statements; and against closed sessions that still count.
#[test]
fn command_over_a_limit_fails_with_an_error_that_names_the_limit() {
    let limits = Limits {
        statements: 3,
        all_statements: 5,
        portals: 2,
        segment: 6,
        ..Limits::default()
    };
    let shared = shared_resources(limits);
    let mut sessions: Vec<ExtendedSession<bool>> = (0..2)
        .map(|_| ExtendedSession::new(shared.clone()))
        .collect();
    let limit = |what, most| Some(Output::Error(SessionError::LimitExceeded { what, most }));
    let names = ["a", "b", "c", "d"];
    let last_output = |session: &mut ExtendedSession<bool>| {
        let mut last = None;
        while let Some(output) = session.pop_output() {
            last = Some(output);
        }
        last
    };
    for (session, expected) in sessions.iter_mut().zip([
        limit("prepared statements of one client", 3),
        limit("prepared statements of all clients", 5),
    ]) {
        for name in names {
            send(session, &Op::Parse(name, false), 1);
        }
        assert_eq!(last_output(session), expected);
        send(session, &Op::Sync, 1);
        last_output(session);
    }
    let session = &mut sessions[0];
    for name in names {
        send(session, &Op::Bind(name, "a"), 1);
    }
    assert_eq!(last_output(session), limit("portals of one client", 2));
    send(session, &Op::Sync, 1);
    for _ in 0..7 {
        send(session, &Op::ClosePortal("x"), 1);
    }
    assert_eq!(last_output(session), limit("commands in a segment", 6));
    send(session, &Op::Sync, 1);
    send(session, &Op::Bind("", "a"), 1);
    send(session, &Op::Execute(""), 1);
    assert_eq!(run_until_idle(session).last().unwrap(), "served");
    drop(sessions);
    assert_eq!(
        (shared.budgets.statements.used(), shared.templates.usage()),
        (0, (0, 0))
    );
}

/// Guards against bound values, kept as values or as literals, that take more memory than their limit, and against a
/// Sync that does not release it.
#[rstest]
fn bytes_of_bound_values_are_limited_and_released_by_sync(
    #[values(false, true)] should_translate: bool,
) {
    let limits = Limits {
        value_bytes: 1000,
        ..Limits::default()
    };
    let mut shared = Rc::try_unwrap(shared_resources(limits)).unwrap();
    shared.should_translate = should_translate;
    let shared = Rc::new(shared);
    let mut session: ExtendedSession<bool> = ExtendedSession::new(shared.clone());
    for round in 0..2 {
        send(&mut session, &Op::Parse("", false), 1);
        let names: Vec<String> = (0..20).map(|number| format!("p{number}")).collect();
        for portal in &names {
            let (parameter_formats, values) = (Vec::new(), vec![Some(&[b'k'; 100][..])]);
            let bind = Bind {
                portal,
                statement: "",
                parameter_formats,
                values,
                result_formats: Vec::new(),
            };
            session.on_command(&Command::Bind(bind), 1);
        }
        assert!(shared.budgets.value_bytes.used() <= 1000);
        send(&mut session, &Op::Sync, 1);
        let mut outputs = Vec::new();
        while let Some(output) = session.pop_output() {
            outputs.push(output);
        }
        let expected = SessionError::LimitExceeded {
            what: "bytes of values",
            most: 1000,
        };
        assert_eq!(
            outputs[outputs.len() - 2],
            Output::Error(expected),
            "round {round}"
        );
        assert!(outputs.len() > 4 && outputs.len() < 14, "{outputs:?}");
        assert_eq!(shared.budgets.value_bytes.used(), 0);
    }
}

/// Sends a statement, a portal and an Execute of it, without a Sync, and starts the request.
fn start_open_segment(session: &mut ExtendedSession<bool>) -> u64 {
    for op in [Op::Parse("", false), Op::Bind("", ""), Op::Execute("")] {
        send(session, &op, 1);
    }
    session.start_next().unwrap().number
}

/// Guards against rejections that are released before the response to an earlier request, or that take memory for each
/// segment: a client may have written any number of segments that are rejected while an earlier request runs. The
/// commands that were processed before keep their responses, in their own segment.
#[test]
fn rejected_segments_wait_for_their_turn_in_the_memory_of_one_item() {
    let resources = shared_resources(Limits::default());
    let mut session: ExtendedSession<bool> = ExtendedSession::new(resources.clone());
    let number = start_open_segment(&mut session);
    assert!(session.reject_command() && !session.reject_command());
    assert!(session.reject_until_sync());
    assert!(session.reject_command() && session.reject_until_sync());
    let used = resources.budgets.pipeline_bytes.used();
    for _ in 0..1000 {
        assert!(session.reject_command() && !session.reject_command());
        assert!(session.reject_until_sync());
    }
    assert_eq!(resources.budgets.pipeline_bytes.used(), used);
    let rejection = ["Rejection", "ReadyForQuery"];
    session.finish(number, true, true, 1);
    let outputs = run_until_idle(&mut session);
    assert_eq!(outputs[..3], ["ParseComplete", "BindComplete", "served"]);
    assert_eq!(outputs[3..], rejection.repeat(1002));
    assert!(session.is_idle() && !session.has_open_segment());
}

/// Guards against a Sync without a response, or with two, if the rejection of its segment has been sent already.
#[test]
fn sync_behind_a_rejection_that_was_sent_gets_its_response() {
    let mut session: ExtendedSession<bool> =
        ExtendedSession::new(shared_resources(Limits::default()));
    for _ in 0..2 {
        assert!(session.reject_command());
        assert_eq!(run_until_idle(&mut session), ["Rejection"]);
        assert!(session.reject_until_sync());
        assert_eq!(run_until_idle(&mut session), ["ReadyForQuery"]);
    }
}

/// Guards against any number of Syncs without a command that take memory while an earlier request runs.
#[test]
fn syncs_without_a_command_are_not_accepted_while_the_session_is_full() {
    let limits = Limits {
        commands: 8,
        ..Limits::default()
    };
    let mut session: ExtendedSession<bool> = ExtendedSession::new(shared_resources(limits));
    start_open_segment(&mut session);
    let accepted = (0..100).filter(|_| session.reject_until_sync()).count();
    assert!((1..=limits.commands).contains(&accepted), "{accepted}");
    // Rejections are still accepted, since they take no further memory.
    assert!(session.reject_command() && session.reject_until_sync());
}

/// Guards against responses of a pipeline that are kept for any number of bytes: of the reads behind one without a
/// response, only those may start whose responses fit in the budget that all clients share.
#[test]
fn reads_start_only_while_memory_for_their_responses_is_left() {
    let limits = Limits::default();
    let resources = shared_resources(limits);
    let budget = resources.budgets.pipeline_bytes.clone();
    let most = budget.limit() / RESERVED_RESPONSE_BYTES + 1;
    assert!(most < limits.reads);
    let mut session: ExtendedSession<bool> = ExtendedSession::new(resources);
    send(&mut session, &Op::Parse("", false), 0);
    for id in 0..limits.reads {
        send(&mut session, &Op::Bind("", ""), id);
        send(&mut session, &Op::Execute(""), id);
    }
    let started = std::iter::from_fn(|| session.start_next()).count();
    assert!((2..=most).contains(&started), "{started}");
    assert!(session.is_waiting_for_memory() && budget.used() <= budget.limit());
    session.clear();
    assert_eq!(budget.used(), 0);
}
