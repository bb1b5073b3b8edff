package main

import (
	"errors"
	"net/http"
	"time"
)

// Times of the case, from the platform's pages.
const (
	seedLag  = 3 * time.Second  // seedLagS
	recovery = 15 * time.Second // recoverS
)

// loneFounder loses the disk of one core machine while the other two are down for some seconds.
func loneFounder(fl *fleet, trouble bool) (bool, error) {
	a, b, c := fl.add("core-a-1", "core", "zone-a", ""), fl.add("core-b-1", "core", "zone-b", ""), fl.add("core-c-1", "core", "zone-c", "")
	node := fl.add("sidecar-a-1", "sidecar", "zone-a", "desk")
	op := &operator{record: fl.record}
	for _, ma := range []*machine{a, b, c, node} {
		if err := ma.start(a, b, c); err != nil {
			return false, err
		}
	}
	up, err := newUpstream(node, "i-1", fl.record)
	if err != nil {
		return false, err
	}
	defer close(up.done)
	second := configOf(4, 1, map[string][]string{"school": {"key-one-aaaaaaaaaaaa", "key-two-bbbbbbbbbbbb"}})
	if op.putAny(20*time.Second, configOf(1, 0, map[string][]string{"school": {"key-one-aaaaaaaaaaaa"}}), a, b, c) != http.StatusOK ||
		op.putAny(10*time.Second, second, b, c, a) != http.StatusOK {
		return false, errors.New("no configuration was acknowledged")
	}
	time.Sleep(3 * time.Second)
	if trouble {
		b.kill()
		c.kill()
		time.Sleep(seedLag + time.Second)
		a.kill()
		a.wipe()
		time.Sleep(500 * time.Millisecond)
		// The operator's list now names the only machine that served control in the last seconds.
		if err := a.start(a); err != nil {
			return false, err
		}
		time.Sleep(3 * time.Second)
		for _, ma := range []*machine{b, c} {
			if err := ma.start(b, c, a); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(recovery + 5*time.Second)
	ok := true
	for _, ma := range []*machine{a, b, c} {
		if refusal(op.put(ma, second)) {
			fl.record.note("an acknowledged change was refused by %s", ma.name)
			ok = false
		}
		op.get(ma)
	}
	fl.record.note("with key-one: %s", send(node, "q1", "key-one-aaaaaaaaaaaa"))
	third := configOf(7, 4, map[string][]string{"school": {"key-two-bbbbbbbbbbbb"}})
	st := op.putAny(5*time.Second, third, b, c)
	fl.record.note("revocation of key-one: %d", st)
	time.Sleep(8 * time.Second)
	fl.record.note("with key-one: %s", send(node, "q2", "key-one-aaaaaaaaaaaa"))
	fl.record.note("with key-two: %s", send(node, "q3", "key-two-bbbbbbbbbbbb"))
	if st == http.StatusOK && up.ran("q2") > 0 {
		fl.record.note("a request with a withdrawn key ran")
		ok = false
	}
	return ok, nil
}

// refusal reports whether a status ends a call of the operator at once.
func refusal(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	default:
		return false
	}
}

func send(node *machine, id, key string) string {
	status, body, _ := call(http.MethodPost, "http://"+node.addr(outboundPort)+"/slips/1", "x", http.Header{
		"X-Gypsumhoist-Attempt-Id": {id}, "X-Gypsumhoist-Deadline-Ms": {"2000"}, "Authorization": {"Bearer " + key}, "Host": {"desk.example"},
	}, 3*time.Second)
	return http.StatusText(status) + " " + body
}
