// Command keyed plays the case with keyed requests of the third review: it starts the programs of the deploy file on loopback
// addresses, with stand-ins for the platform, the workers and the requesters.
package main

import (
	"fmt"
	"os"
	"strings"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// record collects what was sent, answered and run.
type record struct{ text strings.Builder }

func (r *record) add(format string, args ...any) { fmt.Fprintf(&r.text, format+"\n", args...) }

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: keyed CASE RECORD")
		os.Exit(notRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	cases := map[string]func(*record, bool) (int, error){"truncated-keyed": truncatedKeyed}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(notRun)
	}
	r := &record{}
	r.add("case %s, trouble %v", os.Args[1], trouble)
	code, err := play(r, trouble)
	if err != nil {
		code = notRun
		r.add("could not run: %v", err)
	}
	r.add("exit code %d", code)
	if err := os.WriteFile(os.Args[2], []byte(r.text.String()), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = notRun
	}
	fmt.Print(r.text.String())
	os.Exit(code)
}
