// Command sassafrasctl is the operators' command line.
package main

import (
	"cmp"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"sassafrasnotch.example/mesh/ctl"
	"sassafrasnotch.example/platform/operator"
)

const (
	// adminVariable is the environment variable with the default of the flag -admin.
	adminVariable = "SASSAFRAS_ADMIN"
	defaultAdmin  = "127.0.0.1:7003"
)

func main() {
	env := &ctl.Env{
		Stdin:  os.Stdin,
		Stdout: os.Stdout,
		Stderr: os.Stderr,
		Now:    time.Now,
		Admin:  cmp.Or(os.Getenv(adminVariable), defaultAdmin),
		TLS: ctl.TLSFiles{
			CA:          os.Getenv("SASSAFRAS_TLS_CA"),
			Certificate: os.Getenv("SASSAFRAS_TLS_CERT"),
			Key:         os.Getenv("SASSAFRAS_TLS_KEY"),
			Name:        os.Getenv("SASSAFRAS_TLS_NAME"),
		},
		DecodeConfiguration: operator.DecodeConfiguration,
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	status := ctl.Run(ctx, env, os.Args[1:])
	stop()
	os.Exit(int(status))
}
