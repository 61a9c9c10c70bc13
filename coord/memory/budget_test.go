package memory

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	testTotal = 16 << 20
	ordinary  = 32 << 10
)

// client is a connection in virtual time. A closed one releases what it holds.
type client struct {
	holder *Holder
	closed bool
}

func open(b *Budget, now time.Duration, bytes int64, phase Phase) *client {
	c := &client{}
	c.holder = b.Open(now, bytes, func() { c.closed = true })
	c.holder.SetPhase(now, phase)
	return c
}

// Guards against a crowd of stalled clients that takes the memory of clients that make progress.
func TestStalledCrowdIsClosedBeforeClientsThatProgress(t *testing.T) {
	is := is.New(t)
	b := NewBudget(testTotal)
	upload := open(b, 0, ordinary, AwaitingClient)
	is.True(upload.holder.Grow(0, 100<<10))
	var crowd []*client
	for now := time.Duration(0); now < 20*time.Second; now += 10 * time.Millisecond {
		upload.holder.Progress(now, 256<<10)
		stalled := open(b, now, 20<<10, AwaitingClient)
		if stalled.holder != nil {
			stalled.holder.Progress(now, 60<<10)
			for range 8 {
				if !stalled.holder.Grow(now, 64<<10) {
					stalled.holder.Release()
					break
				}
			}
			crowd = append(crowd, stalled)
		}
		request := open(b, now, ordinary, Running)
		is.True(request.holder != nil) // the kept part is for ordinary requests
		request.holder.Release()
		for _, c := range crowd {
			if c.closed {
				c.holder.Release()
			}
		}
		is.True(b.Usage().Held <= testTotal)
	}
	is.True(!upload.closed)
	closed := 0
	for _, c := range crowd {
		if c.closed {
			closed++
		}
	}
	is.True(closed > 0)
}

// Guards against idle connections that keep new ones out, and against closing requests that run for them.
func TestLongestIdleMakesRoomAndRunningRequestsAreSpared(t *testing.T) {
	is := is.New(t)
	b := NewBudget(4 * ordinary)
	running := open(b, 0, ordinary, Running)
	first, second := open(b, 0, ordinary, Idle), open(b, time.Millisecond, ordinary, Idle)
	receiving := open(b, 0, ordinary, AwaitingClient)
	is.Equal(b.Open(stallTime/2, ordinary, nil), nil) // nobody has been still for long
	now := 2 * stallTime
	for _, expected := range []*client{first, second, receiving} {
		is.True(!expected.closed)
		is.True(open(b, now, ordinary, Running).holder != nil)
		is.True(expected.closed)
		expected.holder.Release()
	}
	is.Equal(b.Open(now, ordinary, nil), nil)
	is.True(!running.closed)
	is.Equal(b.Usage().Closed, uint64(3))
	is.Equal(b.Usage().Refused, uint64(2))
}

// Guards against a large request that closes others for itself though it is the worst.
func TestWorstHolderIsRefusedItself(t *testing.T) {
	is := is.New(t)
	b := NewBudget(testTotal)
	other := open(b, 0, ordinary, AwaitingClient)
	large := open(b, 0, ordinary, AwaitingClient)
	for large.holder.Grow(0, 64<<10) {
	}
	is.True(!other.closed)
	is.True(!large.closed)
	is.True(b.Usage().Held <= testTotal-testTotal/keptDivisor)
	is.True(!large.holder.TryGrow(64 << 10))
	large.holder.Release()
	large.holder.Release() // counts once
	is.Equal(b.Usage().Held, int64(ordinary))
	is.True(!large.holder.Grow(0, 1)) // it has ended
}

func TestBudgetHoldsUnderAnyUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(1 << 20)
		var clients []*client
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			switch action := rapid.IntRange(0, 4).Draw(t, "action"); {
			case action == 0 || len(clients) == 0:
				if c := open(b, now, 20<<10, Phase(rapid.IntRange(0, 2).Draw(t, "phase"))); c.holder != nil {
					clients = append(clients, c)
				}
			default:
				c := clients[rapid.IntRange(0, len(clients)-1).Draw(t, "client")]
				switch action {
				case 1:
					c.holder.Grow(now, int64(rapid.IntRange(0, 200<<10).Draw(t, "bytes")))
				case 2:
					c.holder.Shrink(int64(rapid.IntRange(0, 100<<10).Draw(t, "less")))
				case 3:
					c.holder.Progress(now, int64(rapid.IntRange(0, 1<<20).Draw(t, "progress")))
				case 4:
					c.holder.Release()
				}
			}
			held, open := int64(0), int64(0)
			for h := range b.holders {
				held += h.held
				if !h.closing {
					open += h.held
				}
			}
			if held != b.held || held-open != b.closing || open > b.total {
				t.Fatalf("held %d, counted %d; closing %d, counted %d", held, b.held, held-open, b.closing)
			}
		}
	})
}
