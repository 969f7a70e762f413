use super::*;

fn age(at_least: u64, at_most: u64) -> CommandAge {
    CommandAge { at_least: ms(at_least), at_most: ms(at_most) }
}

/// Guards against a deadline that counts from the execution of a command: the time that it waited was not charged, and the
/// final outcome of its message came late by that.
#[test]
fn the_whole_age_that_a_command_may_have_is_charged_to_its_message() {
    assert_eq!(age(0, 0).time_left(ms(2_000)), Some(ms(2_000)));
    assert_eq!(age(180, 180).time_left(ms(2_000)), Some(ms(1_820)));
    assert_eq!(age(0, 50).time_left(ms(2_000)), Some(ms(1_950)));
    assert_eq!(age(0, 9_000).time_left(ms(2_000)), Some(ms(1_600)), "a client leaves after 400 ms");
}

/// Guards against the acceptance of a message whose client has left by the time of the reply, and of one without time left.
#[test]
fn a_command_is_rejected_if_its_client_may_have_left_or_its_time_is_over() {
    assert_eq!(age(250, 250).time_left(ms(2_000)), Some(ms(1_750)));
    assert_eq!(age(251, 251).time_left(ms(2_000)), None);
    assert_eq!(age(150, 150).time_left(ms(150)), None);
    assert_eq!(age(150, 150).time_left(ms(100)), None);
    assert_eq!(age(149, 149).time_left(ms(150)), Some(ms(1)));
}
