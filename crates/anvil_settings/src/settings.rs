//! The checked settings of a host.

use std::{
    fmt,
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration, //
};

use anvil_core::{
    admission,
    claims,
    config,
    id::{
        DataCentreId,
        HostId, //
    },
    lease,
    limits,
    membership,
    placement, //
};
use smol_str::SmolStr;

use crate::{
    log::Log,
    targets::Targets, //
};

/// Settings of a host, after checks and with defaults for absent keys.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the host, unique in the fleet.
    pub host_id: HostId,
    /// Data centre in which the host runs.
    pub data_centre: DataCentreId,
    /// Addresses of the listeners.
    pub listen: Listen,
    /// Secrets of operators and peers.
    pub credentials: Credentials,
    /// Addresses of the platform's services, and names of log streams.
    pub platform: Platform,
    /// Limits on callers' connections and requests.
    pub callers: Callers,
    /// Maximum time that a graceful shutdown waits for open requests.
    pub drain_timeout: Duration,
    /// Admission control per model.
    pub admission: admission::Settings,
    /// Team limits, which apply over all hosts together.
    pub team_limits: limits::Settings,
    /// Failure detection and membership of hosts.
    pub membership: membership::Settings,
    /// How this host follows changes of the configuration.
    pub configuration: config::Settings,
    /// Claims, which ensure that a call runs at most once.
    pub claims: claims::Settings,
    /// Leases that are recorded in the log.
    pub lease: lease::Settings,
    /// Placement of models on engines.
    pub placement: placement::Settings,
    /// Levels, format and rate limit of log lines.
    pub log: Log,
    /// Bounds on the decisions that are kept for operators.
    pub explain: Explain,
    /// Export of metrics.
    pub metrics: Metrics,
    /// How this host selects, observes and calls targets.
    pub targets: Targets,
}

/// Minimum length of a secret, in characters.
pub const SECRET_LENGTH_MIN: usize = 16;
/// Placeholder for a required address until the value from the file is applied.
const UNSET_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

impl Settings {
    /// Creates settings with defaults for all fields that are not passed.
    pub fn new(
        host_id: HostId,
        data_centre: DataCentreId,
        listen: Listen,
        credentials: Credentials,
        platform: Platform,
    ) -> Self {
        Self {
            host_id,
            data_centre,
            listen,
            credentials,
            platform,
            callers: Callers::default(),
            drain_timeout: Duration::from_secs(120),
            admission: admission::Settings::default(),
            team_limits: limits::Settings::default(),
            membership: membership::Settings::default(),
            configuration: config::Settings::default(),
            claims: claims::Settings::default(),
            lease: lease::Settings::default(),
            placement: placement::Settings::default(),
            log: Log::default(),
            explain: Explain::default(),
            metrics: Metrics::default(),
            targets: Targets::default(),
        }
    }

    /// Returns the defaults, with placeholders in the required fields.
    pub(crate) fn defaults() -> Self {
        Self::new(
            HostId::default(),
            DataCentreId::default(),
            Listen {
                callers: UNSET_ADDRESS,
                operators: UNSET_ADDRESS,
                peers: UNSET_ADDRESS,
            },
            Credentials::new("", ""),
            Platform::new(UNSET_ADDRESS, UNSET_ADDRESS, UNSET_ADDRESS),
        )
    }
}

/// Addresses to listen on. Port 0 selects any free port.
#[derive(Clone, Debug)]
pub struct Listen {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for operators.
    pub operators: SocketAddr,
    /// Listener for other hosts.
    pub peers: SocketAddr,
}

/// Secrets by which operators and peers authenticate.
#[derive(Clone)]
pub struct Credentials {
    /// Bearer token of operators. Invariant: at least [`SECRET_LENGTH_MIN`] characters.
    pub operator_token: SmolStr,
    /// Environment variable that contains the token; `None` if the file contains the token itself.
    pub operator_token_env: Option<SmolStr>,
    /// Key that is shared by all hosts. Invariant: at least [`SECRET_LENGTH_MIN`] characters.
    pub peer_key: SmolStr,
    /// Environment variable that contains the key; `None` if the file contains the key itself.
    pub peer_key_env: Option<SmolStr>,
}

impl Credentials {
    /// Creates credentials from the secrets themselves, without environment variables.
    pub fn new(operator_token: impl Into<SmolStr>, peer_key: impl Into<SmolStr>) -> Self {
        Self {
            operator_token: operator_token.into(),
            operator_token_env: None,
            peer_key: peer_key.into(),
            peer_key_env: None,
        }
    }
}

/// Omits the secrets, so that they do not appear in logs and panic messages.
impl fmt::Debug for Credentials {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Credentials")
            .field("operator_token_env", &self.operator_token_env)
            .field("peer_key_env", &self.peer_key_env)
            .finish_non_exhaustive()
    }
}

/// Addresses of the platform's services, and names of log streams.
#[derive(Clone, Debug)]
pub struct Platform {
    /// Address of the log service.
    pub log: SocketAddr,
    /// Address of the service that publishes the list of hosts.
    pub host_list: SocketAddr,
    /// Address of the store from which engines load model weights.
    pub weight_store: SocketAddr,
    /// Name of the log stream that stores the configuration.
    pub config_stream: SmolStr,
    /// Prefix of the names of the log streams that store claims.
    pub claim_stream_prefix: SmolStr,
    /// Prefix of the names of the log streams that store the placers' leases.
    pub lease_stream_prefix: SmolStr,
}

impl Platform {
    /// Creates a platform with these addresses and the default stream names.
    pub fn new(log: SocketAddr, host_list: SocketAddr, weight_store: SocketAddr) -> Self {
        Self {
            log,
            host_list,
            weight_store,
            config_stream: SmolStr::new_static("config"),
            claim_stream_prefix: SmolStr::new_static("claims"),
            lease_stream_prefix: SmolStr::new_static("lease"),
        }
    }
}

/// Limits on callers' connections and requests.
#[derive(Clone, Debug)]
pub struct Callers {
    /// Maximum size of a request body.
    pub body_limit_bytes: usize,
    /// Maximum total size of the headers of a request.
    pub header_limit_bytes: usize,
    /// Maximum time until all headers of a request have arrived.
    pub header_timeout: Duration,
    /// Maximum time until the whole body of a request has arrived.
    pub body_timeout: Duration,
    /// Maximum number of concurrent connections.
    pub connection_limit: usize,
    /// Deadline of a request that does not specify one.
    pub default_deadline: Duration,
}

impl Default for Callers {
    fn default() -> Self {
        Self {
            body_limit_bytes: 1 << 20,
            header_limit_bytes: 16 << 10,
            header_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(20),
            connection_limit: 4096,
            default_deadline: Duration::from_secs(60),
        }
    }
}

/// Export of metrics.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// URL to which metrics are pushed with OTLP over HTTP; `None` disables the push.
    pub otlp_url: Option<SmolStr>,
    /// Interval at which metrics are pushed.
    pub otlp_interval: Duration,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            otlp_url: None,
            otlp_interval: Duration::from_secs(10),
        }
    }
}

/// Bounds on the decisions that are kept for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Explain {
    /// Maximum number of requests whose decisions are kept. The oldest are evicted first.
    pub limit_requests: usize,
    /// Maximum number of decisions that are kept for one request. Once it is reached, the first
    /// half and the latest ones are kept.
    pub limit_records_per_request: usize,
}

impl Default for Explain {
    fn default() -> Self {
        Self {
            limit_requests: 4096,
            limit_records_per_request: 32,
        }
    }
}
