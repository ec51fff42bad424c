package balancer

// minTenantBurst is the least capacity of a tenant's token bucket, in requests.
const minTenantBurst = 8

// tenantState is the token bucket of one tenant at this router.
type tenantState struct {
	quota      float64 // requests a second over all routers
	tokens     float64 // requests within the quota that may come now
	refilledAt float64 // seconds
}

// tenantQuotas holds the tenants that have a quota.
type tenantQuotas struct {
	byName     map[string]*tenantState
	totalQuota float64 // requests a second, of all tenants over all routers
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
// for that: it is worth less, and so is shed earlier under load.
func (b *Balancer) chargeTenant(req *request, name string) {
	tenant := b.tenants.byName[name]
	if tenant == nil {
		return
	}
	// Other routers may be down or carry other traffic. So this router's quotaFraction of the quota is an equal quotaFraction, or its
	// quotaFraction of what the quotas of all tenants allow if it is seen to complete more.
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
