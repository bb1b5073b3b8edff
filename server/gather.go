package server

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/gossiper"
)

// Bounds of a query to all instances.
const (
	gatherTimeout     = 2 * time.Second
	gatherMaxResponse = 8 << 20 // bytes
	gatherConcurrency = 16      // instances queried at a time
)

// gathered holds the responses of the other instances, in order of instance name.
type gathered[T any] struct {
	responses []T
	// silent are the instances that are unreachable or gave no valid response.
	silent []gypsumhoist.Instance
}

// gather sends a GET request for the path to the peer ports of all other instances.
func gather[T any](ctx context.Context, sv *Server, path string) gathered[T] {
	return gatherFrom[T](ctx, sv, sv.otherInstances(), path)
}

// gatherFrom sends a GET request for the path to the peer ports of the given instances.
func gatherFrom[T any](ctx context.Context, sv *Server, mbs []gossiper.Member, path string) gathered[T] {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	responses := make([]*T, len(mbs))
	var wg sync.WaitGroup
	slots := make(chan struct{}, gatherConcurrency)
	for ix, mb := range mbs {
		if mb.Status == gossiper.StatusUnreachable {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			responses[ix] = fetchFrom[T](ctx, sv, mb, http.MethodGet, path)
		})
	}
	wg.Wait()
	var out gathered[T]
	for ix, rs := range responses {
		if rs == nil {
			out.silent = append(out.silent, mbs[ix].Instance)
			continue
		}
		out.responses = append(out.responses, *rs)
	}
	return out
}

// otherInstances returns all other instances that have not left, in order of instance name.
func (sv *Server) otherInstances() []gossiper.Member {
	var out []gossiper.Member
	for _, mb := range sv.gossiper.View().Members() {
		if mb.Instance != sv.settings.Instance && mb.Status != gossiper.StatusLeft {
			out = append(out, mb)
		}
	}
	slices.SortFunc(out, func(ma, mb gossiper.Member) int {
		if ma.Instance < mb.Instance {
			return -1
		}
		return 1
	})
	return out
}

// fetchFrom sends a request to one instance and decodes its response; it returns nil on any error.
func fetchFrom[T any](ctx context.Context, sv *Server, mb gossiper.Member, method, path string) *T {
	an := new(T)
	if err := sv.fetch(ctx, mb, method, path, an); err != nil {
		return nil
	}
	return an
}

func (sv *Server) fetch(ctx context.Context, mb gossiper.Member, method, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, sv.peers.URL(mb.Peer)+path, nil)
	if err != nil {
		return err
	}
	rs, err := sv.peers.Do(req)
	if err != nil {
		return err
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		return fmt.Errorf("instance %s: unexpected status %s", mb.Instance, rs.Status)
	}
	return json.NewDecoder(io.LimitReader(rs.Body, gatherMaxResponse)).Decode(into)
}
