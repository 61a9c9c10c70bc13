package ctl

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"sassafrasnotch.example/mesh/admin"
)

const (
	// maxConcurrentRequests bounds the daemons to which a command sends requests at the same time.
	maxConcurrentRequests = 16
	// memberTimeout bounds the request to one member.
	memberTimeout = 3 * time.Second
)

// queryMembers requests a resource from the admin port of every member. The result is parallel
// to members; it is nil where a member has no admin address or the request failed.
func queryMembers[T any](ctx context.Context, c *Client, members []admin.MemberStatus, path string) []*T {
	responses := make([]*T, len(members))
	var group errgroup.Group
	group.SetLimit(maxConcurrentRequests)
	for i, m := range members {
		if m.AdminAddress == "" {
			continue
		}
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, memberTimeout)
			defer cancel()
			var response T
			if c.forAddress(m.AdminAddress).send(ctx, http.MethodGet, path, nil, &response) == nil {
				responses[i] = &response
			}
			return nil
		})
	}
	_ = group.Wait()
	return responses
}
