package server_test

import (
	"bytes"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist/loader"
	"github.com/gypsumhoist/gypsumhoist/server"
)

func TestWaitContinuesAfterReloadAndReturnsAtStop(t *testing.T) {
	gm := gomega.NewWithT(t)
	var log bytes.Buffer
	sv := server.New(loader.Settings{Instance: "roster-1"}, server.WithLog(&log))
	sig := make(chan os.Signal, 2)
	sig <- syscall.SIGHUP
	sig <- syscall.SIGTERM
	gm.Expect(sv.Wait(sig, filepath.Join(t.TempDir(), "missing.toml"))).To(gomega.Succeed())
	gm.Expect(sig).To(gomega.BeEmpty())
	gm.Expect(log.String()).To(gomega.ContainSubstring("event=1016"))
}
