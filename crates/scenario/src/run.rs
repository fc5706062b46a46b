//! Plays a scenario by its script.

use std::path::Path;
use std::time::Duration;

use lockcroft_runtime_api::{Address, request};
use lockcroft_testbed::{ClassLoad, LoadGenerator, generate_load};

use crate::controller_process::ControllerProcess;
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
use crate::stage::Stage;

const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);

/// Plays the scenario with this program as the controller, its files in the folder. Reports each step as it happens.
///
/// # Errors
/// The scenario can't be staged, or a fault names who is not there.
pub async fn run(
    scenario: &Scenario,
    program: &Path,
    folder: &Path,
    report_progress: impl Fn(&str),
) -> Result<Report, ScenarioError> {
    // One core is left to the controller's process.
    let cores = std::thread::available_parallelism().map_or(2, std::num::NonZero::get);
    let mut stage = Stage::build(scenario, folder, cores.saturating_sub(1)).await?;
    for fault in &scenario.faults {
        FaultInjector::check(&stage, fault)?;
    }
    let controller = ControllerProcess::start(program, &stage.config_path, &folder.join("pilot.log"));
    let mut controller =
        controller.map_err(|source| ScenarioError::Program { path: program.into(), source })?;
    let meter = ResourceMeter::start(controller.process_id(), stage.recorder.clone());
    let load = LoadGenerator::new(stage.recorder.clone());
    let watcher = OwnedTask::spawn(stage.table_folder.clone().watch(stage.recorder.clone()));
    let _clients = start_load(scenario, &stage, &load);
    for step in steps(&scenario.faults).iter().filter(|step| step.at < scenario.duration) {
        tokio::time::sleep(step.at.saturating_sub(stage.recorder.now())).await;
        report_progress(&describe(step));
        FaultInjector { stage: &mut stage, controller: &mut controller, load: &load }.apply(step).await?;
        if step.fault.kind == FaultKind::RunCommand && step.phase == Phase::Begins {
            report_progress(ask_controller(&stage, &step.fault.command).await.trim());
        }
    }
    tokio::time::sleep(scenario.duration.saturating_sub(stage.recorder.now())).await;
    // The last requests end within their clients' timeout.
    tokio::time::sleep(max_client_timeout(&stage)).await;
    let info = ask_controller(&stage, "show info").await;
    let resource_usage = meter.finish();
    let exit_code = controller.terminate(SHUTDOWN_TIMEOUT);
    drop(watcher);
    let observed = Observed { info, resource_usage, exit_code };
    Ok(report(scenario, &stage, observed))
}

/// What was seen of the controller's process.
struct Observed {
    info: String,
    resource_usage: ResourceUsage,
    exit_code: Option<i32>,
}

fn report(scenario: &Scenario, stage: &Stage, observed: Observed) -> Report {
    let records = stage.recorder.records();
    Report {
        checks: check_rules(&records, &stage.limits),
        score: score(&records, &stage.config.settings, &stage.zones(), &restarts(scenario)),
        controller_info: observed.info.lines().filter(|line| !line.is_empty()).map(String::from).collect(),
        resource_usage: observed.resource_usage,
        exit_code: observed.exit_code,
        records,
    }
}

fn describe(step: &Step<'_>) -> String {
    format!("{:5.1} s: {} {}", step.at.as_secs_f64(), step.fault.kind, step.phase)
}

/// The answer, or why there is none.
async fn ask_controller(stage: &Stage, command: &str) -> String {
    let socket = Address::Unix(stage.controller_socket.clone());
    request(&socket, command, COMMAND_TIMEOUT).await.unwrap_or_else(|error| error.to_string())
}

/// When the controller is restarted.
fn restarts(scenario: &Scenario) -> Vec<Duration> {
    let kills = scenario.faults.iter().filter(|fault| fault.kind == FaultKind::KillController);
    kills.filter_map(|kill| Some(kill.at + kill.duration?)).collect()
}

fn max_client_timeout(stage: &Stage) -> Duration {
    let classes = &stage.config.settings.classes;
    classes.iter().filter_map(|class| class.client_timeout).max().unwrap_or_default()
}

/// The clients of all classes; they end when this is dropped.
fn start_load(scenario: &Scenario, stage: &Stage, generator: &LoadGenerator) -> Vec<OwnedTask> {
    let proxies: Vec<_> = stage.proxies.iter().map(|proxy| proxy.address).collect();
    let mut clients = Vec::new();
    for (index, profile) in scenario.load.iter().enumerate() {
        let class = stage.limits.classes.iter().position(|class| *class == profile.class).unwrap_or(0);
        let class = ClassLoad {
            name: profile.class.clone(),
            client_timeout: stage.config.settings.classes[class].client_timeout.unwrap_or_default(),
            rate: profile.rate,
            max_client_retries: profile.max_client_retries,
        };
        let seed = scenario.seed.wrapping_add(index as u64);
        let load = generate_load(generator.clone(), class, proxies.clone(), seed, scenario.duration);
        clients.push(OwnedTask::spawn(load));
    }
    clients
}
