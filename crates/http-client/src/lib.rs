//! An HTTP/1.1 client whose connections belong to the caller. There is no connection pool, which could hide that
//! nothing listens at an address any more. Callers apply their own timeouts: dropping the future of a call cancels
//! it, and dropping a connection closes it.

#![warn(missing_docs)]

mod connection;
mod health_check;

pub use connection::{CallError, HttpConnection, HttpResponse};
pub use health_check::{check_health, outcome_of_status};
