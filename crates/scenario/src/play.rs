//! Plays a day by its script.

use std::fmt;
use std::path::Path;
use std::time::{Duration, SystemTime};

use lockcroft_runtime_api::{Address, request};
use lockcroft_testbed::{ClassLoad, FaultMode, LoadGenerator, TrafficRecord, call_on};
use serde::{Deserialize, Serialize};

use crate::day::{FaultInjection, FaultKind, Scenario};
use crate::meter::{ResourceMeter, ResourceUsage};
use crate::pilot::ControllerProcess;
use crate::rules::{CheckResult, judge};
use crate::score::{After, Score, score};
use crate::stage::{ProxyInstance, Stage};
use crate::wire::StallPoint;

/// What came of a day.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub verdicts: Vec<CheckResult>,
    pub score: Score,
    /// The pilot's `show info` at the end; for people, not for the verdicts.
    pub pilot: Vec<String>,
    pub load: ResourceUsage,
    pub exit: Option<i32>,
    pub records: Vec<TrafficRecord>,
}

/// What came of a day, without all that passed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Summary {
    pub score: Score,
    /// Names of the rules that were broken.
    pub broken: Vec<String>,
}

impl Report {
    pub fn summary(&self) -> Summary {
        let broken = self.verdicts.iter().filter(|verdict| !verdict.kept());
        Summary { score: self.score.clone(), broken: broken.map(|verdict| verdict.rule.into()).collect() }
    }

    pub fn kept(&self) -> bool {
        self.verdicts.iter().all(CheckResult::kept)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        for verdict in &self.verdicts {
            let CheckResult { rule, of, figure, limit, at } = verdict;
            let word = if verdict.kept() { "kept" } else { "BROKEN" };
            let at = if at.is_empty() { String::new() } else { format!(" ({at})") };
            writeln!(out, "{word:6} {rule:20} {figure:.2} of {limit:.2} {of}{at}")?;
        }
        let Score { visits, whole, worst_window, worst_at_s, classes, tens, crossing, changes, restarts } =
            &self.score;
        writeln!(
            out,
            "fulfilled earnings {whole:.3} of {visits} visits, {worst_window:.3} in the worst 10 s (from {worst_at_s:.0} s)"
        )?;
        let tens: Vec<String> = tens.iter().map(|share| format!("{share:.3}")).collect();
        writeln!(out, "  each 10 s: {}", tens.join(" "))?;
        for (class, share) in classes {
            writeln!(out, "  {class}: {share:.3}")?;
        }
        writeln!(out, "  visits that crossed zones: {crossing:.3}")?;
        writeln!(out, "  weights and levels changed, each 10 s: {changes:?}")?;
        for After { at_s, fulfilled, changes, settled_s } in restarts {
            writeln!(
                out,
                "  20 s behind the start at {at_s:.0} s: {fulfilled:.3}, {changes} changed, tables laid in {settled_s:.1} s"
            )?;
        }
        writeln!(out, "{}", self.load)?;
        for name in [
            "OrderMsP50",
            "OrderMsP99",
            "OrderMsMost",
            "LinesWaitingMost",
            "Lines",
            "Messages",
            "FilesGenerations",
            "FilesFailures",
            "FilesWritten",
            "FilesBytes",
            "LaidMsP50",
            "LaidMsP99",
            "LaidMsMost",
        ] {
            let line = self.pilot.iter().find(|line| line.starts_with(&format!("{name}:")));
            line.map_or(Ok(()), |line| writeln!(out, "  {line}"))?;
        }
        let broken: Vec<&str> = self.verdicts.iter().filter(|v| !v.kept()).map(|v| v.rule).collect();
        match broken.is_empty() {
            true => write!(out, "rules kept"),
            false => write!(out, "rules broken: {}", broken.join(", ")),
        }
    }
}

/// One step of the script; a trouble that lasts makes two, one that the list tells of late makes three.
struct Step<'a> {
    at: Duration,
    trouble: &'a FaultInjection,
    phase: Phase,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Begins,
    Noticed,
    Ends,
}

/// Plays the day with this program as the pilot, its files in the folder. Tells what happens as it does.
///
/// # Errors
/// The day can't be staged, or a trouble names who is not there.
pub async fn play(
    day: &Scenario,
    program: &Path,
    folder: &Path,
    tell: impl Fn(&str),
) -> Result<Report, String> {
    // One core is the pilot's.
    let cores = std::thread::available_parallelism().map_or(2, std::num::NonZero::get);
    let mut stage = Stage::build(day, folder, cores.saturating_sub(1)).await?;
    let mut steps = Vec::new();
    for trouble in &day.troubles {
        check(&stage, trouble)?;
        steps.push(Step { at: trouble.at, trouble, phase: Phase::Begins });
        if trouble.kind == FaultKind::Lose {
            steps.push(Step { at: trouble.at + trouble.notice, trouble, phase: Phase::Noticed });
        }
        let end = trouble.lasts.map(|lasts| trouble.at + lasts);
        steps.extend(end.map(|at| Step { at, trouble, phase: Phase::Ends }));
    }
    steps.sort_by_key(|step| step.at);
    let pilot = ControllerProcess::start(program, &stage.settings, &folder.join("pilot.log"));
    let mut pilot = pilot.map_err(|e| format!("{}: {e}", program.display()))?;
    let meter = ResourceMeter::start(pilot.watch(), stage.tap.clone());
    let caller = LoadGenerator::new(stage.tap.clone());
    let watching = tokio::spawn(stage.folder.clone().watch(stage.tap.clone()));
    call(day, &stage, &caller);
    for step in steps.iter().filter(|step| step.at < day.length) {
        tokio::time::sleep(step.at.saturating_sub(stage.tap.now())).await;
        tell(&format!("{:5.1} s: {:?} {:?}", step.at.as_secs_f64(), step.trouble.kind, step.phase));
        act(step, &mut stage, &mut pilot, &caller).await?;
        if step.trouble.kind == FaultKind::Ask && step.phase == Phase::Begins {
            let answer = ask_pilot(&stage, &step.trouble.command).await;
            tell(answer.trim());
        }
    }
    tokio::time::sleep(day.length.saturating_sub(stage.tap.now())).await;
    // The last visits end within their patience.
    tokio::time::sleep(patience(&stage)).await;
    let info = ask_pilot(&stage, "show info").await;
    let load = meter.read();
    let exit = pilot.end(Duration::from_secs(5));
    watching.abort();
    let records = stage.tap.records();
    Ok(Report {
        verdicts: judge(&records, &stage.limits),
        score: score(&records, &stage.post.settings, &stage.zones(), &restarts(day)),
        pilot: info.lines().filter(|line| !line.is_empty()).map(String::from).collect(),
        load,
        exit,
        records,
    })
}

async fn ask_pilot(stage: &Stage, command: &str) -> String {
    let socket = Address::Unix(stage.socket.clone());
    request(&socket, command, Duration::from_secs(2)).await.unwrap_or_else(|e| e.to_string())
}

/// When the pilot is started anew.
fn restarts(day: &Scenario) -> Vec<Duration> {
    let kills = day.troubles.iter().filter(|trouble| trouble.kind == FaultKind::KillPilot);
    kills.filter_map(|kill| Some(kill.at + kill.lasts?)).collect()
}

fn patience(stage: &Stage) -> Duration {
    let classes = &stage.post.settings.classes;
    classes.iter().filter_map(|class| class.client_timeout).max().unwrap_or_default()
}

fn call(day: &Scenario, stage: &Stage, caller: &LoadGenerator) {
    let relays: Vec<_> = stage.relays.iter().map(|relay| relay.visits).collect();
    for (place, visits) in day.visits.iter().enumerate() {
        let number = stage.limits.classes.iter().position(|class| *class == visits.class).unwrap_or(0);
        let patience = stage.post.settings.classes[number].client_timeout.unwrap_or_default();
        let class = ClassLoad {
            name: visits.class.clone(),
            patience,
            rate: visits.rate,
            comes_again: visits.comes_again,
        };
        let seed = day.seed.wrapping_add(place as u64);
        tokio::spawn(call_on(caller.clone(), class, relays.clone(), seed, day.length));
    }
}

fn check(stage: &Stage, trouble: &FaultInjection) -> Result<(), String> {
    stage.meant(&trouble.servers, trouble.zone.as_deref())?;
    if let Some(name) = &trouble.relay
        && !stage.relays.iter().any(|relay| relay.name == *name)
    {
        return Err(format!("no relay {name:?}"));
    }
    Ok(())
}

async fn act(
    step: &Step<'_>,
    stage: &mut Stage,
    pilot: &mut ControllerProcess,
    caller: &LoadGenerator,
) -> Result<(), String> {
    let (trouble, begins) = (step.trouble, step.phase == Phase::Begins);
    let servers = stage.meant(&trouble.servers, trouble.zone.as_deref())?;
    let set = |stage: &Stage, mode: FaultMode| {
        let mode = if begins { mode } else { FaultMode::Well };
        servers.iter().for_each(|name| stage.endpoints[name].set(mode));
    };
    let meant = |relay: &&ProxyInstance| Some(&relay.name) == trouble.relay.as_ref();
    let relays: Vec<&ProxyInstance> = stage.relays.iter().filter(meant).collect();
    match trouble.kind {
        FaultKind::Hang => set(stage, FaultMode::Hang),
        FaultKind::Errors => set(stage, FaultMode::Errors),
        FaultKind::Slow => set(stage, FaultMode::Slow(trouble.times)),
        FaultKind::Refuse => set(stage, FaultMode::Refuse),
        FaultKind::Lose => lose(stage, &servers, step.phase)?,
        FaultKind::Drain => list(stage, &servers, if begins { "draining" } else { "ready" })?,
        FaultKind::Lie => list(stage, &servers, if begins { "gone" } else { "ready" })?,
        FaultKind::StallRelay if begins => {
            let lasts = trouble.lasts.unwrap_or(Duration::from_secs(3));
            relays
                .iter()
                .for_each(|relay| relay.wire.stall(StallPoint::Still(trouble.after_commands, lasts)));
        }
        FaultKind::BreakRelay if begins => {
            relays.iter().for_each(|relay| relay.wire.stall(StallPoint::Break(trouble.after_commands)));
        }
        FaultKind::RestartRelay if begins => {
            for relay in relays {
                stage.restart(relay).await?;
            }
        }
        FaultKind::StallRelay | FaultKind::BreakRelay | FaultKind::RestartRelay | FaultKind::Ask => {}
        FaultKind::KillPilot if begins => pilot.kill(),
        FaultKind::KillPilot => pilot.again().map_err(|e| e.to_string())?,
        FaultKind::ResourceUsage => caller.set_factor(if begins { trouble.times } else { 1.0 }),
    }
    Ok(())
}

fn list(stage: &mut Stage, servers: &[String], state: &'static str) -> Result<(), String> {
    for name in servers {
        if let Some(line) = stage.roster.lines.get_mut(name) {
            line.state = state;
        }
    }
    stage.roster.write().map_err(|e| e.to_string())
}

/// Processes die, the list tells of it a while later, and they come back cold.
fn lose(stage: &mut Stage, servers: &[String], phase: Phase) -> Result<(), String> {
    match phase {
        Phase::Begins => {
            servers.iter().for_each(|name| stage.endpoints[name].set(FaultMode::Down));
            Ok(())
        }
        Phase::Noticed => list(stage, servers, "gone"),
        Phase::Ends => {
            for name in servers {
                stage.endpoints[name].restart();
                if let Some(line) = stage.roster.lines.get_mut(name) {
                    line.started = Some((stage.tap.now(), SystemTime::now()));
                }
            }
            list(stage, servers, "ready")
        }
    }
}
