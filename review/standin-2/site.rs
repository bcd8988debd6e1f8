//! A small deployment: the project's programs as processes on loopback addresses, with settings as
//! the platform writes them.

use crate::{
    http::{self, Reply},
    note,
};
use std::{
    fs::{self, File},
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

pub const SIGTERM: i32 = 15;
const SIGKILL: u64 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, arg: u64, unused: u64, unused2: u64, unused3: u64) -> i32;
}

const PROGRAM: &str = "target/release/cyclamenloft-platform";
const CLIENT_PORT: u16 = 8161;
const CONTROL_PORT: u16 = 8166;
const READINESS_PORT: u16 = 8167;
pub const PEER_PORT: u16 = 7720;
const RESERVATION_PORT: u16 = 7799;
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// The bounds that the settings state, as on the sheets of small deployments.
pub const CATCH_UP: Duration = Duration::from_secs(4);
/// Memory of a machine of the core, in MB.
pub const MEMORY_MB: u64 = 256;
pub const RECOVERY: Duration = Duration::from_secs(12);

/// A process of the deployment.
struct Process {
    name: String,
    role: &'static str,
    /// Number within its role, from 1.
    number: u8,
    child: Option<Child>,
}

/// A deployment. Dropping it kills its processes.
pub struct Site {
    dir: PathBuf,
    net: u8,
    /// Whether replicas listen for other processes behind a proxy.
    behind_proxies: bool,
    seeds: u8,
    processes: Vec<Process>,
    _reserved: TcpListener,
}

impl Site {
    /// Prepares a deployment on addresses that no other one uses.
    pub fn new(seeds: u8, behind_proxies: bool) -> io::Result<Self> {
        let first = 40 + (std::process::id() % 160) as u8;
        let nets = (0..160u16).map(|n| 40 + ((u16::from(first) - 40 + n) % 160) as u8);
        let reserve = |net: u8| {
            let addr = SocketAddr::from((Ipv4Addr::new(127, net, 0, 1), RESERVATION_PORT));
            TcpListener::bind(addr).ok().map(|listener| (net, listener))
        };
        let found = nets.into_iter().find_map(reserve);
        let (net, _reserved) = found.ok_or_else(|| io::Error::other("no free addresses"))?;
        let dir = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        note!("addresses 127.{net}.0.0/16");
        Ok(Self { dir, net, behind_proxies, seeds, processes: Vec::new(), _reserved })
    }

    pub fn ip(&self, kind: u8, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, kind, number)
    }

    pub fn control_ip(&self, number: u8) -> Ipv4Addr {
        self.ip(1, number)
    }

    /// Address that a replica binds for other processes.
    pub fn bind_ip(&self, number: u8) -> Ipv4Addr {
        if self.behind_proxies { self.ip(2, number) } else { self.ip(1, number) }
    }

    pub fn control(&self, number: u8) -> SocketAddr {
        (self.control_ip(number), CONTROL_PORT).into()
    }

    pub fn entry(&self, number: u8) -> SocketAddr {
        (self.ip(3, number), CLIENT_PORT).into()
    }

    fn settings(&self, role: &str, number: u8, first_start: bool) -> io::Result<PathBuf> {
        let name = format!("{role}-{number}");
        let zone = ZONES[usize::from(number - 1) % ZONES.len()];
        let (ip, listen, data) = match role {
            "control" => {
                let ip = self.control_ip(number);
                let data = format!("\"{}\"", self.dir.join(&name).display());
                (ip, format!("\"control_plane\":\"{ip}:{CONTROL_PORT}\""), data)
            }
            _ => {
                let ip = self.ip(3, number);
                let ready = format!("\"readiness_addr\":\"{ip}:{READINESS_PORT}\"");
                (ip, format!("\"frontend\":\"{ip}:{CLIENT_PORT}\",{ready}"), "null".into())
            }
        };
        let bind_ip = if role == "control" { self.bind_ip(number) } else { ip };
        let seeds = (1..=self.seeds).map(|n| format!("\"{}\"", self.control(n)));
        let seeds = seeds.collect::<Vec<_>>().join(",");
        let zones = ZONES.map(|z| format!("\"{z}\":\"area\"")).join(",");
        let class = if role == "control" { "core" } else { "edge" };
        let counted = role == "control";
        let text = format!(
            "{{\"node_name\":\"{name}\",\"role\":\"{role}\",\"machine_class\":\"{class}\",\
             \"ip\":\"{ip}\",\"bind_ip\":\"{bind_ip}\",\"zone\":\"{zone}\",\"region\":\"area\",\
             \"zones\":{{{zones}}},\"listen\":{{{listen}}},\"port_range\":[{PEER_PORT},7735],\
             \"seeds\":[{seeds}],\"bootstrap\":{first_start},\"fault_counted\":{counted},\
             \"limits\":{{\"cpu_quota\":0.5,\"cores\":1,\"memory_mb\":{MEMORY_MB},\"max_fds\":4096,\
             \"link_mbps\":1000.0,\"disk_mb\":128}},\"data_dir\":{data},\
             \"discovery\":\"registration\",\"entry\":\"vip\",\"heartbeat_ms\":1000,\
             \"fault_tolerance\":{{\"machines\":1,\"zones\":1,\"regions\":0}},\
             \"bounds\":{{\"seed_lag_s\":3,\"reuse_after_s\":2,\"stability_window_ms\":3000,\
             \"ack_timeout_ms\":4000,\"catch_up_s\":4,\"drain_ms\":2000,\"grace_s\":6,\
             \"loss_slack_ms\":200,\"config_apply_ms\":2000,\"recovery_s\":12,\
             \"hold_max_ms\":6000,\"stop_timeout_ms\":400,\"gang_timeout_ms\":3000,\
             \"cancel_ms\":3000,\"visible_ms\":3000,\"early_ms\":250,\"finish_s\":14,\
             \"status_s\":120,\"maintenance_s\":2,\"lease_ms\":3000}},\
             \"config_mode\":\"highest\",\"control_mode\":\"invoke\"}}"
        );
        let path = self.dir.join(format!("{name}.json"));
        fs::write(&path, text)?;
        Ok(path)
    }

    /// Starts a process, or starts it again.
    pub fn start(&mut self, role: &'static str, number: u8, first_start: bool) -> io::Result<()> {
        let settings = self.settings(role, number, first_start)?;
        let name = format!("{role}-{number}");
        let log = self.dir.join(format!("{name}.log"));
        let log = File::options().append(true).create(true).open(log)?;
        let mut command = Command::new(PROGRAM);
        command.arg(role).env("CYCLAMENLOFT_BOOT", settings);
        command.stdin(Stdio::null()).stderr(log.try_clone()?).stdout(log);
        // The process ends with this one, also if this one is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        let child = command.spawn()?;
        note!("{name} starts (first start: {first_start})");
        self.processes.retain(|p| p.name != name);
        self.processes.push(Process { name, role, number, child: Some(child) });
        Ok(())
    }

    fn process(&mut self, role: &str, number: u8) -> Option<&mut Process> {
        self.processes.iter_mut().find(|p| p.role == role && p.number == number)
    }

    /// Returns the id of a process that runs.
    pub fn process_id(&self, role: &str, number: u8) -> Option<u32> {
        let process = self.processes.iter().find(|p| p.role == role && p.number == number);
        process?.child.as_ref().map(Child::id)
    }

    /// Kills a process.
    pub fn kill(&mut self, role: &str, number: u8) {
        note!("{role}-{number} is killed");
        if let Some(mut child) = self.process(role, number).and_then(|p| p.child.take()) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks a process to stop and waits for its end.
    pub fn terminate(&mut self, role: &str, number: u8) {
        note!("{role}-{number} gets SIGTERM");
        let Some(mut child) = self.process(role, number).and_then(|p| p.child.take()) else {
            return;
        };
        unsafe { kill(child.id() as i32, SIGTERM) };
        thread::spawn(move || {
            let _ = child.wait();
        });
    }

    /// Removes the files of a replica that doesn't run.
    pub fn lose_disk(&self, number: u8) -> io::Result<()> {
        note!("control-{number} loses its disk");
        fs::remove_dir_all(self.dir.join(format!("control-{number}")))
    }

    /// Returns the replica that was elected last, as the logs tell.
    pub fn leader(&self) -> Option<u8> {
        let elected = |p: &Process| {
            let text = fs::read_to_string(self.dir.join(format!("{}.log", p.name))).ok()?;
            let gained = text.lines().filter(|l| l.contains("\"event\":\"leadership-gained\""));
            let term = |l: &str| {
                let rest = l.split("\"term\":").nth(1)?;
                rest.split(|c: char| !c.is_ascii_digit()).next()?.parse::<u64>().ok()
            };
            let last = gained.filter_map(term).last()?;
            Some((last, p.number))
        };
        let replicas = self.processes.iter().filter(|p| p.role == "control" && p.child.is_some());
        replicas.filter_map(elected).max().map(|(_, number)| number)
    }

    /// Returns the lines of a process's log with `text`.
    pub fn log_lines(&self, name: &str, text: &str) -> Vec<String> {
        let log = fs::read_to_string(self.dir.join(format!("{name}.log"))).unwrap_or_default();
        log.lines().filter(|l| l.contains(text)).map(str::to_string).collect()
    }

    /// Sends a configuration to the replicas in turn until one acknowledges it.
    pub fn configure(&self, version: u64, replicas: &[u8], timeout: Duration) -> Option<u8> {
        let body = config(version);
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            for number in replicas {
                let to = self.control(*number);
                let reply = http::call(to, "PUT", "/config", &[], &body, Duration::from_secs(1));
                let status = reply.map_or(0, |r| r.status);
                if status == 200 {
                    note!("operator: config {version} to control-{number}: 200");
                    return Some(*number);
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        note!("operator: config {version} has no acknowledgment");
        None
    }

    /// Waits until an entry host reports that it is ready.
    pub fn until_ready(&self, number: u8, timeout: Duration) -> bool {
        let addr = (self.ip(3, number), READINESS_PORT).into();
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            let reply = http::call(addr, "GET", "/readyz", &[], "", Duration::from_secs(1));
            if reply.is_some_and(|r| r.status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Makes a client's call.
    pub fn client(&self, entry: u8, method: &str, id: &str, body: &str) -> Option<Reply> {
        let headers = [("Host", "h.example"), ("X-Deadline-Ms", "3000")];
        let path = format!("/q/{id}");
        let timeout = Duration::from_secs(3);
        let reply = http::call(self.entry(entry), method, &path, &headers, body, timeout);
        let (status, text) = reply.as_ref().map_or((0, ""), |r| (r.status, r.body.as_str()));
        let retry = reply.as_ref().and_then(|r| r.retry_after.as_deref());
        let retry = retry.map_or(String::new(), |s| format!(" Retry-After {s}"));
        note!("client: {method} {id} at entry-{entry}: {status} {text}{retry}");
        reply
    }

    /// Removes the folder of the deployment. Call it after the processes have ended.
    fn clean(&mut self) {
        for process in &mut self.processes {
            if let Some(mut child) = process.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.dir);
        } else {
            println!("logs in {}", self.dir.display());
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.clean();
    }
}

fn config(version: u64) -> String {
    let route = |name: &str, prefix: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"h.example\",\"path_prefix\":\"{prefix}\",\
             \"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":1000,\
             \"priority\":0,\"service\":\"pool\",\"max_attempts\":4,\"slack_factor\":2.0}}"
        )
    };
    let routes = [route("r-1", "/q/"), route("r-2", &format!("/only-in-{version}/"))].join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{{\"name\":\"pool\",\
         \"health_path\":\"/healthz\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\
         \"admission_control\":true,\"standby\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// Returns a submission of `count` tasks of one core.
pub fn job(spec: &str, count: u32, gpu: u32, estimate_ms: u32, lasts: bool) -> String {
    job_of(spec, count, (1_000, gpu), estimate_ms, lasts)
}

/// Returns a submission of `count` tasks, each of so many thousandths of a core and accelerators.
pub fn job_of(
    spec: &str,
    count: u32,
    (cpu, gpu): (u32, u32),
    estimate_ms: u32,
    lasts: bool,
) -> String {
    let gpu = if gpu > 0 { format!(",\"gpu\":{gpu}") } else { String::new() };
    let lasts = if lasts { ",\"long_running\":true" } else { "" };
    format!(
        "{{\"spec\":\"{spec}\",\"phases\":[{{\"count\":{count},\"cpu\":{cpu},\"mem_mb\":256,\
         \"estimate_ms\":{estimate_ms}{gpu}{lasts}}}]}}"
    )
}
