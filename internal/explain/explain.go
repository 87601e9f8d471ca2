// Package explain reconstructs the timeline of one request from the logs of hosts.
//
// Logs consist of lines of key=value pairs. The timeline has the lines about the
// request. For each host that logged some, it also has the host's last state
// changes before the answer: lines about the configuration and the replicas that
// the host knew, for example. Unreadable lines are left out and counted by reason.
package explain

import (
	"bufio"
	"cmp"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// The keys that have a meaning here, and the value of key "event" that marks the
// state changes of a host.
const (
	fieldTime        = "time"
	fieldHost        = "host"
	fieldRequest     = "request"
	fieldMessage     = "message"
	fieldEvent       = "event"
	eventStateChange = "belief"
)

// maxLineBytes is the largest size of a line that is read.
const maxLineBytes = 64 << 10

// stateChangesPerHost is the maximum number of state changes of a host in a
// timeline.
const stateChangesPerHost = 6

// Line is one line of a log. It is also printed as JSON, under its field names.
type Line struct {
	Time time.Time
	Host string
	// Message says what happened.
	Message string
	// Fields are the other pairs, in the order of the line.
	Fields []Field
	// Belief is set if the line reports a state change of the host.
	Belief bool
}

// Field is one key=value pair of a line.
type Field struct{ Name, Value string }

// Reason is the reason why a line was left out.
type Reason string

// The reasons for leaving out a line.
const (
	// ReasonNoPairs means that the line does not consist of key=value pairs or has
	// no message.
	ReasonNoPairs Reason = "not key=value pairs"
	// ReasonNoTime means that the line has no time, or one in another format.
	ReasonNoTime Reason = "no readable time"
	// ReasonNoHost means that a line about a request or a state change does not name
	// its host.
	ReasonNoHost Reason = "no host"
	// ReasonTooLong means that the line is longer than maxLineBytes.
	ReasonTooLong Reason = "too long"
)

// Timeline is what the logs say about one request, in order of time. It is also
// printed as JSON, under its field names.
type Timeline struct {
	Request string
	Lines   []Line
	// LeftOut counts the lines that could not be read.
	LeftOut map[Reason]int
	// Clocks is set if the timeline has lines of several hosts. These are ordered by
	// the hosts' own clocks, which may differ.
	Clocks bool
}

// Read reads logs and returns the timeline of a request.
func Read(request string, logs ...io.Reader) (*Timeline, error) {
	t := &Timeline{Request: request, LeftOut: make(map[Reason]int)}
	stateChanges := make(map[string][]Line)
	for _, log := range logs {
		if err := t.readLog(log, stateChanges); err != nil {
			return nil, err
		}
	}
	t.addStateChanges(stateChanges)
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return t, nil
}

func (t *Timeline) readLog(log io.Reader, stateChanges map[string][]Line) error {
	r := bufio.NewReaderSize(log, maxLineBytes)
	for {
		text, err := r.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			t.LeftOut[ReasonTooLong]++
			err = skipLine(r)
			text = nil
		}
		if len(strings.TrimSpace(string(text))) > 0 {
			t.addLine(string(text), stateChanges)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func skipLine(r *bufio.Reader) error {
	for {
		_, err := r.ReadSlice('\n')
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}

// addLine adds a line to the timeline or to the state changes of its host, or
// counts it as left out. It ignores lines about other requests.
func (t *Timeline) addLine(text string, stateChanges map[string][]Line) {
	line, request, reason := parseLine(text)
	switch {
	case reason != "":
		t.LeftOut[reason]++
	case request == t.Request:
		t.Lines = append(t.Lines, line)
	case line.Belief:
		stateChanges[line.Host] = append(stateChanges[line.Host], line)
	}
}

func parseLine(text string) (line Line, request string, reason Reason) {
	d := logfmt.NewDecoder(strings.NewReader(text))
	hasTime := false
	if d.ScanRecord() {
		for d.ScanKeyval() {
			name, value := string(d.Key()), string(d.Value())
			switch name {
			case fieldTime:
				var err error
				line.Time, err = time.Parse(time.RFC3339Nano, value)
				hasTime = err == nil
			case fieldHost:
				line.Host = value
			case fieldRequest:
				request = value
			case fieldMessage:
				line.Message = value
			case fieldEvent:
				line.Belief = value == eventStateChange
			default:
				line.Fields = append(line.Fields, Field{name, value})
			}
		}
	}
	switch {
	case d.Err() != nil || line.Message == "":
		return line, "", ReasonNoPairs
	case !hasTime:
		return line, "", ReasonNoTime
	case line.Host == "" && (request != "" || line.Belief):
		return line, "", ReasonNoHost
	default:
		return line, request, ""
	}
}

// addStateChanges adds, for each host in the timeline, its last state changes before
// its last line about the request.
func (t *Timeline) addStateChanges(stateChanges map[string][]Line) {
	lastLineTime := make(map[string]time.Time)
	for _, l := range t.Lines {
		if l.Time.After(lastLineTime[l.Host]) {
			lastLineTime[l.Host] = l.Time
		}
	}
	t.Clocks = len(lastLineTime) > 1
	for host, at := range lastLineTime {
		lines := stateChanges[host]
		slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
		// n is the number of lines up to time at: the comparison is never 0, and sorts
		// lines at that time before it.
		n, _ := slices.BinarySearchFunc(lines, at, func(l Line, t time.Time) int { return cmp.Or(l.Time.Compare(t), -1) })
		t.Lines = append(t.Lines, lines[max(n-stateChangesPerHost, 0):n]...)
	}
}
