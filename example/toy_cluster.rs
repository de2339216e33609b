//! A fake cluster for trying out the router: a discovery service on 127.0.0.1:8500 and a replica set of three endpoints
//! on 127.0.0.1:7001 (the primary) to 7003. Replicas lag by 250 ms. The endpoints serve simple and extended queries, and
//! each statement is printed with the port of the endpoint that executed it.

use reelrill_test_support::{FakeDiscovery, FakeEndpoint, FakeReplicaSet, WAIT_TIMEOUT};
use std::net::SocketAddr;
use std::time::Duration;

fn main() {
    let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let replica_set =
        FakeReplicaSet::new("s-7001", Duration::from_millis(250), Duration::from_secs(2));
    let start_endpoint = |port| {
        FakeEndpoint::start_in_replica_set(
            &replica_set,
            &format!("s-{port}"),
            local(port),
            Duration::from_millis(20),
            false,
        )
    };
    let endpoints = [7001, 7002, 7003].map(start_endpoint);
    let list = endpoints
        .iter()
        .map(|endpoint| endpoint.list_entry(1, "ready"))
        .collect();
    let _discovery = FakeDiscovery::start_at(local(8500), Some(list));
    println!(
        "discovery service on 127.0.0.1:8500, endpoints on 127.0.0.1:7001 (the primary), 7002 and 7003"
    );
    let print_queries = |endpoint: FakeEndpoint| {
        move || loop {
            let queries = endpoint.activity.wait_for(WAIT_TIMEOUT, |activity| {
                (!activity.queries.is_empty()).then(|| std::mem::take(&mut activity.queries))
            });
            for query in queries.unwrap_or_default() {
                println!("{}: {query}", endpoint.address.port());
            }
        }
    };
    for thread in endpoints.map(|endpoint| std::thread::spawn(print_queries(endpoint))) {
        let _ = thread.join();
    }
}
