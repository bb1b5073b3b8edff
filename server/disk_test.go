package server_test

import (
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/emulator"
	"github.com/gypsumhoist/gypsumhoist/journaler"
)

// disks opens the data folders of a fleet and simulates disks that are full or that stall.
type disks struct {
	mu      sync.Mutex
	full    map[gypsumhoist.Instance]bool
	stalled map[gypsumhoist.Instance]bool
}

func (dk *disks) open(in gypsumhoist.Instance, path string) (journaler.Folder, error) {
	fd, err := journaler.OpenFolder(path)
	if err != nil {
		return nil, err
	}
	return &limitedFolder{Folder: fd, disks: dk, instance: in}, nil
}

func (dk *disks) setFull(in gypsumhoist.Instance, full bool) {
	dk.mu.Lock()
	defer dk.mu.Unlock()
	dk.full[in] = full
}

func (dk *disks) setStalled(in gypsumhoist.Instance, stalled bool) {
	dk.mu.Lock()
	defer dk.mu.Unlock()
	dk.stalled[in] = stalled
}

// waitWhileStalled returns once the disk of an instance answers.
func (dk *disks) waitWhileStalled(in gypsumhoist.Instance) {
	for {
		dk.mu.Lock()
		stalled := dk.stalled[in]
		dk.mu.Unlock()
		if !stalled {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (dk *disks) checkSpace(in gypsumhoist.Instance) error {
	dk.mu.Lock()
	defer dk.mu.Unlock()
	if dk.full[in] {
		return syscall.ENOSPC
	}
	return nil
}

// limitedFolder fails writes with ENOSPC while its disk is full.
type limitedFolder struct {
	journaler.Folder
	disks    *disks
	instance gypsumhoist.Instance
}

func (lf *limitedFolder) Create(name string) (journaler.File, error) {
	if err := lf.disks.checkSpace(lf.instance); err != nil {
		return nil, err
	}
	fl, err := lf.Folder.Create(name)
	return &limitedFile{File: fl, folder: lf}, err
}

func (lf *limitedFolder) Append(name string) (journaler.File, error) {
	fl, err := lf.Folder.Append(name)
	return &limitedFile{File: fl, folder: lf}, err
}

type limitedFile struct {
	journaler.File
	folder *limitedFolder
}

func (lf *limitedFile) Write(data []byte) (int, error) {
	lf.folder.disks.waitWhileStalled(lf.folder.instance)
	if err := lf.folder.disks.checkSpace(lf.folder.instance); err != nil {
		return 0, err
	}
	return lf.File.Write(data)
}

var _ = ginkgo.Describe("a control instance whose disk was full", func() {
	ginkgo.It("has its vote again once there is room, so that the next loss is borne", func() {
		dk := &disks{full: map[gypsumhoist.Instance]bool{}, stalled: map[gypsumhoist.Instance]bool{}}
		inSeededFleet(func(tf *testFleet) {
			names := tf.fleet.Names()
			dk.setFull(names[1], true)
			tf.editRow("/rolls")
			time.Sleep(3 * time.Second)
			dk.setFull(names[1], false)
			time.Sleep(3 * time.Second)
			tf.fleet.Kill(names[2])
			time.Sleep(3 * time.Second)
			tf.editRow("/fees")
			time.Sleep(2 * time.Second)
			status, _ := tf.call(0, "/fees/1")
			Expect(status).To(Equal(http.StatusOK))
		}, emulator.WithDataFolders(dk.open))()
	})
})
