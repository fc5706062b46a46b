//! `show backend`, `show proxies` and `show levels`: tables, proxies and admission.

use std::fmt::Write;

use lockcroft::{ProxyId, TableId};

use crate::fleet_controller::FleetController;
use crate::proxy_session::{ProxySession, SessionPhase};
use crate::publication::{AppliedVersion, RejectedVersion, SnapshotReport};

impl FleetController {
    /// Returns one line for each table: the number of its proxies, the sums of its published and desired weights, and
    /// its latency ratio.
    #[must_use]
    pub fn show_tables(&self) -> String {
        let mut text = "# name part released proxies lines published wanted late kept\n".to_string();
        for (number, table) in self.controller.state().tables.iter().enumerate() {
            let entries = table.published.values().filter(|weight| **weight > 0.0).count();
            let published: f64 = table.published.values().sum();
            let desired: f64 = table.desired.values().sum();
            let proxies = self.attached_count(number);
            let _ = writeln!(
                text,
                "t{number} {} {} {proxies} {entries} {published:.2} {desired:.2} {:.2} {:.2}",
                table.subset, table.released, table.latency_ratio, table.unreserved_fraction
            );
        }
        text
    }

    /// Returns one line for each proxy: its session, tables, queued entries and last response.
    #[must_use]
    pub fn show_proxies(&self) -> String {
        let mut text =
            "# name zone stage for_s tables lines_waiting last_answer_s breaks front why\n".to_string();
        for (proxy, session) in self.sessions.iter().enumerate() {
            let _ = writeln!(text, "{}", self.proxy_line(proxy, session));
        }
        text
    }

    fn proxy_line(&self, proxy: ProxyId, session: &ProxySession) -> String {
        let report = self.files.report(proxy);
        let tables = match report {
            Some(_) => self.files.tables(proxy),
            None => session.ledger.tables(),
        };
        let tables: Vec<String> = tables.iter().map(|table: &TableId| format!("t{table}")).collect();
        let tables = if tables.is_empty() { "-".into() } else { tables.join(",") };
        let last_response = session.last_response_at.map(|at| self.now.saturating_sub(at).as_secs_f64());
        let last_response = last_response.map_or("-".into(), |ago| format!("{ago:.1}"));
        let phase_secs = self.now.saturating_sub(session.phase_since).as_secs_f64();
        let reason = if session.is_attached() { "-" } else { &session.reason };
        format!(
            "{} {} {} {phase_secs:.1} {tables} {} {last_response} {} {} {reason}{}",
            session.config.name,
            self.names.zones[session.config.zone],
            phase_text(session.phase),
            session.ledger.queued_entries(),
            session.disconnects,
            report.map_or("commands".into(), applied_text),
            report.map_or(String::new(), rejected_text),
        )
    }

    /// Returns one line for each class and table: the desired and the published admission rate, and the demand.
    #[must_use]
    pub fn show_admission(&self) -> String {
        let mut text = "# class table wanted published demand\n".to_string();
        for admission in self.controller.state().admissions {
            let published = admission.published.map_or("-".into(), |fraction| fraction.to_string());
            let _ = writeln!(
                text,
                "{} t{} {:.2} {published} {:.1}",
                admission.name, admission.table, admission.rate, admission.demand
            );
        }
        text
    }
}

fn phase_text(phase: SessionPhase) -> &'static str {
    match phase {
        SessionPhase::Disconnected => "away",
        SessionPhase::Reconciling => "asking",
        SessionPhase::Attached => "joined",
    }
}

fn applied_text(report: &SnapshotReport) -> String {
    match report.applied {
        Some(AppliedVersion { epoch, version, .. }) => format!("files:e{epoch}g{version}"),
        None => "files:-".into(),
    }
}

fn rejected_text(report: &SnapshotReport) -> String {
    match &report.rejected {
        Some(RejectedVersion { epoch, version, reason }) => format!(" refuses e{epoch} g{version}: {reason}"),
        None => String::new(),
    }
}
