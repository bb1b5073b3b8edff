package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Ports of every machine of a test.
const (
	controlPort  = 8540
	inboundPort  = 8543
	readyPort    = 8546
	appPort      = 8547
	outboundPort = 8548
	operatorPort = 7001
)

// machine is one machine of the deployment: a loopback address with at most one process of the system.
type machine struct {
	started bool // at least once
	fleet   *fleet
	name    string
	class   string // "core" or "sidecar"
	zone    string
	ip      string
	service string
	dataDir string
	process *exec.Cmd
	exited  chan struct{}
}

// addr returns an address of the machine.
func (ma *machine) addr(port int) string { return fmt.Sprintf("%s:%d", ma.ip, port) }

// fleet starts and ends the processes of a test.
type fleet struct {
	folder   string // temporary
	prefix   string // first three bytes of all addresses
	root     string // of the repository
	record   *record
	machines []*machine
}

// newFleet chooses a loopback network whose ports are free.
func newFleet(rc *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	fl := &fleet{folder: folder, root: os.Getenv("ROOT"), record: rc}
	for third := 1 + os.Getpid()%200; third < 250; third++ {
		fl.prefix = fmt.Sprintf("127.77.%d", third)
		if fl.free() {
			return fl, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

func (fl *fleet) free() bool {
	for last := 1; last <= 10; last++ {
		for _, port := range []int{controlPort, operatorPort, outboundPort} {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", fl.prefix, last, port))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

func (fl *fleet) add(name, class, zone, service string) *machine {
	ma := &machine{
		fleet: fl, name: name, class: class, zone: zone, service: service,
		ip: fmt.Sprintf("%s.%d", fl.prefix, len(fl.machines)+1), dataDir: filepath.Join(fl.folder, name, "data"),
	}
	fl.machines = append(fl.machines, ma)
	return ma
}

// settings fills in the project's own template as the platform does.
func (ma *machine) settings(seeds []*machine) (string, error) {
	template := map[string]string{"core": "deploy/core.toml", "sidecar": "deploy/node.toml"}[ma.class]
	data, err := os.ReadFile(filepath.Join(ma.fleet.root, template))
	if err != nil {
		return "", err
	}
	var quoted []string
	for _, sd := range seeds {
		quoted = append(quoted, `"`+sd.addr(controlPort)+`"`)
	}
	return strings.NewReplacer(
		`{{#seedNodes}}"{{.}}"{{,}}{{/seedNodes}}`, strings.Join(quoted, ","),
		"{{nodeName}}", ma.name, "{{zone}}", ma.zone, "{{dataDir}}", ma.dataDir, "{{ip}}", ma.ip,
		"{{listen.control}}", ma.addr(controlPort), "{{listen.outbound}}", ma.addr(outboundPort),
		"{{faultTolerance.machines}}", "1", "{{bounds.graceS}}", "6",
		// The platform's bootstrap is true at the first start only.
		"{{^bootstrap}}true{{/bootstrap}}{{#bootstrap}}false{{/bootstrap}}", strconv.FormatBool(ma.started),
		// Each machine has a loopback address of its own; here they share one host.
		"127.0.0.1:7002", ma.ip+":7002",
	).Replace(string(data)), nil
}

// start runs the command of the deploy file.
func (ma *machine) start(seeds ...*machine) error {
	text, err := ma.settings(seeds)
	if err != nil {
		return err
	}
	if strings.Contains(text, "{{") {
		return fmt.Errorf("the template of %s has an unknown placeholder", ma.class)
	}
	file := filepath.Join(ma.fleet.folder, ma.name, "boot")
	if err := os.MkdirAll(ma.dataDir, 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	args := []string{"core", "--window=5", "--retry-ratio=0.2"}
	if ma.class == "sidecar" {
		args = []string{
			"node", "--ready=" + ma.addr(readyPort), "--control=" + ma.addr(controlPort),
			"--upstream=" + ma.addr(appPort), "--service=" + ma.service,
		}
	}
	cmd := exec.Command(filepath.Join(ma.fleet.root, "target/gypsumhoist"), args...)
	cmd.Dir = ma.fleet.root
	cmd.Env = append(os.Environ(), "GYPSUMHOIST_NODE_FILE="+file)
	out, err := os.OpenFile(filepath.Join(ma.fleet.folder, ma.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ma.process, ma.exited, ma.started = cmd, make(chan struct{}), true
	go func(exited chan struct{}) {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}(ma.exited)
	names := make([]string, 0, len(seeds))
	for _, sd := range seeds {
		names = append(names, sd.name)
	}
	ma.fleet.record.note("start %s, seeds %s", ma.name, strings.Join(names, " "))
	return nil
}

// kill ends the process at once and waits for its end.
func (ma *machine) kill() {
	if ma.process == nil {
		return
	}
	_ = ma.process.Process.Kill()
	select {
	case <-ma.exited:
	case <-time.After(5 * time.Second):
	}
	ma.process = nil
	ma.fleet.record.note("killed %s", ma.name)
}

// signal sends a signal to the process.
func (ma *machine) signal(sig syscall.Signal) {
	if ma.process != nil {
		_ = ma.process.Process.Signal(sig)
		ma.fleet.record.note("%v to %s", sig, ma.name)
	}
}

// wipe empties the data folder of a process that does not run.
func (ma *machine) wipe() {
	_ = os.RemoveAll(ma.dataDir)
	ma.fleet.record.note("%s lost its disk", ma.name)
}

// stop ends all processes and removes the temporary folder.
func (fl *fleet) stop() {
	for _, ma := range fl.machines {
		ma.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(fl.folder)
	} else {
		fmt.Println("kept", fl.folder)
	}
}
