package main

import (
	"context"
	"flag"
	"net"
	"net/http"

	"github.com/google/subcommands"

	"sassafrasnotch.example/mesh/standin"
	"sassafrasnotch.example/mesh/standin/platformserver"
)

// platformCommand serves the stand-in of the platform's store until the process is interrupted.
type platformCommand struct {
	output
	listen string
}

func (*platformCommand) Name() string     { return "platform" }
func (*platformCommand) Synopsis() string { return "serve the platform's store of rows and objects" }
func (*platformCommand) Usage() string {
	return "standin platform [-listen ADDRESS]\n" +
		"Example: standin platform -listen 127.0.0.1:7000\n"
}

func (c *platformCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "`address` of the service and of its control endpoints")
}

func (c *platformCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	listener, err := net.Listen("tcp", c.listen)
	if err != nil {
		return c.exitStatus(err)
	}
	server := &http.Server{Handler: platformserver.New().Handler()}
	defer server.Close()
	go func() { _ = server.Serve(listener) }()
	address := listener.Addr().String()
	if err := c.printJSON(standin.Ready{Listen: address, Control: address}); err != nil {
		return c.exitStatus(err)
	}
	<-ctx.Done()
	return subcommands.ExitSuccess
}
