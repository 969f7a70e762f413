//! Threads with their own event loops, whose processor time is measured.

use quillhub_fakes::process;
use quillhub_fakes::scratch::on_one_thread;
use std::future::Future;
use std::path::PathBuf;
use std::time::Duration;
use tokio::sync::oneshot;

/// Running thread, stopped with all its tasks when this is dropped.
pub struct MeasuredThread {
    /// Directory of the thread in /proc.
    proc_directory: PathBuf,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl MeasuredThread {
    /// Runs `make` on a new thread and returns its result; the local tasks that it spawned keep running there.
    pub fn start<T, F>(make: impl FnOnce() -> F + Send + 'static) -> Result<(Self, T), String>
    where
        T: Send + 'static,
        F: Future<Output = std::io::Result<T>>,
    {
        let (result_sender, result_receiver) = std::sync::mpsc::channel();
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = std::thread::spawn(move || {
            on_one_thread(async move {
                let made = make().await;
                let _ = result_sender
                    .send(process::current_thread_directory().and_then(|directory| Ok((directory, made?))));
                let _ = stopped.await;
            });
        });
        let made =
            result_receiver.recv().map_err(|_| "a thread of the test environment ended early".to_owned())?;
        let (proc_directory, made) =
            made.map_err(|e| format!("a thread of the test environment cannot start: {e}"))?;
        Ok((Self { proc_directory, stop: Some(stop), thread: Some(thread) }, made))
    }

    /// Returns the processor time that the thread has used so far, or zero if the thread has ended.
    pub fn processor_time(&self) -> Duration {
        process::thread_processor_time(&self.proc_directory).unwrap_or_default()
    }
}

impl Drop for MeasuredThread {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
