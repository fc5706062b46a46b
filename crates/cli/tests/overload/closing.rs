//! Clients of `lockcroft proxy` that close their connection while many of their requests are still unread.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use rustix::process::Signal;
use socket2::SockRef;

use crate::clients::{connect_with_small_window, run_alone, send_some};
use crate::control::ask;
use crate::proxy::ProxyProcess;

/// The time that the endpoint takes for a request.
const WORK: Duration = Duration::from_millis(10);
const REQUEST: &str = "POST /look HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nhi";
const REQUESTS: usize = 2000;
/// Requests that are under way when the connection ends, or whose end the proxy notices with their answer.
const MAX_REQUESTS_AFTER_CLOSE: usize = 2;
/// The time in which the endpoint would serve many of the remaining requests.
const OBSERVATION: Duration = Duration::from_secs(2);

/// An endpoint that counts the requests it receives, and answers each after [`WORK`].
struct CountingEndpoint {
    address: SocketAddr,
    requests: Arc<AtomicUsize>,
}

impl CountingEndpoint {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
        let endpoint = CountingEndpoint {
            address: listener.local_addr().expect("bound"),
            requests: Arc::new(AtomicUsize::new(0)),
        };
        let requests = endpoint.requests.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let requests = requests.clone();
                thread::spawn(move || serve(stream, &requests));
            }
        });
        endpoint
    }

    fn count(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    fn wait_for_first_requests(&self) {
        while self.count() < 5 {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

fn serve(mut stream: TcpStream, requests: &AtomicUsize) {
    let mut buffer = [0; 4096];
    while let Ok(read @ 1..) = stream.read(&mut buffer) {
        if buffer[..read].windows(4).any(|bytes| bytes == b"\r\n\r\n") {
            requests.fetch_add(1, Ordering::Relaxed);
            thread::sleep(WORK);
            if stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").is_err() {
                return;
            }
        }
    }
}

/// Sends many requests at once, closes the connection by `close` after the first ones were forwarded, and returns how
/// many are forwarded afterwards.
fn requests_after(close: impl FnOnce(TcpStream)) -> usize {
    let endpoint = CountingEndpoint::start();
    let proxy = ProxyProcess::start(endpoint.address);
    let mut stream = connect_with_small_window(proxy.address);
    send_some(&mut stream, REQUEST.repeat(REQUESTS).as_bytes());
    endpoint.wait_for_first_requests();
    close(stream);
    let before = endpoint.count();
    thread::sleep(OBSERVATION);
    let after = endpoint.count() - before;
    println!("{after} requests were forwarded after the close, {before} before");
    after
}

/// Guards against effects of requests that nobody waits for.
#[test]
fn requests_of_a_client_that_closed_with_unread_answers_are_not_forwarded() {
    let _alone = run_alone();
    let after = requests_after(drop);
    assert!(after <= MAX_REQUESTS_AFTER_CLOSE, "{after} requests");
}

#[test]
fn requests_of_a_client_that_reset_its_connection_are_not_forwarded() {
    let _alone = run_alone();
    let after = requests_after(|stream| {
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("set");
    });
    assert!(after <= MAX_REQUESTS_AFTER_CLOSE, "{after} requests");
}

#[test]
fn requests_of_a_client_that_read_all_answers_and_closed_are_not_forwarded() {
    let _alone = run_alone();
    let after = requests_after(|mut stream| {
        stream.set_nonblocking(true).expect("set");
        while let Ok(1..) = stream.read(&mut [0; 4096]) {}
    });
    assert!(after <= MAX_REQUESTS_AFTER_CLOSE, "{after} requests");
}

/// The proxy reads nothing until the client has reset its connection.
#[test]
fn requests_that_were_all_unread_when_the_client_reset_its_connection_are_not_forwarded() {
    let _alone = run_alone();
    let endpoint = CountingEndpoint::start();
    let proxy = ProxyProcess::start(endpoint.address);
    // The proxy has an idle connection to the endpoint, on which a request could leave at once.
    proxy.assert_answers();
    let before = endpoint.count();
    for _ in 0..50 {
        proxy.pause();
        let mut stream = connect_with_small_window(proxy.address);
        send_some(&mut stream, REQUEST.repeat(20).as_bytes());
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("set");
        drop(stream);
        proxy.signal(Signal::CONT);
        thread::sleep(5 * WORK);
    }
    let after = endpoint.count() - before;
    println!("{after} requests were forwarded");
    assert_eq!(after, 0);
}

/// Guards against commands that take effect though the client has gone without reading the answers to earlier ones.
#[test]
fn commands_of_a_client_that_closed_with_unread_answers_are_not_executed() {
    let _alone = run_alone();
    let endpoint = CountingEndpoint::start();
    let proxy = ProxyProcess::start(endpoint.address);
    proxy.pause();
    let mut stream = UnixStream::connect(proxy.control_socket()).expect("connected");
    let lines: String = (0..500).map(|number| format!("set var proc.name-{number} int(1)\n")).collect();
    stream.write_all(format!("prompt i\n{lines}").as_bytes()).expect("sent");
    drop(stream);
    proxy.signal(Signal::CONT);
    thread::sleep(Duration::from_millis(500));
    let answer = ask(&proxy.control_socket(), "get var proc.name-3; get var proc.name-499\n");
    println!("{answer}");
    assert_eq!(answer.matches("undefined").count(), 2, "{answer}");
}

/// A client that closed only its sending side still waits for all answers.
#[test]
fn requests_of_a_client_that_closed_its_sending_side_are_answered() {
    let _alone = run_alone();
    let after = requests_after(|stream| {
        stream.shutdown(std::net::Shutdown::Write).expect("open");
        // The connection stays open for reading beyond this test's observation.
        std::mem::forget(stream);
    });
    assert!(after > MAX_REQUESTS_AFTER_CLOSE, "{after} requests");
}
