package pimentoretry

const (
	// retryParts is the number of requests that earn one retry.
	retryParts = 10
	// maxSaved is the number of retries that can be saved up.
	maxSaved = 20
)

// Budget bounds the retries and hedges of one service. The zero value is ready
// to use and empty. It isn't safe for concurrent use.
type Budget struct {
	parts int // In units of 1/retryParts retry.
}

// Earn counts a first attempt.
func (b *Budget) Earn() {
	b.parts = min(b.parts+1, maxSaved*retryParts)
}

// Spend takes one retry out of the budget. It reports false when there is none.
func (b *Budget) Spend() bool {
	if b.parts < retryParts {
		return false
	}
	b.parts -= retryParts
	return true
}

// Refund gives back a retry that was not sent.
func (b *Budget) Refund() {
	b.parts = min(b.parts+retryParts, maxSaved*retryParts)
}
