package emulator

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"gopkg.in/tomb.v2"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/checker"
)

// Caller describes one stream of orders of a workspace.
type Caller struct {
	Name      string
	Workspace gypsumhoist.Workspace
	Key       string
	KeyID     string
	Method    string
	Route     string
	Service   gypsumhoist.Service
	Class     string
	// Rate is new orders a second, arriving at random; they do not wait for each other.
	Rate float64
	// Entries are the base URLs of the nodes that the caller uses in turn.
	Entries []string
	// Keyed sends each order under an Idempotency-Key of its own.
	Keyed bool
	// Orders bounds how many orders there are; zero is without bound.
	Orders int
	// Sendings bounds how often one order is sent.
	Sendings int
	// Pause is how long the caller waits before it sends again; a hard caller waits for nothing.
	Pause time.Duration
	// Heeds makes the caller wait as long as Retry-After says, when that is longer than Pause.
	Heeds bool
	// Patience is how long one order may take in all, Deadline one sending.
	Patience time.Duration
	Deadline time.Duration
	// Poison is put into HeaderPoison.
	Poison string
}

// Load sends the orders of one Caller into a history.
// It is safe for concurrent use. The zero value is not usable; call NewLoad.
type Load struct {
	tmb     tomb.Tomb
	caller  Caller
	client  *http.Client
	history *checker.History
	random  *rand.Rand
	orders  sync.WaitGroup
	next    int
}

// NewLoad returns a load that has not started.
func NewLoad(ca Caller, client *http.Client, hs *checker.History, seed uint64) *Load {
	return &Load{caller: ca, client: client, history: hs, random: rand.New(rand.NewPCG(seed, seed))}
}

// Start begins to send.
func (ld *Load) Start() { ld.tmb.Go(ld.run) }

// Halt sends no further order; Stop waits for those that were begun.
func (ld *Load) Halt() { ld.tmb.Kill(nil) }

// Stop sends no further order and waits for those that were begun.
func (ld *Load) Stop() {
	ld.Halt()
	// The sending goroutine has no error of its own.
	_ = ld.tmb.Wait()
	ld.orders.Wait()
	ld.client.CloseIdleConnections()
}

func (ld *Load) run() error {
	due := time.NewTimer(ld.gap())
	defer due.Stop()
	for {
		select {
		case <-ld.tmb.Dying():
			return nil
		case <-due.C:
			if ld.caller.Orders > 0 && ld.next >= ld.caller.Orders {
				return nil
			}
			due.Reset(ld.gap())
			ld.next++
			or := ld.order(ld.next)
			ld.orders.Go(or.run)
		}
	}
}

// gap draws the time to the next order.
func (ld *Load) gap() time.Duration {
	return time.Duration(ld.random.ExpFloat64() / ld.caller.Rate * float64(time.Second))
}

func (ld *Load) order(number int) *order {
	ca := ld.caller
	or := &order{load: ld, key: ld.keyNow(), entry: number}
	or.record = &checker.Operation{
		Name: fmt.Sprintf("%s-%d", ca.Name, number), Load: ca.Name, Workspace: ca.Workspace, KeyID: ca.KeyID,
		Route: ca.Route, Service: ca.Service, Method: ca.Method, UsesIdempotencyKey: ca.Keyed, Class: ca.Class, Sent: time.Now(),
	}
	return or
}

// Places of the parts of a UUID of version 7 (RFC 9562, section 5.7).
const (
	uuidTimeBytes = 6
	uuidVersion   = 0x70
	uuidVariant   = 0x80
)

// keyNow returns a UUID of version 7 of the present time, drawn from the load's own random numbers:
// uuid.NewV7 keeps the newest time of the whole process, which spans several virtual clocks.
func (ld *Load) keyNow() string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(time.Now().UnixMilli())<<16)
	binary.BigEndian.PutUint16(id[uuidTimeBytes:8], uint16(ld.random.Uint32()))
	binary.BigEndian.PutUint64(id[8:], ld.random.Uint64())
	id[6] = uuidVersion | id[6]&0x0f
	id[8] = uuidVariant | id[8]&0x3f
	return id.String()
}

// order is one order on its way.
type order struct {
	load   *Load
	record *checker.Operation
	key    string
	entry  int
}

// run sends the order until it is done or the caller gives up.
func (or *order) run() {
	ca := or.load.caller
	ctx, cancel := context.WithTimeout(context.Background(), ca.Patience)
	defer cancel()
	for no := 1; no <= max(ca.Sendings, 1); no++ {
		pause, again := or.send(ctx, no)
		if !again || !sleep(ctx, pause) {
			break
		}
	}
	or.record.Ended = time.Now()
	or.load.history.AddOperation(or.record)
}

// sleep waits and reports whether the context lasted so long.
func sleep(ctx context.Context, pause time.Duration) bool {
	tm := time.NewTimer(pause)
	defer tm.Stop()
	select {
	case <-tm.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send sends the order once. It returns how long to wait and whether to send again.
func (or *order) send(ctx context.Context, no int) (time.Duration, bool) {
	ca := or.load.caller
	sd := checker.Attempt{Name: fmt.Sprintf("%s/%d", or.record.Name, no), Sent: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, ca.Deadline)
	defer cancel()
	after := or.exchange(ctx, &sd, no)
	sd.Ended = time.Now()
	or.record.Attempts = append(or.record.Attempts, sd)
	if sd.Complete && sd.Status < http.StatusBadRequest {
		or.record.Done = true
		return 0, false
	}
	pause := ca.Pause
	if ca.Heeds {
		pause = max(pause, after)
	}
	// What is not idempotent is sent again only when it surely did not run, or under its key.
	safe := ca.Method == http.MethodGet || ca.Keyed || sd.Verdict == gypsumhoist.VerdictNotRun.String()
	return pause, safe
}

// exchange sends one HTTP request, fills in what came back, and returns what Retry-After says.
func (or *order) exchange(ctx context.Context, sd *checker.Attempt, no int) time.Duration {
	ca := or.load.caller
	entry := ca.Entries[(or.entry+no)%len(ca.Entries)]
	req, err := http.NewRequestWithContext(ctx, ca.Method, entry+ca.Route+"/"+or.record.Name, nil)
	if err != nil {
		return 0
	}
	or.headers(req, sd)
	rs, err := or.load.client.Do(req)
	if err != nil {
		return 0
	}
	defer rs.Body.Close()
	data, err := io.ReadAll(rs.Body)
	sd.Complete = err == nil
	sd.Status = rs.StatusCode
	sd.Verdict = rs.Header.Get(gypsumhoist.HeaderVerdict)
	sd.Reason = gypsumhoist.Reason(rs.Header.Get(gypsumhoist.HeaderReason))
	if sd.Reason != "" {
		sd.Detail = string(data)
	}
	sd.Matching = strings.Contains(string(data), " for "+or.record.Name+" by ")
	after, err := time.ParseDuration(rs.Header.Get("Retry-After") + "s")
	if err != nil {
		return 0
	}
	return after
}

func (or *order) headers(req *http.Request, sd *checker.Attempt) {
	ca := or.load.caller
	if ca.Key != "" {
		req.Header.Set(gypsumhoist.HeaderKey, ca.Key)
	}
	req.Header.Set(HeaderOrder, or.record.Name)
	req.Header.Set(HeaderSending, sd.Name)
	req.Header.Set(HeaderOwner, string(ca.Workspace))
	if ca.Keyed {
		req.Header.Set(gypsumhoist.HeaderIdempotencyKey, or.key)
	}
	if ca.Poison != "" {
		req.Header.Set(HeaderPoison, ca.Poison)
	}
}
