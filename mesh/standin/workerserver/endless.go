package workerserver

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Last segments of paths that request a response with bytes without end, until the daemon closes the
// connection.
const (
	ResponseEndlessBody    = "endless-body"
	ResponseEndlessChunks  = "endless-chunks"
	ResponseEndlessHead    = "endless-head"
	ResponseEndlessGarbage = "endless-garbage"
)

// endlessTimeout ends a write of bytes without end that the daemon neither reads nor refuses.
const endlessTimeout = 20 * time.Second

// writeEndless writes a response that begins with the header, and bytes without end.
func writeEndless(writer http.ResponseWriter, kind, header string) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	filler := strings.Repeat("x", 32<<10)
	start, repeated := header, "X-Filler: "+filler+"\r\n"
	switch kind {
	case ResponseEndlessBody:
		start, repeated = header+"\r\n", filler
	case ResponseEndlessChunks:
		start, repeated = header+"Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(filler), filler)
	case ResponseEndlessGarbage:
		start, repeated = "", filler
	}
	_ = conn.SetWriteDeadline(time.Now().Add(endlessTimeout))
	for _, err = io.WriteString(conn, start); err == nil; {
		_, err = io.WriteString(conn, repeated)
	}
}
