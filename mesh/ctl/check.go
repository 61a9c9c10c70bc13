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

// fileType is what a file holds.
type fileType string

const (
	fileTypeAuto     fileType = "auto"
	fileTypeTicket   fileType = "ticket"
	fileTypeSettings fileType = "settings"
	// fileTypeConfiguration is the whole state as operators write it to the
	// platform's store.
	fileTypeConfiguration fileType = "configuration"
)

// checkCommand checks a file without a daemon.
type checkCommand struct {
	env      *Env
	fileType fileType
}

func newCheck(env *Env) subcommands.Command { return &checkCommand{env: env} }

func (*checkCommand) Name() string { return "check" }
func (*checkCommand) Synopsis() string {
	return "check a settings, ticket or configuration file offline"
}
func (*checkCommand) Usage() string {
	return "sassafrasctl check [-kind auto|ticket|settings|configuration] FILE|-\n" +
		"Lists every problem and exits with 2 if there is one. A ticket may still be refused\n" +
		"for what the present state holds, a configuration for a version that is not newer.\n" +
		"Example: sassafrasctl check daemon.json\n"
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.SetOutput(c.env.Stderr)
	c.fileType = fileTypeAuto
	f.Func("kind", "what the file holds: auto, ticket, settings or configuration", c.setFileType)
}

func (c *checkCommand) setFileType(text string) error {
	switch fileType(text) {
	case fileTypeAuto, fileTypeTicket, fileTypeSettings, fileTypeConfiguration:
		c.fileType = fileType(text)
		return nil
	}
	return errors.New("must be auto, ticket, settings or configuration")
}

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	arguments, err := positionalArgs(f, 1)
	if err != nil {
		return c.env.badInput(err)
	}
	name := arguments[0]
	data, err := readInput(c.env, name)
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
func (c *checkCommand) checkData(name string, data []byte) (fileType, error) {
	found := c.fileType
	if found == fileTypeAuto {
		document, err := jsonc.Parse(data)
		if err != nil {
			return found, jsonc.InFile(name, err)
		}
		found = detectFileType(document)
	}
	if found == fileTypeTicket {
		file, err := parseTicket(name, data)
		if err != nil {
			return found, err
		}
		return found, file.checkDeadlines(c.env.Now())
	}
	if found == fileTypeConfiguration {
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

// detectFileType tells tickets and configurations from settings by the fields that only they
// have.
func detectFileType(document *jsonc.Document) fileType {
	for _, field := range []string{"number", "services", "versions", "routes", "splits", "moves", "delete"} {
		if document.Has(field) {
			return fileTypeTicket
		}
	}
	if document.Has("Routes") || document.Has("Services") {
		return fileTypeConfiguration
	}
	return fileTypeSettings
}
