package pimentotarget

// Phase says how much load a target bears.
type Phase uint8

const (
	// PhaseCold targets bear the cold limit of their service, from their owner.
	PhaseCold Phase = iota
	// PhaseWarm targets bear all their slots.
	PhaseWarm
)

// String returns the name of the phase.
func (p Phase) String() string {
	if p == PhaseWarm {
		return "warm"
	}
	return "cold"
}

// Epoch counts the times that a target has turned cold.
type Epoch uint64

// VersionedPhase is what an entry tells others of a target's phase. The zero value says
// that nothing is known.
type VersionedPhase struct {
	Epoch Epoch
	Value Phase
}

// Less reports whether o supersedes m.
func (m VersionedPhase) Less(o VersionedPhase) bool {
	if m.Epoch != o.Epoch {
		return m.Epoch < o.Epoch
	}
	return m.Value < o.Value
}
