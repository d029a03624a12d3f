package peer

// MessageFormat is the version of the messages between VMs. It rises when a field changes its meaning or one that others need is left
// out; a new field alone does not change it, since receivers pass over fields that they do not know. Messages of builds that do not say
// have version 0.
const MessageFormat = 1

// Capabilities says what a VM does for others. A VM relies on a peer only for what the peer says it does: one of an older build says
// nothing.
type Capabilities uint

// Capabilities of a VM.
const (
	// PassesListOn means that the VM passes on what it reads of the list of replicas.
	PassesListOn Capabilities = 1 << iota
	// PassesDeclarationsOn means that it passes on the declarations that it reads.
	PassesDeclarationsOn
	// RelaysConnections means that it opens connections to upstreams for others.
	RelaysConnections
)

// Has reports whether c contains all of the given capabilities.
func (c Capabilities) Has(all Capabilities) bool { return c&all == all }
