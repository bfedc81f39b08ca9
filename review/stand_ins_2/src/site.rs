//! A small deployment: a bulletin, two pop caches of a branch, a parent and the origin.

use crate::platform::{Bulletin, Cache, Content};
use crate::proxy::{free_address, NodeConfig, Proxy, Start, Target, CLASSES};
use crate::Run;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;

pub struct Site {
    pub bulletin: Bulletin,
    pub content: Rc<Content>,
    /// Two pop caches, the parent and the origin.
    pub servers: Vec<Cache>,
    pub targets: Vec<Target>,
    pub listen: SocketAddr,
    pub admin: SocketAddr,
    /// The descriptors that the proxy may hold.
    pub sockets: usize,
    pub config: PathBuf,
}

impl Site {
    pub async fn start(run: &Run) -> Self {
        Self::start_at(run, [Ipv4Addr::LOCALHOST; 4]).await
    }

    /// As [`Self::start`], with the servers at these addresses.
    pub async fn start_at(run: &Run, ips: [Ipv4Addr; 4]) -> Self {
        let content: Rc<Content> = Rc::default();
        let mut servers = Vec::new();
        let mut targets = Vec::new();
        let listed = [
            ("cache-1", "s-000000c1", "town", "box"),
            ("cache-2", "s-000000c2", "town", "box"),
            ("parent", "s-000000a0", "hub", "parent"),
            ("origin", "s-000000b0", "hub", "origin"),
        ];
        for ((name, id, zone, model), ip) in listed.into_iter().zip(ips) {
            let server = Cache::start(name, ip, &content, &run.record).await;
            targets.push(Target { id, address: server.address, zone, model });
            servers.push(server);
        }
        let bulletin = Bulletin::start().await;
        let (listen, admin) = (free_address(), free_address());
        let mut site = Self {
            bulletin,
            content,
            servers,
            targets,
            listen,
            admin,
            sockets: 1_024,
            config: PathBuf::new(),
        };
        site.config = site.configure(run, "node.json", &CLASSES, &[false, false, true]);
        site
    }

    /// Writes the node's configuration with these classes.
    pub fn configure(&self, run: &Run, file: &str, classes: &[&str], writes: &[bool]) -> PathBuf {
        let config = NodeConfig {
            name: "n1",
            listen: self.listen,
            admin: self.admin,
            bulletin: self.bulletin.address,
            targets: &self.targets,
            sockets: self.sockets,
            classes,
            writes,
        };
        run.place.write(file, &config.json())
    }

    /// How the node's proxy is started.
    pub fn start_of<'a>(&'a self, options: &'a str, inherited: Option<&'a TcpListener>) -> Start<'a> {
        let (listen, config) = (self.listen, &self.config);
        Start { name: "n1", listen, config, options, inherited, new_admin: None }
    }

    /// Starts the proxy with these options, and waits until its first second is over: before that nobody sends
    /// SIGHUP.
    pub async fn proxy(&self, run: &Run, options: &str) -> Result<Proxy, String> {
        self.proxy_on(run, options, None).await
    }

    /// As [`Self::proxy`], on the listening socket that the platform holds.
    pub async fn proxy_on(
        &self,
        run: &Run,
        options: &str,
        inherited: Option<&TcpListener>,
    ) -> Result<Proxy, String> {
        let proxy = Proxy::start(&run.place, self.start_of(options, inherited)).await;
        tokio::time::sleep(std::time::Duration::from_millis(1_200)).await;
        let options = options.replace(&format!("{}/", run.place.folder.display()), "");
        run.record.line(format!("the proxy serves, started with {options}"));
        proxy.ok_or_else(|| "the proxy did not start".to_string())
    }
}
