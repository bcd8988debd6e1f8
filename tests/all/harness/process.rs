//! A real process, which is signaled and killed by its id.

use super::{POLL_PERIOD, WAIT_TIMEOUT};
use rustix::process::{Pid, Signal, kill_process};
use std::{
    fs::File,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::Instant,
};

/// A running process. Dropping it kills it.
pub struct Process {
    /// The name, for messages.
    pub name: String,
    command: Vec<String>,
    log: PathBuf,
    child: Child,
}

impl Process {
    /// Starts a program whose log goes to a file in `folder`.
    pub fn start(name: &str, folder: &Path, command: Vec<String>) -> Self {
        let log = folder.join(format!("{name}.log"));
        let child = spawn(&command, &log);
        Self { name: name.into(), command, log, child }
    }

    /// Starts the program again after it has ended.
    pub fn restart(&mut self) {
        self.child = spawn(&self.command, &self.log);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks the process to stop with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Suspends the process with SIGSTOP until [`Process::resume`].
    pub fn suspend(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Returns the exit status if the process has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap()
    }

    /// Waits until the process has ended by itself, and checks that it succeeded.
    pub async fn wait_for_exit(&mut self) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while self.exit_status().is_none() {
            assert!(Instant::now() < deadline, "timed out waiting for {} to end", self.name);
            compio::time::sleep(POLL_PERIOD).await;
        }
        let status = self.exit_status();
        assert!(status.is_some_and(|s| s.success()), "{} ended with {status:?}", self.name);
    }

    /// Returns what the process has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id().try_into().unwrap()).unwrap();
        kill_process(pid, signal).unwrap();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        if std::thread::panicking() {
            let log = self.log();
            let tail: Vec<&str> = log.lines().rev().take(400).collect();
            eprintln!("--- {}", self.name);
            tail.iter().rev().for_each(|line| eprintln!("{line}"));
        }
    }
}

fn spawn(command: &[String], log: &Path) -> Child {
    let file = File::options().create(true).append(true).open(log).unwrap();
    Command::new(&command[0])
        .args(&command[1..])
        .stdin(Stdio::null())
        .stdout(file.try_clone().unwrap())
        .stderr(file)
        .spawn()
        .unwrap()
}
