package ctl

import (
	"context"
	"errors"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"sassafrasnotch.example/mesh/jsonc"
	"sassafrasnotch.example/mesh/settings"
)

// content is what a file holds.
type content string

const (
	contentAuto     content = "auto"
	contentTicket   content = "ticket"
	contentSettings content = "settings"
	// contentConfiguration is the whole state as operators write it to the
	// platform's store.
	contentConfiguration content = "configuration"
)

// check checks a file without a daemon.
type check struct {
	env     *Env
	content content
}

func newCheck(env *Env) subcommands.Command { return &check{env: env} }

func (*check) Name() string     { return "check" }
func (*check) Synopsis() string { return "check a settings, ticket or configuration file offline" }
func (*check) Usage() string {
	return "sassafrasctl check [-kind auto|ticket|settings|configuration] FILE|-\n" +
		"Lists every problem and exits with 2 if there is one. A ticket may still be refused\n" +
		"for what the present state holds, a configuration for a version that is not newer.\n" +
		"Example: sassafrasctl check daemon.json\n"
}

func (c *check) SetFlags(f *flag.FlagSet) {
	f.SetOutput(c.env.Stderr)
	c.content = contentAuto
	f.Func("kind", "what the file holds: auto, ticket, settings or configuration", c.setContent)
}

func (c *check) setContent(text string) error {
	switch content(text) {
	case contentAuto, contentTicket, contentSettings, contentConfiguration:
		c.content = content(text)
		return nil
	}
	return errors.New("must be auto, ticket, settings or configuration")
}

func (c *check) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	arguments, err := positional(f, 1)
	if err != nil {
		return c.env.badInput(err)
	}
	name := arguments[0]
	data, err := readSource(c.env, name)
	if err != nil {
		return c.env.badInput(err)
	}
	found, err := c.checkData(name, data)
	if err != nil {
		return c.env.badInput(err)
	}
	fmt.Fprintf(c.env.Stdout, "%s: valid %s\n", name, found)
	return ExitSuccess
}

// checkData returns what the data holds, or every problem with it.
func (c *check) checkData(name string, data []byte) (content, error) {
	found := c.content
	if found == contentAuto {
		document, err := jsonc.Parse(data)
		if err != nil {
			return found, jsonc.InFile(name, err)
		}
		found = guess(document)
	}
	if found == contentTicket {
		file, err := parseTicket(name, data)
		if err != nil {
			return found, err
		}
		return found, file.overdue(c.env.Now())
	}
	if found == contentConfiguration {
		configuration, err := c.env.DecodeConfiguration(data)
		if err == nil {
			err = configuration.Check()
		}
		if err != nil {
			err = fmt.Errorf("%s: %w", name, err)
		}
		return found, err
	}
	_, err := settings.Parse(data)
	return found, jsonc.InFile(name, err)
}

// guess tells tickets and configurations from settings by the fields that only they
// have.
func guess(document *jsonc.Document) content {
	for _, field := range []string{"number", "services", "versions", "routes", "splits", "moves", "delete"} {
		if document.Has(field) {
			return contentTicket
		}
	}
	if document.Has("Routes") || document.Has("Services") {
		return contentConfiguration
	}
	return contentSettings
}
