use super::*;

const ONE: EndpointId = EndpointId(1);
const TWO: EndpointId = EndpointId(2);

#[test]
fn pool_counters_match_the_idle_connections() {
    let (address, other_address) = (
        "127.0.0.1:1".parse().expect("one"),
        "127.0.0.1:2".parse().expect("one"),
    );
    let (start, min_idle_time) = (Instant::now(), Duration::from_millis(5));
    let at = |ms| start + Duration::from_millis(ms);
    let mut pools = Pools::new(3);
    pools.add_endpoint(ONE, address);
    pools.add_endpoint(TWO, other_address);
    for (number, endpoint, address) in [
        (1, ONE, address),
        (2, TWO, other_address),
        (3, ONE, address),
        (4, ONE, address),
        (5, TWO, address),
    ] {
        pools.release(endpoint, address, at(number), number);
    }
    assert_eq!(
        pools.idle_count, 3,
        "limit of 3, and none to another address"
    );
    assert_eq!(
        pools
            .acquire(ONE, address, at(7), min_idle_time, |_| true)
            .map(|found| found.1),
        Some(1),
        "3 has not been idle for long enough"
    );
    assert_eq!(
        pools
            .acquire(ONE, address, at(9), min_idle_time, |_| true)
            .map(|found| found.1),
        Some(3)
    );
    assert!(
        pools
            .acquire(ONE, address, at(99), min_idle_time, |_| true)
            .is_none()
    );
    pools.release(ONE, address, at(10), 6);
    pools.evict_oldest();
    assert!(
        pools
            .acquire(TWO, other_address, at(99), min_idle_time, |_| true)
            .is_none(),
        "2 had been idle longest"
    );
    pools.release(TWO, other_address, at(20), 7);
    pools.evict_expired(at(25), Duration::from_millis(10), |_| false);
    assert_eq!(
        (pools.idle_count, pools.oldest_idle.len()),
        (1, 1),
        "6 has expired"
    );
    pools.add_endpoint(TWO, address);
    assert_eq!(
        (pools.idle_count, pools.oldest_idle.len()),
        (0, 0),
        "its address has changed"
    );
    pools.remove_endpoint(ONE);
    pools.release(ONE, address, at(30), 8);
    assert_eq!(pools.idle_count, 0);
}
