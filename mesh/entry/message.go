package entry

import (
	"bytes"
	"errors"
	"net"
	"strconv"
	"strings"
)

// messageForm is what is known about the message at the start of some bytes.
type messageForm int

const (
	messageIncomplete messageForm = iota
	// messageComplete is a whole GET or HEAD request without a body.
	messageComplete
	// messageOther is one with a body, or one whose end net/http may see elsewhere.
	messageOther
)

var headEnd = []byte("\r\n\r\n")

// parseMessage returns the form of the message at the start of data, and its length if it is
// complete. It accepts only what can't be framed in more than one way.
func parseMessage(data []byte) (length int, form messageForm) {
	if len(data) > 0 && !startsLikeRequest(data) {
		return 0, messageOther
	}
	end := bytes.Index(data, headEnd)
	if end < 0 {
		if len(data) > readAheadBytes || bareLineFeed(data) {
			return 0, messageOther
		}
		return 0, messageIncomplete
	}
	head := data[:end+len(headEnd)]
	if bareLineFeed(head) || framesBody(head) {
		return 0, messageOther
	}
	return len(head), messageComplete
}

// sizedMessage returns the length of the message at the start of data, whose head must be whole, if it has
// no body or one of a stated length, else 0.
func sizedMessage(data []byte) int {
	end := bytes.Index(data, headEnd)
	if end < 0 || !beginsWithMethod(data) {
		return 0
	}
	head := data[:end+len(headEnd)]
	length := 0
	for line := range bytes.Lines(head[:end]) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch strings.ToLower(string(bytes.TrimSpace(name))) {
		case "content-length":
			parsed, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 31)
			if err != nil {
				return 0
			}
			length = int(parsed)
		case "transfer-encoding", "upgrade", "expect":
			return 0
		}
	}
	return len(head) + length
}

// beginsWithMethod reports whether data begins with a word in upper case and a space.
func beginsWithMethod(data []byte) bool {
	method, _, found := bytes.Cut(data, []byte(" "))
	return found && len(method) > 0 && !bytes.ContainsFunc(method, func(r rune) bool { return r < 'A' || r > 'Z' })
}

// startsLikeRequest reports whether data is, or may become, the start of a GET or HEAD request.
func startsLikeRequest(data []byte) bool {
	for _, method := range []string{"GET ", "HEAD "} {
		n := min(len(data), len(method))
		if string(data[:n]) == method[:n] {
			return true
		}
	}
	return false
}

// bareLineFeed reports whether a line ends without a carriage return.
func bareLineFeed(data []byte) bool {
	for offset := 0; ; {
		i := bytes.IndexByte(data[offset:], '\n')
		if i < 0 {
			return false
		}
		if offset+i == 0 || data[offset+i-1] != '\r' {
			return true
		}
		offset += i + 1
	}
}

// framesBody reports whether a field of the head announces a body or another protocol, or is
// folded over several lines.
func framesBody(head []byte) bool {
	for line := range bytes.Lines(head) {
		if line[0] == ' ' || line[0] == '\t' {
			return true
		}
		name, _, found := bytes.Cut(line, []byte(":"))
		if !found {
			continue
		}
		for _, field := range []string{"content-length", "transfer-encoding", "upgrade", "expect", "trailer"} {
			if bytes.EqualFold(bytes.TrimSpace(name), []byte(field)) {
				return true
			}
		}
	}
	return false
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
