package server_test

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/loader"
	"github.com/gypsumhoist/gypsumhoist/replicator"
	"github.com/gypsumhoist/gypsumhoist/server"
	"github.com/gypsumhoist/gypsumhoist/sharder"
)

func voter(number int) replicator.Member {
	return replicator.Member{
		Instance: gypsumhoist.Instance(fmt.Sprint("n", number)), Boot: fmt.Sprintf("%020d", number),
		Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 7402),
	}
}

func report(generation, epoch, configIndex uint64, voters int) sharder.Report {
	re := sharder.Report{Key: sharder.Key{Domain: "hobart", Shard: 3}, Generation: generation, Epoch: epoch, ConfigurationIndex: configIndex}
	for ix := range voters {
		re.Voters = append(re.Voters, voter(ix+1))
	}
	if voters > 0 {
		re.Leader = re.Voters[0]
	}
	return re
}

var _ = ginkgo.Describe("a report on a shard group", func() {
	ginkgo.It("survives encoding and decoding, and a newer one has a higher version", func() {
		rapid.Check(suite, func(rt *rapid.T) {
			re := report(rapid.Uint64Range(1, 1000).Draw(rt, "generation"), rapid.Uint64Range(0, 1000).Draw(rt, "epoch"),
				rapid.Uint64Range(0, 1000).Draw(rt, "seats"), rapid.IntRange(1, 5).Draw(rt, "voters"))
			data, version, err := server.ReportPayload(re)
			if err != nil {
				rt.Fatal(err)
			}
			back, err := server.ReadReport(data)
			back.ReceivedAt = time.Time{}
			if err != nil || !reflect.DeepEqual(re, back) {
				rt.Fatalf("encoded %+v, decoded %+v, %v", re, back, err)
			}
			_, newer, err := server.ReportPayload(report(re.Generation, re.Epoch+1, 0, 1))
			if err != nil || newer <= version {
				rt.Fatalf("version %d of the next epoch after %d, %v", newer, version, err)
			}
		})
	})
})

func FuzzReadReport(f *testing.F) {
	for voters := range 4 {
		data, _, err := server.ReportPayload(report(2, 7, 9, voters))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte("\xff"))
	f.Fuzz(func(t *testing.T, data []byte) {
		re, err := server.ReadReport(data)
		if err != nil {
			return
		}
		if re.Key.Domain == "" || re.Key.Shard < 0 || re.Key.Shard >= sharder.ShardCount {
			t.Fatalf("invalid report %+v was accepted", re)
		}
		again, _, err := server.ReportPayload(re)
		if err != nil {
			return
		}
		back, err := server.ReadReport(again)
		if err != nil || len(back.Voters) != len(re.Voters) || back.Key != re.Key {
			t.Fatalf("%+v encoded and decoded is %+v, %v", re, back, err)
		}
	})
}

var _ = ginkgo.Describe("TLS settings", func() {
	ginkgo.It("that can't be used name the invalid key", func() {
		folder := ginkgo.GinkgoT().TempDir()
		file := filepath.Join(folder, "not.pem")
		Expect(os.WriteFile(file, []byte("nothing"), 0o600)).To(Succeed())
		Expect(server.CheckTLS(loader.TLS{})).To(Succeed())
		err := server.CheckTLS(loader.TLS{Certificate: file, Key: file, Authority: file})
		Expect(err).To(MatchError(ContainSubstring("tls.certificate, tls.key: ")))
		err = server.CheckTLS(loader.TLS{Certificate: filepath.Join(folder, "none"), Key: file, Authority: file})
		Expect(err).To(MatchError(And(ContainSubstring("tls.certificate"), ContainSubstring("none"))))
		Expect(strings.Contains(err.Error(), "\n")).To(BeFalse())
	})
})
