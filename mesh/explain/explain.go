// Package explain traces a request through the logs of several daemons. It finds the lines with the ID
// of the request, and the other lines that the daemons involved wrote around that time, for example
// changes of their member lists.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"time"
)

// ErrUnknownRequest is returned for a request whose ID is in no line.
var ErrUnknownRequest = errors.New("explain: no line names the request")

// maxLineBytes bounds the length of a line of a log; daemons write far shorter ones.
const maxLineBytes = 1 << 20

// Line is a line of a log. At is its time, in UTC, and Host the host that wrote it.
type Line struct {
	At      time.Time
	Host    string
	Message string
	// Fields holds all other fields of the line by name.
	Fields map[string]any
}

// stringField returns a field of the line, or "" if the line has no field of that name with a string.
func (l *Line) stringField(name string) string {
	text, _ := l.Fields[name].(string)
	return text
}

// Trace holds the log lines about a request, ordered by time.
type Trace struct {
	RequestID string
	// Lines are the lines with the ID of the request.
	Lines []Line
	// Surrounding are the lines without a request ID that the hosts named in Lines wrote from
	// shortly before the first to shortly after the last of Lines.
	Surrounding []Line
}

// Messages of the line that the entry logs at the end of a request.
const (
	messageAnswered    = "call answered"
	messageNotAnswered = "call not answered"
)

// Completion returns the line logged at the end of the request, or nil if there is none.
func (t *Trace) Completion() *Line {
	for i := range slices.Backward(t.Lines) {
		if m := t.Lines[i].Message; m == messageNotAnswered || m == messageAnswered {
			return &t.Lines[i]
		}
	}
	return nil
}

// Logs collects lines of several logs.
type Logs struct {
	lines        []Line
	unrecognized int
}

// Read adds the lines of a log. It skips text before the JSON object of a line, such as the prefix of a
// log collector. The error is that of the reader, or reports a line above the maximum length.
func (l *Logs) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parseLine(scanner.Bytes())
		if !ok {
			l.unrecognized++
			continue
		}
		l.lines = append(l.lines, line)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("explain: read log after %d lines: %w", len(l.lines)+l.unrecognized, err)
	}
	return nil
}

// Len returns the number of lines that were parsed as lines of a daemon.
func (l *Logs) Len() int { return len(l.lines) }

// Unrecognized returns the number of lines that are not lines of a daemon.
func (l *Logs) Unrecognized() int { return l.unrecognized }

// Keys of the fields that a daemon logs and that this package reads.
const (
	fieldTime    = "ts"
	fieldMessage = "msg"
	fieldHost    = "host"
	fieldPeer    = "peer"
	fieldRequest = "request_id"
)

// parseLine parses a line of a log and reports whether it is a line of a daemon: a JSON object with a
// time and a message.
func parseLine(data []byte) (Line, bool) {
	start := bytes.IndexByte(data, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(data[start:], &fields); err != nil {
		return Line{}, false
	}
	seconds, hasTime := fields[fieldTime].(float64)
	message, hasMessage := fields[fieldMessage].(string)
	host, _ := fields[fieldHost].(string)
	if !hasTime || !hasMessage {
		return Line{}, false
	}
	for _, name := range []string{fieldTime, fieldMessage, fieldHost} {
		delete(fields, name)
	}
	whole, fraction := math.Modf(seconds)
	return Line{At: time.Unix(int64(whole), int64(fraction*1e9)).UTC(), Host: host, Message: message, Fields: fields}, true
}

// Explain returns the trace of a request. Its surrounding lines are those that the hosts involved wrote
// between margin before the first line of the request and margin after the last one. The error wraps
// ErrUnknownRequest if no line has the ID.
func (l *Logs) Explain(requestID string, margin time.Duration) (*Trace, error) {
	trace := &Trace{RequestID: requestID}
	hosts := make(map[string]bool)
	for _, line := range l.lines {
		if line.stringField(fieldRequest) != requestID {
			continue
		}
		trace.Lines = append(trace.Lines, line)
		hosts[line.Host] = true
		hosts[line.stringField(fieldPeer)] = true
	}
	if len(trace.Lines) == 0 {
		return nil, fmt.Errorf("%w: %s in %d lines", ErrUnknownRequest, requestID, len(l.lines))
	}
	sortByTime(trace.Lines)
	from := trace.Lines[0].At.Add(-margin)
	to := trace.Lines[len(trace.Lines)-1].At.Add(margin)
	for _, line := range l.lines {
		if line.stringField(fieldRequest) == "" && isRelevant(&line, hosts) && !line.At.Before(from) && !line.At.After(to) {
			trace.Surrounding = append(trace.Surrounding, line)
		}
	}
	sortByTime(trace.Surrounding)
	return trace, nil
}

// isRelevant reports whether one of the hosts wrote the line and the line names either no peer or one of
// the hosts as its peer.
func isRelevant(line *Line, hosts map[string]bool) bool {
	peer := line.stringField(fieldPeer)
	return hosts[line.Host] && (peer == "" || hosts[peer])
}

// sortByTime sorts the lines by time, then by host.
func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Host, b.Host))
	})
}
