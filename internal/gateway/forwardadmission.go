package gateway

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/routing"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// admission returns the terms on which the call was admitted, for the router to which it is forwarded.
func (c *call) admission() *wire.Admission {
	message := &wire.Admission{
		ConfigVersion: c.config.table.Version, Route: c.route.Name, Kind: uint32(c.route.Kind), Resumable: c.route.Resumable,
		PromptCached: c.route.PromptCached, RoutePriority: uint32(c.route.Priority), TimeoutMillis: uint32(c.route.Timeout.Milliseconds()),
		LatencyTargetMillis: uint32(c.route.LatencyTarget.Milliseconds()), MaxEventGapMillis: uint32(c.route.MaxEventGap.Milliseconds()),
	}
	if c.tenant != nil {
		message.Tenant, message.TenantPriority, message.TenantIsolated = c.tenant.Name, uint32(c.tenant.Priority), c.tenant.Isolated
	}
	return message
}

// accept sets the route and the tenant of a forwarded call to those with which the ingress router admitted it. This router's
// configuration may have lost them since.
func (c *call) accept(admission *wire.Admission) {
	c.route = &routing.Route{
		Name: admission.GetRoute(), Host: c.incoming.Host, Kind: routing.Kind(admission.GetKind()), Resumable: admission.GetResumable(),
		PromptCached: admission.GetPromptCached(), Priority: int(admission.GetRoutePriority()), Timeout: fromMillis(admission.GetTimeoutMillis()),
		LatencyTarget: fromMillis(admission.GetLatencyTargetMillis()), MaxEventGap: fromMillis(admission.GetMaxEventGapMillis()),
		Backends: []routing.Backend{{Service: c.forwarded.GetService()}}, MaxAttempts: int(c.forwarded.GetAttemptsLeft()),
	}
	if admission.GetTenant() != "" {
		c.tenant = &routing.Tenant{Name: admission.GetTenant(), Priority: int(admission.GetTenantPriority()), Isolated: admission.GetTenantIsolated()}
	}
}

func fromMillis(millis uint32) time.Duration { return time.Duration(millis) * time.Millisecond }
