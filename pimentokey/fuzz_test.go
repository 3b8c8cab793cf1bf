package pimentokey

import "testing"

// FuzzParse checks that Parse accepts only the text form of the key that it returns.
func FuzzParse(f *testing.F) {
	f.Add(Key{RegionHint: 9, Issuer: 1 << 63, Seq: maxSeq, MAC: 5}.String())
	f.Add("")
	f.Add("AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=")
	f.Fuzz(func(t *testing.T, text string) {
		k, err := Parse(text)
		if err == nil && k.String() != text {
			t.Fatalf("%q parses to a key with the text form %q", text, k)
		}
	})
}

// FuzzForged checks that a ledger dispatches nothing under a key that it hasn't issued.
func FuzzForged(f *testing.F) {
	f.Add(uint64(1), uint64(1), uint64(0))
	f.Fuzz(func(t *testing.T, issuer, seq, mac uint64) {
		l := NewLedger(1, Secret{2, 3})
		issued, _ := l.Issue(testScope)
		k := Key{Issuer: Incarnation(issuer), Seq: Seq(seq % (maxSeq + 1)), MAC: MAC(mac)}
		if d, _ := l.Begin(k, testScope, 0); d == DecisionDispatch && k != issued {
			t.Fatalf("key %v was never issued, but accepted", k)
		}
	})
}
