package source

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// maxRowsBytes bounds the rows of one answer after decompression.
const maxRowsBytes = 64 << 20

// rowSet is what one daemon hands to another: whole rows, each with the version of
// the store at which it was written.
type rowSet struct {
	Configuration *Configuration `json:"configuration,omitempty"`
	Orders        []announced    `json:"orders,omitempty"`
	Moves         []RolloutRow   `json:"moves,omitempty"`
	// Barred are the versions that were taken back, of the services in Moves.
	Barred map[string][]string `json:"barred,omitempty"`
}

// announced is an order with the time at which it was first seen, on the store's
// clock.
type announced struct {
	RolloutOrder
	At time.Time `json:"at"`
}

func (r *rowSet) empty() bool {
	return r.Configuration == nil && len(r.Orders) == 0 && len(r.Moves) == 0
}

// held tells which rows the view holds; two equal views give the same query.
func (v *view) held() *peerpb.RowsQuery {
	query := new(peerpb.RowsQuery)
	if v.configuration != nil {
		query.Configuration = v.configuration.StoreVersion
	}
	services := make(map[string]*peerpb.ServiceRows)
	of := func(service string) *peerpb.ServiceRows {
		if services[service] == nil {
			services[service] = &peerpb.ServiceRows{Service: service}
			query.Services = append(query.Services, services[service])
		}
		return services[service]
	}
	for service, order := range v.orders {
		of(service).Order = order.StoreVersion
	}
	for service, move := range v.moves {
		of(service).Move = move.StoreVersion
	}
	slices.SortFunc(query.Services, func(a, b *peerpb.ServiceRows) int { return strings.Compare(a.Service, b.Service) })
	return query
}

// newer returns the rows that are newer than those that the query names.
func (v *view) newer(query *peerpb.RowsQuery) rowSet {
	var rows rowSet
	if v.configuration != nil && v.configuration.StoreVersion > query.GetConfiguration() {
		rows.Configuration = v.configuration
	}
	orders, moves := make(map[string]uint64), make(map[string]uint64)
	for _, service := range query.GetServices() {
		orders[service.GetService()], moves[service.GetService()] = service.GetOrder(), service.GetMove()
	}
	for service, order := range v.orders {
		if order.StoreVersion > orders[service] {
			rows.Orders = append(rows.Orders, announced{order.RolloutOrder, order.announced})
		}
	}
	for service, move := range v.moves {
		if move.StoreVersion <= moves[service] {
			continue
		}
		rows.Moves = append(rows.Moves, move)
		for version := range v.barred[service] {
			if rows.Barred == nil {
				rows.Barred = make(map[string][]string)
			}
			rows.Barred[service] = append(rows.Barred[service], version)
		}
	}
	return rows
}

// merge takes rows of another daemon in, as if they had been read. It returns an
// error, and keeps the configuration in force, if theirs is not valid; the other
// rows are taken in all the same.
func (v *view) merge(rows rowSet) error {
	var err error
	if rows.Configuration != nil {
		err = v.configure(*rows.Configuration)
	}
	for _, order := range rows.Orders {
		v.order(order.RolloutOrder, order.At)
	}
	for _, move := range rows.Moves {
		v.move(move)
	}
	for service, versions := range rows.Barred {
		for _, version := range versions {
			v.bar(service, version)
		}
	}
	return err
}

// encode returns the rows compressed: a configuration repeats its field names for
// each of hundreds of routes, and a reader sends it to all its followers.
func (r *rowSet) encode() ([]byte, error) {
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

// decodeRows is the inverse of rowSet.encode. Errors wrap revision.ErrCorrupt.
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
	for _, move := range rows.Moves {
		if err := move.Validate(); err != nil {
			return rowSet{}, fmt.Errorf("%w: %w", revision.ErrCorrupt, err)
		}
	}
	return rows, nil
}

func checksum(data []byte) uint64 { return xxhash.Sum64(data) }
