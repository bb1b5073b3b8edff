package hasher_test

import (
	"fmt"
	"math/bits"
	"testing"

	"github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist/hasher"
)

func ExampleMix() {
	fmt.Printf("%016x %016x\n", hasher.Mix(0), hasher.Mix(1))
	// Output: 0000000000000000 b456bcfc34c2cb2c
}

func TestMixChangesAboutHalfOfTheBits(t *testing.T) {
	gm := gomega.NewWithT(t)
	changed := 0
	for bit := range 64 {
		changed += bits.OnesCount64(hasher.Mix(12345) ^ hasher.Mix(12345^1<<bit))
	}
	gm.Expect(changed).To(gomega.BeNumerically("~", 64*32, 64*4))
}
