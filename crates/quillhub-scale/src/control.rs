//! Discovery and platform on a separate thread. They have one address for real and one for lightweight instances, so
//! that the traffic of each is counted separately; both addresses serve the same endpoint list.

use crate::thread::MeasuredThread;
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

/// Command to the thread of discovery.
enum Command {
    /// Toggle the phase of an endpoint between `up` and `draining`, and return the new revision and the time of the
    /// change.
    Change(String, oneshot::Sender<(u64, Instant)>),
    /// Toggle the phase of an endpoint periodically from now on.
    ChangePeriodically(String, Duration),
    /// Return the text of the complete list.
    List(oneshot::Sender<Arc<str>>),
}

/// Running servers of discovery and platform, stopped when this is dropped.
pub struct Control {
    /// Address for real instances.
    pub real_address: SocketAddr,
    /// Address for lightweight instances.
    pub lightweight_address: SocketAddr,
    /// Traffic with real instances.
    pub real_traffic: ControlTraffic,
    /// Traffic with lightweight instances.
    pub lightweight_traffic: ControlTraffic,
    final_outcomes: Arc<AtomicU64>,
    commands: UnboundedSender<Command>,
    worker: MeasuredThread,
}

/// Toggles the phase of an endpoint between `up` and `draining`.
fn toggle(discovery: &mut Discovery, id: &str, is_draining: &mut bool) {
    *is_draining = !*is_draining;
    discovery.set_phase(id, if *is_draining { "draining" } else { "up" });
}

impl Control {
    /// Starts the servers with these endpoints in the list.
    pub fn start(endpoints: Vec<ListedEndpoint>) -> Result<Self, String> {
        let (real_traffic, lightweight_traffic) = (ControlTraffic::default(), ControlTraffic::default());
        let (real, lightweight) = (real_traffic.clone(), lightweight_traffic.clone());
        let (commands, mut command_receiver) = unbounded_channel::<Command>();
        let final_outcomes = Arc::new(AtomicU64::new(0));
        let received = final_outcomes.clone();
        let (worker, (real_address, lightweight_address)) = MeasuredThread::start(move || async move {
            let discovery = Discovery::new(&endpoints);
            drop(endpoints);
            let (outcome_sender, mut outcomes) = unbounded_channel();
            let real_address =
                platform::start_with_traffic(discovery.clone(), outcome_sender.clone(), real).await?;
            let lightweight_address =
                platform::start_with_traffic(discovery.clone(), outcome_sender, lightweight).await?;
            spawn_local(async move {
                while outcomes.recv().await.is_some() {
                    received.fetch_add(1, Ordering::Relaxed);
                }
            });
            spawn_local(async move {
                let mut is_draining = false;
                while let Some(command) = command_receiver.recv().await {
                    match command {
                        Command::Change(id, reply) => {
                            toggle(&mut discovery.borrow_mut(), &id, &mut is_draining);
                            let _ = reply.send((discovery.borrow().revision, Instant::now()));
                        }
                        Command::ChangePeriodically(id, period) => {
                            let discovery = discovery.clone();
                            spawn_local(async move {
                                let mut ticks = interval(period);
                                ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
                                let mut is_draining = false;
                                loop {
                                    ticks.tick().await;
                                    toggle(&mut discovery.borrow_mut(), &id, &mut is_draining);
                                }
                            });
                        }
                        Command::List(reply) => {
                            let _ = reply.send(Arc::from(&*discovery.borrow_mut().list_text()));
                        }
                    }
                }
            });
            Ok((real_address, lightweight_address))
        })?;
        Ok(Self {
            real_address,
            lightweight_address,
            real_traffic,
            lightweight_traffic,
            final_outcomes,
            commands,
            worker,
        })
    }

    /// Toggles the phase of the endpoint `id` between `up` and `draining`; returns the new revision and the time of the
    /// change.
    pub async fn toggle_phase(&self, id: &str) -> Result<(u64, Instant), String> {
        let (reply_sender, reply) = oneshot::channel();
        let _ = self.commands.send(Command::Change(id.into(), reply_sender));
        reply.await.map_err(|_| "discovery's thread ended".into())
    }

    /// Toggles the phase of the endpoint `id` between `up` and `draining`, at once and then once per `period`.
    pub fn toggle_phase_periodically(&self, id: &str, period: Duration) {
        let _ = self.commands.send(Command::ChangePeriodically(id.into(), period));
    }

    /// Returns the text of the complete endpoint list.
    pub async fn list(&self) -> Result<Arc<str>, String> {
        let (reply_sender, reply) = oneshot::channel();
        let _ = self.commands.send(Command::List(reply_sender));
        reply.await.map_err(|_| "discovery's thread ended".into())
    }

    /// Returns the number of final outcomes that the platform has received.
    pub fn final_outcomes(&self) -> u64 {
        self.final_outcomes.load(Ordering::Relaxed)
    }

    /// Returns the processor time that the servers have used so far.
    pub fn processor_time(&self) -> Duration {
        self.worker.processor_time()
    }
}
