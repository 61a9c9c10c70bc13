package faultproxy

import (
	"net"
	"sync"
	"time"
)

const (
	chunkSize         = 64 << 10 // bytes
	faultPollInterval = 20 * time.Millisecond
)

// tcpProxy forwards connections to the backend of one host.
type tcpProxy struct {
	network  *Network
	host     string
	backend  string
	listener net.Listener
	mu       sync.Mutex
	open     map[net.Conn]struct{}
}

// ForwardTCP listens on the address and forwards connections to the backend of the host until Close.
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

// Close closes the listener and all connections.
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
	from := p.network.hostOf(ip)
	opened := time.Now()
	if p.network.fault(from, p.host, opened).Reset {
		reset(client)
		return
	}
	// Dial from the client's address: the backend identifies hosts by their source addresses.
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	server, err := dialer.Dial("tcp", p.backend)
	if err != nil {
		reset(client)
		return
	}
	p.track(server)
	defer p.release(server)
	toServer := &pipe{network: p.network, from: from, to: p.host, opened: opened, source: client, sink: server}
	toClient := &pipe{network: p.network, from: p.host, to: from, opened: opened, source: server, sink: client}
	var group sync.WaitGroup
	group.Go(toServer.run)
	group.Go(toClient.run)
	group.Wait()
}

// reset closes a connection so that its other end receives a TCP reset.
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
			p.closeWrite()
			return
		}
	}
}

// closeWrite forwards the end of the stream, unless the link drops traffic.
func (p *pipe) closeWrite() {
	if p.network.fault(p.from, p.to, p.opened).Drop {
		return
	}
	if tcp, ok := p.sink.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// forward applies the link's fault to a chunk and writes it. It reports whether the connection is still
// usable. A dropped chunk blocks all later ones, since TCP never skips bytes.
func (p *pipe) forward(chunk []byte) bool {
	fault := p.network.fault(p.from, p.to, p.opened)
	switch {
	case fault.Reset:
		reset(p.source)
		reset(p.sink)
		return false
	case fault.Drop:
		return p.writeWhenCleared(chunk)
	case fault.FlipBit:
		chunk[len(chunk)/2] ^= 1
	}
	time.Sleep(fault.Latency)
	_, err := p.sink.Write(chunk)
	return err == nil
}

// writeWhenCleared delays the chunk until the link no longer drops traffic, as TCP retransmits lost
// data. It returns false when the sink is closed, which an empty write detects.
func (p *pipe) writeWhenCleared(chunk []byte) bool {
	for p.network.fault(p.from, p.to, p.opened).Drop {
		time.Sleep(faultPollInterval)
		if _, err := p.sink.Write(nil); err != nil {
			return false
		}
	}
	_, err := p.sink.Write(chunk)
	return err == nil
}
