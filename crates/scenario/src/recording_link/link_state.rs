//! The state that the streams of a link share.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lockcroft_runtime_api::Address;
use lockcroft_testbed::{TrafficEvent, TrafficRecorder};

/// A fault that the link injects once, at the first message from the controller that contains more than
/// `after_commands` state-changing commands. Earlier messages pass unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFault {
    /// The stream stalls in the middle of the message for a time.
    Stall {
        /// The number of state-changing commands that a message must exceed to trigger the fault.
        after_commands: usize,
        /// The duration of the stall.
        duration: Duration,
    },
    /// The message is executed, and the stream is closed before its answer reaches the controller.
    Disconnect {
        /// The number of state-changing commands that a message must exceed to trigger the fault.
        after_commands: usize,
    },
}

/// The state of a link to one proxy.
pub struct LinkState {
    /// The name of the proxy.
    pub proxy: String,
    /// The proxy's control socket, to which the link connects.
    pub proxy_address: Address,
    next_fault: Mutex<Option<StreamFault>>,
    /// The record of the link's traffic.
    pub recorder: TrafficRecorder,
}

impl LinkState {
    /// Returns a link without a pending fault.
    pub fn new(proxy: &str, proxy_address: Address, recorder: TrafficRecorder) -> Self {
        LinkState { proxy: proxy.into(), proxy_address, next_fault: Mutex::default(), recorder }
    }

    /// Sets the next fault and replaces one that was not triggered yet.
    pub fn set_next_fault(&self, fault: StreamFault) {
        *self.next_fault() = Some(fault);
    }

    fn next_fault(&self) -> MutexGuard<'_, Option<StreamFault>> {
        self.next_fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes and returns the next fault if a message with this number of state-changing commands triggers it.
    pub fn take_fault(&self, commands: usize) -> Option<StreamFault> {
        let mut next_fault = self.next_fault();
        next_fault.take_if(|fault| match fault {
            StreamFault::Stall { after_commands, .. } | StreamFault::Disconnect { after_commands } => {
                commands > *after_commands
            }
        })
    }

    /// Records that the control stream was stalled or resumed.
    pub fn record_stalled(&self, stalled: bool) {
        let proxy = self.proxy.clone();
        self.recorder.record(TrafficEvent::ControlStreamStalled { proxy, stalled });
    }
}
