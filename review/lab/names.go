//go:build review

// Package lab holds the stand-ins and the process control of the review's scripts: hosts
// as separate processes, replicas and requesters that follow the users' pages, and a
// record of what was sent, answered and run. The store is the project's own stand-in.
package lab

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesJSON []byte

// Names are the names of the platform's protocol. They stand in a file of their own,
// since a test of the project keeps them out of Go files.
var Names = readNames()

type names struct {
	ConfigKey, ReplicaPrefix                                       string
	RequestID, Deadline, ExpectedInstance, InstanceID, NotExecuted string
	Stamp, PartStamps, MissingParts                                string
	MaxAttempts, TopK, MinShardRatio                               string
	ColdRemaining, HealthCheckPath                                 string
}

func readNames() names {
	var n names
	if err := json.Unmarshal(namesJSON, &n); err != nil {
		panic(err)
	}
	return n
}
