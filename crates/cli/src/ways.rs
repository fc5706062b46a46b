//! `lockcroft rehearse --ways` and `--search`: one day in several ways, side by side, each in a process of
//! its own.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::time::Duration;

use lockcroft_scenario::{Scenario, Summary, Variant, search};
use serde_json::json;

/// The ways that a day's file names, and those of its search.
pub fn all(day: &Scenario) -> Vec<Variant> {
    day.ways.iter().cloned().chain(search(&day.tries)).collect()
}

/// Plays them, so many at once, and prints a row each, the best of a search first.
pub fn compare(file: &Path, day: &Scenario, searching: bool, at_once: usize, json: bool) -> ExitCode {
    let ways = if searching { search(&day.tries) } else { day.ways.clone() };
    if ways.is_empty() || searching && day.tries.is_empty() {
        let what = if searching { "search" } else { "way" };
        eprintln!("lockcroft: {}: no element {what}", file.display());
        return ExitCode::from(2);
    }
    let played = match play_all(file, &ways, at_once) {
        Ok(played) => played,
        Err(wrong) => {
            eprintln!("lockcroft: {wrong}");
            return ExitCode::FAILURE;
        }
    };
    let mut rows: Vec<(&Variant, Summary)> = ways.iter().zip(played).collect();
    if searching {
        rows.sort_by(|(_, a), (_, b)| b.score.whole.total_cmp(&a.score.whole));
    }
    if json {
        let row = |(way, played): &(&Variant, Summary)| json!({"way": way.name, "played": played});
        println!("{}", json!({"ways": rows.iter().map(row).collect::<Vec<_>>()}));
    } else {
        print_rows(&rows);
    }
    let kept = rows.iter().all(|(_, played)| played.broken.is_empty());
    if kept { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn print_rows(rows: &[(&Variant, Summary)]) {
    println!("{:24} fulfilled  worst 10 s  crossing  changes  each 10 s, rules", "way");
    for (way, Summary { score, broken }) in rows {
        let tens: Vec<String> = score.tens.iter().map(|share| format!("{share:.3}")).collect();
        let rules = if broken.is_empty() { "kept".into() } else { format!("BROKEN: {}", broken.join(", ")) };
        let changes: usize = score.changes.iter().sum();
        println!(
            "{:24} {:9.3}  {:10.3}  {:8.3}  {changes:7}  {}, {rules}",
            way.name,
            score.whole,
            score.worst_window,
            score.crossing,
            tens.join(" ")
        );
        for after in &score.restarts {
            println!(
                "{:24} 20 s behind the start at {:.0} s: {:.3}, {} changed, tables laid in {:.1} s",
                "", after.at_s, after.fulfilled, after.changes, after.settled_s
            );
        }
    }
}

/// Ended when dropped, so that a comparison that fails leaves nobody behind.
struct Playing {
    child: Child,
    summary: PathBuf,
    place: usize,
}

impl Drop for Playing {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn play_all(file: &Path, ways: &[Variant], at_once: usize) -> Result<Vec<Summary>, String> {
    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
    let mut waiting = ways.iter().enumerate();
    let mut playing: Vec<Playing> = Vec::new();
    let mut played: Vec<Option<Summary>> = ways.iter().map(|_| None).collect();
    while played.iter().any(Option::is_none) {
        while playing.len() < at_once.max(1) {
            let Some((place, way)) = waiting.next() else { break };
            eprintln!("playing {}", way.name);
            playing.push(start(file, way, folder.path(), place)?);
        }
        std::thread::sleep(Duration::from_millis(50));
        for one in &mut playing {
            if one.child.try_wait().map_err(|e| e.to_string())?.is_some() {
                let read = File::open(&one.summary)
                    .map_err(|_| format!("{}: it did not end", ways[one.place].name))?;
                played[one.place] = Some(serde_json::from_reader(read).map_err(|e| e.to_string())?);
            }
        }
        playing.retain(|one| played[one.place].is_none());
    }
    Ok(played.into_iter().flatten().collect())
}

fn start(file: &Path, way: &Variant, folder: &Path, place: usize) -> Result<Playing, String> {
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let (summary, said) = (folder.join(format!("{place}.json")), folder.join(format!("{place}.txt")));
    let said = File::create(said).map_err(|e| e.to_string())?;
    let mut command = Command::new(program);
    command.arg("rehearse").arg(file).arg("--way").arg(&way.name).arg("--summary").arg(&summary);
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(said);
    let child = command.spawn().map_err(|e| e.to_string())?;
    Ok(Playing { child, summary, place })
}
