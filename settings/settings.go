// Package settings reads and checks the settings of a process, and generates their documentation.
//
// Defaults, ranges and descriptions are in the struct tags of Settings. docs/SETTINGS.md is generated from them.
package settings

import "time"

// Settings holds the settings of a process. They are read at its start. At SIGHUP a gateway applies a changed Log.Level.
type Settings struct {
	VM               string `doc:"Name of this VM, as in the platform's list of VMs." required:"true"`
	AvailabilityZone string `doc:"Availability zone of this VM." required:"true"`
	Listen           Listen
	Platform         Platform
	Gateway          Gateway
	Access           Access
	Limits           Limits
	Timing           Timing
	Log              Log
}

// Listen holds the addresses on which the process accepts connections.
type Listen struct {
	Callers   string `doc:"IP address and port for callers." default:"127.0.0.1:8080" kind:"address"`
	Operators string `doc:"IP address and port for the resource API, metrics and health." default:"127.0.0.1:8081" kind:"address"`
	Peers     string `doc:"IP address and port for the other VMs. Must match the address in the platform's list. With Gateway, beacons are received there as UDP datagrams. Connections to upstreams are opened there for other VMs, over TCP." default:"127.0.0.1:8082" kind:"address"`
	Readiness string `doc:"With Gateway: IP address and port of the readiness check for the load balancer." default:"127.0.0.1:8083" kind:"address"`
	Metrics   string `doc:"With Gateway: IP address and port for metrics." default:"127.0.0.1:8084" kind:"address"`
}

// Platform holds the locations of the platform's services.
type Platform struct {
	Log    string `doc:"Base URL of the append-only log." required:"without Gateway" kind:"url"`
	List   string `doc:"Base URL of the list of VMs." required:"without Gateway" kind:"url"`
	Stream string `doc:"Stream of the log that holds the replicated state." default:"cassiabridge"`
}

// Gateway makes the VM serve routes by host and path. It reads them from a file or, if operators declare them on a
// platform, from the platform's metadata store. It needs neither the log nor the list of VMs.
type Gateway struct {
	Store       string  `doc:"IP address and port of the platform's metadata store. Empty: the VM uses File or else Platform." kind:"address"`
	File        string  `doc:"File that declares routes, pools, upstreams, accounts and VMs (DECLARATIONS.md), where there is no store. It is read again at SIGHUP."`
	RetryRatio  float64 `doc:"Retry budget of a pool over all VMs: share of its requests that may be retried on another upstream." default:"0.2" min:"0" max:"1"`
	RetrySlack  float64 `doc:"Retries allowed in each window in addition to the share." default:"20" min:"0" max:"1000000"`
	RetryWindow int     `doc:"Window of the retry budget, in milliseconds." default:"10000" min:"100" max:"600000"`
	Grace       int     `doc:"Time from the stop signal until the process is killed, in milliseconds." default:"8000" min:"500" max:"3600000"`
	// Regions maps the names of availability zones to those of their regions.
	Regions     map[string]string `doc:"Region of each availability zone, by the zone's name. Empty: no region is known."`
	ColdOverrun float64           `doc:"Requests that a cold upstream tolerates from all VMs in any second, as a multiple of the rate that is declared for it. 0: 1." default:"0" min:"0" max:"100"`
	ColdSlack   float64           `doc:"Requests that a cold upstream tolerates in addition in any second." default:"0" min:"0" max:"1000000"`
	Memory      int               `doc:"Memory that the process may use, in megabytes. 0: the limit is not known." default:"0" min:"0" max:"10000000"`
}

// Enabled reports whether the VM serves as a gateway.
func (g Gateway) Enabled() bool { return g.Store != "" || g.File != "" }

// Access holds the credentials of peers and operators.
type Access struct {
	PeerSecret string     `doc:"Secret shared by all VMs, with which peers authenticate. At least 16 characters." required:"without Gateway" secret:"true"`
	Operators  []Operator `doc:"Operators who may use the resource API."`
}

// Operator is one credential for the resource API.
type Operator struct {
	Name      string `doc:"Name written to the audit trail."`
	TokenHash string `doc:"Hexadecimal SHA-256 of the bearer token."`
	ReadOnly  bool   `doc:"Whether only reads and watches are allowed."`
}

// Limits bounds the sizes of requests, responses and queues.
type Limits struct {
	BodyBytes      int `doc:"Largest request body, in bytes." default:"4194304" min:"1024" max:"1073741824"`
	HeaderBytes    int `doc:"Largest request header, in bytes." default:"32768" min:"1024" max:"1048576"`
	PromptTokens   int `doc:"Longest prompt, in tokens." default:"65536" min:"1" max:"10000000"`
	OutputTokens   int `doc:"Largest output limit, in tokens." default:"8192" min:"1" max:"1000000"`
	DefaultOutput  int `doc:"Output limit of a call that does not set one, in tokens." default:"256" min:"1" max:"1000000"`
	QueuedRequests int `doc:"Requests that may wait in one pool's queue." default:"10000" min:"1" max:"10000000"`
	ServiceBytes   int `doc:"Largest response of a plain service, in bytes." default:"4194304" min:"1024" max:"1073741824"`
}

// Timing holds the periods and timeouts, in milliseconds.
type Timing struct {
	FreshnessMillis     int `doc:"Age after which the replicated state is no longer trusted for keyed requests." default:"2000" min:"200" max:"60000"`
	HeartbeatMillis     int `doc:"Period of heartbeats to VMs that dispatch a lane." default:"250" min:"20" max:"10000"`
	IdleHeartbeatMillis int `doc:"Period of heartbeats to other VMs. A third of PeerDeadMillis at most." default:"500" min:"20" max:"10000"`
	PeerDeadMillis      int `doc:"Silence after which a peer is considered dead." default:"1500" min:"100" max:"60000"`
	PeerSuspectMillis   int `doc:"Silence after which a VM that dispatches a lane is sent no more jobs." default:"600" min:"50" max:"60000"`
	LogWaitMillis       int `doc:"How long a read waits at the head of the log." default:"500" min:"10" max:"30000"`
	ListMillis          int `doc:"Period at which the list of VMs is read." default:"500" min:"20" max:"60000"`
	LoanMillis          int `doc:"Term of a loan of account tokens." default:"1000" min:"50" max:"60000"`
	TokenWaitMillis     int `doc:"How long a request waits for account tokens before it is refused." default:"400" min:"0" max:"60000"`
	ReportMillis        int `doc:"Period at which engines are asked for their load." default:"200" min:"10" max:"10000"`
	RequestMillis       int `doc:"Longest time for one request." default:"120000" min:"100" max:"3600000"`
	QueueMillis         int `doc:"Longest wait in a pool's queue before a request is refused." default:"100000" min:"10" max:"3600000"`
	ServiceMillis       int `doc:"Timeout of one call to a plain service." default:"10000" min:"10" max:"600000"`
	AppendMillis        int `doc:"How long an append to the log and reading it back may take before its outcome is considered unknown." default:"3000" min:"50" max:"60000"`
	DrainMillis         int `doc:"Longest time for a graceful shutdown." default:"150000" min:"100" max:"3600000"`
	RetentionMillis     int `doc:"How long the log keeps records. Snapshots are written at half of it." default:"86400000" min:"1000" max:"31536000000"`
}

// Log configures the log of the process.
type Log struct {
	Level string `doc:"Lowest level written." default:"info" oneof:"debug info warn error"`
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Freshness returns FreshnessMillis as a duration.
func (t Timing) Freshness() time.Duration { return millis(t.FreshnessMillis) }

// Heartbeat returns HeartbeatMillis as a duration.
func (t Timing) Heartbeat() time.Duration { return millis(t.HeartbeatMillis) }

// IdleHeartbeat returns IdleHeartbeatMillis as a duration.
func (t Timing) IdleHeartbeat() time.Duration { return millis(t.IdleHeartbeatMillis) }

// PeerDead returns PeerDeadMillis as a duration.
func (t Timing) PeerDead() time.Duration { return millis(t.PeerDeadMillis) }

// PeerSuspect returns PeerSuspectMillis as a duration.
func (t Timing) PeerSuspect() time.Duration { return millis(t.PeerSuspectMillis) }

// LogWait returns LogWaitMillis as a duration.
func (t Timing) LogWait() time.Duration { return millis(t.LogWaitMillis) }

// List returns ListMillis as a duration.
func (t Timing) List() time.Duration { return millis(t.ListMillis) }

// Loan returns LoanMillis as a duration.
func (t Timing) Loan() time.Duration { return millis(t.LoanMillis) }

// TokenWait returns TokenWaitMillis as a duration.
func (t Timing) TokenWait() time.Duration { return millis(t.TokenWaitMillis) }

// Report returns ReportMillis as a duration.
func (t Timing) Report() time.Duration { return millis(t.ReportMillis) }

// Request returns RequestMillis as a duration.
func (t Timing) Request() time.Duration { return millis(t.RequestMillis) }

// Queue returns QueueMillis as a duration.
func (t Timing) Queue() time.Duration { return millis(t.QueueMillis) }

// Service returns ServiceMillis as a duration.
func (t Timing) Service() time.Duration { return millis(t.ServiceMillis) }

// Append returns AppendMillis as a duration.
func (t Timing) Append() time.Duration { return millis(t.AppendMillis) }

// Drain returns DrainMillis as a duration.
func (t Timing) Drain() time.Duration { return millis(t.DrainMillis) }

// Retention returns RetentionMillis as a duration.
func (t Timing) Retention() time.Duration { return millis(t.RetentionMillis) }
