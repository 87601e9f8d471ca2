package peerwire

// FailureHint tells another host of the outcomes that a host had with a replica. Its
// fields are small numbers, since many hints share a datagram with a heartbeat.
type FailureHint struct {
	//lint:ignore U1000 The msgpack package reads the tag of this field.
	_msgpack struct{} `msgpack:",as_array"`
	// Replica and Source are hashes of the key of the replica and of the address of the
	// host that had the outcomes.
	Replica, Source uint32
	// Attempts and Failures are in quarters. Age is in tenths of a second.
	Attempts, Failures, Age uint8
	// Latency is the latest relative latency, in quarters; zero if there is none.
	Latency uint8
}
