//! The proxy on sockets: endpoints that fail in every way, clients that do nothing, orders cut short.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use lockcroft_proxy::{Proxy, ProxyConfig};
use lockcroft_runtime_api::{Address, dial, request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const UNREAD: &str = "HTTP/1.1 503 Busy\r\nx-unread: 1\r\ncontent-length: 0\r\n\r\n";

/// What an endpoint does with a connection that brought a whole head.
#[derive(Clone, Copy)]
enum Does {
    Says(&'static str),
    /// The same, and closes.
    SaysAndCloses(&'static str),
    SaysAfter(Duration),
    Nothing,
    ClosesUnread,
}

/// An endpoint, and how many heads it was sent.
async fn endpoint(does: Does) -> (SocketAddr, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("bound");
    let count = Rc::new(Cell::new(0));
    let counted = count.clone();
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let counted = counted.clone();
            spawn_local(async move {
                if matches!(does, Does::ClosesUnread) {
                    return;
                }
                let (mut bytes, mut seen) = (vec![0; 300_000], 0);
                while let Ok(read @ 1..) = stream.read(&mut bytes[seen..]).await {
                    seen += read;
                    if !bytes[..seen].windows(4).any(|four| four == b"\r\n\r\n") {
                        continue;
                    }
                    seen = 0;
                    counted.set(counted.get() + 1);
                    match does {
                        Does::Says(text) => drop(stream.write_all(text.as_bytes()).await),
                        Does::SaysAndCloses(text) => {
                            let _ = stream.write_all(text.as_bytes()).await;
                            return;
                        }
                        Does::SaysAfter(time) => {
                            sleep(time).await;
                            let _ = stream.write_all(OK.as_bytes()).await;
                        }
                        Does::Nothing | Does::ClosesUnread => std::future::pending().await,
                    }
                }
            });
        }
    });
    (address, count)
}

struct Stage {
    proxy: Proxy,
    control: Address,
    _folder: tempfile::TempDir,
}

/// A proxy with these servers standing, second tries ordered.
async fn stage(standing: &[SocketAddr], change: impl FnOnce(&mut ProxyConfig)) -> Stage {
    let folder = tempfile::tempdir().expect("a folder");
    let control = Address::Unix(folder.path().join("c.sock"));
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let classes = vec![("look".to_string(), Duration::from_millis(700))];
    let mut post = ProxyConfig::new("p", any, vec![control.clone()], classes);
    post.standing = standing.iter().enumerate().map(|(i, at)| (format!("e{i}"), *at)).collect();
    change(&mut post);
    let proxy = Proxy::start(post).await.expect("started");
    let stage = Stage { proxy, control, _folder: folder };
    stage.tell("set var proc.again_look int(1)").await;
    stage
}

impl Stage {
    async fn tell(&self, line: &str) -> String {
        request(&self.control, line, Duration::from_secs(5)).await.expect("answered")
    }

    /// Status of the final answer.
    async fn visit(&self) -> u16 {
        status(&self.send("GET /look HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").await)
    }

    /// What comes back until the connection ends.
    async fn send(&self, text: &str) -> String {
        let mut stream = TcpStream::connect(self.proxy.visits).await.expect("connected");
        stream.write_all(text.as_bytes()).await.expect("sent");
        let mut said = Vec::new();
        let _ = timeout(Duration::from_secs(5), stream.read_to_end(&mut said)).await.expect("it ends");
        String::from_utf8_lossy(&said).into_owned()
    }
}

fn status(said: &str) -> u16 {
    said.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// The first server fails in this way, the second is well: the final status, and what each was sent.
async fn fails(does: Does) -> (u16, usize, usize) {
    let (bad, well) = (endpoint(does).await, endpoint(Does::Says(OK)).await);
    let stage = stage(&[bad.0, well.0], |_| {}).await;
    // The heavier line comes first.
    stage.tell("set weight standing/e1 1").await;
    let said = stage.visit().await;
    (said, bad.1.get(), well.1.get())
}

#[test]
fn what_may_have_run_is_not_tried_again() {
    run(async {
        assert_eq!(fails(Does::Nothing).await, (504, 1, 0));
        assert_eq!(fails(Does::SaysAndCloses("HT")).await, (502, 1, 0));
        assert_eq!(fails(Does::SaysAndCloses("")).await, (502, 1, 0));
        assert_eq!(
            fails(Does::SaysAndCloses("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhal")).await,
            (502, 1, 0)
        );
        assert_eq!(fails(Does::Says("HTTP/1.1 500 Oh\r\ncontent-length: 0\r\n\r\n")).await, (500, 1, 0));
        // Closed without a word: the bytes were written, whatever became of them.
        let (said, _, second) = fails(Does::ClosesUnread).await;
        assert_eq!((said, second), (502, 0));
    });
}

#[test]
fn proof_brings_one_second_try() {
    run(async {
        assert_eq!(fails(Does::Says(UNREAD)).await, (200, 1, 1));
        let nobody = TcpListener::bind("127.0.0.1:0").await.and_then(|l| l.local_addr()).expect("an address");
        let well = endpoint(Does::Says(OK)).await;
        let first = stage(&[nobody, well.0], |_| {}).await;
        for _ in 0..4 {
            assert_eq!(first.visit().await, 200);
        }
        assert_eq!(well.1.get(), 4);
        // Not where it is not ordered, and never a third.
        first.tell("set var proc.again_look int(0)").await;
        let said = [first.visit().await, first.visit().await];
        assert!(said.contains(&502) && said.contains(&200), "{said:?}");
        let (one, two, three) = (
            endpoint(Does::Says(UNREAD)).await,
            endpoint(Does::Says(UNREAD)).await,
            endpoint(Does::Says(UNREAD)).await,
        );
        let all = stage(&[one.0, two.0, three.0], |_| {}).await;
        assert_eq!(all.visit().await, 503);
        assert_eq!(one.1.get() + two.1.get() + three.1.get(), 2);
    });
}

#[test]
fn a_budget_caps_second_tries_and_large_bodies_have_none() {
    run(async {
        let (bad, well) = (endpoint(Does::Says(UNREAD)).await, endpoint(Does::Says(OK)).await);
        let stage =
            stage(&[bad.0, well.0], |post| (post.second_share, post.max_buffered_body_bytes) = (0.01, 1000))
                .await;
        stage.tell("set weight standing/e1 1").await;
        for _ in 0..20 {
            stage.visit().await;
        }
        assert!(well.1.get() <= 2, "{} second tries for 20 first ones", well.1.get());
        let body = "x".repeat(200_000);
        let large = format!(
            "POST /look HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let before = well.1.get();
        assert_eq!(status(&stage.send(&large).await), 503);
        assert_eq!(well.1.get(), before);
    });
}

/// A kept connection that the endpoint has closed is no try: the visit goes there over a new one.
#[test]
fn a_closed_connection_is_dialled_anew() {
    run(async {
        let (closes, count) = endpoint(Does::SaysAndCloses(OK)).await;
        let stage = stage(&[closes], |_| {}).await;
        for _ in 0..5 {
            assert_eq!(stage.visit().await, 200);
            sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(count.get(), 5);
    });
}

#[test]
fn a_server_that_leaves_ends_its_visits_and_gets_no_more() {
    run(async {
        let (slow, count) = endpoint(Does::SaysAfter(Duration::from_millis(300))).await;
        let stage = Rc::new(stage(&[slow], |_| {}).await);
        let under_way = spawn_local({
            let stage = stage.clone();
            async move { stage.visit().await }
        });
        sleep(Duration::from_millis(100)).await;
        assert!(
            stage
                .tell("set server standing/e0 state maint; del server standing/e0")
                .await
                .contains("deleted")
        );
        assert_eq!(stage.visit().await, 503, "none is left");
        assert_eq!(under_way.await.expect("ended"), 200);
        assert_eq!(count.get(), 1);
        assert!(
            stage.send("GET /look HTTP/1.1\r\nconnection: close\r\n\r\n").await.contains("retry-after: 1")
        );
        stage.tell("set map classes look t9").await;
        assert_eq!(stage.visit().await, 503, "bound to nothing");
        assert_eq!(status(&stage.send("GET /other HTTP/1.1\r\nconnection: close\r\n\r\n").await), 404);
    });
}

#[test]
fn a_level_binds_in_mid_burst_and_for_the_same_clients() {
    run(async {
        let (well, count) = endpoint(Does::Says(OK)).await;
        let stage = stage(&[well], |_| {}).await;
        stage.tell("set var proc.level_look int(0)").await;
        assert_eq!((stage.visit().await, count.get()), (503, 0));
        stage.tell("set var proc.level_look int(400)").await;
        let mut let_in = 0;
        for client in 0..200 {
            let text = format!("GET /look HTTP/1.1\r\nx-client: c{client}\r\nconnection: close\r\n\r\n");
            let (first, again) = (status(&stage.send(&text).await), status(&stage.send(&text).await));
            assert_eq!(first, again, "client {client}");
            let_in += usize::from(first == 200);
        }
        assert!((55..=105).contains(&let_in), "{let_in} of 200 at 0.4");
    });
}

#[test]
fn room_is_waited_for_and_the_latest_are_refused() {
    run(async {
        let (slow, _) = endpoint(Does::SaysAfter(Duration::from_millis(100))).await;
        let change = |post: &mut ProxyConfig| {
            (post.limits.outstanding_most, post.waiting_most) = (1, 2);
            post.queue_timeout = Duration::from_millis(600);
        };
        let stage = Rc::new(stage(&[slow], change).await);
        let visits: Vec<_> = (0..5)
            .map(|_| {
                let stage = stage.clone();
                spawn_local(async move { (stage.visit().await, Instant::now()) })
            })
            .collect();
        let mut said = Vec::new();
        for visit in visits {
            said.push(visit.await.expect("ended").0);
        }
        said.sort_unstable();
        assert_eq!(said, [200, 200, 200, 503, 503]);
    });
}

#[test]
fn silent_and_slow_clients_keep_nobody_waiting() {
    run(async {
        let (well, _) = endpoint(Does::Says(OK)).await;
        let stage = stage(&[well], |post| post.header_timeout = Duration::from_secs(2)).await;
        let mut silent = Vec::new();
        for _ in 0..2000 {
            silent.push(TcpStream::connect(stage.proxy.visits).await.expect("connected"));
        }
        let mut slow = TcpStream::connect(stage.proxy.visits).await.expect("connected");
        slow.write_all(b"GET /look HTTP/1.1\r\n\r\nGET /look HTTP/1.1\r\n\r\n").await.expect("sent");
        let mut byte = [0];
        let slowly = spawn_local(async move {
            // One byte a second, for as long as the test lasts.
            let mut read = 0;
            while slow.read(&mut [0]).await.is_ok_and(|bytes| bytes == 1) && read < 6 {
                read += 1;
                sleep(Duration::from_secs(1)).await;
            }
            read
        });
        let begun = Instant::now();
        for _ in 0..50 {
            assert_eq!(stage.visit().await, 200);
        }
        assert!(begun.elapsed() < Duration::from_secs(2), "{:?}", begun.elapsed());
        // Those who say nothing are cut off in time.
        sleep(Duration::from_millis(2500)).await;
        assert!(matches!(
            timeout(Duration::from_secs(1), silent[0].read(&mut byte)).await,
            Ok(Ok(0) | Err(_))
        ));
        for _ in 0..50 {
            assert_eq!(stage.visit().await, 200);
        }
        assert_eq!(slowly.await.expect("ran"), 6, "one that reads is not cut off");
    });
}

#[test]
fn half_a_line_is_nothing_and_the_rest_makes_it_whole() {
    run(async {
        let (one, two) = (endpoint(Does::Says(OK)).await, endpoint(Does::Says(OK)).await);
        let stage = stage(&[one.0], |_| {}).await;
        let line = format!(
            "add server t0/n {} weight 1; set server t0/n state ready; set map classes look t0\n",
            two.0
        );
        let (first, rest) = line.split_at(line.len() - 20);
        // A pilot that dies in the middle.
        let mut dies = dial(&stage.control).await.expect("dialled");
        dies.write_all(first.as_bytes()).await.expect("sent");
        drop(dies);
        let mut stalls = dial(&stage.control).await.expect("dialled");
        stalls.write_all(first.as_bytes()).await.expect("sent");
        sleep(Duration::from_millis(100)).await;
        assert_eq!((stage.visit().await, one.1.get(), two.1.get()), (200, 1, 0));
        stalls.write_all(rest.as_bytes()).await.expect("sent");
        let mut said = String::new();
        stalls.read_to_string(&mut said).await.expect("answered");
        assert_eq!(said, "New server registered.\n\n\n\n");
        assert_eq!((stage.visit().await, one.1.get(), two.1.get()), (200, 1, 1));
    });
}

#[test]
fn a_set_of_which_one_order_is_refused_changes_nothing() {
    run(async {
        let stage = stage(&[endpoint(Does::Says(OK)).await.0], |_| {}).await;
        let digest = stage.tell("get var proc.digest").await;
        let said = stage.tell("set weight standing/e0 0; set weight standing/e9 1; show backend").await;
        assert_eq!(
            said.matches("Not done, as an order of its set was refused: No such server.").count(),
            2,
            "{said}"
        );
        assert_eq!(stage.tell("get weight standing/e0").await, "256 (initial 256)\n\n");
        assert_eq!(stage.visit().await, 200);
        assert_eq!(stage.tell("get var proc.digest").await, digest);
        stage.tell("set weight standing/e0 255").await;
        assert_ne!(stage.tell("get var proc.digest").await, digest);
    });
}

#[test]
fn what_is_older_and_comes_late_changes_nothing_and_is_told_so() {
    run(async {
        let stage = stage(&[endpoint(Does::Says(OK)).await.0], |_| {}).await;
        let first = "prompt i\nset var proc.epoch int(5)\nset weight standing/e0 100\n";
        let mut old = dial(&stage.control).await.expect("dialled");
        old.write_all(first.as_bytes()).await.expect("sent");
        let mut bytes = [0; 256];
        while stage.tell("get weight standing/e0").await != "100 (initial 256)\n\n" {
            sleep(Duration::from_millis(5)).await;
        }
        let _ = old.read(&mut bytes).await;
        assert_eq!(stage.tell("set var proc.epoch int(6); set weight standing/e0 60").await, "\n\n");
        old.write_all(b"set weight standing/e0 7\n").await.expect("sent");
        let mut said = String::new();
        while !said.contains("Superseded") {
            let read =
                timeout(Duration::from_secs(2), old.read(&mut bytes)).await.expect("in time").expect("read");
            said += &String::from_utf8_lossy(&bytes[..read]);
        }
        assert_eq!(stage.tell("get weight standing/e0").await, "60 (initial 256)\n\n");
        // Two sets prepared, the later one committed first.
        let (mut a, mut b) =
            (dial(&stage.control).await.expect("dialled"), dial(&stage.control).await.expect("dialled"));
        for (stream, weight) in [(&mut a, 11), (&mut b, 22)] {
            let text = format!("prompt i\nprepare map tables\nset weight standing/e0 {weight}\n");
            stream.write_all(text.as_bytes()).await.expect("sent");
            let mut said = String::new();
            while !said.ends_with("\n\n\n") {
                let read = timeout(Duration::from_secs(2), stream.read(&mut bytes))
                    .await
                    .expect("in time")
                    .expect("read");
                said += &String::from_utf8_lossy(&bytes[..read]);
            }
        }
        assert_eq!(
            stage.tell("get weight standing/e0").await,
            "60 (initial 256)\n\n",
            "prepared is not in force"
        );
        b.write_all(b"commit map @2 tables\n").await.expect("sent");
        let _ = b.read(&mut bytes).await.expect("read");
        a.write_all(b"commit map @1 tables\n").await.expect("sent");
        let read = a.read(&mut bytes).await.expect("read");
        assert!(String::from_utf8_lossy(&bytes[..read]).contains("Version number out of range."));
        assert_eq!(stage.tell("get weight standing/e0").await, "22 (initial 256)\n\n");
    });
}

#[test]
fn heads_that_read_two_ways_get_400_and_an_end() {
    run(async {
        let (well, count) = endpoint(Does::Says(OK)).await;
        let stage = stage(&[well], |_| {}).await;
        for head in [
            "content-length: 3\r\ncontent-length: 3\r\n\r\nabc",
            "content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            "transfer-encoding: chunked\r\n\r\nzz\r\nabc",
            "x: a\r\n folded\r\n\r\n",
        ] {
            let said = stage.send(&format!("POST /look HTTP/1.1\r\nhost: x\r\n{head}")).await;
            assert!(said.starts_with("HTTP/1.1 400 "), "{head:?}: {said:?}");
        }
        assert_eq!(count.get(), 0);
        let sound = "POST /look HTTP/1.1\r\nhost: x\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
        assert_eq!(status(&stage.send(sound).await), 200);
    });
}
