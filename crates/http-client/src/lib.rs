//! HTTP calls over a connection that belongs to the caller: a listener that is gone shows, and no pool hides what
//! a connection went through. Timeouts are the caller's: dropping a call or a connection ends it.

#![warn(missing_docs)]

mod connection;
mod health_check;

pub use connection::{CallError, HttpConnection, HttpResponse};
pub use health_check::{check_health, outcome_of_status};
