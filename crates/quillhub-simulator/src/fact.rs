//! What happened in a run, one fact at a time: for the auditor, for figures, and for whoever asks after one notice.

use quillhub::{AttemptOutcome, DestinationId, EndpointState, MessageId};
use std::time::Duration;

/// How a notice ended, as its client hears it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Answered {
    /// Delivered.
    Handled,
    /// Rejected: trying again is harmless, best after the wait, if one is told.
    Denied(Option<Duration>),
    /// Abandoned: it may have taken effect or not.
    WrittenOff,
}

/// One fact; `courier` counts from 0, and `notice` names one handing in, which survives a restart with a folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fact<'a> {
    /// Handed in and taken; `order` is the client's own name for it, the same at each handing in.
    Taken {
        /// The courier that took it.
        courier: usize,
        /// Its number.
        notice: MessageId,
        /// Its client's number.
        order: u64,
        /// Its service class.
        grade: &'a str,
        /// Where it goes.
        destination: DestinationId,
        /// Its ordering key, where its class asks for order.
        key: Option<u64>,
        /// Its deadline, since the start of the run.
        limit: Duration,
    },
    /// A courier decided on a send, which takes a slot from now on.
    Sent {
        /// The courier that decided.
        courier: usize,
        /// The message.
        notice: MessageId,
        /// The attempt's number, from 0.
        send: u32,
        /// The endpoint that it goes to.
        endpoint: &'a str,
        /// After which it ends as timed out.
        patience: Duration,
    },
    /// Its first byte left; on a connection that broke, it may not arrive.
    Went {
        /// The courier that it left.
        courier: usize,
        /// The message.
        notice: MessageId,
        /// The attempt's number.
        send: u32,
    },
    /// It reached its endpoint, whatever the endpoint makes of it.
    Reached {
        /// The courier that it comes from.
        courier: usize,
        /// The message.
        notice: MessageId,
        /// The attempt's number.
        send: u32,
    },
    /// Its effect took place; `repeat` if the destination knew its mark and dropped it, `again` if the same order had
    /// its effect before, and must not, but the destination had forgotten its mark.
    Ran {
        /// The message.
        notice: MessageId,
        /// Its client's number.
        order: u64,
        /// The attempt's number.
        send: u32,
        /// Whether the destination knew its mark and dropped it.
        repeat: bool,
        /// Whether the order had its effect before, and must not have it again.
        again: bool,
    },
    /// The courier was told how its send ended.
    Ended {
        /// The courier that was told.
        courier: usize,
        /// The message.
        notice: MessageId,
        /// The attempt's number.
        send: u32,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// A message had its final outcome.
    Answered {
        /// The courier that held it.
        courier: usize,
        /// The message.
        notice: MessageId,
        /// Its final outcome.
        answer: Answered,
    },
    /// A courier was told what the register says of an endpoint.
    Learned {
        /// The courier that was told.
        courier: usize,
        /// The endpoint's name.
        endpoint: &'a str,
        /// What the list says of it.
        listing: EndpointState,
    },
    /// A courier died; without `folder` all that it held is forgotten.
    Died {
        /// The courier that died.
        courier: usize,
        /// Whether its state directory outlasts it.
        folder: bool,
    },
    /// A courier stands still.
    Still {
        /// The courier that stands still.
        courier: usize,
        /// Until when.
        until: Duration,
    },
    /// A courier began, or began again, with what is in its folder or with nothing.
    Began {
        /// The courier that began.
        courier: usize,
        /// Whether its state directory held anything.
        folder: bool,
    },
    /// An endpoint appeared at a route: a destination, or one endpoint of it where routes are apart.
    Placed {
        /// The endpoint's name.
        endpoint: &'a str,
        /// The zone that it stands in.
        zone: &'a str,
        /// The route that it belongs to.
        route: usize,
    },
    /// All that a route may be reached by is out.
    Out {
        /// The route that is out.
        route: usize,
    },
    /// It is back, cold; warm it works off so many calls in a thousand seconds.
    Back {
        /// The route that is back.
        route: usize,
        /// Its warm capacity, in calls in a thousand seconds.
        milli_per_s: u64,
    },
    /// It was pushed over, and stays down.
    Fell {
        /// The route that fell.
        route: usize,
    },
    /// A fault began, or ended.
    Fault {
        /// The fault's place in the day's list.
        number: usize,
        /// Whether it began, and did not end.
        begins: bool,
    },
}

impl Fact<'_> {
    /// The notice that it is about, if it is about one.
    pub fn notice(&self) -> Option<MessageId> {
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
