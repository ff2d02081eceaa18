use super::*;

#[test]
fn only_the_last_ids_are_remembered() {
    let id = |n: usize| SharedStr::new(format!("m{n}").as_bytes()).expect("an id");
    let mut delivered = RecentIds::default();
    for n in 0..2 * MAX_REMEMBERED {
        delivered.push(id(n));
        delivered.push(id(n));
    }
    assert!(
        delivered.contains(&id(MAX_REMEMBERED)) && !delivered.contains(&id(MAX_REMEMBERED - 1))
    );
    assert_eq!(
        (delivered.order.len(), delivered.ids.len()),
        (MAX_REMEMBERED, MAX_REMEMBERED)
    );
}
