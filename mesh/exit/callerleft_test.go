package exit_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

func TestQueuedRequestWhoseEntryLeftIsNotDispatched(t *testing.T) {
	tests := []struct {
		name     string
		complete bool
	}{{"after its body", true}, {"within its body", false}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fx := newFixture(t)
			var runs atomic.Int32
			release, began := make(chan struct{}), make(chan struct{}, 2)
			fx.target(1, func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				began <- struct{}{}
				<-release
				_, _ = io.Copy(io.Discard, r.Body)
			})
			first := fx.send(requestHead("GET", "/first", ""))
			<-began
			head := requestHead("POST", "/second", "start")
			head.Complete, head.ContentLength = test.complete, 5
			if !test.complete {
				head.ContentLength = 100_000
			}
			second := fx.send(head)
			if !test.complete {
				is.NoErr(second.Send(&peerpb.CallFrame{Attempt: fx.attempt, Body: &peerpb.CallFrame_Data{Data: make([]byte, 20_000)}}))
			}
			time.Sleep(50 * time.Millisecond) // the request is queued
			second.Discard()
			time.Sleep(50 * time.Millisecond) // the close arrives
			close(release)
			is.True(receive(t, first).GetAnswer() != nil)
			first.Release()
			time.Sleep(200 * time.Millisecond)
			is.Equal(runs.Load(), int32(1))
		})
	}
}

func TestRequestsThatWereNotDispatchedDoNotShortenTheServiceTime(t *testing.T) {
	const work = 50 * time.Millisecond
	is := is.New(t)
	fx := newFixture(t)
	began := make(chan struct{}, 1)
	fx.target(1, func(http.ResponseWriter, *http.Request) {
		began <- struct{}{}
		time.Sleep(work)
	})
	serviceTime := func() time.Duration {
		stream := fx.send(requestHead("GET", "/lookup", ""))
		defer stream.Release()
		<-began
		return time.Duration(receive(t, stream).GetAnswer().GetLoad().GetServiceMicros()) * time.Microsecond
	}
	serviceTime()
	for range 8 {
		running := fx.send(requestHead("GET", "/lookup", ""))
		<-began
		head := requestHead("POST", "/order", "start")
		head.Complete, head.ContentLength = false, 100_000
		left := fx.send(head)
		time.Sleep(work / 5) // it is queued
		left.Discard()
		is.True(receive(t, running).GetAnswer() != nil)
		running.Release()
	}
	serviceTime()
	is.True(serviceTime() >= work)
}
