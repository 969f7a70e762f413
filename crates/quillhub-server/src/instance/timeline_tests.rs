use super::*;

/// Guards against an instance whose log says nothing of the stage at which a message lost its time.
#[tokio::test(start_paused = true)]
async fn a_timeline_names_the_time_of_each_stage_since_the_arrival() {
    let ms = Duration::from_millis;
    let wait = |millis| tokio::time::advance(ms(millis));
    let arrived = Instant::now();
    wait(180).await;
    let command = CommandTimes { arrived, arrived_by: arrived, read: Instant::now() };
    let mut timeline = MessageTimeline::accepted(command, arrived + ms(2_000));
    wait(20).await;
    timeline.call_started();
    wait(1_900).await;
    timeline.call_ended();
    timeline.decided();
    assert!(timeline.is_late() && timeline.is_slow(), "it was decided after the deadline");
    wait(10).await;
    timeline.sent();
    wait(5).await;
    timeline.sent();
    let expected = "arrived=0 read=180ms accepted=180ms last_call=200ms call_ended=2100ms deadline=2000ms \
        decided=2100ms sent=2110ms now=2115ms";
    assert_eq!(timeline.to_string(), expected);
}

/// Guards against lines for messages of which nothing was slow.
#[tokio::test(start_paused = true)]
async fn an_outcome_is_slow_if_its_confirmation_takes_long() {
    let mut timeline = MessageTimeline::recovered(Duration::from_secs(1));
    timeline.decided();
    tokio::time::advance(MAX_UNLOGGED_REPORT_TIME).await;
    assert!(!timeline.is_slow());
    tokio::time::advance(Duration::from_millis(1)).await;
    assert!(timeline.is_slow() && !timeline.is_late());
}
