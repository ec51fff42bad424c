package balancer

const (
	// retryTokensPerSuccess is what an answered attempt adds to the retry budget: retries may add a tenth to what is
	// answered. Arriving requests add nothing, else retries would go on while nothing is answered.
	retryTokensPerSuccess = 0.1
	// maxRetryTokens bounds the retries that may be made at once after a quiet time.
	maxRetryTokens = 10
)

// retryBudgets holds the retry tokens. A retry takes one, unless it is free (retryIsFree).
type retryBudgets struct {
	shared   float64             // for all requests
	byTenant map[string]*float64 // where each tenant has its own (Settings.RetryBudgetPerTenant)
}

// retryBudget returns the budget from which a tenant's retries come.
func (b *Balancer) retryBudget(tenant string) *float64 {
	if !b.settings.RetryBudgetPerTenant {
		return &b.retryBudgets.shared
	}
	if b.retryBudgets.byTenant[tenant] == nil {
		b.retryBudgets.byTenant[tenant] = new(float64)
	}
	return b.retryBudgets.byTenant[tenant]
}
