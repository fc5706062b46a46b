//! The daemon: one pilot on loopback sockets. Sockets and clocks stand here and nothing else; what
//! happens becomes calls of [`lockcroft_fleet::FleetController`], and its effects are carried out.

mod files;
mod logs;
mod memory;
mod probes;
mod roster;
mod station;
mod streams;

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use lockcroft::{EndpointId, HealthCheckOutcome, ProxyId};
use lockcroft_config::{DaemonConfig, EndpointListConfig, EndpointListSource};
use lockcroft_fleet::{AppliedReport, Effect, FleetController, PublishError, SolverTask, StateStoreStatus};
use lockcroft_runtime_api::{Address, Listener};
use lockcroft_solver::Answer;
use lockcroft_table_store::WrittenSnapshot;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc};
use tokio::task::{LocalSet, spawn_local};
use tracing::{info, warn};

pub use crate::logs::{Logging, start as start_logs};
pub use crate::probes::probe;

use crate::files::SnapshotPublisher;
use crate::memory::StateWriter;
use crate::station::OperatorCommands;
use crate::streams::ProxyConnections;

/// Something that happened on a socket or to a file.
enum Event {
    Listed(EndpointListConfig),
    Probed { server: EndpointId, finding: HealthCheckOutcome, took: Duration },
    Connected { proxy: ProxyId, stream: u64 },
    Broken { proxy: ProxyId, stream: u64, why: String },
    Planned { answer: Option<Answer> },
    SnapshotWritten { done: Result<WrittenSnapshot, PublishError> },
    Laid { reports: Vec<AppliedReport> },
    StateSaved(StateStoreStatus),
    Answered { proxy: ProxyId, stream: u64, texts: Vec<String> },
}

type Told = mpsc::Sender<Event>;

/// So much news may wait; who has more is read no further until there is room.
const NEWS_MOST: usize = 4096;
/// So much of it is taken in before decisions are pulled.
const NEWS_AT_ONCE: usize = 512;

/// Runs a pilot until it is told to end. Proxies keep their tables then.
///
/// # Errors
/// A socket can't be had, or the logs can't be set up.
pub fn serve(post: &DaemonConfig) -> Result<(), String> {
    let logs = logs::start(&post.log)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("the runtime does not start: {e}"))?;
    LocalSet::new().block_on(&runtime, run(post, logs))
}

async fn run(post: &DaemonConfig, logs: Logging) -> Result<(), String> {
    let start = Instant::now();
    let epoch =
        SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let poke = Rc::new(Notify::new());
    let reread = Rc::new(Notify::new());
    let station =
        Rc::new(RefCell::new(OperatorCommands::new(FleetController::new(post, epoch), logs, reread.clone())));
    open_doors(post, &station, &poke).await?;
    let (told, mut news) = mpsc::channel(NEWS_MOST);
    let hands: Vec<ProxyConnections> = post
        .proxies
        .iter()
        .enumerate()
        .map(|(proxy, at)| ProxyConnections::new(proxy, at.address.clone(), told.clone()))
        .collect();
    let kept = post.state_directory.as_ref().and_then(|folder| memory::open(post, folder, told.clone()));
    let keeper = kept.map(|(keeper, recalled)| {
        station.borrow_mut().helm.restore_state(recalled);
        keeper
    });
    let press = post
        .table_files
        .as_ref()
        .map(|at| SnapshotPublisher::start(at, &post.name, told.clone()))
        .transpose()?;
    if let Some(at) = &post.table_files {
        let wall = SystemTime::now().checked_sub(start.elapsed()).unwrap_or(SystemTime::UNIX_EPOCH);
        spawn_local(files::watch(at.directory.clone(), at.poll_interval, wall, told.clone()));
    }
    match &post.endpoints {
        EndpointListSource::Inline(roster) => {
            let _ = told.send(Event::Listed(roster.clone())).await;
        }
        EndpointListSource::File(path, every) => {
            let (places, most) = (post.names.clone(), post.max_weight());
            spawn_local(roster::watch(path.clone(), *every, places, most, reread, told.clone()));
        }
    }
    info!(target: "lockcroft::daemon", name = post.name, proxies = post.proxies.len(), "started");
    let mut ends = signal(SignalKind::terminate()).map_err(|e| format!("signals: {e}"))?;
    let mut batch = Vec::new();
    loop {
        let due = station.borrow().helm.next_due();
        tokio::select! {
            _ = news.recv_many(&mut batch, NEWS_AT_ONCE) => {}
            () = tokio::time::sleep_until((start + due).into()) => {}
            () = poke.notified() => {}
            _ = ends.recv() => break,
            _ = tokio::signal::ctrl_c() => break,
        }
        let effects = {
            let helm = &mut station.borrow_mut().helm;
            batch.drain(..).for_each(|news| take_in(helm, start.elapsed(), news));
            helm.run_actions(start.elapsed())
        };
        effects
            .into_iter()
            .for_each(|effect| carry_out(effect, &hands, press.as_ref(), keeper.as_ref(), &told));
        // Streams get their turn before there is more for them.
        tokio::task::yield_now().await;
    }
    info!(target: "lockcroft::daemon", "told to end; proxies keep their tables");
    for door in &post.listeners {
        if let Address::Unix(path) = &door.address {
            let _ = std::fs::remove_file(path);
        }
    }
    Ok(())
}

async fn open_doors(
    post: &DaemonConfig,
    station: &Rc<RefCell<OperatorCommands>>,
    poke: &Rc<Notify>,
) -> Result<(), String> {
    for door in &post.listeners {
        let listener = Listener::bind(&door.address).await;
        let listener = listener.map_err(|e| format!("cannot listen on {}: {e}", door.address))?;
        let poke = poke.clone();
        let poked = move || poke.notify_one();
        spawn_local(lockcroft_runtime_api::serve(listener, door.level, station.clone(), poked));
    }
    Ok(())
}

fn take_in(helm: &mut FleetController, now: Duration, news: Event) {
    match news {
        Event::Listed(roster) => helm.update_endpoint_list(now, SystemTime::now(), roster),
        Event::Probed { server, finding, took } => helm.health_check_finished(now, server, finding, took),
        Event::Planned { answer } => helm.plan_solved(now, answer),
        Event::SnapshotWritten { done } => helm.snapshot_written(now, done),
        Event::StateSaved(kept) => helm.state_saved(kept),
        Event::Laid { reports } => reports.into_iter().for_each(|report| helm.snapshot_applied(now, report)),
        Event::Connected { proxy, stream } => helm.connected(now, proxy, stream),
        Event::Broken { proxy, stream, why } => helm.disconnected(now, proxy, stream, &why),
        Event::Answered { proxy, stream, texts } => {
            texts.iter().for_each(|text| helm.response_received(now, proxy, stream, text));
        }
    }
}

fn carry_out(
    effect: Effect,
    hands: &[ProxyConnections],
    press: Option<&SnapshotPublisher>,
    keeper: Option<&StateWriter>,
    told: &Told,
) {
    match effect {
        Effect::CheckHealth { endpoint: server, address } => {
            let told = told.clone();
            spawn_local(async move {
                let (finding, took) = probe(address).await;
                let _ = told.send(Event::Probed { server, finding, took }).await;
            });
        }
        Effect::Solve(task) => {
            let told = told.clone();
            spawn_local(async move { drop(told.send(solve(task).await).await) });
        }
        // Without a folder no proxy reads files, and nothing is given out for them.
        Effect::PublishSnapshot(publication) => {
            press.into_iter().for_each(|press| press.write(publication.clone()))
        }
        Effect::SaveState(entries) => {
            if let Some(keeper) = keeper {
                keeper.write(entries);
            }
        }
        Effect::Connect { proxy, connection: stream, after } => hands[proxy].dial(stream, after),
        Effect::Write { proxy, connection: stream, text } => hands[proxy].write(stream, text),
        Effect::Close { proxy } => hands[proxy].close(),
    }
}

/// Off the thread that decides; the last answer stands meanwhile.
async fn solve(task: Arc<SolverTask>) -> Event {
    let solved = tokio::task::spawn_blocking(move || lockcroft_solver::solve(&task.problem)).await;
    let solved = solved.map_err(|e| e.to_string()).and_then(|solved| solved.map_err(|e| e.to_string()));
    let answer = solved.inspect_err(|fault| complain(&format!("no plan: {fault}"))).ok();
    Event::Planned { answer }
}

/// Warns of something that concerns people rather than decisions.
fn complain(text: &str) {
    warn!(target: "lockcroft::daemon", "{text}");
}
