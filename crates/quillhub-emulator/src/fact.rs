//! What happened in a run, one fact at a time: for the auditor, for figures, and for whoever asks after one notice.

use quillhub::{DestinationId, Listing, NoticeId, Outcome};
use std::time::Duration;

/// How a notice ended, as its client hears it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Answered {
    Handled,
    Denied(Option<Duration>),
    WrittenOff,
}

/// One fact; `courier` counts from 0, and `notice` names one handing in, which survives a restart with a folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fact<'a> {
    /// Handed in and taken; `order` is the client's own name for it, the same at each handing in.
    Taken {
        courier: usize,
        notice: NoticeId,
        order: u64,
        grade: &'a str,
        destination: DestinationId,
        key: Option<u64>,
        limit: Duration,
    },
    /// A courier decided on a send, which takes a slot from now on.
    Sent {
        courier: usize,
        notice: NoticeId,
        send: u32,
        endpoint: &'a str,
        patience: Duration,
    },
    /// Its first byte left; on a connection that broke, it may not arrive.
    Went {
        courier: usize,
        notice: NoticeId,
        send: u32,
    },
    /// It reached its endpoint, whatever the endpoint makes of it.
    Reached {
        courier: usize,
        notice: NoticeId,
        send: u32,
    },
    /// Its effect took place; `repeat` if the destination knew its mark and dropped it, `again` if the same order had
    /// its effect before, and must not, but the destination had forgotten its mark.
    Ran {
        notice: NoticeId,
        order: u64,
        send: u32,
        repeat: bool,
        again: bool,
    },
    /// The courier was told how its send ended.
    Ended {
        courier: usize,
        notice: NoticeId,
        send: u32,
        outcome: Outcome,
    },
    Answered {
        courier: usize,
        notice: NoticeId,
        answer: Answered,
    },
    /// A courier was told what the register says of an endpoint.
    Learned {
        courier: usize,
        endpoint: &'a str,
        listing: Listing,
    },
    /// A courier died; without `folder` all that it held is forgotten.
    Died {
        courier: usize,
        folder: bool,
    },
    /// A courier stands still.
    Still {
        courier: usize,
        until: Duration,
    },
    /// A courier began, or began again, with what is in its folder or with nothing.
    Began {
        courier: usize,
        folder: bool,
    },
    /// An endpoint appeared at a route: a destination, or one endpoint of it where routes are apart.
    Placed {
        endpoint: &'a str,
        zone: &'a str,
        route: usize,
    },
    /// All that a route may be reached by is out.
    Out {
        route: usize,
    },
    /// It is back, cold; warm it works off so many calls in a thousand seconds.
    Back {
        route: usize,
        milli_per_s: u64,
    },
    /// It was pushed over, and stays down.
    Fell {
        route: usize,
    },
    /// A trouble began, or ended.
    Trouble {
        number: usize,
        begins: bool,
    },
}

impl Fact<'_> {
    /// The notice that it is about, if it is about one.
    pub fn notice(&self) -> Option<NoticeId> {
        match self {
            Self::Taken { notice, .. }
            | Self::Sent { notice, .. }
            | Self::Went { notice, .. }
            | Self::Reached { notice, .. }
            | Self::Ran { notice, .. }
            | Self::Ended { notice, .. }
            | Self::Answered { notice, .. } => Some(*notice),
            _ => None,
        }
    }
}

/// One line for people: the instant in seconds, and the fact.
pub fn line(at: Duration, fact: &Fact) -> String {
    let at = at.as_secs_f64();
    match fact {
        Fact::Taken { courier, notice, order, grade, destination, key, limit } => format!(
            "{at:11.6}  courier {courier} takes notice {notice} (order {order}): {grade} for destination \
             {destination}{}, until {:.3}",
            key.map_or(String::new(), |key| format!(", key {key}")),
            limit.as_secs_f64()
        ),
        Fact::Sent { courier, notice, send, endpoint, patience } => format!(
            "{at:11.6}  courier {courier} sends notice {notice}, send {send}, to {endpoint}, for {:.3} s",
            patience.as_secs_f64()
        ),
        Fact::Went { notice, send, .. } => {
            format!("{at:11.6}  first byte of notice {notice}, send {send}")
        }
        Fact::Reached { notice, send, .. } => {
            format!("{at:11.6}  notice {notice}, send {send}, is at its endpoint")
        }
        Fact::Ran { notice, send, repeat, again, .. } => {
            let how = match (repeat, again) {
                (true, _) => "is known by its mark and dropped",
                (_, true) => "takes effect, a second time",
                _ => "takes effect",
            };
            format!("{at:11.6}  notice {notice}, send {send}, {how}")
        }
        Fact::Ended { courier, notice, send, outcome } => {
            format!("{at:11.6}  courier {courier} hears of notice {notice}, send {send}: {outcome:?}")
        }
        Fact::Answered { courier, notice, answer } => {
            format!("{at:11.6}  courier {courier} answers notice {notice}: {answer:?}")
        }
        other => format!("{at:11.6}  {other:?}"),
    }
}
