package balancer

const (
	// retryTokensPerSuccess is what a finished attempt adds to the retry budget: retries may be a tenth of what
	// finishes. What arrives adds nothing: else retries would grow while nothing finishes.
	retryTokensPerSuccess = 0.1
	// maxRetryTokens bounds the retries that may be made at once after a quiet time.
	maxRetryTokens = 10
)

// retryBudgets holds the retry tokens; a retry that may double work takes one.
type retryBudgets struct {
	shared   float64             // for all requests
	byTenant map[string]*float64 // where each tenant has its own (Settings.RetryBudgetPerTenant)
}

// retryBudget gives the budget from which a tenant's retries come.
func (b *Balancer) retryBudget(tenant string) *float64 {
	if !b.settings.RetryBudgetPerTenant {
		return &b.retryBudgets.shared
	}
	if b.retryBudgets.byTenant[tenant] == nil {
		b.retryBudgets.byTenant[tenant] = new(float64)
	}
	return b.retryBudgets.byTenant[tenant]
}
