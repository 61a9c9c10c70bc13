package claim

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"sassafrasnotch.example/coord/claim"
	"sassafrasnotch.example/coord/store"
)

func TestClaimOutlivesARestoreOfTheStore(t *testing.T) {
	is := is.New(t)
	table := store.NewMemory()
	copied := table.Copy()
	c := newClaimer(table, zap.NewNop(), time.Millisecond, time.Now)
	defer c.Close(t.Context())
	request := claim.Request{Service: "desk", Key: "k", Attempt: "1", Fingerprint: 7}
	decision, err := c.Claim(t.Context(), request)
	is.NoErr(err)
	is.Equal(decision.Verdict, claim.Granted)
	table.Restore(copied)
	request.Attempt = "2"
	decision, err = c.Claim(t.Context(), request)
	is.True(err != nil || decision.Verdict != claim.Granted) // the first attempt may run
}
