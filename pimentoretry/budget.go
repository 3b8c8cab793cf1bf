package pimentoretry

const (
	// requestsPerRetry is the number of first attempts that earn one retry.
	requestsPerRetry = 10
	// maxSavedRetries is the number of retries that can be saved.
	maxSavedRetries = 20
)

// Budget bounds the retries and hedges that one entry sends for one service. The zero
// value is ready to use and empty. It isn't safe for concurrent use.
type Budget struct {
	tokens int // In units of 1/requestsPerRetry of a retry.
}

// Earn counts a first attempt.
func (b *Budget) Earn() {
	b.tokens = min(b.tokens+1, maxSavedRetries*requestsPerRetry)
}

// Spend takes one retry out of the budget. It returns false if there is none.
func (b *Budget) Spend() bool {
	if b.tokens < requestsPerRetry {
		return false
	}
	b.tokens -= requestsPerRetry
	return true
}

// Refund gives back a retry that Spend has taken and that was not sent.
func (b *Budget) Refund() {
	b.tokens = min(b.tokens+requestsPerRetry, maxSavedRetries*requestsPerRetry)
}
