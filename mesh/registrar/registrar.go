// Package registrar accepts change tickets and writes them, with their outcome, to the store. Any
// daemon may run it: the transactions of the store order the writers.
package registrar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/store"
	"sassafrasnotch.example/coord/ticket"
)

const (
	ticketPrefix             = "ticket/"
	rejectionPrefix          = "rejection/"
	maxRejectionsPerRevision = 8   // reports stored for one revision
	maxListedTickets         = 500 // tickets returned by one call of Tickets
	maxSubmitAttempts        = 8   // appends of one ticket that may fail with a conflict
)

// ErrNumberUsed means that another ticket with the same number but other content was accepted
// before.
var ErrNumberUsed = errors.New("registrar: ticket number was used with other content")

// Distributor holds the daemon's copy of the configuration and spreads new revisions.
type Distributor interface {
	// Latest returns the latest snapshot held by this daemon.
	Latest() *revision.Snapshot
	// Distribute spreads changes that were just written.
	Distribute(next *revision.Snapshot, changes []revision.EncodedChange)
}

// Registrar accepts tickets and returns their status.
type Registrar struct {
	host        string
	backing     store.Store
	log         *revision.Log
	distributor Distributor
	logger      *zap.Logger
	now         func() time.Time
	zones       func() []string
}

// New returns a registrar for the daemon on the host. The IDs of its changes start with the host.
func New(host string, backing store.Store, log *revision.Log, distributor Distributor, logger *zap.Logger) *Registrar {
	return &Registrar{host: host, backing: backing, log: log, distributor: distributor, logger: logger, now: time.Now, zones: func() []string { return nil }}
}

// SetZones sets the function that returns the known availability zones, others than which no ticket may
// evacuate. It must be called before Submit.
func (r *Registrar) SetZones(zones func() []string) { r.zones = zones }

// TicketKey returns the row key of a ticket. Keys sort by ticket number.
func TicketKey(number uint64) string { return fmt.Sprintf("%s%020d", ticketPrefix, number) }

// Submit accepts or refuses the ticket. Submitting an accepted ticket again returns its stored
// status. The error wraps *ticket.RefusedError, ErrNumberUsed or an error of the store; it is
// store.ErrConflict if other writers changed rows of the ticket during every attempt.
func (r *Registrar) Submit(ctx context.Context, t *ticket.Ticket) (ticket.Status, error) {
	hash, err := t.Hash()
	if err != nil {
		return ticket.Status{}, fmt.Errorf("hash ticket %d: %w", t.Number, err)
	}
	submission := &submission{registrar: r, ticket: t, hash: hash, id: r.host + "/" + uuid.NewString()}
	for range maxSubmitAttempts {
		status, done, err := submission.attempt(ctx)
		if done || err != nil {
			return status, err
		}
	}
	return ticket.Status{}, fmt.Errorf("submit ticket %d: %w", t.Number, store.ErrConflict)
}

// Ticket returns the status of a ticket with the rejections of its revision, or store.ErrNotFound.
func (r *Registrar) Ticket(ctx context.Context, number uint64) (ticket.Status, error) {
	_, status, err := r.readTicket(ctx, number)
	if err != nil {
		return status, err
	}
	status.Rejections, err = r.rejections(ctx, status.Revision)
	return status, err
}

// readTicket returns the row of a ticket and the status that it holds.
func (r *Registrar) readTicket(ctx context.Context, number uint64) (store.Row, ticket.Status, error) {
	row, err := r.backing.Get(ctx, TicketKey(number))
	if err != nil {
		return row, ticket.Status{}, fmt.Errorf("read ticket %d: %w", number, err)
	}
	status, err := decodeStatus(row.Value)
	return row, status, err
}

func decodeStatus(value []byte) (ticket.Status, error) {
	var status ticket.Status
	if err := json.Unmarshal(value, &status); err != nil {
		return status, fmt.Errorf("decode a ticket row: %w", err)
	}
	return status, nil
}

// Tickets returns the statuses of the tickets with numbers above after, at most maxListedTickets of
// them, sorted by number. Rejections are not included.
func (r *Registrar) Tickets(ctx context.Context, after uint64) ([]ticket.Status, error) {
	rows, err := r.backing.Scan(ctx, ticketPrefix, TicketKey(after), maxListedTickets)
	if err != nil {
		return nil, fmt.Errorf("list tickets: %w", err)
	}
	statuses := make([]ticket.Status, 0, len(rows))
	for _, row := range rows {
		status, err := decodeStatus(row.Value)
		if err != nil {
			return nil, err
		}
		statuses = append(statuses, status)
	}
	return statuses, nil
}

// Append writes resources as the next revision on behalf of a rollout's ticket, with additional
// compares and writes in the same transaction, and returns the revision. It implements
// controller.RevisionLog.
func (r *Registrar) Append(ctx context.Context, put []revision.Resource, compares []store.Compare, writes []store.Write) (uint64, error) {
	id := r.host + "/" + uuid.NewString()
	build := func(state *revision.Snapshot) (revision.Draft, error) {
		return revision.Draft{Ticket: originTicket(state, put), Put: put, Compares: compares, Writes: writes}, nil
	}
	next, changes, err := r.log.Append(ctx, r.distributor.Latest(), id, build)
	if err != nil {
		return 0, err
	}
	r.distributor.Distribute(next, changes)
	return next.Revision(), nil
}

// originTicket returns the ticket that last set the resources. A step of that ticket's rollout does
// not change it.
func originTicket(state *revision.Snapshot, put []revision.Resource) uint64 {
	var origin uint64
	for _, resource := range put {
		if entry, ok := state.Entry(resource.Ref()); ok {
			origin = max(origin, entry.Ticket)
		}
	}
	return origin
}
