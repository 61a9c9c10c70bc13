package settings

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// minimalSettings are valid once LEVEL is replaced by a log level.
const minimalSettings = `{
	"host": "h1", "zone": "a", "region": "r",
	"entry": {"listen": "127.0.0.1:1"}, "peer": {"listen": "127.0.0.1:2"},
	"gossip": {"listen": "127.0.0.1:2"}, "admin": {"listen": "127.0.0.1:3"},
	"platform": {"url": "http://127.0.0.1:4"}, "log": {"level": "LEVEL"}
}`

func TestWatchAppliesWhatIsValid(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	write := func(text string) { is.NoErr(os.WriteFile(path, []byte(text), 0o600)) }
	withLevel := func(name string) string { return strings.Replace(minimalSettings, "LEVEL", name, 1) }
	write(withLevel("info"))
	first, err := Load(path)
	is.NoErr(err)
	applied := make(chan Settings, 1)
	reload := make(chan os.Signal, 1)
	go Watch(t.Context(), path, first, reload, zap.NewNop(), func(s Settings) { applied <- s })

	receive := func() Settings {
		select {
		case s := <-applied:
			return s
		case <-time.After(10 * time.Second):
			t.Fatal("no settings were applied in time")
			return Settings{}
		}
	}
	write(withLevel("debug")) // changed without a signal
	is.Equal(receive().Log.Level, "debug")

	write(withLevel("loud")) // invalid: nothing is applied
	reload <- syscall.SIGHUP
	select {
	case s := <-applied:
		t.Fatalf("applied log level %s", s.Log.Level)
	case <-time.After(2 * watchInterval):
	}

	write(withLevel("warn"))
	reload <- syscall.SIGHUP
	is.Equal(receive().Log.Level, "warn")
}

func TestChangedFields(t *testing.T) {
	is := is.New(t)
	a, b := Default(), Default()
	b.Log.Level = "debug"
	b.Entry.Retry.Share = 0.3
	is.Equal(ChangedFields(&a, &b), []string{"entry.retry.share", "log.level"})
}
