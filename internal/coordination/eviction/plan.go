package eviction

// Parts of the memory of a machine, in bytes or as shares.
const (
	// programBytes is kept for the program itself and the buffers of its sockets; of a machine
	// with less than twice as much it is half.
	programBytes = 48 << 20
	// programShare is kept of a large machine.
	programShare = 0.25
	// clientShare is the share of the heap that clients may hold. The collector lets the heap
	// grow to twice what is in use, and as much is kept for what clients do not cause.
	clientShare = 0.25
)

// Shares of the descriptors of a process. What is left is for leafs, the platform and files.
const (
	callerShare = 0.4
	peerShare   = 0.2
	// operatorShare is the share of each operators' address.
	operatorShare = 1.0 / 16
	// maxOperatorConnections bounds the connections to each operators' address.
	maxOperatorConnections = 64
)

// Plan divides the memory and the descriptors of a process.
type Plan struct {
	// HeapBytes is the size that the heap, the collector's headroom included, should not exceed.
	HeapBytes int64
	// ClientBytes is the memory that clients may make the process hold.
	ClientBytes int64
	// CallerConnections, PeerConnections and OperatorConnections bound the connections from
	// callers, other nodes, and to each operators' address.
	CallerConnections, PeerConnections, OperatorConnections int
}

// NewPlan divides memory, in bytes, and descriptors.
func NewPlan(memory int64, descriptors int) Plan {
	program := min(max(programBytes, int64(programShare*float64(memory))), memory/2)
	heap := memory - program
	return Plan{
		HeapBytes:           heap,
		ClientBytes:         int64(clientShare * float64(heap)),
		CallerConnections:   max(int(callerShare*float64(descriptors)), 1),
		PeerConnections:     max(int(peerShare*float64(descriptors)), 1),
		OperatorConnections: min(max(int(operatorShare*float64(descriptors)), 1), maxOperatorConnections),
	}
}
