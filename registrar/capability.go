package registrar

import (
	"context"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

// capabilityTimeout bounds the question whether another control instance knows a kind of command. It is well below the second
// within which an operator's order should be acknowledged.
const capabilityTimeout = 400 * time.Millisecond

// capabilities remembers, by process, which control instances know EvacuateDomain. A replica of an older build refuses the command, and its
// revisions would differ from then on.
type capabilities struct {
	mu    sync.Mutex
	known map[gypsumhoist.Instance]uint64 // boot
}

func (cp *capabilities) has(sc Source) bool {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	boot, ok := cp.known[sc.Instance]
	return ok && boot == sc.Boot
}

func (cp *capabilities) add(sc Source) {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	if cp.known == nil {
		cp.known = map[gypsumhoist.Instance]uint64{}
	}
	cp.known[sc.Instance] = sc.Boot
}

// checkCapabilities returns an error that names a control instance whose build does not know EvacuateDomain. One that gives no answer in time does
// not prevent an order: it may be lost for good.
func (ops *OperatorService) checkCapabilities(ctx context.Context) error {
	controls := ops.controls.Load()
	if controls == nil || ops.peers == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, capabilityTimeout)
	defer cancel()
	results := make(chan error, len(*controls))
	for _, sc := range *controls {
		if sc.Suspect || ops.capabilities.has(sc) {
			results <- nil
			continue
		}
		go func() { results <- ops.checkCapability(ctx, sc) }()
	}
	var failed error
	for range *controls {
		if err := <-results; err != nil {
			failed = err
		}
	}
	return failed
}

// checkCapability sends an order without a domain, which is refused by each instance that knows such orders.
func (ops *OperatorService) checkCapability(ctx context.Context, sc Source) error {
	rq := connect.NewRequest(&registrarpb.EvacuateDomainRequest{})
	rq.Header().Set(headerForwarded, string(ops.self.Instance))
	_, err := registrarpb.NewOfficeClient(ops.peers, ops.peers.URL(sc.Peer)).EvacuateDomain(ctx, rq)
	if connect.CodeOf(err) == connect.CodeUnimplemented {
		return fmt.Errorf("control instance %s runs a build that does not know evacuations; upgrade it first: %w", sc.Instance, ErrNotProposed)
	}
	if err == nil {
		ops.capabilities.add(sc)
	}
	return nil
}
