package source

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// maxRowsBytes bounds the rows of one reply after decompression, in bytes.
const maxRowsBytes = 64 << 20

// rowsFormat is raised when a configuration gets fields that the daemons must not lose: 1 added tenants.
const rowsFormat = 1

// errFormerRelease means that rows come from a release that drops fields of a configuration. Without its
// tenants, a configuration would let requests without a key pass.
var errFormerRelease = errors.New("source: rows of a release that does not know all fields of a configuration")

// rowSet holds the rows that one daemon sends to another. The rows are whole, each with the version
// of the store at which it was written. It is encoded as JSON and compressed with gzip.
type rowSet struct {
	// Format is rowsFormat of the sender's release.
	Format        int            `json:"format,omitempty"`
	Configuration *Configuration `json:"configuration,omitempty"`
	Orders        []orderRow     `json:"orders,omitempty"`
	Rollouts      []RolloutRow   `json:"moves,omitempty"`
	// Barred lists the versions that were rolled back, by service, for the services in Rollouts.
	Barred map[string][]string `json:"barred,omitempty"`
	// Evacuations are sent whole if anything about them is newer.
	Evacuations *evacuationSet `json:"evacuations,omitempty"`
}

// orderRow is an observedOrder as it is encoded.
type orderRow struct {
	RolloutOrder
	ObservedAt time.Time `json:"at"`
}

// empty reports whether there are no rows.
func (r *rowSet) empty() bool {
	return r.Configuration == nil && len(r.Orders) == 0 && len(r.Rollouts) == 0 && r.Evacuations == nil
}

// evacuationRows is the name under which a query states the version and the revision of the evacuations
// held. No service has it, and daemons of a release that knows no evacuations do not send it.
const evacuationRows = ""

// heldVersions returns a query that states the store version of each row held. Equal states return
// equal queries.
func (s *rowState) heldVersions() *peerpb.RowsQuery {
	query := new(peerpb.RowsQuery)
	if s.configuration != nil {
		query.Configuration = uint64(s.configuration.Position)
	}
	services := make(map[string]*peerpb.ServiceRows)
	rowsOf := func(service string) *peerpb.ServiceRows {
		if services[service] == nil {
			services[service] = &peerpb.ServiceRows{Service: service}
			query.Services = append(query.Services, services[service])
		}
		return services[service]
	}
	for service, order := range s.orders {
		rowsOf(service).Order = uint64(order.Position)
	}
	for service, row := range s.rollouts {
		rowsOf(service).Move = uint64(row.Position)
	}
	held := rowsOf(evacuationRows)
	held.Order, held.Move = uint64(s.evacuations.version), uint64(s.evacuations.revision)
	slices.SortFunc(query.Services, func(a, b *peerpb.ServiceRows) int { return strings.Compare(a.Service, b.Service) })
	return query
}

// newerThan returns the rows that are newer than the versions that the query states.
func (s *rowState) newerThan(query *peerpb.RowsQuery) rowSet {
	var rows rowSet
	if s.configuration != nil && uint64(s.configuration.Position) > query.GetConfiguration() {
		rows.Configuration = s.configuration
	}
	orders, rollouts := make(map[string]uint64), make(map[string]uint64)
	for _, service := range query.GetServices() {
		if service.GetService() == evacuationRows {
			if uint64(s.evacuations.version) > service.GetOrder() || uint64(s.evacuations.revision) > service.GetMove() {
				rows.Evacuations = s.evacuations.set()
			}
			continue
		}
		orders[service.GetService()], rollouts[service.GetService()] = service.GetOrder(), service.GetMove()
	}
	for service, order := range s.orders {
		if uint64(order.Position) > orders[service] {
			rows.Orders = append(rows.Orders, orderRow{order.RolloutOrder, order.observedAt})
		}
	}
	for service, row := range s.rollouts {
		if uint64(row.Position) <= rollouts[service] {
			continue
		}
		rows.Rollouts = append(rows.Rollouts, row)
		for version := range s.barred[service] {
			if rows.Barred == nil {
				rows.Barred = make(map[string][]string)
			}
			rows.Barred[service] = append(rows.Barred[service], version)
		}
	}
	return rows
}

// merge adds the rows of another daemon as if they had been read from the store. If any is not valid,
// it returns an error, keeps the present one and still adds the other rows.
func (s *rowState) merge(rows rowSet, now time.Time) error {
	var problems []error
	if rows.Configuration != nil {
		problems = append(problems, s.addConfiguration(*rows.Configuration, now))
	}
	for _, order := range rows.Orders {
		s.addOrder(order.RolloutOrder, order.ObservedAt)
	}
	for _, row := range rows.Rollouts {
		problems = append(problems, s.addRollout(row))
	}
	if rows.Evacuations != nil && s.evacuations.merge(rows.Evacuations, now) {
		s.changed = true
	}
	for service, versions := range rows.Barred {
		for _, version := range versions {
			s.bar(service, version)
		}
	}
	return errors.Join(problems...)
}

// encode returns the encoded and compressed rows. They are compressed because a configuration
// repeats its field names for each of hundreds of routes, and a zone reader sends it to all its
// followers.
func (r *rowSet) encode() ([]byte, error) {
	r.Format = rowsFormat
	var out bytes.Buffer
	writer, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(writer).Encode(r); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// decodeRows decodes the output of rowSet.encode, whose checksum is sum. Empty data is a set without
// rows. Errors wrap revision.ErrCorrupt or errFormerRelease.
func decodeRows(data []byte, sum uint64) (rowSet, error) {
	var rows rowSet
	if len(data) == 0 {
		return rows, nil
	}
	if checksum(data) != sum {
		return rows, revision.ErrCorrupt
	}
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return rows, fmt.Errorf("%w: %w", revision.ErrCorrupt, err)
	}
	if err := json.NewDecoder(io.LimitReader(reader, maxRowsBytes)).Decode(&rows); err != nil {
		return rowSet{}, fmt.Errorf("%w: %w", revision.ErrCorrupt, err)
	}
	if rows.Configuration != nil && rows.Format < rowsFormat {
		return rowSet{}, errFormerRelease
	}
	for _, row := range rows.Rollouts {
		if err := row.Validate(); err != nil {
			return rowSet{}, fmt.Errorf("%w: %w", revision.ErrCorrupt, err)
		}
	}
	return rows, nil
}

// checksum returns the 64-bit xxHash of the data.
func checksum(data []byte) uint64 { return xxhash.Sum64(data) }
