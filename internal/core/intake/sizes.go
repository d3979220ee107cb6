package intake

// Parts of a process's memory. The rest is for the process itself and for garbage: its heap is
// limited to 0.7 of the memory.
const (
	// memoryPart is the part of a process's memory that its callers may make it hold.
	memoryPart = 4
	// answerPart is the size of that budget over the memory for long answers of backend servers.
	answerPart = 2
	// totalNumerator and totalDenominator are the size of all that requests hold over that budget.
	totalNumerator, totalDenominator = 8, 5
	// RequestMemory is what a running request holds beside its body and a long answer: its goroutines and its
	// connection to a backend server.
	RequestMemory = 44 << 10
	// connectionMemory is the memory of a process for each connection at its main port. A connection
	// without a request takes up to 25 KiB, and its receive buffer 8 KiB.
	connectionMemory = 96 << 10
	// raisedPart is the part of the memory for bytes in raised receive buffers, and backlogPart that
	// for connections that were not accepted yet.
	raisedPart  = 64
	backlogPart = 128
	// unlimitedBytes is the budget of a process whose settings state no memory.
	unlimitedBytes = 256 << 20
)

// Size returns the budget in bytes: a quarter of the process's memory, unless it is set.
func Size(memoryMB, setMB int) int64 {
	switch {
	case setMB > 0:
		return int64(setMB) << 20
	case memoryMB > 0:
		return int64(memoryMB) << 20 / memoryPart
	}
	return unlimitedBytes
}

// AnswerSize returns the memory in bytes for long answers of backend servers beside a budget. It is
// separate, so that answers that nobody reads leave room for requests.
func AnswerSize(budget int64) int64 { return budget / answerPart }

// TotalSize returns the memory in bytes for all that requests hold: what the budget counts, long answers, and
// RequestMemory for each request that runs.
func TotalSize(budget int64) int64 { return budget / totalDenominator * totalNumerator }

// Port is a kind of port.
type Port uint8

// The kinds of ports.
const (
	// PortMain is that of callers or, in a process without one, that of peers.
	PortMain Port = iota
	// PortPeers is an entry's port for peers.
	PortPeers
	PortOther
)

// portShare is what one port may take of a process's descriptors and connections.
type portShare struct {
	// descriptors is the divisor of the process's descriptors, and connections that of the
	// connections for which there is memory.
	descriptors, connections uint64
}

// At least an eighth of the descriptors is left for files and for connections of the process that
// belong to no request.
var portShares = map[Port]portShare{
	PortMain:  {descriptors: 2, connections: 1},
	PortPeers: {descriptors: 8, connections: 4},
	PortOther: {descriptors: 16, connections: 8},
}

// Process is the size of a process.
type Process struct {
	// MemoryMB is its memory in MiB, or zero if it is not limited.
	MemoryMB    int
	Descriptors uint64
}

// Connections returns how many connections a port may have: its shares of the descriptors and of
// the memory, and at most its own limit.
func (p Process) Connections(port Port, limit int) int {
	share := portShares[port]
	connections := min(p.Descriptors/share.descriptors, uint64(max(limit, 1)))
	if p.MemoryMB > 0 {
		connections = min(connections, uint64(p.MemoryMB)<<20/connectionMemory/share.connections)
	}
	return int(max(connections, 1))
}

// Requests returns how many requests of callers may run at once, as each may need a connection to a
// backend server: two fifths of the descriptors.
func (p Process) Requests() int { return int(max(p.Descriptors*2/5, 1)) }

// Sizes of receive buffers in bytes, as they are asked for. The kernel lets up to twice as many bytes
// wait in a socket.
const (
	// BaseBuffer is that of a connection.
	BaseBuffer = 4 << 10
	// PeerBuffer is that of a connection that a process made to another one of its deployment.
	PeerBuffer = 32 << 10
	// MaxRaised is the largest one while a long body is read, and minRaised the smallest one that is worth
	// the change.
	MaxRaised = 128 << 10
	minRaised = 16 << 10
	// raisedShare is the part of what is left for raised buffers that one connection gets.
	raisedShare = 4
)

// kernelFactor is the number of bytes that the kernel lets wait for each byte of a buffer asked for.
const kernelFactor = 2

// RaisedSize returns the bytes that may wait in all raised receive buffers together.
func (p Process) RaisedSize() int64 { return int64(p.MemoryMB) << 20 / raisedPart }

// Raised returns the receive buffer for a connection on which a long body arrives, and what it takes
// of the bytes that are left for raised buffers, or zeros if the buffer stays as it is.
func Raised(left int64) (buffer int, bytes int64) {
	buffer = int(min(left/raisedShare/kernelFactor, MaxRaised))
	if buffer < minRaised {
		return 0, 0
	}
	return buffer, int64(buffer) * kernelFactor
}

const (
	minMainBacklog = 384
	minBacklog     = 128
	maxBacklog     = 4096
)

// Backlog returns how many connections may wait to be accepted at a port.
func (p Process) Backlog(port Port) int {
	if p.MemoryMB == 0 {
		return maxBacklog
	}
	if port != PortMain {
		return minBacklog
	}
	return int(min(max(int64(p.MemoryMB)<<20/backlogPart/(BaseBuffer*kernelFactor), minMainBacklog), maxBacklog))
}
