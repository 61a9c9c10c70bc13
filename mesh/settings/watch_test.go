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

const minimal = `{
	"host": "h1", "zone": "a", "region": "r",
	"entry": {"listen": "127.0.0.1:1"}, "peer": {"listen": "127.0.0.1:2"},
	"gossip": {"listen": "127.0.0.1:2"}, "admin": {"listen": "127.0.0.1:3"},
	"platform": {"url": "http://127.0.0.1:4"}, "log": {"level": "LEVEL"}
}`

func TestWatchAppliesWhatIsValid(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	write := func(text string) { is.NoErr(os.WriteFile(path, []byte(text), 0o600)) }
	level := func(name string) string { return strings.Replace(minimal, "LEVEL", name, 1) }
	write(level("info"))
	first, err := Load(path)
	is.NoErr(err)
	applied := make(chan Settings, 1)
	told := make(chan os.Signal, 1)
	go Watch(t.Context(), path, first, told, zap.NewNop(), func(s Settings) { applied <- s })

	receive := func() Settings {
		select {
		case s := <-applied:
			return s
		case <-time.After(10 * time.Second):
			t.Fatal("nothing was applied")
			return Settings{}
		}
	}
	write(level("debug")) // changed without a signal
	is.Equal(receive().Log.Level, "debug")

	write(level("loud")) // not valid: nothing of it applies
	told <- syscall.SIGHUP
	select {
	case s := <-applied:
		t.Fatalf("applied log level %s", s.Log.Level)
	case <-time.After(2 * watchInterval):
	}

	write(level("warn"))
	told <- syscall.SIGHUP
	is.Equal(receive().Log.Level, "warn")
}

func TestChangedNamesFields(t *testing.T) {
	is := is.New(t)
	a, b := Default(), Default()
	b.Log.Level = "debug"
	b.Entry.Retry.Share = 0.3
	is.Equal(ChangedFields(&a, &b), []string{"entry.retry.share", "log.level"})
}
