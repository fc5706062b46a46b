//! Plays a scripted scenario: a real controller in a process of its own, real proxies, fake endpoints on loopback, and
//! fault injections by time. Judges the five rules from what passed on the sockets, never from the controller's own
//! account.
//!
//! [`Scenario`] is what a file says, [`run`] plays it, [`check_rules`] checks the rules, [`score`] weighs the requests.

#![warn(missing_docs)]

mod apply_variant;
mod check_result;
mod controller_process;
mod endpoint_list_file;
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
mod stage;
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
