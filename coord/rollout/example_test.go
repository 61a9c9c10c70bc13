package rollout_test

import (
	"fmt"
	"time"

	"sassafrasnotch.example/coord/detect"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/rollout"
)

// A rollout starts with a small share and is rolled back when the verdict turns bad. The caller
// writes each state to its row and the share to the configuration log.
func Example() {
	now := time.Unix(0, 0).UTC()
	planned := revision.Rollout{Ticket: 7, From: "v1", To: "v2", Target: revision.FullShare, By: now.Add(10 * time.Minute)}
	state := rollout.NewState("orders", planned, revision.PreferSafety, now)
	evidence := rollout.Evidence{Hosts: rollout.Hosts{From: 6, To: 6}, Rate: 300, Reporting: true}
	for _, kind := range []detect.Kind{detect.Undecided, detect.Bad} {
		evidence.Verdict = detect.Verdict{Kind: kind, ExcessBound: 1}
		now = now.Add(rollout.WindowLength)
		var actions []rollout.Action
		state, actions = rollout.Next(state, evidence, now)
		for _, action := range actions {
			switch a := action.(type) {
			case rollout.SetShare:
				fmt.Println(a.Step, a.Share > 0)
			case rollout.Finish:
				fmt.Println(a.Verdict, state.Share)
			}
		}
	}
	// Output:
	// canary true
	// taken-back 0
}
