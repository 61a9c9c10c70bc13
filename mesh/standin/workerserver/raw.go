package workerserver

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"sassafrasnotch.example/platform/wire"
)

// writeRaw writes responses that net/http cannot write.
func (w *Worker) writeRaw(writer http.ResponseWriter, status int, id, kind string) {
	conn, buffer, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	copies, length := 1, ""
	if kind == ResponseExtra {
		copies, length = 2, fmt.Sprintf("Content-Length: %d\r\n", len(ResponseBody(id)))
	}
	for range copies {
		fmt.Fprintf(buffer, "HTTP/1.1 %d Status\r\n%s: %s\r\n%s: signed-%s\r\n%s\r\n%s",
			status, wire.HeaderRequestID, id, wire.HeaderSignature, w.config.ID, length, ResponseBody(id))
	}
	_ = buffer.Flush()
	if kind == ResponseExtra {
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		_, _ = buffer.ReadByte() // keep the connection open until the daemon closes it
	}
}

// respondOnConn has the function respond on the connection and closes it.
func respondOnConn(writer http.ResponseWriter, respond func(conn *net.TCPConn)) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	if tcp, ok := conn.(*net.TCPConn); ok {
		respond(tcp)
	}
}
