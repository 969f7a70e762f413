//! The bench's wire: decodes lines into calls, and answers each batch with one reply.

use crate::reply::Reply;
use base64::prelude::*;
use quillhub::{
    AttemptOutcome, AttemptResult, Dispatcher, EndpointState, EndpointUpdate, LoadReport, NewMessage,
};
use quillhub_settings::{Excerpt, ReportColumns};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::io::{BufRead, Write};
use std::str::FromStr;
use std::time::Duration;

fn expected(what: impl Display, found: &str) -> String {
    format!("expected {what}, found '{}'", Excerpt::of(found))
}

/// The fields of one line, taken in order.
struct Fields<'a> {
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    fn of(line: &'a str) -> Self {
        Self { rest: Some(line) }
    }

    fn word(&mut self, name: &str) -> Result<&'a str, String> {
        let Some(rest) = self.rest else { return Err(format!("expected {name}, found the line's end")) };
        let (word, rest) = rest.split_once(' ').map_or((rest, None), |(word, rest)| (word, Some(rest)));
        self.rest = rest;
        if word.is_empty() { Err(expected(name, word)) } else { Ok(word) }
    }

    /// The field, or nothing where the line ends or has `-`.
    fn maybe(&mut self, name: &str) -> Result<Option<&'a str>, String> {
        match self.rest {
            None => Ok(None),
            Some(_) => self.word(name).map(|word| (word != "-").then_some(word)),
        }
    }

    fn number<T: FromStr>(&mut self, name: &str) -> Result<T, String> {
        let word = self.word(name)?;
        word.parse().map_err(|_| expected(format_args!("a number as {name}"), word))
    }

    fn maybe_number<T: FromStr>(&mut self, name: &str) -> Result<Option<T>, String> {
        let Some(word) = self.maybe(name)? else { return Ok(None) };
        word.parse().map(Some).map_err(|_| expected(format_args!("a number as {name}"), word))
    }

    fn flag(&mut self, name: &str) -> Result<bool, String> {
        match self.maybe(name)? {
            Some("1") => Ok(true),
            Some("0") | None => Ok(false),
            Some(other) => Err(expected(format_args!("0 or 1 as {name}"), other)),
        }
    }

    fn end(&self) -> Result<(), String> {
        self.rest.map_or(Ok(()), |rest| Err(expected("the line's end", rest)))
    }
}

/// One courier, with its own start of time.
struct Hosted {
    courier: Dispatcher,
    places: ReportColumns,
    start: u64,
}

impl Hosted {
    fn since_start(&self, clock: u64) -> Duration {
        Duration::from_micros(clock.saturating_sub(self.start))
    }

    /// The share left and the limit, where the report tells both.
    fn load_report(&self, text: Option<&str>) -> Result<Option<LoadReport>, String> {
        let Some(text) = text else { return Ok(None) };
        let numbers: Result<Vec<f64>, _> = text.split(',').map(str::parse).collect();
        let Ok(numbers) = numbers else {
            return Err(expected("numbers set apart by commas as report", text));
        };
        let at = |place: Option<usize>| place.and_then(|place| numbers.get(place)).copied();
        let values = at(self.places.remaining_share).zip(at(self.places.rate_limit));
        Ok(values.map(|(remaining_share, rate_limit)| LoadReport { remaining_share, rate_limit }))
    }
}

#[derive(Default)]
struct Host {
    clock: u64,
    couriers: BTreeMap<String, Hosted>,
    /// Lists by number, each a row a line as read; a new list of that number takes the old one's place.
    lists: BTreeMap<u64, Vec<String>>,
    /// Rows still to come for a list.
    wanted: Option<(u64, usize)>,
}

fn listing(word: &str) -> Result<EndpointState, String> {
    match word {
        "IN" => Ok(EndpointState::Available),
        "LAME" => Ok(EndpointState::Draining),
        "OUT" => Ok(EndpointState::Removed),
        _ => Err(expected("IN, LAME or OUT as health", word)),
    }
}

/// Decodes one row of a list straight into `take`.
fn row(
    line: &str,
    mut take: impl FnMut(&str, &str, &str, u64, EndpointState, Option<f64>),
) -> Result<(), String> {
    let mut fields = Fields::of(line);
    let (name, zone, kind) = (fields.word("endpoint")?, fields.word("rackZone")?, fields.word("hw")?);
    let owner = fields.number("ownerNo")?;
    let health = listing(fields.word("health")?)?;
    let rate = fields.maybe_number("heft")?;
    fields.maybe_number::<u64>("startTimeUs")?;
    fields.end()?;
    take(name, zone, kind, owner, health, rate);
    Ok(())
}

fn outcome(word: &str, note: u64) -> Result<AttemptOutcome, String> {
    Ok(match word {
        "ok" => AttemptOutcome::Delivered,
        "error" => AttemptOutcome::Failed,
        "full" => AttemptOutcome::Rejected { retry_after: (note > 0).then(|| Duration::from_millis(note)) },
        "timeout" => AttemptOutcome::TimedOut,
        "connect_failed" => AttemptOutcome::ConnectFailed,
        "reset" => AttemptOutcome::ConnectionReset,
        "cancelled" => AttemptOutcome::Cancelled,
        "moot" => AttemptOutcome::NotSent,
        _ => return Err(expected("an outcome", word)),
    })
}

/// The courier of that name, told the time.
fn courier<'a>(
    couriers: &'a mut BTreeMap<String, Hosted>,
    name: &str,
    clock: u64,
) -> Result<&'a mut Hosted, String> {
    let hosted = couriers.get_mut(name).ok_or_else(|| expected("a courier that was started", name))?;
    let now = hosted.since_start(clock);
    hosted.courier.advance_to(now);
    Ok(hosted)
}

impl Host {
    /// Takes one event and adds what it leads to to the reply.
    fn event(&mut self, line: &str, reply: &mut String) -> Result<(), String> {
        let mut fields = Fields::of(line);
        let event = fields.word("an event")?;
        if let Some((list, left)) = self.wanted {
            if event != "ENTRY" {
                return Err(expected(format_args!("{left} more ENTRY of list {list}"), line));
            }
            let rest = fields.rest.unwrap_or_default();
            row(rest, |_, _, _, _, _, _| {})?;
            self.lists.entry(list).or_default().push(rest.into());
            self.wanted = (left > 1).then_some((list, left - 1));
            return Ok(());
        }
        if event == "LIST" {
            let (list, rows) = (fields.number("list")?, fields.number("rows")?);
            fields.end()?;
            self.lists.insert(list, Vec::new());
            self.wanted = (rows > 0).then_some((list, rows));
            return Ok(());
        }
        if !EVENTS.contains(&event) {
            return Err(expected("an event", line));
        }
        let name = fields.word("courierId")?;
        match event {
            "HELLO" => {
                let seed = fields.number("randomSeed")?;
                let text = fields.rest.take().unwrap_or_default();
                let (courier, places) =
                    quillhub_settings::read_text(seed, text).map_err(|error| error.to_string())?;
                self.couriers.insert(name.into(), Hosted { courier, places, start: self.clock });
            }
            "SHUTDOWN" => {
                fields.end()?;
                self.couriers.remove(name);
                return Ok(());
            }
            "ANNOUNCE" => self.announce(name, &mut fields)?,
            _ => self.other(event, name, &mut fields)?,
        }
        fields.end()?;
        let hosted = courier(&mut self.couriers, name, self.clock)?;
        hosted.courier.apply_rules(&mut Reply { courier: name, lines: reply });
        Ok(())
    }

    fn announce(&mut self, name: &str, fields: &mut Fields) -> Result<(), String> {
        let list: Option<u64> = fields.maybe_number("list")?;
        let form = fields.word("form")?;
        fields.maybe_number::<u64>("rev")?;
        let rows = list.and_then(|list| self.lists.get(&list));
        let courier = &mut courier(&mut self.couriers, name, self.clock)?.courier;
        if form == "failed" {
            courier.endpoint_list_failed();
            return Ok(());
        }
        if !["delta", "full", "cached"].contains(&form) {
            return Err(expected("delta, full, cached or failed as form", form));
        }
        let Some(rows) = rows else {
            return Err(expected(
                "the number of a list that came",
                list.map_or("-".into(), |n| n.to_string()).as_str(),
            ));
        };
        let mut names = BTreeSet::new();
        for line in rows {
            row(line, |name, zone, kind, owner, health, rate| {
                names.insert(name.to_owned());
                courier.endpoint_updated(EndpointUpdate {
                    name,
                    zone,
                    kind,
                    destination: owner,
                    state: health,
                    listed_rate: rate,
                });
            })?;
        }
        courier.endpoint_list_ended((form != "delta").then_some(&names), form != "cached");
        Ok(())
    }

    fn other(&mut self, event: &str, name: &str, fields: &mut Fields) -> Result<(), String> {
        let hosted = courier(&mut self.couriers, name, self.clock)?;
        match event {
            "INBOUND" => {
                let id = fields.number("ref")?;
                fields.maybe_number::<f64>("predictedUs")?;
                let qos = fields.word("qos")?;
                let key = fields.maybe_number("pathKey")?;
                let limit = hosted.since_start(fields.number("notAfterUs")?);
                let team = fields.maybe("team")?;
                fields.flag("isRetry")?;
                let owner = fields.number("addresseeNo")?;
                fields.flag("update")?;
                fields.flag("reconnect")?;
                let message = NewMessage {
                    id,
                    service_class: qos,
                    ordering_key: key,
                    deadline: limit,
                    tenant: team,
                    destination: owner,
                };
                let accepted = hosted.courier.accept(message);
                accepted.map_err(|_| expected("the name of a class as qos", qos))?;
            }
            "RESOLVED" => {
                let (id, send) = (fields.number("ref")?, fields.number("try")?);
                fields.word("endpoint")?;
                let word = fields.word("outcome")?;
                let took = Duration::from_micros(fields.number("durationUs")?);
                let over = fields.flag("complete")?;
                let outcome = outcome(word, fields.maybe_number("note")?.unwrap_or(0))?;
                let load_report = hosted.load_report(fields.maybe("pressure")?)?;
                hosted.courier.attempt_ended(AttemptResult {
                    message: id,
                    attempt: send,
                    outcome,
                    duration: took,
                    finished: over,
                    load_report,
                });
            }
            "TIMER" => {
                fields.word("ctx")?;
                hosted.courier.timer_fired();
            }
            "CLIENT_LEFT" => hosted.courier.finish(fields.number("ref")?),
            // The result of a check, the start of a streamed answer: nothing that a courier goes by.
            "STATUS_BACK" => {
                fields.word("endpoint")?;
                outcome(fields.word("outcome")?, 0)?;
                fields.maybe_number::<u64>("durationUs")?;
                hosted.load_report(fields.maybe("pressure")?)?;
            }
            "MEMO" => {
                fields.number::<u32>("from")?;
                let octets = fields.maybe("octets")?.unwrap_or_default();
                let Ok(note) = BASE64_STANDARD.decode(octets) else {
                    return Err(expected("base64 as octets", octets));
                };
                hosted.courier.gossip_received(&note);
            }
            _ => {
                fields.number::<u64>("ref")?;
                fields.number::<u32>("try")?;
                fields.word("endpoint")?;
                fields.maybe_number::<u64>("durationUs")?;
            }
        }
        Ok(())
    }
}

const EVENTS: [&str; 10] = [
    "HELLO",
    "ANNOUNCE",
    "INBOUND",
    "RESOLVED",
    "TIMER",
    "CLIENT_LEFT",
    "MEMO",
    "ESTABLISHED",
    "SHUTDOWN",
    "STATUS_BACK",
];

/// Answers batch after batch until the input ends between two of them.
pub fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut host = Host::default();
    let mut batch: Option<u64> = None;
    let mut reply = String::new();
    let mut raw = Vec::new();
    for at in 1u64.. {
        let trouble = |what: String| format!("line {at}: {what}");
        raw.clear();
        let read =
            input.read_until(b'\n', &mut raw).map_err(|e| trouble(format!("expected input, found {e}")))?;
        if read == 0 {
            return match batch {
                None => Ok(()),
                Some(_) => Err(trouble("expected YOUR_TURN, found the input's end".into())),
            };
        }
        let Ok(line) = std::str::from_utf8(&raw) else {
            return Err(trouble(expected("UTF-8 text", &String::from_utf8_lossy(&raw))));
        };
        let Some(line) = line.strip_suffix('\n') else {
            return Err(trouble(expected("a whole line", line)));
        };
        match (batch, line) {
            (None, _) => {
                let mut fields = Fields::of(line);
                if fields.word("TICK").map_err(trouble)? != "TICK" {
                    return Err(trouble(expected("TICK", line)));
                }
                host.clock = fields.number("the clock").map_err(trouble)?;
                batch = Some(fields.number("the batch number").map_err(trouble)?);
                fields.end().map_err(trouble)?;
            }
            (Some(number), "YOUR_TURN") if host.wanted.is_none() => {
                let written = writeln!(output, "{reply}EOR {number}").and_then(|()| output.flush());
                written.map_err(|e| trouble(format!("expected to write a reply, found {e}")))?;
                reply.clear();
                batch = None;
            }
            (Some(_), _) => host.event(line, &mut reply).map_err(trouble)?,
        }
    }
    Ok(())
}

#[cfg(test)]
#[path = "wire_tests.rs"]
mod tests;
