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

// fileType is the kind of document in a file, as the flag -kind names it.
type fileType string

const (
	// fileTypeAuto stands for the type that detectFileType returns.
	fileTypeAuto     fileType = "auto"
	fileTypeTicket   fileType = "ticket"
	fileTypeSettings fileType = "settings"
	// fileTypeConfiguration is a complete configuration as operators write it to the
	// platform's store.
	fileTypeConfiguration fileType = "configuration"
)

// checkCommand validates a file without contacting a daemon.
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
		"Lists every problem and exits with 2 if there is one. A daemon may still refuse a valid\n" +
		"ticket because of the current state, and a configuration whose version is not newer.\n" +
		"Example: sassafrasctl check daemon.json\n"
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.SetOutput(c.env.Stderr)
	c.fileType = fileTypeAuto
	f.Func("kind", "type of the file: auto, ticket, settings or configuration", c.setFileType)
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
	detected, err := c.checkData(name, data)
	if err != nil {
		return c.env.badInput(err)
	}
	fmt.Fprintf(c.env.Stdout, "%s: valid %s\n", name, detected)
	return ExitSuccess
}

// checkData returns the file type of the data, or an error that lists every problem.
func (c *checkCommand) checkData(name string, data []byte) (fileType, error) {
	detected := c.fileType
	if detected == fileTypeAuto {
		document, err := jsonc.Parse(data)
		if err != nil {
			return detected, jsonc.WithFile(name, err)
		}
		detected = detectFileType(document)
	}
	if detected == fileTypeTicket {
		file, err := parseTicket(name, data)
		if err != nil {
			return detected, err
		}
		return detected, file.checkDeadlines(c.env.Now())
	}
	if detected == fileTypeConfiguration {
		configuration, err := c.env.DecodeConfiguration(data)
		if err == nil {
			err = configuration.Check()
		}
		if err != nil {
			err = fmt.Errorf("%s: %w", name, err)
		}
		return detected, err
	}
	_, err := settings.Parse(data)
	return detected, jsonc.WithFile(name, err)
}

// detectFileType distinguishes tickets and configurations from settings by the fields that
// only they have.
func detectFileType(document *jsonc.Document) fileType {
	for _, field := range []string{"number", "services", "versions", "routes", "tenants", "splits", "moves", "delete"} {
		if document.HasField(field) {
			return fileTypeTicket
		}
	}
	if document.HasField("Routes") || document.HasField("Services") || document.HasField("Tenants") {
		return fileTypeConfiguration
	}
	return fileTypeSettings
}
