// Command reviewcase runs the scripted cases of the review. Each starts the project's daemons as processes
// of their own and plays the store, the workers and the requesters itself.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The results of a case, as exit codes.
const (
	held       = 0
	broken     = 1
	couldntRun = 2
)

var cases = map[string]func(root string, rec *record, trouble bool) (int, error){
	"early-answer":        earlyAnswer,
	"forgotten-departure": forgottenDeparture,
	"unread-departure":    unreadDeparture,
	"added-route":         addedRoute,
	"unnamed-answer":      unnamedAnswer,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewcase CASE FOLDER")
		os.Exit(couldntRun)
	}
	root, err := os.Getwd()
	if err == nil {
		_, err = os.Stat(filepath.Join(root, "target", "sassafrasd"))
	}
	var rec *record
	if err == nil {
		rec, err = newRecord(filepath.Join(os.Args[2], "record.txt"))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldntRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, with the disruption: %v", os.Args[1], trouble)
	result, err := cases[os.Args[1]](root, rec, trouble)
	if err != nil {
		result = couldntRun
		rec.add("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
	}
	verdict := [...]string{"the rule held", "the rule was BROKEN", "the case couldn't run"}[result]
	rec.add("%s", verdict)
	fmt.Println(verdict)
	os.Exit(result)
}
