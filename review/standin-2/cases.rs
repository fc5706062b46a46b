//! The cases: the deployment, the disruption and the rule of each.

use std::process::ExitCode;
use std::sync::Arc;

use crate::Play;
use crate::world::{Class, Site, Status, unix_ms};

pub fn play(case: &str, record: &str, trouble: bool) -> Result<ExitCode, String> {
    match case {
        "drains-one-by-one" => drains_one_by_one(record, trouble),
        "shut-out-and-cold" => shut_out_and_cold(record, trouble),
        "body-that-hangs" => crate::proxied::play(record, trouble),
        "mass-attachment" => mass_attachment(record, trouble),
        "all-come-back" => all_come_back(record, trouble),
        other if other.starts_with("search-") => search(record, other[7..].parse().unwrap_or(0)),
        other => Err(format!("no case {other}")),
    }
}

/// The figures of the site file radar-tiles-ma.
fn radar() -> Site {
    Site {
        zones: vec!["casa-1", "rabat-1"],
        kind: "std-3c",
        classes: vec![
            Class { name: "tile-fetch", target_ms: 800, deadline_ms: 2000, effect: "safe", worth: 1.0 },
            Class { name: "overlay-post", target_ms: 1000, deadline_ms: 3000, effect: "unsafe", worth: 2.0 },
        ],
        endpoints_per_zone: 15,
        started_ms_ago: None,
        agents: 400,
        proxies: 200,
        pilots: 2,
        probes: false,
        report: ("inline", "\"q\",\"lat_ms\"", "\"q\":0,\"lat_ms\":150.0"),
        lines_per_s: 5000.0,
        queue_cap: 5000.0,
        messages_most: 20,
        messages_span_ms: 10_000.0,
        head: 6.0,
        late_ms: 180.0,
        unserved_most_ms: 2600.0,
        drain_grace_ms: 3000.0,
        cold_from: 0.25,
        cold_ms: 17_000.0,
        fall_multiple: 4.0,
        fall_ms: 3000.0,
        period_ms: 2000.0,
        heard_late_ms: 800.0,
        connections_least: 213.0,
        standing: 5,
        ejects: 3,
        requests_per_s: 2.0,
        answer_ms: 150.0,
        redial_ms: (180.0, 2400.0),
        first_index: 41,
        limits: (1024, 192),
        load: 0.6,
    }
}

/// The figures of the site file sorraia-guias.
fn sorraia() -> Site {
    Site {
        zones: vec!["paco", "convento", "mercado", "arquivo"],
        kind: "std-3core",
        classes: vec![
            Class { name: "stop-audio", target_ms: 600, deadline_ms: 2000, effect: "safe", worth: 3.0 },
            Class { name: "feedback", target_ms: 1000, deadline_ms: 2500, effect: "keyed", worth: 5.0 },
            Class { name: "redeem-ticket", target_ms: 500, deadline_ms: 1200, effect: "unsafe", worth: 3.0 },
        ],
        endpoints_per_zone: 8,
        started_ms_ago: None,
        agents: 16,
        proxies: 16,
        pilots: 1,
        probes: true,
        report: ("on_probe", "\"busy\"", ""),
        lines_per_s: 5000.0,
        queue_cap: 7500.0,
        messages_most: 30,
        messages_span_ms: 10_000.0,
        head: 4.0,
        late_ms: 200.0,
        unserved_most_ms: 2600.0,
        drain_grace_ms: 1500.0,
        cold_from: 0.3,
        cold_ms: 12_000.0,
        fall_multiple: 4.0,
        fall_ms: 3000.0,
        period_ms: 2000.0,
        heard_late_ms: 1000.0,
        connections_least: 390.0,
        standing: 8,
        ejects: 0,
        requests_per_s: 20.0,
        answer_ms: 120.0,
        redial_ms: (230.0, 2100.0),
        first_index: 41,
        limits: (1024, 192),
        load: 0.6,
    }
}

/// The endpoint with this number in a zone.
fn endpoint(site: &Site, zone: usize, number: usize) -> usize {
    number * site.zones.len() + zone
}

fn begin(site: Site, spare: usize, record: &str) -> Result<Arc<Play>, String> {
    let play = Play::new(site, spare, record).map_err(|error| error.to_string())?;
    play.start_pilot()?;
    Ok(play)
}

/// 18 of 30 endpoints are replaced by new ones within 5 s, each told when it happens.
fn drains_one_by_one(record: &str, trouble: bool) -> Result<ExitCode, String> {
    let site = Site { agents: 24, proxies: 24, pilots: 1, requests_per_s: 10.0, ..radar() };
    let all = site.zones.len() * site.endpoints_per_zone;
    let replaced = all * 6 / 10;
    let play = begin(site, replaced, record)?;
    play.let_proxies_dial(400.0);
    play.wait_until(20_000.0);
    let begin = play.world.now();
    for step in 0..replaced {
        play.wait_until(begin + 5_000.0 * step as f64 / (replaced - 1) as f64);
        if trouble {
            play.world.run_endpoint(all + step, true);
            play.world
                .change_list(&[(step, Status::Draining, None), (all + step, Status::Up, Some(unix_ms()))]);
        }
    }
    play.wait(8_000.0);
    if trouble {
        let gone: Vec<_> = (0..replaced).map(|number| (number, Status::Removed, None)).collect();
        play.world.change_list(&gone);
    }
    play.wait(3_000.0);
    Ok(play.finish("drains kept"))
}

/// Half of the streams break at once 0.7 s after a pilot has started; later a zone is lost for 5 s.
fn shut_out_and_cold(record: &str, trouble: bool) -> Result<ExitCode, String> {
    let site = Site {
        agents: 12,
        proxies: 12,
        pilots: 1,
        endpoints_per_zone: 2,
        cold_ms: 12_000.0,
        requests_per_s: 10.0,
        ..radar()
    };
    let own: Vec<usize> = (0..2).map(|number| endpoint(&site, 0, number)).collect();
    let other: Vec<usize> = (0..2).map(|number| endpoint(&site, 1, number)).collect();
    let proxies = site.proxies;
    let play = Play::new(site, 0, record).map_err(|error| error.to_string())?;
    // Both endpoints of the first zone were started 2 s before the pilot.
    let started: Vec<_> = own.iter().map(|number| (*number, Status::Up, Some(unix_ms() - 2_000))).collect();
    play.world.change_list(&started);
    {
        let mut state = play.world.lock();
        state.known = play.world.whole_list(&state);
    }
    play.start_pilot()?;
    let answered = play.world.now();
    play.let_proxies_dial(50.0);
    let break_after =
        std::env::var("BREAK_AFTER_MS").ok().and_then(|after| after.parse().ok()).unwrap_or(700.0);
    play.wait_until(answered + break_after);
    if trouble {
        (0..proxies / 2).for_each(|number| play.break_stream(number));
    }
    play.wait_until(answered + 20_000.0);
    if trouble {
        other.iter().for_each(|number| play.world.run_endpoint(*number, false));
    }
    play.wait(700.0);
    if trouble {
        let gone: Vec<_> = other.iter().map(|number| (*number, Status::Removed, None)).collect();
        play.world.change_list(&gone);
    }
    play.wait(4_300.0);
    let since = unix_ms();
    if trouble {
        other.iter().for_each(|number| play.world.run_endpoint(*number, true));
    }
    play.wait(1_500.0);
    if trouble {
        let back: Vec<_> = other.iter().map(|number| (*number, Status::Up, Some(since))).collect();
        play.world.change_list(&back);
    }
    play.wait(3_000.0);
    Ok(play.finish("endpoint for all"))
}

/// Four of six pilots are killed while 14 of 24 endpoints are replaced within 2.5 s: their 284 proxies come to this one.
fn mass_attachment(record: &str, trouble: bool) -> Result<ExitCode, String> {
    let own = 71;
    let site = Site {
        agents: 6 * own,
        proxies: 5 * own,
        pilots: 6,
        endpoints_per_zone: 6,
        started_ms_ago: Some(60_000),
        lines_per_s: 5_700.0,
        queue_cap: 8_550.0,
        late_ms: 230.0,
        requests_per_s: 4.0,
        redial_ms: (230.0, 900.0),
        ..sorraia()
    };
    let all = site.zones.len() * site.endpoints_per_zone;
    let replaced = all * 6 / 10;
    let (least, most) = site.redial_ms;
    let play = begin(site.clone(), replaced, record)?;
    {
        // The others hold the tables of their pilots, which list the same endpoints.
        let mut state = play.world.lock();
        for proxy in &mut state.proxies[own..] {
            proxy.cold = false;
            proxy
                .tables
                .iter_mut()
                .for_each(|table| table.weights.extend((0..all).map(|endpoint| (endpoint, 1.0))));
        }
        state.proxies[..own].iter_mut().for_each(|proxy| proxy.may_dial = true);
    }
    play.wait_until(14_000.0);
    let start = play.world.now();
    if trouble {
        play.world.say(&format!("four other pilots are killed; {} proxies dial", site.proxies - own));
    }
    let mut dials: Vec<(f64, usize)> = (own..site.proxies)
        .map(|number| (start + least + (most - least) * play.chance.next(), number))
        .collect();
    dials.sort_by(|a, b| b.0.total_cmp(&a.0));
    let mut steps: Vec<(f64, usize)> =
        (0..replaced).rev().map(|step| (start + 2_500.0 * step as f64 / replaced as f64, step)).collect();
    while trouble && play.world.now() < start + 3_500.0 {
        let now = play.world.now();
        while let Some((_, number)) = dials.pop_if(|(at, _)| *at <= now) {
            play.world.lock().proxies[number].may_dial = true;
        }
        while let Some((_, step)) = steps.pop_if(|(at, _)| *at <= now) {
            play.world.run_endpoint(all + step, true);
            play.world
                .change_list(&[(step, Status::Draining, None), (all + step, Status::Up, Some(unix_ms()))]);
        }
        std::thread::sleep(crate::ms(2.0));
    }
    play.wait(6_000.0);
    Ok(play.finish("drains kept"))
}

/// The pilot that all proxies have come to is killed and starts again 2.5 s later.
fn all_come_back(record: &str, trouble: bool) -> Result<ExitCode, String> {
    let site = Site {
        agents: 426,
        proxies: 426,
        pilots: 6,
        endpoints_per_zone: 6,
        started_ms_ago: Some(60_000),
        lines_per_s: 5_700.0,
        queue_cap: 8_550.0,
        requests_per_s: 2.0,
        redial_ms: (230.0, 2100.0),
        ..sorraia()
    };
    let play = begin(site, 0, record)?;
    play.let_proxies_dial(2_000.0);
    play.wait_until(14_000.0);
    if trouble {
        play.stop_pilot(crate::SIGKILL);
        std::thread::sleep(crate::ms(2_500.0));
        play.start_pilot()?;
    }
    play.wait(10_000.0);
    Ok(play.finish("short queue"))
}

/// A search, no case: disruptions of all kinds by chance.
fn search(record: &str, seed: u64) -> Result<ExitCode, String> {
    let chance = crate::Chance(std::sync::atomic::AtomicU64::new(seed.wrapping_mul(0x1234_5678_9abc_def1)));
    let between = |least: f64, most: f64| least + (most - least) * chance.next();
    let whole = |least: usize, most: usize| least + (chance.next() * (most - least + 1) as f64) as usize;
    let mut site = if seed % 3 == 0 { radar() } else { sorraia() };
    let zones = site.zones.len();
    site.endpoints_per_zone = whole(16, 32) / zones;
    site.pilots = whole(1, 3);
    site.proxies = [12, 24, 60, 150][whole(0, 3)];
    site.agents = site.proxies.max(site.proxies * site.pilots / whole(1, site.pilots));
    site.started_ms_ago = [None, Some(60_000)][whole(0, 1)];
    site.load = between(0.5, 0.7);
    site.redial_ms = [(230.0, 2100.0), (230.0, 500.0)][whole(0, 1)];
    if seed >= 1000 {
        // The sizes of the users' days on real sockets.
        site.endpoints_per_zone = 32 / zones;
        site.pilots = whole(2, 3);
        site.agents = [150, 240, 400][whole(0, 2)];
        site.proxies = if whole(0, 2) == 0 { site.agents } else { site.agents / site.pilots };
    }
    if seed % 2 == 0 {
        site.drain_grace_ms = [1500.0, 2500.0, 3000.0][whole(0, 2)];
    }
    site.requests_per_s = 300.0 / site.proxies as f64;
    let spare = 80;
    let all = zones * site.endpoints_per_zone;
    let play = begin(site.clone(), spare, record)?;
    play.world.say(&format!(
        "search {seed}: {all} endpoints, {} proxies of {}, {} pilots, grace {}",
        site.proxies, site.agents, site.pilots, site.drain_grace_ms
    ));
    play.let_proxies_dial(800.0);
    play.wait_until(6_000.0 + between(0.0, 3_000.0));
    let mut next_spare = all;
    let mut back: Vec<(f64, Vec<usize>, usize)> = Vec::new();
    while play.world.now() < 62_000.0 && play.crashed.lock().unwrap().is_none() {
        let kind = whole(0, 9);
        let listed: Vec<usize> = {
            let state = play.world.lock();
            (0..state.endpoints.len())
                .filter(|e| state.endpoints[*e].status == Status::Up && state.endpoints[*e].runs)
                .collect()
        };
        let now = play.world.now();
        let warm = {
            let state = play.world.lock();
            let is_warm =
                |e: &&usize| state.endpoints[**e].since_unix_ms as f64 + site.cold_ms < unix_ms() as f64;
            listed.iter().filter(is_warm).count()
        };
        let kind = if warm * 10 < all * 6 && kind < 5 { 5 + kind } else { kind };
        match kind {
            0 | 1 if listed.len() * 10 > all * 8 => {
                // A crash of up to 23%.
                let mut from = listed.clone();
                let dead: Vec<usize> = (0..(all as f64 * between(0.06, 0.23)) as usize)
                    .map(|_| from.swap_remove(whole(0, from.len() - 1)))
                    .collect();
                dead.iter().for_each(|e| play.world.run_endpoint(*e, false));
                play.wait(between(1_300.0, 3_000.0));
                for e in &dead {
                    play.world.change_list(&[(*e, Status::Removed, None)]);
                    play.wait(between(0.0, 100.0));
                }
                back.push((now + between(5_000.0, 15_000.0), dead, 0));
            }
            2 if listed.len() * 10 > all * 8 => {
                let zone = whole(0, zones - 1);
                let dead: Vec<usize> = listed.iter().copied().filter(|e| e % zones == zone).collect();
                dead.iter().for_each(|e| play.world.run_endpoint(*e, false));
                play.wait(between(1_300.0, 3_000.0));
                for e in &dead {
                    play.world.change_list(&[(*e, Status::Removed, None)]);
                    play.wait(between(0.0, 100.0));
                }
                back.push((now + between(8_800.0, 15_000.0), dead, 0));
            }
            3 | 4 => {
                let count = (all as f64 * between(0.2, 0.6)) as usize;
                let span = between(3_000.0, 7_000.0);
                let mut from = listed.clone();
                for _ in 0..count.min(from.len().saturating_sub(2)) {
                    if next_spare >= all + spare {
                        break;
                    }
                    let old = from.swap_remove(whole(0, from.len() - 1));
                    let new = next_spare;
                    next_spare += 1;
                    play.world.run_endpoint(new, true);
                    play.world.change_list(&[(old, Status::Draining, None)]);
                    play.wait(span / count as f64 * between(0.5, 1.2));
                    play.world.change_list(&[(new, Status::Up, Some(unix_ms()))]);
                    if whole(0, 1) == 0 {
                        play.world.change_list(&[(old, Status::Removed, None)]);
                        play.world.run_endpoint(old, false);
                    }
                }
            }
            5 => {
                let signal = if whole(0, 1) == 0 { crate::SIGTERM } else { crate::SIGKILL };
                play.stop_pilot(signal);
                std::thread::sleep(crate::ms(between(0.0, 3_000.0)));
                play.start_pilot()?;
            }
            6 => {
                let share = between(0.2, 1.0);
                (0..site.proxies)
                    .filter(|_| chance.next() < share)
                    .for_each(|number| play.break_stream(number));
            }
            7 => {
                let share = between(0.2, 0.7);
                (0..site.proxies)
                    .filter(|_| chance.next() < share)
                    .for_each(|number| play.world.restart_proxy(number));
            }
            8 => {
                let share = between(0.1, 0.46);
                let cut: Vec<usize> = (0..site.proxies).filter(|_| chance.next() < share).collect();
                for number in &cut {
                    play.world.lock().proxies[*number].reaches_pilot = false;
                    play.break_stream(*number);
                }
                back.push((now + between(7_000.0, 12_000.0), cut, 1));
            }
            9 => {
                if whole(0, 1) == 0 {
                    play.move_discovery();
                } else {
                    let hung: Vec<usize> = listed.iter().copied().filter(|_| chance.next() < 0.15).collect();
                    hung.iter().for_each(|e| play.world.lock().endpoints[*e].hangs = true);
                    back.push((now + between(6_000.0, 12_000.0), hung, 2));
                }
            }
            _ => {}
        }
        play.wait(between(500.0, 4_000.0));
        let now = play.world.now();
        let (due, rest): (Vec<_>, Vec<_>) = back.into_iter().partition(|(at, _, _)| *at <= now);
        back = rest;
        for (_, members, kind) in due {
            match kind {
                0 => {
                    members.iter().for_each(|e| play.world.run_endpoint(*e, true));
                    let since = unix_ms();
                    for e in members {
                        play.wait(between(0.0, 200.0));
                        play.world.change_list(&[(e, Status::Up, Some(since))]);
                    }
                }
                1 => {
                    members.iter().for_each(|number| play.world.lock().proxies[*number].reaches_pilot = true)
                }
                _ => members.iter().for_each(|e| play.world.lock().endpoints[*e].hangs = false),
            }
        }
    }
    play.wait(4_000.0);
    let broken: Vec<String> =
        play.world.lock().broken.iter().map(|(rule, count)| format!("{rule} {count}")).collect();
    println!("search {seed}: {}", broken.join(", "));
    Ok(play.finish("short queue"))
}
