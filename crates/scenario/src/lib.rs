//! Runs scripted scenarios: a real controller in its own process, real proxies, fake endpoints on loopback, and fault
//! injections at given times. The rules are checked on the traffic recorded at the sockets, never on what the
//! controller reports about itself.
//!
//! [`Scenario`] is read from a file, [`run()`] runs it, [`check_rules`] checks the rules on the recorded traffic, and
//! [`score()`] computes the goodput.

#![warn(missing_docs)]

mod apply_variant;
mod check_result;
mod controller_process;
mod endpoint_list_file;
mod environment;
mod error;
mod fault_injector;
mod fault_steps;
mod faults;
mod observed_state;
mod owned_task;
mod proxy_fleet;
mod proxy_runtimes;
mod recording_link;
mod report;
mod resource_meter;
mod rules;
mod run;
mod scenario;
mod score;
mod table_folder;
mod variants;
mod xml;

pub use check_result::CheckResult;
pub use controller_process::ControllerProcess;
pub use error::{ScenarioError, VariantError};
pub use faults::{FaultInjection, FaultKind};
pub use proxy_fleet::{ProxyFleet, TableSource};
pub use report::{Report, Summary};
pub use resource_meter::{ResourceSample, ResourceUsage};
pub use rules::{Limits, check_rules};
pub use run::run;
pub use scenario::{EndpointGroup, LoadProfile, Scenario};
pub use score::{RestartScore, Score, ZonesByName, score};
pub use variants::{MachineTypeWeight, SearchSpace, SettingOverride, Variant, search_variants};
pub use xml::SCHEMA;
