//! Discovery and platform on a thread of their own. Real and lightweight instances have an address each, so that
//! their traffic is counted apart; both serve one endpoint list.

use crate::thread::Worker;
use quillhub_fakes::endpoints::ListedEndpoint;
use quillhub_fakes::platform::{self, ControlTraffic, Discovery};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval};

/// What discovery is asked to do.
enum Command {
    /// Change the phase of an endpoint, and tell the new revision and when that was.
    Change(String, oneshot::Sender<(u64, Instant)>),
    /// Change it again and again, so long from one change to the next.
    Steadily(String, Duration),
    /// The whole list as it is written.
    List(oneshot::Sender<Arc<str>>),
}

/// The servers of discovery and platform.
pub struct Control {
    /// Where real instances find them.
    pub for_real: SocketAddr,
    /// Where lightweight instances find them.
    pub for_lightweight: SocketAddr,
    /// Traffic with real instances.
    pub with_real: ControlTraffic,
    /// Traffic with lightweight instances.
    pub with_lightweight: ControlTraffic,
    finals: Arc<AtomicU64>,
    commands: UnboundedSender<Command>,
    worker: Worker,
}

/// The other of the two phases that a change goes between.
fn toggle(register: &mut Discovery, id: &str, drains: &mut bool) {
    *drains = !*drains;
    register.change(id, if *drains { "draining" } else { "up" });
}

impl Control {
    pub fn start(listed: Vec<ListedEndpoint>) -> Result<Self, String> {
        let (with_real, with_lightweight) = (ControlTraffic::default(), ControlTraffic::default());
        let (real, lightweight) = (with_real.clone(), with_lightweight.clone());
        let (commands, mut asked) = unbounded_channel::<Command>();
        let finals = Arc::new(AtomicU64::new(0));
        let counted = finals.clone();
        let (worker, (for_real, for_lightweight)) = Worker::start(move || async move {
            let register = Discovery::new(&listed);
            drop(listed);
            let (tell, mut told) = unbounded_channel();
            let for_real = platform::start_with_traffic(register.clone(), tell.clone(), real).await?;
            let for_lightweight = platform::start_with_traffic(register.clone(), tell, lightweight).await?;
            spawn_local(async move {
                while told.recv().await.is_some() {
                    counted.fetch_add(1, Ordering::Relaxed);
                }
            });
            spawn_local(async move {
                let mut drains = false;
                while let Some(command) = asked.recv().await {
                    match command {
                        Command::Change(id, done) => {
                            toggle(&mut register.borrow_mut(), &id, &mut drains);
                            let _ = done.send((register.borrow().revision, Instant::now()));
                        }
                        Command::Steadily(id, gap) => {
                            let register = register.clone();
                            spawn_local(async move {
                                let mut ticks = interval(gap);
                                ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
                                let mut drains = false;
                                loop {
                                    ticks.tick().await;
                                    toggle(&mut register.borrow_mut(), &id, &mut drains);
                                }
                            });
                        }
                        Command::List(done) => {
                            let _ = done.send(Arc::from(&*register.borrow_mut().list_text()));
                        }
                    }
                }
            });
            Ok((for_real, for_lightweight))
        })?;
        Ok(Self { for_real, for_lightweight, with_real, with_lightweight, finals, commands, worker })
    }

    /// Changes the phase of the endpoint `id`; the new revision and when that was.
    pub async fn change(&self, id: &str) -> Result<(u64, Instant), String> {
        let (tell, told) = oneshot::channel();
        let _ = self.commands.send(Command::Change(id.into(), tell));
        told.await.map_err(|_| "discovery's thread ended".into())
    }

    /// Changes the phase of the endpoint `id` from now on, `gap` from one change to the next.
    pub fn change_steadily(&self, id: &str, gap: Duration) {
        let _ = self.commands.send(Command::Steadily(id.into(), gap));
    }

    /// The whole list as it is written.
    pub async fn list(&self) -> Result<Arc<str>, String> {
        let (tell, told) = oneshot::channel();
        let _ = self.commands.send(Command::List(tell));
        told.await.map_err(|_| "discovery's thread ended".into())
    }

    /// Final outcomes that the platform was told.
    pub fn finals(&self) -> u64 {
        self.finals.load(Ordering::Relaxed)
    }

    /// Processor time of both servers by now.
    pub fn processor_time(&self) -> Duration {
        self.worker.processor_time()
    }
}
