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

// disks are the data folders of a fleet, some of which are full.
type disks struct {
	mu   sync.Mutex
	full map[gypsumhoist.Instance]bool
}

func (dk *disks) open(in gypsumhoist.Instance, path string) (journaler.Folder, error) {
	fd, err := journaler.Disk(path)
	if err != nil {
		return nil, err
	}
	return &fillingFolder{Folder: fd, disks: dk, instance: in}, nil
}

func (dk *disks) fill(in gypsumhoist.Instance, full bool) {
	dk.mu.Lock()
	defer dk.mu.Unlock()
	dk.full[in] = full
}

func (dk *disks) room(in gypsumhoist.Instance) error {
	dk.mu.Lock()
	defer dk.mu.Unlock()
	if dk.full[in] {
		return syscall.ENOSPC
	}
	return nil
}

// fillingFolder takes no bytes while its disk is full.
type fillingFolder struct {
	journaler.Folder
	disks    *disks
	instance gypsumhoist.Instance
}

func (ff *fillingFolder) Create(name string) (journaler.File, error) {
	if err := ff.disks.room(ff.instance); err != nil {
		return nil, err
	}
	fl, err := ff.Folder.Create(name)
	return &fillingFile{File: fl, folder: ff}, err
}

func (ff *fillingFolder) Append(name string) (journaler.File, error) {
	fl, err := ff.Folder.Append(name)
	return &fillingFile{File: fl, folder: ff}, err
}

type fillingFile struct {
	journaler.File
	folder *fillingFolder
}

func (ff *fillingFile) Write(data []byte) (int, error) {
	if err := ff.folder.disks.room(ff.folder.instance); err != nil {
		return 0, err
	}
	return ff.File.Write(data)
}

var _ = ginkgo.Describe("a control instance whose disk was full", func() {
	ginkgo.It("has its vote again once there is room, so that the next loss is borne", func() {
		dk := &disks{full: map[gypsumhoist.Instance]bool{}}
		inSeededFleet(func(bn *bench) {
			names := bn.fleet.Names()
			dk.fill(names[1], true)
			bn.edit("/rolls")
			time.Sleep(3 * time.Second)
			dk.fill(names[1], false)
			time.Sleep(3 * time.Second)
			bn.fleet.Kill(names[2])
			time.Sleep(3 * time.Second)
			bn.edit("/fees")
			time.Sleep(2 * time.Second)
			status, _ := bn.call(0, "/fees/1")
			Expect(status).To(Equal(http.StatusOK))
		}, emulator.WithDisks(dk.open))()
	})
})
