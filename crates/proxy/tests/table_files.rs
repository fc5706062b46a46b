//! Tests of a proxy that reads its tables from a snapshot folder, with real files and sockets but without a
//! controller.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use lockcroft_proxy::{Proxy, ProxyConfig, TableFilesConfig};
use lockcroft_table_format::{ProxyAssignment, ProxyGroup, SnapshotContent, Table, TableEntry};
use lockcroft_table_store::{RetentionPolicy, SnapshotWriter, StatusReader, read_keys};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

const RETENTION: RetentionPolicy = RetentionPolicy { max_snapshots: 4, keep_earlier_epochs: true };

/// Starts an endpoint that answers every request with its name.
async fn start_endpoint(name: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("bound");
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            spawn_local(async move {
                let mut bytes = [0; 4096];
                while let Ok(1..) = stream.read(&mut bytes).await {
                    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{name}", name.len());
                    let _ = stream.write_all(answer.as_bytes()).await;
                }
            });
        }
    });
    address
}

struct Fixture {
    folder: tempfile::TempDir,
    proxy: Option<Proxy>,
    endpoints: Vec<(&'static str, SocketAddr)>,
}

impl Fixture {
    async fn new() -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        std::fs::create_dir(folder.path().join("tables")).expect("made");
        let keys = folder.path().join("keys");
        std::fs::write(&keys, format!("k1 {}\n", "ab".repeat(32))).expect("written");
        std::fs::set_permissions(&keys, std::fs::Permissions::from_mode(0o600)).expect("set");
        let endpoints = vec![
            ("e0", start_endpoint("e0").await),
            ("e1", start_endpoint("e1").await),
            ("e2", start_endpoint("e2").await),
        ];
        Fixture { folder, proxy: None, endpoints }
    }

    fn table_folder(&self) -> PathBuf {
        self.folder.path().join("tables")
    }

    fn writer(&self) -> SnapshotWriter {
        let keys = read_keys(&self.folder.path().join("keys")).expect("valid");
        SnapshotWriter::acquire_epoch(&self.table_folder(), "p", keys).expect("acquired epoch")
    }

    /// Starts the proxy, or restarts it, with the first endpoint in its default table.
    async fn start(&mut self, poll_interval: Duration) {
        if let Some(proxy) = self.proxy.take() {
            proxy.stop().await;
        }
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let classes = vec![("look".to_string(), Duration::from_secs(2))];
        let mut config = ProxyConfig::new("r1", any, vec![], classes);
        config.default_table = vec![("e0".into(), self.endpoints[0].1)];
        let keys = self.folder.path().join("keys");
        config.table_files =
            Some(TableFilesConfig { folder: self.table_folder(), key_file: keys, poll_interval });
        self.proxy = Some(Proxy::start(config).await.expect("started"));
    }

    /// Returns a snapshot with a table of these endpoints for the proxy.
    fn snapshot_content(&self, endpoints: &[usize], ejected: &[&str]) -> SnapshotContent {
        let entry = |i: &usize| {
            let (name, address) = self.endpoints[*i];
            (name.to_string(), TableEntry { address, weight: 256 })
        };
        let assignment = ProxyAssignment { table: 0, admission_per_mille: 1000, allows_retries: false };
        SnapshotContent {
            tables: BTreeMap::from([(0, Table { entries: endpoints.iter().map(entry).collect() })]),
            groups: BTreeMap::from([(
                0,
                ProxyGroup {
                    proxies: BTreeSet::from(["r1".into()]),
                    assignments: BTreeMap::from([("look".into(), assignment)]),
                },
            )]),
            ejected: ejected.iter().map(|name| (*name).to_string()).collect(),
        }
    }

    async fn request(&self) -> String {
        let address = self.proxy.as_ref().expect("started").request_address;
        let mut stream = TcpStream::connect(address).await.expect("connected");
        stream
            .write_all(b"GET /look HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
            .await
            .expect("written");
        let mut text = String::new();
        stream.read_to_string(&mut text).await.expect("answered");
        text.rsplit("\r\n\r\n").next().unwrap_or_default().to_string()
    }

    /// Sends six requests and returns the names of the endpoints that answered them.
    async fn reached_endpoints(&self) -> BTreeSet<String> {
        let mut names = BTreeSet::new();
        for _ in 0..6 {
            names.insert(self.request().await);
        }
        names
    }

    /// Waits until the proxy's status file satisfies the condition, and returns the time that took.
    async fn wait_for_status(
        &self,
        is_expected: impl Fn(&lockcroft_table_format::proto::Status) -> bool,
    ) -> Duration {
        let started_at = Instant::now();
        while !StatusReader::read_one(&self.table_folder(), "r1").is_some_and(|status| is_expected(&status)) {
            assert!(
                started_at.elapsed() < Duration::from_secs(10),
                "{:?}",
                StatusReader::read_one(&self.table_folder(), "r1")
            );
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        started_at.elapsed()
    }

    /// Waits until the proxy has acknowledged a snapshot, and returns the time that took.
    async fn wait_until_applied(&self, epoch: u64, version: u64) -> Duration {
        self.wait_for_status(|status| {
            status.laid.last().is_some_and(|laid| (laid.epoch, laid.version) == (epoch, version))
        })
        .await
    }
}

fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

fn name_set(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_string()).collect()
}

#[test]
fn each_snapshot_is_applied_and_a_restart_continues_with_the_last() {
    run_local(async {
        let mut fixture = Fixture::new().await;
        let mut writer = fixture.writer();
        fixture.start(Duration::from_secs(5)).await;
        assert_eq!(fixture.reached_endpoints().await, name_set(&["e0"]), "the default table");
        writer.write(&fixture.snapshot_content(&[1, 2], &[]), RETENTION).expect("written");
        // A file event triggers a scan long before the poll interval has passed.
        assert!(fixture.wait_until_applied(1, 1).await < Duration::from_secs(4));
        assert_eq!(fixture.reached_endpoints().await, name_set(&["e1", "e2"]));
        writer.write(&fixture.snapshot_content(&[0, 1, 2], &["e2"]), RETENTION).expect("written");
        fixture.wait_until_applied(1, 2).await;
        assert_eq!(
            fixture.reached_endpoints().await,
            name_set(&["e0", "e1"]),
            "an ejected endpoint gets no requests"
        );
        // After a restart without a controller the proxy uses the last snapshot.
        drop(writer);
        fixture.start(Duration::from_millis(50)).await;
        fixture.wait_for_status(|status| status.laid.len() == 1 && status.laid[0].version == 2).await;
        assert_eq!(fixture.reached_endpoints().await, name_set(&["e0", "e1"]));
        // Until a new controller has assigned tables, the proxy keeps those it has, and their ejections.
        let mut next = fixture.writer();
        let without_tables =
            SnapshotContent { ejected: BTreeSet::from(["e0".into()]), ..SnapshotContent::default() };
        next.write(&without_tables, RETENTION).expect("written");
        fixture.wait_until_applied(2, 1).await;
        assert_eq!(fixture.reached_endpoints().await, name_set(&["e1"]));
    });
}

#[test]
fn an_invalid_snapshot_changes_nothing() {
    run_local(async {
        let mut fixture = Fixture::new().await;
        let mut writer = fixture.writer();
        fixture.start(Duration::from_millis(30)).await;
        writer.write(&fixture.snapshot_content(&[1], &[]), RETENTION).expect("written");
        fixture.wait_until_applied(1, 1).await;
        // The next snapshot is a copy of the first one under another number.
        forge(&fixture.table_folder(), 1, 2);
        fixture
            .wait_for_status(|status| {
                status.refused.as_ref().is_some_and(|refused| refused.why.contains("a copy of"))
            })
            .await;
        assert_eq!(fixture.reached_endpoints().await, name_set(&["e1"]));
        writer.write(&fixture.snapshot_content(&[2], &[]), RETENTION).expect_err("the number is in use");
        writer.write(&fixture.snapshot_content(&[2], &[]), RETENTION).expect("the next number is free");
        fixture.wait_for_status(|status| status.refused.is_none()).await;
        assert_eq!(fixture.reached_endpoints().await, name_set(&["e2"]), "the valid snapshot is applied");
    });
}

/// Copies an old snapshot to a new number and makes the copy the current snapshot.
fn forge(tables: &Path, from: u64, to: u64) {
    let epoch = tables.join("e1");
    let (old, new) = (epoch.join(format!("g{from}")), epoch.join(format!("g{to}")));
    std::fs::create_dir(&new).expect("made");
    for entry in std::fs::read_dir(old).expect("exists") {
        let entry = entry.expect("exists");
        std::fs::copy(entry.path(), new.join(entry.file_name())).expect("copied");
    }
    let link = epoch.join("forged");
    std::os::unix::fs::symlink(format!("g{to}"), &link).expect("made");
    std::fs::rename(link, epoch.join("current")).expect("renamed");
}
