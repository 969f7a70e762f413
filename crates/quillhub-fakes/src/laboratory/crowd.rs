//! Crowd of idle clients, which come back together after the instance has closed their connections.

use super::plan::CrowdPlan;
use super::state::SharedRun;
use crate::clients::{open, send_command};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::time::{Instant, sleep_until};

/// Serves one client of the crowd until `end`.
pub(super) async fn idle_client(run: SharedRun, plan: CrowdPlan, instance: SocketAddr, end: Instant) {
    let started = run.borrow().record.started;
    while Instant::now() < end {
        let _ = tokio::time::timeout_at(end, connect_and_rest(instance)).await;
        let returns = started.elapsed().div_duration_f64(plan.interval).ceil();
        let next: Duration = plan.interval.mul_f64(returns);
        sleep_until(started + next).await;
    }
}

/// Stays connected until the instance closes the connection.
async fn connect_and_rest(instance: SocketAddr) -> io::Result<()> {
    let mut stream = open(instance).await?;
    send_command(&mut stream, b"*1\r\n$4\r\nPING\r\n").await?;
    let mut bytes = [0; 64];
    while stream.read(&mut bytes).await? > 0 {}
    Ok(())
}
