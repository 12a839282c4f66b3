package intake

const (
	// ownMemory is what a process takes without clients, in bytes.
	ownMemory = 24 << 20
	// connectionShare is the share of the rest for the connections of clients, each with an ordinary
	// request, and sharedShare that for all that takes more. What is left is for the state of a large
	// deployment and for what the garbage collector has not freed yet.
	connectionShare = 0.3
	sharedShare     = 0.25
	// minShare is the least share of all memory that is divided up, also of a very small one.
	minShare = 0.25
	// connectionBytes is what a connection with an ordinary request under way takes in memory: its
	// buffers, its goroutines and the connection to an upstream.
	connectionBytes = 48 << 10
	// defaultMemory is assumed of a process whose memory is unknown, in bytes, and defaultDescriptors of one
	// whose limit on open files is.
	defaultMemory      = 256 << 20
	defaultDescriptors = 4096
	// minConnections is the least number of connections that a listener takes.
	minConnections = 8
)

// Allowance is what each connection may hold, in bytes as Head counts them, beside what requests share:
// more than ordinary requests take, so that a crowd of others doesn't keep them out.
const Allowance = 16 << 10

// Resources are what a process may use, 0 where unknown.
type Resources struct {
	// Memory is in bytes.
	Memory int64
	// Descriptors is the number of files that may be open.
	Descriptors int
}

// Shared returns the memory in bytes for requests that take more than Allowance.
func (r Resources) Shared() int64 { return int64(sharedShare * r.free()) }

// Connections returns the number of connections that a listener may keep open with a share of the
// descriptors.
func (r Resources) Connections(share float64) int {
	descriptors := r.Descriptors
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	byMemory := int(connectionShare * r.free() / connectionBytes)
	return max(min(int(share*float64(descriptors)), byMemory), minConnections)
}

// free returns the memory in bytes that the process doesn't take for itself.
func (r Resources) free() float64 {
	memory := float64(r.Memory)
	if memory <= 0 {
		memory = defaultMemory
	}
	return max(memory-ownMemory, minShare*memory)
}
