package faultproxy

import (
	"net"
	"sync"
	"time"
)

const (
	chunkSize  = 64 << 10 // bytes
	faultCheck = 20 * time.Millisecond
)

// tcpProxy forwards the connections to one host.
type tcpProxy struct {
	network  *Network
	host     string
	backend  string
	listener net.Listener
	mu       sync.Mutex
	open     map[net.Conn]struct{}
}

// ForwardTCP forwards connections on the address to the backend of the host.
func (n *Network) ForwardTCP(address, host, backend string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	proxy := &tcpProxy{network: n, host: host, backend: backend, listener: listener, open: make(map[net.Conn]struct{})}
	n.add(proxy)
	go proxy.accept()
	return nil
}

// Close ends the listener and all connections.
func (p *tcpProxy) Close() error {
	err := p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.open {
		_ = conn.Close()
	}
	return err
}

func (p *tcpProxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *tcpProxy) track(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[conn] = struct{}{}
}

func (p *tcpProxy) release(conn net.Conn) {
	p.mu.Lock()
	delete(p.open, conn)
	p.mu.Unlock()
	_ = conn.Close()
}

func (p *tcpProxy) serve(client net.Conn) {
	p.track(client)
	defer p.release(client)
	ip, _, _ := net.SplitHostPort(client.RemoteAddr().String())
	from := p.network.nameOf(ip)
	opened := time.Now()
	if p.network.fault(from, p.host, opened).Reset {
		reset(client)
		return
	}
	// The backend tells hosts apart by their addresses.
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	server, err := dialer.Dial("tcp", p.backend)
	if err != nil {
		reset(client)
		return
	}
	p.track(server)
	defer p.release(server)
	forth := &pipe{network: p.network, from: from, to: p.host, opened: opened, source: client, sink: server}
	back := &pipe{network: p.network, from: p.host, to: from, opened: opened, source: server, sink: client}
	var group sync.WaitGroup
	group.Go(forth.run)
	group.Go(back.run)
	group.Wait()
}

// reset closes a connection so that the other end sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// pipe copies one direction of a connection.
type pipe struct {
	network  *Network
	from, to string
	opened   time.Time
	source   net.Conn
	sink     net.Conn
}

func (p *pipe) run() {
	buffer := make([]byte, chunkSize)
	for {
		count, err := p.source.Read(buffer)
		if count > 0 && !p.forward(buffer[:count]) {
			return
		}
		if err != nil {
			p.end()
			return
		}
	}
}

// end passes on the end of the stream, unless the link drops it too.
func (p *pipe) end() {
	if p.network.fault(p.from, p.to, p.opened).Drop {
		return
	}
	if tcp, ok := p.sink.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// forward applies the link's fault to a chunk. It reports false when the
// connection is gone. A connection that once lost a chunk stays silent: TCP
// never skips bytes.
func (p *pipe) forward(chunk []byte) bool {
	fault := p.network.fault(p.from, p.to, p.opened)
	switch {
	case fault.Reset:
		reset(p.source)
		reset(p.sink)
		return false
	case fault.Drop:
		return p.hold(chunk)
	case fault.FlipBit:
		chunk[len(chunk)/2] ^= 1
	}
	time.Sleep(fault.Latency)
	_, err := p.sink.Write(chunk)
	return err == nil
}

// hold keeps the chunk until the link heals, as TCP would send it again. It
// ends when the source is closed, which a read past the deadline would show.
func (p *pipe) hold(chunk []byte) bool {
	for p.network.fault(p.from, p.to, p.opened).Drop {
		time.Sleep(faultCheck)
		if _, err := p.sink.Write(nil); err != nil {
			return false
		}
	}
	_, err := p.sink.Write(chunk)
	return err == nil
}
