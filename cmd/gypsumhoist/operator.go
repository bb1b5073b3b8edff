package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

const (
	// resendsMax is how often a request with an unknown outcome is resent.
	resendsMax = 3
	// resendPause is the pause between two resends.
	resendPause = time.Second
	// requestTimeout is the timeout of one request, in addition to the wait that it asks for.
	requestTimeout = 20 * time.Second
)

// operatorFlags are the flags of all commands that send requests to an instance.
type operatorFlags struct {
	At             netip.AddrPort `help:"Operator address of any instance." default:"127.0.0.1:7403" placeholder:"IP:PORT"`
	JSON           bool           `name:"json" help:"Print the answer as JSON."`
	TLSAuthority   string         `name:"tls-authority" help:"PEM file of the authority; needed when the operator port is not on loopback." type:"existingfile"`
	TLSCertificate string         `name:"tls-certificate" help:"PEM file of the operator's certificate." type:"existingfile"`
	TLSKey         string         `name:"tls-key" help:"PEM file of the certificate's key." type:"existingfile"`

	out io.Writer
}

// editFlags are the flags of commands that send an edit with an id.
type editFlags struct {
	EditID string        `name:"edit-id" help:"Name of this edit; a resend under it gets the first answer. A new one is made when it is left out."`
	Wait   time.Duration `help:"How long to wait until the change is in force everywhere." default:"3s"`
}

// id returns the edit id. It generates one on the first call if none was given.
func (ef *editFlags) id() string {
	if ef.EditID == "" {
		var raw [8]byte
		for ix := range raw {
			raw[ix] = byte(rand.Uint32())
		}
		ef.EditID = "cli-" + hex.EncodeToString(raw[:])
	}
	return ef.EditID
}

func (ef *editFlags) waitMS() uint32 { return uint32(max(ef.Wait, 0).Milliseconds()) }

func (of *operatorFlags) writer() io.Writer {
	if of.out == nil {
		return os.Stdout
	}
	return of.out
}

// client returns a client of the operators' service at the operator address.
func (of *operatorFlags) client() (registrarpb.OfficeClient, error) {
	cl, base, err := of.httpClient()
	if err != nil {
		return nil, err
	}
	return registrarpb.NewOfficeClient(cl, base), nil
}

// httpClient returns an HTTP client and the base URL of the operator address.
func (of *operatorFlags) httpClient() (*http.Client, string, error) {
	transport := &http.Transport{}
	scheme := "http"
	if of.TLSAuthority != "" || of.TLSCertificate != "" || of.TLSKey != "" {
		cf, err := of.tlsConfig()
		if err != nil {
			return nil, "", err
		}
		transport.TLSClientConfig = cf
		scheme = "https"
	}
	return &http.Client{Transport: connector.NewCheckedTransport(transport)}, scheme + "://" + of.At.String(), nil
}

func (of *operatorFlags) tlsConfig() (*tls.Config, error) {
	if of.TLSAuthority == "" || of.TLSCertificate == "" || of.TLSKey == "" {
		return nil, errors.New("--tls-authority, --tls-certificate and --tls-key go together")
	}
	cert, err := tls.LoadX509KeyPair(of.TLSCertificate, of.TLSKey)
	if err != nil {
		return nil, fmt.Errorf("--tls-certificate, --tls-key: %w", err)
	}
	data, err := os.ReadFile(of.TLSAuthority)
	if err != nil {
		return nil, fmt.Errorf("--tls-authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("--tls-authority: %s holds no certificate in PEM", of.TLSAuthority)
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: pool, MinVersion: tls.VersionTLS13}, nil
}

// callOperatorPort sends a request. If the outcome is unknown it resends the same request, which is idempotent.
func callOperatorPort[Q, A any](
	of *operatorFlags, wait time.Duration, rq *Q,
	call func(cl registrarpb.OfficeClient, ctx context.Context, rq *connect.Request[Q]) (*connect.Response[A], error),
) (*A, error) {
	cl, err := of.client()
	if err != nil {
		return nil, err
	}
	for attempt := 0; ; attempt++ {
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout+wait)
		rs, err := call(cl, ctx, connect.NewRequest(rq))
		cancel()
		if err == nil {
			return rs.Msg, nil
		}
		if !outcomeUnknown(err) || attempt == resendsMax {
			return nil, of.translateError(err)
		}
		time.Sleep(resendPause)
	}
}

// outcomeUnknown reports whether the request may have been carried out in spite of the error.
func outcomeUnknown(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnknown, connect.CodeDeadlineExceeded, connect.CodeCanceled:
		return true
	default:
		return false
	}
}

// translateError turns an error of a call into one that tells an operator what to do.
func (of *operatorFlags) translateError(err error) error {
	ce := (*connect.Error)(nil)
	if !errors.As(err, &ce) {
		return err
	}
	if ce.Code() == connect.CodeUnavailable {
		return fmt.Errorf("no answer from the operator port %s (choose another instance with --at): %w", of.At, ce.Unwrap())
	}
	return errors.New(ce.Message())
}

// printEdit prints the answer to an edit. It returns an error if the edit was not accepted.
func (of *operatorFlags) printEdit(answer *registrarpb.EditAnswer) error {
	if answer.GetOutcome() != registrarpb.Outcome_OUTCOME_ACCEPTED {
		if of.JSON {
			_ = of.printJSON(answer)
		}
		return errors.New(strings.TrimSpace(answer.GetText()))
	}
	if of.JSON {
		return of.printJSON(answer)
	}
	_, err := fmt.Fprintln(of.writer(), answer.GetText())
	return err
}

func (of *operatorFlags) printJSON(ms proto.Message) error {
	data, err := protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Marshal(ms)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(of.writer(), string(data))
	return err
}

// printColumns prints records in aligned columns. The first record holds the column heads.
func (of *operatorFlags) printColumns(records [][]string) error {
	tw := tabwriter.NewWriter(of.writer(), 0, 0, 2, ' ', 0)
	for _, rc := range records {
		if _, err := fmt.Fprintln(tw, strings.Join(rc, "\t")); err != nil {
			return err
		}
	}
	return tw.Flush()
}
