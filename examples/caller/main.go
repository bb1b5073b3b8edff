// Command caller sends one request that must run at most once. It retries a refused request only if
// the verdict and the reason of the refusal allow it.
//
//	go run ./examples/caller --key ghk_... http://127.0.0.1:7400/slips/7
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"log"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/gypsumhoist/gypsumhoist"
)

const (
	// attemptsMax limits how often the request is sent.
	attemptsMax = 5
	// minPause is the shortest pause between two attempts.
	minPause = 500 * time.Millisecond
	// attemptTimeout limits one attempt.
	attemptTimeout = 10 * time.Second
)

// outcome is the result of one attempt.
type outcome struct {
	status     int
	verdict    gypsumhoist.Verdict
	reason     gypsumhoist.Reason
	retryAfter time.Duration
	body       string
}

func main() {
	key := flag.String("key", "", "key of the workspace")
	flag.Parse()
	if flag.NArg() != 1 {
		log.Fatal("give one URL")
	}
	// A version 7 UUID contains its time of creation, so that a late retry is refused instead of run again.
	id, err := uuid.NewV7()
	if err != nil {
		log.Fatal(err)
	}
	if err := sendWithRetries(flag.Arg(0), *key, id.String()); err != nil {
		log.Fatal(err)
	}
}

// sendWithRetries sends the request until it is answered or a retry is of no use.
func sendWithRetries(url, key, id string) error {
	client := &http.Client{Timeout: attemptTimeout}
	for range attemptsMax {
		oc, err := send(client, url, key, id)
		if err != nil {
			// Without an answer the request may have run. With the same Idempotency-Key a retry does not run it again.
			log.Print(err)
			time.Sleep(minPause)
			continue
		}
		if oc.reason == "" {
			fmt.Printf("%d %s", oc.status, oc.body)
			return nil
		}
		fmt.Printf("refused: %d %s %s\n", oc.status, oc.verdict, oc.reason)
		if !mayResend(oc) {
			return fmt.Errorf("not sent again: %s", oc.reason)
		}
		time.Sleep(max(minPause, oc.retryAfter))
	}
	return errors.New("not answered")
}

// mayResend reports whether the request may be sent again. The Idempotency-Key stays the same,
// so that a request that did run gets its stored answer.
func mayResend(oc outcome) bool {
	switch oc.reason {
	case gypsumhoist.ReasonDuplicate:
		// An earlier attempt still runs, or its answer was not stored.
		return oc.verdict == gypsumhoist.VerdictMayHaveRun && oc.retryAfter > 0
	case gypsumhoist.ReasonClaimExpired, gypsumhoist.ReasonClaimLost:
		return false
	default:
		return oc.status == http.StatusTooManyRequests || oc.status >= http.StatusInternalServerError
	}
}

func send(client *http.Client, url, key, id string) (outcome, error) {
	req, err := http.NewRequest(http.MethodPost, url, nil)
	if err != nil {
		return outcome{}, err
	}
	req.Header.Set(gypsumhoist.HeaderKey, key)
	req.Header.Set(gypsumhoist.HeaderIdempotencyKey, id)
	rs, err := client.Do(req)
	if err != nil {
		return outcome{}, err
	}
	defer rs.Body.Close()
	data, err := io.ReadAll(rs.Body)
	if err != nil {
		return outcome{}, err
	}
	oc := outcome{status: rs.StatusCode, reason: gypsumhoist.Reason(rs.Header.Get(gypsumhoist.HeaderReason)), body: string(data)}
	if oc.reason != "" {
		// ParseVerdict returns VerdictMayHaveRun for an invalid verdict.
		oc.verdict, _ = gypsumhoist.ParseVerdict(rs.Header.Get(gypsumhoist.HeaderVerdict))
	}
	if seconds, err := strconv.Atoi(rs.Header.Get("Retry-After")); err == nil {
		oc.retryAfter = time.Duration(seconds) * time.Second
	}
	return oc, nil
}
