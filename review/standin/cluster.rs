//! The project's own programs as separate processes on loopback addresses.

use crate::{http, proxy, record, worker::HOLD_MAX_MS};
use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

/// The program and roles of the deploy file.
const PROGRAM: &str = "target/release/cyclamenloft-platform";
pub const ZONES: [&str; 3] = ["galway-yard", "mayo-yard", "clare-yard"];

/// The processes that this run started, by id, so that they can be ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

pub fn signal(id: u32, name: &str) {
    let _ = Command::new("kill").arg(format!("-{name}")).arg(id.to_string()).status();
}

/// Ends all processes that this run started, and removes its temporary folder.
pub fn kill_all() {
    for id in STARTED.lock().unwrap().drain(..) {
        signal(id, "KILL");
    }
    if let Some(folder) = FOLDER.lock().unwrap().take() {
        thread::sleep(Duration::from_millis(100));
        if std::env::var_os("KEEP").is_some() {
            println!("logs and data are kept in {}", folder.display());
            return;
        }
        let _ = fs::remove_dir_all(folder);
    }
}

pub struct Node {
    pub name: String,
    pub role: &'static str,
    pub zone: &'static str,
    /// Address under which the others know the machine.
    pub ip: String,
    /// Address that the process listens on; differs from `ip` behind a proxy.
    pub bind_ip: String,
    child: Option<Child>,
}

pub struct Cluster {
    pub folder: PathBuf,
    pub nodes: Vec<Node>,
    pub peer_port: u16,
    control_port: u16,
    client_port: u16,
    ready_port: u16,
    net: u8,
    /// Address of the platform's machine service.
    pub cloud: Option<SocketAddr>,
}

fn is_free(ip: &str, port: u16) -> bool {
    TcpListener::bind((ip, port)).is_ok()
}

impl Cluster {
    /// Prepares a control machine and `entries` entry machines in each of three zones. With
    /// `proxied` the control machines listen on other addresses than the ones that they are known
    /// under.
    pub fn new(entries: usize, proxied: bool) -> io::Result<Cluster> {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-{id}"));
        fs::create_dir_all(&folder)?;
        *FOLDER.lock().unwrap() = Some(folder.clone());
        let net = (id % 200 + 20) as u8;
        let mut nodes = Vec::new();
        for (i, zone) in ZONES.iter().enumerate() {
            let machines = (0..entries).map(|e| ("entry", e + 1, 20 + 10 * i + e));
            for (role, number, host) in machines.chain([("control", 1, 10 + i)]) {
                let ip = format!("127.{net}.1.{host}");
                let bind = if proxied && role == "control" { 2 } else { 1 };
                let bind_ip = format!("127.{net}.{bind}.{host}");
                let name = format!("{role}-{zone}-{number}");
                nodes.push(Node { name, role, zone, ip, bind_ip, child: None });
            }
        }
        let free =
            |port: u16| nodes.iter().all(|n| is_free(&n.ip, port) && is_free(&n.bind_ip, port));
        let first = 21_000 + (id % 400) as u16 * 20;
        let mut ports = (0..5_000u16).map(|i| 20_000 + (first - 20_000 + i) % 20_000);
        let mut next = || ports.find(|p| free(*p)).ok_or(io::Error::other("no free port"));
        let (peer_port, control_port) = (next()?, next()?);
        let (client_port, ready_port) = (next()?, next()?);
        Ok(Cluster {
            folder,
            nodes,
            peer_port,
            control_port,
            client_port,
            ready_port,
            net,
            cloud: None,
        })
    }

    /// An address of the loopback network for a stand-in.
    pub fn ip(&self, host: usize) -> String {
        format!("127.{}.3.{host}", self.net)
    }

    fn settings(&self, node: &Node, first_start: bool) -> String {
        let listen = match node.role {
            "control" => format!(r#"{{"control_plane":"{}:{}"}}"#, node.bind_ip, self.control_port),
            _ => format!(
                r#"{{"frontend":"{0}:{1}","readiness_addr":"{0}:{2}"}}"#,
                node.bind_ip, self.client_port, self.ready_port
            ),
        };
        let seeds: Vec<String> = self
            .nodes
            .iter()
            .filter(|n| n.role == "control")
            .map(|n| format!(r#""{}:{}""#, n.ip, self.control_port))
            .collect();
        let data = match node.role {
            "control" => format!("{:?}", self.folder.join(&node.name)),
            _ => "null".into(),
        };
        let zones: Vec<String> = ZONES.iter().map(|z| format!(r#""{z}":"eire-west""#)).collect();
        format!(
            concat!(
                r#"{{"node_name":"{name}","role":"{role}","machine_class":"{class}","#,
                r#""serves":["{serves}"],"ip":"{ip}","bind_ip":"{bind}","zone":"{zone}","#,
                r#""region":"eire-west","zones":{{{zones}}},"listen":{listen},"#,
                r#""port_range":[{peer},{peer}],"seeds":[{seeds}],"bootstrap":{first},"#,
                r#""fault_counted":{counted},"limits":{{"cpu_quota":0.5,"cores":1,"#,
                r#""memory_mb":256,"max_fds":4096,"link_mbps":1000.0,"disk_mb":128}},"#,
                r#""data_dir":{data},"discovery":"registration","entry":"vip","#,
                r#""heartbeat_ms":1100,"policies":["base","drain","config","cost","recover","#,
                r#""sched","advice","upkeep","sharing"],"#,
                r#""fault_tolerance":{{"machines":1,"zones":1,"regions":0}},"#,
                r#""bounds":{{"seed_lag_s":3,"reuse_after_s":2,"stability_window_ms":3000,"#,
                r#""ack_timeout_ms":4000,"catch_up_s":4,"drain_ms":2000,"grace_s":6,"#,
                r#""loss_slack_ms":200,"config_apply_ms":2000,"rollback_slack_ms":250,"#,
                r#""max_skew_ms":5000,"recovery_s":12,"hold_max_ms":{hold},"#,
                r#""stop_timeout_ms":400,"gang_timeout_ms":3000,"cancel_ms":3000,"#,
                r#""visible_ms":3000,"early_ms":250,"finish_s":14,"status_s":120,"#,
                r#""remote_factor":1.5,"checkpoint_s":2,"restore_ms":600,"notice_ms":4500,"#,
                r#""migrate_s":1.5,"maintenance_s":2,"fencing_enforced":true,"lease_ms":3000,"#,
                r#""thaw_ms":300,"pace_ms":100,"harm_ms":4000}},"config_mode":"highest","#,
                r#""control_mode":"invoke","advisor":null,"cloud":{{"address":{cloud},"#,
                r#""rate_per_s":60.0,"duties":[],"duty_per_s":60.0}}}}"#
            ),
            name = node.name,
            role = node.role,
            class = if node.role == "control" { "core" } else { "edge" },
            serves = if node.role == "control" { "control" } else { "edge" },
            ip = node.ip,
            bind = node.bind_ip,
            zone = node.zone,
            zones = zones.join(","),
            listen = listen,
            peer = self.peer_port,
            seeds = seeds.join(","),
            first = first_start,
            counted = node.role == "control",
            data = data,
            hold = HOLD_MAX_MS,
            cloud = self.cloud.map_or("null".into(), |addr| format!("\"{addr}\"")),
        )
    }

    /// Puts proxies between the machines, with the delay of a link between two zones.
    pub fn delay_links(&self) -> io::Result<()> {
        for n in self.nodes.iter().filter(|n| n.role == "control") {
            let addr = |ip: &str| format!("{ip}:{}", self.peer_port).parse().unwrap();
            proxy::start(addr(&n.ip), addr(&n.bind_ip))?;
        }
        Ok(())
    }

    /// Starts the process of a machine.
    pub fn start(&mut self, index: usize, first_start: bool) -> io::Result<()> {
        let node = &self.nodes[index];
        let path = self.folder.join(format!("{}.json", node.name));
        fs::write(&path, self.settings(node, first_start))?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", node.name)))?;
        let child = Command::new(PROGRAM)
            .arg(node.role)
            .env("CYCLAMENLOFT_BOOT", &path)
            .process_group(0)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        STARTED.lock().unwrap().push(child.id());
        record::line(&format!("{} starts, first start {first_start}", node.name));
        self.nodes[index].child = Some(child);
        Ok(())
    }

    pub fn start_all(&mut self) -> io::Result<()> {
        (0..self.nodes.len()).try_for_each(|i| self.start(i, true))
    }

    /// Addresses at which workers and the operator call the control machines.
    pub fn control_addrs(&self) -> Vec<SocketAddr> {
        let controls = self.nodes.iter().filter(|n| n.role == "control");
        controls.map(|n| format!("{}:{}", n.bind_ip, self.control_port).parse().unwrap()).collect()
    }

    /// Address at which clients reach an entry machine.
    pub fn client_addr(&self, entry: usize) -> SocketAddr {
        let entry = self.nodes.iter().filter(|n| n.role == "entry").nth(entry).unwrap();
        format!("{}:{}", entry.bind_ip, self.client_port).parse().unwrap()
    }

    /// Id of the process of a machine.
    pub fn process(&self, index: usize) -> Option<u32> {
        self.nodes[index].child.as_ref().map(Child::id)
    }

    /// Indexes of the control machines.
    pub fn controls(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|i| self.nodes[*i].role == "control").collect()
    }

    pub fn log(&self, index: usize) -> String {
        let path = self.folder.join(format!("{}.log", self.nodes[index].name));
        fs::read_to_string(path).unwrap_or_default()
    }

    /// Returns the index of the control machine that gained the leadership last.
    pub fn leader(&self) -> Option<usize> {
        let term = |i: usize| {
            let log = self.log(i);
            let line = log.lines().rfind(|l| l.contains("leadership-gained"))?.to_string();
            let at = line.find("term")? + 4;
            let digits: String = line[at..]
                .chars()
                .skip_while(|c| !c.is_ascii_digit())
                .take_while(char::is_ascii_digit)
                .collect();
            digits.parse::<u64>().ok()
        };
        self.controls().into_iter().filter_map(|i| Some((term(i)?, i))).max().map(|(_, i)| i)
    }

    /// Sends a configuration until it is acknowledged, as the operator does.
    pub fn configure(&self, config: &str, limit: Duration) -> io::Result<()> {
        let until = Instant::now() + limit;
        let controls = self.control_addrs();
        for i in 0.. {
            let to = controls[i % controls.len()];
            if let Ok((200, _)) =
                http::call(to, "PUT", "/config", &[], config, Duration::from_secs(1))
            {
                record::line("the configuration is acknowledged");
                return Ok(());
            }
            if Instant::now() >= until {
                break;
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err(io::Error::other("the configuration was not acknowledged"))
    }

    /// Waits until the entry machines say that they are ready.
    pub fn wait_ready(&self, limit: Duration) -> io::Result<()> {
        let until = Instant::now() + limit;
        for n in self.nodes.iter().filter(|n| n.role == "entry") {
            let addr: SocketAddr = format!("{}:{}", n.bind_ip, self.ready_port).parse().unwrap();
            loop {
                let probe = http::call(addr, "GET", "/readyz", &[], "", Duration::from_millis(500));
                if matches!(probe, Ok((200, _))) {
                    break;
                }
                if Instant::now() >= until {
                    return Err(io::Error::other(format!("{} is not ready", n.name)));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        record::line("all entry machines are ready");
        Ok(())
    }

    /// Sends a client's request to an entry machine.
    pub fn client(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Result<(u16, String), String> {
        let headers = [("Host", "nony24.example"), ("X-Deadline-Ms", "3000")];
        let addr = self.client_addr(entry);
        let sent = record::now();
        let answer = http::call(addr, method, path, &headers, body, Duration::from_millis(3_000));
        let text = match &answer {
            Ok((status, body)) => {
                format!("{status} {}", body.chars().take(120).collect::<String>())
            }
            Err(e) => format!("no answer: {e}"),
        };
        record::line(&format!("client: {method} {path} sent at {sent} -> {text}"));
        answer.map_err(|e| e.to_string())
    }
}
