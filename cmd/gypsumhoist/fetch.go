package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/gypsumhoist/gypsumhoist"
)

// answerBytesMax limits the body of an answer; a longer one is an error, never cut.
const answerBytesMax = 64 << 20

// httpAnswer is an answer of the operator port to a plain HTTP request.
type httpAnswer struct {
	status int
	body   []byte
}

// fetch sends a plain HTTP request to the operator port.
func (of *operatorFlags) fetch(method, path string) (httpAnswer, error) {
	cl, base, err := of.httpClient()
	if err != nil {
		return httpAnswer{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, base+path, nil)
	if err != nil {
		return httpAnswer{}, err
	}
	rs, err := cl.Do(req)
	if err != nil {
		return httpAnswer{}, fmt.Errorf("no answer from the operator port %s (choose another instance with --at): %w", of.At, err)
	}
	defer rs.Body.Close()
	body, err := io.ReadAll(io.LimitReader(rs.Body, answerBytesMax+1))
	if err != nil {
		return httpAnswer{}, fmt.Errorf("the answer of %s broke off: %w", of.At, err)
	}
	if len(body) > answerBytesMax {
		return httpAnswer{}, fmt.Errorf("the answer of %s is longer than %d bytes", of.At, answerBytesMax)
	}
	return httpAnswer{status: rs.StatusCode, body: body}, nil
}

// decode unmarshals the JSON body of an answer. It returns an error unless the status is one of those given
// and the body is valid.
func (ha httpAnswer) decode(into any, statuses ...int) error {
	for _, status := range statuses {
		if ha.status == status && json.Unmarshal(ha.body, into) == nil {
			return nil
		}
	}
	return fmt.Errorf("the operator port answered %d: %.200s", ha.status, strings.TrimSpace(string(ha.body)))
}

// printBody writes the body of an answer unchanged.
func (of *operatorFlags) printBody(an httpAnswer) error {
	_, err := of.writer().Write(an.body)
	return err
}

// printSilent lists the instances that gave no answer, if any.
func (of *operatorFlags) printSilent(silent []gypsumhoist.Instance) error {
	if len(silent) == 0 {
		return nil
	}
	_, err := fmt.Fprintf(of.writer(), "\nNo answer from %s: what they know is missing.\n", joinNames(silent))
	return err
}

func joinNames[T ~string](names []T) string {
	texts := make([]string, 0, len(names))
	for _, name := range names {
		texts = append(texts, string(name))
	}
	return strings.Join(texts, ", ")
}
