package replicator_test

import (
	"context"
	"fmt"
	"time"

	rp "github.com/gypsumhoist/gypsumhoist/replicator"
)

func ExampleHost_Open() {
	pr := newSimNetwork().process(1, "1") // a process with a host and a state machine
	defer pr.host.Stop()
	gp, err := pr.host.Open("table", pr.member, pr.machine, rp.WithInitialMembers(pr.member))
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, _, held := gp.Lease(); !held; _, _, held = gp.Lease() {
		time.Sleep(time.Millisecond)
	}
	answer, err := gp.Propose(context.Background(), []byte("first"))
	fmt.Println(string(answer), err, gp.Members().Voters())
	// Output: 1 <nil> 1
}
