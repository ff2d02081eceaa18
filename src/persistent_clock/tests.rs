//! Tests of the clock's start time after a restart.

use super::continued_time_us;

#[test]
fn the_clock_never_goes_back_between_processes() {
    let saved = "boot-a 5000000 1000000000";
    // by the uptime, three seconds have passed since the time was saved, although the wall clock was set back
    assert_eq!(
        continued_time_us(saved, "boot-a", 8_000_000, 900_000_000),
        1_003_000_000
    );
    assert_eq!(
        continued_time_us(saved, "boot-a", 8_000_000, 2_000_000_000),
        2_000_000_000
    );
    // after a reboot the time since the save is unknown, but the clock does not start before the saved time
    assert_eq!(
        continued_time_us(saved, "boot-b", 8_000_000, 900_000_000),
        1_000_000_000
    );
    for bad in ["", "boot-a", "boot-a x y", "boot-a 1 9223372036854775807"] {
        assert_eq!(continued_time_us(bad, "boot-a", 2, 77), 77, "{bad}");
    }
}
