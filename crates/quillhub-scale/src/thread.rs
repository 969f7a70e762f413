//! A thread with an event loop of its own, and its processor time.

use quillhub_fakes::process;
use quillhub_fakes::scratch::on_one_thread;
use std::future::Future;
use std::path::PathBuf;
use std::time::Duration;
use tokio::sync::oneshot;

/// A running thread. It ends, with all its tasks, when this is dropped.
pub struct Worker {
    account: PathBuf,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Worker {
    /// Starts `make` on a new thread and waits for what it makes; tasks that it spawned go on.
    pub fn start<T, F>(make: impl FnOnce() -> F + Send + 'static) -> Result<(Self, T), String>
    where
        T: Send + 'static,
        F: Future<Output = std::io::Result<T>>,
    {
        let (tell, told) = std::sync::mpsc::channel();
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = std::thread::spawn(move || {
            on_one_thread(async move {
                let made = make().await;
                let _ =
                    tell.send(process::current_thread_directory().and_then(|account| Ok((account, made?))));
                let _ = stopped.await;
            });
        });
        let made = told.recv().map_err(|_| "a thread of the rig ended early".to_owned())?;
        let (account, made) = made.map_err(|e| format!("a stand-in cannot start: {e}"))?;
        Ok((Self { account, stop: Some(stop), thread: Some(thread) }, made))
    }

    /// Processor time that the thread has used by now.
    pub fn processor_time(&self) -> Duration {
        process::thread_processor_time(&self.account).unwrap_or_default()
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
