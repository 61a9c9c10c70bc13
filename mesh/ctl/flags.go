package ctl

import (
	"errors"
	"flag"
	"fmt"
	"slices"
	"strings"
	"time"

	"sassafrasnotch.example/mesh/security"
	"sassafrasnotch.example/mesh/settings"
)

// format is an output format.
type format string

const (
	formatTable format = "table"
	formatJSON  format = "json"
	formatHTML  format = "html"
)

// clientCommand holds the flags of a command that sends requests to daemons.
type clientCommand struct {
	env    *Env
	admin  string
	tls    TLSFiles
	format format
	// formats are the output formats of the command; the first is the default.
	formats []format
}

// defaultFormats are the output formats of a command that sets none itself.
var defaultFormats = []format{formatTable, formatJSON}

func (c *clientCommand) SetFlags(f *flag.FlagSet) {
	f.SetOutput(c.env.Stderr)
	f.StringVar(&c.admin, "admin", c.env.Admin, "admin `addresses` of daemons, separated by commas, tried in order until one can be reached")
	c.tls = c.env.TLS
	f.StringVar(&c.tls.CA, "tls-ca", c.tls.CA, "`file` with the authorities that sign the certificates of the admin ports; enables TLS")
	f.StringVar(&c.tls.Certificate, "tls-cert", c.tls.Certificate, "`file` with the certificate to present to admin ports; enables TLS")
	f.StringVar(&c.tls.Key, "tls-key", c.tls.Key, "`file` with the key of the certificate; enables TLS")
	f.StringVar(&c.tls.Name, "tls-name", c.tls.Name, "expected `name` in the certificates of the admin ports; empty means their address")
	if c.formats == nil {
		c.formats = defaultFormats
	}
	c.format = c.formats[0]
	f.Func("o", "output `format`: "+c.formatNames(), c.setFormat)
}

func (c *clientCommand) setFormat(text string) error {
	if !slices.Contains(c.formats, format(text)) {
		return errors.New("must be " + c.formatNames())
	}
	c.format = format(text)
	return nil
}

// formatNames lists the formats for help texts and errors.
func (c *clientCommand) formatNames() string {
	var names []string
	for _, f := range c.formats {
		names = append(names, string(f))
	}
	return strings.Join(names, " or ")
}

// client returns a client of the daemons given by the flags.
func (c *clientCommand) client() (*Client, error) {
	var addresses []string
	for address := range strings.SplitSeq(c.admin, ",") {
		if address = strings.TrimSpace(address); address != "" {
			addresses = append(addresses, address)
		}
	}
	if len(addresses) == 0 {
		return nil, fmt.Errorf("%s: -admin names no daemon", ProgramName)
	}
	client := NewClient(addresses)
	if c.tls == (TLSFiles{}) {
		return client, nil
	}
	keys, err := c.tls.load(c.env.Now)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", ProgramName, err)
	}
	client.UseTLS(keys)
	return client, nil
}

// load reads the certificate, the key and the authorities.
func (f TLSFiles) load(now func() time.Time) (*security.Credentials, error) {
	return security.Load("admin client", settings.TLS{
		Enabled:         true,
		CertificateFile: f.Certificate,
		KeyFile:         f.Key,
		CAFile:          f.CA,
		ServerName:      f.Name,
	}, now)
}

// positionalArgs returns the arguments that are not flags and an error unless there are exactly
// count of them. Flags may stand between them.
func positionalArgs(f *flag.FlagSet, count int) ([]string, error) {
	var arguments []string
	for f.NArg() > 0 {
		arguments = append(arguments, f.Arg(0))
		if err := f.Parse(f.Args()[1:]); err != nil {
			return nil, err
		}
	}
	if len(arguments) != count {
		return nil, fmt.Errorf("%s %s: expected %d arguments, got %d", ProgramName, f.Name(), count, len(arguments))
	}
	return arguments, nil
}
