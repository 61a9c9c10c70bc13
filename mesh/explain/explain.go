// Package explain finds a request's way through the logs of several processes: the
// lines that name it, and the lines by which the daemons concerned changed what
// they believed around that time.
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

// ErrUnknownRequest means that no line names the request.
var ErrUnknownRequest = errors.New("explain: no line names the request")

// maxLine bounds a line of a log, in bytes; daemons write far shorter ones.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	At      time.Time
	Host    string
	Message string
	// Fields holds what the line says besides, by name.
	Fields map[string]any
}

// text returns a field of the line, or "" if it has none of that name.
func (l *Line) text(name string) string {
	text, _ := l.Fields[name].(string)
	return text
}

// Trace is what the logs say of a request, in the order of time.
type Trace struct {
	RequestID string
	// Lines name the request.
	Lines []Line
	// Surrounding are lines of the hosts that Lines name, from shortly before the
	// first to shortly after the last of them, that name no request.
	Surrounding []Line
}

// Messages of the lines that end a request.
const (
	messageAnswered    = "call answered"
	messageNotAnswered = "call not answered"
)

// Completion returns the line that ended the request, or nil if none is known.
func (a *Trace) Completion() *Line {
	for i := range slices.Backward(a.Lines) {
		if m := a.Lines[i].Message; m == messageNotAnswered || m == messageAnswered {
			return &a.Lines[i]
		}
	}
	return nil
}

// Logs collects lines of several logs.
type Logs struct {
	lines   []Line
	foreign int
}

// Read adds the lines of a log. What stands before the JSON of a line, as a prefix
// of the collector, is passed over.
func (l *Logs) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			l.foreign++
			continue
		}
		l.lines = append(l.lines, line)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("explain: after %d lines: %w", len(l.lines)+l.foreign, err)
	}
	return nil
}

// Len returns the number of lines that were understood.
func (l *Logs) Len() int { return len(l.lines) }

// Unrecognized returns the number of lines that no daemon of this system wrote.
func (l *Logs) Unrecognized() int { return l.foreign }

// Fields that Line holds by themselves.
const (
	fieldTime    = "ts"
	fieldMessage = "msg"
	fieldHost    = "host"
	fieldPeer    = "peer"
	fieldRequest = "request_id"
)

func parse(data []byte) (Line, bool) {
	start := bytes.IndexByte(data, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(data[start:], &fields); err != nil {
		return Line{}, false
	}
	seconds, timed := fields[fieldTime].(float64)
	message, said := fields[fieldMessage].(string)
	host, _ := fields[fieldHost].(string)
	if !timed || !said {
		return Line{}, false
	}
	for _, name := range []string{fieldTime, fieldMessage, fieldHost} {
		delete(fields, name)
	}
	whole, part := math.Modf(seconds)
	return Line{At: time.Unix(int64(whole), int64(part*1e9)).UTC(), Host: host, Message: message, Fields: fields}, true
}

// Explain returns what the logs say of a request, with the lines of the hosts
// concerned within the time around it. The error is ErrUnknownRequest if no line names it.
func (l *Logs) Explain(requestID string, around time.Duration) (*Trace, error) {
	account := &Trace{RequestID: requestID}
	hosts := make(map[string]bool)
	for _, line := range l.lines {
		if line.text(fieldRequest) != requestID {
			continue
		}
		account.Lines = append(account.Lines, line)
		hosts[line.Host] = true
		hosts[line.text(fieldPeer)] = true
	}
	if len(account.Lines) == 0 {
		return nil, fmt.Errorf("%w: %s in %d lines", ErrUnknownRequest, requestID, len(l.lines))
	}
	byTime(account.Lines)
	from := account.Lines[0].At.Add(-around)
	to := account.Lines[len(account.Lines)-1].At.Add(around)
	for _, line := range l.lines {
		if line.text(fieldRequest) == "" && concerns(&line, hosts) && !line.At.Before(from) && !line.At.After(to) {
			account.Surrounding = append(account.Surrounding, line)
		}
	}
	byTime(account.Surrounding)
	return account, nil
}

// concerns reports whether a line is by one of the hosts, and about one of them or
// about no other.
func concerns(line *Line, hosts map[string]bool) bool {
	peer := line.text(fieldPeer)
	return hosts[line.Host] && (peer == "" || hosts[peer])
}

func byTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Host, b.Host))
	})
}
