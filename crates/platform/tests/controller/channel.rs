//! The queue of the platform's channel that forwards messages from the streams to proxies, and the controller's
//! estimate of it from acknowledged nonces.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use lockcroft::HealthCheckOutcome;
use lockcroft_platform::{Config, ConnectionId, ControlPlane, Effect};
use serde_json::{Value, json};

use crate::harness::{Harness, START_UNIX_MS, config, entry, list};

const MAX_QUEUED_ENTRIES: usize = 8000;
/// The channel rate in the settings, in entries per second.
const CONFIGURED_RATE: f64 = 5000.0;
const MESSAGE_OVERHEAD_ENTRIES: usize = 4;
const ACKNOWLEDGEMENT_DELAY: Duration = Duration::from_millis(260);
const STEP: Duration = Duration::from_millis(10);
const ENDPOINTS: usize = 200;
/// The number of endpoints that started long ago; the others have just started.
const OLD_ENDPOINTS: usize = 100;
const REMOVED_ENDPOINTS: usize = 60;
/// The number of endpoints of a controller that restarts.
const RESTART_ENDPOINTS: usize = 24;
/// The number of controllers of a fleet that needs no subsets.
const RESTART_CONTROLLERS: usize = 8;
const REMOVAL_AT: Duration = Duration::from_millis(5500);
const FIRST_ATTACHMENT_AT: Duration = Duration::from_secs(6);
const END_AT: Duration = Duration::from_secs(40);

/// A message that is queued for its proxy.
struct QueuedMessage {
    connection: ConnectionId,
    replaces_table: bool,
    remaining_entries: f64,
    /// The nonce of the message and its connection.
    nonce: Option<(ConnectionId, u64)>,
}

/// An acknowledgement that the controller receives at `due_at`.
struct DueAcknowledgement {
    due_at: Duration,
    connection: ConnectionId,
    nonce: u64,
}

/// A channel that forwards messages sequentially, and proxies that acknowledge nonces.
struct Channel {
    entries_per_second: f64,
    queue: VecDeque<QueuedMessage>,
    acknowledgements: VecDeque<DueAcknowledgement>,
    max_queued_entries: usize,
    /// When the first table of each proxy left the channel.
    table_sent_at: BTreeMap<ConnectionId, Duration>,
}

impl Channel {
    fn new(entries_per_second: f64) -> Self {
        let (queue, acknowledgements) = (VecDeque::new(), VecDeque::new());
        let table_sent_at = BTreeMap::new();
        Channel { entries_per_second, queue, acknowledgements, max_queued_entries: 0, table_sent_at }
    }

    fn accept(&mut self, connection: ConnectionId, text: &str) {
        let parts = text.lines().map(|line| serde_json::from_str::<Value>(line).expect("a message"));
        let count = |part: &Value, name: &str| part[name].as_array().map_or(0, Vec::len);
        let mut entries = MESSAGE_OVERHEAD_ENTRIES;
        let mut nonce = None;
        let mut replaces_table = false;
        for part in parts {
            replaces_table |= part["full"] == true;
            entries += count(&part, "endpoints") + count(&part, "eject") + count(&part, "restore");
            entries += usize::from(part["full"] == true);
            entries += if part["admit"].is_number() { count(&part, "routes").max(1) } else { 0 };
            nonce = part["nonce_out"].as_u64().map(|nonce| (connection, nonce));
            entries += usize::from(nonce.is_some());
        }
        let remaining_entries = entries as f64;
        self.queue.push_back(QueuedMessage { connection, replaces_table, remaining_entries, nonce });
        let queued: f64 = self.queue.iter().map(|message| message.remaining_entries).sum();
        self.max_queued_entries = self.max_queued_entries.max(queued as usize);
    }

    fn run(&mut self, now: Duration, span: Duration) {
        let mut capacity = self.entries_per_second * span.as_secs_f64();
        while let Some(message) = self.queue.front_mut() {
            let sent = message.remaining_entries.min(capacity);
            message.remaining_entries -= sent;
            capacity -= sent;
            if message.remaining_entries > 0.0 {
                break;
            }
            let due_at = now + ACKNOWLEDGEMENT_DELAY;
            let acknowledgement =
                message.nonce.map(|(connection, nonce)| DueAcknowledgement { due_at, connection, nonce });
            self.acknowledgements.extend(acknowledgement);
            if message.replaces_table {
                self.table_sent_at.entry(message.connection).or_insert(now);
            }
            self.queue.pop_front();
        }
    }

    fn next_acknowledgement(&mut self, now: Duration) -> Option<DueAcknowledgement> {
        self.acknowledgements.pop_front_if(|acknowledgement| acknowledgement.due_at <= now)
    }
}

/// A controller that starts during a rolling release: some endpoints are removed and others have just started, while
/// proxies of another controller attach one after the other.
struct Release {
    control_plane: ControlPlane,
    channel: Channel,
    names: Vec<String>,
    now: Duration,
    removals_reported: bool,
    attached: usize,
    /// Returns the request rate that the proxy with this index reports.
    request_rates: fn(usize) -> f64,
    first_attachment_at: Duration,
    attached_at: Vec<Duration>,
    /// When the first table of each proxy was written.
    table_written_at: Vec<Option<Duration>>,
}

/// The result of a release.
struct ReleaseResult {
    max_queued_entries: usize,
    /// The time from the first attachment until the last table was written.
    last_table_after: Duration,
    /// The longest time from an attachment until the proxy's table left the channel.
    longest_wait: Duration,
}

impl Release {
    fn new(entries_per_second: f64, proxies: usize, request_rates: fn(usize) -> f64) -> Self {
        let since = |index: usize| if index < OLD_ENDPOINTS { 0 } else { START_UNIX_MS - 1000 };
        let since_ms: Vec<u64> = (0..ENDPOINTS).map(since).collect();
        Release::of_endpoints(1, &since_ms, entries_per_second, proxies, request_rates)
    }

    /// One of several controllers, to which all proxies come, that starts while all endpoints have been running for a
    /// minute and none is removed.
    fn restart(entries_per_second: f64, proxies: usize) -> Self {
        let since_ms = [START_UNIX_MS - 60_000; RESTART_ENDPOINTS];
        let release =
            Release::of_endpoints(RESTART_CONTROLLERS, &since_ms, entries_per_second, proxies, |_| 5.0);
        Release { removals_reported: true, first_attachment_at: Duration::ZERO, ..release }
    }

    /// One of `controllers` instances whose endpoints started at these times, in Unix milliseconds.
    fn of_endpoints(
        controllers: usize,
        since_ms: &[u64],
        entries_per_second: f64,
        proxies: usize,
        request_rates: fn(usize) -> f64,
    ) -> Self {
        let mut settings = config();
        for (name, value) in [
            ("agents", 500.0),
            ("queue_cap", MAX_QUEUED_ENTRIES as f64),
            ("egress_per_s", CONFIGURED_RATE),
            ("overhead", MESSAGE_OVERHEAD_ENTRIES as f64),
        ] {
            settings["settings"]["specifics"][name] = json!(value);
        }
        settings["settings"]["fleet_size"] = json!(controllers);
        let mut control_plane =
            ControlPlane::new(&Config::parse(&settings.to_string()).expect("valid configuration"));
        let names: Vec<String> = (0..since_ms.len()).map(|index| format!("s-{index}")).collect();
        let entries = names.iter().zip(since_ms).map(|(name, since_ms)| entry(name, "up", *since_ms));
        let complete = list(2, true, &entries.collect::<Vec<Value>>());
        control_plane.update_endpoints(Duration::ZERO, START_UNIX_MS, &complete).expect("valid list");
        Release {
            control_plane,
            channel: Channel::new(entries_per_second),
            names,
            now: Duration::ZERO,
            removals_reported: false,
            attached: 0,
            request_rates,
            first_attachment_at: FIRST_ATTACHMENT_AT,
            attached_at: Vec::new(),
            table_written_at: vec![None; proxies],
        }
    }

    fn run(mut self, attachment_interval: Duration) -> ReleaseResult {
        while self.now < END_AT && self.channel.table_sent_at.len() < self.table_written_at.len() {
            self.now += STEP;
            self.channel.run(self.now, STEP);
            self.acknowledge();
            self.remove_endpoints();
            self.attach_proxies(attachment_interval);
            self.decide();
        }
        let written_at = self.table_written_at.iter().map(|at| at.unwrap_or(self.now));
        let last = written_at.max().unwrap_or(self.now);
        ReleaseResult {
            max_queued_entries: self.channel.max_queued_entries,
            last_table_after: last - self.first_attachment_at,
            longest_wait: self.longest_wait(),
        }
    }

    fn longest_wait(&self) -> Duration {
        let sent_at = |connection| self.channel.table_sent_at.get(&connection).copied().unwrap_or(END_AT);
        let attached = self.attached_at.iter().enumerate();
        let waits = attached.map(|(index, attached_at)| sent_at(index as ConnectionId) - *attached_at);
        waits.max().unwrap_or_default()
    }

    fn acknowledge(&mut self) {
        while let Some(acknowledgement) = self.channel.next_acknowledgement(self.now) {
            let DueAcknowledgement { connection, nonce, .. } = acknowledgement;
            let done = json!({"t": "done", "node": connection, "nonce": nonce, "latency": 300.0});
            self.control_plane.line_received(self.now, connection, done.to_string().as_bytes());
        }
    }

    fn remove_endpoints(&mut self) {
        if self.removals_reported || self.now < REMOVAL_AT {
            return;
        }
        let removed = self.names[..REMOVED_ENDPOINTS].iter().map(|name| entry(name, "removed", 0));
        let changes = list(3, false, &removed.collect::<Vec<Value>>());
        self.control_plane.update_endpoints(self.now, START_UNIX_MS + 5500, &changes).expect("valid changes");
        self.removals_reported = true;
    }

    fn attach_proxies(&mut self, interval: Duration) {
        while self.attached < self.table_written_at.len()
            && self.first_attachment_at + interval * self.attached as u32 <= self.now
        {
            let connection = self.attached as ConnectionId;
            let request_rate = (self.request_rates)(self.attached);
            let line = json!(
                {"t": "attach", "node": self.attached, "locality": "a", "w": request_rate, "cold": false}
            );
            self.attached_at.push(self.now);
            self.control_plane.connection_accepted(self.now, connection);
            self.control_plane.line_received(self.now, connection, line.to_string().as_bytes());
            self.attached += 1;
        }
    }

    fn decide(&mut self) {
        // The platform may take messages that were written at the same time in any order.
        for effect in self.control_plane.decide(self.now).into_iter().rev() {
            match effect {
                Effect::Write { connection, text } => self.write(connection, &text),
                Effect::CheckHealth { endpoint, address } => {
                    let outcome = HealthCheckOutcome::Passed(Some(0.4));
                    let duration = Duration::ZERO;
                    self.control_plane.health_check_finished(self.now, endpoint, address, outcome, duration);
                }
                Effect::Close { .. } | Effect::Abort { .. } | Effect::FinalRead { .. } => {
                    panic!("no connection is to be closed")
                }
            }
        }
    }

    fn write(&mut self, connection: ConnectionId, text: &str) {
        self.channel.accept(connection, text);
        self.control_plane.write_completed(connection);
        if text.contains("\"full\":true") {
            self.table_written_at[connection as usize].get_or_insert(self.now);
        }
    }
}

fn release(entries_per_second: f64, proxies: usize, attachment_interval_us: u64) -> ReleaseResult {
    let release = Release::new(entries_per_second, proxies, |_| 5.0);
    release.run(Duration::from_micros(attachment_interval_us))
}

/// Guards against ignoring the entries that restore ejections of other controllers, which also load the channel, and
/// against underestimating the rate of a channel that is as fast as configured.
#[test]
fn attachments_during_a_release_keep_the_queue_limit_and_get_tables_at_the_channel_rate() {
    let ReleaseResult { max_queued_entries, last_table_after, .. } = release(CONFIGURED_RATE, 250, 1000);
    assert!(max_queued_entries <= MAX_QUEUED_ENTRIES, "{max_queued_entries} queued entries");
    let limit = Duration::from_secs(3);
    assert!(last_table_after <= limit, "the last table was written after {last_table_after:?}");
}

/// Guards against a proxy that sends to removed endpoints after the drain grace period, because proxies that attached
/// later with higher request rates got their tables first.
#[test]
fn proxies_that_attached_first_are_the_first_to_leave_removed_endpoints() {
    let release = Release::new(CONFIGURED_RATE, 480, |index| 1.0 + index as f64);
    let result = release.run(Duration::from_millis(2));
    assert!(result.max_queued_entries <= MAX_QUEUED_ENTRIES);
    // The channel takes 4.5 s for all tables, and the last proxy attaches a second after the first.
    assert!(result.longest_wait <= Duration::from_millis(3800), "{:?}", result.longest_wait);
}

/// Guards against a queue beyond its limit after a restart: most proxies attach before the first table, and a message
/// that restores the endpoints of all entries was reserved as if it had the entries alone.
#[test]
fn tables_of_proxies_that_all_attach_before_the_first_one_keep_the_queue_limit() {
    for slower in [1.0, 8.0] {
        let release = Release::restart(CONFIGURED_RATE / slower, 430);
        let max_queued = release.run(Duration::from_millis(1)).max_queued_entries;
        assert!(max_queued <= MAX_QUEUED_ENTRIES, "{max_queued} queued entries, {slower} times slower");
    }
}

#[test]
fn a_channel_far_slower_than_configured_stays_within_its_queue_limit() {
    for slower in [1.0, 4.0, 8.0] {
        for (proxies, interval_us) in [(150, 1000), (250, 1000), (250, 0), (250, 4000)] {
            let max_queued = release(CONFIGURED_RATE / slower, proxies, interval_us).max_queued_entries;
            assert!(
                max_queued <= MAX_QUEUED_ENTRIES,
                "{max_queued} queued entries, {proxies} proxies, {interval_us} us, {slower} times slower"
            );
        }
    }
}

#[test]
fn only_pending_nonces_of_the_same_stream_can_be_acknowledged() {
    let mut harness = Harness::new();
    harness.attach(1, 3, true).attach(2, 4, true);
    let trace = harness.run_to(6.0);
    assert!(trace.contains("\"nonce_out\":0"), "{trace}");
    let done = |node: usize, nonce: u64| json!({"t": "done", "node": node, "nonce": nonce, "latency": 3.0});
    // Each complete table has its own nonce.
    for (connection, node, nonce) in [(1, 3, 1), (2, 4, 0), (2, 4, 7), (1, 4, 0)] {
        harness.receive(connection, &done(node, nonce).to_string());
    }
    assert_eq!(harness.control_plane.counters().invalid_messages, 4);
    harness.receive(1, &done(3, 0).to_string()).receive(2, &done(4, 1).to_string());
    assert_eq!(harness.control_plane.counters().invalid_messages, 4);
    harness.receive(2, &done(4, 1).to_string());
    assert_eq!(harness.control_plane.counters().invalid_messages, 5, "a nonce can be acknowledged only once");
}
