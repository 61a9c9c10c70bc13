package store

import (
	"fmt"
	"strconv"
)

// Position is a place in the history of a store: an era, and a version within it. A store that comes
// back from an older copy begins a new era, in which it gives out versions again. Positions compare
// with < by era and then by version, and never by version alone.
//
// Eras count from 1; the positions of the first era, and those of a store that states none, have the
// numbers of their versions, as in releases that know no eras. The zero Position stands for an absent
// row, or for the beginning of the history.
type Position uint64

const (
	versionBits = 44
	maxVersion  = 1<<versionBits - 1
	maxEra      = 1<<(64-versionBits) - 1 + FirstEra
)

// FirstEra is the era of a store that has never come back from a copy.
const FirstEra = 1

// NewPosition returns the position of a version in an era. Era 0 stands for the first one. The error
// names a number that is out of range.
func NewPosition(era, version uint64) (Position, error) {
	if era > maxEra || version > maxVersion {
		return 0, fmt.Errorf("store: era %d or version %d is out of range", era, version)
	}
	return Position((max(era, FirstEra)-FirstEra)<<versionBits | version), nil
}

// Era returns the era, 1 or above.
func (p Position) Era() uint64 { return uint64(p>>versionBits) + FirstEra }

// Version returns the version within the era.
func (p Position) Version() uint64 { return uint64(p & maxVersion) }

// At returns the position of a version in the era of p, or 0 for version 0, which stands for an absent
// row. A version out of range counts as the highest one.
func (p Position) At(version uint64) Position {
	if version == 0 {
		return 0
	}
	return p&^maxVersion | Position(min(version, maxVersion))
}

// Behind returns the number of versions that p is behind a later position; all versions of another era
// count.
func (p Position) Behind(later Position) uint64 {
	switch {
	case p >= later:
		return 0
	case p.Era() == later.Era():
		return uint64(later - p)
	}
	return later.Version()
}

// String returns the version, with its era in front if that is not the first one.
func (p Position) String() string {
	version := strconv.FormatUint(p.Version(), 10)
	if p.Era() == FirstEra {
		return version
	}
	return strconv.FormatUint(p.Era(), 10) + ":" + version
}
