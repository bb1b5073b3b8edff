package retrier

import (
	"fmt"
	"time"
)

// Usage is what the decisions on retries of a row are based on.
type Usage struct {
	// Firsts and Retries count the first attempts and the retries of the row in its window of 10 s.
	Firsts, Retries int64
	// Credit is how many retries the service can pay for.
	Credit int64
}

// String returns the usage as the detail of a decision.
func (us Usage) String() string {
	return fmt.Sprintf("row had %d first attempts and %d retries, service has credit for %d", us.Firsts, us.Retries, us.Credit)
}

// Usage returns the usage of a row and its service now.
func (re *Retrier) Usage(key RowKey) Usage {
	now := time.Since(re.start)
	re.mu.Lock()
	defer re.mu.Unlock()
	ra := re.rows.at(key.row(), now)
	ra.advance(now)
	return Usage{Firsts: ra.total.first, Retries: ra.total.retries, Credit: re.services.at(key.Service, now).credit.Retries(now)}
}
