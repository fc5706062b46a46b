//! Runs a scenario and reports the results.

use std::path::Path;
use std::time::Duration;

use lockcroft_runtime_api::{Address, request};
use lockcroft_testbed::{ClassLoad, LoadGenerator, generate_load};

use crate::controller_process::ControllerProcess;
use crate::environment::Environment;
use crate::error::ScenarioError;
use crate::fault_injector::FaultInjector;
use crate::fault_steps::{Phase, Step, steps};
use crate::faults::FaultKind;
use crate::owned_task::OwnedTask;
use crate::report::Report;
use crate::resource_meter::{ResourceMeter, ResourceUsage};
use crate::rules::check_rules;
use crate::scenario::Scenario;
use crate::score::score;

const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the scenario with `program` as the controller and with all files in `folder`. Calls `report_progress` with a
/// line for each fault step and with the answers to commands. Takes as long as the scenario; dropping the future ends
/// the run and its processes.
///
/// # Errors
/// The scenario can't be prepared, a fault names an unknown endpoint or proxy, or a process can't be restarted.
pub async fn run(
    scenario: &Scenario,
    program: &Path,
    folder: &Path,
    report_progress: impl Fn(&str),
) -> Result<Report, ScenarioError> {
    // One core is reserved for the controller's process.
    let cores = std::thread::available_parallelism().map_or(2, std::num::NonZero::get);
    let mut environment = Environment::build(scenario, folder, cores.saturating_sub(1)).await?;
    for fault in &scenario.faults {
        FaultInjector::check(&environment, fault)?;
    }
    let controller = ControllerProcess::start(program, &environment.config_path, &folder.join("pilot.log"));
    let mut controller =
        controller.map_err(|source| ScenarioError::Program { path: program.into(), source })?;
    let meter = ResourceMeter::start(controller.process_id(), environment.recorder.clone());
    let load = LoadGenerator::new(environment.recorder.clone());
    let snapshot_recorder =
        OwnedTask::spawn(environment.table_folder.clone().record_applied(environment.recorder.clone()));
    let _load_tasks = start_load(scenario, &environment, &load);
    for step in steps(&scenario.faults).iter().filter(|step| step.at < scenario.duration) {
        tokio::time::sleep(step.at.saturating_sub(environment.recorder.now())).await;
        report_progress(&describe(step));
        FaultInjector { environment: &mut environment, controller: &mut controller, load: &load }
            .apply(step)
            .await?;
        if step.fault.kind == FaultKind::RunCommand && step.phase == Phase::Begins {
            report_progress(query_controller(&environment, &step.fault.command).await.trim());
        }
    }
    tokio::time::sleep(scenario.duration.saturating_sub(environment.recorder.now())).await;
    // The last requests complete within the longest client timeout.
    tokio::time::sleep(max_client_timeout(&environment)).await;
    let info = query_controller(&environment, "show info").await;
    let resource_usage = meter.finish();
    let exit_code = controller.terminate(SHUTDOWN_TIMEOUT);
    drop(snapshot_recorder);
    let controller_data = ControllerData { info, resource_usage, exit_code };
    Ok(report(scenario, &environment, controller_data))
}

/// The data collected about the controller's process.
struct ControllerData {
    info: String,
    resource_usage: ResourceUsage,
    exit_code: Option<i32>,
}

fn report(scenario: &Scenario, environment: &Environment, controller_data: ControllerData) -> Report {
    let records = environment.recorder.records();
    Report {
        checks: check_rules(&records, &environment.limits),
        score: score(&records, &environment.config.settings, &environment.zones(), &restarts(scenario)),
        controller_info: controller_data
            .info
            .lines()
            .filter(|line| !line.is_empty())
            .map(String::from)
            .collect(),
        resource_usage: controller_data.resource_usage,
        exit_code: controller_data.exit_code,
        records,
    }
}

/// Returns the line that is reported for a step.
fn describe(step: &Step<'_>) -> String {
    format!("{:5.1} s: {} {}", step.at.as_secs_f64(), step.fault.kind, step.phase)
}

/// Returns the answer of the controller's runtime API, or the error as text.
async fn query_controller(environment: &Environment, command: &str) -> String {
    let socket = Address::Unix(environment.controller_socket.clone());
    request(&socket, command, COMMAND_TIMEOUT).await.unwrap_or_else(|error| error.to_string())
}

/// Returns the times at which the controller is restarted.
fn restarts(scenario: &Scenario) -> Vec<Duration> {
    let kills = scenario.faults.iter().filter(|fault| fault.kind == FaultKind::KillController);
    kills.filter_map(|kill| Some(kill.at + kill.duration?)).collect()
}

fn max_client_timeout(environment: &Environment) -> Duration {
    let classes = &environment.config.settings.classes;
    classes.iter().filter_map(|class| class.client_timeout).max().unwrap_or_default()
}

/// Starts the load of all classes. Dropping the returned tasks ends it.
fn start_load(scenario: &Scenario, environment: &Environment, generator: &LoadGenerator) -> Vec<OwnedTask> {
    let proxies: Vec<_> = environment.proxies.iter().map(|proxy| proxy.address).collect();
    let mut tasks = Vec::new();
    for (index, profile) in scenario.load.iter().enumerate() {
        let class = environment.limits.classes.iter().position(|class| *class == profile.class).unwrap_or(0);
        let class = ClassLoad {
            name: profile.class.clone(),
            client_timeout: environment.config.settings.classes[class].client_timeout.unwrap_or_default(),
            rate: profile.rate,
            max_client_retries: profile.max_client_retries,
        };
        let seed = scenario.seed.wrapping_add(index as u64);
        let load = generate_load(generator.clone(), class, proxies.clone(), seed, scenario.duration);
        tasks.push(OwnedTask::spawn(load));
    }
    tasks
}
