//! What the streams of a link share.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lockcroft_runtime_api::Address;
use lockcroft_testbed::{TrafficEvent, TrafficRecorder};

/// What happens to the next message with more than so many commands that change something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StallPoint {
    /// It stops in the middle for a while, then goes on.
    Stall {
        /// A message with more commands than this is stalled.
        after_commands: usize,
        /// For how long.
        duration: Duration,
    },
    /// It is carried out, and the stream breaks before its answer.
    Disconnect {
        /// A message with more commands than this is cut off.
        after_commands: usize,
    },
}

/// A link to one proxy.
pub struct LinkState {
    /// The proxy's name.
    pub proxy: String,
    /// Where the link dials the proxy.
    pub proxy_address: Address,
    next_stall: Mutex<Option<StallPoint>>,
    pub recorder: TrafficRecorder,
}

impl LinkState {
    pub fn new(proxy: &str, proxy_address: Address, recorder: TrafficRecorder) -> Self {
        LinkState { proxy: proxy.into(), proxy_address, next_stall: Mutex::default(), recorder }
    }

    pub fn stall_next(&self, stall: StallPoint) {
        *self.next_stall() = Some(stall);
    }

    fn next_stall(&self) -> MutexGuard<'_, Option<StallPoint>> {
        self.next_stall.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The stall that is due for a message with so many commands.
    pub fn take_stall(&self, commands: usize) -> Option<StallPoint> {
        let mut next_stall = self.next_stall();
        next_stall.take_if(|stall| match stall {
            StallPoint::Stall { after_commands, .. } | StallPoint::Disconnect { after_commands } => {
                commands > *after_commands
            }
        })
    }

    pub fn record_stalled(&self, stalled: bool) {
        let proxy = self.proxy.clone();
        self.recorder.record(TrafficEvent::ControlStreamStalled { proxy, stalled });
    }
}
