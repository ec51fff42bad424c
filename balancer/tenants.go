package balancer

// minTenantBurst is the minimum capacity of a tenant's token bucket, in requests.
const minTenantBurst = 8

// tenantState is the token bucket of one tenant at this router.
type tenantState struct {
	quota      float64 // requests per second, over all routers
	tokens     float64 // requests within the quota that may arrive now
	refilledAt float64 // seconds
}

// tenantQuotas holds the tenants that have a quota.
type tenantQuotas struct {
	byName     map[string]*tenantState
	totalQuota float64 // requests per second, of all tenants over all routers
}

func newTenantQuotas(now float64, tenants []Tenant, routers int) tenantQuotas {
	quotas := tenantQuotas{byName: map[string]*tenantState{}}
	for _, tenant := range tenants {
		quotas.byName[tenant.Name] = &tenantState{
			quota:      max(0, tenant.Quota),
			tokens:     max(1, tenant.Quota/float64(routers)),
			refilledAt: now,
		}
		quotas.totalQuota += max(0, tenant.Quota)
	}
	return quotas
}

// chargeTenant takes a token for a request of a tenant that has a quota. A request beyond the quota is not rejected
// for that: its value is reduced, so it is shed earlier under load.
func (b *Balancer) chargeTenant(req *request, name string) {
	tenant := b.tenants.byName[name]
	if tenant == nil {
		return
	}
	// Other routers may be down or carry other traffic. So this router uses an equal fraction of the quota or, if
	// that is more, its completion rate as a fraction of the sum of all quotas.
	quotaFraction := max(1/float64(b.settings.RouterCount), b.completionRate()/max(1, b.tenants.totalQuota))
	rate := tenant.quota * quotaFraction
	tenant.tokens = min(tenant.tokens+rate*(b.now-tenant.refilledAt), max(minTenantBurst, rate))
	tenant.refilledAt = b.now
	if tenant.tokens < 1 {
		req.valueFraction = b.settings.OverQuotaWeight
		return
	}
	tenant.tokens--
	req.chargedTenant = tenant
}
