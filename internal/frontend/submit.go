package frontend

import (
	"cmp"

	"bendtrestle/internal/requestcore"
)

// Route returns the route for a request of this client, or nil if there is none.
func (c *ClientConn) Route(tenant, key string) requestcore.Route {
	return c.frontend.dispatcher.Route(c.listener, tenant, key)
}

// Submit submits a request to its route, or rejects it if there is no capacity or no time left. The client waits for
// the request's TimeLeft (0: not stated), but at most maxDeadline seconds, which is the class's limit (0: none). If a
// recent request had the same id, Submit does nothing and returns false.
//
// A request without time left is rejected here and not by the balancer, which would take a request that it cannot serve
// as a sign of overload. It is no invalid command of the client.
func (c *ClientConn) Submit(route requestcore.Route, request *requestcore.Request, maxDeadline float64) bool {
	f := c.frontend
	expired := f.limitTimeLeft(request, maxDeadline)
	hasCapacity := c.hasCapacity(route)
	if hasCapacity && request.ID != "" && f.recentIDs.isRepeated(request.ID, f.loop.Now(), request.TimeLeft) {
		return false
	}
	c.established = true
	a := &answer{conn: c, request: request, route: route, class: request.Class}
	f.openRequests++
	c.answers = append(c.answers, a)
	if !hasCapacity || expired || c.rejectsSince > 0 {
		c.closing = c.closing || c.overLimit
		a.Rejected(0)
		return true
	}
	a.bufferedBytes = len(request.Value) // set before Submit, which may answer before it returns
	a.addBufferedBytes(a.bufferedBytes)
	if !request.Write {
		a.promiseValue()
	}
	a.core, a.requestID = route.Submit(request, a)
	return true
}

// limitTimeLeft limits how long a request may take, and reports whether its time has expired already.
func (f *Frontend) limitTimeLeft(request *requestcore.Request, maxDeadline float64) (expired bool) {
	expired = request.TimeLeft < 0
	if request.TimeLeft == 0 {
		request.TimeLeft = cmp.Or(maxDeadline, defaultTimeLeftSeconds)
	}
	if maxDeadline > 0 {
		request.TimeLeft = min(request.TimeLeft, maxDeadline)
	}
	if f.finalDeadline > 0 {
		request.TimeLeft = min(request.TimeLeft, f.finalDeadline-f.loop.Now())
		expired = expired || request.TimeLeft <= 0
	}
	return expired
}

// hasCapacity reports whether a request of this connection may be submitted to a route.
func (c *ClientConn) hasCapacity(route requestcore.Route) bool {
	if c.overLimit {
		return false
	}
	if route.HasCapacity() {
		return true
	}
	c.frontend.capacityMissed = true
	return false
}
