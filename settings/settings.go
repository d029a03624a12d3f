// Package settings reads and checks the settings of one process, and documents them.
//
// Defaults, ranges and descriptions are in the tags of Settings. The page docs/SETTINGS.md is
// generated from them.
package settings

import "time"

// Settings is what a process learns at its start and never changes.
type Settings struct {
	VM               string `doc:"Name of this VM, as the platform's list gives it." required:"true"`
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
	Peers     string `doc:"IP address and port for the other VMs. The platform's list must give the same. With Gateway, beacons come there as datagrams." default:"127.0.0.1:8082" kind:"address"`
	Readiness string `doc:"With Gateway: IP address and port where the balancer asks whether this VM takes connections." default:"127.0.0.1:8083" kind:"address"`
	Metrics   string `doc:"With Gateway: IP address and port for metrics." default:"127.0.0.1:8084" kind:"address"`
}

// Platform says where the platform's services are.
type Platform struct {
	Log    string `doc:"Base URL of the append-only log." required:"without Gateway" kind:"url"`
	List   string `doc:"Base URL of the list of VMs." required:"without Gateway" kind:"url"`
	Stream string `doc:"Stream of the log that holds the agreed state." default:"cassiabridge"`
}

// Gateway makes the VM serve routes by host and path. It finds them in the metadata store of a platform that has its own
// operators' interface, or in a file, and needs no log and no list.
type Gateway struct {
	Store       string  `doc:"IP address and port of the platform's metadata store. Empty: the VM uses File or else Platform." kind:"address"`
	File        string  `doc:"File that declares routes, pools, upstreams, accounts and VMs (DECLARATIONS.md), where there is no store. It is read again at SIGHUP."`
	RetryRatio  float64 `doc:"Share of the requests for a pool that all VMs together may send to a further upstream." default:"0.2" min:"0" max:"1"`
	RetrySlack  float64 `doc:"Requests that may be sent to a further upstream besides, in each window." default:"20" min:"0" max:"1000000"`
	RetryWindow int     `doc:"Window of the retry budget, in milliseconds." default:"10000" min:"100" max:"600000"`
	Grace       int     `doc:"Time from the signal to stop until the process is killed, in milliseconds." default:"8000" min:"500" max:"3600000"`
	Memory      int     `doc:"Memory that the process may use, in megabytes. 0: no limit is known." default:"0" min:"0" max:"10000000"`
}

// Enabled reports whether the VM serves as a gateway.
func (g Gateway) Enabled() bool { return g.Store != "" || g.File != "" }

// Access holds the credentials of peers and operators.
type Access struct {
	PeerSecret string     `doc:"Secret shared by all VMs, with which a peer proves itself. At least 16 characters." required:"without Gateway" secret:"true"`
	Operators  []Operator `doc:"Operators who may use the resource API."`
}

// Operator is one credential for the resource API.
type Operator struct {
	Name      string `doc:"Name written to the audit trail."`
	TokenHash string `doc:"Hexadecimal SHA-256 of the bearer token."`
	ReadOnly  bool   `doc:"Whether only reads and watches are allowed."`
}

// Limits bounds what one caller can ask for.
type Limits struct {
	BodyBytes      int `doc:"Largest request body, in bytes." default:"4194304" min:"1024" max:"1073741824"`
	HeaderBytes    int `doc:"Largest request header, in bytes." default:"32768" min:"1024" max:"1048576"`
	PromptTokens   int `doc:"Longest prompt, in tokens." default:"65536" min:"1" max:"10000000"`
	OutputTokens   int `doc:"Largest output limit, in tokens." default:"8192" min:"1" max:"1000000"`
	DefaultOutput  int `doc:"Output limit of a call that names none, in tokens." default:"256" min:"1" max:"1000000"`
	QueuedRequests int `doc:"Requests that may wait in one pool's queue." default:"10000" min:"1" max:"10000000"`
	ServiceBytes   int `doc:"Largest answer of a plain service, in bytes." default:"4194304" min:"1024" max:"1073741824"`
}

// Timing holds the periods and timeouts, in milliseconds.
type Timing struct {
	FreshnessMillis     int `doc:"Age after which the agreed state is no longer trusted for keyed requests." default:"2000" min:"200" max:"60000"`
	HeartbeatMillis     int `doc:"Period of heartbeats to VMs that dispatch a lane." default:"250" min:"20" max:"10000"`
	IdleHeartbeatMillis int `doc:"Period of heartbeats to other VMs. A third of PeerDeadMillis at most." default:"500" min:"20" max:"10000"`
	PeerDeadMillis      int `doc:"Silence after which a peer is taken for dead." default:"1500" min:"100" max:"60000"`
	PeerSuspectMillis   int `doc:"Silence after which a VM that dispatches a lane is passed over for jobs." default:"600" min:"50" max:"60000"`
	LogWaitMillis       int `doc:"How long a read waits at the head of the log." default:"500" min:"10" max:"30000"`
	ListMillis          int `doc:"Period at which the list of VMs is read." default:"500" min:"20" max:"60000"`
	LoanMillis          int `doc:"Term of a loan of account tokens." default:"1000" min:"50" max:"60000"`
	TokenWaitMillis     int `doc:"How long a request waits for account tokens before it is refused." default:"400" min:"0" max:"60000"`
	ReportMillis        int `doc:"Period at which engines are asked for their load." default:"200" min:"10" max:"10000"`
	RequestMillis       int `doc:"Longest time for one request." default:"120000" min:"100" max:"3600000"`
	QueueMillis         int `doc:"Longest wait in a pool's queue before a request is refused." default:"100000" min:"10" max:"3600000"`
	ServiceMillis       int `doc:"Timeout of one call to a plain service." default:"10000" min:"10" max:"600000"`
	AppendMillis        int `doc:"How long an append may take, with reading back, before its outcome counts as unknown." default:"3000" min:"50" max:"60000"`
	DrainMillis         int `doc:"Longest graceful shutdown." default:"150000" min:"100" max:"3600000"`
	RetentionMillis     int `doc:"How long the log keeps records. Snapshots are written at half of it." default:"86400000" min:"1000" max:"31536000000"`
}

// Log configures the events that the process writes to standard error.
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
