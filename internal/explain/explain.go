// Package explain tells the story of one request from the logs of hosts.
//
// A log is lines of key=value pairs. The story holds the lines of the request and,
// for each host that has some, the last lines before its answer that tell what the
// host believed. Lines that cannot be read are counted by reason and left out.
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

// Field names that the story is made of.
const (
	fieldTime    = "time"
	fieldHost    = "host"
	fieldRequest = "request"
	fieldMessage = "message"
	fieldEvent   = "event"
	eventBelief  = "belief"
)

// maxLine bounds a line, in bytes.
const maxLine = 64 << 10

// beliefsPerHost is the number of lines about beliefs in a story.
const beliefsPerHost = 6

// Line is one line of a log.
type Line struct {
	Time time.Time
	Host string
	// Message says what happened.
	Message string
	// Fields are the other pairs, in the order of the line.
	Fields []Field
	Belief bool
}

// Field is one pair of a line.
type Field struct{ Name, Value string }

// Reason tells why a line was left out.
type Reason string

// The reasons for leaving out a line.
const (
	// ReasonNoPairs is a line that is not key=value pairs.
	ReasonNoPairs Reason = "not key=value pairs"
	// ReasonNoTime is a line without a time that can be read.
	ReasonNoTime Reason = "no readable time"
	// ReasonNoHost is a line of a request that does not name its host.
	ReasonNoHost Reason = "no host"
	// ReasonTooLong is a line over the size limit.
	ReasonTooLong Reason = "too long"
)

// Timeline is what the logs say of one request.
type Timeline struct {
	Request string
	Lines   []Line
	// LeftOut counts the lines that could not be read.
	LeftOut map[Reason]int
	// Clocks tells that hosts' clocks may disagree: lines of several hosts are in
	// the order of their clocks.
	Clocks bool
}

// Read reads logs and returns the story of a request.
func Read(request string, logs ...io.Reader) (*Timeline, error) {
	s := &Timeline{Request: request, LeftOut: make(map[Reason]int)}
	beliefs := make(map[string][]Line)
	for _, log := range logs {
		if err := s.read(log, beliefs); err != nil {
			return nil, err
		}
	}
	s.addBeliefs(beliefs)
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return s, nil
}

func (s *Timeline) read(log io.Reader, beliefs map[string][]Line) error {
	r := bufio.NewReaderSize(log, maxLine)
	for {
		text, err := r.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			s.LeftOut[ReasonTooLong]++
			err = skipLine(r)
			text = nil
		}
		if len(strings.TrimSpace(string(text))) > 0 {
			s.take(string(text), beliefs)
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

// take adds a line to the story or to the beliefs of its host.
func (s *Timeline) take(text string, beliefs map[string][]Line) {
	line, request, reason := parse(text)
	switch {
	case reason != "":
		s.LeftOut[reason]++
	case request == s.Request:
		s.Lines = append(s.Lines, line)
	case line.Belief:
		beliefs[line.Host] = append(beliefs[line.Host], line)
	}
}

func parse(text string) (line Line, request string, reason Reason) {
	d := logfmt.NewDecoder(strings.NewReader(text))
	timed := false
	if d.ScanRecord() {
		for d.ScanKeyval() {
			name, value := string(d.Key()), string(d.Value())
			switch name {
			case fieldTime:
				var err error
				line.Time, err = time.Parse(time.RFC3339Nano, value)
				timed = err == nil
			case fieldHost:
				line.Host = value
			case fieldRequest:
				request = value
			case fieldMessage:
				line.Message = value
			case fieldEvent:
				line.Belief = value == eventBelief
			default:
				line.Fields = append(line.Fields, Field{name, value})
			}
		}
	}
	switch {
	case d.Err() != nil || line.Message == "":
		return line, "", ReasonNoPairs
	case !timed:
		return line, "", ReasonNoTime
	case line.Host == "" && (request != "" || line.Belief):
		return line, "", ReasonNoHost
	default:
		return line, request, ""
	}
}

// addBeliefs adds what each host of the story believed when it answered.
func (s *Timeline) addBeliefs(beliefs map[string][]Line) {
	answered := make(map[string]time.Time)
	for _, l := range s.Lines {
		if l.Time.After(answered[l.Host]) {
			answered[l.Host] = l.Time
		}
	}
	s.Clocks = len(answered) > 1
	for host, at := range answered {
		lines := beliefs[host]
		slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
		n, _ := slices.BinarySearchFunc(lines, at, func(l Line, t time.Time) int { return cmp.Or(l.Time.Compare(t), -1) })
		s.Lines = append(s.Lines, lines[max(n-beliefsPerHost, 0):n]...)
	}
}
