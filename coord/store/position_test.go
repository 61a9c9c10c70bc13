package store

import (
	"testing"

	"github.com/matryer/is"
)

func position(t *testing.T, era, version uint64) Position {
	t.Helper()
	p, err := NewPosition(era, version)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestPositionsCompareByEraBeforeVersion(t *testing.T) {
	is := is.New(t)
	ordered := []Position{0, position(t, 1, 31), position(t, 1, maxVersion), position(t, 2, 0), position(t, 2, 30), position(t, maxEra, 1)}
	for i := 1; i < len(ordered); i++ {
		is.True(ordered[i-1] < ordered[i])
	}
	late := position(t, 2, 30)
	is.Equal(late.Era(), uint64(2))
	is.Equal(late.Version(), uint64(30))
	is.Equal(late.String(), "2:30")
	is.Equal(position(t, 1, 31).Behind(late), uint64(30))
	is.Equal(position(t, 2, 28).Behind(late), uint64(2))
	is.Equal(late.Behind(late), uint64(0))
}

func TestPositionsOfTheFirstEraAreThoseOfReleasesWithoutEras(t *testing.T) {
	is := is.New(t)
	is.Equal(position(t, 0, 31), Position(31)) // the store states no era
	is.Equal(position(t, 1, 31), Position(31))
	is.Equal(Position(31).String(), "31")
}

func TestPositionsOutOfRangeAreRefused(t *testing.T) {
	is := is.New(t)
	_, err := NewPosition(1, maxVersion+1)
	is.True(err != nil)
	_, err = NewPosition(maxEra+1, 1)
	is.True(err != nil)
}
