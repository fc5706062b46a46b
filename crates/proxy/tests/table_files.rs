//! A proxy that reads its tables from a folder, on real files and sockets, with no pilot anywhere.

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

const KEEP: RetentionPolicy = RetentionPolicy { generations: 4, earlier_epochs: true };

/// An endpoint that answers with its own name.
async fn endpoint(name: &'static str) -> SocketAddr {
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

struct Stage {
    folder: tempfile::TempDir,
    proxy: Option<Proxy>,
    endpoints: Vec<(&'static str, SocketAddr)>,
}

impl Stage {
    async fn new() -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        std::fs::create_dir(folder.path().join("tables")).expect("made");
        let keys = folder.path().join("keys");
        std::fs::write(&keys, format!("k1 {}\n", "ab".repeat(32))).expect("written");
        std::fs::set_permissions(&keys, std::fs::Permissions::from_mode(0o600)).expect("set");
        let endpoints =
            vec![("e0", endpoint("e0").await), ("e1", endpoint("e1").await), ("e2", endpoint("e2").await)];
        Stage { folder, proxy: None, endpoints }
    }

    fn tables(&self) -> PathBuf {
        self.folder.path().join("tables")
    }

    fn writer(&self) -> SnapshotWriter {
        let keys = read_keys(&self.folder.path().join("keys")).expect("sound");
        SnapshotWriter::take(&self.tables(), "p", keys).expect("taken")
    }

    /// A proxy that stands on the first endpoint.
    async fn start(&mut self, look_every: Duration) {
        if let Some(proxy) = self.proxy.take() {
            proxy.stop().await;
        }
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let classes = vec![("look".to_string(), Duration::from_secs(2))];
        let mut post = ProxyConfig::new("r1", any, vec![], classes);
        post.standing = vec![("e0".into(), self.endpoints[0].1)];
        let keys = self.folder.path().join("keys");
        post.files = Some(TableFilesConfig { folder: self.tables(), keys, look_every });
        self.proxy = Some(Proxy::start(post).await.expect("started"));
    }

    /// A table of these endpoints for the proxy.
    fn content(&self, lines: &[usize], withdrawn: &[&str]) -> SnapshotContent {
        let line = |i: &usize| {
            let (name, address) = self.endpoints[*i];
            (name.to_string(), TableEntry { address, weight: 256 })
        };
        let bound = ProxyAssignment { table: 0, level: 1000, again: false };
        SnapshotContent {
            tables: BTreeMap::from([(0, Table { lines: lines.iter().map(line).collect() })]),
            groups: BTreeMap::from([(
                0,
                ProxyGroup {
                    proxies: BTreeSet::from(["r1".into()]),
                    bound: BTreeMap::from([("look".into(), bound)]),
                },
            )]),
            withdrawn: withdrawn.iter().map(|name| (*name).to_string()).collect(),
        }
    }

    async fn visit(&self) -> String {
        let at = self.proxy.as_ref().expect("started").visits;
        let mut stream = TcpStream::connect(at).await.expect("connected");
        stream
            .write_all(b"GET /look HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
            .await
            .expect("written");
        let mut text = String::new();
        stream.read_to_string(&mut text).await.expect("answered");
        text.rsplit("\r\n\r\n").next().unwrap_or_default().to_string()
    }

    /// Whom six visits reach.
    async fn reached(&self) -> BTreeSet<String> {
        let mut names = BTreeSet::new();
        for _ in 0..6 {
            names.insert(self.visit().await);
        }
        names
    }

    /// Until the proxy has written that it laid, or refused, what is wanted.
    async fn told(&self, wanted: impl Fn(&lockcroft_table_format::proto::Status) -> bool) -> Duration {
        let begun = Instant::now();
        while !StatusReader::of(&self.tables(), "r1").is_some_and(|status| wanted(&status)) {
            assert!(
                begun.elapsed() < Duration::from_secs(10),
                "{:?}",
                StatusReader::of(&self.tables(), "r1")
            );
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        begun.elapsed()
    }

    async fn laid(&self, epoch: u64, version: u64) -> Duration {
        self.told(|status| {
            status.laid.last().is_some_and(|laid| (laid.epoch, laid.version) == (epoch, version))
        })
        .await
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_string()).collect()
}

#[test]
fn it_follows_each_generation_and_starts_from_the_last() {
    run(async {
        let mut stage = Stage::new().await;
        let mut writer = stage.writer();
        stage.start(Duration::from_secs(5)).await;
        assert_eq!(stage.reached().await, names(&["e0"]), "the standing table");
        writer.write(&stage.content(&[1, 2], &[]), KEEP).expect("written");
        // Long before it would look by itself: the system told it.
        assert!(stage.laid(1, 1).await < Duration::from_secs(4));
        assert_eq!(stage.reached().await, names(&["e1", "e2"]));
        writer.write(&stage.content(&[0, 1, 2], &["e2"]), KEEP).expect("written");
        stage.laid(1, 2).await;
        assert_eq!(stage.reached().await, names(&["e0", "e1"]), "who is withdrawn gets nothing");
        // The pilot is gone for good, the proxy is started anew: it has its tables.
        drop(writer);
        stage.start(Duration::from_millis(50)).await;
        stage.told(|status| status.laid.len() == 1 && status.laid[0].version == 2).await;
        assert_eq!(stage.reached().await, names(&["e0", "e1"]));
        // Another pilot has put it on no table yet: it keeps them, and what was withdrawn stays so.
        let mut next = stage.writer();
        let bare = SnapshotContent { withdrawn: BTreeSet::from(["e0".into()]), ..SnapshotContent::default() };
        next.write(&bare, KEEP).expect("written");
        stage.laid(2, 1).await;
        assert_eq!(stage.reached().await, names(&["e1"]));
    });
}

#[test]
fn what_is_not_sound_changes_nothing() {
    run(async {
        let mut stage = Stage::new().await;
        let mut writer = stage.writer();
        stage.start(Duration::from_millis(30)).await;
        writer.write(&stage.content(&[1], &[]), KEEP).expect("written");
        stage.laid(1, 1).await;
        // The next generation is spoilt before anybody looks: written elsewhere, then moved in.
        spoil(&stage.tables(), 1, 2);
        stage
            .told(|status| status.refused.as_ref().is_some_and(|refused| refused.why.contains("a copy of")))
            .await;
        assert_eq!(stage.reached().await, names(&["e1"]));
        writer.write(&stage.content(&[2], &[]), KEEP).expect_err("its place is taken");
        writer.write(&stage.content(&[2], &[]), KEEP).expect("the next number is free");
        stage.told(|status| status.refused.is_none()).await;
        assert_eq!(stage.reached().await, names(&["e2"]), "and what is sound is laid");
    });
}

/// The old generation's files under a new number, made current.
fn spoil(tables: &Path, from: u64, to: u64) {
    let epoch = tables.join("e1");
    let (old, new) = (epoch.join(format!("g{from}")), epoch.join(format!("g{to}")));
    std::fs::create_dir(&new).expect("made");
    for entry in std::fs::read_dir(old).expect("there") {
        let entry = entry.expect("there");
        std::fs::copy(entry.path(), new.join(entry.file_name())).expect("copied");
    }
    let link = epoch.join("forged");
    std::os::unix::fs::symlink(format!("g{to}"), &link).expect("made");
    std::fs::rename(link, epoch.join("current")).expect("swapped");
}
