package callerbudget

const (
	// ConnectionBytes is what a connection is charged while it is open: the buffers and the
	// stack of the HTTP server, and a body of up to FreeBodyBytes.
	ConnectionBytes = 14 << 10
	// FreeBodyBytes is the size up to which a body is covered by the charge of its
	// connection.
	FreeBodyBytes = 4 << 10
	// A head is charged headByteCost for each byte and fieldCost for each line beyond
	// freeHeadCost, which the charge of the connection covers. Parsed, a field of few bytes
	// takes 117 bytes in a map (go1.26).
	headByteCost = 2
	fieldCost    = 128
	freeHeadCost = 8 << 10

	// defaultMemoryMB and defaultOpenFiles are assumed if the settings name none. The latter
	// is what the smallest machine offers.
	defaultMemoryMB  = 256
	defaultOpenFiles = 2870
	// reservedFiles descriptors are for files and listeners. Of the others, callers may have
	// 1/callerShare: the rest is for connections to replicas and other hosts.
	reservedFiles = 200
	callerShare   = 2
	// memoryDivisor is the fraction of the memory that callers may occupy: the rest is for
	// the program, for responses of replicas, and for what the collector has not freed yet.
	memoryDivisor = 5
	// connectionDivisor is the fraction of that which open connections may occupy, and
	// answerDivisor the fraction of it for answers that are being written.
	connectionDivisor = 2
	answerDivisor     = 4
	// peerShare and peerMemoryDivisor are the fractions of the descriptors and of the memory
	// that the connections of other hosts may take. The longest message of a host has 8 MB.
	peerShare         = 4
	peerMemoryDivisor = 8
	minPeerBytes      = 12 << 20
	// minConnections is allowed however little memory there is.
	minConnections = 16
)

// Limits bounds what all callers together make a process hold.
type Limits struct {
	// Bytes bounds the memory, and AnswerBytes the part of it that is held by answers that
	// callers have not read.
	Bytes, AnswerBytes int64
	// Connections bounds the connections.
	Connections int
}

// LimitsFor returns the limits for the callers of a process with the given memory and number of
// descriptors, zero if unknown.
func LimitsFor(memoryMB, openFiles int) Limits {
	return limits(memoryBytes(memoryMB)/memoryDivisor, descriptors(openFiles)/callerShare)
}

// PeerLimitsFor returns the limits for the connections of other hosts to such a process.
func PeerLimitsFor(memoryMB, openFiles int) Limits {
	return limits(max(memoryBytes(memoryMB)/peerMemoryDivisor, minPeerBytes), descriptors(openFiles)/peerShare)
}

func memoryBytes(memoryMB int) int64 {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	return int64(memoryMB) << 20
}

// descriptors returns the number of descriptors that connections may have.
func descriptors(openFiles int) int {
	if openFiles <= 0 {
		openFiles = defaultOpenFiles
	}
	return openFiles - reservedFiles
}

func limits(total int64, connections int) Limits {
	byMemory := int(total / connectionDivisor / ConnectionBytes)
	return Limits{
		Bytes:       total,
		AnswerBytes: total / answerDivisor,
		Connections: max(min(byMemory, connections), minConnections),
	}
}

// HeadCharge returns what a head is charged that has the given numbers of bytes and lines.
func HeadCharge(bytes, lines int) int64 {
	return max(int64(headByteCost*bytes+fieldCost*lines)-freeHeadCost, 0)
}
