//! A toy cluster to try the router with: discovery on 127.0.0.1:8500, and one group of three instances on
//! 127.0.0.1:7001 (the primary) to 7003. Replicas lag a quarter of a second behind. It takes simple and extended
//! queries, and prints what each instance is asked.

use reelrill_test_support::{FakeDiscovery, FakeEndpoint, FakeReplicaSet, WAIT_TIMEOUT};
use std::net::SocketAddr;
use std::time::Duration;

fn main() {
    let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let group = FakeReplicaSet::new("s-7001", Duration::from_millis(250), Duration::from_secs(2));
    let join = |port| {
        FakeEndpoint::start_in_replica_set(
            &group,
            &format!("s-{port}"),
            local(port),
            Duration::from_millis(20),
            false,
        )
    };
    let instances = [7001, 7002, 7003].map(join);
    let list = instances.iter().map(|i| i.list_entry(1, "ready")).collect();
    let _discovery = FakeDiscovery::start_at(local(8500), Some(list));
    println!("discovery on 127.0.0.1:8500, instances on 7001 (the primary), 7002 and 7003");
    let watch = |instance: FakeEndpoint| {
        move || loop {
            let asked = instance.activity.wait_for(WAIT_TIMEOUT, |s| {
                (!s.queries.is_empty()).then(|| std::mem::take(&mut s.queries))
            });
            for query in asked.unwrap_or_default() {
                println!("{}: {query}", instance.address.port());
            }
        }
    };
    for thread in instances.map(|i| std::thread::spawn(watch(i))) {
        let _ = thread.join();
    }
}
