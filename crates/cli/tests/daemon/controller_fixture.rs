//! Shared by the tests: a folder with settings, and a controller in it.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use lockcroft_scenario::ControllerProcess;

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_lockcroft");

pub const SETTINGS: &str = r#"
  <zones><zone name="north"/></zones>
  <kinds><kind name="std"/></kinds>
  <classes><class name="look-up" contract-time="1s" patience="2s" earnings="1"/></classes>
  <fleet report-period="500ms" channel-lines-per-s="8000" queue-most-lines="12000"/>
  <rules unserved-most="2s" drain-grace="2s" cold-share="0.25" warm-within="10s" cold-multiple="3" cold-span="2s"/>
  <proxies/>
"#;

pub fn roster(names: &[&str]) -> String {
    let entry = |name: &&str| {
        format!("<server name=\"{name}\" zone=\"north\" kind=\"std\" address=\"127.0.0.1:9\"/>\n")
    };
    format!("<roster>\n{}</roster>\n", names.iter().map(entry).collect::<String>())
}

pub struct ControllerFixture {
    pub folder: tempfile::TempDir,
}

impl ControllerFixture {
    /// Settings without proxies, with a socket of level admin and one of level user.
    pub fn new() -> Self {
        let fixture = ControllerFixture { folder: tempfile::tempdir().expect("a folder") };
        let (admin, user) = (fixture.socket(), fixture.path("user.sock"));
        let text = format!(
            "<lockcroft><runtime><listen address=\"unix:{}\" level=\"admin\"/>\n\
             <listen address=\"unix:{}\" level=\"user\"/></runtime>\n<log form=\"json\"/>{SETTINGS}\
             <roster-file path=\"roster.xml\" look-every=\"50ms\"/></lockcroft>\n",
            admin.display(),
            user.display()
        );
        std::fs::write(fixture.path("roster.xml"), roster(&["e1", "e2"])).expect("written");
        std::fs::write(fixture.path("pilot.xml"), text).expect("written");
        fixture
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    pub fn socket(&self) -> PathBuf {
        self.path("pilot.sock")
    }

    /// A controller that answers commands already.
    pub fn start_controller(&self) -> ControllerProcess {
        let log = self.path("pilot.log");
        let controller =
            ControllerProcess::start(Path::new(PROGRAM), &self.path("pilot.xml"), &log).expect("started");
        self.until("show info", |output| output.contains("Servers: 2"));
        controller
    }

    pub fn ask(&self, command: &str) -> String {
        let output = run(&["ask", &self.socket().display().to_string(), command]);
        String::from_utf8_lossy(&output.stdout).into_owned()
    }

    /// Asks until the answer is as expected, for 10 s at most.
    pub fn until(&self, command: &str, expected: impl Fn(&str) -> bool) -> String {
        let end = Instant::now() + Duration::from_secs(10);
        loop {
            let output = self.ask(command);
            if expected(&output) {
                return output;
            }
            assert!(Instant::now() < end, "{command}: {output}");
            std::thread::sleep(Duration::from_millis(30));
        }
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.path("pilot.log")).unwrap_or_default()
    }
}

pub fn run(words: &[&str]) -> Output {
    Command::new(PROGRAM).args(words).output().expect("the program runs")
}
