package forwarder_test

import (
	"bufio"
	"io"
	"net/http"
	"sync"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/forwarder"
)

var _ = Describe("a request's body", func() {
	It("is refused as not_run if its announced length exceeds the bound", withFleet(func(fl *fleet) {
		nd, entry, key := fl.addSlips(respond("ok"))
		body, end := io.Pipe()
		rs, _, err := fl.do(entry.request("POST", key, body, forwarder.DefaultBodyBytes+1))
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.StatusCode).To(Equal(413))
		Expect(verdict(rs)).To(Equal("not_run"))
		Expect(reason(rs)).To(Equal("too_large"))
		Expect(runs(nd)).To(BeZero())
		Expect(end.Close()).To(Succeed())
		time.Sleep(time.Second) // net/http closes the connection a while after such an answer
	}))

	It("takes no slot of the upstream until its announced length has come", withFleet(func(fl *fleet) {
		nd, entry, key := fl.addSlips(respond("ok"))
		var wg sync.WaitGroup
		for range 30 {
			body, end := io.Pipe()
			wg.Go(func() {
				defer GinkgoRecover()
				rs, _, err := fl.do(entry.request("POST", key, body, 100))
				if err == nil {
					Expect(verdict(rs)).To(Equal("not_run"))
				}
				_ = end.Close()
			})
		}
		time.Sleep(time.Second)
		Expect(nd.fw.InFlight()).To(BeZero())
		rs, _, err := fl.call(entry, "POST", "/slips", "signed", gypsumhoist.HeaderKey, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.StatusCode).To(Equal(200))
		wg.Wait()
		Expect(runs(nd)).To(Equal(1))
	}))

	It("of unknown length is streamed part by part", withFleet(func(fl *fleet) {
		arrived := make(chan string, 2)
		nd, entry, key := fl.addSlips(func(_ http.ResponseWriter, req *http.Request) {
			for sc := bufio.NewScanner(req.Body); sc.Scan(); {
				arrived <- sc.Text()
			}
		})
		nd.handlerReadsBody = true
		body, end := io.Pipe()
		var wg sync.WaitGroup
		wg.Go(func() {
			defer GinkgoRecover()
			rs, _, err := fl.do(entry.request("POST", key, body, -1))
			Expect(err).NotTo(HaveOccurred())
			Expect(rs.StatusCode).To(Equal(200))
		})
		for _, line := range []string{"one", "two"} {
			_, err := io.WriteString(end, line+"\n")
			Expect(err).NotTo(HaveOccurred())
			synctest.Wait()
			time.Sleep(100 * time.Millisecond)
			Expect(arrived).To(Receive(Equal(line)))
		}
		Expect(end.Close()).To(Succeed())
		wg.Wait()
	}))

	DescribeTable("is sent again after a refusal as not_run only if it was kept",
		func(length int64, want int) {
			withFleet(func(fl *fleet) {
				shed := func(wr http.ResponseWriter, req *http.Request) {
					if req.Method == http.MethodGet {
						return
					}
					wr.Header().Set(gypsumhoist.HeaderVerdict, "not_run")
					wr.WriteHeader(http.StatusServiceUnavailable)
				}
				other := fl.add("slips-2", shed)
				nd, entry, key := fl.addSlips(shed)
				_, _, err := fl.do(entry.request("GET", key, nil, 0))
				Expect(err).NotTo(HaveOccurred())
				before := runs(nd, other)
				body, end := io.Pipe()
				go func() {
					_, _ = io.WriteString(end, "signed")
					_ = end.Close()
				}()
				rs, _, err := fl.do(entry.request("POST", key, body, length))
				Expect(err).NotTo(HaveOccurred())
				Expect(rs.StatusCode).To(Equal(503))
				Expect(verdict(rs)).To(Equal("not_run"))
				Expect(runs(nd, other) - before).To(Equal(want))
			})()
		},
		Entry("of unknown length: streamed and not kept", int64(-1), 1),
		Entry("of known small length: kept, so sent to each upstream, and once more as the retry ratio allows", int64(6), 3),
	)
})

var _ = Describe("an answer", func() {
	It("of unknown length is streamed part by part, its header first", withFleet(func(fl *fleet) {
		_, entry, key := fl.addSlips(func(wr http.ResponseWriter, _ *http.Request) {
			rc := http.NewResponseController(wr)
			for _, part := range []string{"", "one\n", "two\n"} {
				_, _ = io.WriteString(wr, part)
				_ = rc.Flush()
				time.Sleep(time.Second)
			}
		})
		began := time.Now()
		rs, err := fl.client.Do(entry.request("GET", key, nil, 0))
		Expect(err).NotTo(HaveOccurred())
		defer rs.Body.Close()
		Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
		rd := bufio.NewReader(rs.Body)
		for num, line := range []string{"one\n", "two\n"} {
			Expect(rd.ReadString('\n')).To(Equal(line))
			Expect(time.Since(began)).To(BeNumerically("~", time.Duration(num+1)*time.Second, 100*time.Millisecond))
		}
		Expect(io.ReadAll(rd)).To(BeEmpty())
	}))

	It("reaches a caller on HTTP/2 with its trailers", withFleet(func(fl *fleet) {
		_, entry, key := fl.addSlips(func(wr http.ResponseWriter, _ *http.Request) {
			wr.Header().Set("Trailer", "X-Sum")
			_, _ = io.WriteString(wr, "ok")
			wr.Header().Set("X-Sum", "42")
		})
		var protos http.Protocols
		protos.SetUnencryptedHTTP2(true)
		fl.transport.Protocols = &protos
		rs, text, err := fl.do(entry.request("GET", key, nil, 0))
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.ProtoMajor).To(Equal(2))
		Expect(text).To(Equal("ok"))
		Expect(rs.Trailer.Get("X-Sum")).To(Equal("42"))
		Expect(rs.Trailer).NotTo(HaveKey(forwarder.HeaderFeedback))
	}))

	DescribeTable("without a body arrives without one",
		func(method string, status int, length string) {
			withFleet(func(fl *fleet) {
				_, entry, key := fl.addSlips(func(wr http.ResponseWriter, _ *http.Request) {
					if length != "" {
						wr.Header().Set("Content-Length", length)
					}
					wr.WriteHeader(status)
				})
				rs, text, err := fl.do(entry.request(method, key, nil, 0))
				Expect(err).NotTo(HaveOccurred())
				Expect(rs.StatusCode).To(Equal(status))
				Expect(text).To(BeEmpty())
				Expect(rs.Header.Get("Content-Length")).To(Equal(length))
			})()
		},
		Entry("HEAD with a length", "HEAD", 200, "5000"),
		Entry("HEAD with a length beyond what is read ahead", "HEAD", 200, "500000"),
		Entry("204", "DELETE", 204, ""),
		Entry("304", "GET", 304, ""),
	)

	It("that its caller reads slowly does not make the upstream look slow", withFleet(func(fl *fleet) {
		big := randomText(5_000_000)
		nd, entry, key := fl.addSlips(respond(big))
		rs, err := fl.client.Do(entry.request("GET", key, nil, 0))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(5 * time.Second)
		data, err := io.ReadAll(rs.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.Body.Close()).To(Succeed())
		Expect(string(data) == big).To(BeTrue())
		synctest.Wait()
		Expect(entry.rt.View("slips").Latency).To(BeNumerically("<", 100*time.Millisecond))
		Expect(nd.fw.InFlight()).To(BeZero())
	}))
})
