//! Runs batches: reads their events, passes each event to its instance, and writes the actions of the affected
//! instances.

use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::time::Duration;

use lockcroft::EndpointRecord;

use crate::batch_input::BatchInput;
use crate::error::{AdapterError, EventError};
use crate::event_reader::EventReader;
use crate::instance::Instance;
use crate::wire::{self, EventKind};

/// Runs batches until the end of the input, and flushes the output after each. Blocks while it waits for input.
///
/// # Errors
/// Returns an error if a line is invalid, the input can't be read or ends inside a batch, or the reply can't be
/// written.
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

/// The controller instances of this process, and the state of the current batch.
#[derive(Default)]
struct Adapter {
    /// Running instances by their number in the protocol.
    instances: BTreeMap<u32, Instance>,
    /// Instances with an event in this batch, in the order of their first event. Only these write actions.
    active: Vec<u32>,
    /// The simulator's clock at this batch.
    clock: Duration,
    /// The reply to this batch, as lines.
    reply: String,
}

/// The header of an endpoint list. Its entries follow, one per line.
struct ListHeader {
    instance: u32,
    /// True if the list has all endpoints, false if only changed ones.
    is_complete: bool,
    version: u64,
    /// The number of entries that follow.
    entries: usize,
}

impl Adapter {
    /// Reads a batch whose first line was already read, and composes the reply.
    fn run_batch(&mut self, input: &mut BatchInput<impl BufRead>) -> Result<(), AdapterError> {
        self.clock = read_clock(&mut input.event()).map_err(|error| input.locate(error))?;
        self.reply.clear();
        self.active.clear();
        loop {
            input.next_line_of_batch()?;
            let mut event = input.event();
            if event.tag() == wire::END_OF_BATCH {
                event.end().map_err(|error| input.locate(error))?;
                break;
            }
            let header = self.handle_event(&mut event).map_err(|error| input.locate(error))?;
            if let Some(header) = header {
                self.handle_list(input, &header)?;
            }
        }
        self.write_actions();
        Ok(())
    }

    /// Handles one event. Returns the list header if the event is an endpoint list, whose entries have to be read next.
    fn handle_event(&mut self, event: &mut EventReader) -> Result<Option<ListHeader>, EventError> {
        let kind = EventKind::from_tag(event.tag()).ok_or(EventError::UnknownTag)?;
        let number: u32 = event.number("pilot")?;
        if kind == EventKind::Started {
            self.instances.insert(number, Instance::start(event, self.clock)?);
            self.mark_active(number);
            return Ok(None);
        }
        let clock = self.clock;
        let instance = self.instances.get_mut(&number).ok_or(EventError::UnknownInstance(number))?;
        let mut list_header = None;
        match kind {
            // Handled above, before the instance is looked up.
            EventKind::Started => {}
            EventKind::Killed => {
                event.end()?;
                self.remove_instance(number);
                return Ok(None);
            }
            EventKind::EndpointList => list_header = Some(read_list_header(number, event)?),
            EventKind::AttemptReport => instance.handle_attempt_report(clock, event)?,
            EventKind::RequestReport => instance.handle_request_report(event)?,
            EventKind::HealthCheckResult => instance.handle_health_check_result(clock, event)?,
            EventKind::ProxyAttached => instance.handle_proxy_attached(clock, event)?,
            EventKind::ProxyDetached => instance.handle_proxy_detached(event)?,
            EventKind::TimerDue => instance.handle_timer(clock, event)?,
            // Checked and ignored: the adapter never sends nonces or messages to peers, and never accepts key ranges.
            EventKind::Acknowledgement => skip_acknowledgement(event)?,
            EventKind::PeerMessage => skip_peer_message(event)?,
            EventKind::KeyRangeAssigned => skip_key_range_assigned(event)?,
            EventKind::KeyRangeEntry => skip_key_range_entry(event)?,
            EventKind::KeyRangeReport => skip_key_range_report(event)?,
        }
        event.end()?;
        self.mark_active(number);
        Ok(list_header)
    }

    /// Reads the entries of an endpoint list, and passes the list to its instance.
    fn handle_list(
        &mut self,
        input: &mut BatchInput<impl BufRead>,
        header: &ListHeader,
    ) -> Result<(), AdapterError> {
        let clock = self.clock;
        let Some(instance) = self.instances.get_mut(&header.instance) else { return Ok(()) };
        let mut records: Vec<EndpointRecord> = Vec::new();
        for remaining in (1..=header.entries).rev() {
            input.next_line_of_batch()?;
            let mut event = input.event();
            if event.tag() != wire::LIST_ENTRY {
                return Err(input.locate(EventError::MissingEntries(remaining)));
            }
            records.push(instance.read_list_entry(clock, &mut event).map_err(|error| input.locate(error))?);
        }
        instance.update_endpoints(clock, header.is_complete, header.version, &records);
        Ok(())
    }

    /// Removes an instance, without the actions that it would have written in this batch.
    fn remove_instance(&mut self, number: u32) {
        self.instances.remove(&number);
        self.active.retain(|active| *active != number);
    }

    /// Adds an instance to those that write actions after this batch.
    fn mark_active(&mut self, number: u32) {
        if !self.active.contains(&number) {
            self.active.push(number);
        }
    }

    /// Writes the actions of all instances with an event in this batch, and ends the reply.
    fn write_actions(&mut self) {
        for number in std::mem::take(&mut self.active) {
            if let Some(instance) = self.instances.get_mut(&number) {
                instance.write_actions(number, self.clock, &mut self.reply);
            }
        }
        wire::write_end_of_reply(&mut self.reply);
    }
}

/// Reads the first line of a batch.
fn read_clock(event: &mut EventReader) -> Result<Duration, EventError> {
    if event.tag() != wire::CLOCK {
        return Err(EventError::MissingClock);
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
