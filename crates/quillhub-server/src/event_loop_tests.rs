use super::*;
use crate::test_support::on_one_thread;
use tokio::task::spawn_local;

/// Guards against an event loop that stands still unnoticed: the thread is blocked by another task.
#[test]
fn a_task_that_blocks_the_thread_shows_as_a_delay() {
    on_one_thread(async {
        let check = spawn_local(next_delay());
        tokio::task::yield_now().await;
        std::thread::sleep(CHECK_INTERVAL + MAX_DELAY * 2);
        assert!(check.await.unwrap() > MAX_DELAY);
    });
}
