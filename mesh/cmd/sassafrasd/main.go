// Command sassafrasd is the daemon that runs on each target host.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"sassafrasnotch.example/mesh/daemon"
	"sassafrasnotch.example/mesh/settings"
	"sassafrasnotch.example/platform"
)

// Exit codes of the daemon; 0 is a clean stop.
const (
	exitFailed   = 1
	exitBadInput = 2
)

// settingsVariable is the environment variable with the default of the flag -settings.
const settingsVariable = "SASSAFRASNOTCH_CONFIG"

func main() {
	path := flag.String("settings", os.Getenv(settingsVariable),
		"`path` of the settings file (JSON with comments); by default the value of "+settingsVariable)
	flag.Parse()
	os.Exit(run(*path))
}

// run runs the daemon until it is requested to stop and returns the exit code.
func run(path string) int {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // before the start, because an unhandled SIGHUP ends the process
	loaded, err := settings.Load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadInput
	}
	var reloader *daemon.Reloader
	var logger *zap.Logger
	app := daemon.New(loaded, platform.Connect, fx.Populate(&reloader, &logger))
	if err := app.Start(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	ctx, cancel := context.WithCancel(context.Background())
	go settings.Watch(ctx, path, loaded, hangups, logger.Named("settings"), reloader.Apply)
	<-app.Done()
	cancel()
	return stop(app)
}

// stop shuts the daemon down gracefully.
func stop(app *fx.App) int {
	ctx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}
