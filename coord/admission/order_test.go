package admission_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrasnotch.example/coord/admission"
)

// Guards against an order of the queue that leaves a slot idle while a request waits, runs a request of lower
// priority first, loses or repeats a request, or exceeds the bounds, whatever the tenants, deadlines and
// requests that are given up.
func TestQueueConservesWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := admission.Config{
			Slots: rapid.IntRange(1, 4).Draw(t, "slots"), QueueLength: rapid.IntRange(0, 6).Draw(t, "queue"),
			CountHeld: rapid.Bool().Draw(t, "count held"),
		}
		target := admission.NewTarget(config, start)
		running, waiting := map[uint64]bool{}, map[uint64]admission.Request{}
		now := start
		apply := func(actions []admission.Action) {
			for _, action := range actions {
				r, ok := waiting[action.ID]
				if !ok {
					t.Fatalf("action on request %d, which does not wait", action.ID)
				}
				delete(waiting, action.ID)
				if action.Verdict != admission.Run {
					continue
				}
				running[action.ID] = true
				for id, other := range waiting {
					if other.Priority > r.Priority {
						t.Fatalf("request %d ran before request %d of higher priority", action.ID, id)
					}
				}
			}
		}
		end := func() uint64 {
			for id := range running {
				delete(running, id)
				return id
			}
			return 0
		}
		ms := func(most int, name string) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		for id := uint64(1); id < 60; id++ {
			now = now.Add(ms(5, "step"))
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				if end() != 0 {
					apply(target.Complete("c", ms(20, "duration"), now))
				}
			case 2:
				if end() != 0 {
					apply(target.Abandon("c", ms(20, "duration"), now.Add(ms(30, "left")), now))
				}
			case 3:
				for queued := range waiting {
					if !target.Cancel(queued) {
						t.Fatalf("request %d does not wait", queued)
					}
					delete(waiting, queued)
					break
				}
			default:
				r := admission.Request{
					ID: id, Class: "c", Deadline: now.Add(time.Millisecond + ms(60, "deadline")),
					Priority: rapid.IntRange(0, 1).Draw(t, "priority"), Nested: rapid.Bool().Draw(t, "nested"),
					Tenant: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "tenant")), SoftDeadline: now.Add(ms(40, "soft deadline")),
				}
				action, shed := target.Submit(r, now)
				apply(shed)
				switch action.Verdict {
				case admission.Run:
					running[id] = true
				case admission.Wait:
					waiting[id] = r
				}
			}
			apply(target.Tick(now))
			load := target.Load(now)
			if load.Outstanding != len(running) || load.Queued != len(waiting) || len(waiting) > config.QueueLength || len(running) > config.Slots {
				t.Fatalf("load %+v, but %d run and %d wait", load, len(running), len(waiting))
			}
			room := config.Slots
			if config.CountHeld {
				room = min(room, 2*config.Slots-target.Abandoned(now))
			}
			if len(waiting) > 0 && len(running) < room {
				t.Fatalf("%d requests wait while %d of %d slots are taken", len(waiting), len(running), room)
			}
			if len(running)+target.Abandoned(now) > 2*config.Slots && config.CountHeld {
				t.Fatalf("the target holds %d", len(running)+target.Abandoned(now))
			}
		}
	})
}
