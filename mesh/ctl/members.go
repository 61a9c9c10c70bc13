package ctl

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"sassafrasnotch.example/mesh/admin"
)

const (
	// maxConcurrentRequests bounds the daemons that a command asks at a time.
	maxConcurrentRequests = 16
	// memberTimeout bounds the wait for one of them.
	memberTimeout = 3 * time.Second
)

// queryMembers asks the admin port of every member for one resource. An answer is
// nil if the member did not give it.
func queryMembers[T any](ctx context.Context, c *Client, members []admin.MemberStatus, path string) []*T {
	answers := make([]*T, len(members))
	var group errgroup.Group
	group.SetLimit(maxConcurrentRequests)
	for i, m := range members {
		if m.AdminAddress == "" {
			continue
		}
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, memberTimeout)
			defer cancel()
			var answer T
			if c.forAddress(m.AdminAddress).send(ctx, http.MethodGet, path, nil, &answer) == nil {
				answers[i] = &answer
			}
			return nil
		})
	}
	_ = group.Wait()
	return answers
}
