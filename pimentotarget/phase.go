package pimentotarget

// Phase is the warmup phase of a target. It limits the load that the target gets.
type Phase uint8

const (
	// PhaseCold targets get up to their service's cold limit, from their owner only.
	PhaseCold Phase = iota
	// PhaseWarm targets can use all their slots.
	PhaseWarm
)

// String returns the name of the phase.
func (p Phase) String() string {
	if p == PhaseWarm {
		return "warm"
	}
	return "cold"
}

// Epoch counts the times that a target has become cold.
type Epoch uint64

// VersionedPhase is a target's phase with its epoch, as entries publish it to each
// other. The zero value means that nothing is known about the target.
type VersionedPhase struct {
	Epoch Epoch
	Value Phase
}

// Less reports whether o supersedes p.
func (p VersionedPhase) Less(o VersionedPhase) bool {
	if p.Epoch != o.Epoch {
		return p.Epoch < o.Epoch
	}
	return p.Value < o.Value
}
