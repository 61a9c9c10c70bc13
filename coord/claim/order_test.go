package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// orderModel is the state of one key's row while several attempts claim and release it. Rows are
// values, so that a copy of the model is independent of the original.
type orderModel struct {
	row     *Row
	version int
	nextVer int
	// steps holds, for each process, the next step and what it has read.
	processes [4]orderProcess
}

type orderProcess struct {
	kind    string // "write", "claim" or "release"
	attempt string
	step    int
	read    *Row
	version int
}

func (m orderModel) key() string {
	text := fmt.Sprint(m.version, rowText(m.row))
	for _, p := range m.processes {
		text += fmt.Sprint("|", p.step, p.version, rowText(p.read))
	}
	return text
}

func rowText(row *Row) string {
	if row == nil {
		return "-"
	}
	return fmt.Sprint(row.Attempt, row.Released, row.Expires.Unix())
}

// put writes the row if its version is still the expected one.
func (m *orderModel) put(row *Row, version int) bool {
	if m.version != version {
		return false
	}
	m.nextVer++
	m.row, m.version = row, m.nextVer
	return true
}

const orderDone = 99

// advance carries out the next store operation of a process.
func (m *orderModel) advance(index int, now time.Time) {
	p := &m.processes[index]
	request := &Request{Attempt: p.attempt, Fingerprint: 1}
	switch p.kind {
	case "write": // the delayed effect of the attempt's write
		m.put(NewRow(request, nil, now), 0)
		p.step = orderDone
	case "claim": // a copy of the claim that another host carries out late
		switch {
		case p.step%2 == 0:
			if m.put(NewRow(request, p.read, now), p.version) {
				p.step = orderDone
				return
			}
			p.step++
		default:
			p.read, p.version = m.row, m.version
			p.step++
			if m.row != nil && Decide(m.row, request, now).Verdict != Expired || p.step > 6 {
				p.step = orderDone
			}
		}
	case "release":
		switch {
		case p.step%2 == 0:
			p.read, p.version = m.row, m.version
			p.step = 1
			if Release(p.read, request, now) == nil {
				p.step = orderDone
			}
		case m.put(Release(p.read, request, now), p.version):
			p.step = orderDone
		default:
			p.step = 0
		}
	}
}

// TestKeyIsFreeAfterReleasesInAnyOrder plays every order of the writes, claims carried out late and
// releases of two attempts that were given up. Once all have ended, the key must be free.
func TestKeyIsFreeAfterReleasesInAnyOrder(t *testing.T) {
	now := time.Date(2026, 5, 1, 0, 0, 0, 0, time.UTC)
	for _, late := range [][2]string{{"write", "write"}, {"write", "claim"}, {"claim", "claim"}} {
		t.Run(late[0]+" and "+late[1], func(t *testing.T) {
			is := is.New(t)
			start := orderModel{processes: [4]orderProcess{
				{kind: late[0], attempt: "a"}, {kind: "release", attempt: "a"},
				{kind: late[1], attempt: "b"}, {kind: "release", attempt: "b"},
			}}
			seen := map[string]bool{}
			pending := []orderModel{start}
			ended := 0
			for len(pending) > 0 {
				m := pending[len(pending)-1]
				pending = pending[:len(pending)-1]
				if seen[m.key()] {
					continue
				}
				seen[m.key()] = true
				running := false
				for i := range m.processes {
					if m.processes[i].step != orderDone {
						next := m
						next.advance(i, now)
						pending = append(pending, next)
						running = true
					}
				}
				if running {
					continue
				}
				ended++
				decision := Decide(m.row, &Request{Attempt: "c", Fingerprint: 1}, now)
				if decision.Verdict != Expired {
					t.Fatalf("row %s is not free", rowText(m.row))
				}
			}
			is.True(ended > 0)
		})
	}
}

func TestReleaseKeepsWhatOthersHold(t *testing.T) {
	now := time.Date(2026, 5, 1, 0, 0, 0, 0, time.UTC)
	held := &Row{Attempt: "b", Fingerprint: 1, Expires: now.Add(time.Hour)}
	recorded := &Row{Attempt: "b", Fingerprint: 1, Expires: now.Add(time.Hour), Outcome: &Outcome{Status: 201}}
	request := &Request{Attempt: "a", Fingerprint: 1}
	is := is.New(t)

	next := Release(held, request, now)
	is.Equal(Decide(next, request, now).Verdict, Withdrawn)
	is.Equal(Decide(next, &Request{Attempt: "b", Fingerprint: 1}, now).Verdict, Granted)
	is.Equal(Decide(next, &Request{Attempt: "c", Fingerprint: 1}, now).Verdict, Pending)
	is.Equal(len(held.Released), 0)
	is.True(Release(next, request, now) == nil)
	is.True(Release(recorded, request, now) == nil)
}

func TestReleasedAttemptsAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 5, 1, 0, 0, 0, 0, time.UTC)
	var row *Row
	for i := range 5 * MaxReleased {
		row = Release(row, &Request{Attempt: fmt.Sprint(i)}, now)
		is.Equal(Decide(row, &Request{Attempt: "new"}, now).Verdict, Expired)
	}
	is.Equal(len(row.Released), MaxReleased)
	is.True(!row.Deletable(now.Add(ExpiredRetention)))
	is.True(row.Deletable(now.Add(ExpiredRetention + time.Second)))
}
