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

// Caller describes one stream of operations of a workspace.
type Caller struct {
	Name      string
	Workspace gypsumhoist.Workspace
	Key       string
	KeyID     string
	Method    string
	Route     string
	Service   gypsumhoist.Service
	Class     string
	// Rate is the mean number of new operations per second. They arrive as a Poisson process, whether or not earlier ones have ended.
	Rate float64
	// EntryURLs are the base URLs of the nodes that the caller uses in turn.
	EntryURLs []string
	// UsesIdempotencyKey sends each operation under its own Idempotency-Key.
	UsesIdempotencyKey bool
	// MaxOperations bounds the number of operations; zero means no bound.
	MaxOperations int
	// MaxAttempts bounds the attempts of one operation.
	MaxAttempts int
	// RetryDelay is the time between the end of one attempt and the next; zero retries at once.
	RetryDelay time.Duration
	// HonorRetryAfter extends RetryDelay to what Retry-After asks for, where that is longer.
	HonorRetryAfter bool
	// OperationTimeout bounds one operation with all its attempts, AttemptTimeout a single attempt.
	OperationTimeout time.Duration
	AttemptTimeout   time.Duration
	// Poison is the value of HeaderPoison.
	Poison string
}

// Load is a load generator: it sends the operations of one Caller and records them in a history.
// It is safe for concurrent use. The zero value is not usable; call NewLoad.
type Load struct {
	tmb      tomb.Tomb
	caller   Caller
	client   *http.Client
	history  *checker.History
	random   *rand.Rand
	inFlight sync.WaitGroup
	started  int
}

// NewLoad returns a load that has not been started.
func NewLoad(ca Caller, client *http.Client, hs *checker.History, seed uint64) *Load {
	return &Load{caller: ca, client: client, history: hs, random: rand.New(rand.NewPCG(seed, seed))}
}

// Start begins to send operations.
func (ld *Load) Start() { ld.tmb.Go(ld.run) }

// Halt starts no further operations; Stop also waits for those in flight.
func (ld *Load) Halt() { ld.tmb.Kill(nil) }

// Stop starts no further operations and waits for those in flight.
func (ld *Load) Stop() {
	ld.Halt()
	// The sending goroutine never returns an error.
	_ = ld.tmb.Wait()
	ld.inFlight.Wait()
	ld.client.CloseIdleConnections()
}

func (ld *Load) run() error {
	due := time.NewTimer(ld.nextInterval())
	defer due.Stop()
	for {
		select {
		case <-ld.tmb.Dying():
			return nil
		case <-due.C:
			if ld.caller.MaxOperations > 0 && ld.started >= ld.caller.MaxOperations {
				return nil
			}
			due.Reset(ld.nextInterval())
			ld.started++
			op := ld.newOperation(ld.started)
			ld.inFlight.Go(op.run)
		}
	}
}

// nextInterval draws the time to the next operation.
func (ld *Load) nextInterval() time.Duration {
	return time.Duration(ld.random.ExpFloat64() / ld.caller.Rate * float64(time.Second))
}

func (ld *Load) newOperation(number int) *operation {
	ca := ld.caller
	op := &operation{load: ld, idempotencyKey: ld.newIdempotencyKey(), firstEntry: number}
	op.record = &checker.Operation{
		Name: fmt.Sprintf("%s-%d", ca.Name, number), Load: ca.Name, Workspace: ca.Workspace, KeyID: ca.KeyID,
		Route: ca.Route, Service: ca.Service, Method: ca.Method, UsesIdempotencyKey: ca.UsesIdempotencyKey, Class: ca.Class, Sent: time.Now(),
	}
	return op
}

// Parts of a UUID of version 7 (RFC 9562, section 5.7).
const (
	uuidTimeBytes = 6
	uuidVersion   = 0x70
	uuidVariant   = 0x80
)

// newIdempotencyKey returns a UUID of version 7 of the present time, drawn from the load's own random numbers:
// uuid.NewV7 keeps the latest time of the whole process, which spans several virtual clocks.
func (ld *Load) newIdempotencyKey() string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(time.Now().UnixMilli())<<16)
	binary.BigEndian.PutUint16(id[uuidTimeBytes:8], uint16(ld.random.Uint32()))
	binary.BigEndian.PutUint64(id[8:], ld.random.Uint64())
	id[6] = uuidVersion | id[6]&0x0f
	id[8] = uuidVariant | id[8]&0x3f
	return id.String()
}

// operation is one operation in flight.
type operation struct {
	load           *Load
	record         *checker.Operation
	idempotencyKey string
	firstEntry     int
}

// run sends attempts until the operation is done or the caller gives up.
func (op *operation) run() {
	ca := op.load.caller
	ctx, cancel := context.WithTimeout(context.Background(), ca.OperationTimeout)
	defer cancel()
	for number := 1; number <= max(ca.MaxAttempts, 1); number++ {
		pause, again := op.send(ctx, number)
		if !again || !sleep(ctx, pause) {
			break
		}
	}
	op.record.Ended = time.Now()
	op.load.history.AddOperation(op.record)
}

// sleep waits and reports whether the context outlasted the pause.
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

// send makes one attempt. It returns the delay until the next one and whether there may be one.
func (op *operation) send(ctx context.Context, number int) (time.Duration, bool) {
	ca := op.load.caller
	att := checker.Attempt{Name: fmt.Sprintf("%s/%d", op.record.Name, number), Sent: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, ca.AttemptTimeout)
	defer cancel()
	after := op.exchange(ctx, &att, number)
	att.Ended = time.Now()
	op.record.Attempts = append(op.record.Attempts, att)
	if att.Complete && att.Status < http.StatusBadRequest {
		op.record.Done = true
		return 0, false
	}
	pause := ca.RetryDelay
	if ca.HonorRetryAfter {
		pause = max(pause, after)
	}
	// An operation that is not idempotent is retried only if it surely did not run, or under an Idempotency-Key.
	safe := ca.Method == http.MethodGet || ca.UsesIdempotencyKey || att.Verdict == gypsumhoist.VerdictNotRun.String()
	return pause, safe
}

// exchange sends one HTTP request, records the response, and returns the delay that Retry-After asks for.
func (op *operation) exchange(ctx context.Context, att *checker.Attempt, number int) time.Duration {
	ca := op.load.caller
	entry := ca.EntryURLs[(op.firstEntry+number)%len(ca.EntryURLs)]
	req, err := http.NewRequestWithContext(ctx, ca.Method, entry+ca.Route+"/"+op.record.Name, nil)
	if err != nil {
		return 0
	}
	op.setHeaders(req, att)
	rs, err := op.load.client.Do(req)
	if err != nil {
		return 0
	}
	defer rs.Body.Close()
	data, err := io.ReadAll(rs.Body)
	att.Complete = err == nil
	att.Status = rs.StatusCode
	att.Verdict = rs.Header.Get(gypsumhoist.HeaderVerdict)
	att.Reason = gypsumhoist.Reason(rs.Header.Get(gypsumhoist.HeaderReason))
	if att.Reason != "" {
		att.Detail = string(data)
	}
	att.Matching = strings.Contains(string(data), " for "+op.record.Name+" by ")
	after, err := time.ParseDuration(rs.Header.Get("Retry-After") + "s")
	if err != nil {
		return 0
	}
	return after
}

func (op *operation) setHeaders(req *http.Request, att *checker.Attempt) {
	ca := op.load.caller
	if ca.Key != "" {
		req.Header.Set(gypsumhoist.HeaderKey, ca.Key)
	}
	req.Header.Set(HeaderOperation, op.record.Name)
	req.Header.Set(HeaderAttempt, att.Name)
	req.Header.Set(HeaderCallerWorkspace, string(ca.Workspace))
	if ca.UsesIdempotencyKey {
		req.Header.Set(gypsumhoist.HeaderIdempotencyKey, op.idempotencyKey)
	}
	if ca.Poison != "" {
		req.Header.Set(HeaderPoison, ca.Poison)
	}
}
