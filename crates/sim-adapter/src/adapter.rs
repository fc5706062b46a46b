//! Runs batches: reads their events, hands each to its instance, and writes the actions of the instances concerned.

use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::time::Duration;

use lockcroft::EndpointRecord;

use crate::batch_input::BatchInput;
use crate::error::{AdapterError, EventError};
use crate::event_reader::EventReader;
use crate::instance::Instance;
use crate::wire::{self, EventKind};

/// Serves until the input ends.
///
/// # Errors
/// A line can't be used, the input ends inside a batch, or the reply can't be written.
pub fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut adapter = Adapter::default();
    let mut input = BatchInput::new(input);
    while input.next_line()? {
        adapter.run_batch(&mut input)?;
        output.write_all(adapter.reply.as_bytes()).map_err(AdapterError::Write)?;
        output.flush().map_err(AdapterError::Write)?;
    }
    Ok(())
}

/// The instances of one process, and the batch that is being handled.
#[derive(Default)]
struct Adapter {
    instances: BTreeMap<u32, Instance>,
    /// Instances with an event in this batch, in the order of their first one; only these may act.
    pending: Vec<u32>,
    /// The time of this batch.
    clock: Duration,
    /// The reply to this batch.
    reply: String,
}

/// A list that an event has announced; its entries follow, one a line.
struct ListHeader {
    instance: u32,
    is_complete: bool,
    version: u64,
    entries: usize,
}

impl Adapter {
    /// Reads a batch whose first line was read, and makes the reply to it.
    fn run_batch(&mut self, input: &mut BatchInput<impl BufRead>) -> Result<(), AdapterError> {
        self.clock = read_clock(&mut input.event()).map_err(|error| input.locate(error))?;
        self.reply.clear();
        self.pending.clear();
        loop {
            input.next_line_of_batch()?;
            let mut event = input.event();
            if event.tag() == wire::END_OF_BATCH {
                event.end().map_err(|error| input.locate(error))?;
                break;
            }
            let announced = self.handle_event(&mut event).map_err(|error| input.locate(error))?;
            if let Some(list) = announced {
                self.handle_list(input, &list)?;
            }
        }
        self.write_actions();
        Ok(())
    }

    /// Handles one event. Returns the header of a list whose entries are still to be read.
    fn handle_event(&mut self, event: &mut EventReader) -> Result<Option<ListHeader>, EventError> {
        let kind = EventKind::from_tag(event.tag()).ok_or(EventError::UnknownKind)?;
        let number: u32 = event.number("pilot")?;
        if kind == EventKind::Started {
            self.instances.insert(number, Instance::start(event, self.clock)?);
            self.mark_pending(number);
            return Ok(None);
        }
        let clock = self.clock;
        let instance = self.instances.get_mut(&number).ok_or(EventError::UnknownInstance(number))?;
        let mut announced = None;
        match kind {
            // Handled above: there is no instance yet.
            EventKind::Started => {}
            EventKind::Killed => {
                event.end()?;
                self.kill(number);
                return Ok(None);
            }
            EventKind::EndpointList => announced = Some(read_list_header(number, event)?),
            EventKind::AttemptReport => instance.attempt_report(clock, event)?,
            EventKind::RequestReport => instance.request_report(event)?,
            EventKind::HealthCheckResult => instance.health_check_result(clock, event)?,
            EventKind::ProxyAttached => instance.proxy_attached(clock, event)?,
            EventKind::ProxyDetached => instance.proxy_detached(event)?,
            EventKind::TimerDue => instance.timer_due(clock, event)?,
            // Nonces are never sent, peers never written to, and key ranges never taken.
            EventKind::Acknowledgement => skip_acknowledgement(event)?,
            EventKind::PeerMessage => skip_peer_message(event)?,
            EventKind::KeyRangeAssigned => skip_key_range_assigned(event)?,
            EventKind::KeyRangeEntry => skip_key_range_entry(event)?,
            EventKind::KeyRangeReport => skip_key_range_report(event)?,
        }
        event.end()?;
        self.mark_pending(number);
        Ok(announced)
    }

    /// Reads the entries of a list, and hands it to its instance.
    fn handle_list(
        &mut self,
        input: &mut BatchInput<impl BufRead>,
        list: &ListHeader,
    ) -> Result<(), AdapterError> {
        let clock = self.clock;
        let Some(instance) = self.instances.get_mut(&list.instance) else { return Ok(()) };
        let mut records: Vec<EndpointRecord> = Vec::new();
        for remaining in (1..=list.entries).rev() {
            input.next_line_of_batch()?;
            let mut event = input.event();
            if event.tag() != wire::LIST_ENTRY {
                return Err(input.locate(EventError::EntriesMissing(remaining)));
            }
            records.push(instance.list_entry(clock, &mut event).map_err(|error| input.locate(error))?);
        }
        instance.update_endpoints(clock, list.is_complete, list.version, &records);
        Ok(())
    }

    /// The instance is gone, with whatever it would have done.
    fn kill(&mut self, number: u32) {
        self.instances.remove(&number);
        self.pending.retain(|pending| *pending != number);
    }

    fn mark_pending(&mut self, number: u32) {
        if !self.pending.contains(&number) {
            self.pending.push(number);
        }
    }

    /// Makes the reply: the actions of all instances with an event.
    fn write_actions(&mut self) {
        for number in std::mem::take(&mut self.pending) {
            if let Some(instance) = self.instances.get_mut(&number) {
                instance.write_actions(number, self.clock, &mut self.reply);
            }
        }
        wire::write_end_of_reply(&mut self.reply);
    }
}

fn read_clock(event: &mut EventReader) -> Result<Duration, EventError> {
    if event.tag() != wire::CLOCK {
        return Err(EventError::NoClock);
    }
    let clock = event.time("clock")?;
    event.end()?;
    Ok(clock)
}

fn read_list_header(instance: u32, event: &mut EventReader) -> Result<ListHeader, EventError> {
    let form = event.word("form")?;
    let version = event.number("version")?;
    let entries = event.number("number of entries")?;
    event.end()?;
    let is_complete = wire::is_complete_list(form)?;
    Ok(ListHeader { instance, is_complete, version, entries })
}

fn skip_acknowledgement(event: &mut EventReader) -> Result<(), EventError> {
    event.number::<u32>("proxy")?;
    event.number::<u32>("mark")?;
    event.time("time")?;
    Ok(())
}

fn skip_peer_message(event: &mut EventReader) -> Result<(), EventError> {
    event.number::<u32>("sender")?;
    event.word("body")?;
    Ok(())
}

fn skip_key_range_assigned(event: &mut EventReader) -> Result<(), EventError> {
    event.flag("given")?;
    event.number::<u32>("slice")?;
    Ok(())
}

fn skip_key_range_entry(event: &mut EventReader) -> Result<(), EventError> {
    event.amount("weight")?;
    event.number::<u32>("slice")?;
    event.word("server")?;
    Ok(())
}

fn skip_key_range_report(event: &mut EventReader) -> Result<(), EventError> {
    event.number::<u32>("slice")?;
    event.word("class")?;
    event.number::<u64>("visits")?;
    event.number::<u64>("unanswered")?;
    event.time("period")?;
    Ok(())
}
