package balancer

const (
	// retryTokensPerSuccess is what an answered attempt adds to the retry budget: retries may add a tenth to the
	// answered attempts. Arriving requests add nothing; otherwise retries would continue while nothing is answered.
	retryTokensPerSuccess = 0.1
	// maxRetryTokens bounds the burst of retries after a quiet period.
	maxRetryTokens = 10
)

// retryBudgets holds the retry tokens. A retry takes one, unless it is free (retryIsFree).
type retryBudgets struct {
	shared   float64             // for all requests
	byTenant map[string]*float64 // if each tenant has its own (Settings.RetryBudgetPerTenant)
}

// retryBudget returns the budget that pays for a tenant's retries.
func (b *Balancer) retryBudget(tenant string) *float64 {
	if !b.settings.RetryBudgetPerTenant {
		return &b.retryBudgets.shared
	}
	if b.retryBudgets.byTenant[tenant] == nil {
		b.retryBudgets.byTenant[tenant] = new(float64)
	}
	return b.retryBudgets.byTenant[tenant]
}
